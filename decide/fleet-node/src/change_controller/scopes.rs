//! Scopes at the leader: it answers subscribe requests, queues requested changes, and advances each scope once all leases
//! and subscribers that the change waits for have reached its revision.

use super::{is_leave_of, ChangeController, CHECK_INTERVAL, JOINT_TIMEOUT};
use crate::command::{Command, FleetEvent, RequestRejection};
use std::collections::{BTreeMap, BTreeSet};
use tansy_agreement::compatibility::Schema;
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::lease_tree::LeaseNode;
use tansy_agreement::log::{EntryRejection, FleetState, Log, LogEntry, Revision};
use tansy_agreement::scope::{
    scope_number, ScopePhase, ScopeRecord, MAX_TRANSACTION_BYTES, MAX_UPDATES_PER_TRANSACTION,
};
use tansy_agreement::session::{SessionTable, SubscribeOutcome};
use tansy_agreement::subscription::{SubscribeReply, SubscribeRequest};

/// Shortest time between two entries that update scopes, and between two that advance them.
const ENTRY_INTERVAL: Time = 100_000;
/// Maximum size of the scopes in one reply.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Size that a scope without a record counts for in a reply.
const ABSENT_SCOPE_BYTES: usize = 8;
/// Maximum number of scopes, and of members, in one report.
const MAX_REPORTED: usize = 64;

/// Scopes that are changing, each with the subscribers not known to have reached its revision.
pub(super) fn blocked_scopes(
    log: &Log,
    sessions: &SessionTable,
    schema: &Schema,
) -> Vec<(String, Vec<Member>)> {
    let changing = log
        .catalog()
        .unsettled()
        .filter(|(_, scope)| scope.next().is_some())
        .take(MAX_REPORTED);
    let with_subscribers = |(name, scope): (&str, &ScopeRecord)| {
        let since = scope
            .phase
            .since()
            .filter(|_| scope.changes_strict_field(schema, name));
        let behind = since.map(|since| {
            sessions
                .subscribers_behind(scope_number(name), since)
                .collect()
        });
        (name.to_string(), behind.unwrap_or_default())
    };
    changing.map(with_subscribers).collect()
}

/// The next phase of each open scope that is due for one.
#[derive(Default)]
struct ScopeProgress {
    in_force: Vec<(String, Revision)>,
    settled: Vec<(String, Revision)>,
    reverted: Vec<(String, Revision)>,
    /// Subscribers that the reverted changes waited for.
    behind: BTreeSet<Member>,
    /// Size of the scopes that come into force or are reverted.
    bytes: usize,
}

impl ScopeProgress {
    /// Whether no further joint scope fits into an entry.
    fn is_full(&self) -> bool {
        self.bytes > MAX_TRANSACTION_BYTES
            || self.in_force.len() + self.reverted.len() >= MAX_UPDATES_PER_TRANSACTION
    }
}

impl ChangeController {
    /// Whether the fleet uses scopes or an entry that creates the first ones is queued. From then on, only front ends that
    /// support scopes may be active.
    pub(super) fn uses_scopes(&self) -> bool {
        self.log()
            .is_some_and(|log| log.catalog().scopes_since().is_some())
            || self.is_queued(|entry| matches!(entry, LogEntry::UpdateScopes { .. }))
    }

    /// Records the subscriptions that a front end reports and returns the reply, if any.
    pub(crate) fn on_subscribe(&mut self, request: &SubscribeRequest) -> Option<SubscribeReply> {
        let member = request.from;
        if self.queue.iter().any(|queued| is_leave_of(queued, member)) {
            return None;
        }
        let log = self.replica.log()?;
        let revision = log.state().revision;
        match self.sessions.as_mut()?.on_subscribe(request) {
            SubscribeOutcome::UnknownMember | SubscribeOutcome::Stale => None,
            SubscribeOutcome::ResyncRequired(epoch) => Some(SubscribeReply {
                to: member,
                epoch,
                seq: None,
                revision,
                scopes: Vec::new(),
            }),
            SubscribeOutcome::Accepted => Some(SubscribeReply {
                to: member,
                epoch: request.epoch,
                seq: Some(request.seq),
                revision,
                scopes: requested_scopes(log, request),
            }),
        }
    }

    /// A request to a member for the list of its subscriptions, if the fleet uses scopes and the list is not known.
    pub(crate) fn resync_request(&self, member: Member) -> Option<SubscribeReply> {
        let log = self
            .log()
            .filter(|log| log.catalog().scopes_since().is_some())?;
        let epoch = self.sessions.as_ref()?.awaiting_resync(member)?;
        Some(SubscribeReply {
            to: member,
            epoch,
            seq: None,
            revision: log.state().revision,
            scopes: Vec::new(),
        })
    }

    /// Queues requested scope changes and the next phases of open scopes, if they are due.
    pub(super) fn advance_scope_changes(
        &mut self,
        now: Time,
        lease_node: &LeaseNode<FleetState>,
        schema: &Schema,
        commands: &mut Vec<Command>,
    ) {
        if self.storage_failure.is_some() {
            return;
        }
        let is_updating = self.is_queued(|entry| matches!(entry, LogEntry::UpdateScopes { .. }));
        let is_advancing = self.is_queued(|entry| {
            matches!(
                entry,
                LogEntry::AdvanceScopes { .. } | LogEntry::RevertScopes { .. }
            )
        });
        if !is_updating && now >= self.changes.next_update && !self.changes.is_empty() {
            self.queue_scope_updates(now, commands);
        }
        if !is_advancing && now >= self.changes.next_check {
            self.changes.next_check = now + CHECK_INTERVAL;
            if let Some(progress) = self.scope_progress(now, lease_node, schema) {
                self.queue_scope_progress(now, progress, commands);
            }
        }
    }

