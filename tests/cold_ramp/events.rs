//! What happens in a simulation.

use crate::workers::{Attempt, FrontEndId};
use tansyrouter::{Event, Time};

/// What happens at its time.
#[derive(Debug)]
pub enum SimulatedEvent {
    /// A call arrives at some front end.
    Arrival,
    /// A router's timer is due.
    Timer(usize),
    /// An attempt reaches its worker.
    AttemptArrived(Attempt),
    /// A worker is done with one of its running calls.
    CallFinished { worker: u64, serial: u64 },
    /// A front end learns something, unless it has started anew since.
    Notice { front_end: FrontEndId, event: Event },
    /// A worker has loaded a function.
    Loaded {
        front_end: FrontEndId,
        worker: u64,
        function: u64,
        sent: Time,
    },
    /// Cold workers start in the place of others.
    ColdStart,
    /// All workers that did not start are lost.
    OthersLost,
    /// A front end starts anew.
    Restart(usize),
}
