//! Feeds the dispatcher's state machine and executes its commands.

mod commands;

use crate::attempts::AttemptObserver;
use crate::call::{CallContext, CancelSignal};
use crate::directory::{DirectoryEntry, FunctionDirectory};
use crate::options::{DriverOptions, MetadataKeys, WorkerEndpoint};
use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansy_dispatch::record::RecordedStep;
use tansy_dispatch::{
    AttemptOutcome, Call, CallId, Command, ConfigError, ControlRequestId, Counters, Dispatcher,
    EffectiveConfig, FunctionLookup, FunctionShape, Input, InputQueue, Trailers,
};
use tansy_net_grpc::link::Link;
use tansy_net_sockets::{clock, Spawner};
use tansyrouter::Time;

/// Microseconds that the event loop sleeps past a timer's due time, so that the tick of the timer wheel has begun.
const TIMER_SLACK_US: u64 = 50;

struct DriverState {
    dispatcher: Dispatcher,
    inputs: InputQueue,
    next_call: u64,
    calls: HashMap<CallId, Rc<CallContext>>,
    attempts: HashMap<CallId, Rc<CancelSignal>>,
    control_requests: HashMap<ControlRequestId, Rc<CancelSignal>>,
    links: HashMap<String, Rc<Link>>,
    addresses: HashMap<String, SocketAddr>,
    recording: Option<Box<dyn Write>>,
    workers: Vec<WorkerEndpoint>,
}

impl DriverState {
    /// Runs one step of the dispatcher and writes it to the recording, if recording is enabled.
    fn step(&mut self, now: Time, input: Input, commands: &mut Vec<Command>) {
        let recorded = self.recording.is_some().then(|| input.clone());
        self.dispatcher.step(now, input, commands);
        if let (Some(input), Some(recording)) = (recorded, &mut self.recording) {
            let step = RecordedStep {
                at: now.0,
                input,
                commands: commands.clone(),
            };
            if let Err(error) = writeln!(recording, "{}", step.to_line()) {
                tracing::error!(%error, "cannot write the recording; recording stopped");
                self.recording = None;
            }
        }
    }
}

/// Connects one front end's dispatcher to its network connections.
pub struct Driver {
    /// Spawns the tasks of calls, attempts and control requests.
    pub spawner: Spawner,
    /// Limits and metadata keys.
    pub options: DriverOptions,
    keys: RefCell<Rc<MetadataKeys>>,
    epoch: i64,
    state: RefCell<DriverState>,
    directory: OnceCell<Rc<dyn FunctionDirectory>>,
}

impl Driver {
    /// Creates a driver for a dispatcher. If `recording` is given, each step of the dispatcher is written to it as a line.
    pub fn new(
        spawner: Spawner,
        dispatcher: Dispatcher,
        options: DriverOptions,
        recording: Option<Box<dyn Write>>,
    ) -> Rc<Driver> {
        let state = RefCell::new(DriverState {
            dispatcher,
            inputs: InputQueue::default(),
            next_call: 0,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            control_requests: HashMap::new(),
            links: HashMap::new(),
            addresses: HashMap::new(),
            recording,
            workers: Vec::new(),
        });
        let keys = RefCell::new(Rc::new(options.keys.clone()));
        Rc::new(Driver {
            spawner,
            options,
            keys,
            epoch: clock::now(),
            state,
            directory: OnceCell::new(),
        })
    }

    /// The current time on the dispatcher's clock, which starts at zero when the driver is created.
    pub fn now(&self) -> Time {
        Time(clock::now() - self.epoch)
    }

    /// The metadata keys from which calls take their class, tenant and work estimate.
    pub fn metadata_keys(&self) -> Rc<MetadataKeys> {
        self.keys.borrow().clone()
    }

