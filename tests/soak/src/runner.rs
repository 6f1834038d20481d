//! One run of the soak: starts all parts, runs clients and faults for the given time, and checks the facts.

use crate::clients::Client;
use crate::discovery::Discovery;
use crate::endpoints::EndpointTable;
use crate::error::SoakError;
use crate::facts::{Fact, Facts};
use crate::fault_schedule as faults;
use crate::oracle::Oracle;
use crate::process::{self, FrontEnd, LaunchSettings};
use crate::proxy::Proxy;
use crate::{abuse, worker};
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::platform_configuration::{WorkerEntry, WorkerState};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the front end's program.
    pub gateway: PathBuf,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of front ends.
    pub front_ends: usize,
    /// Number of workers.
    pub workers: usize,
    /// Clients of each front end.
    pub clients: usize,
    /// How long faults are injected.
    pub duration: Duration,
}

/// The result of a run.
pub struct SoakOutcome {
    /// The oracle, with the facts and the violations in them.
    pub oracle: Oracle,
    /// The folder with logs and configurations of the run's processes.
    pub folder: PathBuf,
}

/// Limits on open file descriptors; each run uses one of them for all front ends.
const SOCKET_LIMITS: [usize; 3] = [100, 160, 400];
/// Timeouts for connecting to a worker: shorter and longer than the kernel's first SYN retransmission (1 s).
const CONNECT_TIMEOUTS_S: [f64; 2] = [0.25, 1.3];
/// Sleep of the watchdog that measures delays of the harness itself.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(5);
/// How long clients continue after the time for new faults is over.
const SETTLE: Duration = Duration::from_secs(2);

/// The state that the parts of a run share.
struct Environment {
    facts: Arc<Facts>,
    discovery: Arc<Discovery>,
    proxies: Arc<Vec<Proxy>>,
    endpoints: Arc<EndpointTable>,
    launch: Arc<LaunchSettings>,
    /// Keeps the front ends' ports reserved while their processes are down.
    _reserved: Vec<ReservedAddress>,
}

/// Runs the soak once.
pub async fn run(options: &Options) -> Result<SoakOutcome, SoakError> {
    let mut random = fastrand::Rng::with_seed(options.seed);
    let environment = Environment::start(options, &mut random).await?;
    let watchdog = tokio::spawn(watch_harness(environment.facts.clone()));
    let front_ends = environment.start_front_ends(&mut random).await?;
    let until = Instant::now() + options.duration;
    let mut tasks = JoinSet::new();
    environment.spawn_clients(&mut tasks, options.clients, &mut random, until + SETTLE);
    environment.spawn_faults(&mut tasks, &mut random, until);
    for front_end in front_ends {
        tasks.spawn(faults::run_process_faults(
            front_end,
            random.fork(),
            until + SETTLE,
        ));
    }
    while tasks.join_next().await.is_some() {}
    watchdog.abort();
    Ok(SoakOutcome {
        oracle: Oracle::evaluate(environment.facts.take()),
        folder: environment.launch.folder.clone(),
    })
}

impl Environment {
    /// Starts the workers and their proxies, creates the coordinator, and draws the settings of the front ends.
    async fn start(
        options: &Options,
        random: &mut fastrand::Rng,
    ) -> Result<Environment, SoakError> {
        let facts = Arc::new(Facts::default());
        let (proxies, workers) = start_workers(&facts, options.workers, random).await?;
        let discovery = Discovery::new(facts.clone(), workers);
        let folder = process::create_folder(options.seed)?;
        let connect_timeout_s = CONNECT_TIMEOUTS_S[usize::from(!random.bool())];
        let launch = Arc::new(LaunchSettings {
            gateway: options.gateway.clone(),
            folder,
            connect_timeout_s,
            front_ends: options.front_ends,
            sockets: SOCKET_LIMITS[random.usize(0..SOCKET_LIMITS.len())],
        });
        let reserved = process::reserve_addresses(options.front_ends)?;
        let addresses = reserved.iter().map(ReservedAddress::address);
        let endpoints = Arc::new(EndpointTable::new(addresses));
        Ok(Environment {
            facts,
            discovery,
            proxies: Arc::new(proxies),
            endpoints,
            launch,
            _reserved: reserved,
        })
    }

