//! The JSON lines between a measurement and its processes of hollow front ends.
//!
//! The serialized names are part of recorded traces and stay the same when a type or a field is renamed.

use serde::{Deserialize, Serialize};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use tansy_agreement::compatibility::Fields;

/// A command to a process of hollow front ends.
#[derive(Debug, Serialize, Deserialize)]
pub enum HollowCommand {
    /// Initializes the process; always the first command.
    #[serde(rename = "Begin")]
    Initialize {
        /// The fleet's settings file.
        settings: PathBuf,
        /// The second octet of the loopback addresses of all front ends.
        #[serde(rename = "net")]
        network: u8,
        /// The index of the first hollow front end.
        first: u32,
        /// Number of hollow front ends in a process. Processes hold consecutive indices in their order.
        #[serde(rename = "each")]
        per_process: u32,
    },
    /// Connects to all processes of hollow front ends, whose listening addresses are given in order. Sent before any front end starts.
    #[serde(rename = "Mesh")]
    Connect(Vec<SocketAddr>),
    /// Starts front ends, given by index and name, without state from before.
    Start(Vec<(u32, String)>),
    /// Stops a front end without notifying the others, like a killed process.
    Kill(u32),
    /// Makes each front end call some of the functions that are scopes of their own.
    Call {
        /// Number of these functions.
        functions: usize,
        /// Seed of each front end's choice of functions.
        seed: u64,
    },
    /// Requests [`HollowEvent::Applied`] for each function once all its subscribers have the given fields in force.
    Watch {
        /// Identifies the watch.
        id: u64,
        /// Names of the functions that are about to change, with their new fields.
        functions: Vec<(String, Fields)>,
    },
    /// Ends a watch.
    Unwatch(u64),
    /// Requests [`HollowEvent::Counted`].
    Count,
}

/// An event of a process of hollow front ends. Times are microseconds of a clock that all processes of the machine share.
#[derive(Debug, Serialize, Deserialize)]
pub enum HollowEvent {
    /// The process listens for messages at this address.
    Ready(SocketAddr),
    /// A front end holds a lease and a session for the first time since its start.
    #[serde(rename = "Acts")]
    Joined {
        /// Its index.
        #[serde(rename = "place")]
        front_end: u32,
        /// When it started.
        #[serde(rename = "since")]
        started_at: i64,
        /// When it first held both.
        at: i64,
    },
    /// The lowest version in force at the joined front ends of the process has changed.
    #[serde(rename = "Force")]
    InForce {
        /// The version.
        version: u64,
        /// When it changed.
        at: i64,
    },
    /// A watch has started.
    Watching {
        /// Identifies the watch.
        id: u64,
        /// Number of front ends that subscribe to each function, in the order of the command.
        #[serde(rename = "holders")]
        subscribers: Vec<usize>,
    },
    /// All front ends that subscribed to a function when the watch started, and still run, have its new fields in force.
    #[serde(rename = "Acted")]
    Applied {
        /// Identifies the watch.
        id: u64,
        /// The position of the function in the command.
        #[serde(rename = "nth")]
        position: usize,
        /// When the last front end applied the fields.
        at: i64,
    },
    /// A front end admitted calls by the old class of a function after another one had learned that the new class is in force.
    #[serde(rename = "Broken")]
    StaleAdmission {
        /// The front end.
        #[serde(rename = "place")]
        front_end: u32,
        /// The function.
        function: String,
    },
    /// The counters of the process.
    Counted(HollowCounters),
    /// The process exits with this error.
    Failed(String),
}

impl HollowEvent {
    /// Writes the event as a line on standard output.
    pub fn send(&self) {
        let Ok(line) = serde_json::to_string(self) else {
            return;
        };
        // Writing fails only after the parent has exited, which closes the input too.
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}

/// Counters over all front ends of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowCounters {
    /// Front ends that run.
    pub alive: usize,
    /// Number of other members in the smallest membership view of any front end.
    #[serde(rename = "least_view")]
    pub smallest_view: usize,
    /// Number of other members in the largest membership view of any front end.
    #[serde(rename = "most_view")]
    pub largest_view: usize,
    /// Front ends that hold no lease.
    pub without_lease: usize,
    /// Front ends that have no session.
    #[serde(rename = "without_stay")]
    pub without_session: usize,
    /// Subscriptions to functions, summed over front ends.
    #[serde(rename = "holds")]
    pub subscriptions: usize,
    /// Functions that front ends call, summed over front ends.
    #[serde(rename = "calls")]
    pub called_functions: usize,
    /// Messages received, including those of stopped front ends.
    #[serde(rename = "taken")]
    pub received: u64,
    /// Bytes of received messages.
    #[serde(rename = "taken_bytes")]
    pub received_bytes: u64,
    /// Messages sent, including those of stopped front ends.
    pub sent: u64,
    /// Bytes of sent messages.
    pub sent_bytes: u64,
    /// Messages dropped before they were sent.
    pub dropped: u64,
    /// CPU seconds of the process.
    #[serde(rename = "cpu_s")]
    pub cpu_seconds: f64,
}
