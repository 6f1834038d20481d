//! Starts front ends as real processes, sends them signals, and restarts them on the same address.
//!
//! `ServerProcess` of `tansy-test-support` can't be used here: with `--platform` a front end prints no `ready` line, and is ready once
//! it answers `/alive`. All waits here are asynchronous and have timeouts.

use crate::configuration::FrontEndParameters;
use crate::discovery::{CoordinatorListener, Discovery};
use crate::endpoints::{Endpoint, EndpointTable};
use crate::error::SoakError;
use crate::facts::{Fact, Facts, FrontEndIndex, Signal};
use crate::shim;
use rustix::process::{kill_process, Pid};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::platform_configuration::PlatformConfiguration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{sleep, timeout};

/// Within this time after its start a front end has to be ready.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// Pause between two liveness requests to a front end that is not ready yet.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a liveness request.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after SIGTERM that is meant for new connections. Only its sum with [`REQUESTS_AFTER_CONNECTIONS`] is used: until then, or until
/// the end of a longer suspension, clients open connections and send requests.
const CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
/// Further time after [`CONNECTIONS_AFTER_TERM`] that is meant for requests on open connections; only the sum of both is used.
const REQUESTS_AFTER_CONNECTIONS: Duration = Duration::from_millis(200);
/// Time between SIGTERM and SIGKILL. It is long enough for the requests that clients still send after SIGTERM to time out;
/// their timeouts are below 2 s.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// Front ends per /24 network of loopback addresses.
const ADDRESSES_PER_NETWORK: usize = 250;

/// The settings that are the same for all front ends of a run.
pub struct LaunchSettings {
    /// The path of the program.
    pub gateway: PathBuf,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
    /// Timeout for connecting to a worker, seconds.
    pub connect_timeout_s: f64,
    /// Number of front ends.
    pub front_ends: usize,
    /// Limit on open file descriptors of each front end.
    pub sockets: usize,
}

/// A front end, over all its processes.
pub struct FrontEnd {
    facts: Arc<Facts>,
    discovery: Arc<Discovery>,
    endpoints: Arc<EndpointTable>,
    launch: Arc<LaunchSettings>,
    index: FrontEndIndex,
    address: SocketAddr,
    /// The number of the present or last process, counted from 1; 0 before the first.
    process_number: u64,
    process: Option<Process>,
}

/// A process of a front end that has not been reaped.
struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
    /// The coordinators that the process has been configured with, oldest first; its configuration file names the last one.
    coordinators: Vec<CoordinatorListener>,
    /// Number of the last event that the endpoint list given to the process at its start includes.
    known_event: u64,
    configuration: PlatformConfiguration,
    configuration_path: PathBuf,
}

