//! The gateway as a library: settings in, a front end that serves out. The program around it reads arguments and
//! waits for signals.

pub mod cli;
pub mod fleet;
pub mod logs;
pub mod platform;

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tansy_dispatch::{Dispatcher, Input};
use tansy_net_grpc::link::Limits as LinkLimits;
use tansy_net_grpc::server::{Limits, Server};
use tansy_net_inference::{clients, status, Driver, DriverOptions, MetadataKeys, WorkerEndpoint};
use tansy_net_sockets::interrupt::Uninterrupted;
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;
use tansy_settings::{Settings, WorkerLine};
use tansy_standin_worker::{Function, Profile, Standin, WhenAbsent};
use tansyrouter::Time;

/// The built-in settings of `--embedded`.
pub const EMBEDDED: &str = include_str!("embedded.cue");
/// Stand-in workers of `--embedded`.
const EMBEDDED_WORKERS: usize = 4;
/// How often the file of workers is looked at.
const LIST_EVERY: Duration = Duration::from_millis(200);
/// How often the totals are logged.
const TOTALS_EVERY: Duration = Duration::from_secs(10);

/// Time for what a front end tells its fleet when it leaves.
const LAST_LETTERS: Duration = Duration::from_millis(300);

/// What a run is told beside its settings.
#[derive(Debug, Default)]
pub struct Options {
    /// Workers to start in this process.
    pub embedded: bool,
    /// Several processes may listen on the ports.
    pub shared: bool,
    /// The file with the list of workers; looked at again and again.
    pub workers: Option<PathBuf>,
    /// Where the ledger's steps are written.
    pub record: Option<PathBuf>,
    /// Its place in the fleet that its settings name.
    pub fleet: Option<fleet::Place>,
}

/// A front end that serves.
pub struct Gateway {
    event_loop: EventLoop<'static, ()>,
    hub: Rc<Driver>,
    server: Rc<Server>,
    grpc: SocketAddr,
    http: SocketAddr,
    fleet: Option<(Rc<fleet::Member>, SocketAddr)>,
    drain: i64,
}

fn worker(line: WorkerLine) -> WorkerEndpoint {
    WorkerEndpoint {
        record: line.listed,
        address: line.address,
    }
}

/// How a gateway could not start, or stopped.
pub type Error = Box<dyn std::error::Error>;

impl Gateway {
    /// Binds the ports, connects nothing yet.
    pub fn start(settings: Settings, options: &Options) -> Result<Gateway, Error> {
        let event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
        let spawner = Spawner::new(event_loop.handle())?;
        let Settings {
            front: config,
            gateway: g,
            workers,
            fleet,
        } = settings;
        let grpc = listen(g.listen, options.shared)
            .map_err(|e| format!("front.listen {}: {e}", g.listen))?;
        let http =
            listen(g.http, options.shared).map_err(|e| format!("front.http {}: {e}", g.http))?;
        let (grpc_at, http_at) = (grpc.local_addr()?, http.local_addr()?);
        let setup = DriverOptions {
            clients: Limits {
                connections: g.connections,
                streams: g.streams,
                header_bytes: g.headers,
                stream_window: g.stream_window,
                message_bytes: g.message,
                preface_within: Duration::from_micros(g.preface.max(0) as u64),
            },
            workers: LinkLimits {
                stream_window: g.worker_window,
                header_bytes: g.headers,
            },
            keys: MetadataKeys {
                class: g.class_key,
                tenant: g.tenant_key,
                work_ms: g.work_key,
            },
        };
        let (zones, home) = (config.zones.clone(), config.settings.zone);
        let functions = config.functions.clone();
        let record: Option<Box<dyn Write>> = match &options.record {
            Some(path) => Some(Box::new(BufWriter::new(
                File::create(path).map_err(|e| at(path, e))?,
            ))),
            None => None,
        };
        let front = Dispatcher::new(config, Time(0))?;
        let hub = Driver::new(spawner.clone(), front, setup, record);
        // Before anything is taken: until it holds a lease and a stay it acts on no version.
        let peers = match (&fleet, &options.fleet) {
            (Some(fleet), Some(place)) => {
                let at = fleet.listen;
                let listener = listen(at, false).map_err(|e| format!("fleet.listen {at}: {e}"))?;
                let address = listener.local_addr()?;
                Some((
                    Rc::new(fleet::start(
                        spawner.clone(),
                        hub.clone(),
                        listener,
                        fleet,
                        place,
                    )?),
                    address,
                ))
            }
            _ => None,
        };
        let mut list = workers;
        if options.embedded {
            for n in 0..EMBEDDED_WORKERS {
                list.push(embedded(&spawner, n, &functions)?);
            }
        }
        // A fleet hears of workers that leave, and tells what it heard of them.
        let (told, member) = (hub.clone(), peers.as_ref().map(|p| p.0.clone()));
        let take: Rc<dyn Fn(Vec<WorkerLine>)> = Rc::new(move |list| match &member {
            Some(member) => member.list(list),
            None => told.set_workers(list.into_iter().map(worker).collect()),
        });
        match &options.workers {
            Some(path) => {
                let mut watch = ListFile {
                    path: path.clone(),
                    zones,
                    home,
                    seen: None,
                };
                let fixed = list;
                // The first reading must succeed: a gateway that starts without workers by a slip serves nobody.
                take(
                    fixed
                        .iter()
                        .cloned()
                        .chain(watch.read()?.unwrap_or_default())
                        .collect(),
                );
                let task_hub = hub.clone();
                spawner.spawn(async move {
                    loop {
                        task_hub.spawner.sleep(LIST_EVERY).await;
                        match watch.read() {
                            Ok(Some(list)) => take(fixed.iter().cloned().chain(list).collect()),
                            Ok(None) => {}
                            Err(e) => {
                                tracing::warn!(error = %e, "the list of workers stays as it was");
                                task_hub.feed(Input::WorkerListFailed);
                            }
                        }
                    }
                });
            }
            None => take(list),
        }
        let limits = hub.options.clients;
        let server = Server::start(spawner.clone(), grpc, limits, clients::handler(hub.clone()))?;
        status::start(hub.clone(), http)?;
        let totals = hub.clone();
        spawner.spawn(async move {
            loop {
                totals.spawner.sleep(TOTALS_EVERY).await;
                let (account, open) = totals.counters();
                tracing::info!(%account, open, "totals");
            }
        });
        Ok(Gateway {
            event_loop,
            hub,
            server,
            grpc: grpc_at,
            http: http_at,
            fleet: peers,
            drain: g.drain,
        })
    }

