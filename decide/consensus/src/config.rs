//! What a replica is configured with, and the parameters of raft.

use raft::{Config, ReadOnlyOption};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::{LeaseTiming, Time};

/// Time between two ticks of raft, microseconds.
pub(crate) const TICK_INTERVAL: Time = 50_000;
/// Ticks without a leader's message after which a voter stands for election, at least; at most twice as many.
pub(crate) const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// Bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Messages to one follower that may be unacknowledged.
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// What a replica is configured with.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The voter's number.
    pub id: u64,
    /// Its process; a later one has a larger number.
    pub incarnation: u64,
    /// The voters of a fleet that starts for the first time, and their addresses. A replica which is not among them learns
    /// the log while it replaces a voter, and does not vote until then.
    pub voters: BTreeMap<u64, SocketAddr>,
    /// Span and clock drift of leases.
    pub timing: LeaseTiming,
    /// The fields of the first version of a fleet that starts for the first time.
    pub initial_fields: Fields,
    /// Seed of its random choices.
    pub seed: u64,
}

/// The configuration of the raft library for a replica whose log was applied up to this index.
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
