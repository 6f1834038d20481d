//! The wire's lines as types. Absent optional values take the wire page's defaults.

use serde::{Deserialize, Serialize};
use tansy_conf::InstanceSettings;

#[derive(Deserialize)]
#[serde(tag = "kind")]
pub enum Line {
    Clock {
        moment_s: f64,
        seq: u64,
    },
    Commit {},
    Up {
        end: u64,
        salt: u64,
        conf: Box<InstanceSettings>,
    },
    Targets {
        end: u64,
        mode: u8,
        #[serde(default)]
        entries: Vec<Entry>,
    },
    Arrival(Arrival),
    Timer {
        end: u64,
        nonce: String,
    },
    UnderWay {
        end: u64,
        req: u64,
        hop: u32,
    },
    Shutdown {
        end: u64,
    },
    Done(Done),
    Mail {},
    Dropped {
        end: u64,
        req: u64,
    },
    HealthResult {
        end: u64,
        worker: String,
        result: Result,
        #[serde(default)]
        latency_s: f64,
        #[serde(default)]
        health_info: Option<Vec<Option<f64>>>,
    },
    LoadDone {
        end: u64,
        worker: String,
        callee: String,
        result: Result,
        #[serde(default)]
        latency_s: f64,
        #[serde(default)]
        number: u32,
    },
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Result {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
    NotStored,
}

#[derive(Deserialize)]
pub struct Arrival {
    pub end: u64,
    pub req: u64,
    #[serde(default)]
    pub marks: u32,
    #[serde(default)]
    pub party: usize,
    #[serde(default)]
    pub tier_class: usize,
    pub start_ms: Option<f64>,
    #[serde(default)]
    pub width: f64,
    #[serde(default)]
    pub ram_mb: f64,
    pub weight_hint_s: Option<f64>,
    pub callee: String,
    pub time_budget_s: f64,
}

#[derive(Deserialize)]
pub struct Done {
    pub end: u64,
    pub req: u64,
    #[serde(default)]
    pub note: u32,
    pub result: Result,
    #[serde(default)]
    pub no_more: bool,
    #[serde(default)]
    pub hop: u32,
    #[serde(default)]
    pub latency_s: f64,
    pub worker: String,
    #[serde(default)]
    pub health_info: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize)]
pub struct Entry {
    #[serde(default, rename = "type")]
    pub kind: usize,
    #[serde(default)]
    pub cell: u64,
    #[serde(default)]
    pub last_start_s: f64,
    pub worker: String,
    #[serde(default)]
    pub dc: usize,
    pub health: u8,
    #[serde(default = "one")]
    pub share: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Serialize)]
#[serde(tag = "kind")]
pub enum Reply<'a> {
    HandOff {
        end: u64,
        req: u64,
        worker: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        cut_at_s: Option<f64>,
    },
    Deny {
        end: u64,
        req: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        stay_away_s: Option<f64>,
    },
    GiveUp {
        end: u64,
        req: u64,
    },
    Revoke {
        end: u64,
        req: u64,
        hop: u32,
    },
    AskLoad {
        end: u64,
        worker: &'a str,
    },
    StartCopy {
        end: u64,
        callee: String,
        number: u32,
        worker: &'a str,
    },
    LetCool {
        end: u64,
        callee: String,
        worker: &'a str,
    },
    After {
        end: u64,
        alarm_time_s: f64,
        nonce: String,
    },
    Listen {
        end: u64,
        want: bool,
    },
    Reload {
        end: u64,
    },
    Ok {
        seq: u64,
    },
}
