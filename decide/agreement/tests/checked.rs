//! The change of versions under leases, checked over all orders of what can happen within bounds: a seat and three front
//! ends, two changes, a crash of the seat and one of a front end, messages that are late for as long as one likes or never
//! come, and processes that stand still between any two of their acts.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use tansy_agreement::lease::{
    LeaseGrant, LeaseGranter, LeaseHolder, LeaseRequest, LeaseTiming, Member,
};
use tansy_agreement::log::Revision;

const TERMS: LeaseTiming = LeaseTiming {
    span: 2,
    drift_ppm: 0,
};
const FRONTS: usize = 3;
/// Asks that a front end may send, and all together.
const ASKS: u8 = 2;
const ALL_ASKS: u8 = 3;
/// Two changes of three steps each.
const LAST: Revision = Revision(7);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    None,
    CountedFromAnswer,
    NoJoint,
    NoWait,
    NotReached,
}

struct Fleet {
    plant: Plant,
    /// Time ends here.
    end: i64,
    /// The seat's own right is short whenever it answers, and is renewed at any time after.
    renews: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    holder: LeaseHolder<Revision>,
    incarnation: u64,
    asks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    step: Revision,
    granter: LeaseGranter,
    fronts: Vec<Front>,
    asked: u8,
    renewed: bool,
    asks: BTreeSet<LeaseRequest>,
    grants: BTreeSet<LeaseGrant<Revision>>,
    seat_may_crash: bool,
    front_may_crash: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Time,
    Ask(usize),
    Answer(LeaseRequest),
    Renew,
    Take(LeaseGrant<Revision>),
    Advance,
    CrashSeat,
    CrashFront(usize),
}

fn front(id: usize, incarnation: u64) -> Front {
    let me = Member {
        id: id as u64 + 1,
        incarnation,
    };
    Front {
        holder: LeaseHolder::new(TERMS, me),
        incarnation,
        asks: 0,
    }
}

/// The version that a step acts on alone; none while two may be about.
fn alone(step: Revision) -> Option<u64> {
    match step.0 {
        3 | 6 => None,
        1 | 2 => Some(1),
        4 | 5 => Some(2),
        _ => Some(3),
    }
}

/// Whether a step may be acted on beside another.
fn agree(a: Revision, b: Revision) -> bool {
    let about = |s: Revision| match s.0 {
        3 => vec![1, 2],
        6 => vec![2, 3],
        _ => alone(s).into_iter().collect(),
    };
    match (alone(a), alone(b)) {
        (Some(x), Some(y)) => x == y,
        (Some(x), None) => about(b).contains(&x),
        (None, Some(y)) => about(a).contains(&y),
        (None, None) => a == b,
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            now: 0,
            step: Revision(1),
            granter: LeaseGranter::new(TERMS, 8, None),
            fronts: (0..FRONTS).map(|n| front(n, 1)).collect(),
            asked: 0,
            renewed: false,
            asks: BTreeSet::new(),
            grants: BTreeSet::new(),
            seat_may_crash: true,
            front_may_crash: true,
        }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        if w.now < self.end {
            acts.push(Act::Time);
        }
        for (n, f) in w.fronts.iter().enumerate() {
            // Front ends are alike: the one with the larger number never asks first.
            let turn = n == 0 || w.fronts[n - 1].asks > 0 || w.fronts[n - 1].incarnation > 1;
            if f.asks < ASKS && turn && w.asked < ALL_ASKS {
                acts.push(Act::Ask(n));
            }
            if w.front_may_crash && f.asks > 0 {
                acts.push(Act::CrashFront(n));
            }
        }
        acts.extend(w.asks.iter().map(|a| Act::Answer(*a)));
        if self.renews {
            acts.push(Act::Renew);
        }
        acts.extend(w.grants.iter().map(|g| Act::Take(g.clone())));
        let reached = w.granter.all_at_least(w.now, w.step) || self.plant == Plant::NotReached;
        if w.step < LAST && reached {
            acts.push(Act::Advance);
        }
        if w.seat_may_crash {
            acts.push(Act::CrashSeat);
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut w = world.clone();
        match act {
            Act::Time => w.now += 1,
            Act::Ask(n) => {
                let f = &mut w.fronts[n];
                f.asks += 1;
                w.asked += 1;
                w.asks.insert(f.holder.request(w.now, None));
            }
            Act::Answer(ask) => {
                w.asks.remove(&ask);
                let left = if self.renews {
                    TERMS.span / 2
                } else {
                    i64::MAX
                };
                w.grants.extend(w.granter.grant(w.now, &ask, &w.step, left));
            }
            Act::Renew => {
                for (to, seq, span) in w.granter.extend_live_leases(w.now, w.step, i64::MAX) {
                    w.renewed = true;
                    w.grants.insert(LeaseGrant {
                        to,
                        seq,
                        span,
                        revision: w.step,
                        state: None,
                        delta: None,
                    });
                }
            }
            Act::Take(mut grant) => {
                w.grants.remove(&grant);
                let f = &mut w.fronts[grant.to.id as usize - 1];
                if self.plant == Plant::CountedFromAnswer && f.incarnation == grant.to.incarnation {
                    grant.seq = f.holder.request(w.now, None).seq;
                }
                f.holder.on_grant(grant);
            }
            Act::Advance => {
                let skip = self.plant == Plant::NoJoint && alone(w.step.next()).is_none();
                w.step = if skip {
                    w.step.next().next()
                } else {
                    w.step.next()
                };
            }
            Act::CrashSeat => {
                w.seat_may_crash = false;
                // Its step is on its disk; whom it granted to is not.
                let waits = (self.plant != Plant::NoWait).then_some(w.now);
                w.granter = LeaseGranter::new(TERMS, 8, waits);
            }
            Act::CrashFront(n) => {
                w.front_may_crash = false;
                let incarnation = w.fronts[n].incarnation + 1;
                w.fronts[n] = front(n, incarnation);
                // What is on its way to the one before is thrown away when it comes.
                w.grants.retain(|g| g.to.id != n as u64 + 1);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two act on rules that contradict each other",
                |_, w: &World| {
                    let all = acting(w);
                    all.iter()
                        .enumerate()
                        .all(|(n, a)| all[n..].iter().all(|b| agree(*a, *b)))
                },
            ),
            Property::sometimes(
                "an ask is answered once more, if ever",
                |fleet: &Fleet, w: &World| w.renewed || !fleet.renews,
            ),
            Property::sometimes("both changes come into force", |_, w: &World| {
                w.step == LAST
            }),
            Property::sometimes("a front end acts on the last of them", |_, w: &World| {
                w.fronts
                    .iter()
                    .any(|f| f.holder.active_state(w.now) == Some(&LAST))
            }),
        ]
    }
}

