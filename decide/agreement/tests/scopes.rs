//! Functions that are agreed on one by one: what the log takes, what a front end holds of them, and random histories of a root
//! and three holders, in which whoever acts on another strict field than the one in force is found.

use tansy_agreement::hold::{Bounds, Call, Holding, Reply, Want, Why, DROPS, HELD, WANTS};
use tansy_agreement::lease::{Granter, Holder, Member, Stepped, Terms};
use tansy_agreement::log::{Applied, Entry, Log, Phase, Refused, State, Step, Version};
use tansy_agreement::rule::{Fields, Kind, Lapsed, Schema, Stricter, Value};
use tansy_agreement::scope::{
    number, Delta, Move, Moves, ScopeChange, ScopeRequest, Scoped, Standing, CHANGES, FIELDS,
    MOVES, NAME,
};
use tansy_agreement::stay::{self, Heard, Register, Stay};

const LEASE: Terms = Terms {
    span: 600_000,
    ppm: 1_000,
};
const STAY: Terms = Terms {
    span: 6_000_000,
    ppm: 1_000,
};
/// In histories: there is always something to let go.
const BOUNDS: Bounds = Bounds {
    held: 2,
    idle: 2_000_000,
};

fn schema() -> Schema {
    let least = Kind::Joint(Stricter::Least, Lapsed::Strictest(Value::Int(1)));
    Schema::new([
        ("functions.*.class", Kind::Strict),
        ("functions.*.lanes", least),
    ])
}

fn fields(class: i64, lanes: i64) -> Fields {
    [("class", Value::Int(class)), ("lanes", Value::Int(lanes))]
        .map(|(p, v)| (p.to_string(), v))
        .into()
}

fn change(scope: &str, base: u64, fields: Option<Fields>) -> ScopeChange {
    ScopeChange {
        scope: scope.into(),
        base: Step(base),
        fields,
    }
}

fn request(id: u64, changes: Vec<ScopeChange>) -> ScopeRequest {
    ScopeRequest {
        id,
        changes,
        why: String::new(),
    }
}

fn apply(log: &mut Log, requests: Vec<ScopeRequest>) -> Vec<(usize, Refused)> {
    match log.apply(Entry::Change { requests }) {
        Ok(Applied::Changed { refused, .. }) => refused,
        other => panic!("{other:?}"),
    }
}

/// What is open goes on to force, or back, and is settled.
fn finish(log: &mut Log, back: bool) {
    for _ in 0..2 {
        let open: Vec<(String, Step, bool)> = log
            .catalog()
            .open()
            .filter_map(|(n, s)| Some((n.to_string(), s.standing.since()?, s.next().is_some())))
            .collect();
        let (joint, over): (Vec<_>, Vec<_>) = open.into_iter().partition(|o| o.2);
        let pairs = |all: Vec<(String, Step, bool)>| {
            all.into_iter().map(|(n, s, _)| (n, s)).collect::<Vec<_>>()
        };
        if back && !joint.is_empty() {
            log.apply(Entry::Return {
                scopes: pairs(joint),
            })
            .expect("it goes back");
        } else {
            let _ = log.apply(Entry::Carry {
                force: pairs(joint),
                settled: pairs(over),
            });
        }
    }
}

fn log() -> Log {
    Log::new(
        Fields::from([("worker.may_order".to_string(), Value::Flag(true))]),
        [],
    )
}

