//! What goes wrong, drawn from the seed: faults of the network, of discovery and of processes, which overlap in time.

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

/// A front end whose coordinator has moved loses the old one after so long.
const OLD_COORDINATOR: Duration = Duration::from_millis(1500);
/// Connections of one idle crowd.
const CROWD: usize = 120;
/// A connection of an idle crowd that is not made by then is given up.
const CROWD_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A fault of system calls, and the probability that a process has it.
struct SystemCallFault {
    probability: f64,
    /// In the form of `tests/fault-shim`.
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

/// A duration between two numbers of milliseconds.
fn draw_span(random: &mut fastrand::Rng, milliseconds: Range<u64>) -> Duration {
    Duration::from_millis(random.u64(milliseconds))
}

/// The faults of one process's system calls, as `FAULT_RULES` has them.
pub fn draw_system_call_faults(random: &mut fastrand::Rng) -> String {
    let drawn: Vec<&str> = SYSTEM_CALL_FAULTS
        .iter()
        .filter(|fault| random.f64() < fault.probability)
        .map(|fault| fault.rule)
        .collect();
    drawn.join(";")
}

/// Faults of one front end's processes until the end; then the one that runs is ended in good order.
pub async fn run_process_faults(
    mut front_end: FrontEnd,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_span(&mut random, 800..5000)).await;
        front_end.reap_if_ended().await;
        if front_end.is_running() && Instant::now() < until {
            inject_process_fault(&mut front_end, &mut random).await;
        }
        if !front_end.is_running() {
            sleep(draw_span(&mut random, 0..500)).await;
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

/// Suspends, kills, ends or reloads a front end's process.
async fn inject_process_fault(front_end: &mut FrontEnd, random: &mut fastrand::Rng) {
    match random.u32(0..10) {
        0..=3 => front_end.suspend(draw_span(random, 200..1500)).await,
        4 => front_end.kill().await,
        5 => front_end.terminate(Duration::ZERO).await,
        6 => front_end.terminate(draw_span(random, 100..900)).await,
        7 => {
            // A reload that fails leaves the configuration as it was.
            let _ = front_end.reload().await;
            front_end.terminate(Duration::ZERO).await;
        }
        _ => {
            for _ in 0..random.u32(1..4) {
                let _ = front_end.reload().await;
                sleep(draw_span(random, 0..300)).await;
            }
            sleep(OLD_COORDINATOR).await;
            front_end.close_old_coordinators();
        }
    }
}

/// Faults of the network between front ends and workers until the end.
pub async fn run_network_faults(
    facts: Arc<Facts>,
    proxies: Arc<Vec<Proxy>>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_span(&mut random, 200..1200)).await;
        let worker = random.usize(0..proxies.len());
        let mode = draw_network_mode(&mut random);
        facts.record(Fact::FaultChanged(format!("worker {worker}: {mode:?}")));
        proxies[worker].set_mode(mode);
        // Some last through a whole shutdown.
        let longest = if random.u32(0..6) == 0 { 5000 } else { 1500 };
        sleep(draw_span(&mut random, 200..longest)).await;
        proxies[worker].set_mode(NetworkMode::Plain);
        facts.record(Fact::FaultChanged(format!("worker {worker}: plain")));
    }
    for proxy in proxies.iter() {
        proxy.set_mode(NetworkMode::Plain);
    }
}

fn draw_network_mode(random: &mut fastrand::Rng) -> NetworkMode {
    match random.u32(0..7) {
        0 => NetworkMode::Partitioned,
        1 => NetworkMode::ResetNew,
        2 => NetworkMode::LateConnections,
        3 => NetworkMode::ResetUnderCalls,
        4 => NetworkMode::HalfAnswers,
        5 => NetworkMode::SlowAnswers(draw_span(random, 50..1500)),
        _ => NetworkMode::Partitioned,
    }
}

/// Faults of discovery until the end.
pub async fn run_discovery_faults(
    facts: Arc<Facts>,
    discovery: Arc<Discovery>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_span(&mut random, 500..3000)).await;
        let mode = match random.u32(0..4) {
            0 => DiscoveryMode::Silent,
            1 => DiscoveryMode::Cut,
            _ => DiscoveryMode::Slow(draw_span(&mut random, 100..2500)),
        };
        facts.record(Fact::FaultChanged(format!("discovery: {mode:?}")));
        discovery.set_mode(mode);
        // Some last longer than an event may take to reach a front end.
        sleep(draw_span(&mut random, 500..9000)).await;
        discovery.set_mode(DiscoveryMode::Plain);
        facts.record(Fact::FaultChanged("discovery: plain".into()));
    }
    discovery.set_mode(DiscoveryMode::Plain);
}

/// Workers drain and come back, as long ago started or as started now, until the end.
pub async fn run_worker_drains(
    discovery: Arc<Discovery>,
    workers: usize,
    mut random: fastrand::Rng,
    until: Instant,
) {
    let mut drained: Vec<usize> = Vec::new();
    while Instant::now() < until {
        sleep(draw_span(&mut random, 300..1500)).await;
        // At least half of them take work.
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

/// Crowds of clients that connect and say nothing, until the end.
pub async fn run_idle_crowds(
    facts: Arc<Facts>,
    endpoints: Arc<EndpointTable>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(draw_span(&mut random, 2000..6000)).await;
        let front_end = random.usize(0..endpoints.front_ends());
        let address = endpoints.get(front_end).address;
        facts.record(Fact::FaultChanged(format!(
            "front end {front_end}: an idle crowd"
        )));
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            let connected =
                tokio::time::timeout(CROWD_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            if let Ok(Ok(socket)) = connected {
                crowd.push(socket);
            }
        }
        sleep(draw_span(&mut random, 100..3000)).await;
    }
}
