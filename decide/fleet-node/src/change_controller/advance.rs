//! Periodic work of a leader: it removes members with expired sessions, advances the version that is being introduced,
//! and proposes queued entries.

use super::{is_leave_of, ChangeController, CHECK_INTERVAL, JOINT_TIMEOUT};
use crate::command::{Command, FleetEvent, RequestRejection};
use crate::queued_entry::QueuedEntry;
use tansy_agreement::compatibility::Schema;
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::lease_tree::LeaseNode;
use tansy_agreement::log::{ApplyOutcome, ChangePhase, FleetState, Log, LogEntry, Revision};

impl ChangeController {
    /// Queues the entries that are due and proposes what can be proposed. Does nothing unless this voter leads.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        lease_node: &LeaseNode<FleetState>,
        schema: &Schema,
        commands: &mut Vec<Command>,
    ) {
        if self.sessions.is_none() {
            return;
        }
        self.remove_expired_members(now);
        if self.replica.log().is_none() {
            return;
        }
        self.advance_version(now, lease_node, schema, commands);
        self.advance_voter_replacement(now, commands);
        self.advance_scope_changes(now, lease_node, schema, commands);
        self.propose_queued(now, commands);
    }

    fn remove_expired_members(&mut self, now: Time) {
        let Some(sessions) = self.sessions.as_ref().filter(|_| now >= self.next_check) else {
            return;
        };
        self.next_check = now + CHECK_INTERVAL;
        let is_queued =
            |member: &Member| self.queue.iter().any(|queued| is_leave_of(queued, *member));
        let expired: Vec<Member> = sessions
            .expired(now)
            .filter(|member| !is_queued(member))
            .collect();
        for member in expired {
            self.push(LogEntry::Leave { member });
        }
    }

    /// Queues the next phase of the version that is being introduced, or its end if it has been joint for too long.
    fn advance_version(
        &mut self,
        now: Time,
        lease_node: &LeaseNode<FleetState>,
        schema: &Schema,
        commands: &mut Vec<Command>,
    ) {
        let (Some(log), Some(sessions)) = (self.replica.log(), &self.sessions) else {
            return;
        };
        let state = log.state();
        let revision = state.versions_revision;
        let is_joint = matches!(state.next, Some((_, ChangePhase::Joint)));
        self.joint_since = match self.joint_since {
            Some(since) if is_joint && since.0 == revision => Some(since),
            _ => is_joint.then_some((revision, now)),
        };
        let is_idle = self.queue.is_empty() && self.storage_failure.is_none();
        if !is_idle || !log.has_version_change() {
            return;
        }
        if self.can_advance_version(now, log, lease_node, schema) {
            self.push(LogEntry::Advance { from: revision });
        } else if self.has_joint_timed_out(now, revision) {
            let version = state.latest();
            commands.push(Command::Notify(FleetEvent::ChangeAbandoned {
                version: version.0,
                behind: sessions.members_behind(revision).collect(),
            }));
            self.push(LogEntry::Abandon { version });
        }
    }

    fn has_joint_timed_out(&self, now: Time, revision: Revision) -> bool {
        self.joint_since
            .is_some_and(|(since, seen)| since == revision && now - seen >= JOINT_TIMEOUT)
    }

    /// Whether all front ends that the next phase has to wait for have reached the current one.
    fn can_advance_version(
        &self,
        now: Time,
        log: &Log,
        lease_node: &LeaseNode<FleetState>,
        schema: &Schema,
    ) -> bool {
        let revision = log.state().versions_revision;
        let have_sessions_reached = || {
            self.sessions
                .as_ref()
                .is_some_and(|sessions| sessions.all_at_least(revision))
        };
        lease_node.all_have_reached(now, revision)
            && (!log.changes_strict_field(schema) || have_sessions_reached())
    }

    /// Proposes queued entries. Joins and leaves are proposed without waiting for each other, so that 300 front ends that
    /// start together join together. Any other entry is validated against a log to which all earlier entries are applied.
    fn propose_queued(&mut self, now: Time, commands: &mut Vec<Command>) {
        loop {
            let position = self.proposals.len();
            let (Some(queued), Some(log)) = (self.queue.get(position), self.replica.log()) else {
                return;
            };
            let can_overlap =
                changes_roster(queued) && self.queue.iter().take(position).all(changes_roster);
            if position > 0 && !can_overlap {
                return;
            }
            // Duplicates and invalid entries are answered without a proposal.
            let outcome = match log.validate(&queued.entry) {
                Ok(Some(version)) => Ok(ApplyOutcome::Duplicate(version)),
                Err(rejection) => Err(RequestRejection::Log(rejection)),
                Ok(None) => {
                    let entry = queued.entry.clone();
                    let mut effects = Vec::new();
                    let Some(number) = self.replica.propose(entry, &mut effects) else {
                        return;
                    };
                    self.proposals.push_back(number);
                    self.carry_out(now, effects, commands);
                    continue;
                }
            };
            if let Some(queued) = self.queue.remove(position) {
                queued.requester.respond(outcome, commands);
            }
        }
    }
}

fn changes_roster(queued: &QueuedEntry) -> bool {
    matches!(queued.entry, LogEntry::Join { .. } | LogEntry::Leave { .. })
}
