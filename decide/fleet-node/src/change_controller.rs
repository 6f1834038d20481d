//! The voter's side of a fleet node: its replica of the agreed log and, while it leads, the log entries that advance
//! changes.

mod advance;
mod scopes;
mod voter_replacement;

use crate::command::{Command, FleetEvent, RequestRejection, StorageFailure};
use crate::pending_changes::PendingChanges;
use crate::queued_entry::{QueuedEntry, Requester, MAX_QUEUED_ENTRIES};
use std::collections::VecDeque;
use tansy_agreement::compatibility::Schema;
use tansy_agreement::lease::{LeaseTiming, Member, Time};
use tansy_agreement::lease_tree::LeaseNode;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, FleetState, Log, LogEntry, Revision};
use tansy_agreement::session::{SessionGrant, SessionRequest, SessionTable};
use tansy_agreement::subscription::ResyncEpoch;
use tansy_consensus::{Effect, Replica};

/// A version change that has been in the joint phase for this time and still can't advance is abandoned. In that phase the calls that
/// a change of strict fields affects are rejected.
const JOINT_TIMEOUT: Time = 10_000_000;
/// Time between two checks for expired sessions, and between two checks for scopes that can be advanced.
const CHECK_INTERVAL: Time = 50_000;
/// Cause of [`FleetEvent::StorageFailed`] when the log holds an entry that this program can't decode.
const UNKNOWN_ENTRY_CAUSE: &str =
    "the agreed log holds an entry written by a later version: upgrade this program";

/// What the changes in progress wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeBlockers {
    /// Whether some front end with a live lease is not known to have reached the new version's revision.
    pub leases: bool,
    /// Members not known to have reached that revision; listed only if the new version changes strict fields.
    pub sessions: Vec<Member>,
    /// Scopes that are changing, each with the subscribers not known to have reached its revision. A scope without such
    /// subscribers waits only for leases.
    pub scopes: Vec<(String, Vec<Member>)>,
}

/// A voter's replica, and the changes that it advances while it leads.
pub(crate) struct ChangeController {
    replica: Replica,
    session_timing: LeaseTiming,
    /// The members that may hold sessions; `None` unless this voter leads.
    sessions: Option<SessionTable>,
    /// The last epoch that a session table of this voter started.
    resync_epoch: ResyncEpoch,
    /// Entries to propose and to apply, in order. The first `proposals.len()` of them are proposed.
    queue: VecDeque<QueuedEntry>,
    /// Proposal numbers of the proposed entries.
    proposals: VecDeque<u64>,
    /// Why this voter accepts no entries; `None` while it does.
    storage_failure: Option<String>,
    changes: PendingChanges,
    /// The revision at which the version being introduced became joint, and when this leader first saw it.
    joint_since: Option<(Revision, Time)>,
    /// Id of the learner that replaces a voter, and when this leader first saw it.
    learning_since: Option<(u64, Time)>,
    next_check: Time,
}

impl ChangeController {
    pub(crate) fn new(replica: Replica, session_timing: LeaseTiming, now: Time) -> Self {
        ChangeController {
            replica,
            session_timing,
            sessions: None,
            resync_epoch: ResyncEpoch::default(),
            queue: VecDeque::new(),
            proposals: VecDeque::new(),
            storage_failure: None,
            changes: PendingChanges::default(),
            joint_since: None,
            learning_since: None,
            next_check: now,
        }
    }

    /// The committed log, as far as it is known here.
    pub(crate) fn log(&self) -> Option<&Log> {
        self.replica.log()
    }

    /// Index of the last applied entry.
    pub(crate) fn applied(&self) -> u64 {
        self.replica.applied()
    }

    /// The current term and the id of its leader.
    pub(crate) fn leader(&self) -> Option<(u64, u64)> {
        self.replica.leader()
    }

    /// Expiry of the lease under which this voter leads.
    pub(crate) fn leader_lease(&self, now: Time) -> Option<Time> {
        self.replica.leader_lease(now)
    }

    /// When [`ChangeController::tick`] or [`ChangeController::advance`] is due next.
    pub(crate) fn next_deadline(&self) -> Time {
        let check = match self.sessions {
            Some(_) => self.next_check,
            None => Time::MAX,
        };
        self.replica.next_deadline().min(check)
    }