#[test]
fn a_request_is_taken_whole_or_not_at_all() {
    let mut log = log();
    let one = request(
        1,
        vec![
            change("a", 0, Some(fields(1, 1))),
            change("b", 0, Some(fields(1, 1))),
        ],
    );
    let overlaps = request(
        2,
        vec![
            change("c", 0, Some(fields(1, 1))),
            change("a", 0, Some(fields(2, 1))),
        ],
    );
    let apart = request(3, vec![change("d", 0, Some(fields(1, 1)))]);
    let refused = apply(&mut log, vec![one.clone(), overlaps, apart]);
    assert_eq!(refused, [(1, Refused::ScopeBusy { scope: "a".into() })]);
    let names = |log: &Log| log.catalog().all().keys().cloned().collect::<String>();
    assert_eq!(
        (names(&log), log.state().step, log.state().versions_at),
        ("abd".into(), Step(2), Step(1))
    );
    finish(&mut log, false);
    let settled = Scoped {
        revision: Step(3),
        fields: Some(fields(1, 1)),
        standing: Standing::Settled,
    };
    assert!(log.catalog().all().values().all(|s| *s == settled));
    // Told twice it is one; from another revision, or naming one twice, or of no name, it is nothing.
    assert_eq!(log.judge_request(&one), Ok(Some(Step(2))));
    let judged = |changes| log.judge_request(&request(9, changes));
    let to = || Some(fields(2, 2));
    let base = |scope: &str, revision| {
        Err(Refused::ScopeBase {
            scope: scope.into(),
            revision: Step(revision),
        })
    };
    assert_eq!(judged(vec![change("a", 2, to())]), base("a", 3));
    assert_eq!(judged(vec![change("e", 3, to())]), base("e", 0));
    assert_eq!(
        judged(vec![change("a", 3, Some(fields(1, 1)))]),
        Err(Refused::Same)
    );
    assert_eq!(
        judged(vec![change("e", 0, None)]),
        Err(Refused::Same),
        "there is none to remove"
    );
    assert_eq!(
        judged(vec![change("a", 3, to()), change("a", 3, None)]),
        Err(Refused::Twice { scope: "a".into() })
    );
    assert_eq!(judged(vec![change("", 0, to())]), Err(Refused::NoName));
    for changes in [
        vec![change(&"n".repeat(NAME + 1), 0, to())],
        vec![change(
            "e",
            0,
            Some(Fields::from([(
                "class".into(),
                Value::Text("x".repeat(FIELDS)),
            )])),
        )],
        (0..=CHANGES)
            .map(|n| change(&n.to_string(), 0, to()))
            .collect(),
        (0..30)
            .map(|n| {
                change(
                    &n.to_string(),
                    0,
                    Some([("class".into(), Value::Text("x".repeat(10_000)))].into()),
                )
            })
            .collect(),
    ] {
        assert!(matches!(judged(changes), Err(Refused::TooMany { .. })));
    }
    // What is not at that step is not touched.
    let before = log.clone();
    let none = || vec![("a".to_string(), Step(2)), ("zz".to_string(), Step(2))];
    assert_eq!(
        log.apply(Entry::Carry {
            force: none(),
            settled: none()
        }),
        Err(Refused::Past)
    );
    assert_eq!(
        log.apply(Entry::Return { scopes: none() }),
        Err(Refused::Past)
    );
    assert_eq!(
        log.apply(Entry::Change {
            requests: Vec::new()
        }),
        Err(Refused::Same)
    );
    assert_eq!(log, before);
    // Given up, it is what it was, and is told so.
    apply(
        &mut log,
        vec![request(4, vec![change("a", 3, None), change("b", 3, to())])],
    );
    finish(&mut log, true);
    assert!(log.catalog().all().values().all(|s| *s == settled));
    let r = *log.catalog().requested(4).expect("it was taken");
    assert_eq!((r.joint, r.force, r.back), (0, 0, 2));
}

#[test]
fn a_function_stands_in_the_versions_or_on_its_own() {
    let mut log = log();
    apply(
        &mut log,
        vec![request(1, vec![change("a.b", 0, Some(fields(1, 1)))])],
    );
    let with = |path: &str| Fields::from([(path.to_string(), Value::Int(1))]);
    let propose = |base, fields| Entry::Propose {
        id: 0,
        base: Version(base),
        fields,
        why: String::new(),
    };
    let elsewhere = |scope: &str| Refused::Elsewhere {
        scope: scope.into(),
    };
    assert_eq!(
        log.apply(propose(1, with("functions.a%2eb.lanes"))),
        Err(elsewhere("a.b"))
    );
    assert_eq!(
        log.apply(propose(1, with("functions.a.lanes"))),
        Ok(Applied::Told(Version(2)))
    );
    assert_eq!(
        log.judge_request(&request(2, vec![change("a", 0, Some(fields(1, 1)))])),
        Err(elsewhere("a"))
    );
    // Steps of functions neither hold up a version nor are taken for its own.
    let told = log.state().versions_at;
    apply(
        &mut log,
        vec![request(3, vec![change("c", 0, Some(fields(1, 1)))])],
    );
    assert_eq!(
        log.apply(Entry::Advance {
            from: log.state().step
        }),
        Err(Refused::Past)
    );
    assert!(log.apply(Entry::Advance { from: told }).is_ok());
    assert!(matches!(log.state().next, Some((_, Phase::Joint))));
    // One that joins needs to know the versions alone.
    let joins = |at| Entry::Join {
        member: Member {
            id: 1,
            incarnation: 1,
        },
        name: "g".into(),
        at,
    };
    apply(
        &mut log,
        vec![request(4, vec![change("d", 0, Some(fields(1, 1)))])],
    );
    assert_eq!(
        log.judge(&joins(Step(log.state().versions_at.0 - 1))),
        Err(Refused::Behind)
    );
    assert_eq!(
        log.judge(&joins(log.state().step.next())),
        Err(Refused::Behind)
    );
    assert_eq!(log.judge(&joins(log.state().versions_at)), Ok(None));
    assert_eq!(log.judge(&joins(log.state().step)), Ok(None));
}

