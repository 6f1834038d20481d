//! The operator: proposes versions, and asks the leader until each is in force or given up.

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

/// Seconds before the end of a round by which the operator is done with its change.
const ROUND_MARGIN_SECONDS: f64 = 0.6;
/// Time until the leader is looked for again.
const LEADER_RETRY: Duration = Duration::from_millis(20);
/// Time until a proposal is sent again.
const PROPOSAL_RETRY: Duration = Duration::from_millis(50);
/// Time between two questions whether a version is in force.
const FORCE_INTERVAL: Duration = Duration::from_millis(10);
/// The reason that proposals carry.
const REASON: &str = "the day's";

/// A change that the operator proposes.
pub(super) struct ProposedChange {
    /// The fields of the settings.
    pub fields: Fields,
    /// What the auditor has to know of them.
    pub claim: ObservedSettings,
}

/// What became of a proposal.
pub(super) struct ProposalResult {
    /// Milliseconds until it was in force; none: it never was.
    pub force_ms: Option<u64>,
}

/// What the operator did, and what the auditor has to know of it.
pub(super) struct OperatorResult {
    pub proposals: Vec<ProposalResult>,
    /// By version, without the first one.
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

    /// Proposes each change that comes, one after the other, until there will be no more.
    pub fn run(
        &mut self,
        changes: &mpsc::Receiver<ProposedChange>,
    ) -> Result<OperatorResult, ScenarioError> {
        let mut result = OperatorResult {
            proposals: Vec::new(),
            claims: BTreeMap::new(),
        };
        for change in changes {
            let proposal = self.introduce(&change, &mut result.claims)?;
            result.proposals.push(proposal);
        }
        Ok(result)
    }

    fn introduce(
        &mut self,
        change: &ProposedChange,
        claims: &mut BTreeMap<u64, ObservedSettings>,
    ) -> Result<ProposalResult, ScenarioError> {
        let started = Instant::now();
        let deadline = started + Duration::from_secs_f64(ROUND_SECONDS - ROUND_MARGIN_SECONDS);
        let mut result = ProposalResult { force_ms: None };
        let Some(version) = self.propose(change, claims, deadline)? else {
            return Ok(result);
        };
        if self.wait_until_in_force(version, deadline)? {
            result.force_ms = Some(started.elapsed().as_millis() as u64);
        }
        Ok(result)
    }

    /// Proposes a change until the leader accepts it; gives its version.
    fn propose(
        &mut self,
        change: &ProposedChange,
        claims: &mut BTreeMap<u64, ObservedSettings>,
        deadline: Instant,
    ) -> Result<Option<u64>, ScenarioError> {
        // The leader may be away, or another change in progress: proposed again with the same id it is the same proposal.
        let id = fastrand::u64(1..);
        let proposed_at = self.proxy.now()?;
        while Instant::now() < deadline {
            let Some((leader, base)) = self.leader_and_version() else {
                self.client.wait(LEADER_RETRY);
                continue;
            };
            let settings = VersionedSettings {
                version: Version(base),
                fields: change.fields.clone(),
                reason: REASON.into(),
                id,
            };
            let entry = Entry::Propose(tansy_fleet_wire::settings(&settings));
            let Ok(reply) = self.client.enter(leader, entry) else {
                self.client.wait(PROPOSAL_RETRY);
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

    /// Asks the leader until a version is in force, or given up, or the time is over.
    fn wait_until_in_force(
        &mut self,
        version: u64,
        deadline: Instant,
    ) -> Result<bool, ScenarioError> {
        while Instant::now() < deadline {
            let leader = fleet::leader(&mut self.client, &self.voters);
            let state = leader.and_then(|(_, status)| status.state);
            if let Some(state) = state.filter(|state| state.next.is_none()) {
                let in_force = state.in_force.is_some_and(|force| force.version >= version);
                if in_force {
                    self.proxy.mark(Mark::InForce { version })?;
                }
                return Ok(in_force);
            }
            self.client.wait(FORCE_INTERVAL);
        }
        Ok(false)
    }

    /// The leader, and the version in force there.
    fn leader_and_version(&mut self) -> Option<(SocketAddr, u64)> {
        let (leader, status) = fleet::leader(&mut self.client, &self.voters)?;
        Some((leader, status.state?.in_force?.version))
    }
}
