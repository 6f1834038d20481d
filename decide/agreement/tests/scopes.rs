//! Functions that are agreed on one by one: what the log takes, what a front end holds of them, and random histories of a root
//! and three holders, in which whoever acts on another strict field than the one in force is found.

use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};
use tansy_agreement::lease::{LeaseGranter, LeaseHolder, LeaseTiming, Member, Versioned};
use tansy_agreement::log::{
    ApplyOutcome, ChangePhase, EntryRejection, FleetState, Log, LogEntry, Revision, Version,
};
use tansy_agreement::scope::{
    scope_number, ChangeHistory, ScopeChange, ScopePhase, ScopeRecord, ScopeTransaction,
    ScopeUpdate, StateDelta, MAX_FIELDS_BYTES, MAX_HISTORY, MAX_NAME_BYTES,
    MAX_UPDATES_PER_TRANSACTION,
};
use tansy_agreement::session::{self, Session, SessionTable, SubscribeOutcome};
use tansy_agreement::subscription::{
    Admission, RejectReason, ScopeSubscriptions, SubscribeReply, SubscribeRequest,
    SubscriptionLimits, MAX_SCOPES_PER_REQUEST, MAX_SUBSCRIPTIONS, MAX_UNSUBSCRIBES_PER_REQUEST,
};

const LEASE: LeaseTiming = LeaseTiming {
    span: 600_000,
    drift_ppm: 1_000,
};
const STAY: LeaseTiming = LeaseTiming {
    span: 6_000_000,
    drift_ppm: 1_000,
};
/// In histories: there is always something to let go.
const BOUNDS: SubscriptionLimits = SubscriptionLimits {
    subscriptions: 2,
    idle: 2_000_000,
};

fn schema() -> Schema {
    let least = Compatibility::Joint(
        Restrictiveness::Smallest,
        ExpiredLeasePolicy::Strictest(Value::Int(1)),
    );
    Schema::new([
        ("functions.*.class", Compatibility::Strict),
        ("functions.*.lanes", least),
    ])
}

fn fields(class: i64, lanes: i64) -> Fields {
    [("class", Value::Int(class)), ("lanes", Value::Int(lanes))]
        .map(|(p, v)| (p.to_string(), v))
        .into()
}

fn change(scope: &str, base: u64, fields: Option<Fields>) -> ScopeUpdate {
    ScopeUpdate {
        scope: scope.into(),
        base: Revision(base),
        fields,
    }
}

fn request(id: u64, changes: Vec<ScopeUpdate>) -> ScopeTransaction {
    ScopeTransaction {
        id,
        updates: changes,
        reason: String::new(),
    }
}

fn apply(log: &mut Log, requests: Vec<ScopeTransaction>) -> Vec<(usize, EntryRejection)> {
    match log.apply(LogEntry::UpdateScopes {
        transactions: requests,
    }) {
        Ok(ApplyOutcome::ScopesChanged {
            rejected: refused, ..
        }) => refused,
        other => panic!("{other:?}"),
    }
}

