//! Events of a simulation.

use crate::workers::{Attempt, FrontEndId};
use tansyrouter::{Event, Time};

/// An event.
#[derive(Debug)]
pub enum SimulatedEvent {
    /// A call arrives at a front end.
    Arrival,
    /// The timer of a router is due.
    Timer(usize),
    /// An attempt reaches its worker.
    AttemptArrived(Attempt),
    /// A worker has finished a running call.
    CallFinished { worker: u64, serial: u64 },
    /// A router event reaches a front end, unless that has restarted in the meantime.
    RouterEvent { front_end: FrontEndId, event: Event },
    /// A worker has loaded a function.
    Loaded {
        front_end: FrontEndId,
        worker: u64,
        function: u64,
        sent: Time,
    },
    /// New workers start and replace others.
    WorkersStart,
    /// All workers other than the started ones are lost.
    OthersLost,
    /// A front end restarts.
    Restart(usize),
}
