//! The interface of the router: its settings, the events it takes and the actions it gives.
//!
//! Nothing here decides anything. All times are microseconds of one monotonic clock with an arbitrary zero.

/// A length of time in microseconds.
pub type Span = i64;

/// One second as a [`Span`].
pub const SECOND: Span = 1_000_000;

/// A moment on the caller's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub i64);

impl Time {
    /// The moment `span` later (earlier, if negative); saturates at the ends of the clock.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span))
    }
    /// How long ago `earlier` was, seen from here; saturates.
    pub fn since(self, earlier: Time) -> Span {
        self.0.saturating_sub(earlier.0)
    }
}

/// A client request. Unique for the life of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A worker: the same number at every front end, and after a restart of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WorkerId(pub u64);
/// A function that is loaded on demand: the same number at every front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FunctionId(pub u64);

/// Workers among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// A group of workers drops repeats for `window` after the first send that may have run.
    Keyed {
        /// Who drops repeats.
        group: Group,
        /// For how long.
        window: Span,
    },
    /// A repeat would act twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Full worth is earned up to here after arrival.
    pub aim: Span,
    /// The aim grows by this multiple of the request's own work (0: it does not).
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Span,
    /// Whether repeats are allowed.
    pub effect: Effect,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth left to an answer after the aim.
    pub late_worth: f64,
    /// The answer comes as a stream.
    pub streamed: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all front ends.
    pub quota_per_s: f64,
    /// Its part of the service, 0 to 1.
    pub fraction: f64,
}

/// What a worker does with a call of a function it lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenAbsent {
    /// It loads the function while the call waits.
    Load,
    /// It answers [`Outcome::NotLoaded`]; only an order loads.
    Miss,
}

/// How load reports reach the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With outcomes and probe results.
    Attached,
    /// With probe results only.
    Pulled,
    /// Never.
    Absent,
}

/// How many orders to load a router may give: `free + part x requests taken`, over any `period`.
#[derive(Clone, Copy, Debug)]
pub struct Ration {
    /// Orders free of any request.
    pub free: f64,
    /// Orders for each request taken.
    pub part: f64,
    /// The window.
    pub period: Span,
}

/// Start settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front end's number among its siblings.
    pub me: usize,
    /// How many front ends there are, this one included.
    pub siblings: usize,
    /// The zone this front end stands in.
    pub zone: usize,
    /// The classes of requests; a request names one by its place here.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request over its tenant's quota, as a share of its usual worth.
    pub over_quota_worth: f64,
    /// Worth counts for each unit of work, not for each request.
    pub worth_by_work: bool,
    /// The list of workers comes unasked.
    pub list_pushed: bool,
    /// Where it must be asked: a router that has not asked for so long is taken as informed.
    pub ask_within: Span,
    /// [`Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub may_probe: bool,
    /// [`Action::Load`], [`Action::Unload`] are allowed.
    pub may_order: bool,
    /// A request may have two attempts out at once.
    pub may_double: bool,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Requests a front end may hold open.
    pub max_held: usize,
    /// The longest advice to stay away that clients heed; 0: none.
    pub max_stay_away: Span,
    /// A connection not made by then has failed.
    pub connect_timeout: Span,
    /// What a worker does on a miss.
    pub when_absent: WhenAbsent,
    /// Least time that an idle instance stays.
    pub idle_life: Span,
    /// An order unanswered for so long has failed.
    pub order_timeout: Span,
    /// The limit on orders to load, if any.
    pub ration: Option<Ration>,
    /// Outcomes tell whether an instance stood loaded.
    pub tells_warm: bool,
    /// Outcomes tell how many calls of the function the worker held.
    pub tells_crowd: bool,
    /// How load reports come.
    pub reports: Reports,
    /// Memory of each kind of machine, MB.
    pub kind_memory_mb: Vec<f64>,
    /// Price of an attempt that crosses zones, as a share of a request's worth.
    pub cross_zone_price: f64,
    /// Price of a fetch from the shared store, likewise.
    pub fetch_price: f64,
    /// Price of all memory standing idle, likewise.
    pub idle_price: f64,
    /// Price of one probe or order, likewise.
    pub probe_price: f64,
    /// A starting worker has at least this share of its capacity.
    pub cold_from: f64,
    /// And all of it after this time.
    pub warm_up: Span,
    /// A cold worker falls when sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_after: Span,
    /// Sends to a draining or gone worker must stop within this time of being told.
    pub drain_grace: Span,
    /// A final answer so long after the client's deadline still counts.
    pub answer_slack: Span,
    /// Least time between two batches of events.
    pub tick: Span,
}

