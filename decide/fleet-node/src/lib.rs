//! One front end of a fleet, as one state machine.
//!
//! A [`FleetNode`] connects what `tansy-agreement`, `tansy-membership` and `tansy-consensus` keep apart: which front ends
//! are up, the lease and the session under which this one is active, the agreed state that it applies, and, at a voter, the
//! agreed log. It is given messages and the time and returns [`Command`]s, which its host carries out in order.
//!
//! Times are microseconds of one monotonic clock of the caller, which has to go on while the machine sleeps.
//!
//! Not here: sockets, disks and clocks (`tansy-net-fleet` and `tansy-simulation` have one host each), the encoding of messages, and
//! what a front end does with the settings.
//!
//! Modules from the lowest layer up: [`MessageBody`] and [`Command`] are the interface; `known_nodes` and `drain_gossip`
//! hold what is known of others; `queued_entry` and `pending_changes` hold what waits to be proposed; `change_controller`
//! is a voter's part; `fleet_node` joins them.
//!
//! ```
//! use tansy_agreement::compatibility::Schema;
//! use tansy_agreement::lease::LeaseTiming;
//! use tansy_fleet_node::{name_to_id, Command, FleetNode, FleetNodeConfig, RecoveredState};
//! use tansy_membership::{GossipTiming, NodeId};
//!
//! let address = ([127, 0, 0, 1], 7000).into();
//! let id = name_to_id("front-1");
//! let config = FleetNodeConfig {
//!     fleet: name_to_id("fleet"),
//!     name: "front-1".into(),
//!     node: NodeId::new(id, 1, address),
//!     voters: vec![(id, address)],
//!     lease: LeaseTiming { span: 600_000, drift_ppm: 1000 },
//!     session: LeaseTiming { span: 60_000_000, drift_ppm: 1000 },
//!     gossip: GossipTiming::default(),
//!     schema: Schema::default(),
//!     seed: 1,
//! };
//! let mut node = FleetNode::new(config, Some(RecoveredState::default()), 0)?;
//! let mut now = 0;
//! while now < 2_000_000 {
//!     let mut commands = Vec::new();
//!     node.tick(now, &mut commands);
//!     let mut position = 0;
//!     while position < commands.len() {
//!         if matches!(commands[position], Command::Persist { .. }) {
//!             // Write the record, sync it, then acknowledge it.
//!             node.on_persisted(now, Ok(()), &mut commands);
//!         }
//!         position += 1;
//!     }
//!     now = node.next_deadline().max(now + 1);
//! }
//! assert!(node.log().is_some(), "the only voter leads");
//! # Ok::<(), tansy_consensus::CorruptState>(())
//! ```

mod change_controller;
mod command;
mod config;
mod drain_gossip;
mod fleet_node;
mod known_nodes;
mod message;
mod pending_changes;
mod queued_entry;

pub use change_controller::ChangeBlockers;
pub use command::{Command, FleetEvent, RequestRejection, StorageFailure};
pub use config::{name_to_id, FleetNodeConfig, RecoveredState};
pub use fleet_node::{ActiveState, FleetNode};
pub use known_nodes::Directory;
pub use message::{Leader, MessageBody};
