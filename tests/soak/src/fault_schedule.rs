//! Random fault injection: faults of the network, of discovery and of processes, drawn from the seed, which overlap in time.

use crate::discovery::{Discovery, DiscoveryMode};
use crate::endpoints::EndpointTable;
use crate::facts::{Fact, Facts};
use crate::process::FrontEnd;
use crate::proxy::{NetworkMode, Proxy};
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tansy_test_support::platform_configuration::WorkerState;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long the old coordinator of a front end stays available after a reload.
const OLD_COORDINATOR_LIFETIME: Duration = Duration::from_millis(1500);
/// Number of connections that are opened and left idle at once.
const IDLE_CONNECTIONS: usize = 120;
/// Timeout for opening an idle connection.
const IDLE_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A fault of system calls, and the probability that a process is started with it.
struct SystemCallFault {
    probability: f64,
    /// A rule in the syntax of `tests/fault-shim`.
    rule: &'static str,
}

const fn fault(probability: f64, rule: &'static str) -> SystemCallFault {
    SystemCallFault { probability, rule }
}

const SYSTEM_CALL_FAULTS: [SystemCallFault; 13] = [
    fault(0.5, "read:EINTR:rate=0.2"),
    fault(0.3, "socket:ENOBUFS:first=1"),
    fault(0.3, "socket:ENFILE:rate=0.02:from=1"),
    fault(0.3, "accept:ECONNABORTED:rate=0.03"),
    fault(0.3, "accept:ENFILE:rate=0.03"),
    fault(0.3, "connect:EADDRNOTAVAIL:rate=0.02"),
    fault(0.3, "connect:ENETUNREACH:rate=0.02"),
    fault(0.3, "connect:EINTR:rate=0.02"),
    fault(0.4, "recv:SHORT:rate=0.2"),
    fault(0.4, "send:SHORT:rate=0.2"),
    fault(0.4, "recv:EINTR:rate=0.1;send:EINTR:rate=0.1"),
    fault(0.2, "clock:STEP:by=3600:from=2"),
    fault(0.2, "clock:STEP:by=-3600:from=3"),
];

/// A random duration from a range of milliseconds.
fn draw_duration(random: &mut fastrand::Rng, milliseconds: Range<u64>) -> Duration {
    Duration::from_millis(random.u64(milliseconds))
}

/// Draws the system call faults of a process, as the value of `FAULT_RULES`.
pub fn draw_system_call_faults(random: &mut fastrand::Rng) -> String {
    let drawn: Vec<&str> = SYSTEM_CALL_FAULTS
        .iter()
        .filter(|fault| random.f64() < fault.probability)
        .map(|fault| fault.rule)
        .collect();
    drawn.join(";")
}

/// Injects faults into a front end's processes until `until`, restarting them as needed; then ends the last one with SIGTERM.
pub async fn run_process_faults(
    mut front_end: FrontEnd,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_duration(&mut random, 800..5000)).await;
        front_end.reap_if_ended().await;
        if front_end.is_running() && Instant::now() < until {
            inject_process_fault(&mut front_end, &mut random).await;
        }
        if !front_end.is_running() {
            sleep(draw_duration(&mut random, 0..500)).await;
            let rules = draw_system_call_faults(&mut random);
            let seed = random.u64(1..u64::MAX);
            if front_end.start(&rules, seed).await.is_err() {
                return;
            }
        }
    }
    sleep(until.saturating_duration_since(Instant::now())).await;
    front_end.reap_if_ended().await;
    front_end.terminate(Duration::ZERO).await;
}

/// Suspends, kills, terminates or reloads a front end's process.
async fn inject_process_fault(front_end: &mut FrontEnd, random: &mut fastrand::Rng) {
    match random.u32(0..10) {
        0..=3 => front_end.suspend(draw_duration(random, 200..1500)).await,
        4 => front_end.kill().await,
        5 => front_end.terminate(Duration::ZERO).await,
        6 => front_end.terminate(draw_duration(random, 100..900)).await,
        7 => {
            // If a reload fails, the front end keeps its configuration.
            let _ = front_end.reload().await;
            front_end.terminate(Duration::ZERO).await;
        }
        _ => {
            for _ in 0..random.u32(1..4) {
                let _ = front_end.reload().await;
                sleep(draw_duration(random, 0..300)).await;
            }
            sleep(OLD_COORDINATOR_LIFETIME).await;
            front_end.close_old_coordinators();
        }
    }
}

