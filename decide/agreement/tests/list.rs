//! Workers that leave: told in any order and any number of times, by anyone, to the same; never taken back.

use proptest::prelude::*;
use tansy_agreement::list::{Leaving, Line, Standing, Worker, KEPT_FOR};

fn worker(n: u8) -> Worker {
    Worker {
        name: format!("w{n}"),
        address: format!("10.0.0.{n}:1"),
    }
}

fn lines() -> impl Strategy<Value = Vec<Line>> {
    let standing = prop_oneof![
        Just(Standing::Ready),
        Just(Standing::Draining),
        Just(Standing::Gone)
    ];
    let line = (0u8..4, 0u64..4, standing).prop_map(|(n, incarnation, standing)| Line {
        worker: worker(n),
        incarnation,
        standing,
    });
    prop::collection::vec(line, 0..20)
}

fn told(lines: &[Line]) -> Vec<Line> {
    let mut leaving = Leaving::default();
    leaving.hear(0, lines.iter().cloned());
    leaving.lines().collect()
}

proptest! {
    #[test]
    fn the_order_and_the_number_of_times_change_nothing(all in lines(), seed in any::<u64>()) {
        let mut other: Vec<Line> = all.iter().chain(&all).cloned().collect();
        fastrand_shuffle(&mut other, seed);
        prop_assert_eq!(told(&all), told(&other));
    }

    #[test]
    fn what_is_told_on_is_all_that_another_needs(all in lines()) {
        let (mut first, mut second) = (Leaving::default(), Leaving::default());
        for line in &all {
            let new = first.hear(0, [line.clone()]);
            second.hear(0, new);
        }
        prop_assert_eq!(first.lines().collect::<Vec<_>>(), second.lines().collect::<Vec<_>>());
        prop_assert!(first.hear(0, all).is_empty(), "told again it is no news");
    }

    #[test]
    fn a_drain_holds_for_its_process_whatever_a_list_says(all in lines()) {
        let mut leaving = Leaving::default();
        leaving.hear(0, all.clone());
        for line in all.iter().filter(|l| l.standing != Standing::Ready) {
            let taken = leaving.standing(&line.worker, line.incarnation, Standing::Ready);
            prop_assert!(taken >= line.standing, "{:?} is taken for {:?}", line, taken);
            // Of a later process nothing was said that binds it, unless it was told of itself.
            let later = leaving.standing(&line.worker, 9, Standing::Ready);
            prop_assert_eq!(later, Standing::Ready);
        }
    }
}

fn fastrand_shuffle(lines: &mut [Line], mut seed: u64) {
    for n in (1..lines.len()).rev() {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        lines.swap(n, (seed >> 33) as usize % (n + 1));
    }
}

#[test]
fn an_older_process_is_gone_once_a_later_one_was_told_of() {
    let mut leaving = Leaving::default();
    let line = |incarnation, standing| Line {
        worker: worker(1),
        incarnation,
        standing,
    };
    leaving.hear(0, [line(2, Standing::Draining)]);
    assert_eq!(
        leaving.standing(&worker(1), 1, Standing::Ready),
        Standing::Gone
    );
    assert_eq!(
        leaving.standing(&worker(1), 2, Standing::Ready),
        Standing::Draining
    );
    assert_eq!(
        leaving.standing(&worker(1), 2, Standing::Gone),
        Standing::Gone
    );
    assert_eq!(
        leaving.standing(&worker(1), 3, Standing::Ready),
        Standing::Ready
    );
    // The same name elsewhere is another worker.
    let moved = Worker {
        address: "10.0.0.9:1".into(),
        ..worker(1)
    };
    assert_eq!(
        leaving.standing(&moved, 1, Standing::Ready),
        Standing::Ready
    );
}

#[test]
fn what_nobody_tells_any_more_is_forgotten_after_the_stated_time_alone() {
    let mut leaving = Leaving::default();
    let line = Line {
        worker: worker(1),
        incarnation: 0,
        standing: Standing::Gone,
    };
    leaving.hear(0, [line.clone()]);
    leaving.hear(KEPT_FOR / 2, [line]);
    leaving.forget(KEPT_FOR + KEPT_FOR / 4);
    assert_eq!(leaving.lines().count(), 1);
    leaving.forget(2 * KEPT_FOR);
    assert_eq!(leaving.lines().count(), 0);
}
