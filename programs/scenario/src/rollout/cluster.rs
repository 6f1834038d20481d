//! The processes of the scenario: workers, a supervisor for the front ends of each zone, and the proxy between them.

use super::files::{ScenarioFolder, SupervisedFrontEnd};
use super::options::ScenarioOptions;
use super::{zone_of, VOTERS, WORKERS_PER_ZONE, WORKER_CORES, ZONES};
use crate::error::ScenarioError;
use crate::fault_proxy::FaultProxyThread;
use crate::fleet::{self, ReadinessPolling};
use crate::process;
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::time::Duration;
use tansy_audit::Link;
use tansy_fleet::client::Client;
use tansy_fleet::processes::{supervised_processes, SupervisedProcess};
use tansy_fleet_wire::decode_rollout;
use tansy_rollout::Rollout;
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::process::ServerProcess;

/// When and how often to check that the fleet is ready.
const READINESS: ReadinessPolling = ReadinessPolling {
    timeout: Duration::from_secs(40),
    interval: Duration::from_millis(100),
};
/// Timeout of requests for the rollout's state.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of loopback addresses reserved for each front end.
const HOSTS_PER_FRONT_END: u8 = 4;

/// The purpose of a front end's address; the value is its offset in the front end's range.
#[derive(Clone, Copy)]
enum AddressUse {
    Peers = 0,
    Grpc = 1,
    Http = 2,
}

/// Addresses of all front ends, which stay the same across restarts.
struct FrontEndAddresses {
    peers: Vec<ReservedAddress>,
    grpc: Vec<ReservedAddress>,
    http: Vec<ReservedAddress>,
}

impl FrontEndAddresses {
    fn reserve(options: &ScenarioOptions) -> std::io::Result<FrontEndAddresses> {
        let pid = (std::process::id() % 200) as u8;
        let seed = (options.seed as u32 % 200) as u8;
        let reserve = |address_use: AddressUse| {
            let host = move |front: usize| {
                let offset = HOSTS_PER_FRONT_END * front as u8 + address_use as u8;
                [127, 2 + pid, 1 + seed, 1 + offset]
            };
            fleet::reserve_addresses((0..options.front_ends).map(host))
        };
        Ok(FrontEndAddresses {
            peers: reserve(AddressUse::Peers)?,
            grpc: reserve(AddressUse::Grpc)?,
            http: reserve(AddressUse::Http)?,
        })
    }
}

/// All processes of the scenario. Dropping the cluster kills them and removes the files.
pub(super) struct Cluster {
    pub folder: ScenarioFolder,
    pub proxy: FaultProxyThread,
    pub workers: Vec<ServerProcess>,
    /// Address where each front end listens for its peers.
    pub peers: Vec<SocketAddr>,
    addresses: FrontEndAddresses,
    /// The proxy's address for clients of each front end.
    pub client_addresses: Vec<SocketAddr>,
    /// By zone; `None` while a supervisor is killed.
    pub supervisors: Vec<Option<ServerProcess>>,
    pub client: Client,
}

impl Cluster {
    /// Starts all processes, and waits until the fleet is ready.
    pub fn start(options: &ScenarioOptions) -> Result<Cluster, ScenarioError> {
        let folder = ScenarioFolder::create(options.seed)?;
        let addresses = FrontEndAddresses::reserve(options)?;
        let mut cluster = Cluster {
            folder,
            proxy: FaultProxyThread::start(),
            workers: Vec::new(),
            peers: fleet::addresses(&addresses.peers),
            addresses,
            client_addresses: Vec::new(),
            supervisors: Vec::new(),
            client: Client::new()?,
        };
        cluster.folder.write_settings(options, &cluster.peers)?;
        cluster.folder.write_programs(options)?;
        cluster.start_workers()?;
        cluster.write_supervisor_configs(options)?;
        for zone in 0..ZONES.len() {
            let supervisor = cluster.start_supervisor(zone)?;
            cluster.supervisors.push(Some(supervisor));
        }
        fleet::wait_until_ready(&mut cluster.client, &cluster.peers, &READINESS)?;
        Ok(cluster)
    }

    fn start_workers(&mut self) -> Result<(), ScenarioError> {
        for worker in 0..ZONES.len() * WORKERS_PER_ZONE {
            let settings = self.folder.settings_without_fleet(zone_of(worker));
            let process = process::start_worker(&settings, worker, WORKER_CORES)?;
            self.workers.push(process);
        }
        self.folder.write_endpoint_list(&self.worker_addresses()?)
    }

