//! Random histories of a leader and three members. Guards against a member that acts on another strict field of a scope
//! than the one in force.

use super::support::{self, is_detected, join, member, restarted, run_without_violation};
use super::{effective_field, fields, new_log, reply_to, schema, transaction, update, SESSION};
use tansy_agreement::compatibility::Schema;
use tansy_agreement::lease::{
    LeaseGrant, LeaseGranter, LeaseHolder, LeaseRequest, LeaseTiming, Member,
};
use tansy_agreement::log::{FleetState, Log, LogEntry, Revision};
use tansy_agreement::scope::{scope_number, StateDelta};
use tansy_agreement::session::{Session, SessionGrant, SessionRequest, SessionTable};
use tansy_agreement::subscription::{
    ResyncEpoch, ScopeSubscriptions, SubscribeReply, SubscribeRequest, SubscriptionLimits,
};

const LEASE: LeaseTiming = LeaseTiming {
    span: 600_000,
    drift_ppm: 1_000,
};
/// Fewer subscriptions than there are scopes, so that scopes are evicted again and again.
const LIMITS: SubscriptionLimits = SubscriptionLimits {
    max_subscriptions: 2,
    idle_timeout: 2_000_000,
};
const SCOPES: [&str; 3] = ["a", "b", "c"];
const MEMBERS: usize = 3;
/// The number of messages in transit beyond which another one is lost with each delivery.
const MAX_MESSAGES: usize = 40;

/// An injected defect.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Defect {
    None,
    /// A leader that starts assumes that the members of its roster have no subscriptions.
    LeaderForgets,
    /// A member handles a reply of an earlier revision as one of its own revision.
    StaleReply,
    /// The leader accepts requests in any order.
    AnyOrder,
    /// Changes don't wait for subscribers.
    SubscribersIgnored,
}

/// A message in transit, with the index of its sender or receiver.
enum Message {
    LeaseRequest(usize, LeaseRequest),
    LeaseGrant(usize, LeaseGrant<FleetState, StateDelta>),
    SessionRequest(usize, SessionRequest),
    SessionGrant(usize, SessionGrant),
    SubscribeRequest(usize, SubscribeRequest),
    SubscribeReply(usize, SubscribeReply),
}

struct FrontEnd {
    member: Member,
    lease: LeaseHolder<FleetState>,
    session: Session,
    subscriptions: ScopeSubscriptions,
    /// The last revision that was reported with a session request.
    reported: Revision,
}

impl FrontEnd {
    fn new(member: Member, now: i64) -> FrontEnd {
        FrontEnd {
            member,
            lease: LeaseHolder::new(LEASE, member),
            session: Session::new(SESSION, member),
            subscriptions: ScopeSubscriptions::new(member, LIMITS, now),
            reported: Revision(0),
        }
    }

    fn request_session(&mut self, now: i64) -> SessionRequest {
        self.reported = self.lease.revision();
        self.session.request(now, self.reported)
    }
}

struct ScopeHistory {
    rng: fastrand::Rng,
    defect: Defect,
    schema: Schema,
    now: i64,
    log: Log,
    table: SessionTable,
    granter: LeaseGranter,
    front_ends: Vec<FrontEnd>,
    messages: Vec<Message>,
    /// The largest number of a subscribe request that has arrived, by member.
    last_seq: [u64; MEMBERS],
    last_transaction: u64,
    strict_changes: u64,
}

impl support::History for ScopeHistory {
    type Defect = Defect;
    const STEPS: usize = 900;

    fn new(seed: u64, defect: Defect) -> ScopeHistory {
        let epoch = ResyncEpoch::default().next();
        ScopeHistory {
            rng: fastrand::Rng::with_seed(seed),
            defect,
            schema: schema(),
            now: 0,
            log: new_log(),
            table: SessionTable::with_epoch(SESSION, [], 0, epoch),
            granter: LeaseGranter::new(LEASE, 8, None),
            front_ends: (0..MEMBERS as u64)
                .map(|id| FrontEnd::new(member(id), 0))
                .collect(),
            messages: Vec::new(),
            last_seq: [0; MEMBERS],
            last_transaction: 0,
            strict_changes: 0,
        }
    }

    fn step(&mut self) {
        self.now += self.rng.i64(0..60_000);
        let index = self.rng.usize(0..MEMBERS);
        match self.rng.u32(0..40) {
            0..=5 => {
                let request = self.front_ends[index].lease.request(self.now, None);
                self.messages.push(Message::LeaseRequest(index, request));
            }
            6..=7 => self.request_session(index),
            8..=11 => self.call(index),
            12..=16 => self.tick(index),
            17 if self.rng.u32(0..6) == 0 => self.restart_member(index),
            18 if self.rng.u32(0..4) == 0 => self.restart_leader(),
            19 => self.remove_expired_members(),
            20..=22 => self.update_scope(),
            23..=25 => self.advance_scopes(),
            _ if !self.messages.is_empty() => self.deliver(),
            _ => {}
        }
    }