#[test]
fn deltas_lead_where_the_whole_does_and_what_is_forgotten_is_not_guessed() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut log = log();
    let mut follower = log.state().clone();
    let mut base = std::collections::BTreeMap::new();
    for n in 0..400u64 {
        let scope = format!("f{}", n % 7);
        let revision = base.get(&scope).copied().unwrap_or(0);
        apply(
            &mut log,
            vec![request(
                n + 1,
                vec![change(&scope, revision, Some(fields(n as i64, 1)))],
            )],
        );
        finish(&mut log, false);
        base.insert(
            scope.clone(),
            log.catalog().get(&scope).expect("it is there").revision.0,
        );
        if rng.u32(0..3) == 0 {
            let delta = log.state().since(follower.step).expect("it is remembered");
            // A delta that starts after what is known is not taken.
            let mut behind = follower.clone();
            let gap = Delta {
                from: behind.step.next(),
                ..delta.clone()
            };
            assert!(!behind.follow(&gap) && behind == follower);
            assert!(
                follower.follow(&delta) && follower.follow(&delta),
                "told twice it is one"
            );
            assert_eq!(
                (follower.step, &follower.moves),
                (log.state().step, &log.state().moves)
            );
        }
    }
    // A whole is told without moves; with those since then nothing is forgotten.
    let mut whole = follower.clone();
    whole.replace(
        log.state().bare(),
        log.state().since(follower.step).as_ref(),
    );
    assert_eq!(&whole, log.state());
    whole.replace(log.state().bare(), None);
    assert!(whole.moves.is_empty() && whole.moves.since(Step(1)).is_none());
    let many = |n: u64| {
        (0..1500)
            .map(|i| change(&format!("m{n}-{i}"), 0, Some(fields(1, 1))))
            .collect()
    };
    let before = log.state().step;
    (0..4).for_each(|n| assert_eq!(apply(&mut log, vec![request(1000 + n, many(n))]), []));
    assert!(log.state().moves.len() <= MOVES && log.state().since(before).is_none());
    assert!(log.state().since(log.state().moves.from()).is_some());
}

fn m(id: u64) -> Member {
    Member { id, incarnation: 1 }
}

/// A front end, a register that knows it, and a log of one function.
fn pair() -> (Log, Register, Holding) {
    let mut log = log();
    apply(
        &mut log,
        vec![request(1, vec![change("a", 0, Some(fields(1, 4)))])],
    );
    finish(&mut log, false);
    (
        log,
        Register::new(STAY, [m(1)], 0),
        Holding::new(m(1), Bounds::default(), 0),
    )
}

fn reply(log: &Log, register: &mut Register, want: &Want) -> Option<Reply> {
    let (to, at) = (want.from, log.state().step);
    match register.want(want) {
        Heard::Untold(epoch) => Some(Reply {
            to,
            epoch,
            seq: None,
            at,
            scopes: Vec::new(),
        }),
        Heard::Taken => {
            let scopes = want
                .scopes
                .iter()
                .map(|s| (s.clone(), log.catalog().get(s).cloned()))
                .collect();
            Some(Reply {
                to,
                epoch: want.epoch,
                seq: Some(want.seq),
                at,
                scopes,
            })
        }
        Heard::Late | Heard::Stranger => None,
    }
}

