//! The subscriptions of one front end, and the admission of calls based on them.

use super::requests::{MIN_REQUEST_INTERVAL, SWEEP_INTERVAL};
use super::{
    Admission, RejectReason, ResyncEpoch, SubscriptionLimits, MAX_SUBSCRIPTIONS,
    MAX_UNSUBSCRIBES_PER_REQUEST,
};
use crate::compatibility::Schema;
use crate::lease::{Member, Time};
use crate::revision::Revision;
use crate::scope::{scope_number, EffectiveSettings, ScopeRecord, MAX_NAME_BYTES};
use std::collections::BTreeMap;

/// When there is no room for another scope, the limit of subscriptions divided by this is evicted at once.
const EVICTION_DIVISOR: usize = 32;
/// The approximate size in bytes of a scope's entry without its name and record.
const SCOPE_OVERHEAD_BYTES: usize = 64;
/// The approximate size in bytes of an entry for a scope that was unsubscribed from.
const UNSUBSCRIBED_BYTES: usize = 24;

/// A scope whose record is known.
#[derive(Clone, Debug)]
pub(super) struct ActiveScope {
    pub(super) record: ScopeRecord,
    /// The first revision at which the front end may act on the scope.
    pub(super) valid_from: Revision,
    pub(super) last_call: Time,
}

/// A scope whose record has been requested or is to be requested.
#[derive(Clone, Debug)]
pub(super) struct PendingScope {
    /// The number of the first request that contained the scope.
    pub(super) first_request: Option<u64>,
    pub(super) sent_at: Time,
    pub(super) last_call: Time,
    /// Whether a change of strict fields is in progress, for which the leader may wait for this front end.
    pub(super) conflicting: bool,
}

impl PendingScope {
    fn new(now: Time) -> PendingScope {
        PendingScope {
            first_request: None,
            sent_at: Time::MIN,
            last_call: now,
            conflicting: false,
        }
    }

    /// Makes the scope due to be requested again, as if it had never been requested.
    pub(super) fn restart(&mut self) {
        self.first_request = None;
        self.sent_at = Time::MIN;
    }
}

/// Whether the leader has the list of all subscriptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FullList {
    /// The list has to be sent.
    Due,
    /// Every request since the one with this number contains the list, and none of them has been acknowledged.
    SentSince(u64),
    /// The leader has the list.
    Acknowledged,
}

/// The subscriptions of one front end.
#[derive(Clone, Debug)]
pub struct ScopeSubscriptions {
    pub(super) limits: SubscriptionLimits,
    pub(super) member: Member,
    pub(super) has_scopes: bool,
    pub(super) epoch: ResyncEpoch,
    /// The number of the last request.
    pub(super) seq: u64,
    pub(super) full_list: FullList,
    /// The revision that the records of the active scopes are up to date with.
    pub(super) revision: Revision,
    pub(super) active: BTreeMap<String, ActiveScope>,
    pub(super) pending: BTreeMap<String, PendingScope>,
    /// For each scope number, how many active and pending scopes have it.
    scopes_by_number: BTreeMap<u64, u32>,
    /// The numbers of the scopes unsubscribed from, each with the first request that reported it.
    pub(super) unsubscribed: BTreeMap<u64, Option<u64>>,
    pub(super) last_request: Time,
    pub(super) next_request: Time,
    pub(super) next_sweep: Time,
    /// The number of requests since the last reply.
    pub(super) unanswered: u32,
    pub(super) generation: u64,
    evicted: u64,
    pub(super) conflicting_revision: Revision,
}

impl ScopeSubscriptions {
    /// Creates the subscriptions of a front end that has none yet.
    pub fn new(member: Member, limits: SubscriptionLimits, now: Time) -> ScopeSubscriptions {
        ScopeSubscriptions {
            limits: SubscriptionLimits {
                max_subscriptions: limits.max_subscriptions.clamp(1, MAX_SUBSCRIPTIONS),
                ..limits
            },
            member,
            has_scopes: false,
            epoch: ResyncEpoch::default(),
            seq: 0,
            full_list: FullList::Acknowledged,
            revision: Revision(0),
            active: BTreeMap::new(),
            pending: BTreeMap::new(),
            scopes_by_number: BTreeMap::new(),
            unsubscribed: BTreeMap::new(),
            last_request: now - MIN_REQUEST_INTERVAL,
            next_request: Time::MAX,
            next_sweep: now + SWEEP_INTERVAL,
            unanswered: 0,
            generation: 0,
            evicted: 0,
            conflicting_revision: Revision(0),
        }
    }

    /// Whether the front end knows that the fleet has scopes.
    pub fn has_scopes(&self) -> bool {
        self.has_scopes || self.epoch > ResyncEpoch::default()
    }