/// What is open goes on to force, or back, and is settled.
fn finish(log: &mut Log, back: bool) {
    for _ in 0..2 {
        let open: Vec<(String, Revision, bool)> = log
            .catalog()
            .open()
            .filter_map(|(n, s)| Some((n.to_string(), s.phase.since()?, s.next().is_some())))
            .collect();
        let (joint, over): (Vec<_>, Vec<_>) = open.into_iter().partition(|o| o.2);
        let pairs = |all: Vec<(String, Revision, bool)>| {
            all.into_iter().map(|(n, s, _)| (n, s)).collect::<Vec<_>>()
        };
        if back && !joint.is_empty() {
            log.apply(LogEntry::RevertScopes {
                scopes: pairs(joint),
            })
            .expect("it goes back");
        } else {
            let _ = log.apply(LogEntry::AdvanceScopes {
                in_force: pairs(joint),
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
    assert_eq!(
        refused,
        [(
            1,
            EntryRejection::ScopeChangeInProgress { scope: "a".into() }
        )]
    );
    let names = |log: &Log| log.catalog().all().keys().cloned().collect::<String>();
    assert_eq!(
        (
            names(&log),
            log.state().revision,
            log.state().versions_revision
        ),
        ("abd".into(), Revision(2), Revision(1))
    );
    finish(&mut log, false);
    let settled = ScopeRecord {
        revision: Revision(3),
        fields: Some(fields(1, 1)),
        phase: ScopePhase::Settled,
    };
    assert!(log.catalog().all().values().all(|s| *s == settled));
    // Told twice it is one; from another revision, or naming one twice, or of no name, it is nothing.
    assert_eq!(log.validate_transaction(&one), Ok(Some(Revision(2))));
    let judged = |changes| log.validate_transaction(&request(9, changes));
    let to = || Some(fields(2, 2));
    let base = |scope: &str, revision| {
        Err(EntryRejection::StaleScopeBase {
            scope: scope.into(),
            revision: Revision(revision),
        })
    };
    assert_eq!(judged(vec![change("a", 2, to())]), base("a", 3));
    assert_eq!(judged(vec![change("e", 3, to())]), base("e", 0));
    assert_eq!(
        judged(vec![change("a", 3, Some(fields(1, 1)))]),
        Err(EntryRejection::NoChange)
    );
    assert_eq!(
        judged(vec![change("e", 0, None)]),
        Err(EntryRejection::NoChange),
        "there is none to remove"
    );
    assert_eq!(
        judged(vec![change("a", 3, to()), change("a", 3, None)]),
        Err(EntryRejection::DuplicateScope { scope: "a".into() })
    );
    assert_eq!(
        judged(vec![change("", 0, to())]),
        Err(EntryRejection::MissingName)
    );
    for changes in [
        vec![change(&"n".repeat(MAX_NAME_BYTES + 1), 0, to())],
        vec![change(
            "e",
            0,
            Some(Fields::from([(
                "class".into(),
                Value::Text("x".repeat(MAX_FIELDS_BYTES)),
            )])),
        )],
        (0..=MAX_UPDATES_PER_TRANSACTION)
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
        assert!(matches!(
            judged(changes),
            Err(EntryRejection::TooMany { .. })
        ));
    }
    // What is not at that step is not touched.
    let before = log.clone();
    let none = || {
        vec![
            ("a".to_string(), Revision(2)),
            ("zz".to_string(), Revision(2)),
        ]
    };
    assert_eq!(
        log.apply(LogEntry::AdvanceScopes {
            in_force: none(),
            settled: none()
        }),
        Err(EntryRejection::StaleRevision)
    );
    assert_eq!(
        log.apply(LogEntry::RevertScopes { scopes: none() }),
        Err(EntryRejection::StaleRevision)
    );
    assert_eq!(
        log.apply(LogEntry::UpdateScopes {
            transactions: Vec::new()
        }),
        Err(EntryRejection::NoChange)
    );
    assert_eq!(log, before);
    // Given up, it is what it was, and is told so.
    apply(
        &mut log,
        vec![request(4, vec![change("a", 3, None), change("b", 3, to())])],
    );
    finish(&mut log, true);
    assert!(log.catalog().all().values().all(|s| *s == settled));
    let r = *log.catalog().transaction_result(4).expect("it was taken");
    assert_eq!((r.joint, r.in_force, r.reverted), (0, 0, 2));
}

#[test]
fn a_function_stands_in_the_versions_or_on_its_own() {
    let mut log = log();
    apply(
        &mut log,
        vec![request(1, vec![change("a.b", 0, Some(fields(1, 1)))])],
    );
    let with = |path: &str| Fields::from([(path.to_string(), Value::Int(1))]);
    let propose = |base, fields| LogEntry::Propose {
        id: 0,
        base: Version(base),
        fields,
        reason: String::new(),
    };
    let elsewhere = |scope: &str| EntryRejection::DefinedElsewhere {
        scope: scope.into(),
    };
    assert_eq!(
        log.apply(propose(1, with("functions.a%2eb.lanes"))),
        Err(elsewhere("a.b"))
    );
    assert_eq!(
        log.apply(propose(1, with("functions.a.lanes"))),
        Ok(ApplyOutcome::Announced(Version(2)))
    );
    assert_eq!(
        log.validate_transaction(&request(2, vec![change("a", 0, Some(fields(1, 1)))])),
        Err(elsewhere("a"))
    );
    // Steps of functions neither hold up a version nor are taken for its own.
    let told = log.state().versions_revision;
    apply(
        &mut log,
        vec![request(3, vec![change("c", 0, Some(fields(1, 1)))])],
    );
    assert_eq!(
        log.apply(LogEntry::Advance {
            from: log.state().revision
        }),
        Err(EntryRejection::StaleRevision)
    );
    assert!(log.apply(LogEntry::Advance { from: told }).is_ok());
    assert!(matches!(log.state().next, Some((_, ChangePhase::Joint))));
    // One that joins needs to know the versions alone.
    let joins = |at| LogEntry::Join {
        member: Member {
            id: 1,
            incarnation: 1,
        },
        name: "g".into(),
        revision: at,
    };
    apply(
        &mut log,
        vec![request(4, vec![change("d", 0, Some(fields(1, 1)))])],
    );
    assert_eq!(
        log.validate(&joins(Revision(log.state().versions_revision.0 - 1))),
        Err(EntryRejection::Behind)
    );
    assert_eq!(
        log.validate(&joins(log.state().revision.next())),
        Err(EntryRejection::Behind)
    );
    assert_eq!(
        log.validate(&joins(log.state().versions_revision)),
        Ok(None)
    );
    assert_eq!(log.validate(&joins(log.state().revision)), Ok(None));
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
            let delta = log
                .state()
                .delta_since(follower.revision)
                .expect("it is remembered");
            // A delta that starts after what is known is not taken.
            let mut behind = follower.clone();
            let gap = StateDelta {
                from: behind.revision.next(),
                ..delta.clone()
            };
            assert!(!behind.apply_delta(&gap) && behind == follower);
            assert!(
                follower.apply_delta(&delta) && follower.apply_delta(&delta),
                "told twice it is one"
            );
            assert_eq!(
                (follower.revision, &follower.history),
                (log.state().revision, &log.state().history)
            );
        }
    }
    // A whole is told without moves; with those since then nothing is forgotten.
    let mut whole = follower.clone();
    whole.replace_with_snapshot(
        log.state().without_history(),
        log.state().delta_since(follower.revision).as_ref(),
    );
    assert_eq!(&whole, log.state());
    whole.replace_with_snapshot(log.state().without_history(), None);
    assert!(whole.history.is_empty() && whole.history.since(Revision(1)).is_none());
    let many = |n: u64| {
        (0..1500)
            .map(|i| change(&format!("m{n}-{i}"), 0, Some(fields(1, 1))))
            .collect()
    };
    let before = log.state().revision;
    (0..4).for_each(|n| assert_eq!(apply(&mut log, vec![request(1000 + n, many(n))]), []));
    assert!(log.state().history.len() <= MAX_HISTORY && log.state().delta_since(before).is_none());
    assert!(log
        .state()
        .delta_since(log.state().history.from())
        .is_some());
}

fn m(id: u64) -> Member {
    Member { id, incarnation: 1 }
}

/// A front end, a register that knows it, and a log of one function.
fn pair() -> (Log, SessionTable, ScopeSubscriptions) {
    let mut log = log();
    apply(
        &mut log,
        vec![request(1, vec![change("a", 0, Some(fields(1, 4)))])],
    );
    finish(&mut log, false);
    (
        log,
        SessionTable::new(STAY, [m(1)], 0),
        ScopeSubscriptions::new(m(1), SubscriptionLimits::default(), 0),
    )
}

fn reply(
    log: &Log,
    register: &mut SessionTable,
    want: &SubscribeRequest,
) -> Option<SubscribeReply> {
    let (to, at) = (want.from, log.state().revision);
    match register.on_subscribe(want) {
        SubscribeOutcome::Untold(epoch) => Some(SubscribeReply {
            to,
            epoch,
            seq: None,
            revision: at,
            scopes: Vec::new(),
        }),
        SubscribeOutcome::Taken => {
            let scopes = want
                .scopes
                .iter()
                .map(|s| (s.clone(), log.catalog().get(s).cloned()))
                .collect();
            Some(SubscribeReply {
                to,
                epoch: want.epoch,
                seq: Some(want.seq),
                revision: at,
                scopes,
            })
        }
        SubscribeOutcome::Late | SubscribeOutcome::Stranger => None,
    }
}

/// Lets letters go to and fro until nothing is to be told.
fn talk(log: &Log, register: &mut SessionTable, holding: &mut ScopeSubscriptions, now: &mut i64) {
    for _ in 0..200 {
        *now += 20_000;
        holding.on_state(*now, log.state(), &schema());
        if let Some(want) = holding.tick(*now, log.state().revision, true) {
            if let Some(reply) = reply(log, register, &want) {
                holding.on_reply(*now, reply, Some(log.state()), &schema());
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
        holding.admit(now, s, &"x".repeat(MAX_NAME_BYTES + 1), true),
        Admission::Reject(RejectReason::NameTooLong)
    );
    assert_eq!(
        register
            .subscribers_behind(scope_number("a"), Revision(0))
            .count(),
        1,
        "whoever has not told may hold any"
    );
    assert_eq!(holding.admit(now, s, "a", true), Admission::Wait);
    assert_eq!(holding.admit(now, s, "none", true), Admission::Wait);
    talk(&log, &mut register, &mut holding, &mut now);
    assert_eq!(
        holding.admit(now, s, "a", true),
        Admission::Admit(fields(1, 4))
    );
    assert_eq!(
        holding.admit(now, s, "a", false),
        Admission::Admit(fields(1, 1)),
        "without a lease by what binds most"
    );
    assert_eq!(holding.admit(now, s, "none", true), Admission::Unknown);
    assert_eq!(
        register
            .subscribers_behind(scope_number("b"), Revision(99))
            .count(),
        0
    );
    assert_eq!(
        register
            .subscribers_behind(scope_number("a"), Revision(99))
            .collect::<Vec<_>>(),
        [m(1)]
    );
    // Answers for another, of a letter never written, to an older letter than the one that wants it now.
    assert_eq!(holding.admit(now, s, "b", true), Admission::Wait);
    now += 200_000;
    let want = holding
        .tick(now, log.state().revision, true)
        .expect("it wants b");
    assert_eq!(want.scopes, ["b"]);
    let good = SubscribeReply {
        to: m(1),
        epoch: want.epoch,
        seq: Some(want.seq),
        revision: log.state().revision,
        scopes: vec![(
            "b".into(),
            Some(ScopeRecord {
                fields: Some(fields(9, 9)),
                ..ScopeRecord::default()
            }),
        )],
    };
    for bad in [
        SubscribeReply {
            to: m(2),
            ..good.clone()
        },
        SubscribeReply {
            seq: Some(want.seq + 1),
            ..good.clone()
        },
        SubscribeReply {
            seq: Some(want.seq - 1),
            ..good.clone()
        },
        SubscribeReply {
            seq: None,
            ..good.clone()
        },
        SubscribeReply {
            epoch: Default::default(),
            ..good.clone()
        },
    ] {
        holding.on_reply(now, bad.clone(), Some(log.state()), s);
        assert_eq!(holding.admit(now, s, "b", true), Admission::Wait, "{bad:?}");
    }
    // Of a step that it does not act on yet: it waits for that.
    let ahead = SubscribeReply {
        revision: Revision(log.state().revision.0 + 2),
        ..good.clone()
    };
    holding.on_reply(now, ahead, Some(log.state()), s);
    assert_eq!(holding.admit(now, s, "b", true), Admission::Wait);
    // Letters that a root leaves out: of a stranger, an earlier one, one that drops what a later one wants.
    let old = SubscribeRequest {
        unsubscribed: vec![scope_number("a")],
        scopes: vec![],
        ..want.clone()
    };
    assert_eq!(
        register.on_subscribe(&SubscribeRequest {
            from: m(7),
            ..want.clone()
        }),
        SubscribeOutcome::Stranger
    );
    assert_eq!(register.on_subscribe(&want), SubscribeOutcome::Taken);
    assert_eq!(register.on_subscribe(&old), SubscribeOutcome::Late);
    assert_eq!(
        register.on_subscribe(&SubscribeRequest {
            epoch: Default::default(),
            seq: 99,
            ..old
        }),
        SubscribeOutcome::Untold(want.epoch)
    );
    assert_eq!(
        register
            .subscribers_behind(scope_number("a"), Revision(99))
            .count(),
        1
    );
    // What moved is forgotten: it acts on it no more, and tells.
    let mut state = log.state().clone();
    state.replace_with_snapshot(
        FleetState {
            revision: Revision(state.revision.0 + 1),
            ..state.without_history()
        },
        None,
    );
    state.history = ChangeHistory::after(state.revision);
    holding.on_state(now, &state, s);
    assert_eq!(holding.effective_settings(s, "a", true), None);
    assert_eq!(holding.admit(now, s, "a", true), Admission::Wait);
    // A reply of a step before the moves that are known is not used.
    apply(
        &mut log,
        vec![request(2, vec![change("a", 3, Some(fields(2, 2)))])],
    );
    let want = loop {
        now += 50_000;
        if let Some(want) = holding
            .tick(now, state.revision, true)
            .filter(|w| w.scopes.contains(&"a".into()))
        {
            break want;
        }
    };
    let stale = SubscribeReply {
        seq: Some(want.seq),
        revision: Revision(2),
        scopes: vec![("a".into(), Some(ScopeRecord::default()))],
        ..good
    };
    holding.on_reply(now, stale, Some(&state), s);
    assert_eq!(
        holding.effective_settings(s, "a", true),
        None,
        "it asks again"
    );
}

#[test]
fn all_that_is_kept_is_bounded() {
    let (log, mut register, mut holding) = pair();
    let (mut now, s) = (0, &schema());
    holding.on_state(now, log.state(), s);
    let refused = (0..MAX_SUBSCRIPTIONS + 10).filter(|n| {
        holding.admit(now, s, &format!("f{n}"), true)
            == Admission::Reject(RejectReason::TooManyPending)
    });
    assert_eq!(
        refused.count(),
        10,
        "while all are waited for there is nothing to let go"
    );
    let letter = holding.tick(100_000, Revision(1), true).expect("a letter");
    assert!(
        letter.scopes.len() <= MAX_SCOPES_PER_REQUEST
            && letter.unsubscribed.len() <= MAX_UNSUBSCRIBES_PER_REQUEST
    );
    now += 100_000;
    talk(&log, &mut register, &mut holding, &mut now);
    assert_eq!((holding.len(), holding.pending()), (MAX_SUBSCRIPTIONS, 0));
    assert_eq!(holding.admit(now, s, "f5", true), Admission::Unknown);
    // Ever new ones: those called least recently go, and the root is told.
    for n in 0..3 * MAX_SUBSCRIPTIONS {
        now += 1_000;
        holding.admit(now, s, &format!("g{n}"), true);
        holding.admit(now, s, "f5", true);
        if n % 100 == 0 {
            talk(&log, &mut register, &mut holding, &mut now);
        }
        assert!(holding.len() + holding.pending() <= MAX_SUBSCRIPTIONS);
    }
    talk(&log, &mut register, &mut holding, &mut now);
    assert!(holding.evicted() > 2 * MAX_SUBSCRIPTIONS as u64);
    assert_eq!(
        holding.admit(now, s, "f5", true),
        Admission::Unknown,
        "it was called all the while"
    );
    assert_eq!(
        register.subscription_count(),
        holding.len(),
        "the root knows what is held"
    );
    // Nobody calls: all goes.
    now += 700_000_000;
    talk(&log, &mut register, &mut holding, &mut now);
    assert_eq!((holding.len(), register.subscription_count()), (0, 0));
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
    AskLease(usize, tansy_agreement::lease::LeaseRequest),
    Lease(
        usize,
        tansy_agreement::lease::LeaseGrant<FleetState, StateDelta>,
    ),
    AskStay(usize, session::SessionRequest),
    Stay(usize, session::SessionGrant),
    Want(usize, SubscribeRequest),
    Reply(usize, SubscribeReply),
}

struct Front {
    me: Member,
    lease: LeaseHolder<FleetState>,
    stay: Session,
    holding: ScopeSubscriptions,
    told: Revision,
}

impl Front {
    fn new(me: Member, now: i64) -> Front {
        let (lease, stay) = (LeaseHolder::new(LEASE, me), Session::new(STAY, me));
        Front {
            me,
            lease,
            stay,
            holding: ScopeSubscriptions::new(me, BOUNDS, now),
            told: Revision(0),
        }
    }

    fn follow(&mut self, now: i64) {
        if let Some(state) = self.lease.known_state() {
            self.holding.on_state(now, state, &schema());
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
    let mut epoch = tansy_agreement::subscription::ResyncEpoch::default().next();
    let mut register = SessionTable::begin(STAY, [], now, epoch);
    let mut granter = LeaseGranter::new(LEASE, 8, None);
    let mut fronts: Vec<Front> = (0..3).map(|n| Front::new(m(n), now)).collect();
    let mut mail: Vec<Letter> = Vec::new();
    let mut last = [0u64; 3];
    let (mut id, mut strict) = (0u64, 0u64);
    for _ in 0..900 {
        now += rng.i64(0..60_000);
        let n = rng.usize(0..3);
        let f = &mut fronts[n];
        match rng.u32(0..40) {
            0..=5 => mail.push(Letter::AskLease(n, f.lease.request(now, None))),
            6..=7 => {
                f.told = f.lease.revision();
                mail.push(Letter::AskStay(n, f.stay.request(now, f.told)));
            }
            8..=11 => {
                let (stay, lease) = (f.stay.remaining(now) > 0, f.lease.remaining(now) > 0);
                if stay {
                    f.holding.admit(now, &s, scopes[rng.usize(0..3)], lease);
                }
            }
            12..=16 => {
                let at = f.lease.revision();
                if f.holding.conflicting_revision() > f.told {
                    f.told = at;
                    mail.push(Letter::AskStay(n, f.stay.request(now, at)));
                }
                let stay = f.stay.remaining(now) > 0;
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
                register = SessionTable::begin(
                    STAY,
                    log.roster().map(|r| r.0).collect::<Vec<_>>(),
                    now,
                    epoch,
                );
                granter = LeaseGranter::new(LEASE, 8, Some(now));
                if plant == Plant::RootForgets {
                    for (from, _) in log.roster() {
                        let (at, scopes, drops) = (Revision(0), Vec::new(), Vec::new());
                        register.on_subscribe(&SubscribeRequest {
                            from,
                            epoch,
                            seq: 1,
                            revision: at,
                            scopes,
                            unsubscribed: drops,
                            full_list: Some(Vec::new()),
                        });
                    }
                }
            }
            19 => {
                for member in register.expired(now).collect::<Vec<_>>() {
                    log.apply(LogEntry::Leave { member }).expect("it may leave");
                    register.remove(member);
                }
            }
            20..=22 => {
                id += 1;
                let scope = scopes[rng.usize(0..3)];
                let base = log.catalog().get(scope).map_or(0, |k| k.revision.0);
                let to = (rng.u32(0..6) > 0).then(|| fields(rng.i64(0..3), rng.i64(1..5)));
                let _ = log.apply(LogEntry::UpdateScopes {
                    transactions: vec![request(id, vec![change(scope, base, to)])],
                });
            }
            // What is ready goes on; what is not goes back now and then.
            23..=25 => {
                let (mut force, mut settled, mut back) = (Vec::new(), Vec::new(), Vec::new());
                for (name, k) in log.catalog().open() {
                    let Some(since) = k.phase.since() else {
                        continue;
                    };
                    let reached = granter.all_at_least(now, since);
                    let behind = k.strict(&s, name)
                        && plant != Plant::NobodyWaited
                        && register
                            .subscribers_behind(scope_number(name), since)
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
                let _ = log.apply(LogEntry::RevertScopes { scopes: back });
                let _ = log.apply(LogEntry::AdvanceScopes {
                    in_force: force,
                    settled,
                });
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
                        fronts[n].lease.on_grant(grant);
                        fronts[n].follow(now);
                    }
                    Letter::AskStay(n, ask) if log.has_member(ask.from) => {
                        mail.extend(register.grant(now, ask).map(|g| Letter::Stay(n, g)));
                        let epoch = register
                            .awaiting_resync(ask.from)
                            .filter(|_| log.catalog().since().is_some());
                        let (to, at) = (ask.from, log.state().revision);
                        let tell = |epoch| {
                            Letter::Reply(
                                n,
                                SubscribeReply {
                                    to,
                                    epoch,
                                    seq: None,
                                    revision: at,
                                    scopes: vec![],
                                },
                            )
                        };
                        mail.extend(epoch.map(tell));
                    }
                    Letter::AskStay(_, ask) => {
                        let join = LogEntry::Join {
                            member: ask.from,
                            name: "g".into(),
                            revision: ask.revision,
                        };
                        if log.apply(join).is_ok() {
                            register.on_join(now, ask.from, ask.revision);
                        }
                    }
                    Letter::Stay(n, grant) => fronts[n].stay.on_grant(grant),
                    Letter::Want(n, mut want) => {
                        if plant == Plant::AnyOrder
                            && want.seq <= last[n]
                            && fronts[n].me == want.from
                        {
                            (want.seq, want.scopes, want.full_list) =
                                (last[n] + 1, Vec::new(), None);
                        }
                        last[n] = last[n].max(want.seq);
                        mail.extend(reply(&log, &mut register, &want).map(|r| Letter::Reply(n, r)));
                    }
                    Letter::Reply(n, mut reply) => {
                        let f = &mut fronts[n];
                        if plant == Plant::StaleAnswer {
                            reply.revision = reply.revision.max(f.lease.revision());
                        }
                        f.holding.on_reply(now, reply, f.lease.known_state(), &s);
                    }
                }
                if mail.len() > 40 {
                    mail.swap_remove(rng.usize(0..40));
                }
            }
            _ => {}
        }
        for f in fronts.iter().filter(|f| f.stay.remaining(now) > 0) {
            for scope in scopes {
                let acts = f
                    .holding
                    .effective_settings(&s, scope, f.lease.remaining(now) > 0)
                    .filter(|a| !a.rejected);
                let agreed = log.catalog().get(scope).cloned().unwrap_or_default();
                let class = |f: &Option<Fields>| f.as_ref().and_then(|f| f.get("class").cloned());
                let lanes = |f: &Option<Fields>| f.as_ref().and_then(|f| f.get("lanes").cloned());
                let Some(acts) = acts else { continue };
                if class(&acts.fields) != class(&agreed.fields)
                    || lanes(&acts.fields) > lanes(&agreed.fields)
                {
                    let (me, step) = (f.me, f.lease.revision());
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
        ChangeHistory::after(Revision(3))
            .since(Revision(2))
            .map(|m| m.count()),
        None
    );
    assert_eq!(
        ChangeHistory::after(Revision(3))
            .since(Revision(3))
            .map(|m| m.count()),
        Some(0)
    );
    let m = ScopeChange {
        revision: Revision(4),
        scope: "a".into(),
        record: ScopeRecord::default(),
    };
    assert!(m.memory_bytes() > 0);
}