/// Lets letters go to and fro until nothing is to be told.
fn talk(log: &Log, register: &mut Register, holding: &mut Holding, now: &mut i64) {
    for _ in 0..200 {
        *now += 20_000;
        holding.follow(*now, log.state(), &schema());
        if let Some(want) = holding.tick(*now, log.state().step, true) {
            if let Some(reply) = reply(log, register, &want) {
                holding.granted(*now, reply, Some(log.state()), &schema());
            }
        }
    }
}

#[test]
fn what_is_bad_or_late_is_left_out() {
    let (mut log, mut register, mut holding) = pair();
    let mut now = 0;
    let s = &schema();
    assert_eq!(
        holding.called(now, s, &"x".repeat(NAME + 1), true),
        Call::Refused(Why::Name)
    );
    assert_eq!(
        register.holders_behind(number("a"), Step(0)).count(),
        1,
        "whoever has not told may hold any"
    );
    assert_eq!(holding.called(now, s, "a", true), Call::Wait);
    assert_eq!(holding.called(now, s, "none", true), Call::Wait);
    talk(&log, &mut register, &mut holding, &mut now);
    assert_eq!(holding.called(now, s, "a", true), Call::Acts(fields(1, 4)));
    assert_eq!(
        holding.called(now, s, "a", false),
        Call::Acts(fields(1, 1)),
        "without a lease by what binds most"
    );
    assert_eq!(holding.called(now, s, "none", true), Call::Unknown);
    assert_eq!(register.holders_behind(number("b"), Step(99)).count(), 0);
    assert_eq!(
        register
            .holders_behind(number("a"), Step(99))
            .collect::<Vec<_>>(),
        [m(1)]
    );
    // Answers for another, of a letter never written, to an older letter than the one that wants it now.
    assert_eq!(holding.called(now, s, "b", true), Call::Wait);
    now += 200_000;
    let want = holding
        .tick(now, log.state().step, true)
        .expect("it wants b");
    assert_eq!(want.scopes, ["b"]);
    let good = Reply {
        to: m(1),
        epoch: want.epoch,
        seq: Some(want.seq),
        at: log.state().step,
        scopes: vec![(
            "b".into(),
            Some(Scoped {
                fields: Some(fields(9, 9)),
                ..Scoped::default()
            }),
        )],
    };
    for bad in [
        Reply {
            to: m(2),
            ..good.clone()
        },
        Reply {
            seq: Some(want.seq + 1),
            ..good.clone()
        },
        Reply {
            seq: Some(want.seq - 1),
            ..good.clone()
        },
        Reply {
            seq: None,
            ..good.clone()
        },
        Reply {
            epoch: Default::default(),
            ..good.clone()
        },
    ] {
        holding.granted(now, bad.clone(), Some(log.state()), s);
        assert_eq!(holding.called(now, s, "b", true), Call::Wait, "{bad:?}");
    }
    // Of a step that it does not act on yet: it waits for that.
    let ahead = Reply {
        at: Step(log.state().step.0 + 2),
        ..good.clone()
    };
    holding.granted(now, ahead, Some(log.state()), s);
    assert_eq!(holding.called(now, s, "b", true), Call::Wait);
    // Letters that a root leaves out: of a stranger, an earlier one, one that drops what a later one wants.
    let old = Want {
        drops: vec![number("a")],
        scopes: vec![],
        ..want.clone()
    };
    assert_eq!(
        register.want(&Want {
            from: m(7),
            ..want.clone()
        }),
        Heard::Stranger
    );
    assert_eq!(register.want(&want), Heard::Taken);
    assert_eq!(register.want(&old), Heard::Late);
    assert_eq!(
        register.want(&Want {
            epoch: Default::default(),
            seq: 99,
            ..old
        }),
        Heard::Untold(want.epoch)
    );
    assert_eq!(register.holders_behind(number("a"), Step(99)).count(), 1);
    // What moved is forgotten: it acts on it no more, and tells.
    let mut state = log.state().clone();
    state.replace(
        State {
            step: Step(state.step.0 + 1),
            ..state.bare()
        },
        None,
    );
    state.moves = Moves::after(state.step);
    holding.follow(now, &state, s);
    assert_eq!(holding.acts(s, "a", true), None);
    assert_eq!(holding.called(now, s, "a", true), Call::Wait);
    // A reply of a step before the moves that are known is not used.
    apply(
        &mut log,
        vec![request(2, vec![change("a", 3, Some(fields(2, 2)))])],
    );
    let want = loop {
        now += 50_000;
        if let Some(want) = holding
            .tick(now, state.step, true)
            .filter(|w| w.scopes.contains(&"a".into()))
        {
            break want;
        }
    };
    let stale = Reply {
        seq: Some(want.seq),
        at: Step(2),
        scopes: vec![("a".into(), Some(Scoped::default()))],
        ..good
    };
    holding.granted(now, stale, Some(&state), s);
    assert_eq!(holding.acts(s, "a", true), None, "it asks again");
}

