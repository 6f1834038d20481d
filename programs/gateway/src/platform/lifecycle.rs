//! Signals, reloads and the graceful shutdown of a front end on the platform.
//!
//! On SIGHUP the front end reads its configuration again and polls the coordinator that it names. On SIGTERM and SIGINT it
//! serves for another [`SHUTDOWN_WINDOW`], then stops accepting connections, answers every open call before its deadline, and
//! exits.

use super::configuration::read;
use super::{retry_calloop, PlatformError, PlatformFrontEnd};
use calloop::signals::{Signal, Signals as Source};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_dispatch::Input;
use tansy_net_sockets::interrupt::IgnoreInterrupts;
use tansyrouter::Micros;

/// Time for which the front end serves after SIGTERM. The platform still opens connections for 0.4 s, and sends requests for
/// another 0.2 s.
const SHUTDOWN_WINDOW: Duration = Duration::from_millis(800);
/// Time after the longest deadline until which open calls are answered at a shutdown.
const KILL_GRACE: Duration = Duration::from_millis(400);
/// Pause before a failed reload of the configuration is retried.
const RELOAD_RETRY: Duration = Duration::from_millis(100);
/// Attempts at a reload, which may fail for lack of descriptors or because the file is only partly written.
const RELOAD_ATTEMPTS: u32 = 20;
/// Longest iteration of the event loop while no reload is due.
const IDLE_TURN: Duration = Duration::from_secs(60);
/// Longest iteration of the event loop while the last connections are accepted.
const ACCEPT_TURN: Duration = Duration::from_millis(5);
/// Longest iteration of the event loop while open calls are answered.
const DRAIN_TURN: Duration = Duration::from_millis(20);

/// The handled signals of this process. Once this value exists, they stay pending until the event loop reads them, and no
/// longer terminate the process.
pub struct Signals(Source);

impl Signals {
    /// Blocks the signals and opens a descriptor to read them. Must be called first at the start: an earlier signal terminates
    /// the process.
    ///
    /// # Errors
    /// If a system call fails.
    pub fn new() -> Result<Signals, PlatformError> {
        let source = retry_calloop("signals", || {
            Source::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        })?;
        Ok(Signals(source))
    }
}

/// Actions that signals have requested.
#[derive(Default)]
struct Requested {
    stop: Cell<bool>,
    reload: Cell<bool>,
}

/// The state of a reload of the configuration and its retries.
struct Reload {
    path: PathBuf,
    /// Time of the next attempt; `None` if no reload is due.
    due: Option<Instant>,
    attempts_left: u32,
}

impl PlatformFrontEnd {
    /// Reads the configuration again and applies its coordinator and its endpoint list. Returns whether the file was valid; if
    /// it was not, nothing changes.
    pub fn reload(&self, path: &Path) -> bool {
        match read(path) {
            Ok(config) => {
                tracing::info!(coordinator = %config.coordinator, index = self.poller.index(), "configuration read");
                self.poller.move_to(config.coordinator, &config.known);
                true
            }
            Err(error) => {
                tracing::error!(%error, "the configuration stays as it was");
                false
            }
        }
    }

    /// Serves until SIGTERM or SIGINT, shuts down gracefully, and returns the account line.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn run(mut self, path: &Path, signals: Signals) -> Result<String, PlatformError> {
        let requested = self.watch_signals(signals)?;
        let mut reload = Reload {
            path: path.to_path_buf(),
            due: None,
            attempts_left: 0,
        };
        tracing::info!(listen = %self.address, index = self.poller.index(), "serving");
        while !requested.stop.get() {
            self.turn_and_reload(IDLE_TURN, &requested, &mut reload)?;
        }
        self.shut_down(&requested, &mut reload)
    }

    fn watch_signals(&self, signals: Signals) -> Result<Rc<Requested>, PlatformError> {
        let requested = Rc::new(Requested::default());
        let recorded = requested.clone();
        let inserted = self.event_loop.handle().insert_source(
            IgnoreInterrupts(signals.0),
            move |event, _, ()| {
                let flag = if event.signal() == Signal::SIGHUP {
                    &recorded.reload
                } else {
                    &recorded.stop
                };
                flag.set(true);
            },
        );
        inserted.map_err(|e| PlatformError::Signals(e.to_string()))?;
        Ok(requested)
    }

    /// Runs one iteration of the event loop, and then the reload of the configuration if it is due.
    fn turn_and_reload(
        &mut self,
        max: Duration,
        requested: &Requested,
        reload: &mut Reload,
    ) -> Result<(), PlatformError> {
        let due = reload
            .due
            .map(|t| t.saturating_duration_since(Instant::now()));
        self.turn(due.map_or(max, |d| d.min(max)))?;
        if requested.reload.take() {
            reload.due = Some(Instant::now());
            reload.attempts_left = RELOAD_ATTEMPTS;
        }
        if reload.due.is_some_and(|t| t <= Instant::now()) {
            let done = self.reload(&reload.path);
            reload.attempts_left = if done {
                0
            } else {
                reload.attempts_left.saturating_sub(1)
            };
            reload.due = (reload.attempts_left > 0).then(|| Instant::now() + RELOAD_RETRY);
        }
        Ok(())
    }

    /// Serves through the shutdown window, accepts the connections that the kernel has queued, and answers all open calls.
    fn shut_down(
        mut self,
        requested: &Requested,
        reload: &mut Reload,
    ) -> Result<String, PlatformError> {
        let began = Instant::now();
        let end = began + self.deadline + KILL_GRACE;
        tracing::info!(open = self.driver.counters().1, "stopping");
        self.serve_window(began, requested, reload)?;
        // Clients whose connections the kernel has accepted may have sent requests: they are served before calls are refused.
        while !self.clients.stop_accepting() && Instant::now() < end {
            self.turn_and_reload(ACCEPT_TURN, requested, reload)?;
        }
        self.turn_and_reload(Duration::ZERO, requested, reload)?;
        let left = end.saturating_duration_since(Instant::now());
        self.driver.feed(Input::Shutdown {
            grace: left.as_micros() as Micros,
        });
        while Instant::now() < end + KILL_GRACE / 2 && !self.is_idle() {
            self.turn_and_reload(DRAIN_TURN, requested, reload)?;
        }
        Ok(self.final_counters())
    }

    fn serve_window(
        &mut self,
        began: Instant,
        requested: &Requested,
        reload: &mut Reload,
    ) -> Result<(), PlatformError> {
        while began.elapsed() < SHUTDOWN_WINDOW {
            let left = SHUTDOWN_WINDOW
                .saturating_sub(began.elapsed())
                .max(Duration::from_millis(1));
            self.turn_and_reload(left, requested, reload)?;
        }
        Ok(())
    }

    /// Whether no call and no client connection is open.
    fn is_idle(&self) -> bool {
        self.driver.counters().1 == 0 && self.clients.is_empty()
    }

    fn final_counters(&self) -> String {
        let (account, open) = self.driver.counters();
        let violations = self.driver.violations();
        tracing::info!(%account, open, violations, reasons = %self.driver.reasons, "stopped");
        format!("{account} open={open} violations={violations}")
    }
}