    pub(crate) fn tick(&mut self, now: Time, commands: &mut Vec<Command>) {
        let mut effects = Vec::new();
        self.replica.tick(now, &mut effects);
        self.carry_out(now, effects, commands);
    }

    /// Handles a message from another voter.
    pub(crate) fn on_message(
        &mut self,
        now: Time,
        from: u64,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let mut effects = Vec::new();
        self.replica.on_message(from, bytes, &mut effects);
        self.carry_out(now, effects, commands);
    }

    /// Handles the result of the oldest pending write.
    pub(crate) fn on_persisted(
        &mut self,
        now: Time,
        result: Result<(), StorageFailure>,
        commands: &mut Vec<Command>,
    ) {
        let mut effects = Vec::new();
        self.replica.on_persisted(result.is_ok(), &mut effects);
        if let Err(StorageFailure(cause)) = result {
            // The record may or may not be on disk, so requests for its entries are not answered with a result.
            self.fail(cause, commands);
        }
        self.carry_out(now, effects, commands);
    }

    /// Starts leading. All members of the roster may hold sessions that an earlier leader granted.
    pub(crate) fn begin_leadership(&mut self, now: Time) {
        let log = self.replica.log();
        let members = log
            .into_iter()
            .flat_map(Log::roster)
            .map(|(member, _)| member);
        let term = self.replica.leader().map_or(0, |(term, _)| term);
        // Later than any epoch of an earlier leader or of an earlier process of this voter.
        let first_of_term = ResyncEpoch { term, count: 1 };
        self.resync_epoch = self.resync_epoch.next().max(first_of_term);
        let sessions =
            SessionTable::with_epoch(self.session_timing, members, now, self.resync_epoch);
        self.sessions = Some(sessions);
        self.changes.reset();
        self.joint_since = None;
        self.learning_since = None;
        self.next_check = now;
    }

    /// Stops leading.
    pub(crate) fn end_leadership(&mut self, commands: &mut Vec<Command>) {
        if let Some(sessions) = self.sessions.take() {
            self.resync_epoch = sessions.epoch();
        }
        self.reject_all(&RequestRejection::LeadershipLost, commands);
    }

    /// Grants a session to a member of the roster. For another front end it queues a join, so that a later request may succeed. Returns
    /// `None` too if this voter does not lead or has no log yet, if the front end lacks support for scopes that are in use, or if its
    /// removal is queued.
    pub(crate) fn grant_session(
        &mut self,
        now: Time,
        request: SessionRequest,
        name: String,
    ) -> Option<SessionGrant> {
        let uses_scopes = self.uses_scopes();
        let sessions = self.sessions.as_mut()?;
        let log = self.replica.log()?;
        // A program without support for scopes would apply only the versions, to every function.
        if uses_scopes && !request.supports_scopes {
            return None;
        }
        let member = request.from;
        if log.has_member(member) {
            // Once a queued removal is applied, changes no longer wait for the member, so no further session is granted.
            if self.queue.iter().any(|queued| is_leave_of(queued, member)) {
                return None;
            }
            return sessions.grant(now, request);
        }
        if !self.queue.iter().any(|queued| is_join_of(queued, member)) {
            self.push(LogEntry::Join {
                member,
                name,
                revision: request.revision,
            });
        }
        None
    }

    /// Whether the session table has this member, which may therefore hold a session. False unless this voter leads.
    pub(crate) fn has_session_entry(&self, member: Member) -> bool {
        self.sessions
            .as_ref()
            .is_some_and(|sessions| sessions.contains(member))
    }

    /// Queues the removal of a front end that shut down.
    pub(crate) fn on_departed(&mut self, member: Member) {
        if self.sessions.is_some() && self.log().is_some_and(|log| log.has_member(member)) {
            self.push(LogEntry::Leave { member });
        }
    }

    /// Queues an entry that was requested through [`FleetNode::request`](crate::FleetNode::request).
    pub(crate) fn request(&mut self, request: u64, entry: LogEntry, commands: &mut Vec<Command>) {
        if let Err(rejection) = self.queue_request(request, entry) {
            commands.push(Command::Respond {
                request,
                outcome: Err(rejection),
            });
        }
    }

