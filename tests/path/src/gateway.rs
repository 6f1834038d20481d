//! A gateway on a separate thread.

use crate::worker_list::{ListedWorker, WorkerListFile};
use crate::{wait_until, Client};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tansy_gateway::{fleet::FleetPlacement, Gateway, Options};
use tansy_settings::agreement;

/// The longest time for which the gateway waits for events before it runs jobs of the test.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(5);
/// The file name of the settings in error messages.
const SETTINGS_NAME: &str = "test.cue";

type GatewayJob = Box<dyn FnOnce(&Gateway) + Send>;

/// A front end's place in its fleet.
pub struct FleetMember {
    /// The name of the front end.
    pub name: String,
    /// The address for the other front ends.
    pub listen: SocketAddr,
    /// The state file, for a voter.
    pub state: Option<PathBuf>,
}

/// A gateway on a separate thread, which ends when this value is dropped.
pub struct GatewayThread {
    /// The address for gRPC.
    pub grpc: SocketAddr,
    /// The address for HTTP.
    pub http: SocketAddr,
    stop: Arc<AtomicBool>,
    last_account: Arc<Mutex<String>>,
    thread: Option<JoinHandle<()>>,
    workers: WorkerListFile,
    jobs: mpsc::Sender<GatewayJob>,
}

impl GatewayThread {
    /// Starts a gateway with settings and workers.
    pub fn start(settings: &str, workers: &[ListedWorker]) -> GatewayThread {
        GatewayThread::spawn(read_settings(settings), workers, None)
    }

    /// Starts a front end of the fleet that the settings name.
    pub fn start_in_fleet(
        settings: &str,
        workers: &[ListedWorker],
        member: FleetMember,
    ) -> GatewayThread {
        let mut read = read_settings(settings);
        let fleet = read.fleet.as_mut().expect("the settings name a fleet");
        (fleet.node_name, fleet.listen, fleet.state_file) =
            (member.name, member.listen, member.state);
        let placement = FleetPlacement {
            own_fields: agreement::parse_fields(SETTINGS_NAME, settings)
                .unwrap_or_else(|error| panic!("{error}")),
            initial_version: agreement::parse_version(SETTINGS_NAME, settings)
                .unwrap_or_else(|error| panic!("{error}")),
            ..FleetPlacement::default()
        };
        GatewayThread::spawn(read, workers, Some(placement))
    }

    fn spawn(
        settings: tansy_settings::Settings,
        workers: &[ListedWorker],
        fleet: Option<FleetPlacement>,
    ) -> GatewayThread {
        let workers = WorkerListFile::write(workers);
        let options = Options {
            workers: Some(workers.path().to_path_buf()),
            fleet,
            ..Options::default()
        };
        let stop = Arc::new(AtomicBool::new(false));
        let last_account = Arc::new(Mutex::new(String::new()));
        let (started, addresses) = mpsc::channel();
        let (jobs, queue) = mpsc::channel::<GatewayJob>();
        let (stopped, account) = (stop.clone(), last_account.clone());
        let thread = std::thread::spawn(move || {
            let mut gateway = Gateway::start(settings, &options).expect("the gateway starts");
            started
                .send((gateway.grpc_address(), gateway.http_address()))
                .expect("the test waits for the addresses");
            while !stopped.load(Ordering::Relaxed) {
                gateway
                    .turn(MAX_EVENT_WAIT)
                    .expect("the loop dispatches events");
                queue.try_iter().for_each(|job| job(&gateway));
                *account.lock().expect("no panic") = gateway.account();
            }
        });
        let (grpc, http) = addresses.recv().expect("the gateway starts");
        GatewayThread {
            grpc,
            http,
            stop,
            last_account,
            thread: Some(thread),
            workers,
            jobs,
        }
    }

    /// Runs a job with the gateway on its thread, and returns its result.
    pub fn with<T: Send + 'static>(&self, job: impl FnOnce(&Gateway) -> T + Send + 'static) -> T {
        let (done, result) = mpsc::channel();
        self.post(move |gateway| drop(done.send(job(gateway))));
        result.recv().expect("the gateway runs")
    }

    /// Queues a job for the gateway's thread, without waiting for it.
    pub fn post(&self, job: impl FnOnce(&Gateway) + Send + 'static) {
        self.jobs.send(Box::new(job)).expect("the gateway runs");
    }

    /// Number of calls whose function is being looked up.
    pub fn pending_calls(&self) -> usize {
        self.with(|gateway| gateway.driver().with_dispatcher(|d| d.pending_calls()))
    }

    /// Waits, within a test's client, until a call waits for the lookup of its function.
    pub async fn until_call_is_pending(&self) {
        while self.pending_calls() == 0 {
            tokio::task::yield_now().await;
        }
    }

    /// Replaces the gateway's worker list.
    pub fn set_workers(&self, workers: &[ListedWorker]) {
        self.workers.replace(workers);
    }

    /// The account, once no call waits or runs. It is read on the gateway's thread, because the gateway accounts for an answer only at
    /// the end of the turn in which it was written.
    pub fn account(&self) -> Account {
        let mut line = String::new();
        wait_until("the gateway is idle", || {
            let (account, idle) = self.with(|gateway| (gateway.account(), gateway.is_idle()));
            line = account;
            idle
        });
        Account(line)
    }

    /// The account after the gateway's last turn; calls may be open.
    pub fn last_account(&self) -> Account {
        Account(self.last_account.lock().expect("no panic").clone())
    }

    /// A client with a new connection.
    pub async fn client(&self) -> Client {
        let channel = tonic::transport::Channel::from_shared(format!("http://{}", self.grpc));
        let channel = channel.expect("an address").tcp_nodelay(true);
        let channel = channel.connect().await;
        Client::new(channel.expect("the gateway accepts connections"))
    }
}

impl Drop for GatewayThread {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Reads settings, and lets the kernel choose the ports.
fn read_settings(text: &str) -> tansy_settings::Settings {
    let settings = tansy_settings::parse_settings(SETTINGS_NAME, text);
    let mut settings = settings.unwrap_or_else(|error| panic!("{error}"));
    settings.gateway.listen = ([127, 0, 0, 1], 0).into();
    settings.gateway.http = ([127, 0, 0, 1], 0).into();
    settings
}

/// The line of an account.
#[derive(Debug, Clone)]
pub struct Account(String);

impl Account {
    /// The count of this name.
    pub fn get(&self, name: &str) -> u64 {
        let mut words = self.0.split_whitespace();
        let count = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        count
            .unwrap_or_else(|| panic!("no {name} in {}", self.0))
            .parse()
            .expect("a number")
    }

    /// Checks that every call that was taken has exactly one end or is open, and that no guard intervened.
    pub fn check(&self) {
        let ended: u64 = ["served", "refused", "failed", "departed", "open"]
            .iter()
            .map(|name| self.get(name))
            .sum();
        assert_eq!(self.get("taken"), ended, "{}", self.0);
        assert_eq!(self.get("guarded"), 0, "{}", self.0);
    }
}

impl From<String> for Account {
    /// Wraps a line that another process printed.
    fn from(line: String) -> Account {
        Account(line)
    }
}
