//! Model check of version changes under leases: all orders of events within bounds, for a leader and three front ends,
//! two changes, a crash of the leader and of a front end, messages that are lost or delayed without limit, and
//! processes that pause between any two steps.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use tansy_agreement::lease::{
    LeaseGrant, LeaseGranter, LeaseHolder, LeaseRequest, LeaseTiming, Member,
};
use tansy_agreement::log::Revision;

const TIMING: LeaseTiming = LeaseTiming {
    span: 2,
    drift_ppm: 0,
};
const FRONT_ENDS: usize = 3;
/// The largest number of requests of one front end.
const MAX_REQUESTS: u8 = 2;
/// The largest number of requests of all front ends together.
const MAX_ALL_REQUESTS: u8 = 3;
/// Two changes take three revisions each.
const LAST_REVISION: Revision = Revision(7);

/// An injected defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    CountedFromGrant,
    NoJointPhase,
    NoWaitAfterCrash,
    NotAcknowledged,
}

struct Fleet {
    defect: Defect,
    /// The time at which the model ends.
    end: i64,
    /// Whether the leader's own lease is short whenever it grants a lease, and may be extended at any time after that.
    extends: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FrontEnd {
    holder: LeaseHolder<Revision>,
    incarnation: u64,
    requests: u8,
}

/// The state of all processes and the messages in transit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    revision: Revision,
    granter: LeaseGranter,
    front_ends: Vec<FrontEnd>,
    requested: u8,
    extended: bool,
    requests: BTreeSet<LeaseRequest>,
    grants: BTreeSet<LeaseGrant<Revision>>,
    leader_may_crash: bool,
    front_end_may_crash: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    AdvanceTime,
    Request(usize),
    Grant(LeaseRequest),
    Extend,
    OnGrant(LeaseGrant<Revision>),
    Advance,
    CrashLeader,
    CrashFrontEnd(usize),
}

fn new_front_end(id: usize, incarnation: u64) -> FrontEnd {
    let member = Member {
        id: id as u64 + 1,
        incarnation,
    };
    FrontEnd {
        holder: LeaseHolder::new(TIMING, member),
        incarnation,
        requests: 0,
    }
}

/// The version that members act on at a revision; `None` if a change is joint.
fn sole_version(revision: Revision) -> Option<u64> {
    match revision.0 {
        3 | 6 => None,
        1 | 2 => Some(1),
        4 | 5 => Some(2),
        _ => Some(3),
    }
}

/// Whether members may act on these two revisions at the same time.
fn compatible(left: Revision, right: Revision) -> bool {
    let versions = |revision: Revision| match revision.0 {
        3 => vec![1, 2],
        6 => vec![2, 3],
        _ => sole_version(revision).into_iter().collect(),
    };
    match (sole_version(left), sole_version(right)) {
        (Some(left_version), Some(right_version)) => left_version == right_version,
        (Some(left_version), None) => versions(right).contains(&left_version),
        (None, Some(right_version)) => versions(left).contains(&right_version),
        (None, None) => left == right,
    }
}

impl World {
    fn request(&mut self, index: usize) {
        let front_end = &mut self.front_ends[index];
        front_end.requests += 1;
        self.requested += 1;
        self.requests
            .insert(front_end.holder.request(self.now, None));
    }

    fn grant(&mut self, request: LeaseRequest, extends: bool) {
        self.requests.remove(&request);
        let remaining = if extends { TIMING.span / 2 } else { i64::MAX };
        let grant = self
            .granter
            .grant(self.now, &request, &self.revision, remaining);
        self.grants.extend(grant);
    }

    fn extend(&mut self) {
        let extended = self
            .granter
            .extend_live_leases(self.now, self.revision, i64::MAX);
        for (to, seq, span) in extended {
            self.extended = true;
            self.grants.insert(LeaseGrant {
                to,
                seq,
                span,
                revision: self.revision,
                state: None,
                delta: None,
            });
        }
    }

    fn on_grant(&mut self, mut grant: LeaseGrant<Revision>, defect: Defect) {
        self.grants.remove(&grant);
        let front_end = &mut self.front_ends[grant.to.id as usize - 1];
        let current = front_end.incarnation == grant.to.incarnation;
        if defect == Defect::CountedFromGrant && current {
            grant.seq = front_end.holder.request(self.now, None).seq;
        }
        front_end.holder.on_grant(grant);
    }

