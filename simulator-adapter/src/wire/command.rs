//! Commands to the simulator.

use serde::Serialize;
use std::borrow::Cow;

/// A line of the output.
#[derive(Serialize)]
#[serde(tag = "kind")]
pub enum Command<'a> {
    /// Send a request to a worker, as its next attempt.
    #[serde(rename = "HandOff")]
    Send {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// The number of the request.
        #[serde(rename = "req")]
        request: u64,
        /// The name of the worker.
        worker: &'a str,
        /// When to abandon the attempt, in seconds since the start of the simulation.
        #[serde(rename = "cut_at_s", skip_serializing_if = "Option::is_none")]
        abandon_at_s: Option<f64>,
    },
    /// Final answer: rejected.
    #[serde(rename = "Deny")]
    Reject {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// The number of the request.
        #[serde(rename = "req")]
        request: u64,
        /// Seconds that the client should wait before it retries.
        #[serde(rename = "stay_away_s", skip_serializing_if = "Option::is_none")]
        retry_after_s: Option<f64>,
    },
    /// Final answer: failed.
    #[serde(rename = "GiveUp")]
    Fail {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// The number of the request.
        #[serde(rename = "req")]
        request: u64,
    },
    /// Stop waiting for an attempt.
    #[serde(rename = "Revoke")]
    Cancel {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// The number of the request.
        #[serde(rename = "req")]
        request: u64,
        /// The number of the attempt.
        #[serde(rename = "hop")]
        attempt: u32,
    },
    /// Request a load report from a worker.
    #[serde(rename = "AskLoad")]
    Probe {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// The name of the worker.
        worker: &'a str,
    },
    /// Request a worker to keep at least this many instances loaded; 0 only queries how many there are.
    #[serde(rename = "StartCopy")]
    Load {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// The name of the function.
        #[serde(rename = "callee")]
        function: Cow<'a, str>,
        /// The number of instances.
        #[serde(rename = "number")]
        instances: u32,
        /// The name of the worker.
        worker: &'a str,
    },
    /// Request a worker to unload idle instances.
    #[serde(rename = "LetCool")]
    Unload {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// The name of the function.
        #[serde(rename = "callee")]
        function: Cow<'a, str>,
        /// The name of the worker.
        worker: &'a str,
    },
    /// Set a timer.
    #[serde(rename = "After")]
    SetTimer {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// When it is due, in seconds since the start of the simulation.
        #[serde(rename = "alarm_time_s")]
        due_at_s: f64,
        /// Returned with the timer message.
        #[serde(rename = "nonce")]
        token: String,
    },
    /// Subscribe to changes of the list of workers.
    #[serde(rename = "Listen")]
    Subscribe {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
        /// Whether changes are to be sent.
        #[serde(rename = "want")]
        enabled: bool,
    },
    /// Fetch the full list of workers once.
    #[serde(rename = "Reload")]
    FetchList {
        /// The number of the front end.
        #[serde(rename = "end")]
        front_end: u64,
    },
    /// Acknowledge a batch; written after all of its commands.
    #[serde(rename = "Ok")]
    Acknowledge {
        /// The sequence number of the batch.
        #[serde(rename = "seq")]
        sequence: u64,
    },
}
