//! The processes of the scenario: workers, front ends, and the proxy between them.

use super::drains::DrainTracker;
use super::options::ScenarioOptions;
use super::versions::SettingsVersion;
use super::{WORKERS, WORKER_CORES};
use crate::endpoint_list::{self, zone_by_half, ListedWorker};
use crate::error::ScenarioError;
use crate::fault_proxy::FaultProxyThread;
use crate::fleet::{self, ReadinessPolling};
use crate::process::{self, GatewayAddresses};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tansy_audit::{Link, Mark};
use tansy_fleet::client::Client;
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::process::ServerProcess;

/// When and how often to check that the fleet is ready.
const READINESS: ReadinessPolling = ReadinessPolling {
    timeout: Duration::from_secs(20),
    interval: Duration::from_millis(50),
};
/// Path on a worker's control port that makes it lose the answers of the function `lost`.
const LOSE_ANSWERS_PATH: &str = "/fault/lose=lost";

/// All processes of the scenario, which are killed when the cluster is dropped.
pub(super) struct Cluster {
    pub options: ScenarioOptions,
    pub proxy: Arc<FaultProxyThread>,
    pub workers: Vec<ServerProcess>,
    /// `None` while a front end is killed.
    pub gateways: Vec<Option<ServerProcess>>,
    /// Address where each front end listens for its peers, which stays the same across restarts.
    pub peers: Vec<SocketAddr>,
    _reserved: Vec<ReservedAddress>,
    pub gateway_addresses: Vec<GatewayAddresses>,
    /// The proxy's address for clients of each front end.
    pub client_addresses: Vec<SocketAddr>,
    pub folder: PathBuf,
    /// Each front end's routes through the proxy, as values of `--via`: `TARGET=ADDRESS`.
    routes: Vec<Vec<String>>,
    /// Each front end's endpoint list.
    pub endpoint_lists: Vec<Vec<ListedWorker>>,
    pub drains: DrainTracker,
    /// Number of processes killed so far.
    pub killed: usize,
}

impl Cluster {
    /// Starts all processes, and waits until the fleet is ready.
    pub fn start(
        options: &ScenarioOptions,
        version: SettingsVersion,
    ) -> Result<Cluster, ScenarioError> {
        let mut cluster = Cluster::new(options)?;
        cluster.write_settings(version)?;
        for worker in 0..WORKERS {
            cluster.start_worker(worker)?;
        }
        for front in 0..options.front_ends {
            cluster.route_front_end(front)?;
        }
        for front in 0..options.front_ends {
            cluster.start_front_end(front)?;
        }
        let members: Vec<SocketAddr> = options
            .members()
            .map(|front| cluster.peers[front])
            .collect();
        fleet::wait_until_ready(&mut Client::new()?, &members, &READINESS)?;
        Ok(cluster)
    }

    fn new(options: &ScenarioOptions) -> Result<Cluster, ScenarioError> {
        let (pid, seed) = (std::process::id(), options.seed);
        let folder = std::env::temp_dir().join(format!("tansy-scenario-agree-{pid}-{seed}"));
        std::fs::create_dir_all(&folder).map_err(ScenarioError::file(&folder))?;
        let network = [127, 1 + (pid % 200) as u8, 1 + (seed as u32 % 250) as u8];
        let host = |front: usize| [network[0], network[1], network[2], 1 + front as u8];
        let reserved = fleet::reserve_addresses((0..options.front_ends).map(host))?;
        Ok(Cluster {
            options: options.clone(),
            proxy: Arc::new(FaultProxyThread::start()),
            workers: Vec::new(),
            gateways: Vec::new(),
            peers: fleet::addresses(&reserved),
            _reserved: reserved,
            gateway_addresses: Vec::new(),
            client_addresses: Vec::new(),
            folder,
            routes: Vec::new(),
            endpoint_lists: Vec::new(),
            drains: DrainTracker::default(),
            killed: 0,
        })
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("settings.cue")
    }

    /// Path of the settings of processes that belong to no fleet.
    fn settings_without_fleet_path(&self) -> PathBuf {
        self.folder.join("settings-without-fleet.cue")
    }

