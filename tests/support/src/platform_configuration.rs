//! Configurations of front ends that speak the platform's protocol, as the JSON text that `EDGE_CONFIG` names.
//!
//! One text serves all tests; what they vary is a field of [`PlatformConfiguration`], and the rest stands here once. The text is
//! formatted by hand because tests cut it in two, replace parts of it and compare it byte for byte.

use std::net::SocketAddr;

/// The state that the list gives to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It drains: it finishes what it has and takes no more.
    Terminating,
    /// It has left.
    Gone,
}

impl WorkerState {
    /// Its name in the list.
    pub fn name(self) -> &'static str {
        match self {
            WorkerState::Ready => "Ready",
            WorkerState::Terminating => "Terminating",
            WorkerState::Gone => "Gone",
        }
    }
}

/// One worker's entry in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its id.
    pub id: String,
    /// Where front ends reach it.
    pub address: SocketAddr,
    /// Its state.
    pub state: WorkerState,
    /// Unix millisecond of its start; 0: long ago.
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

/// Entries as the elements of a JSON array, without its brackets.
pub fn worker_list(workers: &[WorkerEntry]) -> String {
    let entries: Vec<String> = workers.iter().map(WorkerEntry::json).collect();
    entries.join(",")
}

/// What tests vary in the configuration of a front end.
#[derive(Clone, Debug)]
pub struct PlatformConfiguration {
    /// Its number among the front ends; its name follows from it.
    pub index: usize,
    /// How many front ends there are.
    pub front_ends: usize,
    /// For its random numbers.
    pub seed: u64,
    /// Its memory, MB.
    pub memory_mb: u32,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Its coordinator.
    pub coordinator: SocketAddr,
    /// The workers that it knows at its start.
    pub workers: Vec<WorkerEntry>,
    /// A connection to a worker that is not up by then has failed.
    pub connect_timeout_s: f64,
    /// Seconds after which a worker closes a connection that carried nothing.
    pub keepalive_s: f64,
    /// Calls that one connection to a worker may carry at a time.
    pub multiplex: u32,
    /// Seconds for which workers drop the repeats of a keyed request, in the digits that the text is to have.
    pub repeat_window_s: String,
}

impl PlatformConfiguration {
    /// The text, for a front end that listens here.
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

    /// The classes of calls: one that may be repeated, one that may not, and one whose repeats workers drop.
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

/// One class; `repeats` are the fields of a class whose repeats workers drop.
fn class(name: &str, effect: &str, repeats: &str) -> String {
    format!(
        r#"{{"name":"{name}","aim_s":0.8,"deadline_s":2.0,"effect":"{effect}","late_worth":0.1,{repeats}"gain":1}}"#
    )
}