#[test]
fn all_that_is_kept_is_bounded() {
    let (log, mut register, mut holding) = pair();
    let (mut now, s) = (0, &schema());
    holding.follow(now, log.state(), s);
    let refused = (0..HELD + 10)
        .filter(|n| holding.called(now, s, &format!("f{n}"), true) == Call::Refused(Why::Full));
    assert_eq!(
        refused.count(),
        10,
        "while all are waited for there is nothing to let go"
    );
    let letter = holding.tick(100_000, Step(1), true).expect("a letter");
    assert!(letter.scopes.len() <= WANTS && letter.drops.len() <= DROPS);
    now += 100_000;
    talk(&log, &mut register, &mut holding, &mut now);
    assert_eq!((holding.held(), holding.wanted()), (HELD, 0));
    assert_eq!(holding.called(now, s, "f5", true), Call::Unknown);
    // Ever new ones: those called least recently go, and the root is told.
    for n in 0..3 * HELD {
        now += 1_000;
        holding.called(now, s, &format!("g{n}"), true);
        holding.called(now, s, "f5", true);
        if n % 100 == 0 {
            talk(&log, &mut register, &mut holding, &mut now);
        }
        assert!(holding.held() + holding.wanted() <= HELD);
    }
    talk(&log, &mut register, &mut holding, &mut now);
    assert!(holding.squeezed() > 2 * HELD as u64);
    assert_eq!(
        holding.called(now, s, "f5", true),
        Call::Unknown,
        "it was called all the while"
    );
    assert_eq!(
        register.holdings(),
        holding.held(),
        "the root knows what is held"
    );
    // Nobody calls: all goes.
    now += 700_000_000;
    talk(&log, &mut register, &mut holding, &mut now);
    assert_eq!((holding.held(), register.holdings()), (0, 0));
}

/// A mistake that is planted.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Plant {
    None,
    /// A root that begins takes those on its roster for holders of nothing.
    RootForgets,
    /// A holder takes an answer of an earlier step for one of its own.
    StaleAnswer,
    /// The root takes letters in any order.
    AnyOrder,
    /// A change goes on without the holders.
    NobodyWaited,
}

enum Letter {
    AskLease(usize, tansy_agreement::lease::Ask),
    Lease(usize, tansy_agreement::lease::Grant<State, Delta>),
    AskStay(usize, stay::Ask),
    Stay(usize, stay::Grant),
    Want(usize, Want),
    Reply(usize, Reply),
}

struct Front {
    me: Member,
    lease: Holder<State>,
    stay: Stay,
    holding: Holding,
    told: Step,
}

impl Front {
    fn new(me: Member, now: i64) -> Front {
        let (lease, stay) = (Holder::new(LEASE, me), Stay::new(STAY, me));
        Front {
            me,
            lease,
            stay,
            holding: Holding::new(me, BOUNDS, now),
            told: Step(0),
        }
    }

    fn follow(&mut self, now: i64) {
        if let Some(state) = self.lease.known() {
            self.holding.follow(now, state, &schema());
        }
    }
}