    /// Starts the first process of each front end.
    async fn start_front_ends(
        &self,
        random: &mut fastrand::Rng,
    ) -> Result<Vec<FrontEnd>, SoakError> {
        let mut front_ends = Vec::new();
        for index in 0..self.launch.front_ends {
            let mut front_end = FrontEnd::new(
                self.facts.clone(),
                self.discovery.clone(),
                self.endpoints.clone(),
                self.launch.clone(),
                index,
            );
            let rules = faults::draw_system_call_faults(random);
            let seed = random.u64(1..u64::MAX);
            front_end.start(&rules, seed).await?;
            front_ends.push(front_end);
        }
        Ok(front_ends)
    }

    /// Starts `clients` clients for each front end.
    fn spawn_clients(
        &self,
        tasks: &mut JoinSet<()>,
        clients: usize,
        random: &mut fastrand::Rng,
        until: Instant,
    ) {
        let next_id = Arc::new(AtomicU64::new(1));
        for front_end in 0..self.launch.front_ends {
            for _ in 0..clients {
                let client = Client {
                    facts: self.facts.clone(),
                    endpoints: self.endpoints.clone(),
                    front_end,
                    next_id: next_id.clone(),
                    random: random.fork(),
                    until,
                };
                tasks.spawn(client.run());
            }
        }
    }

    /// Starts all faults except those of the front ends' processes.
    fn spawn_faults(&self, tasks: &mut JoinSet<()>, random: &mut fastrand::Rng, until: Instant) {
        let (facts, endpoints) = (&self.facts, &self.endpoints);
        for _ in 0..2 {
            let proxies = self.proxies.clone();
            tasks.spawn(faults::run_network_faults(
                facts.clone(),
                proxies,
                random.fork(),
                until,
            ));
        }
        tasks.spawn(faults::run_discovery_faults(
            facts.clone(),
            self.discovery.clone(),
            random.fork(),
            until,
        ));
        tasks.spawn(faults::run_worker_drains(
            self.discovery.clone(),
            self.proxies.len(),
            random.fork(),
            until,
        ));
        tasks.spawn(abuse::run(
            facts.clone(),
            endpoints.clone(),
            random.fork(),
            until,
        ));
        tasks.spawn(faults::run_idle_connections(
            facts.clone(),
            endpoints.clone(),
            random.fork(),
            until,
        ));
    }
}

/// Starts `count` workers, each behind a proxy. Returns the proxies, and the workers' entries in the endpoint list.
async fn start_workers(
    facts: &Arc<Facts>,
    count: usize,
    random: &mut fastrand::Rng,
) -> Result<(Vec<Proxy>, Vec<WorkerEntry>), SoakError> {
    let (mut proxies, mut workers) = (Vec::new(), Vec::new());
    for number in 0..count {
        let worker = worker::start(random.u64(..)).await?;
        let proxy = Proxy::start(facts.clone(), number, worker)?;
        workers.push(WorkerEntry {
            id: format!("s-{number}"),
            address: proxy.address,
            state: WorkerState::Ready,
            started_ms: 0,
        });
        proxies.push(proxy);
    }
    Ok((proxies, workers))
}

/// Records delays of the harness itself.
async fn watch_harness(facts: Arc<Facts>) {
    loop {
        let started = Instant::now();
        sleep(WATCHDOG_INTERVAL).await;
        let delay = started.elapsed().saturating_sub(WATCHDOG_INTERVAL);
        if delay > WATCHDOG_INTERVAL * 4 {
            facts.record(Fact::HarnessDelayed(delay));
        }
    }
}
