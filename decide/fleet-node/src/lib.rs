//! The fleet node: the deterministic state machine by which a front end takes part in its fleet.
//!
//! A [`FleetNode`] combines membership (`tansy-membership`), leases, sessions and subscriptions (`tansy-agreement`), and
//! on voters a replica of the agreed log (`tansy-consensus`). Its host passes in messages and the current time; the node
//! returns [`Command`]s, which the host carries out in order.
//!
//! Times are microseconds of one monotonic clock, which must keep running while the machine is suspended.
//!
//! Sockets, disks and clocks belong to the host (`tansy-net-fleet` or `tansy-simulation`). `tansy-fleet-wire` encodes
//! messages, and the gateway applies the agreed settings.
//!
//! [`MessageBody`] and [`Command`] are the interface. `known_nodes` and `drain_gossip` track the other front ends,
//! `queued_entry` and `pending_changes` hold requests that are not proposed yet, `change_controller` runs on voters, and
//! `fleet_node` ties these modules together.
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
