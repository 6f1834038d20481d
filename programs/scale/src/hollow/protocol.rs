//! The lines between a measurement and a process of hollow front ends.
//!
//! Both ends are the same program, but the serialized names are part of recorded traces: they do not change when a type is renamed.

use serde::{Deserialize, Serialize};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use tansy_agreement::compatibility::Fields;

/// A command to a process of hollow front ends.
#[derive(Debug, Serialize, Deserialize)]
pub enum HollowCommand {
    /// Sets the process up; the first command of all.
    #[serde(rename = "Begin")]
    Initialize {
        /// The fleet's settings file.
        settings: PathBuf,
        /// The second octet of all front ends' addresses.
        #[serde(rename = "net")]
        network: u8,
        /// The index of the first hollow front end.
        first: u32,
        /// Hollow front ends of one process; they are assigned in the order of the processes.
        #[serde(rename = "each")]
        per_process: u32,
    },
    /// Where all processes of hollow front ends take messages, in their order; before any front end starts.
    #[serde(rename = "Mesh")]
    Connect(Vec<SocketAddr>),
    /// Starts front ends without any state: their indices and names.
    Start(Vec<(u32, String)>),
    /// Ends a front end without a goodbye, as a killed process.
    Kill(u32),
    /// From now on each front end calls a few of the separately agreed functions.
    Call {
        /// How many functions there are.
        functions: usize,
        /// The seed by which each front end chooses its own.
        seed: u64,
    },
    /// Asks for [`HollowEvent::Applied`] once all that subscribe to one of these functions act on the given fields.
    Watch {
        /// The watch.
        id: u64,
        /// Names of functions that are about to change, with the fields that they change to.
        functions: Vec<(String, Fields)>,
    },
    /// Ends a watch.
    Unwatch(u64),
    /// Asks for [`HollowEvent::Counted`].
    Count,
}

/// An event of a process of hollow front ends. Times are microseconds of the clock that all processes of the machine share.
#[derive(Debug, Serialize, Deserialize)]
pub enum HollowEvent {
    /// The process takes messages at this address.
    Ready(SocketAddr),
    /// A front end holds its first lease and session.
    #[serde(rename = "Acts")]
    Joined {
        /// Its index.
        #[serde(rename = "place")]
        front_end: u32,
        /// When it started.
        #[serde(rename = "since")]
        started_at: i64,
        /// When it held both.
        at: i64,
    },
    /// The lowest version in force at any acting front end of the process has changed.
    #[serde(rename = "Force")]
    InForce {
        /// The version.
        version: u64,
        /// When.
        at: i64,
    },
    /// A watch has begun.
    Watching {
        /// The watch.
        id: u64,
        /// How many front ends subscribe to each function, in the order of the command.
        #[serde(rename = "holders")]
        subscribers: Vec<usize>,
    },
    /// All front ends that subscribed to a function when the watch began, and still live, act on its new fields, which are in force.
    #[serde(rename = "Acted")]
    Applied {
        /// The watch.
        id: u64,
        /// The position of the function in the command.
        #[serde(rename = "nth")]
        position: usize,
        /// When the last one did.
        at: i64,
    },
    /// A front end admitted calls by a function's former class while another one knew the new class to be in force.
    #[serde(rename = "Broken")]
    StaleAdmission {
        /// The front end.
        #[serde(rename = "place")]
        front_end: u32,
        /// The function.
        function: String,
    },
    /// The process's counters.
    Counted(HollowCounters),
    /// The process ends with this error.
    Failed(String),
}

impl HollowEvent {
    /// Writes the event as a line on standard output.
    pub fn send(&self) {
        let Ok(line) = serde_json::to_string(self) else {
            return;
        };
        // A failure means that the parent is gone; the input ends as well then.
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}

/// Counters over all front ends of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowCounters {
    /// Front ends that run.
    pub alive: usize,
    /// Members in the smallest view of the fleet, but for the viewer.
    #[serde(rename = "least_view")]
    pub smallest_view: usize,
    /// Members in the largest view of the fleet, but for the viewer.
    #[serde(rename = "most_view")]
    pub largest_view: usize,
    /// Front ends without a lease at this moment.
    pub without_lease: usize,
    /// Front ends without a session at this moment.
    #[serde(rename = "without_stay")]
    pub without_session: usize,
    /// Subscriptions to separately agreed functions.
    #[serde(rename = "holds")]
    pub subscriptions: usize,
    /// Separately agreed functions that front ends call.
    #[serde(rename = "calls")]
    pub called_functions: usize,
    /// Messages received, those of ended front ends among them.
    #[serde(rename = "taken")]
    pub received: u64,
    /// Bytes of received messages.
    #[serde(rename = "taken_bytes")]
    pub received_bytes: u64,
    /// Messages sent, those of ended front ends among them.
    pub sent: u64,
    /// Bytes of sent messages.
    pub sent_bytes: u64,
    /// Messages dropped before they were sent.
    pub dropped: u64,
    /// Seconds of CPU of the process.
    #[serde(rename = "cpu_s")]
    pub cpu_seconds: f64,
}