    fn is_queued(&self, matches: impl Fn(&LogEntry) -> bool) -> bool {
        self.queue.iter().any(|queued| matches(&queued.entry))
    }

    /// Queues one entry that merges pending requests.
    fn queue_scope_updates(&mut self, now: Time, commands: &mut Vec<Command>) {
        let (Some(log), Some(sessions)) = (self.replica.log(), &self.sessions) else {
            return;
        };
        // Changes do not wait for members without support for scopes, so all members have to support them before the first
        // scope is created.
        if log.catalog().scopes_since().is_none() {
            if self.is_queued(|entry| matches!(entry, LogEntry::Join { .. })) {
                // It is not known yet whether the joining member supports scopes.
                return;
            }
            if let Some(member) = sessions.without_scope_support() {
                let name = member_name(log, member);
                let rejection = EntryRejection::UnsupportedByMember { name };
                self.changes
                    .reject_all(&RequestRejection::Log(rejection), commands);
                return;
            }
        }
        if let Some(queued) = self.changes.merge(log, commands) {
            self.changes.next_update = now + ENTRY_INTERVAL;
            self.queue.push_back(queued);
        }
    }

    /// Collects the open scopes that are due for their next phase.
    fn scope_progress(
        &mut self,
        now: Time,
        lease_node: &LeaseNode<FleetState>,
        schema: &Schema,
    ) -> Option<ScopeProgress> {
        let log = self.replica.log()?;
        let sessions = self.sessions.as_ref()?;
        let mut progress = ScopeProgress::default();
        // Whether all live leases have reached a revision; many scopes share a revision.
        let mut reached_by_leases: BTreeMap<Revision, bool> = BTreeMap::new();
        for (name, scope) in log.catalog().unsettled() {
            let Some(since) = scope.phase.since() else {
                continue;
            };
            let is_reached = *reached_by_leases
                .entry(since)
                .or_insert_with(|| lease_node.all_have_reached(now, since));
            if !matches!(scope.phase, ScopePhase::Joint { .. }) {
                if is_reached && progress.settled.len() < MAX_UPDATES_PER_TRANSACTION {
                    progress.settled.push((name.to_string(), since));
                }
                continue;
            }
            let first_seen = *self.changes.joint_since.entry(since).or_insert(now);
            if progress.is_full() {
                continue;
            }
            let subscribers_behind = || sessions.subscribers_behind(scope_number(name), since);
            // The subscribers are checked first, because most changes wait for none.
            let waits_for_subscribers = || {
                subscribers_behind().next().is_some() && scope.changes_strict_field(schema, name)
            };
            if is_reached && !waits_for_subscribers() {
                progress.in_force.push((name.to_string(), since));
            } else if now - first_seen >= JOINT_TIMEOUT {
                if progress.behind.len() < MAX_REPORTED {
                    progress
                        .behind
                        .extend(subscribers_behind().take(MAX_REPORTED));
                }
                progress.reverted.push((name.to_string(), since));
            } else {
                continue;
            }
            progress.bytes += name.len() + scope.memory_bytes();
        }
        self.changes
            .joint_since
            .retain(|since, _| reached_by_leases.contains_key(since));
        Some(progress)
    }

    /// Queues the entries that move scopes to their next phase.
    fn queue_scope_progress(
        &mut self,
        now: Time,
        progress: ScopeProgress,
        commands: &mut Vec<Command>,
    ) {
        if !progress.reverted.is_empty() {
            let names = progress.reverted.iter().map(|(name, _)| name.clone());
            commands.push(Command::Notify(FleetEvent::ScopeChangesAbandoned {
                scopes: names.take(MAX_REPORTED).collect(),
                behind: progress.behind.into_iter().take(MAX_REPORTED).collect(),
            }));
            self.push(LogEntry::RevertScopes {
                scopes: progress.reverted,
            });
        }
        if !progress.in_force.is_empty() || !progress.settled.is_empty() {
            self.push(LogEntry::AdvanceScopes {
                in_force: progress.in_force,
                settled: progress.settled,
            });
            self.changes.next_check = now + ENTRY_INTERVAL;
        }
    }
}

/// The requested scopes with their records, as many as fit into a reply. The front end requests the others again.
fn requested_scopes(log: &Log, request: &SubscribeRequest) -> Vec<(String, Option<ScopeRecord>)> {
    let mut bytes = 0;
    request
        .scopes
        .iter()
        .map(|name| (name.clone(), log.catalog().get(name).cloned()))
        .take_while(|(name, scope)| {
            let scope_bytes = scope
                .as_ref()
                .map_or(ABSENT_SCOPE_BYTES, |scope| scope.memory_bytes());
            bytes += name.len() + scope_bytes;
            bytes <= MAX_REPLY_BYTES
        })
        .collect()
}

fn member_name(log: &Log, member: Member) -> String {
    log.roster()
        .find(|(listed, _)| *listed == member)
        .map_or(String::new(), |(_, name)| name.into())
}