/// Injects network faults between front ends and workers until `until`.
pub async fn run_network_faults(
    facts: Arc<Facts>,
    proxies: Arc<Vec<Proxy>>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_duration(&mut random, 200..1200)).await;
        let worker = random.usize(0..proxies.len());
        let mode = draw_network_mode(&mut random);
        facts.record(Fact::FaultChanged(format!("worker {worker}: {mode:?}")));
        proxies[worker].set_mode(mode);
        // Some faults last longer than a whole shutdown.
        let longest_ms = if random.u32(0..6) == 0 { 5000 } else { 1500 };
        sleep(draw_duration(&mut random, 200..longest_ms)).await;
        proxies[worker].set_mode(NetworkMode::Healthy);
        facts.record(Fact::FaultChanged(format!("worker {worker}: healthy")));
    }
    for proxy in proxies.iter() {
        proxy.set_mode(NetworkMode::Healthy);
    }
}

fn draw_network_mode(random: &mut fastrand::Rng) -> NetworkMode {
    match random.u32(0..7) {
        0 => NetworkMode::Partitioned,
        1 => NetworkMode::ResetOnAccept,
        2 => NetworkMode::DelayedAccepts,
        3 => NetworkMode::ResetDuringCalls,
        4 => NetworkMode::TruncatedAnswers,
        5 => NetworkMode::DelayedAnswers(draw_duration(random, 50..1500)),
        _ => NetworkMode::Partitioned,
    }
}

/// Injects faults of discovery until `until`.
pub async fn run_discovery_faults(
    facts: Arc<Facts>,
    discovery: Arc<Discovery>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_duration(&mut random, 500..3000)).await;
        let mode = match random.u32(0..4) {
            0 => DiscoveryMode::Silent,
            1 => DiscoveryMode::Truncated,
            _ => DiscoveryMode::Delayed(draw_duration(&mut random, 100..2500)),
        };
        facts.record(Fact::FaultChanged(format!("discovery: {mode:?}")));
        discovery.set_mode(mode);
        // Some faults last longer than an event may take to reach a front end.
        sleep(draw_duration(&mut random, 500..9000)).await;
        discovery.set_mode(DiscoveryMode::Healthy);
        facts.record(Fact::FaultChanged("discovery: healthy".into()));
    }
    discovery.set_mode(DiscoveryMode::Healthy);
}

/// Drains workers and returns them to service until `until`; half of them return as newly started.
pub async fn run_worker_drains(
    discovery: Arc<Discovery>,
    workers: usize,
    mut random: fastrand::Rng,
    until: Instant,
) {
    let mut drained: Vec<usize> = Vec::new();
    while Instant::now() < until {
        sleep(draw_duration(&mut random, 300..1500)).await;
        // At least half of the workers stay ready.
        if drained.len() * 2 < workers && random.bool() {
            let worker = random.usize(0..workers);
            if !drained.contains(&worker) {
                drained.push(worker);
                discovery.change_worker(worker, WorkerState::Terminating, 0);
            }
        } else if !drained.is_empty() {
            let worker = drained.swap_remove(random.usize(0..drained.len()));
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since_epoch| since_epoch.as_millis() as u64);
            let started_ms = if random.bool() { now } else { 0 };
            discovery.change_worker(worker, WorkerState::Ready, started_ms);
        }
    }
}

/// Opens many connections to a front end at once and leaves them idle, again and again until `until`.
pub async fn run_idle_connections(
    facts: Arc<Facts>,
    endpoints: Arc<EndpointTable>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_duration(&mut random, 2000..6000)).await;
        let front_end = random.usize(0..endpoints.front_ends());
        let address = endpoints.get(front_end).address;
        facts.record(Fact::FaultChanged(format!(
            "front end {front_end}: idle connections"
        )));
        let mut idle = Vec::new();
        for _ in 0..IDLE_CONNECTIONS {
            let connected =
                tokio::time::timeout(IDLE_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Ok(Ok(socket)) = connected {
                idle.push(socket);
            }
        }
        sleep(draw_duration(&mut random, 100..3000)).await;
    }
}
