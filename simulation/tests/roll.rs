//! Whole rolls: what harms is stopped, what changes nothing is not, a loss that both sides share is blamed on neither.

use tansy_simulation::roll::{many, Harm, Play};

fn stopped(harm: Harm) -> (f64, f64) {
    let s = many(
        &Play {
            harm,
            ..Play::default()
        },
        1,
        10,
        2,
    );
    (s.stopped, s.stages[0])
}

#[test]
fn what_changes_nothing_is_done() {
    for harm in [Harm::None, Harm::ZoneLost, Harm::Doubles] {
        assert_eq!(stopped(harm).0, 0.0, "{harm:?}");
    }
}

#[test]
fn what_harms_is_stopped_in_the_first_stage() {
    let harms = [
        Harm::All(0.03),
        Harm::All(0.1),
        Harm::Class(0.1),
        Harm::Zone(0.05),
        Harm::Slow(0.03),
        Harm::Leak(1.0),
        // It refuses cheaply, and pushes what it refuses onto its siblings.
        Harm::Shed(0.05),
    ];
    for harm in harms {
        assert_eq!(stopped(harm), (1.0, 1.0), "{harm:?}");
    }
}

#[test]
fn what_harms_after_two_minutes_is_stopped_before_the_last_stage() {
    let s = many(
        &Play {
            harm: Harm::Late(0.05),
            ..Play::default()
        },
        1,
        10,
        2,
    );
    assert_eq!((s.stopped, s.stages[2] + s.stages[3]), (1.0, 0.0), "{s:?}");
}

#[test]
fn a_roll_depends_on_its_seed_alone() {
    let play = Play {
        harm: Harm::All(0.03),
        fronts: 9,
        ..Play::default()
    };
    let text = |threads| serde_json::to_string(&many(&play, 3, 6, threads)).expect("a summary");
    assert_eq!(text(1), text(4));
}
