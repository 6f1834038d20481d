//! The agreed log of a fleet, replicated by Raft among the fleet's voters, which are one, three, five or seven front ends.
//!
//! A [`Replica`] is one voter as a deterministic state machine. Its host passes in the time, messages and acknowledgements
//! of writes, and carries out the [`Effect`]s that it returns, in order. The `raft` library decides the order of entries.
//! This crate encodes messages and records, applies entries to the log, replaces voters, and maintains the **leader
//! lease**: the time until which this replica may act as the leader of the fleet.
//!
//! A leader lease is counted from the start of a heartbeat round that a quorum confirmed. A replica holds no leader lease
//! before it has applied an entry of its own term, so that a leader has applied everything that its predecessors
//! committed. A new leader waits for one lease span before it advances a change, because the last leader's lease may still
//! be live.
//!
//! Sockets, disks and clocks belong to the host. `tansy-agreement` defines the entries and what they do, and
//! `tansy-fleet-node` the front ends, whether they vote or not.
//!
//! ```
//! use tansy_agreement::compatibility::Fields;
//! use tansy_agreement::lease::LeaseTiming;
//! use tansy_consensus::{Effect, PersistentState, Replica, ReplicaConfig};
//!
//! let config = ReplicaConfig {
//!     id: 1,
//!     incarnation: 1,
//!     voters: [(1, ([127, 0, 0, 1], 7000).into())].into(),
//!     timing: LeaseTiming { span: 600_000, drift_ppm: 1000 },
//!     initial_fields: Fields::new(),
//!     seed: 1,
//! };
//! let mut replica = Replica::new(config, &PersistentState::default(), 0)?;
//! let mut effects = Vec::new();
//! replica.tick(0, &mut effects);
//! let mut position = 0;
//! while position < effects.len() {
//!     if matches!(effects[position], Effect::Persist { .. }) {
//!         // Write the record, sync it, then acknowledge it.
//!         replica.on_persisted(true, &mut effects);
//!     }
//!     position += 1;
//! }
//! assert!(replica.log().is_some());
//! # Ok::<(), tansy_consensus::CorruptState>(())
//! ```

mod config;
mod effect;
mod leader_lease;
mod persistence;
mod raft_storage;
mod replica;
mod voter_changes;
mod wire;

pub use config::ReplicaConfig;
pub use effect::Effect;
pub use persistence::{CorruptState, PersistentState};
pub use replica::Replica;
