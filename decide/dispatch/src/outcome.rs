//! What a socket can show of an attempt, and whether the attempt can have run.
//!
//! The table is the one home of the retry rule: whatever does not prove that an attempt never ran counts as one that may
//! have run.
//!
//! | shown | outcome | can have run |
//! |---|---|---|
//! | connect refused, or not made in time | `ConnectFailed` | no: nothing was sent |
//! | HEADERS never left before the connection ended or the attempt was withdrawn | `NotSent` | no: nothing was sent |
//! | RST_STREAM with REFUSED_STREAM | `TurnedAway` | no: RFC 9113, 8.7 |
//! | GOAWAY whose last stream id is below ours | `TurnedAway` | no: RFC 9113, 6.8 |
//! | GOAWAY at or above ours, then the end | `ConnectionLost` | yes |
//! | RST_STREAM with any other code | `Error` | yes |
//! | connection cut before headers, after headers, between pieces | `ConnectionLost` | yes |
//! | connection cut after the last piece, before the trailers | `ConnectionLost` | yes; the call is served |
//! | any status with the trailer `tansy-never-ran: turned-away` | `TurnedAway` | no: the worker's promise |
//! | any status with the trailer `tansy-never-ran: not-loaded` | `NotLoaded` | no: the worker's promise |
//! | any status with the promise that its time was over before it was begun | `NotSent` | no: the worker's promise |
//! | status OK with an answer | `Served` | yes |
//! | a status of the function itself (below) | `Error`, passed on as it is | yes |
//! | any other status, trailers-only or not | `Error` | yes |
//! | 200 without trailers, no answer before OK, a frame that is no message, a message over the limit | `Error` | yes |
//! | a second answer | `Error` | yes |
//! | silence until the deadline, or withdrawn by us | `TimedOut`, `Cancelled` | yes |
//!
//! The promise of the trailer counts only if no piece of an answer came before it. In doubt an attempt has run.
//!
//! Statuses of the function itself are INVALID_ARGUMENT, NOT_FOUND, ALREADY_EXISTS, PERMISSION_DENIED,
//! FAILED_PRECONDITION, OUT_OF_RANGE, UNIMPLEMENTED and UNAUTHENTICATED: another worker would say the same, so a
//! further attempt would only cost. They end the call as failed, with the worker's status.

use serde::{Deserialize, Serialize};
use tansyrouter::Outcome;

/// How far the answer had come when an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseStage {
    /// Nothing had come.
    Nothing,
    /// Response headers had.
    Headers,
    /// At least one message of the answer had.
    #[serde(rename = "Pieces")]
    Messages,
    /// The last message had.
    Last,
}

/// How an attempt or a control request was observed to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The connection was refused, or the address can't be reached.
    ConnectRefused,
    /// The connection was not made in time.
    ConnectTimedOut,
    /// Its HEADERS never left this machine.
    NeverLeft,
    /// A GOAWAY named a last stream below this one.
    GoawayBelow,
    /// RST_STREAM from the worker.
    Reset {
        /// RFC 9113, section 7.
        code: u32,
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// The connection ended.
    #[serde(rename = "Cut")]
    ConnectionCut {
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// A status came: the call's end by the protocol.
    Status {
        /// gRPC's number; 0: OK.
        code: u8,
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// The stream ended without trailers.
    NoTrailers {
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// What came is no message of the protocol, too long, compressed, or a second answer.
    #[serde(rename = "BadAnswer")]
    InvalidResponse {
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// We cancelled it, and the cancellation has left this machine.
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// Names of gRPC's status codes, by number.
const STATUS: [&str; 17] = [
    "OK",
    "CANCELLED",
    "UNKNOWN",
    "INVALID_ARGUMENT",
    "DEADLINE_EXCEEDED",
    "NOT_FOUND",
    "ALREADY_EXISTS",
    "PERMISSION_DENIED",
    "RESOURCE_EXHAUSTED",
    "FAILED_PRECONDITION",
    "ABORTED",
    "OUT_OF_RANGE",
    "UNIMPLEMENTED",
    "INTERNAL",
    "UNAVAILABLE",
    "DATA_LOSS",
    "UNAUTHENTICATED",
];

/// In words, for an operator.
impl std::fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AttemptOutcome::ConnectRefused => f.write_str("connect refused"),
            AttemptOutcome::ConnectTimedOut => f.write_str("no connection in time"),
            AttemptOutcome::NeverLeft => f.write_str("never left"),
            AttemptOutcome::GoawayBelow => f.write_str("GOAWAY"),
            AttemptOutcome::Reset { code, .. } => write!(f, "RST_STREAM code {code}"),
            AttemptOutcome::ConnectionCut { .. } => f.write_str("connection cut"),
            AttemptOutcome::Status { code, .. } => {
                f.write_str(STATUS.get(usize::from(*code)).unwrap_or(&"unknown status"))
            }
            AttemptOutcome::NoTrailers { .. } => f.write_str("no trailers"),
            AttemptOutcome::InvalidResponse { .. } => f.write_str("no message of the protocol"),
            AttemptOutcome::Cancelled => f.write_str("no answer in time"),
        }
    }
}

/// A worker's promise that a call did not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NeverRan {
    /// The function is not loaded and no load is under way, or the load failed.
    NotLoaded,
    /// It was turned away unseen.
    TurnedAway,
    /// Its time was over before it was begun.
    Expired,
}

/// Whether a call found an instance of its function loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum CacheStatus {
    /// Not stated.
    #[default]
    #[serde(rename = "Silent")]
    Unreported,
    /// An instance stood loaded.
    Warm,
    /// The call began a load.
    #[serde(rename = "BeganLoad")]
    StartedLoad,
    /// The call waited for a load.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// A worker's report of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Requests accepted and not yet answered.
    #[serde(rename = "held")]
    pub in_flight: Option<f64>,
    /// Share of its cores at work.
    pub busy: Option<f64>,
    /// Share of its memory that can't be freed.
    pub memory_pinned: Option<f64>,
    /// Loads under way or waiting.
    pub loads: Option<f64>,
    /// Mean service time, milliseconds.
    pub mean_ms: Option<f64>,
    /// Requests served a second.
    pub served_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// What the trailers of an answer stated.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Trailers {
    /// Whether the call found an instance loaded.
    #[serde(rename = "note")]
    pub cache_status: CacheStatus,
    /// The promise, if one was given.
    pub never_ran: Option<NeverRan>,
    /// Calls of the function at the worker when this one came.
    #[serde(rename = "crowd")]
    pub concurrent_calls: Option<u32>,
    /// Instances that are loaded, from the answer to a load.
    pub instances: Option<u32>,
    /// The load report.
    pub report: Option<LoadReport>,
}