    /// A member with a session acts on the class in force and on no more lanes than are in force.
    fn check(&self) -> Result<(), String> {
        let with_session = |f: &&FrontEnd| f.session.remaining(self.now) > 0;
        for front_end in self.front_ends.iter().filter(with_session) {
            let lease = front_end.lease.remaining(self.now) > 0;
            for scope in SCOPES {
                let effective = front_end
                    .subscriptions
                    .effective_settings(&self.schema, scope, lease)
                    .filter(|effective| !effective.rejected);
                let Some(effective) = effective else { continue };
                let agreed = self.log.catalog().get(scope).cloned().unwrap_or_default();
                let used = |name| effective_field(&effective.fields, name);
                let in_force = |name| effective_field(&agreed.fields, name);
                if used("class") != in_force("class") || used("lanes") > in_force("lanes") {
                    let (member, revision) = (front_end.member, front_end.lease.revision());
                    return Err(format!(
                        "{member:?} at {revision:?} acts on {scope} as {effective:?}, but {agreed:?} is in force"
                    ));
                }
            }
        }
        Ok(())
    }

    fn strict_changes(&self) -> u64 {
        self.strict_changes
    }
}

impl ScopeHistory {
    fn request_session(&mut self, index: usize) {
        let request = self.front_ends[index].request_session(self.now);
        self.messages.push(Message::SessionRequest(index, request));
    }

    fn call(&mut self, index: usize) {
        let front_end = &mut self.front_ends[index];
        if front_end.session.remaining(self.now) > 0 {
            let lease = front_end.lease.remaining(self.now) > 0;
            let scope = SCOPES[self.rng.usize(0..SCOPES.len())];
            front_end
                .subscriptions
                .admit(self.now, &self.schema, scope, lease);
        }
    }

    fn tick(&mut self, index: usize) {
        let front_end = &self.front_ends[index];
        if front_end.subscriptions.conflicting_revision() > front_end.reported {
            self.request_session(index);
        }
        let front_end = &mut self.front_ends[index];
        let revision = front_end.lease.revision();
        let session = front_end.session.remaining(self.now) > 0;
        let request = front_end.subscriptions.tick(self.now, revision, session);
        let message = request.map(|request| Message::SubscribeRequest(index, request));
        self.messages.extend(message);
    }

    /// A member crashes and restarts as a later process.
    fn restart_member(&mut self, index: usize) {
        let former = self.front_ends[index].member;
        self.front_ends[index] = FrontEnd::new(restarted(former), self.now);
        self.last_seq[index] = 0;
    }

    /// Another leader takes over, or the same one restarts.
    fn restart_leader(&mut self) {
        let epoch = self.table.epoch().next();
        let roster: Vec<Member> = self.log.roster().map(|(member, _)| member).collect();
        self.table = SessionTable::with_epoch(SESSION, roster.iter().copied(), self.now, epoch);
        self.granter = LeaseGranter::new(LEASE, 8, Some(self.now));
        if self.defect != Defect::LeaderForgets {
            return;
        }
        for from in roster {
            self.table.on_subscribe(&SubscribeRequest {
                from,
                epoch,
                seq: 1,
                revision: Revision(0),
                scopes: Vec::new(),
                unsubscribed: Vec::new(),
                full_list: Some(Vec::new()),
            });
        }
    }

    fn remove_expired_members(&mut self) {
        for member in self.table.expired(self.now).collect::<Vec<_>>() {
            let leave = LogEntry::Leave { member };
            self.log.apply(leave).expect("a member may leave");
            self.table.remove(member);
        }
    }

    fn update_scope(&mut self) {
        self.last_transaction += 1;
        let scope = SCOPES[self.rng.usize(0..SCOPES.len())];
        let base = self.log.catalog().get(scope).map_or(0, |r| r.revision.0);
        let new = (self.rng.u32(0..6) > 0).then(|| fields(self.rng.i64(0..3), self.rng.i64(1..5)));
        let updates = vec![update(scope, base, new)];
        // The update may be rejected, for example while another change of the scope is in progress.
        let _ = self.log.apply(LogEntry::UpdateScopes {
            transactions: vec![transaction(self.last_transaction, updates)],
        });
    }

