//! A gateway on a thread of its own.

use crate::{until, Client};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tansy_gateway::{fleet::FleetPlacement, Gateway, Options};
use tansy_settings::agree;

/// Numbers files, so that no two are alike.
static NEXT: AtomicU64 = AtomicU64::new(0);

type GateJob = Box<dyn FnOnce(&Gateway) + Send>;

/// A gateway on a thread of its own.
pub struct Gate {
    /// Its gRPC port.
    pub grpc: SocketAddr,
    /// Its side port.
    pub http: SocketAddr,
    stop: Arc<AtomicBool>,
    state: Arc<Mutex<(String, bool)>>,
    thread: Option<JoinHandle<()>>,
    list: PathBuf,
    jobs: mpsc::Sender<GateJob>,
}

impl Gate {
    /// Starts it with settings and workers, by name and address.
    pub fn start(settings: &str, workers: &[(&str, SocketAddr)]) -> Gate {
        Gate::run(settings, workers, None)
    }

    /// Starts a front end of a fleet that the settings name, with its name, where its siblings reach it, and a voter's file.
    pub fn of_fleet(
        settings: &str,
        workers: &[(&str, SocketAddr)],
        name: &str,
        listen: SocketAddr,
        state: Option<PathBuf>,
    ) -> Gate {
        Gate::run(settings, workers, Some((name.to_string(), listen, state)))
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one table or one history, read from top to bottom"
    )]
    fn run(
        settings: &str,
        workers: &[(&str, SocketAddr)],
        fleet: Option<(String, SocketAddr, Option<PathBuf>)>,
    ) -> Gate {
        let name = format!(
            "tansy-path-{}-{}.cue",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let list = std::env::temp_dir().join(name);
        let lines: Vec<(&str, SocketAddr, &str)> = workers
            .iter()
            .map(|(name, address)| (*name, *address, "ready"))
            .collect();
        write_list(&list, &lines);
        let mut read = tansy_settings::settings("test.cue", settings)
            .unwrap_or_else(|error| panic!("{error}"));
        read.gateway.listen = ([127, 0, 0, 1], 0).into();
        read.gateway.http = ([127, 0, 0, 1], 0).into();
        let place = fleet.map(|(me, listen, state)| {
            let of_fleet = read.fleet.as_mut().expect("the settings name a fleet");
            (of_fleet.me, of_fleet.listen, of_fleet.state) = (me, listen, state);
            let own = agree::fields("test.cue", settings).unwrap_or_else(|error| panic!("{error}"));
            let first =
                agree::version("test.cue", settings).unwrap_or_else(|error| panic!("{error}"));
            FleetPlacement {
                own,
                first,
                ..FleetPlacement::default()
            }
        });
        let stop = Arc::new(AtomicBool::new(false));
        let state = Arc::new(Mutex::new((String::new(), false)));
        let (started, addresses) = mpsc::channel();
        let (jobs, queue) = mpsc::channel::<GateJob>();
        let (stopped, shared, options_list) = (stop.clone(), state.clone(), list.clone());
        let thread = std::thread::spawn(move || {
            let options = Options {
                workers: Some(options_list),
                fleet: place,
                ..Options::default()
            };
            let mut gateway = Gateway::start(read, &options).expect("the gateway starts");
            started
                .send((gateway.grpc(), gateway.http()))
                .expect("the test waits for the addresses");
            while !stopped.load(Ordering::Relaxed) {
                gateway
                    .turn(Duration::from_millis(5))
                    .expect("the loop turns");
                queue.try_iter().for_each(|job| job(&gateway));
                *shared.lock().expect("no test panicked with it") =
                    (gateway.account(), gateway.idle());
            }
        });
        let (grpc, http) = addresses.recv().expect("the gateway starts");
        Gate {
            grpc,
            http,
            stop,
            state,
            thread: Some(thread),
            list,
            jobs,
        }
    }

    /// Does something with the gateway on its thread, and gives what it gives.
    pub fn with<T: Send + 'static>(&self, job: impl FnOnce(&Gateway) -> T + Send + 'static) -> T {
        let (done, result) = mpsc::channel();
        let job: GateJob = Box::new(move |gateway| drop(done.send(job(gateway))));
        self.jobs.send(job).expect("the gateway runs");
        result.recv().expect("the gateway runs")
    }

    /// Replaces its list of workers, with states `ready`, `draining` or `gone`.
    pub fn list(&self, workers: &[(&str, SocketAddr, &str)]) {
        write_list(&self.list, workers);
    }

    /// Does something on the gateway's thread, without waiting for it.
    pub fn post(&self, job: impl FnOnce(&Gateway) + Send + 'static) {
        self.jobs.send(Box::new(job)).expect("the gateway runs");
    }

    /// The account, once no call waits or runs. It is read on the gateway's thread: an answer that a client has received is
    /// accounted only after the turn in which it was written.
    pub fn account(&self) -> Account {
        let mut line = String::new();
        until("the gateway is idle", || {
            let (account, idle) = self.with(|gateway| (gateway.account(), gateway.idle()));
            line = account;
            idle
        });
        Account(line)
    }

    /// The account as it stands.
    pub fn peek(&self) -> Account {
        Account(self.state.lock().expect("no panic").0.clone())
    }

    /// A client on a connection of its own.
    pub async fn client(&self) -> Client {
        let channel = tonic::transport::Channel::from_shared(format!("http://{}", self.grpc))
            .expect("an address");
        Client::new(
            channel
                .tcp_nodelay(true)
                .connect()
                .await
                .expect("the gateway takes connections"),
        )
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        let _ = std::fs::remove_file(&self.list);
    }
}

/// An account's line.
#[derive(Debug, Clone)]
pub struct Account(String);

impl Account {
    /// A count by name.
    pub fn get(&self, name: &str) -> u64 {
        let mut words = self.0.split_whitespace();
        let count = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        count
            .unwrap_or_else(|| panic!("no {name} in {}", self.0))
            .parse()
            .expect("a number")
    }

    /// What was taken is answered or departed, and no guard had to act.
    pub fn check(&self) {
        let ended: u64 = ["served", "refused", "failed", "departed", "open"]
            .iter()
            .map(|name| self.get(name))
            .sum();
        assert_eq!(self.get("taken"), ended, "{}", self.0);
        assert_eq!(self.get("guarded"), 0, "{}", self.0);
    }
}

fn write_list(path: &PathBuf, workers: &[(&str, SocketAddr, &str)]) {
    let line = |(name, address, state): &(&str, SocketAddr, &str)| {
        format!("{{name: \"{name}\", address: \"{address}\", state: \"{state}\"}}")
    };
    let lines: Vec<String> = workers.iter().map(line).collect();
    let text = format!(
        "workers: [{}] // {}\n",
        lines.join(", "),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    let fresh = path.with_extension("new");
    std::fs::write(&fresh, text)
        .and_then(|()| std::fs::rename(&fresh, path))
        .expect("the list can be written");
}
