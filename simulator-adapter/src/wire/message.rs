//! Messages of the simulator, as they are read.
//!
//! `expecting` keeps the texts of errors about lines of a wrong shape, such as an array that is too short.

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
    /// A front end's list of workers.
    #[serde(rename = "Targets")]
    WorkerList(WorkerList),
    /// A request came in.
    Arrival(Arrival),
    /// A timer is due.
    Timer(Timer),
    /// An answer began to stream.
    #[serde(rename = "UnderWay")]
    StreamStarted(StreamStarted),
    /// Stops a front end.
    #[serde(rename = "Shutdown")]
    StopFrontEnd(StopFrontEnd),
    /// An attempt ended.
    #[serde(rename = "Done")]
    AttemptEnded(AttemptEnded),
    /// A message of another front end; the router exchanges none.
    #[serde(rename = "Mail")]
    FromPeer {},
    /// The client left, or its answer is overdue.
    #[serde(rename = "Dropped")]
    ClientLeft(ClientLeft),
    /// A probe ended.
    #[serde(rename = "HealthResult")]
    ProbeEnded(ProbeEnded),
    /// A load request ended.
    #[serde(rename = "LoadDone")]
    LoadEnded(LoadEnded),
}

/// The begin of a batch: all of its events happen at this moment.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Clock with 2 elements")]
pub struct Clock {
    /// Seconds since the simulation's start.
    pub moment_s: f64,
    /// The batch's sequence number, which its acknowledgement repeats.
    #[serde(rename = "seq")]
    pub sequence: u64,
}

/// A front end that starts.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Up with 3 elements")]
pub struct StartFrontEnd {
    /// Its number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The seed of its router's random draws.
    #[serde(rename = "salt")]
    pub seed: u64,
    /// Its settings.
    #[serde(rename = "conf")]
    pub settings: Box<InstanceSettings>,
}

/// A front end that stops.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Shutdown with 1 element")]
pub struct StopFrontEnd {
    /// Its number.
    #[serde(rename = "end")]
    pub front_end: u64,
}

/// A list of workers, or changes of it.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Targets with 3 elements")]
pub struct WorkerList {
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// How the entries relate to the list so far: 1 a whole list from a cache, 2 none could be read, 3 a whole list, 4
    /// changes.
    pub mode: u8,
    /// The entries.
    #[serde(default)]
    pub entries: Vec<Entry>,
}

/// A worker of a list.
#[derive(Deserialize)]
pub struct Entry {
    /// Its kind of machine.
    #[serde(default, rename = "type")]
    pub machine_kind: usize,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// When its process last started, in seconds; 0: long ago.
    #[serde(default, rename = "last_start_s")]
    pub started_s: f64,
    /// Its name.
    pub worker: String,
    /// Its zone.
    #[serde(default, rename = "dc")]
    pub zone: usize,
    /// Its state: 1 ready, 2 gone, 3 draining.
    pub health: u8,
    /// Its size in proportion to the other workers' sizes.
    #[serde(default = "one")]
    pub share: f64,
}

fn one() -> f64 {
    1.0
}

/// A request that has come in.
#[derive(Deserialize)]
pub struct Arrival {
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The request's number.
    #[serde(rename = "req")]
    pub request: u64,
    /// Bits: 1, the work is stated; 2, a client's own retry.
    #[serde(default, rename = "marks")]
    pub flags: u32,
    /// The tenant, as an index into the settings.
    #[serde(default, rename = "party")]
    pub tenant: usize,
    /// The class, as an index into the settings.
    #[serde(default, rename = "tier_class")]
    pub class: usize,
    /// The usual time of a load in milliseconds, if it is stated.
    #[serde(rename = "start_ms")]
    pub load_time_ms: Option<f64>,
    /// Calls that one instance runs at a time.
    #[serde(default, rename = "width")]
    pub lanes: f64,
    /// Memory of one instance, MB.
    #[serde(default, rename = "ram_mb")]
    pub memory_mb: f64,
    /// The work in seconds; it counts only if the flag says so.
    #[serde(rename = "weight_hint_s")]
    pub work_hint_s: Option<f64>,
    /// The function's name.
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
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The token that the command gave.
    #[serde(rename = "nonce")]
    pub token: String,
}

/// An answer that began to stream.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::UnderWay with 3 elements")]
pub struct StreamStarted {
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The request's number.
    #[serde(rename = "req")]
    pub request: u64,
    /// The attempt's number.
    #[serde(rename = "hop")]
    pub attempt: u32,
}

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(expecting = "struct Done with 9 elements")]
pub struct AttemptEnded {
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The request's number.
    #[serde(rename = "req")]
    pub request: u64,
    /// What the answer says about the instance: its status, and eight times the calls that ran beside this one.
    #[serde(default, rename = "note")]
    pub instance_code: u32,
    /// How it ended.
    #[serde(rename = "result", with = "OutcomeName")]
    pub outcome: Outcome,
    /// The request has its final answer.
    #[serde(default, rename = "no_more")]
    pub concluded: bool,
    /// The attempt's number.
    #[serde(default, rename = "hop")]
    pub attempt: u32,
    /// Seconds since it was sent.
    #[serde(default)]
    pub latency_s: f64,
    /// The worker's name.
    pub worker: String,
    /// The worker's load report, by the fields of the settings.
    #[serde(default, rename = "health_info")]
    pub load_report: Option<Vec<Option<f64>>>,
}

/// A client that left.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::Dropped with 2 elements")]
pub struct ClientLeft {
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The request's number.
    #[serde(rename = "req")]
    pub request: u64,
}

/// The end of a probe.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::HealthResult with 5 elements")]
pub struct ProbeEnded {
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The worker's name.
    pub worker: String,
    /// How it ended.
    #[serde(rename = "result", with = "OutcomeName")]
    pub outcome: Outcome,
    /// Seconds since it was sent.
    #[serde(default)]
    pub latency_s: f64,
    /// The worker's load report, by the fields of the settings.
    #[serde(default, rename = "health_info")]
    pub load_report: Option<Vec<Option<f64>>>,
}

/// The end of a load request.
#[derive(Deserialize)]
#[serde(expecting = "struct variant Line::LoadDone with 6 elements")]
pub struct LoadEnded {
    /// The front end's number.
    #[serde(rename = "end")]
    pub front_end: u64,
    /// The worker's name.
    pub worker: String,
    /// The function's name.
    #[serde(rename = "callee")]
    pub function: String,
    /// How it ended.
    #[serde(rename = "result", with = "OutcomeName")]
    pub outcome: Outcome,
    /// Seconds since it was sent.
    #[serde(default)]
    pub latency_s: f64,
    /// Instances that are loaded there.
    #[serde(default, rename = "number")]
    pub instances: u32,
}

/// The wire's names of outcomes.
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