    /// Applies a configuration now, and each of `scheduled` after its delay in microseconds. On an error nothing changes.
    pub fn apply_settings(
        &self,
        effective: EffectiveConfig,
        keys: MetadataKeys,
        scheduled: Vec<(i64, EffectiveConfig)>,
    ) -> Result<(), ConfigError> {
        let now = self.now();
        let scheduled = scheduled
            .into_iter()
            .map(|(delay, config)| (now.plus(delay), config))
            .collect();
        self.state
            .borrow_mut()
            .dispatcher
            .apply_settings(now, effective, scheduled)?;
        *self.keys.borrow_mut() = Rc::new(keys);
        Ok(())
    }

    /// Postpones the scheduled configurations: each applies after its delay in `delays`, microseconds from now. Returns
    /// false if one of them applies already.
    pub fn extend_expiry(&self, delays: &[i64]) -> bool {
        let now = self.now();
        let expiries: Vec<Time> = delays.iter().map(|delay| now.plus(*delay)).collect();
        self.state
            .borrow_mut()
            .dispatcher
            .extend_expiry(now, &expiries)
    }

    /// How long the event loop may sleep before it must call [`Driver::tick`]; `None` if no timer is pending.
    pub fn sleep(&self) -> Option<Duration> {
        let due = self.state.borrow().dispatcher.next_due()?;
        let left = due.since(self.now()).max(0) as u64;
        Some(Duration::from_micros(left + TIMER_SLACK_US))
    }

    /// Runs the dispatcher's timers if one is due.
    pub fn tick(self: &Rc<Self>) {
        let due = self.state.borrow().dispatcher.next_due();
        if due.is_some_and(|at| at <= self.now()) {
            self.feed(Input::Tick);
        }
    }