impl Process {
    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl FrontEnd {
    /// A front end without a process.
    pub fn new(
        facts: Arc<Facts>,
        discovery: Arc<Discovery>,
        endpoints: Arc<EndpointTable>,
        launch: Arc<LaunchSettings>,
        index: FrontEndIndex,
    ) -> FrontEnd {
        let address = endpoints.get(index).address;
        FrontEnd {
            facts,
            discovery,
            endpoints,
            launch,
            index,
            address,
            process_number: 0,
            process: None,
        }
    }

    /// Sets whether clients may send to the present process.
    fn set_open(&self, open: bool) {
        let endpoint = Endpoint {
            address: self.address,
            process: self.process_number,
            open,
        };
        self.endpoints.set(self.index, endpoint);
    }

    /// Starts the next process, and waits until it is ready, has ended, or [`READY_WITHIN`] is over. `rules` are the system call faults
    /// to inject, and `seed` seeds their random choices. A process that is not ready by then is no error here: the oracle reports it.
    pub async fn start(&mut self, rules: &str, seed: u64) -> Result<(), SoakError> {
        self.process_number += 1;
        let (workers, known_event) = self.discovery.snapshot();
        let coordinator = self
            .discovery
            .listen(self.index, self.process_number, known_event)
            .await?;
        let parameters = FrontEndParameters {
            index: self.index,
            front_ends: self.launch.front_ends,
            seed,
            sockets: self.launch.sockets,
            coordinator: coordinator.address,
            workers,
            connect_timeout_s: self.launch.connect_timeout_s,
        };
        let configuration = parameters.configuration();
        let configuration_path = self.file(&format!("front-{}.json", self.index));
        std::fs::write(&configuration_path, configuration.text(self.address))
            .map_err(SoakError::file(&configuration_path))?;
        let (child, stdout) = self.spawn(&configuration_path, rules, seed)?;
        self.facts.record(Fact::ProcessStarted {
            front_end: self.index,
            process: self.process_number,
        });
        self.process = Some(Process {
            child,
            stdout: BufReader::new(stdout),
            coordinators: vec![coordinator],
            known_event,
            configuration,
            configuration_path,
        });
        self.wait_until_ready().await;
        Ok(())
    }

    /// The path of a file in the run's folder.
    fn file(&self, name: &str) -> PathBuf {
        self.launch.folder.join(name)
    }

    /// Spawns the program with this configuration and these system call faults. Its log goes to a file of its own.
    fn spawn(
        &self,
        configuration: &Path,
        rules: &str,
        seed: u64,
    ) -> Result<(Child, ChildStdout), SoakError> {
        let log = self.file(&format!("front-{}-{}.log", self.index, self.process_number));
        let start_error = |source| SoakError::StartProgram {
            program: self.launch.gateway.clone(),
            source,
        };
        let mut child = Command::new(&self.launch.gateway)
            .args(["--platform", "--log", "debug"])
            .env("EDGE_CONFIG", configuration)
            .env("LD_PRELOAD", shim::library())
            .env("FAULT_RULES", rules)
            .env("FAULT_SEED", seed.to_string())
            .stdout(Stdio::piped())
            .stderr(File::create(&log).map_err(SoakError::file(&log))?)
            .kill_on_drop(true)
            .spawn()
            .map_err(start_error)?;
        let stdout = child.stdout.take();
        let stdout = stdout
            .ok_or_else(|| start_error(io::Error::other("the standard output is not piped")))?;
        Ok((child, stdout))
    }

    async fn wait_until_ready(&mut self) {
        let started = Instant::now();
        while started.elapsed() < READY_WITHIN {
            if is_alive(self.address).await {
                self.facts.record(Fact::ProcessReady {
                    front_end: self.index,
                    process: self.process_number,
                });
                return self.set_open(true);
            }
            if self.process.as_mut().is_some_and(Process::has_ended) {
                return self.reap().await;
            }
            sleep(READY_INTERVAL).await;
        }
    }

    fn signal(&mut self, signal: Signal) {
        let Some(pid) = self.process.as_ref().and_then(|p| p.child.id()) else {
            return;
        };
        let Some(pid) = Pid::from_raw(pid as i32) else {
            return;
        };
        let number = match signal {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Reload => rustix::process::Signal::HUP,
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
        };
        self.facts.record(Fact::SignalSent {
            front_end: self.index,
            process: self.process_number,
            signal,
        });
        // Fails if the process has ended by itself; that is recorded when the process is reaped.
        let _ = kill_process(pid, number);
    }

    /// Suspends the process for this time (SIGSTOP, SIGCONT).
    pub async fn suspend(&mut self, duration: Duration) {
        self.signal(Signal::Stop);
        sleep(duration).await;
        self.signal(Signal::Continue);
    }

    /// Reloads the configuration with another coordinator (SIGHUP). The old coordinator stays available until
    /// [`FrontEnd::close_old_coordinators`].
    pub async fn reload(&mut self) -> Result<(), SoakError> {
        let Some(process) = self.process.as_mut() else {
            return Ok(());
        };
        let coordinator = self
            .discovery
            .listen(self.index, self.process_number, process.known_event)
            .await?;
        process.configuration.coordinator = coordinator.address;
        process.coordinators.push(coordinator);
        let path = &process.configuration_path;
        let next = path.with_extension("next");
        std::fs::write(&next, process.configuration.text(self.address))
            .map_err(SoakError::file(&next))?;
        std::fs::rename(&next, path).map_err(SoakError::file(path))?;
        self.signal(Signal::Reload);
        Ok(())
    }

    /// Closes all coordinators of the process except the last.
    pub fn close_old_coordinators(&mut self) {
        if let Some(process) = self.process.as_mut() {
            let last = process.coordinators.len().saturating_sub(1);
            process.coordinators.drain(..last);
        }
    }

    /// Ends the process as a planned restart does: SIGTERM, then SIGKILL if it still runs after `KILL_AFTER_TERM`. Right after SIGTERM
    /// the process is suspended for `suspended`, unless that is zero.
    pub async fn terminate(&mut self, suspended: Duration) {
        if self.process.is_none() {
            return;
        }
        let signalled = Instant::now();
        self.signal(Signal::Terminate);
        if !suspended.is_zero() {
            self.suspend(suspended).await;
        }
        sleep(
            (CONNECTIONS_AFTER_TERM + REQUESTS_AFTER_CONNECTIONS)
                .saturating_sub(signalled.elapsed()),
        )
        .await;
        self.set_open(false);
        let remaining = KILL_AFTER_TERM.saturating_sub(signalled.elapsed());
        let Some(process) = self.process.as_mut() else {
            return;
        };
        if timeout(remaining, process.child.wait()).await.is_err() {
            self.signal(Signal::Kill);
        }
        self.reap().await;
    }

    /// Kills the process without warning; its open requests are lost.
    pub async fn kill(&mut self) {
        self.signal(Signal::Kill);
        self.set_open(false);
        self.reap().await;
    }

    /// Waits until the process has ended, and records its end.
    async fn reap(&mut self) {
        let Some(mut process) = self.process.take() else {
            return;
        };
        self.set_open(false);
        let status = process.child.wait().await.ok();
        let mut output = String::new();
        let _ = process.stdout.read_to_string(&mut output).await;
        self.facts.record(Fact::ProcessExited {
            front_end: self.index,
            process: self.process_number,
            code: status.and_then(|status| status.code()),
            last_line: output.lines().last().unwrap_or("").to_string(),
        });
    }

    /// Reaps the process if it has ended by itself.
    pub async fn reap_if_ended(&mut self) {
        if self.process.as_mut().is_some_and(Process::has_ended) {
            self.reap().await;
        }
    }

    /// Whether the front end has a process that has not been reaped.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }
}

/// Whether the front end at this address answers a liveness request with status 200.
async fn is_alive(address: SocketAddr) -> bool {
    let answered = async {
        let mut socket = TcpStream::connect(address).await.ok()?;
        socket
            .write_all(b"GET /alive HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        let mut line = String::new();
        BufReader::new(socket).read_line(&mut line).await.ok()?;
        line.contains(" 200 ").then_some(())
    };
    matches!(timeout(ALIVE_TIMEOUT, answered).await, Ok(Some(())))
}

/// Reserves an address for each front end, on a loopback host of its own. Outgoing connections use 127.0.0.1, so they can't take the
/// port of a front end that is down.
pub fn reserve_addresses(count: usize) -> Result<Vec<ReservedAddress>, SoakError> {
    let reserve = |index: usize| {
        let network = 1 + (index / ADDRESSES_PER_NETWORK) as u8;
        let host = [127, 0, network, 1 + (index % ADDRESSES_PER_NETWORK) as u8];
        let address = SocketAddr::from((Ipv4Addr::from(host), 0));
        ReservedAddress::on(host).map_err(SoakError::listen("a front end", address))
    };
    (0..count).map(reserve).collect()
}

/// Creates the folder for the configurations and logs of a run.
pub fn create_folder(seed: u64) -> Result<PathBuf, SoakError> {
    let name = format!("tansy-soak-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).map_err(SoakError::file(&folder))?;
    Ok(folder)
}
