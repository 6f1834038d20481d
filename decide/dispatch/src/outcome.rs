//! How attempts end, and whether an attempt may have run.
//!
//! This module alone implements the retry rule: an attempt may have run unless its end proves that it did not.
//!
//! | observed | outcome | may have run |
//! |---|---|---|
//! | connection refused or not established in time | `ConnectFailed` | no: nothing was sent |
//! | HEADERS not sent when the connection ended or the attempt was cancelled | `NotSent` | no: nothing was sent |
//! | RST_STREAM with REFUSED_STREAM, before response headers | `Rejected` | no: RFC 9113, 8.7 |
//! | GOAWAY with a last stream id below this stream | `Rejected` | no: RFC 9113, 6.8 |
//! | GOAWAY with a last stream id at or above this stream, then the connection ends | `ConnectionLost` | yes |
//! | any other RST_STREAM | `Error` | yes |
//! | connection lost before headers, after headers or between messages | `ConnectionLost` | yes |
//! | connection lost after the last message, before the trailers | `ConnectionLost` | yes; the call is served |
//! | error status with the trailer `tansy-never-ran: turned-away` | `Rejected` | no: guaranteed by the worker |
//! | error status with the trailer `tansy-never-ran: not-loaded` | `NotLoaded` | no: guaranteed by the worker |
//! | error status with the guarantee that the call expired unstarted | `NotSent` | no: guaranteed by the worker |
//! | status OK after a response message | `Served` | yes |
//! | status of the function itself (see below) | `Error`, status forwarded unchanged | yes |
//! | any other status, with or without response headers | `Error` | yes |
//! | no trailers, OK without a message, invalid or oversized message | `Error` | yes |
//! | second response to a unary call | `Error` | yes |
//! | no answer before the deadline, or cancelled by this front end | `TimedOut`, `Cancelled` | yes |
//!
//! A guarantee in the trailers counts only if no response message came before it.
//!
//! Statuses of the function itself are INVALID_ARGUMENT, NOT_FOUND, ALREADY_EXISTS, PERMISSION_DENIED,
//! FAILED_PRECONDITION, OUT_OF_RANGE, UNIMPLEMENTED and UNAUTHENTICATED. Another worker would return the same status, so
//! the call is not retried: it fails with the status of the worker.

use serde::{Deserialize, Serialize};
use tansyrouter::Outcome;

/// How much of the response had arrived when an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseStage {
    /// Nothing.
    Nothing,
    /// Response headers only.
    Headers,
    /// At least one message.
    #[serde(rename = "Pieces")]
    Messages,
    /// The last message.
    Last,
}

/// How an attempt or a control request was observed to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The connection was refused, or the address is unreachable.
    ConnectRefused,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// The HEADERS were never sent.
    NeverLeft,
    /// A GOAWAY carried a last stream id below this stream.
    GoawayBelow,
    /// The worker reset the stream with RST_STREAM.
    Reset {
        /// Error code (RFC 9113, section 7).
        code: u32,
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// The connection was lost.
    #[serde(rename = "Cut")]
    ConnectionCut {
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// The worker sent a gRPC status.
    Status {
        /// The gRPC status code; 0 is OK.
        code: u8,
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// The stream ended without trailers.
    NoTrailers {
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// The response was malformed, too long or compressed, or a second response to a unary call.
    #[serde(rename = "BadAnswer")]
    InvalidResponse {
        /// How far the answer had come.
        stage: ResponseStage,
    },
    /// This front end cancelled the attempt, and the cancellation was sent.
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// Names of the gRPC status codes.
const STATUS_NAMES: [&str; 17] = [
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

impl std::fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AttemptOutcome::ConnectRefused => f.write_str("connect refused"),
            AttemptOutcome::ConnectTimedOut => f.write_str("no connection in time"),
            AttemptOutcome::NeverLeft => f.write_str("never left"),
            AttemptOutcome::GoawayBelow => f.write_str("GOAWAY"),
            AttemptOutcome::Reset { code, .. } => write!(f, "RST_STREAM code {code}"),
            AttemptOutcome::ConnectionCut { .. } => f.write_str("connection cut"),
            AttemptOutcome::Status { code, .. } => f.write_str(
                STATUS_NAMES
                    .get(usize::from(*code))
                    .unwrap_or(&"unknown status"),
            ),
            AttemptOutcome::NoTrailers { .. } => f.write_str("no trailers"),
            AttemptOutcome::InvalidResponse { .. } => f.write_str("no message of the protocol"),
            AttemptOutcome::Cancelled => f.write_str("no answer in time"),
        }
    }
}

/// A guarantee of the worker that a call did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NeverRan {
    /// The function is not loaded or being loaded, or its load failed.
    NotLoaded,
    /// The worker rejected the call without reading it.
    TurnedAway,
    /// The deadline passed before the call started.
    Expired,
}

/// Whether an instance of the function was loaded when a call arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum CacheStatus {
    /// Not reported.
    #[default]
    #[serde(rename = "Silent")]
    Unreported,
    /// An instance was loaded.
    Warm,
    /// The call started a load.
    #[serde(rename = "BeganLoad")]
    StartedLoad,
    /// The call waited for a load that was already in progress.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// Load reported by a worker.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Queued requests.
    pub queued: Option<f64>,
    /// Requests accepted and not yet answered.
    #[serde(rename = "held")]
    pub in_flight: Option<f64>,
    /// Fraction of the cores that are busy.
    pub busy: Option<f64>,
    /// Fraction of the memory that cannot be freed.
    pub memory_pinned: Option<f64>,
    /// Loads in progress or queued.
    pub loads: Option<f64>,
    /// Mean service time, milliseconds.
    pub mean_ms: Option<f64>,
    /// Requests served per second.
    pub served_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// Information from the trailers of a response.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct Trailers {
    /// Whether an instance was loaded when the call arrived.
    #[serde(rename = "note")]
    pub cache_status: CacheStatus,
    /// The guarantee that the call did not run, if given.
    pub never_ran: Option<NeverRan>,
    /// Calls of the function at the worker when this call arrived.
    #[serde(rename = "crowd")]
    pub concurrent_calls: Option<u32>,
    /// Number of loaded instances, from the response to a load.
    pub instances: Option<u32>,
    /// The load report.
    pub report: Option<LoadReport>,
}

/// What the end of an attempt means for retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryClass {
    /// The outcome for the router.
    pub outcome: Outcome,
    /// Whether the status is of the function itself, so that it is forwarded and the call is not retried.
    pub final_status: bool,
}

/// HTTP/2 error code REFUSED_STREAM.
const REFUSED_STREAM: u32 = 7;
/// gRPC status codes that functions return themselves.
const FUNCTION_STATUSES: [u8; 8] = [3, 5, 6, 7, 9, 11, 12, 16];

/// Classifies the end of an attempt; see the table in the module documentation.
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