    fn queue_request(&mut self, request: u64, entry: LogEntry) -> Result<(), RequestRejection> {
        if let Some(cause) = &self.storage_failure {
            return Err(RequestRejection::Storage(cause.clone()));
        }
        if self.queue.len() >= MAX_QUEUED_ENTRIES {
            return Err(RequestRejection::Busy);
        }
        match entry {
            LogEntry::UpdateScopes { mut transactions } if transactions.len() == 1 => {
                let transaction = transactions.pop();
                match transaction.map(|transaction| self.changes.push(request, transaction)) {
                    Some(false) => Err(RequestRejection::Busy),
                    _ => Ok(()),
                }
            }
            entry => {
                self.queue.push_back(QueuedEntry {
                    entry,
                    requester: Requester::Single(request),
                });
                Ok(())
            }
        }
    }

    /// What the changes in progress wait for; `None` if there are none or this voter does not lead.
    pub(crate) fn blockers(
        &self,
        now: Time,
        lease_node: &LeaseNode<FleetState>,
        schema: &Schema,
    ) -> Option<ChangeBlockers> {
        let (log, sessions) = (self.replica.log()?, self.sessions.as_ref()?);
        let revision = log.state().versions_revision;
        let behind = if log.changes_strict_field(schema) {
            sessions.members_behind(revision).collect()
        } else {
            Vec::new()
        };
        let scopes = scopes::blocked_scopes(log, sessions, schema);
        let is_changing = log.has_version_change();
        (is_changing || !scopes.is_empty()).then(|| ChangeBlockers {
            leases: is_changing && !lease_node.all_have_reached(now, revision),
            sessions: behind,
            scopes,
        })
    }

    /// Queues an entry of the leader itself. If the queue is full, the entry is dropped; the next check queues it again.
    fn push(&mut self, entry: LogEntry) {
        if self.storage_failure.is_none() && self.queue.len() < MAX_QUEUED_ENTRIES {
            self.queue.push_back(QueuedEntry {
                entry,
                requester: Requester::None,
            });
        }
    }

    /// Rejects all queued and all later entries.
    fn fail(&mut self, cause: String, commands: &mut Vec<Command>) {
        if self.storage_failure.is_some() {
            return;
        }
        self.reject_all(&RequestRejection::Storage(cause.clone()), commands);
        commands.push(Command::Notify(FleetEvent::StorageFailed {
            cause: cause.clone(),
        }));
        self.storage_failure = Some(cause);
    }

    /// Rejects all queued entries and all pending scope changes.
    fn reject_all(&mut self, rejection: &RequestRejection, commands: &mut Vec<Command>) {
        self.proposals.clear();
        for queued in self.queue.drain(..) {
            queued.requester.respond(Err(rejection.clone()), commands);
        }
        self.changes.reject_all(rejection, commands);
    }

    fn carry_out(&mut self, now: Time, effects: Vec<Effect>, commands: &mut Vec<Command>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => commands.push(Command::SendToVoter { to, bytes }),
                Effect::Persist { record, snapshot } => {
                    commands.push(Command::Persist { record, snapshot });
                }
                Effect::UnknownEntry => self.fail(UNKNOWN_ENTRY_CAUSE.to_string(), commands),
                Effect::Applied {
                    proposal,
                    entry,
                    outcome,
                } => self.on_applied(now, proposal, &entry, outcome, commands),
            }
        }
    }

    fn on_applied(
        &mut self,
        now: Time,
        proposal: Option<u64>,
        entry: &LogEntry,
        outcome: Result<ApplyOutcome, EntryRejection>,
        commands: &mut Vec<Command>,
    ) {
        if let Some(sessions) = self.sessions.as_mut().filter(|_| outcome.is_ok()) {
            match entry {
                LogEntry::Leave { member } => sessions.remove(*member),
                LogEntry::Join {
                    member, revision, ..
                } => sessions.on_join(now, *member, *revision),
                _ => {}
            }
        }
        if proposal.is_some() && proposal == self.proposals.front().copied() {
            self.proposals.pop_front();
            if let Some(queued) = self.queue.pop_front() {
                let outcome = outcome.map_err(RequestRejection::Log);
                queued.requester.respond(outcome, commands);
            }
        }
    }
}

fn is_leave_of(queued: &QueuedEntry, id: Member) -> bool {
    matches!(&queued.entry, LogEntry::Leave { member } if *member == id)
}

fn is_join_of(queued: &QueuedEntry, id: Member) -> bool {
    matches!(&queued.entry, LogEntry::Join { member, .. } if *member == id)
}