    /// Advances the changes that may proceed, and reverts some of the others.
    fn advance_scopes(&mut self) {
        let mut in_force = Vec::new();
        let mut settled = Vec::new();
        let mut reverted = Vec::new();
        for (name, record) in self.log.catalog().unsettled() {
            let Some(since) = record.phase.since() else {
                continue;
            };
            let change = (name.to_string(), since);
            let strict = record.changes_strict_field(&self.schema, name);
            let reached = self.granter.all_at_least(self.now, since);
            let behind = strict
                && self.defect != Defect::SubscribersIgnored
                && self
                    .table
                    .subscribers_behind(scope_number(name), since)
                    .next()
                    .is_some();
            match record.next() {
                None if reached => settled.push(change),
                Some(_) if reached && !behind => {
                    self.strict_changes += u64::from(strict);
                    in_force.push(change);
                }
                Some(_) if self.rng.u32(0..30) == 0 => reverted.push(change),
                _ => {}
            }
        }
        // Either entry is rejected if it has nothing to change.
        let _ = self.log.apply(LogEntry::RevertScopes { scopes: reverted });
        let _ = self
            .log
            .apply(LogEntry::AdvanceScopes { in_force, settled });
    }

    /// Delivers or loses a random message.
    fn deliver(&mut self) {
        let message = self
            .messages
            .swap_remove(self.rng.usize(0..self.messages.len()));
        if self.rng.u32(0..10) > 0 {
            self.on_message(message);
        }
        if self.messages.len() > MAX_MESSAGES {
            self.messages.swap_remove(self.rng.usize(0..MAX_MESSAGES));
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::LeaseRequest(index, request) => {
                let state = self.log.state();
                let grant = self.granter.grant(self.now, &request, state, LEASE.span);
                self.messages
                    .extend(grant.map(|grant| Message::LeaseGrant(index, grant)));
            }
            Message::LeaseGrant(index, grant) => {
                let front_end = &mut self.front_ends[index];
                front_end.lease.on_grant(grant);
                if let Some(state) = front_end.lease.known_state() {
                    front_end
                        .subscriptions
                        .on_state(self.now, state, &self.schema);
                }
            }
            Message::SessionRequest(index, request) => self.on_session_request(index, request),
            Message::SessionGrant(index, grant) => self.front_ends[index].session.on_grant(grant),
            Message::SubscribeRequest(index, request) => {
                self.on_subscribe_request(index, request);
            }
            Message::SubscribeReply(index, reply) => self.on_subscribe_reply(index, reply),
        }
    }

    fn on_session_request(&mut self, index: usize, request: SessionRequest) {
        let from = request.from;
        if !self.log.has_member(from) {
            if self.log.apply(join(from, request.revision)).is_ok() {
                self.table.on_join(self.now, from, request.revision);
            }
            return;
        }
        let grant = self.table.grant(self.now, request);
        self.messages
            .extend(grant.map(|grant| Message::SessionGrant(index, grant)));
        if self.log.catalog().scopes_since().is_none() {
            return;
        }
        if let Some(epoch) = self.table.awaiting_resync(from) {
            let resync = SubscribeReply {
                to: from,
                epoch,
                seq: None,
                revision: self.log.state().revision,
                scopes: Vec::new(),
            };
            self.messages.push(Message::SubscribeReply(index, resync));
        }
    }

    fn on_subscribe_request(&mut self, index: usize, mut request: SubscribeRequest) {
        let last_seq = &mut self.last_seq[index];
        let is_late = request.seq <= *last_seq && self.front_ends[index].member == request.from;
        if self.defect == Defect::AnyOrder && is_late {
            request.seq = *last_seq + 1;
            request.scopes = Vec::new();
            request.full_list = None;
        }
        *last_seq = (*last_seq).max(request.seq);
        let reply = reply_to(&self.log, &mut self.table, &request);
        self.messages
            .extend(reply.map(|reply| Message::SubscribeReply(index, reply)));
    }

    fn on_subscribe_reply(&mut self, index: usize, mut reply: SubscribeReply) {
        let front_end = &mut self.front_ends[index];
        if self.defect == Defect::StaleReply {
            reply.revision = reply.revision.max(front_end.lease.revision());
        }
        let state = front_end.lease.known_state();
        front_end
            .subscriptions
            .on_reply(self.now, reply, state, &self.schema);
    }
}

#[test]
fn members_act_on_the_scopes_in_force() {
    let strict_changes = run_without_violation::<ScopeHistory>(0..3_000, Defect::None);
    assert!(
        strict_changes > 5_000,
        "only {strict_changes} strict changes came in force"
    );
}

#[test]
fn each_injected_defect_is_detected() {
    for defect in [
        Defect::LeaderForgets,
        Defect::StaleReply,
        Defect::AnyOrder,
        Defect::SubscribersIgnored,
    ] {
        assert!(is_detected::<ScopeHistory>(0..3_000, defect), "{defect:?}");
    }
}