    fn write_settings(&self, version: SettingsVersion) -> Result<(), ScenarioError> {
        let text = version.text(&self.options, &self.peers);
        let path = self.settings_path();
        std::fs::write(&path, &text).map_err(ScenarioError::file(&path))?;
        let path = self.settings_without_fleet_path();
        let text = fleet::without_fleet(&text);
        std::fs::write(&path, text).map_err(ScenarioError::file(&path))
    }

    fn start_worker(&mut self, worker: usize) -> Result<(), ScenarioError> {
        let settings = self.settings_without_fleet_path();
        let process = process::start_worker(&settings, worker, WORKER_CORES)?;
        process::control(&process, LOSE_ANSWERS_PATH)?;
        self.workers.push(process);
        Ok(())
    }

    /// Routes a front end's connections to workers and peers through the proxy, and writes its endpoint list.
    fn route_front_end(&mut self, front: usize) -> Result<(), ScenarioError> {
        let mut list = Vec::new();
        let mut routes = Vec::new();
        for (worker, process) in self.workers.iter().enumerate() {
            let target = process.address("grpc")?;
            let route = self.proxy.route(Link::Worker { front, worker }, target)?;
            // Members use `--via`, so that their lists have the same addresses; the outsider has no `--via` arguments.
            let outsider = self.options.is_outsider(front);
            let address = if outsider { route } else { target };
            list.push(ListedWorker {
                draining: Some(false),
                incarnation: Some(0),
                ..ListedWorker::new(address, zone_by_half(worker, WORKERS))
            });
            routes.push(format!("{target}={route}"));
        }
        self.endpoint_lists.push(list);
        self.write_list(front)?;
        for (to, target) in self.peers.iter().enumerate() {
            if to != front {
                let link = Link::Peer { from: front, to };
                let route = self.proxy.route(link, *target)?;
                routes.push(format!("{target}={route}"));
            }
        }
        self.routes.push(routes);
        Ok(())
    }

    fn start_front_end(&mut self, front: usize) -> Result<(), ScenarioError> {
        let gateway = self.start_gateway(front, GatewayAddresses::ANY)?;
        let addresses = GatewayAddresses::of(&gateway)?;
        self.gateway_addresses.push(addresses);
        self.gateways.push(Some(gateway));
        let client_address = self.proxy.route(Link::Client { front }, addresses.grpc)?;
        self.client_addresses.push(client_address);
        Ok(())
    }

    /// Starts a front end's process.
    pub fn start_gateway(
        &self,
        front: usize,
        addresses: GatewayAddresses,
    ) -> Result<ServerProcess, ScenarioError> {
        let arguments = self.gateway_arguments(front, addresses);
        let log_folder = self.options.log_folder.as_ref();
        let log_file = log_folder.map(|folder| folder.join(format!("f{front}.log")));
        process::start_logged(&arguments, log_file.as_deref())
    }

    fn gateway_arguments(&self, front: usize, addresses: GatewayAddresses) -> Vec<String> {
        let options = &self.options;
        let outsider = options.is_outsider(front);
        let settings = if outsider {
            self.settings_without_fleet_path()
        } else {
            self.settings_path()
        };
        let log_level = if options.log_folder.is_some() {
            "info"
        } else {
            "error"
        };
        let mut arguments = vec!["gateway".to_string()];
        let mut add = |name: &str, value: String| arguments.extend([name.to_string(), value]);
        add("--settings", settings.display().to_string());
        add("--log", log_level.to_string());
        let list = endpoint_list::path(&self.folder, front);
        add("--workers", list.display().to_string());
        add("--me", front.to_string());
        add("--listen", addresses.grpc.to_string());
        add("--http", addresses.http.to_string());
        if !outsider {
            add("--name", format!("f{front}"));
            add("--peers", self.peers[front].to_string());
            if front < options.voters {
                let state = self.folder.join(format!("seat-{front}.redb"));
                add("--state", state.display().to_string());
            }
            for route in &self.routes[front] {
                add("--via", route.clone());
            }
        }
        arguments
    }

    /// Writes a front end's endpoint list.
    pub fn write_list(&self, front: usize) -> Result<(), ScenarioError> {
        endpoint_list::replace(&self.folder, front, &self.endpoint_lists[front])
    }

    /// Records an event that is not visible in the traffic.
    pub fn mark(&self, mark: Mark) -> Result<(), ScenarioError> {
        self.proxy.mark(mark)
    }
}
