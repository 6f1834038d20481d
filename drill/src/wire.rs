//! The wire's lines as types. Absent optional values take the wire page's defaults.

use serde::{Deserialize, Serialize};

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
        conf: Box<Conf>,
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

#[derive(Deserialize)]
pub struct Conf {
    #[serde(default)]
    pub me: usize,
    #[serde(default = "one_usize")]
    pub siblings: usize,
    #[serde(default)]
    pub locality: usize,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub over_share_worth: f64,
    #[serde(default)]
    pub value_by: String,
    #[serde(default)]
    pub discovery: String,
    #[serde(default)]
    pub policy_limits: Limits,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub specifics: Specifics,
    #[serde(default)]
    pub telemetry: Telemetry,
    #[serde(default)]
    pub tick_s: f64,
}

fn one_usize() -> usize {
    1
}

#[derive(Deserialize)]
pub struct Class {
    pub aim_s: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline_s: f64,
    pub effect: String,
    #[serde(default)]
    pub group: String,
    #[serde(default)]
    pub repeat_window_s: f64,
    #[serde(default = "one")]
    pub gain: f64,
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub streamed: bool,
}

#[derive(Deserialize)]
pub struct Tenant {
    #[serde(default)]
    pub fraction: f64,
    #[serde(default)]
    pub quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Limits {
    pub cancel: bool,
    pub connect_timeout_s: f64,
    pub max_attempts: Option<u32>,
    pub max_retry_after_s: f64,
    pub most_held: Option<usize>,
    pub probes: bool,
    pub retry_after: bool,
    pub second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Prices {
    pub cross_zone: f64,
    pub origin: f64,
    pub probe: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Rules {
    pub answer_slack_s: f64,
    pub ask_within_s: f64,
    pub cold_from: f64,
    pub drain_grace_s: f64,
    pub fall_multiple: f64,
    pub fall_s: f64,
    pub warm_up_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Specifics {
    pub idle_life_s: f64,
    pub kind_memory_mb: Vec<f64>,
    pub load_free: f64,
    pub load_part: f64,
    pub load_period_s: f64,
    pub load_wait_s: f64,
    pub orders: bool,
    pub price_of_idle: f64,
    pub says_warm: bool,
    pub tells_crowd: bool,
    pub when_absent: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Telemetry {
    pub fields: Vec<String>,
    pub how: String,
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
