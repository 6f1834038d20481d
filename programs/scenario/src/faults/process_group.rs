//! The processes of a fault scenario, and the proxy between them.

use super::definition::FaultScenario;
use crate::audit::record_marks;
use crate::endpoint_list::{self, zone_by_half, ListedWorker};
use crate::error::ScenarioError;
use crate::fault_proxy::FaultProxyThread;
use crate::process::{self, GatewayAddresses};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;
use tansy_audit::{Entry, Link, Mark};
use tansy_test_support::process::ServerProcess;

/// Workers and gateways, connected through a fault proxy.
pub struct ProcessGroup {
    proxy: FaultProxyThread,
    workers: Vec<ServerProcess>,
    /// `None` while a gateway is killed.
    gateways: Vec<Option<ServerProcess>>,
    gateway_addresses: Vec<GatewayAddresses>,
    /// The proxy's address for clients of each gateway.
    client_addresses: Vec<SocketAddr>,
    /// Each gateway's endpoint list.
    endpoint_lists: Vec<Vec<ListedWorker>>,
    folder: PathBuf,
}

/// The results of a group whose processes have exited.
pub struct GroupResult {
    /// The proxy's recording.
    pub entries: Vec<Entry>,
    /// The counters that each running gateway printed when it exited.
    pub counters: Vec<String>,
}

impl ProcessGroup {
    /// Starts the proxy, the workers and the gateways.
    ///
    /// # Errors
    /// A process or the proxy does not start, or a file can't be written.
    pub fn start(
        scenario: &FaultScenario,
        workers: usize,
        cores: f64,
    ) -> Result<ProcessGroup, ScenarioError> {
        let folder = std::env::temp_dir().join(format!("tansy-scenario-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(ScenarioError::file(&folder))?;
        let mut group = ProcessGroup {
            proxy: FaultProxyThread::start(),
            workers: Vec::new(),
            gateways: Vec::new(),
            gateway_addresses: Vec::new(),
            client_addresses: Vec::new(),
            endpoint_lists: vec![Vec::new(); scenario.gateways],
            folder,
        };
        let settings = group.settings_path();
        std::fs::write(&settings, scenario.settings_text)
            .map_err(ScenarioError::file(&settings))?;
        for worker in 0..workers {
            group.start_worker(worker, workers, cores)?;
        }
        for front in 0..scenario.gateways {
            group.start_front_end(front)?;
        }
        Ok(group)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("settings.cue")
    }

    fn start_worker(
        &mut self,
        worker: usize,
        workers: usize,
        cores: f64,
    ) -> Result<(), ScenarioError> {
        let process = process::start_worker(&self.settings_path(), worker, cores)?;
        let target = process.address("grpc")?;
        for (front, list) in self.endpoint_lists.iter_mut().enumerate() {
            let address = self.proxy.route(Link::Worker { front, worker }, target)?;
            list.push(ListedWorker {
                draining: Some(false),
                ..ListedWorker::new(address, zone_by_half(worker, workers))
            });
        }
        self.workers.push(process);
        Ok(())
    }

    fn start_front_end(&mut self, front: usize) -> Result<(), ScenarioError> {
        self.write_list(front)?;
        let gateway = self.start_gateway(front, GatewayAddresses::ANY)?;
        let addresses = GatewayAddresses::of(&gateway)?;
        self.gateway_addresses.push(addresses);
        self.gateways.push(Some(gateway));
        let client_address = self.proxy.route(Link::Client { front }, addresses.grpc)?;
        self.client_addresses.push(client_address);
        Ok(())
    }

    fn start_gateway(
        &self,
        front: usize,
        addresses: GatewayAddresses,
    ) -> Result<ServerProcess, ScenarioError> {
        let list = endpoint_list::path(&self.folder, front);
        let arguments = [
            "gateway".to_string(),
            "--settings".to_string(),
            self.settings_path().display().to_string(),
            "--workers".to_string(),
            list.display().to_string(),
            "--me".to_string(),
            front.to_string(),
            "--listen".to_string(),
            addresses.grpc.to_string(),
            "--http".to_string(),
            addresses.http.to_string(),
            "--log".to_string(),
            "warn".to_string(),
        ];
        process::start(&arguments)
    }

    fn write_list(&self, front: usize) -> Result<(), ScenarioError> {
        endpoint_list::replace(&self.folder, front, &self.endpoint_lists[front])
    }

    /// The proxy's address for clients of each gateway.
    pub fn client_addresses(&self) -> &[SocketAddr] {
        &self.client_addresses
    }

    /// The proxy between all processes.
    pub fn proxy(&self) -> &FaultProxyThread {
        &self.proxy
    }

    /// Changes a worker between draining and ready in one front end's endpoint list.
    ///
    /// # Errors
    /// The list can't be written.
    pub fn set_draining(
        &mut self,
        front: usize,
        worker: usize,
        draining: bool,
    ) -> Result<(), ScenarioError> {
        self.endpoint_lists[front][worker].draining = Some(draining);
        let mark = if draining {
            Mark::Draining { front, worker }
        } else {
            Mark::DrainEnded { front, worker }
        };
        record_marks(
            &[mark],
            |mark| self.proxy.mark(mark),
            || self.write_list(front),
        )
    }

    /// Restarts a worker without loaded functions, and updates its start time in all endpoint lists.
    ///
    /// # Errors
    /// The restart request fails, or a list can't be written.
    pub fn restart_worker(&mut self, worker: usize) -> Result<(), ScenarioError> {
        self.control(worker, "/restart")?;
        self.proxy.mark(Mark::Started { worker })?;
        for front in 0..self.endpoint_lists.len() {
            self.endpoint_lists[front][worker].started = Some(Instant::now());
            self.write_list(front)?;
        }
        Ok(())
    }

    /// Sends a request to a worker's control port.
    ///
    /// # Errors
    /// See [`process::control`].
    pub fn control(&self, worker: usize, path: &str) -> Result<(), ScenarioError> {
        process::control(&self.workers[worker], path)
    }

    /// Kills a front end.
    ///
    /// # Errors
    /// The proxy's thread has exited.
    pub fn kill_front_end(&mut self, front: usize) -> Result<(), ScenarioError> {
        if let Some(mut gateway) = self.gateways[front].take() {
            gateway.kill();
        }
        self.proxy.mark(Mark::Killed { front })
    }

    /// Starts a killed front end again at the same addresses.
    ///
    /// # Errors
    /// The process does not start.
    pub fn restart_front_end(&mut self, front: usize) -> Result<(), ScenarioError> {
        let addresses = self.gateway_addresses[front];
        self.gateways[front] = Some(self.start_gateway(front, addresses)?);
        Ok(())
    }

    /// Stops the gateways and returns their counters and the recording, with an overload mark for each worker that has exited.
    ///
    /// # Errors
    /// A gateway can't be stopped, or the proxy's thread has exited.
    pub fn finish(mut self) -> Result<GroupResult, ScenarioError> {
        let mut counters = Vec::new();
        for gateway in self.gateways.iter_mut().flatten() {
            let (_, output) = gateway.stop()?;
            counters.push(output.trim().to_string());
        }
        for (worker, process) in self.workers.iter_mut().enumerate() {
            if process.has_ended() {
                self.proxy.mark(Mark::Overloaded { worker })?;
            }
        }
        let entries = self.proxy.take_entries()?;
        // Failure only leaves temporary files behind.
        let _ = std::fs::remove_dir_all(&self.folder);
        Ok(GroupResult { entries, counters })
    }
}
