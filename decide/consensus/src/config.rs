//! Configuration of a replica, and parameters of the Raft library.

use raft::{Config, ReadOnlyOption};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::{LeaseTiming, Time};

/// Time between two ticks of Raft, in microseconds.
pub(crate) const TICK_INTERVAL: Time = 50_000;
/// Lower bound of the election timeout, in ticks. The timeout is random and less than twice as long.
pub(crate) const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Maximum size of the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Maximum number of unacknowledged messages to one follower.
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Id of the front end.
    pub id: u64,
    /// Incarnation of the front end's process, which increases with each restart.
    pub incarnation: u64,
    /// Ids and addresses of a new fleet's first voters. Any other replica starts as a learner when it is to replace a
    /// voter, and does not vote before that.
    pub voters: BTreeMap<u64, SocketAddr>,
    /// Length of a lease and bound on clock drift.
    pub timing: LeaseTiming,
    /// The settings of version 1, for a fleet that starts for the first time.
    pub initial_fields: Fields,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The Raft library's configuration for a replica that has applied entries up to this index.
pub(crate) fn raft_config(id: u64, applied: u64) -> Config {
    Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        read_only_option: ReadOnlyOption::Safe,
        ..Config::default()
    }
}
