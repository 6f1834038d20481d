//! What was taken, how it ended, and what was sent for it.

use serde::Serialize;
use tansyrouter::Outcome;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Account {
    /// Calls taken.
    pub taken: u64,
    /// Ended by an answer of a worker.
    pub served: u64,
    /// Ended by a refusal: nothing ran, or a repeat is harmless.
    pub refused: u64,
    /// Ended by a failure: nothing is promised.
    pub failed: u64,
    /// Ended by their clients.
    pub departed: u64,
    /// Calls of functions that the settings don't name; not taken.
    pub unknown: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Ends of attempts by [`Outcome`], in its order.
    pub ends: [u64; 9],
    /// Pieces passed on.
    pub pieces: u64,
    /// Orders to load, asks not included.
    pub loads: u64,
    /// Orders that left no instance, and asks that were not answered.
    pub vain: u64,
    /// Orders that only asked.
    pub asks: u64,
    /// Orders to unload.
    pub unloads: u64,
    /// Probes.
    pub probes: u64,
    /// Connections dropped because nothing could be sent on them.
    pub drops: u64,
    /// Of the refused ones, those that front ends may not agree on.
    pub contested: u64,
    /// Commands of the module that a guard of the ledger held back; 0 unless something is wrong.
    pub guarded: u64,
}

/// The place of an outcome in [`Account::ends`].
pub fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Served => 0,
        Outcome::Error => 1,
        Outcome::TurnedAway => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::ConnectionLost => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
        Outcome::NotLoaded => 8,
    }
}

impl Account {
    /// Whether all that was taken is answered, departed, or still open.
    pub fn balances(&self, open: u64) -> bool {
        self.taken == self.served + self.refused + self.failed + self.departed + open
    }
}

impl std::fmt::Display for Account {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "taken={} served={} refused={} failed={} departed={} unknown={} attempts={} pieces={} loads={} vain={} asks={} \
             unloads={} probes={} drops={} guarded={} contested={}",
            self.taken,
            self.served,
            self.refused,
            self.failed,
            self.departed,
            self.unknown,
            self.attempts,
            self.pieces,
            self.loads,
            self.vain,
            self.asks,
            self.unloads,
            self.probes,
            self.drops,
            self.guarded,
            self.contested
        )
    }
}
