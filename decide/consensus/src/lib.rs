//! The agreed log of a fleet, replicated by raft among a few front ends, its voters: one, three, five or seven.
//!
//! A [`Replica`] is one voter as a state machine. It is given the time, messages and acknowledgements of writes, and
//! returns [`Effect`]s which its host carries out in order. The order of entries is decided by the library `raft`; this
//! crate adds the encoding of messages and records, the application of entries to the log, the replacement of voters, and
//! the **leader lease**: the time until which this replica may act as the leader of the fleet.
//!
//! A leader lease starts before a round of heartbeats that a quorum answered. There is none before an entry of the
//! leader's own term was applied here, so that a leader knows everything that its predecessors entered after a check of
//! their own. A new leader waits for one lease span before it advances a change: the quorum that elected it overlaps with
//! the one that confirmed the last leader.
//!
//! Not here: sockets, disks and clocks (the host's), the meaning of entries (`tansy-agreement`), and the front ends
//! which do not vote (`tansy-fleet-node`).
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
