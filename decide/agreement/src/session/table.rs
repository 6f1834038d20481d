//! The leader's table of sessions and of each member's subscriptions.

use super::{SessionGrant, SessionRequest};
use crate::lease::{LeaseTiming, Member, Time};
use crate::revision::Revision;
use crate::scope::scope_number;
use crate::subscription::{ResyncEpoch, SubscribeRequest, MAX_SUBSCRIPTIONS};
use std::collections::{BTreeMap, BTreeSet};

/// The scopes that a member may act on.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Subscriptions {
    /// The member has not declared its subscriptions and may act on any scope.
    Unknown,
    /// The member may act only on the scopes with these numbers.
    Known(BTreeSet<u64>),
}

/// A member of the roster, which may hold a session.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SessionEntry {
    /// The oldest revision that the member may act on.
    revision: Revision,
    expiry: Time,
    /// Whether the member has declared that it supports scopes.
    supports_scopes: bool,
    subscriptions: Subscriptions,
    /// The epoch in which the member's subscriptions were declared or have to be.
    epoch: ResyncEpoch,
    /// The number of the last accepted subscribe request of that epoch.
    last_seq: u64,
}

impl SessionEntry {
    fn new(revision: Revision, expiry: Time, epoch: ResyncEpoch) -> SessionEntry {
        SessionEntry {
            revision,
            expiry,
            supports_scopes: false,
            subscriptions: Subscriptions::Unknown,
            epoch,
            last_seq: 0,
        }
    }
}

/// The outcome of a [`SubscribeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscribeOutcome {
    /// The sender is not on the roster.
    UnknownMember,
    /// The sender first has to declare all of its subscriptions in this epoch.
    ResyncRequired(ResyncEpoch),
    /// A later request was accepted before, or this request exceeds the limits.
    Stale,
    /// The subscriptions are recorded.
    Accepted,
}

/// The leader's side of sessions: the members of the roster with their revisions, sessions and subscriptions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionTable {
    timing: LeaseTiming,
    entries: BTreeMap<Member, SessionEntry>,
    epoch: ResyncEpoch,
    /// All subscriptions, as pairs of the scope's number and the subscriber's [`Member::id`].
    subscribers: BTreeSet<(u64, u64)>,
    /// The [`Member::id`]s of the members that have not declared their subscriptions.
    undeclared: BTreeSet<u64>,
}

impl SessionTable {
    /// Creates the table of a leader that starts. Each member of the roster may have been granted a session just
    /// before, may act on any revision, and counts as a subscriber of all scopes.
    pub fn new(
        timing: LeaseTiming,
        roster: impl IntoIterator<Item = Member>,
        now: Time,
    ) -> SessionTable {
        SessionTable::with_epoch(timing, roster, now, ResyncEpoch::default().next())
    }

    /// Like [`SessionTable::new`], with the epoch in which members declare their subscriptions. It must be later than
    /// all epochs of earlier tables of this fleet.
    pub fn with_epoch(
        timing: LeaseTiming,
        roster: impl IntoIterator<Item = Member>,
        now: Time,
        epoch: ResyncEpoch,
    ) -> SessionTable {
        let expiry = now.saturating_add(timing.granter_span(timing.span));
        let entries: BTreeMap<Member, SessionEntry> = roster
            .into_iter()
            .map(|member| (member, SessionEntry::new(Revision(0), expiry, epoch)))
            .collect();
        let undeclared = entries.keys().map(|member| member.id).collect();
        SessionTable {
            timing,
            entries,
            epoch,
            subscribers: BTreeSet::new(),
            undeclared,
        }
    }

    /// The latest epoch that was begun.
    pub fn epoch(&self) -> ResyncEpoch {
        self.epoch
    }

    /// Grants a session to a member of the roster. Changes of strict fields have waited for the member since it joined,
    /// so it may continue at whatever revision it reports.
    pub fn grant(&mut self, now: Time, request: SessionRequest) -> Option<SessionGrant> {
        let expiry = self.expiry_of_grant(now);
        let entry = self.entries.get_mut(&request.from)?;
        entry.revision = entry.revision.max(request.revision);
        entry.expiry = entry.expiry.max(expiry);
        entry.supports_scopes |= request.supports_scopes;
        Some(SessionGrant {
            to: request.from,
            seq: request.seq,
            span: self.timing.span,
        })
    }

    fn expiry_of_grant(&self, now: Time) -> Time {
        now.saturating_add(self.timing.granter_span(self.timing.span))
    }

    /// Whether a member may hold a session.
    pub fn contains(&self, member: Member) -> bool {
        self.entries.contains_key(&member)
    }

    /// Removes a member from the table, once the log durably contains that it has left or that a later process of its
    /// name has joined.
    pub fn remove(&mut self, member: Member) {
        let Some(entry) = self.entries.remove(&member) else {
            return;
        };
        self.undeclared.remove(&member.id);
        if let Subscriptions::Known(scopes) = entry.subscriptions {
            for scope in scopes {
                self.subscribers.remove(&(scope, member.id));
            }
        }
    }

    /// Adds a member to the table, once the log durably contains that it has joined at this revision. Earlier processes
    /// of its name have ended.
    pub fn on_join(&mut self, now: Time, member: Member, revision: Revision) {
        let predecessors: Vec<Member> = self
            .entries
            .keys()
            .filter(|known| known.id == member.id)
            .copied()
            .collect();
        for predecessor in predecessors {
            self.remove(predecessor);
        }
        self.epoch = self.epoch.next();
        let entry = SessionEntry::new(revision, self.expiry_of_grant(now), self.epoch);
        self.entries.insert(member, entry);
        self.undeclared.insert(member.id);
    }

