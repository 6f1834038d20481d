//! The load generator: clients that send calls at a constant rate, cancel some, and read some answers slowly.
//!
//! - `plan`: rate, functions and other parameters of the load.
//! - `call`: generates a random call.
//! - `exchange`: sends a call on a connection.
//! - `result`: counters and latencies.

mod call;
mod exchange;
mod plan;
mod result;

pub use plan::{LoadFunction, LoadPlan};
pub use result::LoadResult;

use crate::error::ScenarioError;
use call::PlannedCall;
use calloop::EventLoop;
use exchange::CallOutcome;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tansy_net_grpc::link::{Limits, Link};
use tansy_net_sockets::Spawner;

/// Maximum number of connections that a client tries in turn until it reaches a front end.
const MAX_CONNECTION_ATTEMPTS: usize = 4;
const CONNECTIONS_PER_FRONT_END: usize = 4;
/// Time after the end of the plan until unanswered calls count as lost.
const GRACE_SECONDS: f64 = 5.0;
/// Time between two checks for open calls after the last one was sent.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
const NANOS_PER_SECOND: u64 = 1_000_000_000;
/// Number of progress reports over the plan's time.
const PROGRESS_STEPS: f64 = 1000.0;

/// State shared by the open calls.
struct CallStatistics {
    open_calls: Cell<u64>,
    result: RefCell<LoadResult>,
}

impl CallStatistics {
    fn record(&self, outcome: CallOutcome, latency: Duration, first_message: Option<u64>) {
        self.open_calls.set(self.open_calls.get() - 1);
        let mut result = self.result.borrow_mut();
        match outcome {
            CallOutcome::Served => {
                result.served += 1;
                let micros = latency.as_micros() as u64;
                result.latency.saturating_record(micros);
                if let Some(first_message) = first_message {
                    result.first_message.saturating_record(first_message);
                }
            }
            CallOutcome::Refused => result.refused += 1,
            CallOutcome::Failed => result.failed += 1,
            CallOutcome::Cancelled => result.cancelled += 1,
            CallOutcome::Lost | CallOutcome::NotSent => result.lost += 1,
        }
    }
}

/// Runs the clients on a new thread.
pub(crate) fn spawn(plan: LoadPlan) -> JoinHandle<Result<LoadResult, ScenarioError>> {
    std::thread::spawn(move || {
        let (progress, _receiver) = mpsc::channel();
        run(&plan, &progress)
    })
}

/// Waits for the clients' thread and returns its result.
pub(crate) fn join(
    clients: JoinHandle<Result<LoadResult, ScenarioError>>,
) -> Result<LoadResult, ScenarioError> {
    let result = clients.join();
    result.map_err(|_| ScenarioError::ThreadEnded("load generator"))?
}

/// Runs the clients on this thread; sends the elapsed share of the plan's time to `progress` repeatedly.
///
/// # Errors
/// The event loop fails.
pub fn run(plan: &LoadPlan, progress: &mpsc::Sender<f64>) -> Result<LoadResult, ScenarioError> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let mut clients = Clients::new(plan, Spawner::new(event_loop.handle())?)?;
    while !clients.are_done() {
        clients.apply_stop();
        if clients.send_if_due() {
            continue;
        }
        if let Some(passed) = clients.new_progress() {
            // The receiver may have been dropped.
            let _ = progress.send(passed);
        }
        event_loop.dispatch(Some(clients.time_to_next()), &mut ())?;
    }
    let open = clients.statistics.open_calls.get();
    // Drops the open calls, so that none is counted twice.
    drop(event_loop);
    let mut result = clients.statistics.result.replace(LoadResult::new()?);
    result.begun = clients.sent;
    result.lost += open;
    Ok(result)
}

/// All clients, which share one event loop.
struct Clients<'a> {
    plan: &'a LoadPlan,
    spawner: Spawner,
    links: Vec<Rc<Link>>,
    statistics: Rc<CallStatistics>,
    rng: fastrand::Rng,
    started: Instant,
    sent: u64,
    /// Number of calls to send; less than the plan's once the plan is stopped.
    call_count: u64,
    /// Time in which the calls are due; shorter than the plan's once the plan is stopped.
    seconds: f64,
    /// The last reported progress, in units of 1 / [`PROGRESS_STEPS`].
    reported_steps: u64,
}

