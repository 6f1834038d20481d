//! Commands to the simulator, as they are written.

use serde::Serialize;
use std::borrow::Cow;

/// A line of the output.
#[derive(Serialize)]
#[serde(tag = "kind")]
pub enum Command<'a> {
    /// Send a request to a worker, as its next attempt.
    #[serde(rename = "HandOff")]
    Send {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// The request's number.
        #[serde(rename = "req")]
        request: u64,
        /// The worker's name.
        worker: &'a str,
        /// When to abandon the attempt, in seconds since the simulation's start.
        #[serde(rename = "cut_at_s", skip_serializing_if = "Option::is_none")]
        abandon_at_s: Option<f64>,
    },
    /// Final answer: rejected.
    #[serde(rename = "Deny")]
    Reject {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// The request's number.
        #[serde(rename = "req")]
        request: u64,
        /// Seconds that the client is advised to wait before it tries again.
        #[serde(rename = "stay_away_s", skip_serializing_if = "Option::is_none")]
        retry_after_s: Option<f64>,
    },
    /// Final answer: failed.
    #[serde(rename = "GiveUp")]
    Fail {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// The request's number.
        #[serde(rename = "req")]
        request: u64,
    },
    /// Stop waiting for an attempt.
    #[serde(rename = "Revoke")]
    Cancel {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// The request's number.
        #[serde(rename = "req")]
        request: u64,
        /// The attempt's number.
        #[serde(rename = "hop")]
        attempt: u32,
    },
    /// Ask a worker for a report of its load.
    #[serde(rename = "AskLoad")]
    Probe {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// The worker's name.
        worker: &'a str,
    },
    /// Have a worker keep at least so many instances loaded.
    #[serde(rename = "StartCopy")]
    Load {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// The function's name.
        #[serde(rename = "callee")]
        function: Cow<'a, str>,
        /// The number of instances.
        #[serde(rename = "number")]
        instances: u32,
        /// The worker's name.
        worker: &'a str,
    },
    /// Have a worker unload idle instances.
    #[serde(rename = "LetCool")]
    Unload {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// The function's name.
        #[serde(rename = "callee")]
        function: Cow<'a, str>,
        /// The worker's name.
        worker: &'a str,
    },
    /// Set a timer.
    #[serde(rename = "After")]
    SetTimer {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// When it is due, in seconds since the simulation's start.
        #[serde(rename = "alarm_time_s")]
        due_at_s: f64,
        /// Returned with the message that it is due.
        #[serde(rename = "nonce")]
        token: String,
    },
    /// Ask for the changes of the list of workers from here on.
    #[serde(rename = "Listen")]
    Subscribe {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
        /// Whether they are wanted.
        #[serde(rename = "want")]
        enabled: bool,
    },
    /// Ask once for the full list of workers.
    #[serde(rename = "Reload")]
    FetchList {
        /// The front end's number.
        #[serde(rename = "end")]
        front_end: u64,
    },
    /// Acknowledges a batch, after all commands that it led to.
    #[serde(rename = "Ok")]
    Acknowledge {
        /// The batch's sequence number.
        #[serde(rename = "seq")]
        sequence: u64,
    },
}
