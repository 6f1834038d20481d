//! A running gateway: its event loop, its ports, its workers and its membership in a fleet.

use crate::worker_list::{ApplyWorkers, WorkerListFile};
use crate::{embedded, fleet, GatewayError, Options};
use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use std::cell::Cell;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_dispatch::{DispatchConfig, Dispatcher, FunctionSpec, Input};
use tansy_net_grpc::link::Limits as LinkLimits;
use tansy_net_grpc::server::{Limits, Server};
use tansy_net_inference::{clients, status, Driver, DriverOptions, MetadataKeys, WorkerEndpoint};
use tansy_net_sockets::interrupt::IgnoreInterrupts;
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;
use tansy_settings::{ConfiguredWorker, FleetSettings, Settings};
use tansyrouter::Time;

/// Interval at which the totals are logged.
const TOTALS_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum wait in one iteration of the event loop while the gateway serves.
const IDLE_TURN: Duration = Duration::from_secs(60);
/// Maximum wait in one iteration of the event loop while the gateway waits for open calls to end.
const DRAIN_TURN: Duration = Duration::from_millis(20);
/// Maximum wait in one iteration of the event loop while the front end leaves its fleet.
const LEAVE_TURN: Duration = Duration::from_millis(5);
/// Maximum time for sending the messages with which a front end leaves its fleet.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Additional time, after the drain time, in which the last replies are written and client connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A running gateway.
pub struct Gateway {
    event_loop: EventLoop<'static, ()>,
    driver: Rc<Driver>,
    server: Rc<Server>,
    grpc: SocketAddr,
    http: SocketAddr,
    fleet: Option<(Rc<fleet::FleetMember>, SocketAddr)>,
    /// Time to finish open calls at a shutdown, microseconds.
    drain_timeout: i64,
}

impl Gateway {
    /// Binds the ports and starts to serve. Connections to workers are opened when calls need them.
    pub fn start(settings: Settings, options: &Options) -> Result<Gateway, GatewayError> {
        let event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
        let spawner = Spawner::new(event_loop.handle())?;
        let Settings {
            dispatch: config,
            gateway,
            workers,
            fleet,
        } = settings;
        let grpc = bind("front.listen", gateway.listen, options.shared)?;
        let http = bind("front.http", gateway.http, options.shared)?;
        let grpc_address = grpc.local_addr()?;
        let http_address = http.local_addr()?;
        let sources = WorkerSources::new(workers, &config, options);
        let drain_timeout = gateway.drain_timeout;
        let record = options.record.as_deref();
        let driver = start_driver(&spawner, config, driver_options(gateway), record)?;
        // The node starts before any call is accepted: without a lease and a session, no version of the settings may be applied.
        let fleet = join_fleet(&spawner, &driver, fleet.as_ref(), options)?;
        let member = fleet.as_ref().map(|(member, _)| member.clone());
        sources.start(&spawner, &driver, apply_workers(driver.clone(), member))?;
        let limits = driver.options.clients;
        let server = Server::start(
            spawner.clone(),
            grpc,
            limits,
            clients::handler(driver.clone()),
        )?;
        status::start(driver.clone(), http)?;
        spawner.spawn(log_totals(driver.clone()));
        Ok(Gateway {
            event_loop,
            driver,
            server,
            grpc: grpc_address,
            http: http_address,
            fleet,
            drain_timeout,
        })
    }

    /// The driver of the dispatcher.
    pub fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// The address of the gRPC port.
    pub fn grpc_address(&self) -> SocketAddr {
        self.grpc
    }

