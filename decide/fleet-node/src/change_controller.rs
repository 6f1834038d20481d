//! A voter's part: its replica of the agreed log, and, while it leads, the entries that a change needs.

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

/// A change of strict fields that is joint, so that calls are rejected because of it, is abandoned after this time.
const JOINT_TIMEOUT: Time = 10_000_000;
/// How often sessions are checked for expiry, and scopes for whether they can be advanced.
const CHECK_INTERVAL: Time = 50_000;
/// The cause of [`FleetEvent::StorageFailed`] where the log holds an entry of a later program.
const UNKNOWN_ENTRY_CAUSE: &str =
    "the agreed log holds what a later program wrote: finish the update of the programs";

/// What the change that is being introduced waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeBlockers {
    /// Some front end with a live lease is not known to have reached the change's revision.
    pub leases: bool,
    /// The members that are not known to have reached it. They block the change if it concerns strict fields.
    pub sessions: Vec<Member>,
    /// Scopes that change, and for each the holders that are not known to have reached its revision; none: it waits for
    /// leases alone.
    pub scopes: Vec<(String, Vec<Member>)>,
}

/// A voter's replica, and the changes that it advances as leader.
pub(crate) struct ChangeController {
    replica: Replica,
    session_timing: LeaseTiming,
    /// While it leads: the members that may hold sessions.
    sessions: Option<SessionTable>,
    /// The last epoch that a session table of this voter started.
    resync_epoch: ResyncEpoch,
    /// Entries to propose. The first of them are proposed already, one for each of `proposals`.
    queue: VecDeque<QueuedEntry>,
    proposals: VecDeque<u64>,
    /// Why it takes no entries, if it does not.
    storage_failure: Option<String>,
    changes: PendingChanges,
    /// The revision since which a version is joint, and when that was first seen.
    joint_since: Option<(Revision, Time)>,
    /// The learner that is to become a voter, and when that was first seen.
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

    /// The log as far as it is known to be committed.
    pub(crate) fn log(&self) -> Option<&Log> {
        self.replica.log()
    }

    /// Index of the last applied entry.
    pub(crate) fn applied(&self) -> u64 {
        self.replica.applied()
    }

    /// The term and the voter that leads in it.
    pub(crate) fn leader(&self) -> Option<(u64, u64)> {
        self.replica.leader()
    }

    /// Until when this voter may act as the leader.
    pub(crate) fn leader_lease(&self, now: Time) -> Option<Time> {
        self.replica.leader_lease(now)
    }

    /// When it has something to do next.
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

    /// Takes a message of another voter.
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

    /// The first record that was to be persisted is synced, or could not be written.
    pub(crate) fn on_persisted(
        &mut self,
        now: Time,
        result: Result<(), StorageFailure>,
        commands: &mut Vec<Command>,
    ) {
        let mut effects = Vec::new();
        self.replica.on_persisted(result.is_ok(), &mut effects);
        if let Err(StorageFailure(cause)) = result {
            // Whether the record is on disk is not known until the file is read again; nobody is notified of its entries.
            self.fail(cause, commands);
        }
        self.carry_out(now, effects, commands);
    }

    /// Starts to lead: the members of the roster may hold sessions.
    pub(crate) fn begin_leadership(&mut self, now: Time) {
        let log = self.replica.log();
        let members = log
            .into_iter()
            .flat_map(Log::roster)
            .map(|(member, _)| member);
        let term = self.replica.leader().map_or(0, |(term, _)| term);
        // No earlier process of this voter had an epoch in this term.
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

    /// A session for a member of the roster. Another front end is entered there first, and gets one when it asks again.
    pub(crate) fn grant_session(
        &mut self,
        now: Time,
        request: SessionRequest,
        name: String,
    ) -> Option<SessionGrant> {
        let uses_scopes = self.uses_scopes();
        let sessions = self.sessions.as_mut()?;
        let log = self.replica.log()?;
        // A program without scopes would apply the versions alone to every function.
        if uses_scopes && !request.supports_scopes {
            return None;
        }
        let member = request.from;
        if log.has_member(member) {
            // One whose removal is queued gets none: changes would not wait for it.
            if self.queue.iter().any(|queued| removes(queued, member)) {
                return None;
            }
            return sessions.grant(now, request);
        }
        if !self.queue.iter().any(|queued| adds(queued, member)) {
            self.push(LogEntry::Join {
                member,
                name,
                revision: request.revision,
            });
        }
        None
    }

    /// Whether a front end may hold a session already.
    pub(crate) fn has_session_entry(&self, member: Member) -> bool {
        self.sessions
            .as_ref()
            .is_some_and(|sessions| sessions.contains(member))
    }

    /// A front end stopped being active.
    pub(crate) fn on_departed(&mut self, member: Member) {
        if self.sessions.is_some() && self.log().is_some_and(|log| log.has_member(member)) {
            self.push(LogEntry::Leave { member });
        }
    }

    /// Queues an entry that an operator asked for.
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

    /// What the change that is being introduced waits for; none: there is no change, or it does not lead.
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

    /// Queues an entry that nobody asked for. It is dropped if there is no room: what led to it is checked again.
    fn push(&mut self, entry: LogEntry) {
        if self.storage_failure.is_none() && self.queue.len() < MAX_QUEUED_ENTRIES {
            self.queue.push_back(QueuedEntry {
                entry,
                requester: Requester::None,
            });
        }
    }

    /// Takes no entry from now on.
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

    /// Answers everything that is queued with this rejection.
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

fn removes(queued: &QueuedEntry, id: Member) -> bool {
    matches!(&queued.entry, LogEntry::Leave { member } if *member == id)
}

fn adds(queued: &QueuedEntry, id: Member) -> bool {
    matches!(&queued.entry, LogEntry::Join { member, .. } if *member == id)
}