    fn worker_addresses(&self) -> Result<Vec<SocketAddr>, ScenarioError> {
        let workers = self.workers.iter();
        workers.map(|worker| Ok(worker.address("grpc")?)).collect()
    }

    /// Writes each supervisor's configuration, with the front ends' routes through the proxy.
    fn write_supervisor_configs(&mut self, options: &ScenarioOptions) -> Result<(), ScenarioError> {
        let workers = self.worker_addresses()?;
        let mut configs: Vec<Vec<SupervisedFrontEnd>> = ZONES.iter().map(|_| Vec::new()).collect();
        for front in 0..options.front_ends {
            let routes = self.worker_routes(front, &workers)?;
            let grpc = self.addresses.grpc[front].address();
            let client_address = self.proxy.route(Link::Client { front }, grpc)?;
            self.client_addresses.push(client_address);
            configs[zone_of(front)].push(SupervisedFrontEnd {
                index: front,
                peer_address: self.peers[front],
                arguments: self.gateway_arguments(front, routes),
            });
        }
        for (zone, front_ends) in configs.iter().enumerate() {
            let voters = &self.peers[..VOTERS];
            self.folder
                .write_supervisor_config(zone, voters, front_ends)?;
        }
        Ok(())
    }

    /// A front end's routes to workers through the proxy, as values of `--via`: `TARGET=ADDRESS`.
    fn worker_routes(
        &self,
        front: usize,
        workers: &[SocketAddr],
    ) -> Result<Vec<String>, ScenarioError> {
        let route = |(worker, target): (usize, &SocketAddr)| {
            let address = self.proxy.route(Link::Worker { front, worker }, *target)?;
            Ok(format!("{target}={address}"))
        };
        workers.iter().enumerate().map(route).collect()
    }

    fn gateway_arguments(&self, front: usize, routes: Vec<String>) -> Vec<String> {
        let mut arguments = vec!["gateway".to_string()];
        let mut add = |name: &str, value: String| arguments.extend([name.to_string(), value]);
        add("--log", "error".to_string());
        let settings = self.folder.settings(zone_of(front));
        add("--settings", settings.display().to_string());
        let list = self.folder.endpoint_list();
        add("--workers", list.display().to_string());
        add("--me", front.to_string());
        add("--listen", self.grpc_address(front).to_string());
        add("--http", self.addresses.http[front].address().to_string());
        if front < VOTERS {
            let state = self.folder.voter_state(front);
            add("--state", state.display().to_string());
        }
        for route in routes {
            add("--via", route);
        }
        arguments
    }

    /// Address where a front end listens for clients.
    pub fn grpc_address(&self, front: usize) -> SocketAddr {
        self.addresses.grpc[front].address()
    }

    /// Starts the supervisor of a zone.
    pub fn start_supervisor(&self, zone: usize) -> Result<ServerProcess, ScenarioError> {
        let config = self.folder.supervisor_config(zone).display().to_string();
        let arguments = ["fleet", "up", "--log", "error", "--fleet", &config];
        let log_file = self.folder.supervisor_log(zone);
        process::start_logged(&arguments.map(str::to_string), Some(&log_file))
    }

    /// The rollout's state at the leader; `None` if no voter leads or no rollout was started.
    pub fn rollout(&mut self) -> Option<Rollout> {
        let voters = self.peers[..VOTERS].to_vec();
        let replies = self.client.rollouts(&voters, REPLY_TIMEOUT);
        let leader = replies
            .into_iter()
            .flatten()
            .find(|reply| reply.is_leader)?;
        decode_rollout(&leader.rollout).ok().flatten()
    }

    /// The running front-end processes, from `/proc`.
    pub fn processes(&self) -> Vec<SupervisedProcess> {
        let folder = self.folder.path();
        let all = supervised_processes().into_iter();
        all.filter(|process| process.folder.starts_with(folder))
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for supervisor in self.supervisors.iter_mut().flatten() {
            supervisor.kill();
        }
        for process in self.processes() {
            let pid = i32::try_from(process.pid).ok().and_then(Pid::from_raw);
            // Fails if the process has exited meanwhile.
            let _ = pid.map(|pid| kill_process(pid, Signal::KILL));
        }
        // Failure only leaves temporary files behind.
        let _ = std::fs::remove_dir_all(self.folder.path());
    }
}