impl<'a> Clients<'a> {
    fn new(plan: &'a LoadPlan, spawner: Spawner) -> Result<Clients<'a>, ScenarioError> {
        let link = |index: usize| {
            let address = plan.front_ends[index / CONNECTIONS_PER_FRONT_END];
            Link::new(spawner.clone(), address, Limits::default())
        };
        let links = (0..plan.front_ends.len() * CONNECTIONS_PER_FRONT_END)
            .map(link)
            .collect();
        let statistics = Rc::new(CallStatistics {
            open_calls: Cell::new(0),
            result: RefCell::new(LoadResult::new()?),
        });
        Ok(Clients {
            plan,
            spawner,
            links,
            statistics,
            rng: fastrand::Rng::with_seed(plan.seed),
            started: Instant::now(),
            sent: 0,
            call_count: plan.call_count(),
            seconds: plan.seconds,
            reported_steps: 0,
        })
    }

    /// Whether all calls were sent, and are answered or past the grace time.
    fn are_done(&self) -> bool {
        let in_grace = self.started.elapsed().as_secs_f64() < self.seconds + GRACE_SECONDS;
        self.sent >= self.call_count && !(self.statistics.open_calls.get() > 0 && in_grace)
    }

    fn apply_stop(&mut self) {
        if self.sent < self.call_count && self.plan.is_stopped() {
            self.call_count = self.sent;
            self.seconds = self.started.elapsed().as_secs_f64();
        }
    }

    fn next_due(&self) -> Instant {
        self.started + Duration::from_nanos(NANOS_PER_SECOND * self.sent / self.plan.rate)
    }

    /// Starts the next call if it is due.
    fn send_if_due(&mut self) -> bool {
        if self.sent >= self.call_count || self.next_due() > Instant::now() {
            return false;
        }
        let call = PlannedCall::generate(self.plan, self.links.len(), &mut self.rng);
        let request = call.request(self.plan.id_prefix, self.sent);
        // If a connection fails, the client tries the next front end.
        let links: Vec<Rc<Link>> = (0..MAX_CONNECTION_ATTEMPTS)
            .map(|attempt| {
                (call.first_link + attempt * (CONNECTIONS_PER_FRONT_END + 1)) % self.links.len()
            })
            .map(|index| self.links[index].clone())
            .collect();
        let statistics = self.statistics.clone();
        let task = perform(self.spawner.clone(), statistics, links, call, request);
        self.spawner.spawn(task);
        self.sent += 1;
        true
    }

    /// The elapsed share of the plan's time, if a further step has passed since the last report.
    fn new_progress(&mut self) -> Option<f64> {
        let share = self.started.elapsed().as_secs_f64() / self.plan.seconds;
        let steps = (share * PROGRESS_STEPS) as u64;
        if steps <= self.reported_steps {
            return None;
        }
        self.reported_steps = steps;
        Some(steps as f64 / PROGRESS_STEPS)
    }

    fn time_to_next(&self) -> Duration {
        if self.sent < self.call_count {
            self.next_due().saturating_duration_since(Instant::now())
        } else {
            DRAIN_POLL_INTERVAL
        }
    }
}

/// Performs a call on the first connection that is available, and records its outcome.
async fn perform(
    spawner: Spawner,
    statistics: Rc<CallStatistics>,
    links: Vec<Rc<Link>>,
    call: PlannedCall,
    request: bytes::Bytes,
) {
    statistics.open_calls.set(statistics.open_calls.get() + 1);
    let started = Instant::now();
    let mut first_message = None;
    let attempts = async {
        let mut outcome = CallOutcome::NotSent;
        for link in &links {
            let body = request.clone();
            outcome = exchange::send(&spawner, link, &call, body, &mut first_message).await;
            if outcome != CallOutcome::NotSent {
                break;
            }
        }
        outcome
    };
    let outcome = match call.cancel_after {
        Some(after) => tansy_net_sockets::within(spawner.sleep(after), attempts)
            .await
            .unwrap_or(CallOutcome::Cancelled),
        None => attempts.await,
    };
    statistics.record(outcome, started.elapsed(), first_message);
}
