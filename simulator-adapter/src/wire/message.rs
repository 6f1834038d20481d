//! Messages from the simulator.
//!
//! The `expecting` attributes fix the texts of errors about messages of a wrong shape.

use serde::Deserialize;
use tansy_conf::InstanceSettings;
use tansyrouter::Outcome;

/// A line of the input.
#[derive(Deserialize)]
#[serde(tag = "kind", expecting = "internally tagged enum Line")]
pub enum Message {
    /// Begins a batch.
    Clock(Clock),
    /// Ends a batch.
    Commit {},
    /// Starts a front end.
    #[serde(rename = "Up")]
    StartFrontEnd(StartFrontEnd),
    /// The worker list of a front end.
    #[serde(rename = "Targets")]
    WorkerList(WorkerList),
    /// A request arrived.
    Arrival(Arrival),
    /// A timer is due.
    Timer(Timer),
    /// An answer started streaming.
    #[serde(rename = "UnderWay")]
    StreamStarted(StreamStarted),
    /// Stops a front end.
    #[serde(rename = "Shutdown")]
    StopFrontEnd(StopFrontEnd),
    /// An attempt ended.
    #[serde(rename = "Done")]
    AttemptEnded(AttemptEnded),
    /// A message from another front end. Ignored, as routers exchange no messages.
    #[serde(rename = "Mail")]
    FromPeer {},
    /// The client disconnected, or its answer is overdue.
    #[serde(rename = "Dropped")]
    ClientLeft(ClientLeft),
    /// A probe ended.
    #[serde(rename = "HealthResult")]
    ProbeEnded(ProbeEnded),
    /// A load request ended.
    #[serde(rename = "LoadDone")]
    LoadEnded(LoadEnded),
}

/// The start of a batch, with the time of all its events.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Clock with 2 elements")]
pub struct Clock {
    /// Seconds since the start of the simulation.
    pub moment_s: f64,
    /// The sequence number of the batch, repeated by its acknowledgement.
    #[serde(rename = "seq")]
    pub sequence: u64,
}

/// The start of a front end.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Up with 3 elements")]
pub struct StartFrontEnd {
    /// Its number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The random seed of its router.
    #[serde(rename = "salt")]
    pub seed: u64,
    /// Its settings.
    #[serde(rename = "conf")]
    pub settings: Box<InstanceSettings>,
}

/// The stop of a front end.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Shutdown with 1 element")]
pub struct StopFrontEnd {
    /// Its number.
    #[serde(rename = "end")]
    pub front_end: u64,
}

/// A worker list, or changes of it.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Targets with 3 elements")]
pub struct WorkerList {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// How the entries change the list: 1, a full list from a cache; 2, the list could not be read; 3, a full list;
    /// 4, changes only.
    pub mode: u8,
    /// The entries.
    #[serde(default)]
    pub entries: Vec<Entry>,
}

/// An entry of a worker list.
#[derive(Deserialize)]
pub struct Entry {
    /// Its kind of machine.
    #[serde(default, rename = "type")]
    pub machine_kind: usize,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// When its process last started, in seconds since the start of the simulation; 0 if long ago.
    #[serde(default, rename = "last_start_s")]
    pub started_s: f64,
    /// Its name.
    pub worker: String,
    /// Its zone.
    #[serde(default, rename = "dc")]
    pub zone: usize,
    /// Its state: 1, ready; 2, gone; 3, draining.
    pub health: u8,
    /// Its size relative to other workers.
    #[serde(default = "one", rename = "share")]
    pub relative_size: f64,
}

fn one() -> f64 {
    1.0
}

