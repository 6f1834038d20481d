//! When subscribe requests are sent, and what they contain.

use super::subscriptions::{FullList, ScopeSubscriptions};
use super::{SubscribeRequest, MAX_SCOPES_PER_REQUEST};
use crate::lease::Time;
use crate::revision::Revision;
use crate::scope::scope_number;
use std::collections::BTreeSet;

/// The time without calls after which a pending scope is dropped.
const PENDING_TIMEOUT: Time = 10_000_000;
/// The time after which unacknowledged subscriptions are sent again; it doubles while requests remain unanswered.
const RETRY_INTERVAL: Time = 100_000;
/// The minimum time between two requests.
pub(super) const MIN_REQUEST_INTERVAL: Time = 10_000;
/// The number of unanswered requests after which the retry interval doubles.
const REQUESTS_PER_DOUBLING: u32 = 5;
/// The largest number of times that the retry interval doubles.
const MAX_DOUBLINGS: u32 = 5;
/// The time between two searches for idle scopes.
pub(super) const SWEEP_INTERVAL: Time = 10_000_000;

impl ScopeSubscriptions {
    /// Unsubscribes from idle scopes, and returns a request if one is due. `revision` is the revision that the front
    /// end acts on. `session` tells whether its session is live; without one, nothing is requested.
    pub fn tick(
        &mut self,
        now: Time,
        revision: Revision,
        session: bool,
    ) -> Option<SubscribeRequest> {
        if now >= self.next_sweep {
            self.sweep(now);
        }
        if now < self.next_request {
            return None;
        }
        if self.is_synchronized() {
            self.next_request = Time::MAX;
            return None;
        }
        let doublings = (self.unanswered / REQUESTS_PER_DOUBLING).min(MAX_DOUBLINGS);
        let retry_after = RETRY_INTERVAL << doublings;
        self.next_request = now + retry_after;
        session.then(|| self.request(now, revision, retry_after))
    }

    /// When [`ScopeSubscriptions::tick`] has to be called next.
    pub fn next_deadline(&self) -> Time {
        self.next_request.min(self.next_sweep)
    }

    /// Schedules the next request for as soon as the minimum interval allows.
    pub(super) fn schedule_request(&mut self, now: Time) {
        let earliest = now.max(self.last_request + MIN_REQUEST_INTERVAL);
        self.next_request = self.next_request.min(earliest);
    }

    /// Unsubscribes from scopes without recent calls.
    fn sweep(&mut self, now: Time) {
        self.next_sweep = now + SWEEP_INTERVAL;
        let idle_timeout = self.limits.idle_timeout;
        let idle = self
            .active
            .iter()
            .filter(|(_, scope)| now.saturating_sub(scope.last_call) >= idle_timeout)
            .map(|(name, _)| name);
        let uncalled = self
            .pending
            .iter()
            .filter(|(_, scope)| now.saturating_sub(scope.last_call) >= PENDING_TIMEOUT)
            .map(|(name, _)| name);
        let expired: BTreeSet<String> = idle.chain(uncalled).cloned().collect();
        self.unsubscribe_all(&expired);
        if !expired.is_empty() {
            self.schedule_request(now);
        }
    }

    /// Whether the leader knows all subscriptions and no scope is pending.
    fn is_synchronized(&self) -> bool {
        self.full_list == FullList::Acknowledged
            && self.pending.is_empty()
            && self.unsubscribed.is_empty()
    }

    fn request(&mut self, now: Time, revision: Revision, retry_after: Time) -> SubscribeRequest {
        self.seq += 1;
        self.last_request = now;
        self.unanswered = self.unanswered.saturating_add(1);
        // Listed before the scopes of this request count as requested.
        let full_list = self.list_subscriptions();
        let scopes = self.take_due_scopes(now, retry_after);
        SubscribeRequest {
            from: self.member,
            epoch: self.epoch,
            seq: self.seq,
            revision,
            scopes,
            unsubscribed: self.list_unsubscribed(),
            full_list,
        }
    }

    /// The numbers of all scopes that the front end may act on, unless the leader knows them: the active scopes, and
    /// the pending ones that an earlier request contained.
    fn list_subscriptions(&mut self) -> Option<Vec<u64>> {
        match self.full_list {
            FullList::Acknowledged => return None,
            FullList::SentSince(_) => {}
            FullList::Due => self.full_list = FullList::SentSince(self.seq),
        }
        let requested = self
            .pending
            .iter()
            .filter(|(_, scope)| scope.first_request.is_some())
            .map(|(name, _)| name);
        let numbers: BTreeSet<u64> = self
            .active
            .keys()
            .chain(requested)
            .map(|name| scope_number(name))
            .collect();
        Some(numbers.into_iter().collect())
    }

    /// The pending scopes that are due to be requested, those that have waited longest first. If there are more than
    /// one request may contain, another request is scheduled.
    fn take_due_scopes(&mut self, now: Time, retry_after: Time) -> Vec<String> {
        let mut due: Vec<(Time, &String)> = self
            .pending
            .iter()
            .filter(|(_, scope)| scope.sent_at.saturating_add(retry_after) <= now)
            .map(|(name, scope)| (scope.sent_at, name))
            .collect();
        due.sort_unstable();
        let more = due.len() > MAX_SCOPES_PER_REQUEST;
        due.truncate(MAX_SCOPES_PER_REQUEST);
        let scopes: Vec<String> = due.into_iter().map(|(_, name)| name.clone()).collect();
        for name in &scopes {
            if let Some(pending) = self.pending.get_mut(name) {
                pending.sent_at = now;
                pending.first_request.get_or_insert(self.seq);
            }
        }
        if more {
            self.schedule_request(now);
        }
        scopes
    }

    /// The numbers of the scopes to unsubscribe from, until the leader has acknowledged that.
    fn list_unsubscribed(&mut self) -> Vec<u64> {
        for first_request in self.unsubscribed.values_mut() {
            first_request.get_or_insert(self.seq);
        }
        self.unsubscribed.keys().copied().collect()
    }
}
