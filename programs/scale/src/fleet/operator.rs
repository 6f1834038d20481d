//! An operator's requests: find the leader, read the settings in force, and propose versions of the settings.

use super::TestFleet;
use crate::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_fleet_node::name_to_id;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{decode_state, encode_settings, pb};
use tansy_net_fleet::client::RequestError;
use tansy_net_sockets::clock;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts to append an entry to the log.
const MAX_ATTEMPTS: usize = 5;
/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A version of the settings that was proposed.
#[derive(Clone, Copy, Debug)]
pub struct Proposal {
    /// The number of the version.
    pub version: u64,
    /// When it was requested, in microseconds of the machine's clock.
    pub requested_at: i64,
}

/// Versions that were proposed at the same time.
pub struct VersionBurst {
    /// When they were requested, in microseconds of the machine's clock.
    pub requested_at: i64,
    /// The number of each version, or why it was refused.
    pub versions: Vec<Result<u64, RequestError>>,
}

impl TestFleet {
    /// Updates the leader's address and the settings in force. Fails while a change is in progress, with the address updated.
    pub fn refresh_leader(&mut self) -> Result<(), Error> {
        let first = self.real[0].address();
        let status = self.client.status_within(first, REQUEST_TIMEOUT)?;
        self.leader_address = status.leader_address.parse().unwrap_or(self.leader_address);
        let status = self
            .client
            .status_within(self.leader_address, REQUEST_TIMEOUT)?;
        let state = decode_state(status.state.ok_or(Error::NoVersion)?)?;
        if state.next.is_some() {
            return Err(Error::ChangeInProgress);
        }
        self.in_force = state.in_force;
        Ok(())
    }

    /// Returns the index of the leader.
    pub fn leader(&self) -> usize {
        self.real
            .iter()
            .position(|front_end| front_end.address() == self.leader_address)
            .unwrap_or(0)
    }

    /// Returns the address of the leader's fleet transport.
    pub fn leader_address(&self) -> SocketAddr {
        self.leader_address
    }

    /// Returns the fields that were last proposed, or were in force at the last [`TestFleet::refresh_leader`].
    pub fn fields(&self) -> &Fields {
        &self.in_force.fields
    }

    /// Returns a new request id, which is not 0.
    pub(super) fn next_request_id(&mut self) -> u64 {
        let now = clock::now();
        self.request_id_at(now).max(1)
    }

    fn request_id_at(&mut self, now: i64) -> u64 {
        self.requests += 1;
        name_to_id(&format!("{}/{}/{now}", self.shape.seed, self.requests))
    }

    /// Describes what blocks a version that is not in force.
    pub fn describe_wait(&mut self, version: u64) -> String {
        let behind = self
            .real
            .iter()
            .filter(|front_end| front_end.has_joined && front_end.in_force.version < version)
            .count();
        let processes = self
            .hollow
            .iter()
            .filter(|process| process.in_force.version < version)
            .count();
        let counters = self.hollow_counters().unwrap_or_default();
        let without_lease: usize = counters.iter().map(|count| count.without_lease).sum();
        let without_session: usize = counters.iter().map(|count| count.without_session).sum();
        let leader = self.describe_leader_wait();
        format!(
            "{behind} real front ends and some hollow ones in {processes} processes do not have it in force; of the hollow ones \
             {without_lease} have no lease and {without_session} no session; {leader}"
        )
    }

    fn describe_leader_wait(&mut self) -> String {
        let status = self
            .client
            .status_within(self.leader_address, REQUEST_TIMEOUT);
        let status = match status {
            Ok(status) => status,
            Err(error) => return format!("the leader does not answer: {error}"),
        };
        let waits = if status.blocked_by_leases {
            "waits"
        } else {
            "does not wait"
        };
        let sessions = status.blocking_members.len();
        format!("the leader {waits} for leases, and {sessions} sessions block the change")
    }

    /// Asks the leader to abandon a version that is in progress.
    pub fn abandon(&mut self, version: u64) {
        let abandon = Entry::Abandon(version);
        let _ = self
            .client
            .enter_within(self.leader_address, abandon, REQUEST_TIMEOUT);
    }

    /// Appends an entry to the leader's log. Retries use the same id, and may go to another leader.
    pub(super) fn append(&mut self, entry: Entry) -> Result<pb::EnterReply, Error> {
        self.append_with_retry(|_| entry.clone(), Error::EntryRefused)
    }

    /// Proposes a version of the settings based on the one in force.
    pub fn propose(&mut self, fields: Fields, reason: &str) -> Result<Proposal, Error> {
        let requested_at = clock::now();
        let id = self.request_id_at(requested_at);
        let proposed = |fleet: &TestFleet| VersionedSettings {
            version: fleet.in_force.version,
            fields: fields.clone(),
            reason: reason.into(),
            id,
        };
        let entry = |fleet: &TestFleet| Entry::Propose(encode_settings(&proposed(fleet)));
        let version = self
            .append_with_retry(entry, Error::ProposalRefused)?
            .version;
        self.in_force = VersionedSettings {
            version: Version(version),
            ..proposed(self)
        };
        Ok(Proposal {
            version,
            requested_at,
        })
    }

    /// Appends an entry, which is built for each attempt, with retries until the leader accepts it.
    fn append_with_retry(
        &mut self,
        entry: impl Fn(&TestFleet) -> Entry,
        refused: fn(RequestError) -> Error,
    ) -> Result<pb::EnterReply, Error> {
        let mut attempt = 1;
        loop {
            let entry = entry(self);
            let reply = self
                .client
                .enter_within(self.leader_address, entry, REQUEST_TIMEOUT);
            let error = match reply {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            self.run_for(RETRY_DELAY)?;
            // The leader and the version in force may have changed.
            let _ = self.refresh_leader();
            if attempt == MAX_ATTEMPTS {
                return Err(refused(error));
            }
            attempt += 1;
        }
    }

    /// Proposes versions at the same time, all based on the one in force.
    pub fn propose_burst(&mut self, versions: Vec<Fields>) -> VersionBurst {
        let version = self.in_force.version;
        let entry = |fields: Fields| {
            Entry::Propose(encode_settings(&VersionedSettings {
                version,
                fields,
                reason: "burst".into(),
                id: self.next_request_id(),
            }))
        };
        let entries = versions.into_iter().map(entry).collect();
        let requested_at = clock::now();
        let replies = self.client.enter_all(self.leader_address, entries);
        let versions = replies
            .into_iter()
            .map(|reply| reply.map(|reply| reply.version))
            .collect();
        VersionBurst {
            requested_at,
            versions,
        }
    }
}