    /// What takes its calls.
    pub fn hub(&self) -> &Rc<Driver> {
        &self.hub
    }
    /// Where the gRPC port is.
    pub fn grpc(&self) -> SocketAddr {
        self.grpc
    }
    /// Where the side port is.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Where its siblings reach it, if it is in a fleet.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.fleet.as_ref().map(|f| f.1)
    }

    /// Serves until SIGTERM or SIGINT, then finishes what is held within the drain time; gives the account's line. `ready`
    /// is called once these signals are taken: whoever is told earlier could end the process by one.
    pub fn run(mut self, ready: impl FnOnce(&Gateway)) -> Result<String, Error> {
        let stop = Rc::new(std::cell::Cell::new(false));
        let (told, signals) = (
            stop.clone(),
            Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?,
        );
        let inserted = self
            .event_loop
            .handle()
            .insert_source(Uninterrupted(signals), move |_, _, ()| told.set(true));
        inserted.map_err(|e| e.to_string())?;
        ready(&self);
        while !stop.get() {
            self.turn(Duration::from_secs(60))?;
        }
        tracing::info!(open = self.hub.counters().1, "closing: no new calls");
        self.hub.feed(Input::Shutdown { grace: self.drain });
        self.server.close();
        // The last answers leave with the connections; a client that does not read does not hold up the end.
        let end = Instant::now()
            + Duration::from_micros(self.drain.max(0) as u64)
            + Duration::from_millis(500);
        while Instant::now() < end
            && !(self.hub.with_dispatcher(Dispatcher::is_idle) && self.server.connections() == 0)
        {
            self.turn(Duration::from_millis(20))?;
        }
        if let Some((member, _)) = &self.fleet {
            let peers = member.peers();
            // It has ended every call: from here on nobody need wait for it.
            peers.leave();
            let end = Instant::now() + LAST_LETTERS;
            while Instant::now() < end && !peers.is_idle() {
                self.event_loop
                    .dispatch(Some(Duration::from_millis(5)), &mut ())?;
            }
        }
        Ok(self.account())
    }

    /// The account's line.
    pub fn account(&self) -> String {
        let (account, open) = self.hub.counters();
        let workers = self.hub.with_dispatcher(Dispatcher::ready_workers);
        format!("{account} open={open} workers={workers}")
    }

    /// Whether no call, attempt or order is left.
    pub fn idle(&self) -> bool {
        self.hub.with_dispatcher(Dispatcher::is_idle)
    }

    /// One turn of the loop, at most so long.
    pub fn turn(&mut self, most: Duration) -> Result<(), Error> {
        let sleep = self.hub.sleep().map_or(most, |s| s.min(most));
        self.event_loop.dispatch(Some(sleep), &mut ())?;
        self.hub.tick();
        Ok(())
    }
}

fn at(path: &Path, e: impl std::fmt::Display) -> String {
    format!("{}: {e}", path.display())
}

/// The file of workers, read when it has changed.
struct ListFile {
    path: PathBuf,
    zones: Vec<String>,
    home: usize,
    seen: Option<(SystemTime, u64)>,
}

impl ListFile {
    fn read(&mut self) -> Result<Option<Vec<WorkerLine>>, Error> {
        let meta = std::fs::metadata(&self.path).map_err(|e| at(&self.path, e))?;
        let seen = Some((meta.modified()?, meta.len()));
        if seen == self.seen {
            return Ok(None);
        }
        let text = std::fs::read_to_string(&self.path).map_err(|e| at(&self.path, e))?;
        let name = self.path.display().to_string();
        let list = tansy_settings::workers(&name, &text, &self.zones, self.home)?;
        self.seen = seen;
        Ok(Some(list))
    }
}

fn embedded(
    spawner: &Spawner,
    n: usize,
    functions: &[tansy_dispatch::FunctionSpec],
) -> io::Result<WorkerLine> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)), false)?;
    let function = |f: &tansy_dispatch::FunctionSpec| Function {
        name: f.name.clone(),
        memory_mb: f.memory_mb,
        lanes: f.lanes,
        load: f.load_time.unwrap_or(100_000),
        work: 2_000,
    };
    let profile = Profile {
        name: format!("embedded-{n}"),
        functions: functions.iter().map(function).collect(),
        memory_mb: 4_000.0,
        idle_life: 10_000_000,
        loads: 2,
        queue: 1000,
        when_absent: WhenAbsent::Load,
        cores: 4.0,
        cold_from: 1.0,
        warm_up: 1,
        fall_multiple: f64::MAX,
        fall_after: 1_000_000,
    };
    let name = profile.name.clone();
    let standin = Standin::start(spawner.clone(), listener, profile, true)?;
    let listed = tansy_dispatch::WorkerRecord {
        name,
        kind: 0,
        cell: 0,
        zone: 0,
        state: 0,
        age: None,
        relative_size: 1.0,
    };
    Ok(WorkerLine {
        listed,
        address: standin.address(),
        incarnation: 0,
    })
}