    /// The address of the HTTP/1.1 side port.
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// The address at which peers reach the gateway, if it is a member of a fleet.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref().map(|(_, address)| *address)
    }

    /// Serves until SIGTERM or SIGINT, then finishes open calls within the drain time and returns [`Gateway::account`].
    /// `ready` is called once the signals are handled; an earlier signal terminates the process immediately.
    pub fn run(mut self, ready: impl FnOnce(&Gateway)) -> Result<String, GatewayError> {
        let stop_requested = self.watch_signals()?;
        ready(&self);
        while !stop_requested.get() {
            self.turn(IDLE_TURN)?;
        }
        tracing::info!(
            open = self.driver.counters().1,
            "shutting down: no new calls"
        );
        self.driver.feed(Input::Shutdown {
            grace: self.drain_timeout,
        });
        self.server.close();
        self.finish_calls()?;
        self.leave_fleet()?;
        Ok(self.account())
    }

    /// Returns a flag that is set once SIGTERM or SIGINT arrives.
    fn watch_signals(&self) -> Result<Rc<Cell<bool>>, GatewayError> {
        let stop_requested = Rc::new(Cell::new(false));
        let requested = stop_requested.clone();
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?;
        let handle = self.event_loop.handle();
        let inserted = handle.insert_source(IgnoreInterrupts(signals), move |_, _, ()| {
            requested.set(true);
        });
        inserted.map_err(|error| GatewayError::Signals(error.to_string()))?;
        Ok(stop_requested)
    }

    /// Waits until all calls have ended and all client connections are closed. The wait is bounded, so that a client that does
    /// not read its reply can't delay the shutdown.
    fn finish_calls(&mut self) -> Result<(), GatewayError> {
        let drain = Duration::from_micros(self.drain_timeout.max(0) as u64);
        let end = Instant::now() + drain + CLOSE_TIMEOUT;
        while Instant::now() < end
            && !(self.driver.with_dispatcher(Dispatcher::is_idle) && self.server.connections() == 0)
        {
            self.turn(DRAIN_TURN)?;
        }
        Ok(())
    }

    /// Leaves the fleet, so that no change of the settings has to wait for this front end. It is called once the open calls have ended
    /// or the time for them is over.
    fn leave_fleet(&mut self) -> Result<(), GatewayError> {
        let Some((member, _)) = &self.fleet else {
            return Ok(());
        };
        let transport = member.transport();
        transport.leave();
        let end = Instant::now() + LEAVE_TIMEOUT;
        while Instant::now() < end && !transport.is_idle() {
            self.event_loop.dispatch(Some(LEAVE_TURN), &mut ())?;
        }
        Ok(())
    }

    /// The counters of calls, the number of open calls and the number of ready workers, as one line.
    pub fn account(&self) -> String {
        let (account, open) = self.driver.counters();
        let workers = self.driver.with_dispatcher(Dispatcher::ready_workers);
        format!("{account} open={open} workers={workers}")
    }

    /// Whether no call, attempt or load request is open.
    pub fn is_idle(&self) -> bool {
        self.driver.with_dispatcher(Dispatcher::is_idle)
    }

    /// Runs one iteration of the event loop, which waits for at most `max`.
    pub fn turn(&mut self, max: Duration) -> Result<(), GatewayError> {
        let sleep = self.driver.sleep().map_or(max, |sleep| sleep.min(max));
        self.event_loop.dispatch(Some(sleep), &mut ())?;
        self.driver.tick();
        Ok(())
    }
}

/// Listens on the address that `setting` gives; a failure names this setting.
fn bind(
    setting: &'static str,
    address: SocketAddr,
    shared: bool,
) -> Result<TcpListener, GatewayError> {
    listen(address, shared).map_err(|source| GatewayError::Listen {
        setting,
        address,
        source,
    })
}

fn driver_options(gateway: tansy_settings::GatewaySettings) -> DriverOptions {
    DriverOptions {
        clients: Limits {
            connections: gateway.max_connections,
            streams: gateway.max_streams,
            header_bytes: gateway.max_header_bytes,
            stream_window: gateway.stream_window,
            message_bytes: gateway.max_message_bytes,
            preface_timeout: Duration::from_micros(gateway.preface_timeout.max(0) as u64),
        },
        workers: LinkLimits {
            stream_window: gateway.worker_window,
            header_bytes: gateway.max_header_bytes,
        },
        keys: MetadataKeys {
            class: gateway.class_key,
            tenant: gateway.tenant_key,
            work_ms: gateway.work_key,
        },
    }
}

