//! The effect of replies, new states and lost sessions on the subscriptions.

use super::subscriptions::{ActiveScope, FullList, ScopeSubscriptions};
use super::{ResyncEpoch, SubscribeReply};
use crate::compatibility::Schema;
use crate::lease::Time;
use crate::log::FleetState;
use crate::revision::Revision;
use crate::scope::{ScopeChange, ScopeRecord};

/// The context in which the records of a reply are handled.
struct ReplyContext<'a> {
    now: Time,
    /// The number of the request that the reply answers.
    seq: u64,
    /// The revision of the records.
    revision: Revision,
    /// The state that the front end acts on.
    state: Option<&'a FleetState>,
    schema: &'a Schema,
}

impl ScopeSubscriptions {
    /// Handles a change of leader. If any leader has known this front end, all subscriptions are listed to the new one
    /// at once.
    pub fn on_new_leader(&mut self, now: Time) {
        if self.epoch > ResyncEpoch::default() {
            self.full_list = FullList::Due;
            self.unanswered = 0;
            self.schedule_request(now);
        }
    }

    /// Handles the expiry of the session, after which changes may no longer wait for this front end. It unsubscribes
    /// from all scopes, and replies to earlier requests no longer count for pending scopes. Must be called before
    /// another session is used.
    pub fn on_session_expired(&mut self, now: Time) {
        let active: Vec<String> = self.active.keys().cloned().collect();
        self.unsubscribe_all(&active);
        for pending in self.pending.values_mut() {
            pending.restart();
        }
        if !active.is_empty() || !self.pending.is_empty() {
            self.generation += 1;
            self.schedule_request(now);
        }
    }

    /// Handles a later revision of the state that the front end acts on. Must be called before that revision is
    /// acknowledged.
    pub fn on_state(&mut self, now: Time, state: &FleetState, schema: &Schema) {
        if state.revision <= self.revision {
            return;
        }
        let before = self.revision;
        let retained = state.history.retained_after();
        self.revision = state.revision;
        self.generation += 1;
        if state.scopes_since.is_some() && !self.has_scopes() {
            // No change proceeds before every member has declared that it supports scopes.
            self.has_scopes = true;
            self.full_list = FullList::Due;
            self.schedule_request(now);
        }
        if before < retained {
            self.unsubscribe_outdated(now, before, retained);
        }
        let changes = state.history.since(before.max(retained));
        for change in changes.into_iter().flatten() {
            self.on_change(change, schema);
        }
    }

    /// Unsubscribes from the scopes for which not all changes since their record are retained.
    fn unsubscribe_outdated(&mut self, now: Time, before: Revision, retained: Revision) {
        let current = self.revision;
        let outdated: Vec<String> = self
            .active
            .iter()
            .filter(|(_, scope)| {
                let as_of = scope.valid_from.max(before);
                as_of < retained && as_of < current
            })
            .map(|(name, _)| name.clone())
            .collect();
        self.unsubscribe_all(&outdated);
        if !outdated.is_empty() {
            self.schedule_request(now);
        }
    }

    fn on_change(&mut self, change: &ScopeChange, schema: &Schema) {
        let active = self
            .active
            .get_mut(&change.scope)
            .filter(|scope| change.revision > scope.valid_from);
        let pending = self.pending.get_mut(&change.scope);
        if active.is_none() && pending.is_none() {
            return;
        }
        let conflicting = change.record.changes_strict_field(schema, &change.scope);
        if let Some(active) = active {
            active.record = change.record.clone();
        }
        if let Some(pending) = pending {
            pending.conflicting = conflicting;
        }
        if conflicting {
            self.conflicting_revision = self.conflicting_revision.max(change.revision);
        }
    }

    /// Handles a reply. `state` is the state that the front end acts on.
    pub fn on_reply(
        &mut self,
        now: Time,
        reply: SubscribeReply,
        state: Option<&FleetState>,
        schema: &Schema,
    ) {
        if let Some(state) = state {
            self.on_state(now, state, schema);
        }
        if reply.to != self.member || reply.epoch < self.epoch {
            return;
        }
        if reply.epoch > self.epoch {
            self.begin_epoch(now, reply.epoch);
            return;
        }
        let Some(seq) = reply.seq.filter(|seq| *seq <= self.seq) else {
            return;
        };
        self.on_acknowledged(seq);
        let context = ReplyContext {
            now,
            seq,
            revision: reply.revision,
            state,
            schema,
        };
        for (scope, record) in reply.scopes {
            self.on_record(&context, scope, record.unwrap_or_default());
        }
    }

    /// Starts a new epoch, in which the leader knows none of the subscriptions, whatever else its reply contains.
    fn begin_epoch(&mut self, now: Time, epoch: ResyncEpoch) {
        self.epoch = epoch;
        self.full_list = FullList::Due;
        self.unanswered = 0;
        self.unsubscribed.clear();
        for pending in self.pending.values_mut() {
            pending.restart();
        }
        self.schedule_request(now);
    }

    /// Handles the leader's acceptance of the request with this number.
    fn on_acknowledged(&mut self, seq: u64) {
        self.unanswered = 0;
        self.unsubscribed
            .retain(|_, first_request| first_request.is_none_or(|first| first > seq));
        if matches!(self.full_list, FullList::SentSince(first) if first <= seq) {
            self.full_list = FullList::Acknowledged;
        }
    }

    /// Handles the record of a requested scope.
    fn on_record(&mut self, context: &ReplyContext<'_>, scope: String, record: ScopeRecord) {
        let Some(pending) = self.pending.get(&scope) else {
            return;
        };
        if pending
            .first_request
            .is_none_or(|first| first > context.seq)
        {
            return;
        }
        let last_call = pending.last_call;
        let Some((record, valid_from)) = self.current_record(context, &scope, record) else {
            if let Some(pending) = self.pending.get_mut(&scope) {
                pending.restart();
            }
            self.schedule_request(context.now);
            return;
        };
        if let Some(since) = record.phase.since() {
            if record.changes_strict_field(context.schema, &scope) {
                self.conflicting_revision = self.conflicting_revision.max(since);
            }
        }
        self.pending.remove(&scope);
        let active = ActiveScope {
            record,
            valid_from,
            last_call,
        };
        self.active.insert(scope, active);
        self.generation += 1;
    }

    /// Brings a reply's record up to date with the changes made since. Returns it with the revision that it is valid
    /// from, or `None` if not all of these changes are known.
    fn current_record(
        &self,
        context: &ReplyContext<'_>,
        scope: &str,
        record: ScopeRecord,
    ) -> Option<(ScopeRecord, Revision)> {
        if context.revision >= self.revision {
            return Some((record, context.revision));
        }
        let state = context.state.filter(|s| s.revision == self.revision)?;
        let changes = state.history.since(context.revision)?;
        let last = changes.filter(|change| change.scope == scope).last();
        let record = last.map_or(record, |change| change.record.clone());
        Some((record, self.revision))
    }
}
