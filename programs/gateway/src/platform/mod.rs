//! A front end on the platform. It has one configuration file and one listener, and takes its workers from the coordinator's
//! endpoint list. It runs as a single process and is not a member of a fleet.
//!
//! - [`read`], [`read_at_start`]: read the configuration file.
//! - [`PlatformFrontEnd::start`]: starts the listener, the dispatcher's driver and the endpoint poller on one event loop.
//! - [`PlatformFrontEnd::run`]: serves until SIGTERM, then shuts down gracefully (`lifecycle`).

mod configuration;
mod error;
mod lifecycle;

pub use configuration::{read, read_at_start};
pub use error::{ConfigurationError, PlatformError};
pub use lifecycle::Signals;

use calloop::EventLoop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_dispatch::{DispatchConfig, Dispatcher};
use tansy_net_platform::{ClientListener, Driver, EndpointPoller, ServingLimits};
use tansy_net_sockets::socket::{descriptor_limit, listen, retry};
use tansy_net_sockets::{io_error, Spawner};
use tansy_platform::{Config, EndpointList};
use tansyrouter::{Micros, Settings, Time};

/// Lower bound of the longest call time that is assumed, microseconds.
const MIN_DEADLINE: Micros = 3_000_000;
/// Time for which a failed system call is retried at the start; the platform expects a front end to be ready within 30 s.
const START_RETRY_TIME: Duration = Duration::from_secs(20);
/// Interval at which connections to workers are maintained.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the totals are logged.
const TOTALS_INTERVAL: Duration = Duration::from_secs(10);

/// A front end on the platform.
pub struct PlatformFrontEnd {
    event_loop: EventLoop<'static, ()>,
    driver: Rc<Driver>,
    clients: Rc<ClientListener>,
    poller: Rc<EndpointPoller>,
    address: SocketAddr,
    /// The longest deadline of a call.
    deadline: Duration,
}

impl PlatformFrontEnd {
    /// Binds the port and starts to poll the endpoint list.
    ///
    /// # Errors
    /// If the settings are invalid, the port can't be bound, or a system call fails.
    pub fn start(config: &Config) -> Result<PlatformFrontEnd, PlatformError> {
        let event_loop: EventLoop<'static, ()> =
            retry_calloop("the event loop", EventLoop::try_new)?;
        let spawner = retry(START_RETRY_TIME, "the task spawner", || {
            Spawner::new(event_loop.handle())
        })?;
        let dispatch = dispatch_config(config)?;
        let max_call_time = dispatch.max_call_time;
        let listener = retry(START_RETRY_TIME, "the listener", || {
            listen(config.listen, false)
        })
        .map_err(|source| PlatformError::Listen {
            address: config.listen,
            source,
        })?;
        let address = listener.local_addr()?;
        let dispatcher = Dispatcher::new(dispatch, Time(0))?;
        // The process's descriptor limit applies if it is lower than the configured number of sockets.
        let limits = ServingLimits::new(config, descriptor_limit());
        let driver = Driver::new(spawner.clone(), dispatcher, limits, Instant::now());
        let list = EndpointList::new(
            config.settings.zones.clone(),
            config.settings.machine_types.clone(),
        );
        let poller = EndpointPoller::start(driver.clone(), list, config.coordinator, &config.known);
        let clients = ClientListener::start(driver.clone(), listener)?;
        spawner.spawn(maintain(driver.clone(), clients.clone()));
        Ok(PlatformFrontEnd {
            event_loop,
            driver,
            clients,
            poller,
            address,
            deadline: Duration::from_micros(max_call_time.max(0) as u64),
        })
    }

    /// The address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The driver of the dispatcher.
    pub fn driver(&self) -> &Rc<Driver> {
        &self.driver
    }

    /// The listener and its client connections.
    pub fn clients(&self) -> &Rc<ClientListener> {
        &self.clients
    }

    /// The poller of the endpoint list.
    pub fn poller(&self) -> &Rc<EndpointPoller> {
        &self.poller
    }

    /// Runs one iteration of the event loop, which waits for at most `max`.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn turn(&mut self, max: Duration) -> Result<(), PlatformError> {
        let sleep = self.driver.next_timer_in().map_or(max, |s| s.min(max));
        let next = self
            .driver
            .spawner
            .timers()
            .next_in()
            .map_or(sleep, |t| t.min(sleep));
        self.driver.lag.on_turn_start(Instant::now(), next);
        self.event_loop.dispatch(Some(sleep), &mut ())?;
        self.driver.on_turn_end();
        self.driver.lag.on_turn_end(Instant::now());
        Ok(())
    }
}

/// The dispatcher's configuration.
fn dispatch_config(config: &Config) -> Result<DispatchConfig, PlatformError> {
    let settings = Settings {
        memory_limit: config.limits.memory_bytes(),
        ..tansy_conf::router_settings(&config.settings)?
    };
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    let max_call_time = deadlines.max().unwrap_or(0).max(MIN_DEADLINE);
    let classes = config.settings.classes.iter();
    Ok(DispatchConfig {
        classes: classes.map(|class| class.name.clone()).collect(),
        tenants: Vec::new(),
        zones: config.settings.zones.clone(),
        functions: Vec::new(),
        max_call_time,
        seed: config.seed(),
        settings,
    })
}

/// Maintains the connections to workers and logs the totals, each at its interval.
async fn maintain(driver: Rc<Driver>, clients: Rc<ClientListener>) {
    let mut logged_at = Instant::now();
    loop {
        driver.spawner.sleep(MAINTENANCE_INTERVAL).await;
        driver.maintain_connections();
        if logged_at.elapsed() >= TOTALS_INTERVAL {
            logged_at = Instant::now();
            log_totals(&driver, &clients);
        }
    }
}

fn log_totals(driver: &Driver, clients: &ClientListener) {
    let (account, open) = driver.counters();
    let violations = driver.violations();
    let reasons = &driver.reasons;
    let (sizes, function_names) = driver.with_dispatcher(|dispatcher| {
        (
            dispatcher.function_table_sizes(),
            dispatcher.name_counts().0,
        )
    });
    tracing::info!(
        %account, open, violations, %reasons, held = ?driver.table_sizes(),
        unsent_calls = driver.unsent_calls(), clients = ?clients.counts(),
        accept_pauses = clients.pauses(), accept_queue_ms = clients.queue_age().as_millis() as u64,
        functions = sizes.functions, instances = sizes.instances,
        ranked_workers = sizes.ranked_workers, function_names,
        "totals"
    );
}

/// Like [`retry`], for functions that return an error of the event loop library.
fn retry_calloop<T>(
    subject: &str,
    mut make: impl FnMut() -> calloop::Result<T>,
) -> Result<T, PlatformError> {
    Ok(retry(START_RETRY_TIME, subject, || {
        make().map_err(io_error)
    })?)
}
