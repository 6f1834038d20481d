//! What goes wrong, drawn from the seed: troubles of the network, of discovery and of processes, which overlap in time.

use crate::clients::Doors;
use crate::discovery::{Discovery, Mode as DiscoveryMode};
use crate::facts::{Fact, Facts};
use crate::process::FrontEnd;
use crate::proxy::{Mode, Proxy};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A front end whose coordinator has moved loses the old one after so long.
const OLD_COORDINATOR: Duration = Duration::from_millis(1500);
/// Connections of one idle crowd.
const CROWD: usize = 120;

/// Faults of system calls, each with the probability that a process has it.
const RULES: [(f64, &str); 13] = [
    (0.5, "read:EINTR:rate=0.2"),
    (0.3, "socket:ENOBUFS:first=1"),
    (0.3, "socket:ENFILE:rate=0.02:from=1"),
    (0.3, "accept:ECONNABORTED:rate=0.03"),
    (0.3, "accept:ENFILE:rate=0.03"),
    (0.3, "connect:EADDRNOTAVAIL:rate=0.02"),
    (0.3, "connect:ENETUNREACH:rate=0.02"),
    (0.3, "connect:EINTR:rate=0.02"),
    (0.4, "recv:SHORT:rate=0.2"),
    (0.4, "send:SHORT:rate=0.2"),
    (0.4, "recv:EINTR:rate=0.1;send:EINTR:rate=0.1"),
    (0.2, "clock:STEP:by=3600:from=2"),
    (0.2, "clock:STEP:by=-3600:from=3"),
];

/// A span between two numbers of milliseconds.
fn span(random: &mut fastrand::Rng, ms: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.u64(ms))
}

/// The rules of one process.
pub fn rules(random: &mut fastrand::Rng) -> String {
    let drawn: Vec<&str> = RULES
        .iter()
        .filter(|r| random.f64() < r.0)
        .map(|r| r.1)
        .collect();
    drawn.join(";")
}

/// Troubles of one front end's processes until the end; then the one that runs is ended in good order.
pub async fn processes(mut front: FrontEnd, mut random: fastrand::Rng, until: Instant) {
    while Instant::now() < until {
        sleep(span(&mut random, 800..5000)).await;
        front.look().await;
        if front.runs() && Instant::now() < until {
            process(&mut front, &mut random).await;
        }
        if !front.runs() {
            sleep(span(&mut random, 0..500)).await;
            let (rules, seed) = (rules(&mut random), random.u64(1..u64::MAX));
            if front.start(&rules, seed).await.is_err() {
                return;
            }
        }
    }
    sleep(until.saturating_duration_since(Instant::now())).await;
    front.look().await;
    front.terminate(Duration::ZERO).await;
}

async fn process(front: &mut FrontEnd, random: &mut fastrand::Rng) {
    match random.u32(0..10) {
        0..=3 => front.stand_still(span(random, 200..1500)).await,
        4 => front.kill().await,
        5 => front.terminate(Duration::ZERO).await,
        6 => front.terminate(span(random, 100..900)).await,
        7 => {
            let _ = front.reload().await;
            front.terminate(Duration::ZERO).await;
        }
        _ => {
            for _ in 0..random.u32(1..4) {
                let _ = front.reload().await;
                sleep(span(random, 0..300)).await;
            }
            sleep(OLD_COORDINATOR).await;
            front.forget_old_feeds();
        }
    }
}

/// Troubles of the way to workers until the end.
pub async fn network(
    facts: Arc<Facts>,
    proxies: Arc<Vec<Proxy>>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(span(&mut random, 200..1200)).await;
        let worker = random.usize(0..proxies.len());
        let mode = match random.u32(0..7) {
            0 => Mode::Partitioned,
            1 => Mode::ResetNew,
            2 => Mode::LateConnections,
            3 => Mode::ResetUnderCalls,
            4 => Mode::HalfAnswers,
            5 => Mode::SlowAnswers(span(&mut random, 50..1500)),
            _ => Mode::Partitioned,
        };
        facts.note(Fact::Trouble(format!("worker {worker}: {mode:?}")));
        proxies[worker].behave(mode);
        // Some last through a whole shutdown.
        let longest = if random.u32(0..6) == 0 { 5000 } else { 1500 };
        sleep(span(&mut random, 200..longest)).await;
        proxies[worker].behave(Mode::Plain);
        facts.note(Fact::Trouble(format!("worker {worker}: plain")));
    }
    proxies.iter().for_each(|p| p.behave(Mode::Plain));
}

/// Troubles of discovery until the end.
pub async fn discovery(
    facts: Arc<Facts>,
    discovery: Arc<Discovery>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(span(&mut random, 500..3000)).await;
        let mode = match random.u32(0..4) {
            0 => DiscoveryMode::Silent,
            1 => DiscoveryMode::Cut,
            _ => DiscoveryMode::Slow(span(&mut random, 100..2500)),
        };
        facts.note(Fact::Trouble(format!("discovery: {mode:?}")));
        discovery.behave(mode);
        // Some last longer than an event may take to be heard.
        sleep(span(&mut random, 500..9000)).await;
        discovery.behave(DiscoveryMode::Plain);
        facts.note(Fact::Trouble("discovery: plain".into()));
    }
    discovery.behave(DiscoveryMode::Plain);
}

/// Workers drain and come back, as long ago started or as started now, until the end.
pub async fn workers(
    discovery: Arc<Discovery>,
    count: usize,
    mut random: fastrand::Rng,
    until: Instant,
) {
    let mut drained: Vec<usize> = Vec::new();
    while Instant::now() < until {
        sleep(span(&mut random, 300..1500)).await;
        // At least half of them take work.
        if drained.len() * 2 < count && random.bool() {
            let worker = random.usize(0..count);
            if !drained.contains(&worker) {
                drained.push(worker);
                discovery.change(worker, "Terminating", 0);
            }
        } else if !drained.is_empty() {
            let worker = drained.swap_remove(random.usize(0..drained.len()));
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64);
            discovery.change(worker, "Ready", if random.bool() { now } else { 0 });
        }
    }
}

/// Crowds of clients that connect and say nothing, until the end.
pub async fn crowds(
    facts: Arc<Facts>,
    doors: Arc<Doors>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(span(&mut random, 2000..6000)).await;
        let place = random.usize(0..doors.len());
        let address = doors[place].read().expect("not poisoned").address;
        facts.note(Fact::Trouble(format!("front end {place}: an idle crowd")));
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            if let Ok(Ok(socket)) =
                tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address)).await
            {
                crowd.push(socket);
            }
        }
        sleep(span(&mut random, 100..3000)).await;
    }
}