/// One history; strict changes that came in force, or what broke.
fn history(seed: u64, plant: Plant) -> Result<u64, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let s = schema();
    let scopes = ["a", "b", "c"];
    let mut log = log();
    let mut now = 0i64;
    let mut epoch = tansy_agreement::hold::Epoch::default().next();
    let mut register = Register::begin(STAY, [], now, epoch);
    let mut granter = Granter::new(LEASE, 8, None);
    let mut fronts: Vec<Front> = (0..3).map(|n| Front::new(m(n), now)).collect();
    let mut mail: Vec<Letter> = Vec::new();
    let mut last = [0u64; 3];
    let (mut id, mut strict) = (0u64, 0u64);
    for _ in 0..900 {
        now += rng.i64(0..60_000);
        let n = rng.usize(0..3);
        let f = &mut fronts[n];
        match rng.u32(0..40) {
            0..=5 => mail.push(Letter::AskLease(n, f.lease.ask(now, None))),
            6..=7 => {
                f.told = f.lease.step();
                mail.push(Letter::AskStay(n, f.stay.ask(now, f.told)));
            }
            8..=11 => {
                let (stay, lease) = (f.stay.left(now) > 0, f.lease.left(now) > 0);
                if stay {
                    f.holding.called(now, &s, scopes[rng.usize(0..3)], lease);
                }
            }
            12..=16 => {
                let at = f.lease.step();
                if f.holding.contested() > f.told {
                    f.told = at;
                    mail.push(Letter::AskStay(n, f.stay.ask(now, at)));
                }
                let stay = f.stay.left(now) > 0;
                mail.extend(f.holding.tick(now, at, stay).map(|w| Letter::Want(n, w)));
            }
            // Killed and back as a later process.
            17 if rng.u32(0..6) == 0 => {
                *f = Front::new(
                    Member {
                        incarnation: f.me.incarnation + 1,
                        ..f.me
                    },
                    now,
                );
                last[n] = 0;
            }
            // Another root begins, or the same anew.
            18 if rng.u32(0..4) == 0 => {
                epoch = register.epoch().next();
                register = Register::begin(
                    STAY,
                    log.roster().map(|r| r.0).collect::<Vec<_>>(),
                    now,
                    epoch,
                );
                granter = Granter::new(LEASE, 8, Some(now));
                if plant == Plant::RootForgets {
                    for (from, _) in log.roster() {
                        let (at, scopes, drops) = (Step(0), Vec::new(), Vec::new());
                        register.want(&Want {
                            from,
                            epoch,
                            seq: 1,
                            at,
                            scopes,
                            drops,
                            all: Some(Vec::new()),
                        });
                    }
                }
            }
            19 => {
                for member in register.out(now).collect::<Vec<_>>() {
                    log.apply(Entry::Leave { member }).expect("it may leave");
                    register.dismiss(member);
                }
            }
            20..=22 => {
                id += 1;
                let scope = scopes[rng.usize(0..3)];
                let base = log.catalog().get(scope).map_or(0, |k| k.revision.0);
                let to = (rng.u32(0..6) > 0).then(|| fields(rng.i64(0..3), rng.i64(1..5)));
                let _ = log.apply(Entry::Change {
                    requests: vec![request(id, vec![change(scope, base, to)])],
                });
            }
            // What is ready goes on; what is not goes back now and then.
            23..=25 => {
                let (mut force, mut settled, mut back) = (Vec::new(), Vec::new(), Vec::new());
                for (name, k) in log.catalog().open() {
                    let Some(since) = k.standing.since() else {
                        continue;
                    };
                    let reached = granter.reached(now, since);
                    let behind = k.strict(&s, name)
                        && plant != Plant::NobodyWaited
                        && register
                            .holders_behind(number(name), since)
                            .next()
                            .is_some();
                    match k.next() {
                        None if reached => settled.push((name.to_string(), since)),
                        Some(_) if reached && !behind => {
                            strict += u64::from(k.strict(&s, name));
                            force.push((name.to_string(), since));
                        }
                        Some(_) if rng.u32(0..30) == 0 => back.push((name.to_string(), since)),
                        _ => {}
                    }
                }
                let _ = log.apply(Entry::Return { scopes: back });
                let _ = log.apply(Entry::Carry { force, settled });
            }
            // A letter arrives, in any order, may come twice, or never.
            _ if !mail.is_empty() => {
                let at = rng.usize(0..mail.len());
                let letter = mail.swap_remove(at);
                match letter {
                    _ if rng.u32(0..10) == 0 => {}
                    Letter::AskLease(n, ask) => {
                        let grant = granter.grant(now, &ask, log.state(), LEASE.span);
                        mail.extend(grant.map(|g| Letter::Lease(n, g)));
                    }
                    Letter::Lease(n, grant) => {
                        fronts[n].lease.granted(grant);
                        fronts[n].follow(now);
                    }
                    Letter::AskStay(n, ask) if log.lists(ask.from) => {
                        mail.extend(register.grant(now, ask).map(|g| Letter::Stay(n, g)));
                        let epoch = register
                            .untold(ask.from)
                            .filter(|_| log.catalog().since().is_some());
                        let (to, at) = (ask.from, log.state().step);
                        let tell = |epoch| {
                            Letter::Reply(
                                n,
                                Reply {
                                    to,
                                    epoch,
                                    seq: None,
                                    at,
                                    scopes: vec![],
                                },
                            )
                        };
                        mail.extend(epoch.map(tell));
                    }
                    Letter::AskStay(_, ask) => {
                        let join = Entry::Join {
                            member: ask.from,
                            name: "g".into(),
                            at: ask.at,
                        };
                        if log.apply(join).is_ok() {
                            register.joined(now, ask.from, ask.at);
                        }
                    }
                    Letter::Stay(n, grant) => fronts[n].stay.granted(grant),
                    Letter::Want(n, mut want) => {
                        if plant == Plant::AnyOrder
                            && want.seq <= last[n]
                            && fronts[n].me == want.from
                        {
                            (want.seq, want.scopes, want.all) = (last[n] + 1, Vec::new(), None);
                        }
                        last[n] = last[n].max(want.seq);
                        mail.extend(reply(&log, &mut register, &want).map(|r| Letter::Reply(n, r)));
                    }
                    Letter::Reply(n, mut reply) => {
                        let f = &mut fronts[n];
                        if plant == Plant::StaleAnswer {
                            reply.at = reply.at.max(f.lease.step());
                        }
                        f.holding.granted(now, reply, f.lease.known(), &s);
                    }
                }
                if mail.len() > 40 {
                    mail.swap_remove(rng.usize(0..40));
                }
            }
            _ => {}
        }
        for f in fronts.iter().filter(|f| f.stay.left(now) > 0) {
            for scope in scopes {
                let acts = f
                    .holding
                    .acts(&s, scope, f.lease.left(now) > 0)
                    .filter(|a| !a.refused);
                let agreed = log.catalog().get(scope).cloned().unwrap_or_default();
                let class = |f: &Option<Fields>| f.as_ref().and_then(|f| f.get("class").cloned());
                let lanes = |f: &Option<Fields>| f.as_ref().and_then(|f| f.get("lanes").cloned());
                let Some(acts) = acts else { continue };
                if class(&acts.fields) != class(&agreed.fields)
                    || lanes(&acts.fields) > lanes(&agreed.fields)
                {
                    let (me, step) = (f.me, f.lease.step());
                    return Err(format!(
                        "seed {seed}: {me:?} at {step:?} acts on {scope} as {acts:?}, agreed is {agreed:?}"
                    ));
                }
            }
        }
    }
    Ok(strict)
}

#[test]
fn whoever_acts_on_a_function_acts_on_what_is_in_force() {
    let strict: u64 = (0..3_000)
        .map(|seed| history(seed, Plant::None).unwrap_or_else(|e| panic!("{e}")))
        .sum();
    assert!(
        strict > 5_000,
        "the histories get somewhere: {strict} strict changes"
    );
}

#[test]
fn each_mistake_is_found() {
    for plant in [
        Plant::RootForgets,
        Plant::StaleAnswer,
        Plant::AnyOrder,
        Plant::NobodyWaited,
    ] {
        assert!(
            (0..3_000).any(|seed| history(seed, plant).is_err()),
            "{plant:?}"
        );
    }
}

#[test]
fn moves_know_what_they_forgot() {
    assert_eq!(
        Moves::after(Step(3)).since(Step(2)).map(|m| m.count()),
        None
    );
    assert_eq!(
        Moves::after(Step(3)).since(Step(3)).map(|m| m.count()),
        Some(0)
    );
    let m = Move {
        step: Step(4),
        scope: "a".into(),
        to: Scoped::default(),
    };
    assert!(m.weight() > 0);
}