    /// The number of scopes whose record is known.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Whether no scope's record is known.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// The number of scopes that are being requested.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The number of scopes that were unsubscribed from to make room for others.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// A counter that increases whenever the admission of a call may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The approximate size in bytes.
    pub fn memory_bytes(&self) -> usize {
        let active = self.active.iter().map(|(name, scope)| {
            2 * name.len() + SCOPE_OVERHEAD_BYTES + scope.record.memory_bytes()
        });
        let pending = self
            .pending
            .keys()
            .map(|name| 2 * name.len() + SCOPE_OVERHEAD_BYTES);
        active.sum::<usize>()
            + pending.sum::<usize>()
            + UNSUBSCRIBED_BYTES * self.unsubscribed.len()
    }

    /// The last revision in which a change of strict fields became joint for a scope for which the leader may wait for
    /// this front end. The leader has to be informed once the front end acts on that revision.
    pub fn conflicting_revision(&self) -> Revision {
        self.conflicting_revision
    }

    /// Whether such a change is in progress.
    pub fn delays_change(&self, schema: &Schema) -> bool {
        self.pending.values().any(|scope| scope.conflicting)
            || self.active.iter().any(|(name, scope)| {
                scope.record.next().is_some() && scope.record.changes_strict_field(schema, name)
            })
    }

    /// The settings that the front end acts on for a scope, without counting as a call; `None` if it may not act on the
    /// scope. `lease` tells whether its lease is live.
    pub fn effective_settings(
        &self,
        schema: &Schema,
        scope: &str,
        lease: bool,
    ) -> Option<EffectiveSettings> {
        let active = self
            .active
            .get(scope)
            .filter(|active| active.valid_from <= self.revision)?;
        Some(if lease {
            active.record.effective(schema, scope)
        } else {
            active.record.effective_without_lease(schema, scope)
        })
    }

    /// Decides on a call of a function while the session is live. `lease` tells whether the lease is live.
    pub fn admit(&mut self, now: Time, schema: &Schema, scope: &str, lease: bool) -> Admission {
        if scope.len() > MAX_NAME_BYTES {
            return Admission::Reject(RejectReason::NameTooLong);
        }
        if let Some(active) = self.active.get_mut(scope) {
            active.last_call = now;
            return self.admit_active(schema, scope, lease);
        }
        if let Some(pending) = self.pending.get_mut(scope) {
            pending.last_call = now;
            return Admission::Wait;
        }
        if !self.make_room() {
            return Admission::Reject(RejectReason::TooManyPending);
        }
        self.subscribe(now, scope);
        Admission::Wait
    }

    fn admit_active(&self, schema: &Schema, scope: &str, lease: bool) -> Admission {
        let Some(effective) = self.effective_settings(schema, scope, lease) else {
            return Admission::Wait;
        };
        if effective.rejected {
            return Admission::Reject(RejectReason::Changing);
        }
        effective
            .fields
            .map_or(Admission::Unknown, Admission::Admit)
    }

    /// Makes room for another scope by evicting those that were called least recently. Returns false if all scopes are
    /// pending.
    fn make_room(&mut self) -> bool {
        if self.active.len() + self.pending.len() < self.limits.max_subscriptions {
            return true;
        }
        let mut oldest: Vec<(Time, String)> = self
            .active
            .iter()
            .map(|(name, scope)| (scope.last_call, name.clone()))
            .collect();
        oldest.sort_unstable();
        oldest.truncate((self.limits.max_subscriptions / EVICTION_DIVISOR).max(1));
        self.evicted += oldest.len() as u64;
        for (_, name) in &oldest {
            self.unsubscribe(name);
        }
        !oldest.is_empty()
    }

    fn subscribe(&mut self, now: Time, scope: &str) {
        self.pending
            .insert(scope.to_string(), PendingScope::new(now));
        let number = scope_number(scope);
        *self.scopes_by_number.entry(number).or_insert(0) += 1;
        self.unsubscribed.remove(&number);
        self.schedule_request(now);
    }

    /// Stops acting on a scope, which the next request reports.
    pub(super) fn unsubscribe(&mut self, scope: &str) {
        let active = self.active.remove(scope);
        let pending = self.pending.remove(scope);
        if active.is_none() && pending.is_none() {
            return;
        }
        let requested = pending.is_some_and(|pending| pending.first_request.is_some());
        let number = scope_number(scope);
        let sharing = self.scopes_by_number.get_mut(&number).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if sharing == 0 {
            self.scopes_by_number.remove(&number);
            if active.is_some() || requested {
                self.unsubscribed.insert(number, None);
            }
        }
        if self.unsubscribed.len() > MAX_UNSUBSCRIBES_PER_REQUEST {
            // The list of all remaining subscriptions is sent instead.
            self.unsubscribed.clear();
            self.full_list = FullList::Due;
        }
    }

    pub(super) fn unsubscribe_all<'a>(&mut self, scopes: impl IntoIterator<Item = &'a String>) {
        for scope in scopes {
            self.unsubscribe(scope);
        }
    }
}
