//! The operator: proposes versions, and polls the leader until each is in force or abandoned.

use super::ROUND_SECONDS;
use crate::error::ScenarioError;
use crate::fault_proxy::FaultProxyThread;
use crate::fleet;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_audit::contradictions::ObservedSettings;
use tansy_audit::Mark;
use tansy_fleet::client::Client;
use tansy_fleet_wire::pb::enter_request::Entry;

/// Time before the end of a round at which the operator gives up on its change.
const ROUND_MARGIN_SECONDS: f64 = 0.6;
/// Time until the operator looks for the leader again.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time until a proposal is sent again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks whether a version is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Reason text in proposals.
const REASON: &str = "the day's";

/// A change to propose.
pub(super) struct ProposedChange {
    /// Fields of the settings.
    pub fields: Fields,
    /// The version's observable behaviour, for the audit.
    pub claim: ObservedSettings,
}

/// The outcome of a proposal.
pub(super) struct ProposalResult {
    /// Milliseconds until it was in force; `None` if it was not in time.
    pub in_force_ms: Option<u64>,
}

/// Outcomes of all proposals, and the claims for the audit.
pub(super) struct OperatorResult {
    pub proposals: Vec<ProposalResult>,
    /// Claims by version, without the first version.
    pub claims: BTreeMap<u64, ObservedSettings>,
}

/// The operator of a fleet.
pub(super) struct Operator {
    proxy: Arc<FaultProxyThread>,
    voters: Vec<SocketAddr>,
    client: Client,
}

impl Operator {
    pub fn new(
        proxy: Arc<FaultProxyThread>,
        voters: Vec<SocketAddr>,
    ) -> Result<Operator, ScenarioError> {
        let client = Client::new()?;
        Ok(Operator {
            proxy,
            voters,
            client,
        })
    }

    /// Proposes each received change in turn, until the channel is closed.
    pub fn run(
        &mut self,
        changes: &mpsc::Receiver<ProposedChange>,
    ) -> Result<OperatorResult, ScenarioError> {
        let mut result = OperatorResult {
            proposals: Vec::new(),
            claims: BTreeMap::new(),
        };
        for change in changes {
            let proposal = self.propose_and_wait(&change, &mut result.claims)?;
            result.proposals.push(proposal);
        }
        Ok(result)
    }

    fn propose_and_wait(
        &mut self,
        change: &ProposedChange,
        claims: &mut BTreeMap<u64, ObservedSettings>,
    ) -> Result<ProposalResult, ScenarioError> {
        let started = Instant::now();
        let deadline = started + Duration::from_secs_f64(ROUND_SECONDS - ROUND_MARGIN_SECONDS);
        let mut result = ProposalResult { in_force_ms: None };
        let Some(version) = self.propose(change, claims, deadline)? else {
            return Ok(result);
        };
        if self.wait_until_in_force(version, deadline)? {
            result.in_force_ms = Some(started.elapsed().as_millis() as u64);
        }
        Ok(result)
    }

    /// Proposes a change until a leader accepts it; returns its version.
    fn propose(
        &mut self,
        change: &ProposedChange,
        claims: &mut BTreeMap<u64, ObservedSettings>,
        deadline: Instant,
    ) -> Result<Option<u64>, ScenarioError> {
        // Retries keep the id, so that a proposal whose reply was lost is not applied twice.
        let id = fastrand::u64(1..);
        let proposed_at = self.proxy.now()?;
        while Instant::now() < deadline {
            let Some((leader, base)) = self.leader_and_version() else {
                self.client.wait(LEADER_RETRY_INTERVAL);
                continue;
            };
            let settings = VersionedSettings {
                version: Version(base),
                fields: change.fields.clone(),
                reason: REASON.into(),
                id,
            };
            let entry = Entry::Propose(tansy_fleet_wire::encode_settings(&settings));
            let Ok(reply) = self.client.enter(leader, entry) else {
                self.client.wait(PROPOSAL_RETRY_INTERVAL);
                continue;
            };
            let version = reply.version;
            claims.insert(version, change.claim);
            let mark = Mark::Proposed { version };
            self.proxy.mark_at(proposed_at, mark)?;
            return Ok(Some(version));
        }
        Ok(None)
    }

    /// Polls the leader until no change is in progress or the time is up; returns whether the version is in force.
    fn wait_until_in_force(
        &mut self,
        version: u64,
        deadline: Instant,
    ) -> Result<bool, ScenarioError> {
        while Instant::now() < deadline {
            let leader = fleet::find_leader(&mut self.client, &self.voters);
            let state = leader.and_then(|(_, status)| status.state);
            if let Some(state) = state.filter(|state| state.next.is_none()) {
                let in_force = state.in_force.is_some_and(|force| force.version >= version);
                if in_force {
                    self.proxy.mark(Mark::InForce { version })?;
                }
                return Ok(in_force);
            }
            self.client.wait(IN_FORCE_POLL_INTERVAL);
        }
        Ok(false)
    }

    /// The leader's address, and the version in force at the leader.
    fn leader_and_version(&mut self) -> Option<(SocketAddr, u64)> {
        let (leader, status) = fleet::find_leader(&mut self.client, &self.voters)?;
        Some((leader, status.state?.in_force?.version))
    }
}
