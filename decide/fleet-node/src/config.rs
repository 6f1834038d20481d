//! What a front end is started with.

use std::net::SocketAddr;
use tansy_agreement::compatibility::{Fields, Schema};
use tansy_agreement::lease::LeaseTiming;
use tansy_consensus::PersistentState;
use tansy_membership::{GossipTiming, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// The number of a front end's or a fleet's name.
pub fn name_to_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What a front end of a fleet is configured with.
#[derive(Clone, Debug)]
pub struct FleetNodeConfig {
    /// The fleet's number.
    pub fleet: u64,
    /// The front end's name.
    pub name: String,
    /// Its process and address.
    pub node: NodeId,
    /// The numbers and addresses of the voters that a new fleet starts with; through these a front end finds the fleet.
    pub voters: Vec<(u64, SocketAddr)>,
    /// Span and clock drift of leases.
    pub lease: LeaseTiming,
    /// Span and clock drift of sessions.
    pub session: LeaseTiming,
    /// Timing of the membership protocol.
    pub gossip: GossipTiming,
    /// How fields may differ between two versions.
    pub schema: Schema,
    /// Seed of its random choices.
    pub seed: u64,
}

/// What a voter is started from.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// What its disk holds.
    pub persistent: PersistentState,
    /// The fields of the first version of a new fleet.
    pub initial_fields: Fields,
}