/// Starts the driver of a new dispatcher, whose inputs are recorded to the file `record`, if given.
fn start_driver(
    spawner: &Spawner,
    config: DispatchConfig,
    options: DriverOptions,
    record: Option<&Path>,
) -> Result<Rc<Driver>, GatewayError> {
    let record: Option<Box<dyn Write>> = match record {
        Some(path) => {
            let file = File::create(path).map_err(|source| GatewayError::File {
                path: path.to_path_buf(),
                source,
            })?;
            Some(Box::new(BufWriter::new(file)))
        }
        None => None,
    };
    let dispatcher = Dispatcher::new(config, Time(0))?;
    Ok(Driver::new(spawner.clone(), dispatcher, options, record))
}

/// Joins the fleet that the settings name. Returns the member and the address at which its peers reach it.
fn join_fleet(
    spawner: &Spawner,
    driver: &Rc<Driver>,
    fleet: Option<&FleetSettings>,
    options: &Options,
) -> Result<Option<(Rc<fleet::FleetMember>, SocketAddr)>, GatewayError> {
    let (Some(fleet), Some(placement)) = (fleet, &options.fleet) else {
        return Ok(None);
    };
    let listener = bind("fleet.listen", fleet.listen, false)?;
    let address = listener.local_addr()?;
    let member = fleet::start(spawner.clone(), driver.clone(), listener, fleet, placement)?;
    Ok(Some((Rc::new(member), address)))
}

/// The sources of the gateway's worker list.
struct WorkerSources {
    /// Workers that the settings list.
    configured: Vec<ConfiguredWorker>,
    /// The functions of the embedded workers; `None` without embedded workers.
    embedded: Option<Vec<FunctionSpec>>,
    /// The worker list file.
    file: Option<WorkerListFile>,
}

impl WorkerSources {
    fn new(
        configured: Vec<ConfiguredWorker>,
        config: &DispatchConfig,
        options: &Options,
    ) -> WorkerSources {
        let file = |path: &PathBuf| {
            let home_zone = config.settings.zone;
            WorkerListFile::new(path.clone(), config.zones.clone(), home_zone)
        };
        WorkerSources {
            configured,
            embedded: options.embedded.then(|| config.functions.clone()),
            file: options.workers.as_ref().map(file),
        }
    }

    /// Applies the workers of the settings, the embedded workers, and those of the worker list file whenever it changes.
    fn start(
        mut self,
        spawner: &Spawner,
        driver: &Rc<Driver>,
        apply: ApplyWorkers,
    ) -> Result<(), GatewayError> {
        if let Some(functions) = &self.embedded {
            self.configured
                .extend(embedded::start_workers(spawner, functions)?);
        }
        match self.file {
            Some(file) => file.watch(driver.clone(), self.configured, apply),
            None => {
                apply(self.configured);
                Ok(())
            }
        }
    }
}

/// Returns the function that applies a list of workers. In a fleet the list is passed to the fleet member, which exchanges
/// with its peers which workers are draining.
fn apply_workers(driver: Rc<Driver>, member: Option<Rc<fleet::FleetMember>>) -> ApplyWorkers {
    let worker = |configured: ConfiguredWorker| WorkerEndpoint {
        record: configured.record,
        address: configured.address,
    };
    Rc::new(move |workers: Vec<ConfiguredWorker>| match &member {
        Some(member) => member.update_workers(workers),
        None => driver.set_workers(workers.into_iter().map(worker).collect()),
    })
}

/// Logs the counters of calls and the number of open calls every [`TOTALS_INTERVAL`].
async fn log_totals(driver: Rc<Driver>) {
    loop {
        driver.spawner.sleep(TOTALS_INTERVAL).await;
        let (account, open) = driver.counters();
        tracing::info!(%account, open, "totals");
    }
}