/// What each would act on now, the seat among them.
fn acting(w: &World) -> Vec<Revision> {
    let fronts = w
        .fronts
        .iter()
        .filter_map(|f| f.holder.active_state(w.now).copied());
    fronts.chain([w.step]).collect()
}

fn checked(plant: Plant, end: i64) -> (usize, bool) {
    checked_with(plant, end, false)
}

fn checked_with(plant: Plant, end: i64, renews: bool) -> (usize, bool) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    let checker = Fleet { plant, end, renews }
        .checker()
        .threads(threads)
        .spawn_bfs()
        .join();
    let broken = checker.discovery("no two act on rules that contradict each other");
    if plant == Plant::None && broken.is_none() {
        checker.assert_properties();
    }
    (checker.unique_state_count(), broken.is_some())
}

#[test]
fn no_order_of_crashes_pauses_and_late_messages_lets_two_contradict_each_other() {
    let (states, broken) = checked(Plant::None, 2);
    println!("{states} states");
    assert!(!broken && states > 100_000, "{states} states");
}

#[test]
fn nor_when_a_granter_renews_what_it_granted() {
    let (states, broken) = checked_with(Plant::None, 2, true);
    println!("{states} states");
    assert!(!broken && states > 100_000, "{states} states");
}

/// The same until a lease after the last one is out as well: millions of states, for a release build.
#[test]
#[ignore = "long: half a minute on six cores, 6 GB"]
fn nor_in_a_lease_more() {
    let (states, broken) = checked(Plant::None, 3);
    println!("{states} states");
    assert!(!broken && states > 1_000_000, "{states} states");
}

#[test]
fn a_lease_counted_from_its_answer_is_found() {
    assert!(checked(Plant::CountedFromAnswer, 4).1);
    assert!(checked_with(Plant::CountedFromAnswer, 4, true).1);
}

#[test]
fn a_change_without_its_joint_step_is_found() {
    assert!(checked(Plant::NoJoint, 3).1);
}

#[test]
fn a_seat_that_does_not_wait_after_a_crash_is_found() {
    assert!(checked(Plant::NoWait, 3).1);
}

#[test]
fn a_step_before_all_have_come_as_far_is_found() {
    assert!(checked(Plant::NotReached, 3).1);
}
