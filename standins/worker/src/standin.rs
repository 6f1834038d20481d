//! The server of a stand-in worker, with its control port and timers.

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

/// Sleep when no timer is set, microseconds.
const IDLE_SLEEP_US: i64 = 3_600_000_000;
/// Added to each sleep so that the timer has expired when the sleep ends, microseconds.
const SLEEP_MARGIN_US: i64 = 100;

/// A stand-in worker that serves a listener.
pub struct Standin {
    pub(crate) spawner: Spawner,
    address: SocketAddr,
    /// The injected faults.
    pub faults: Faults,
    pub(crate) state: RefCell<WorkerState>,
    server: RefCell<Option<Rc<Server>>>,
    epoch: Instant,
    next_id: Cell<u64>,
    /// Wakers of the tasks of waiting calls and load requests.
    waiting: RefCell<HashMap<u64, Waker>>,
    /// Calls that may run (with 0) and finished load requests, with their number of loaded instances.
    ready: RefCell<HashMap<u64, u32>>,
    timer_waker: RefCell<Option<Waker>>,
    state_changed: Cell<bool>,
    /// Number of restarts.
    pub(crate) generation: Cell<u64>,
    /// Number of calls that began to run.
    pub calls_run: Cell<u64>,
}

impl Standin {
    /// Starts serving a listener. `warm`: starts with full capacity, without a slow start.
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

    /// The address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections immediately.
    pub fn drop_connections(&self) {
        if let Some(server) = &*self.server.borrow() {
            server.drop_connections();
        }
    }

    /// Sends GOAWAY on all open connections, so that clients open no new streams on them.
    pub fn drain_connections(&self) {
        if let Some(server) = &*self.server.borrow() {
            server.drain_connections();
        }
    }

    /// Simulates a restart: closes all connections, unloads all instances and begins a slow start.
    pub fn restart(&self) {
        let profile = self.state.borrow().profile().clone();
        self.generation.set(self.generation.get() + 1);
        *self.state.borrow_mut() = WorkerState::new(profile, self.now(), false);
        self.drop_connections();
    }

    /// Number of waiting and running calls.
    pub fn calls_in_flight(&self) -> usize {
        let (waiting, running, _) = self.state.borrow().load_counts();
        waiting + running as usize
    }

    /// Whether the worker was overloaded during its slow start.
    pub fn failed_under_overload(&self) -> bool {
        self.state.borrow().failed_under_overload()
    }

    /// Serves a control port: `GET /fault/WORD`, `/cut`, `/shed`, `/restart`, `/state`.
    pub fn control(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let inner = self.clone();
        let handler = Rc::new(move |path: &str| inner.on_control(path));
        status_server::start(self.spawner.clone(), listener, handler)
    }

    /// Handles a control request, and returns the HTTP status and the body.
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

    /// The body of `/state`.
    fn describe(&self) -> String {
        let (waiting, running, loads) = self.state.borrow().load_counts();
        let ran = self.calls_run.get();
        let failed = self.failed_under_overload();
        format!("waiting={waiting} running={running} loads={loads} ran={ran} fallen={failed}\n")
    }

    /// Time since the start of the server, microseconds.
    pub(crate) fn now(&self) -> i64 {
        i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// A new id for a call or a load request.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// The number of loaded instances of a finished load request, or 0 for a call that may run. Otherwise returns `None`, and wakes
    /// the task later. `keep`: the entry stays for a later poll or drop.
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

    /// Removes the waker of a call or load request.
    pub(crate) fn remove_waker(&self, id: u64) {
        self.waiting.borrow_mut().remove(&id);
    }

    /// Wakes calls that may run, and the timer task, after a change of the state.
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

    /// The current ORCA load report, encoded for a binary header.
    fn load_report(&self) -> HeaderValue {
        let (state, now) = (self.state.borrow(), self.now());
        let (waiting, running, loads) = state.load_counts();
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

    /// Status trailers with a load report.
    pub(crate) fn reported_trailers(&self, code: Code, message: &str) -> HeaderMap {
        let mut map = status_trailers(code, message);
        map.insert(names::LOAD_REPORT, self.load_report());
        map
    }
}

/// Removes a call from the worker's state when its task ends or is dropped.
pub(crate) struct CallGuard {
    pub standin: Rc<Standin>,
    pub call: CallId,
    pub function: String,
    pub running: bool,
    /// The worker's generation at the arrival of the call.
    pub generation: u64,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let standin = &self.standin;
        standin.remove_waker(self.call);
        let started = standin.ready.borrow_mut().remove(&self.call).is_some();
        // A call from before a restart holds no lane in the new state.
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

/// Drives the timers of the worker's state.
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
        let sleep_us = next.map_or(IDLE_SLEEP_US, |time| (time - now).max(0) + SLEEP_MARGIN_US);
        let sleep = standin
            .spawner
            .sleep(Duration::from_micros(sleep_us as u64));
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