/// What the end of an attempt means for further attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryClass {
    /// The outcome for the router.
    pub outcome: Outcome,
    /// The status is of the function itself: it is forwarded, and the call is not tried again.
    pub final_status: bool,
}

const REFUSED_STREAM: u32 = 7;
const FUNCTION_STATUSES: [u8; 8] = [3, 5, 6, 7, 9, 11, 12, 16];

/// Classifies the end of an attempt by the table of this module.
pub fn classify(outcome: AttemptOutcome, trailers: &Trailers) -> RetryClass {
    let (outcome, final_status) = match outcome {
        AttemptOutcome::ConnectRefused | AttemptOutcome::ConnectTimedOut => {
            (Outcome::ConnectFailed, false)
        }
        AttemptOutcome::NeverLeft => (Outcome::NotSent, false),
        AttemptOutcome::GoawayBelow => (Outcome::Rejected, false),
        AttemptOutcome::Reset {
            code: REFUSED_STREAM,
            stage: ResponseStage::Nothing,
        } => (Outcome::Rejected, false),
        AttemptOutcome::Reset { .. } => (Outcome::Error, false),
        AttemptOutcome::ConnectionCut { .. } => (Outcome::ConnectionLost, false),
        AttemptOutcome::Status { code, stage } => match (trailers.never_ran, stage) {
            (Some(NeverRan::NotLoaded), ResponseStage::Nothing | ResponseStage::Headers)
                if code != 0 =>
            {
                (Outcome::NotLoaded, false)
            }
            (Some(NeverRan::TurnedAway), ResponseStage::Nothing | ResponseStage::Headers)
                if code != 0 =>
            {
                (Outcome::Rejected, false)
            }
            (Some(NeverRan::Expired), ResponseStage::Nothing | ResponseStage::Headers)
                if code != 0 =>
            {
                (Outcome::NotSent, false)
            }
            (_, ResponseStage::Messages | ResponseStage::Last) if code == 0 => {
                (Outcome::Served, false)
            }
            _ => (Outcome::Error, FUNCTION_STATUSES.contains(&code)),
        },
        AttemptOutcome::NoTrailers { .. } | AttemptOutcome::InvalidResponse { .. } => {
            (Outcome::Error, false)
        }
        AttemptOutcome::Cancelled => (Outcome::Cancelled, false),
    };
    RetryClass {
        outcome,
        final_status,
    }
}

impl From<CacheStatus> for tansyrouter::InstanceStatus {
    fn from(status: CacheStatus) -> tansyrouter::InstanceStatus {
        match status {
            CacheStatus::Unreported => tansyrouter::InstanceStatus::Unreported,
            CacheStatus::Warm => tansyrouter::InstanceStatus::Warm,
            CacheStatus::StartedLoad => tansyrouter::InstanceStatus::StartedLoad,
            CacheStatus::AwaitedLoad => tansyrouter::InstanceStatus::AwaitedLoad,
            CacheStatus::LoadFailed => tansyrouter::InstanceStatus::LoadFailed,
        }
    }
}

impl From<LoadReport> for tansyrouter::LoadReport {
    fn from(report: LoadReport) -> tansyrouter::LoadReport {
        tansyrouter::LoadReport {
            queued: report.queued,
            in_flight: report.in_flight,
            utilization: report.busy,
            memory_pinned: report.memory_pinned,
            loads: report.loads,
            mean_ms: report.mean_ms,
            served_per_s: report.served_per_s,
            errors_per_s: report.errors_per_s,
        }
    }
}

#[cfg(test)]
mod tests;
