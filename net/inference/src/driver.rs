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

/// The loop may sleep a little past a timer, microseconds, so that the tick of the timer wheel has begun.
const PAST_DUE: u64 = 50;

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
    /// One step of the dispatcher, written to the recording if there is one.
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
                tracing::error!(%error, "the record can't be written; recording ends");
                self.recording = None;
            }
        }
    }
}

/// The driver of one front end.
pub struct Driver {
    /// Starts its tasks.
    pub spawner: Spawner,
    /// Its bounds and names.
    pub options: DriverOptions,
    keys: RefCell<Rc<MetadataKeys>>,
    epoch: i64,
    state: RefCell<DriverState>,
    directory: OnceCell<Rc<dyn FunctionDirectory>>,
}

impl Driver {
    /// A driver of a dispatcher. `recording` gets every step of the dispatcher as a line.
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

    /// The dispatcher's clock.
    pub fn now(&self) -> Time {
        Time(clock::now() - self.epoch)
    }

    /// By which keys calls state what they are.
    pub fn metadata_keys(&self) -> Rc<MetadataKeys> {
        self.keys.borrow().clone()
    }

    /// Applies this configuration from now on, and each of `scheduled` when so many microseconds have passed. On an error
    /// nothing changes.
    pub fn apply_settings(
        &self,
        effective: EffectiveConfig,
        keys: MetadataKeys,
        scheduled: Vec<(i64, EffectiveConfig)>,
    ) -> Result<(), ConfigError> {
        let now = self.now();
        let scheduled = scheduled
            .into_iter()
            .map(|(after, config)| (now.plus(after), config))
            .collect();
        self.state
            .borrow_mut()
            .dispatcher
            .apply_settings(now, effective, scheduled)?;
        *self.keys.borrow_mut() = Rc::new(keys);
        Ok(())
    }

    /// The settings in force are valid for longer: the scheduled ones apply so long from now, one figure for each. False:
    /// some apply already.
    pub fn extend_expiry(&self, after: &[i64]) -> bool {
        let now = self.now();
        let expiries: Vec<Time> = after.iter().map(|after| now.plus(*after)).collect();
        self.state
            .borrow_mut()
            .dispatcher
            .extend_expiry(now, &expiries)
    }

    /// How long the loop may sleep before it has to call [`Driver::tick`].
    pub fn sleep(&self) -> Option<Duration> {
        let due = self.state.borrow().dispatcher.next_due()?;
        let left = due.since(self.now()).max(0) as u64;
        Some(Duration::from_micros(left + PAST_DUE))
    }

    /// Lets the dispatcher's timers run if one is due.
    pub fn tick(self: &Rc<Self>) {
        let due = self.state.borrow().dispatcher.next_due();
        if due.is_some_and(|at| at <= self.now()) {
            self.feed(Input::Tick);
        }
    }

    /// Takes up the full list of workers.
    pub fn set_workers(self: &Rc<Self>, workers: Vec<WorkerEndpoint>) {
        let mut moved = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.addresses = workers
                .iter()
                .map(|worker| (worker.record.name.clone(), worker.address))
                .collect();
            // A worker that came back elsewhere is reached there, and no longer where it was.
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

    /// Reads the dispatcher.
    pub fn with_dispatcher<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.state.borrow().dispatcher)
    }

    /// Has final answers counted by class from now on.
    pub fn enable_class_counters(&self) {
        self.state.borrow_mut().dispatcher.enable_class_counters();
    }

    /// Has answers that are counted by class valued by these classes, by name, whatever the settings in force say.
    pub fn set_valuation_classes(&self, classes: BTreeMap<String, tansyrouter::Class>) {
        self.state
            .borrow_mut()
            .dispatcher
            .set_valuation_classes(classes);
    }

    /// The counters, and calls still open.
    pub fn counters(&self) -> (Counters, u64) {
        let state = self.state.borrow();
        let open = state.dispatcher.open_calls() as u64;
        (state.dispatcher.counters().clone(), open)
    }

    /// Calls of functions that the settings in force do not name are looked up so from now on. Only the first directory
    /// counts.
    pub fn set_directory(&self, directory: Rc<dyn FunctionDirectory>) {
        let _ = self.directory.set(directory);
    }

    /// Looks up again the functions that calls wait for.
    pub fn resolve_pending(self: &Rc<Self>) {
        let functions: Vec<String> = self.with_dispatcher(|dispatcher| {
            let awaited = dispatcher.awaited_functions();
            awaited.map(str::to_string).collect()
        });
        for function in functions {
            // A version may name it by now.
            let configured = self.configured_function(&function);
            match configured.or_else(|| self.lookup(&function)) {
                None | Some(FunctionLookup::Pending) => {}
                Some(lookup) => self.feed(Input::FunctionResolved { function, lookup }),
            }
        }
    }

    /// A function that the settings in force name, as a lookup would give it.
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

    /// Whether calls of this function would be accepted now, as far as its settings say; what is not known yet is asked
    /// for.
    pub fn is_known(&self, function: &str) -> bool {
        self.with_dispatcher(|dispatcher| dispatcher.is_configured(function))
            || matches!(self.lookup(function), Some(FunctionLookup::Known { .. }))
    }

    /// What is known of a function; `None`: the settings in force name it, or there is no directory.
    fn lookup(&self, function: &str) -> Option<FunctionLookup> {
        let directory = self.directory.get()?;
        if self.with_dispatcher(|dispatcher| dispatcher.is_configured(function)) {
            return None;
        }
        Some(match directory.lookup(function) {
            DirectoryEntry::Known { class, shape } => {
                // A class that the settings in force don't have says nothing of what its calls are.
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

    /// Starts a call; its answer comes to its response queue.
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

    /// The client of these calls has left.
    pub fn client_left(self: &Rc<Self>, calls: Vec<CallId>) {
        for call in calls {
            self.state.borrow_mut().calls.remove(&call);
            self.feed(Input::ClientLeft { call });
        }
    }

    /// Gives the dispatcher an input and executes its commands. Inputs that arise meanwhile follow in order.
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
