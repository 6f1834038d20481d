//! A stand-in worker on a listener, with its control port and its timers.

use crate::fault::Faults;
use crate::profile::Profile;
use crate::serve::serve;
use crate::state::{CallId, WorkerState};
use base64::Engine as _;
use http::{HeaderMap, HeaderValue};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};
use tansy_frames::grpc::Code;
use tansy_inference::names;
use tansy_inference::orca::OrcaLoadReport;
use tansy_net_grpc::server::{status_trailers, Limits, Server};
use tansy_net_grpc::status_server;
use tansy_net_sockets::{within, Spawner};

/// How long the timers sleep when none is due, microseconds.
const IDLE_SLEEP: i64 = 3_600_000_000;
/// Added to each sleep, so that the timer is due when it ends, microseconds.
const SLEEP_MARGIN: i64 = 100;

/// A stand-in worker on a listener.
pub struct Standin {
    pub(crate) spawner: Spawner,
    address: SocketAddr,
    /// Injected faults.
    pub faults: Faults,
    pub(crate) state: RefCell<WorkerState>,
    server: RefCell<Option<Rc<Server>>>,
    epoch: Instant,
    next_id: Cell<u64>,
    /// Calls and load requests that wait.
    waiting: RefCell<HashMap<u64, Waker>>,
    /// Calls that may run, and load requests that are done with their instances.
    ready: RefCell<HashMap<u64, u32>>,
    timer_waker: RefCell<Option<Waker>>,
    state_changed: Cell<bool>,
    /// Counts restarts.
    pub(crate) generation: Cell<u64>,
    /// Calls that ran to their end, or that began to.
    pub calls_run: Cell<u64>,
}