    /// Replaces the list of workers.
    pub fn set_workers(self: &Rc<Self>, workers: Vec<WorkerEndpoint>) {
        let mut moved = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.addresses = workers
                .iter()
                .map(|worker| (worker.record.name.clone(), worker.address))
                .collect();
            // Retires the link to a worker whose address changed; its next attempt connects to the new address.
            let DriverState {
                links, addresses, ..
            } = &mut *state;
            links.retain(|name, link| {
                let same = addresses.get(name).is_none_or(|a| *a == link.address());
                if !same {
                    moved.push(link.clone());
                }
                same
            });
            state.workers = workers.clone();
        }
        moved.iter().for_each(|link| link.retire());
        let workers = workers.into_iter().map(|worker| worker.record).collect();
        self.feed(Input::Workers {
            full: true,
            workers,
        });
    }

    /// Calls `read` with the dispatcher.
    pub fn with_dispatcher<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.state.borrow().dispatcher)
    }

    /// Enables counters of final answers by class.
    pub fn enable_class_counters(&self) {
        self.state.borrow_mut().dispatcher.enable_class_counters();
    }

    /// Values the answers that are counted by class according to these classes, by name, instead of those of the settings
    /// in force.
    pub fn set_valuation_classes(&self, classes: BTreeMap<String, tansyrouter::Class>) {
        self.state
            .borrow_mut()
            .dispatcher
            .set_valuation_classes(classes);
    }

    /// The counters and the number of open calls.
    pub fn counters(&self) -> (Counters, u64) {
        let state = self.state.borrow();
        let open = state.dispatcher.open_calls() as u64;
        (state.dispatcher.counters().clone(), open)
    }

    /// Sets the directory for functions that the settings in force do not name. Later calls of this method have no effect.
    pub fn set_directory(&self, directory: Rc<dyn FunctionDirectory>) {
        let _ = self.directory.set(directory);
    }

    /// Repeats the lookup of functions for which calls wait, and resumes the calls of those that are resolved.
    pub fn resolve_pending(self: &Rc<Self>) {
        let functions: Vec<String> = self.with_dispatcher(|dispatcher| {
            let awaited = dispatcher.awaited_functions();
            awaited.map(str::to_string).collect()
        });
        for function in functions {
            // The settings may have come to name the function since its call arrived.
            let configured = self.configured_function(&function);
            match configured.or_else(|| self.lookup(&function)) {
                None | Some(FunctionLookup::Pending) => {}
                Some(lookup) => self.feed(Input::FunctionResolved { function, lookup }),
            }
        }
    }

    /// The lookup result of a function that the settings in force name; `None` if they do not name it.
    fn configured_function(&self, function: &str) -> Option<FunctionLookup> {
        self.with_dispatcher(|dispatcher| {
            let spec = dispatcher
                .function(function)
                .filter(|_| dispatcher.is_configured(function))?;
            let shape = FunctionShape {
                lanes: spec.lanes,
                memory_mb: spec.memory_mb,
                load_time: spec.load_time,
            };
            Some(FunctionLookup::Known {
                class: spec.class,
                shape,
            })
        })
    }

    /// Whether the settings or the directory allow calls of this function now. The directory may start to fetch a function
    /// that it does not know yet.
    pub fn is_known(&self, function: &str) -> bool {
        self.with_dispatcher(|dispatcher| dispatcher.is_configured(function))
            || matches!(self.lookup(function), Some(FunctionLookup::Known { .. }))
    }

    /// Looks a function up in the directory; `None` if the settings in force name it or no directory is set.
    fn lookup(&self, function: &str) -> Option<FunctionLookup> {
        let directory = self.directory.get()?;
        if self.with_dispatcher(|dispatcher| dispatcher.is_configured(function)) {
            return None;
        }
        Some(match directory.lookup(function) {
            DirectoryEntry::Known { class, shape } => {
                // Calls of a class that the settings in force do not define are refused.
                let class = self.with_dispatcher(|dispatcher| dispatcher.class_index(&class));
                class.map_or(FunctionLookup::Refused, |class| FunctionLookup::Known {
                    class,
                    shape,
                })
            }
            DirectoryEntry::Refused => FunctionLookup::Refused,
            DirectoryEntry::Unknown => FunctionLookup::Unknown,
            DirectoryEntry::Pending => FunctionLookup::Pending,
        })
    }

    /// Starts a call. The answer goes to the call's response queue.
    pub fn start_call(self: &Rc<Self>, make: impl FnOnce(CallId) -> (CallContext, Call)) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.next_call += 1;
            CallId(state.next_call)
        };
        let (context, call) = make(id);
        context.responses.call_started(id);
        self.state.borrow_mut().calls.insert(id, Rc::new(context));
        self.feed(match self.lookup(&call.function) {
            None => Input::Call(call),
            Some(lookup) => Input::CallLookedUp { call, lookup },
        });
    }

    /// Reports that the client of these calls has left.
    pub fn client_left(self: &Rc<Self>, calls: Vec<CallId>) {
        for call in calls {
            self.state.borrow_mut().calls.remove(&call);
            self.feed(Input::ClientLeft { call });
        }
    }

    /// Passes an input to the dispatcher and executes the resulting commands. Inputs that arise meanwhile are processed
    /// afterwards, in order.
    pub fn feed(self: &Rc<Self>, input: Input) {
        if !self.state.borrow_mut().inputs.push(input) {
            return;
        }
        let mut commands = Vec::new();
        loop {
            let now = self.now();
            {
                let mut state = self.state.borrow_mut();
                let Some(input) = state.inputs.take() else {
                    return;
                };
                state.step(now, input, &mut commands);
            }
            for command in commands.drain(..) {
                self.execute(command);
            }
        }
    }
}

impl AttemptObserver for Driver {
    fn attempt_event(self: &Rc<Self>, input: Input) {
        self.feed(input);
    }

    fn attempt_ended(
        self: &Rc<Self>,
        call: CallId,
        attempt: u32,
        outcome: AttemptOutcome,
        trailers: Trailers,
    ) {
        self.state.borrow_mut().attempts.remove(&call);
        self.feed(Input::AttemptEnded {
            call,
            attempt,
            outcome,
            trailers,
        });
    }

    fn control_request_ended(
        self: &Rc<Self>,
        request: ControlRequestId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    ) {
        self.state.borrow_mut().control_requests.remove(&request);
        self.feed(Input::ControlRequestEnded {
            request,
            outcome,
            trailers,
        });
    }
}
