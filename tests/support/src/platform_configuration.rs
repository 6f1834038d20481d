//! Configurations for front ends that speak the platform's protocol: the JSON file whose path is in `EDGE_CONFIG`.
//!
//! Values that differ between tests are fields of [`PlatformConfiguration`]; all others are constant. The text is formatted by hand
//! instead of with `serde_json`, because tests truncate it, replace parts of it and compare it byte for byte.

use std::net::SocketAddr;

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker takes calls.
    Ready,
    /// The worker drains: it finishes its calls and takes no new ones.
    Terminating,
    /// The worker has left.
    Gone,
}

impl WorkerState {
    /// The name of the state in the endpoint list.
    pub fn name(self) -> &'static str {
        match self {
            WorkerState::Ready => "Ready",
            WorkerState::Terminating => "Terminating",
            WorkerState::Gone => "Gone",
        }
    }
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The worker's id.
    pub id: String,
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The worker's state.
    pub state: WorkerState,
    /// When the worker started, in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
}

impl WorkerEntry {
    /// The entry as a JSON object.
    pub fn json(&self) -> String {
        let WorkerEntry {
            id,
            address,
            state,
            started_ms,
        } = self;
        let state = state.name();
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"a","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":{started_ms}}}"#
        )
    }
}

/// The entries as elements of a JSON array, without the brackets.
pub fn worker_list(workers: &[WorkerEntry]) -> String {
    let entries: Vec<String> = workers.iter().map(WorkerEntry::json).collect();
    entries.join(",")
}

/// The values in a front end's configuration that differ between tests.
#[derive(Clone, Debug)]
pub struct PlatformConfiguration {
    /// The front-end index; the front end's name is derived from it.
    pub index: usize,
    /// Number of front ends.
    pub front_ends: usize,
    /// Seed of the front end's random numbers.
    pub seed: u64,
    /// Memory limit, MB.
    pub memory_mb: u32,
    /// Limit on open file descriptors.
    pub sockets: usize,
    /// The coordinator's address.
    pub coordinator: SocketAddr,
    /// The endpoint list at the start.
    pub workers: Vec<WorkerEntry>,
    /// Timeout for connecting to a worker, seconds.
    pub connect_timeout_s: f64,
    /// Seconds after which a worker closes an idle connection.
    pub keepalive_s: f64,
    /// Concurrent calls on one connection to a worker.
    pub multiplex: u32,
    /// Seconds for which workers drop repeats of a keyed request; inserted into the text as it is.
    pub repeat_window_s: String,
}

impl PlatformConfiguration {
    /// The JSON text for a front end that listens on this address.
    pub fn text(&self, listen: SocketAddr) -> String {
        let PlatformConfiguration {
            index,
            front_ends,
            seed,
            memory_mb,
            sockets,
            coordinator,
            connect_timeout_s,
            keepalive_s,
            multiplex,
            ..
        } = self;
        let servers = worker_list(&self.workers);
        let classes = self.classes();
        format!(
            r#"{{"name":"n{index}","listen":"{listen}","seed":"{seed:016x}",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"coordinator":"{coordinator}",
            "known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"version":1,"full":true,"servers":[{servers}]}}}}]}},
            "settings":{{"me":{index},"siblings":{front_ends},"zones":["a"],"machine_types":["k"],"classes":[{classes}],
            "policy_limits":{{"cancel":true,"connect_timeout_s":{connect_timeout_s},"keepalive_s":{keepalive_s},"max_attempts":4,"multiplex":{multiplex}}},
            "rules":{{"answer_slack_s":0.05,"drain_grace_s":0.25,"cold_from":0.3,"fall_multiple":4,"fall_s":3,"warm_up_s":5}},
            "specifics":{{"idle_life_s":10,"kind_memory_mb":[4000],"load_wait_s":4,"orders":true,"says_warm":true,
            "tells_crowd":true,"when_absent":"miss"}},"telemetry":{{"fields":["load_share"],"how":"piggyback"}},
            "tick_s":0.001}}}}"#
        )
    }

    /// Three classes of calls: safe to repeat, unsafe to repeat, and keyed (workers drop repeats).
    fn classes(&self) -> String {
        let repeats = format!(
            r#""repeat_window_s":{},"group":"all","#,
            self.repeat_window_s
        );
        [
            class("safe", "read_like", ""),
            class("once", "non_idempotent", ""),
            class("keyed", "idempotency_key", &repeats),
        ]
        .join(",")
    }
}

/// One class as a JSON object; `repeats` has the additional fields of a keyed class, each with a trailing comma.
fn class(name: &str, effect: &str, repeats: &str) -> String {
    format!(
        r#"{{"name":"{name}","aim_s":0.8,"deadline_s":2.0,"effect":"{effect}","late_worth":0.1,{repeats}"gain":1}}"#
    )
}
