//! Signals, reloads and the graceful shutdown of a front end on the platform.
//!
//! SIGHUP reads the configuration again and moves the endpoint poll. SIGTERM and SIGINT begin the shutdown: the front end
//! serves on for [`SHUTDOWN_WINDOW`], then accepts no more, answers every open call within its time, and ends.

use super::configuration::read;
use super::{retry_loop, Platform, PlatformError};
use calloop::signals::{Signal, Signals as Source};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tansy_dispatch::Input;
use tansy_net_sockets::interrupt::IgnoreInterrupts;
use tansyrouter::Micros;

/// After SIGTERM the platform still opens connections for 0.4 s and sends requests for 0.2 s more; both are served.
const SHUTDOWN_WINDOW: Duration = Duration::from_millis(800);
/// Time between the longest deadline and the platform's kill: what is open is answered well before.
const KILL_GRACE: Duration = Duration::from_millis(400);
/// Pause before an unreadable configuration is read again ...
const RELOAD_RETRY: Duration = Duration::from_millis(100);
/// ... and how often that is done: no descriptor may have been left, or the file be half written.
const RELOAD_ATTEMPTS: u32 = 20;
/// The longest turn of the loop while nothing is due.
const IDLE_TURN: Duration = Duration::from_secs(60);
/// A turn of the loop while the last connections are accepted.
const ACCEPT_TURN: Duration = Duration::from_millis(5);
/// A turn of the loop while open calls are answered.
const DRAIN_TURN: Duration = Duration::from_millis(20);

/// Signals to this process: from here on they wait to be handled, and end nothing by themselves.
pub struct Signals(Source);

impl Signals {
    /// To be made before all else, so that no signal comes too early.
    ///
    /// # Errors
    /// The system call that failed.
    pub fn new() -> Result<Signals, PlatformError> {
        let source = retry_loop("signals", || {
            Source::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        })?;
        Ok(Signals(source))
    }
}

/// What signals have requested.
#[derive(Default)]
struct Requested {
    stop: Cell<bool>,
    reload: Cell<bool>,
}

/// A reload of the configuration.
struct Reload {
    path: PathBuf,
    due: Option<Instant>,
    attempts_left: u32,
}

impl Platform {
    /// Reads the configuration again and takes the coordinator and its list from it. Returns whether the file was valid; if
    /// not, everything stays as it was.
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

    /// Serves until SIGTERM or SIGINT, shuts down gracefully, and returns the line of counters.
    ///
    /// # Errors
    /// The event loop's, which ends the process.
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

    /// One turn, and the reload if one was requested meanwhile.
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

    /// Serves through the window, accepts what the kernel has taken, answers open calls, and ends.
    fn shut_down(
        mut self,
        requested: &Requested,
        reload: &mut Reload,
    ) -> Result<String, PlatformError> {
        let began = Instant::now();
        let end = began + self.deadline + KILL_GRACE;
        tracing::info!(open = self.driver.counters().1, "stopping");
        self.serve_window(began, requested, reload)?;
        // What the machine has taken for us is ours: it is read, and served, before calls are refused.
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
