//! Stays under random histories of one seat and its guests: whoever acts on a step while the fleet goes on past it is found.

use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::{LeaseTiming, Member};
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry, Revision};
use tansy_agreement::session::{Session, SessionTable};

const SPAN: i64 = 1_000_000;

struct Guest {
    stay: Session,
    me: Member,
    /// The step that it acts on; it follows the log when it hears of it.
    at: Revision,
    rate: f64,
}

/// One history; the number of strict steps taken, or what broke.
fn history(seed: u64, joins_behind: bool, forgets_leavers: bool) -> Result<u64, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let terms = LeaseTiming {
        span: SPAN,
        drift_ppm: 10_000,
    };
    let fields = |n: i64| Fields::from([("classes.a.group".to_string(), Value::Int(n))]);
    let mut log = Log::new(fields(0), []);
    let mut register = SessionTable::new(terms, [], 0);
    let mut guests: Vec<Guest> = (0..3)
        .map(|n| {
            let me = Member {
                id: n,
                incarnation: 1,
            };
            Guest {
                stay: Session::new(terms, me),
                me,
                at: Revision(0),
                rate: 0.99 + rng.f64() * 0.02,
            }
        })
        .collect();
    let (mut now, mut steps, mut version) = (0i64, 0u64, 0i64);
    for _ in 0..400 {
        now += rng.i64(0..SPAN / 4);
        let step = log.state().revision;
        let g = &mut guests[rng.usize(0..3)];
        let local = |g: &Guest, now: i64| (now as f64 * g.rate) as i64;
        match rng.u32(0..12) {
            // It hears of the log, as it does by leases, and acts on that from then on.
            0..=2 => g.at = step,
            // It asks; the answer takes its time, or never comes.
            3..=6 => {
                let asked = local(g, now);
                let ask = g.stay.request(asked, g.at);
                let grant = if log.has_member(ask.from) {
                    register.grant(now, ask)
                } else {
                    let at = if joins_behind { step } else { ask.revision };
                    let join = LogEntry::Join {
                        member: ask.from,
                        name: "g".into(),
                        revision: at,
                    };
                    match log.apply(join) {
                        Ok(_) => register.on_join(now, ask.from, ask.revision),
                        Err(e) => assert_eq!(e, EntryRejection::Behind),
                    }
                    None
                };
                if let Some(grant) = grant.filter(|_| rng.u32(0..5) > 0) {
                    now += rng.i64(0..SPAN / 2);
                    g.stay.on_grant(grant);
                }
            }
            // It is killed and back as a later process, which knows nothing.
            7 => {
                g.me.incarnation += 1;
                (g.stay, g.at) = (Session::new(terms, g.me), Revision(0));
            }
            // The seat starts again.
            8 => register = SessionTable::new(terms, log.roster().map(|r| r.0), now),
            // Whose stay is out leaves.
            9 => {
                for member in register.expired(now).collect::<Vec<_>>() {
                    if !forgets_leavers {
                        let left = log.apply(LogEntry::Leave { member }).expect("it may leave");
                        assert_eq!(left, ApplyOutcome::Roster);
                    }
                    register.remove(member);
                }
            }
            // A change of a strict field goes on, if nobody on the roster is behind.
            _ => {
                if !register.all_at_least(step) {
                    continue;
                }
                if log.has_open_changes() {
                    log.apply(LogEntry::Advance { from: step })
                        .expect("a step to take");
                } else {
                    version += 1;
                    let base = log.state().in_force.version;
                    let entry = LogEntry::Propose {
                        id: 0,
                        base,
                        fields: fields(version),
                        reason: String::new(),
                    };
                    log.apply(entry).expect("a change");
                }
                steps += 1;
            }
        }
        // Nobody with a stay acts on a step that the fleet has left behind by more than one.
        let step = log.state().revision;
        for g in &guests {
            if g.stay.remaining(local(g, now)) > 0 && g.at.0 + 1 < step.0 {
                return Err(format!(
                    "seed {seed}: at step {} of {} with a stay",
                    g.at.0, step.0
                ));
            }
        }
    }
    Ok(steps)
}

#[test]
fn nobody_with_a_stay_is_left_behind() {
    let steps: u64 = (0..4000)
        .map(|seed| history(seed, false, false).unwrap_or_else(|e| panic!("{e}")))
        .sum();
    assert!(steps > 20_000, "the histories get somewhere: {steps} steps");
}

#[test]
fn each_mistake_leaves_somebody_behind() {
    // On the roster while behind; or off the register with no word of it in the log that a seat starts from.
    assert!((0..4000).any(|seed| history(seed, true, false).is_err()));
    assert!((0..4000).any(|seed| history(seed, false, true).is_err()));
}