    /// Whether no member that may hold a session is behind this revision. A member whose session has expired counts
    /// until the log durably contains that it has left: otherwise a leader that restarts would not know that changes no
    /// longer waited for that member.
    pub fn all_at_least(&self, revision: Revision) -> bool {
        self.members_behind(revision).next().is_none()
    }

    /// The members that may hold a session and are not known to have reached this revision.
    pub fn members_behind(&self, revision: Revision) -> impl Iterator<Item = Member> + '_ {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.revision < revision)
            .map(|(member, _)| *member)
    }

    /// The members whose session has expired, which are to leave the roster.
    pub fn expired(&self, now: Time) -> impl Iterator<Item = Member> + '_ {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.expiry <= now)
            .map(|(member, _)| *member)
    }

    /// A member that has not declared that it supports scopes, if there is one.
    pub fn without_scope_support(&self) -> Option<Member> {
        self.entries
            .iter()
            .find(|(_, entry)| !entry.supports_scopes)
            .map(|(member, _)| *member)
    }

    /// The epoch in which a member has to declare all of its subscriptions, if it has not yet done so.
    pub fn awaiting_resync(&self, member: Member) -> Option<ResyncEpoch> {
        self.entries
            .get(&member)
            .filter(|entry| entry.subscriptions == Subscriptions::Unknown)
            .map(|entry| entry.epoch)
    }

    /// Records the subscriptions that a member declares. The reply may contain scopes only if the outcome is
    /// [`SubscribeOutcome::Accepted`].
    pub fn on_subscribe(&mut self, request: &SubscribeRequest) -> SubscribeOutcome {
        let Some(entry) = self.entries.get_mut(&request.from) else {
            return SubscribeOutcome::UnknownMember;
        };
        // The reported revision counts even if the rest of the request is not accepted.
        entry.revision = entry.revision.max(request.revision);
        if request.epoch != entry.epoch {
            return SubscribeOutcome::ResyncRequired(entry.epoch);
        }
        if request.seq <= entry.last_seq {
            return SubscribeOutcome::Stale;
        }
        let undeclared = entry.subscriptions == Subscriptions::Unknown;
        if undeclared && request.full_list.is_none() {
            return SubscribeOutcome::ResyncRequired(entry.epoch);
        }
        entry.last_seq = request.seq;
        if let Some(scopes) = &request.full_list {
            self.replace_subscriptions(request.from, scopes);
        }
        if !self.update_subscriptions(request) {
            return SubscribeOutcome::Stale;
        }
        SubscribeOutcome::Accepted
    }

    /// Replaces all subscriptions of a member.
    fn replace_subscriptions(&mut self, member: Member, scopes: &[u64]) {
        let Some(entry) = self.entries.get_mut(&member) else {
            return;
        };
        if let Subscriptions::Known(former) = &entry.subscriptions {
            for scope in former {
                self.subscribers.remove(&(*scope, member.id));
            }
        }
        entry.subscriptions = Subscriptions::Known(scopes.iter().copied().collect());
        self.subscribers
            .extend(scopes.iter().map(|scope| (*scope, member.id)));
        self.undeclared.remove(&member.id);
    }

    /// Removes and adds the subscriptions of a request. Returns false, without adding any, if there would be too many.
    fn update_subscriptions(&mut self, request: &SubscribeRequest) -> bool {
        let id = request.from.id;
        let Some(entry) = self.entries.get_mut(&request.from) else {
            return true;
        };
        let Subscriptions::Known(known) = &mut entry.subscriptions else {
            return true;
        };
        for scope in &request.unsubscribed {
            known.remove(scope);
            self.subscribers.remove(&(*scope, id));
        }
        if known.len() + request.scopes.len() > 2 * MAX_SUBSCRIPTIONS {
            return false;
        }
        for scope in request.scopes.iter().map(|name| scope_number(name)) {
            known.insert(scope);
            self.subscribers.insert((scope, id));
        }
        true
    }

    /// The members that may act on a scope with this number and are not known to have reached this revision. Members
    /// that have not declared their subscriptions are included whatever their revision, since they may not know yet
    /// that there are scopes.
    pub fn subscribers_behind(
        &self,
        scope: u64,
        revision: Revision,
    ) -> impl Iterator<Item = Member> + '_ {
        let undeclared = self.undeclared.iter().filter_map(|id| self.entry_of(*id));
        let subscribers = self
            .subscribers
            .range((scope, 0)..=(scope, u64::MAX))
            .filter_map(|(_, id)| self.entry_of(*id))
            .filter(move |(_, entry)| entry.revision < revision);
        undeclared.chain(subscribers).map(|(member, _)| *member)
    }

    /// The entry of the member with this [`Member::id`].
    fn entry_of(&self, id: u64) -> Option<(&Member, &SessionEntry)> {
        let incarnation = |incarnation| Member { id, incarnation };
        self.entries
            .range(incarnation(0)..=incarnation(u64::MAX))
            .next()
    }

    /// The number of recorded subscriptions.
    pub fn subscription_count(&self) -> usize {
        self.subscribers.len()
    }
}