impl Standin {
    /// Serves a listener. `warm`: it counts as having run for long.
    pub fn start(
        spawner: Spawner,
        listener: TcpListener,
        profile: Profile,
        warm: bool,
    ) -> io::Result<Rc<Standin>> {
        let address = listener.local_addr()?;
        let standin = Rc::new(Standin {
            spawner: spawner.clone(),
            address,
            faults: Faults::default(),
            state: RefCell::new(WorkerState::new(profile, 0, warm)),
            server: RefCell::new(None),
            epoch: Instant::now(),
            next_id: Cell::new(0),
            waiting: RefCell::new(HashMap::new()),
            ready: RefCell::new(HashMap::new()),
            timer_waker: RefCell::new(None),
            state_changed: Cell::new(false),
            generation: Cell::new(0),
            calls_run: Cell::new(0),
        });
        let inner = standin.clone();
        let handler = Rc::new(move |request, respond| {
            let task = serve(inner.clone(), request, respond);
            inner.spawner.spawn(task);
        });
        let server = Server::start(spawner.clone(), listener, Limits::default(), handler)?;
        *standin.server.borrow_mut() = Some(server);
        spawner.spawn(run_timers(standin.clone()));
        Ok(standin)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends all its connections at once.
    pub fn drop_connections(&self) {
        if let Some(server) = &*self.server.borrow() {
            server.drop_connections();
        }
    }

    /// Asks its clients by GOAWAY to open no new stream on the connections that are open.
    pub fn drain_connections(&self) {
        if let Some(server) = &*self.server.borrow() {
            server.drain_connections();
        }
    }

    /// Starts anew, empty and cold: connections end, instances are gone.
    pub fn restart(&self) {
        let profile = self.state.borrow().profile().clone();
        self.generation.set(self.generation.get() + 1);
        *self.state.borrow_mut() = WorkerState::new(profile, self.now(), false);
        self.drop_connections();
    }

    /// Calls that wait or run.
    pub fn calls_in_flight(&self) -> usize {
        let (waiting, running, _) = self.state.borrow().load_figures();
        waiting + running as usize
    }

    /// Whether it failed under overload: while cold it was sent more than it can serve.
    pub fn failed_under_overload(&self) -> bool {
        self.state.borrow().failed_under_overload()
    }

    /// Serves a control port: `GET /fault/WORD`, `/cut`, `/shed`, `/restart`, `/state`.
    pub fn control(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let inner = self.clone();
        let answers = Rc::new(move |path: &str| inner.on_control(path));
        status_server::start(self.spawner.clone(), listener, answers)
    }

    /// Carries out a control request; gives the HTTP status and the body.
    fn on_control(&self, path: &str) -> (&'static str, String) {
        match path {
            "/cut" => self.drop_connections(),
            "/shed" => self.drain_connections(),
            "/restart" => self.restart(),
            "/state" => return ("200 OK", self.describe()),
            _ => {
                let Some(word) = path.strip_prefix("/fault/") else {
                    let usage = "GET /fault/WORD, /cut, /shed, /restart or /state\n";
                    return ("404 Not Found", usage.into());
                };
                if let Err(error) = self.faults.set(word) {
                    return ("400 Bad Request", format!("{error}\n"));
                }
            }
        }
        ("200 OK", "done\n".to_string())
    }

    fn describe(&self) -> String {
        let (waiting, running, loads) = self.state.borrow().load_figures();
        let ran = self.calls_run.get();
        let fallen = self.failed_under_overload();
        format!("waiting={waiting} running={running} loads={loads} ran={ran} fallen={fallen}\n")
    }

    /// Microseconds since it was started.
    pub(crate) fn now(&self) -> i64 {
        i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// An id for a call or a load request.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Whether it may go on: gives the instances of a load request, 0 for a call. Otherwise its task is woken later.
    pub(crate) fn poll_ready(&self, id: u64, waker: &Waker, keep: bool) -> Option<u32> {
        let ready = match keep {
            true => self.ready.borrow().get(&id).copied(),
            false => self.ready.borrow_mut().remove(&id),
        };
        if ready.is_none() {
            self.waiting.borrow_mut().insert(id, waker.clone());
        }
        ready
    }

    /// Forgets a waker.
    pub(crate) fn stop_waiting(&self, id: u64) {
        self.waiting.borrow_mut().remove(&id);
    }

    /// Wakes the calls that may run now, and the timers: the state has changed.
    pub(crate) fn on_state_change(&self) {
        self.wake_started();
        self.state_changed.set(true);
        if let Some(waker) = self.timer_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    fn wake_started(&self) {
        let started = self.state.borrow_mut().take_started();
        for call in started {
            self.wake(call, 0);
        }
    }

    fn wake(&self, id: u64, instances: u32) {
        self.ready.borrow_mut().insert(id, instances);
        if let Some(waker) = self.waiting.borrow_mut().remove(&id) {
            waker.wake();
        }
    }

    fn load_report(&self) -> HeaderValue {
        let (state, now) = (self.state.borrow(), self.now());
        let (waiting, running, loads) = state.load_figures();
        let capacity = state.capacity_share(now) * state.profile().cores;
        let metrics = [
            ("queued", waiting as f64),
            ("held", waiting as f64 + f64::from(running)),
            ("loads", loads as f64),
        ];
        let report = OrcaLoadReport {
            cpu_utilization: (f64::from(running) / capacity.max(0.01)).min(1.0),
            mem_utilization: state.pinned_memory(),
            named_metrics: metrics
                .map(|(name, value)| (name.to_string(), value))
                .into(),
            ..Default::default()
        };
        let text = base64::engine::general_purpose::STANDARD_NO_PAD.encode(report.encode_to_vec());
        HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static(""))
    }

    /// Trailers with a load report.
    pub(crate) fn reported_trailers(&self, code: Code, message: &str) -> HeaderMap {
        let mut map = status_trailers(code, message);
        map.insert(names::LOAD_REPORT, self.load_report());
        map
    }
}

/// A call at the worker: when its task ends, also when that is dropped, the call leaves the worker's state.
pub(crate) struct CallGuard {
    pub standin: Rc<Standin>,
    pub call: CallId,
    pub function: String,
    pub running: bool,
    /// The worker's generation when the call arrived.
    pub generation: u64,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let standin = &self.standin;
        standin.stop_waiting(self.call);
        let started = standin.ready.borrow_mut().remove(&self.call).is_some();
        // What ran before a restart took no lane of what came after.
        if self.generation == standin.generation.get() {
            let (now, ran) = (standin.now(), self.running || started);
            standin
                .state
                .borrow_mut()
                .finish(self.call, &self.function, ran, now);
            standin.on_state_change();
        }
    }
}

/// Runs the timers of the worker's state.
async fn run_timers(standin: Rc<Standin>) {
    loop {
        let now = standin.now();
        standin.state.borrow_mut().on_timer(now);
        standin.wake_started();
        let finished = standin.state.borrow_mut().take_finished_loads();
        for (request, instances) in finished {
            standin.wake(request, instances);
        }
        let next = standin.state.borrow().next_timer();
        let span = next.map_or(IDLE_SLEEP, |time| (time - now).max(0) + SLEEP_MARGIN);
        let sleep = standin.spawner.sleep(Duration::from_micros(span as u64));
        let changed = poll_fn(|cx| {
            if standin.state_changed.replace(false) {
                return Poll::Ready(());
            }
            *standin.timer_waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        });
        within(sleep, changed).await;
    }
}