impl Default for Settings {
    /// One front end, one safe class, workers that load on a miss, nothing limited.
    fn default() -> Settings {
        Settings {
            me: 0,
            siblings: 1,
            zone: 0,
            classes: vec![Class {
                aim: SECOND,
                aim_stretch: 0.0,
                deadline: 5 * SECOND,
                effect: Effect::Safe,
                worth: 1.0,
                late_worth: 0.0,
                streamed: false,
            }],
            tenants: Vec::new(),
            over_quota_worth: 1.0,
            worth_by_work: false,
            list_pushed: true,
            ask_within: 10 * SECOND,
            may_cancel: true,
            may_probe: false,
            may_order: true,
            may_double: false,
            max_attempts: 4,
            max_held: 20_000,
            max_stay_away: 0,
            connect_timeout: SECOND / 4,
            when_absent: WhenAbsent::Load,
            idle_life: 10 * SECOND,
            order_timeout: 10 * SECOND,
            ration: None,
            tells_warm: true,
            tells_crowd: false,
            reports: Reports::Absent,
            kind_memory_mb: Vec::new(),
            cross_zone_price: 0.0,
            fetch_price: 0.0,
            idle_price: 0.0,
            probe_price: 0.0,
            cold_from: 0.2,
            warm_up: 10 * SECOND,
            fall_multiple: 2.0,
            fall_after: 2 * SECOND,
            drain_grace: SECOND,
            answer_slack: SECOND / 100,
            tick: SECOND / 1000,
        }
    }
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WorkerState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// Which worker.
    pub worker: WorkerId,
    /// Its machine kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its zone.
    pub zone: usize,
    /// Its state.
    pub state: WorkerState,
    /// When it last started; none: long ago.
    pub started: Option<Time>,
    /// A figure to compare its size with others'.
    pub share: f64,
}

/// What a list report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes to the list held.
    Changes,
    /// The whole list; a worker not in it is gone.
    Full,
    /// The whole list as last held, perhaps old.
    Cached,
    /// A call to the list failed; no entries.
    Failed,
}

/// A worker's own report of its load. Late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Requests held.
    pub held: Option<f64>,
    /// Share of its cores at work.
    pub busy: Option<f64>,
    /// Share of its memory that can't be freed.
    pub memory_pinned: Option<f64>,
    /// Loads under way or waiting.
    pub loads: Option<f64>,
    /// Recent mean service time, milliseconds.
    pub mean_ms: Option<f64>,
    /// Requests served a second.
    pub served_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// How an attempt, a probe or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The worker returned an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    TurnedAway,
    /// No answer in time; may have run, may yet.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    ConnectionLost,
    /// Cancelled by us; may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
    /// The function is not loaded there and no load is under way, or the load failed; never ran.
    NotLoaded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, TurnedAway | ConnectFailed | NotSent | NotLoaded)
    }
}

/// What an outcome tells of the instance that served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Note {
    /// Nothing.
    #[default]
    Silent,
    /// An instance stood loaded.
    Warm,
    /// The call began a load.
    BeganLoad,
    /// The call waited for a load begun before.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// A request that has come in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// The function it calls.
    pub function: FunctionId,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Time left before the client gives this try up.
    pub budget: Span,
    /// Its work on a standard core, roughly, if told.
    pub work_hint: Option<Span>,
    /// Calls one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, roughly, if told.
    pub load_time: Option<Span>,
    /// A client's repeat, where clients mark it.
    pub repeat: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptDone {
    /// Its request.
    pub request: RequestId,
    /// Its number: the request's attempts count from 0 in the order sent.
    pub attempt: u32,
    /// Where it was sent.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request is concluded and owed nothing more.
    pub concluded: bool,
    /// Time since the send.
    pub latency: Span,
    /// Of the instance.
    pub note: Note,
    /// Calls of the function that the worker held when this one came, if told.
    pub crowd: Option<u32>,
    /// The worker's load report, if attached.
    pub report: Option<LoadReport>,
}

/// What a router is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of workers.
    Workers {
        /// What `entries` holds.
        kind: ListKind,
        /// The entries.
        entries: Vec<WorkerEntry>,
    },
    /// A request came in.
    Arrival(Arrival),
    /// A timer fell due.
    Timer {
        /// As given in [`Action::SetTimer`].
        token: u64,
    },
    /// An answer began to stream; it is the client's from here.
    StreamBegan {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptDone(AttemptDone),
    /// The client left, or its answer is overdue; nothing is owed.
    Departed {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    ProbeDone {
        /// The worker probed.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe.
        latency: Span,
        /// The report, if one came.
        report: Option<LoadReport>,
    },
    /// An order ended.
    OrderDone {
        /// The worker ordered.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the order.
        latency: Span,
        /// Instances that stand loaded there; 0 if nothing was heard.
        instances: u32,
    },
}

/// What a router wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the worker, as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Abandon the attempt then; none: at the client's deadline.
        give_up: Option<Time>,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to stay away so long; 0: none.
        stay_away: Span,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Have a worker hold at least so many instances; 0 only asks.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How many.
        instances: u32,
    },
    /// Have a worker unload idle instances.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Ask for a [`Event::Timer`].
    SetTimer {
        /// When.
        at: Time,
        /// Given back with the event.
        token: u64,
    },
    /// Ask for the full list of workers once.
    FetchList,
    /// Ask for changes of the list from here on.
    Subscribe,
}

/// Settings that make no sense, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadSettings(pub String);

impl std::fmt::Display for BadSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings make no sense: {}", self.0)
    }
}
impl std::error::Error for BadSettings {}