/// A new request.
#[derive(Deserialize)]
pub struct Arrival {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The number of the request.
    #[serde(rename = "req")]
    pub request: u64,
    /// Bit flags: 1, the work hint is valid; 2, a retry by the client.
    #[serde(default, rename = "marks")]
    pub flags: u32,
    /// The tenant, as an index into the settings.
    #[serde(default, rename = "party")]
    pub tenant: usize,
    /// The class, as an index into the settings.
    #[serde(default, rename = "tier_class")]
    pub class: usize,
    /// The approximate duration of a load in milliseconds, if stated.
    #[serde(rename = "start_ms")]
    pub load_time_ms: Option<f64>,
    /// Number of calls that one instance runs at a time.
    #[serde(default, rename = "width")]
    pub lanes: f64,
    /// Memory of one instance, MB.
    #[serde(default, rename = "ram_mb")]
    pub memory_mb: f64,
    /// The work in seconds; valid only if its flag is set.
    #[serde(rename = "weight_hint_s")]
    pub work_hint_s: Option<f64>,
    /// The name of the function.
    #[serde(rename = "callee")]
    pub function: String,
    /// Seconds until the client gives up.
    #[serde(rename = "time_budget_s")]
    pub budget_s: f64,
}

/// A timer that is due.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Timer with 2 elements")]
pub struct Timer {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The token of the command that set it.
    #[serde(rename = "nonce")]
    pub token: String,
}

/// The start of a streamed answer.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::UnderWay with 3 elements")]
pub struct StreamStarted {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The number of the request.
    #[serde(rename = "req")]
    pub request: u64,
    /// The number of the attempt.
    #[serde(rename = "hop")]
    pub attempt: u32,
}

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(expecting = "struct Done with 9 elements")]
pub struct AttemptEnded {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The number of the request.
    #[serde(rename = "req")]
    pub request: u64,
    /// The status of the instance plus eight times the number of concurrent calls.
    #[serde(default, rename = "note")]
    pub instance_code: u32,
    /// How it ended.
    #[serde(rename = "result", with = "OutcomeName")]
    pub outcome: Outcome,
    /// Whether the request has received its final answer.
    #[serde(default, rename = "no_more")]
    pub concluded: bool,
    /// The number of the attempt.
    #[serde(default, rename = "hop")]
    pub attempt: u32,
    /// Seconds since it was sent.
    #[serde(default)]
    pub latency_s: f64,
    /// The name of the worker.
    pub worker: String,
    /// The values of the worker's load report, in the order of the fields in the settings.
    #[serde(default, rename = "health_info")]
    pub load_report: Option<Vec<Option<f64>>>,
}

/// The disconnection of a client.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Dropped with 2 elements")]
pub struct ClientLeft {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The number of the request.
    #[serde(rename = "req")]
    pub request: u64,
}

/// The end of a probe.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::HealthResult with 5 elements")]
pub struct ProbeEnded {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The name of the worker.
    pub worker: String,
    /// How it ended.
    #[serde(rename = "result", with = "OutcomeName")]
    pub outcome: Outcome,
    /// Seconds since it was sent.
    #[serde(default)]
    pub latency_s: f64,
    /// The values of the worker's load report, in the order of the fields in the settings.
    #[serde(default, rename = "health_info")]
    pub load_report: Option<Vec<Option<f64>>>,
}

/// The end of a load request.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::LoadDone with 6 elements")]
pub struct LoadEnded {
    /// The number of the front end.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The name of the worker.
    pub worker: String,
    /// The name of the function.
    #[serde(rename = "callee")]
    pub function: String,
    /// How it ended.
    #[serde(rename = "result", with = "OutcomeName")]
    pub outcome: Outcome,
    /// Seconds since it was sent.
    #[serde(default)]
    pub latency_s: f64,
    /// Number of instances loaded there.
    #[serde(default, rename = "number")]
    pub instances: u32,
}

/// The names of outcomes on the wire.
#[derive(Deserialize)]
#[serde(
    remote = "Outcome",
    rename_all = "snake_case",
    expecting = "enum Result"
)]
enum OutcomeName {
    Served,
    #[serde(rename = "server_error")]
    Error,
    #[serde(rename = "turned_away")]
    Rejected,
    #[serde(rename = "no_answer")]
    TimedOut,
    #[serde(rename = "no_connection")]
    ConnectFailed,
    ConnectionLost,
    #[serde(rename = "called_off")]
    Cancelled,
    NotSent,
    #[serde(rename = "not_stored")]
    NotLoaded,
}
