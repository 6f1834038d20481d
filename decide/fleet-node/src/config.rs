//! Configuration and recovered state of a fleet node.

use std::net::SocketAddr;
use tansy_agreement::compatibility::{Fields, Schema};
use tansy_agreement::lease::LeaseTiming;
use tansy_consensus::PersistentState;
use tansy_membership::{GossipTiming, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// The id of a front end or a fleet: a hash of its name.
pub fn name_to_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Configuration of a fleet node.
#[derive(Clone, Debug)]
pub struct FleetNodeConfig {
    /// Id of the fleet, by [`name_to_id`].
    pub fleet: u64,
    /// Name of the front end.
    pub name: String,
    /// Id, incarnation and address of the front end's process.
    pub node: NodeId,
    /// Ids and addresses of a new fleet's first voters. A front end contacts them to find the other members.
    pub voters: Vec<(u64, SocketAddr)>,
    /// Length of a lease and bound on clock drift.
    pub lease: LeaseTiming,
    /// Length of a session and bound on clock drift.
    pub session: LeaseTiming,
    /// Timing of the membership protocol.
    pub gossip: GossipTiming,
    /// Compatibility of each field between two versions.
    pub schema: Schema,
    /// Seed of the node's random number generators.
    pub seed: u64,
}

/// State that a voter starts from.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The snapshot and records read from disk.
    pub persistent: PersistentState,
    /// The settings of version 1, for a fleet that starts for the first time.
    pub initial_fields: Fields,
}