    fn advance(&mut self, defect: Defect) {
        let next = self.revision.next();
        let skip = defect == Defect::NoJointPhase && sole_version(next).is_none();
        self.revision = if skip { next.next() } else { next };
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            now: 0,
            revision: Revision(1),
            granter: LeaseGranter::new(TIMING, 8, None),
            front_ends: (0..FRONT_ENDS).map(|n| new_front_end(n, 1)).collect(),
            requested: 0,
            extended: false,
            requests: BTreeSet::new(),
            grants: BTreeSet::new(),
            leader_may_crash: true,
            front_end_may_crash: true,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.now < self.end {
            actions.push(Action::AdvanceTime);
        }
        for (index, front_end) in world.front_ends.iter().enumerate() {
            // Front ends are interchangeable, so the first request always comes from the one with the smallest index.
            let may_begin = index == 0
                || world.front_ends[index - 1].requests > 0
                || world.front_ends[index - 1].incarnation > 1;
            if front_end.requests < MAX_REQUESTS && may_begin && world.requested < MAX_ALL_REQUESTS
            {
                actions.push(Action::Request(index));
            }
            if world.front_end_may_crash && front_end.requests > 0 {
                actions.push(Action::CrashFrontEnd(index));
            }
        }
        actions.extend(world.requests.iter().map(|request| Action::Grant(*request)));
        if self.extends {
            actions.push(Action::Extend);
        }
        actions.extend(world.grants.iter().map(|g| Action::OnGrant(g.clone())));
        let acknowledged = world.granter.all_at_least(world.now, world.revision)
            || self.defect == Defect::NotAcknowledged;
        if world.revision < LAST_REVISION && acknowledged {
            actions.push(Action::Advance);
        }
        if world.leader_may_crash {
            actions.push(Action::CrashLeader);
        }
    }

    fn next_state(&self, before: &World, action: Action) -> Option<World> {
        let mut world = before.clone();
        match action {
            Action::AdvanceTime => world.now += 1,
            Action::Request(index) => world.request(index),
            Action::Grant(request) => world.grant(request, self.extends),
            Action::Extend => world.extend(),
            Action::OnGrant(grant) => world.on_grant(grant, self.defect),
            Action::Advance => world.advance(self.defect),
            Action::CrashLeader => {
                world.leader_may_crash = false;
                // The leader's revision is durable, the leases that it granted are not.
                let waits = self.defect != Defect::NoWaitAfterCrash;
                world.granter = LeaseGranter::new(TIMING, 8, waits.then_some(world.now));
            }
            Action::CrashFrontEnd(index) => {
                world.front_end_may_crash = false;
                let incarnation = world.front_ends[index].incarnation + 1;
                world.front_ends[index] = new_front_end(index, incarnation);
                // A grant for the previous process would be ignored on arrival.
                world.grants.retain(|g| g.to.id != index as u64 + 1);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two members act on contradictory rules",
                |_, world: &World| {
                    let all = active_revisions(world);
                    all.iter()
                        .enumerate()
                        .all(|(n, a)| all[n..].iter().all(|b| compatible(*a, *b)))
                },
            ),
            Property::sometimes(
                "a granted lease is extended",
                |fleet: &Fleet, world: &World| world.extended || !fleet.extends,
            ),
            Property::sometimes("both changes come in force", |_, world: &World| {
                world.revision == LAST_REVISION
            }),
            Property::sometimes(
                "a front end acts on the last revision",
                |_, world: &World| {
                    world
                        .front_ends
                        .iter()
                        .any(|f| f.holder.active_state(world.now) == Some(&LAST_REVISION))
                },
            ),
        ]
    }
}

/// The revisions that members act on now, including the leader.
fn active_revisions(world: &World) -> Vec<Revision> {
    let front_ends = world
        .front_ends
        .iter()
        .filter_map(|f| f.holder.active_state(world.now).copied());
    front_ends.chain([world.revision]).collect()
}

fn check(defect: Defect, end: i64) -> (usize, bool) {
    check_with(defect, end, false)
}

fn check_with(defect: Defect, end: i64, extends: bool) -> (usize, bool) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    let checker = Fleet {
        defect,
        end,
        extends,
    }
    .checker()
    .threads(threads)
    .spawn_bfs()
    .join();
    let violated = checker.discovery("no two members act on contradictory rules");
    if defect == Defect::None && violated.is_none() {
        checker.assert_properties();
    }
    (checker.unique_state_count(), violated.is_some())
}

#[test]
fn no_order_of_crashes_pauses_and_delays_causes_a_contradiction() {
    let (states, violated) = check(Defect::None, 2);
    println!("{states} states");
    assert!(!violated && states > 100_000, "{states} states");
}

#[test]
fn extending_granted_leases_causes_no_contradiction() {
    let (states, violated) = check_with(Defect::None, 2, true);
    println!("{states} states");
    assert!(!violated && states > 100_000, "{states} states");
}

/// Runs long enough for one more lease to expire, which takes millions of states.
#[test]
#[ignore = "needs a release build and several gigabytes of memory"]
fn one_more_lease_causes_no_contradiction() {
    let (states, violated) = check(Defect::None, 3);
    println!("{states} states");
    assert!(!violated && states > 1_000_000, "{states} states");
}

#[test]
fn a_lease_counted_from_its_grant_is_detected() {
    assert!(check(Defect::CountedFromGrant, 4).1);
    assert!(check_with(Defect::CountedFromGrant, 4, true).1);
}

#[test]
fn a_change_without_its_joint_phase_is_detected() {
    assert!(check(Defect::NoJointPhase, 3).1);
}

#[test]
fn a_leader_that_does_not_wait_after_a_crash_is_detected() {
    assert!(check(Defect::NoWaitAfterCrash, 3).1);
}

#[test]
fn an_advance_before_all_have_acknowledged_is_detected() {
    assert!(check(Defect::NotAcknowledged, 3).1);
}
