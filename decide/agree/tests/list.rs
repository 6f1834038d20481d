//! Lists that disagree and lag: drains first, in any order, heard any number of times.

use proptest::prelude::*;
use std::collections::BTreeMap;
use tansy_agree::list::{Line, List, Roll, Standing, Worker};
use tansy_agree::log::Step;

fn worker(n: u8) -> Worker {
    Worker { name: format!("w-{n}"), address: "10.0.0.1:80".into() }
}

fn line(n: u8, incarnation: u64, standing: Standing) -> Line {
    Line { worker: worker(n), incarnation, standing }
}

fn lists() -> impl Strategy<Value = Vec<List>> {
    let standing = prop_oneof![Just(Standing::Ready), Just(Standing::Draining), Just(Standing::Gone)];
    let line = (0u8..4, 1u64..4, standing).prop_map(|(n, i, s)| line(n, i, s));
    let list = (0u64..2, 1u64..6, any::<bool>(), proptest::collection::vec(line, 0..5));
    let list = list.prop_map(|(source, version, full, lines)| List { source, version, full, lines });
    proptest::collection::vec(list, 0..12)
}

fn of(lists: &[List]) -> Roll {
    let mut roll = Roll::default();
    lists.iter().for_each(|l| {
        roll.take(l);
    });
    roll
}

fn standings(roll: &Roll) -> BTreeMap<Worker, (u64, Standing)> {
    roll.workers().map(|(w, k)| (w.clone(), (k.incarnation, k.standing))).collect()
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in lists(), b in lists(), c in lists()) {
        let (a, b, c) = (of(&a), of(&b), of(&c));
        let join = |x: &Roll, y: &Roll| {
            let mut z = x.clone();
            z.merge(y);
            z
        };
        prop_assert_eq!(join(&a, &b), join(&b, &a));
        prop_assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        prop_assert_eq!(join(&a, &a), a);
    }

    #[test]
    fn a_process_never_goes_back_whatever_is_heard_after(first in lists(), then in lists(), sibling in lists()) {
        let mut roll = of(&first);
        let before = standings(&roll);
        then.iter().for_each(|l| {
            roll.take(l);
        });
        roll.merge(&of(&sibling));
        for (w, (incarnation, standing)) in before {
            let now = standings(&roll)[&w];
            prop_assert!(now >= (incarnation, standing), "{:?}: {:?} after {:?}", w, now, (incarnation, standing));
        }
    }

    #[test]
    fn a_drain_that_anyone_heard_holds_for_all_once_they_have_met(all in lists(), cut in 0usize..12) {
        let cut = cut.min(all.len());
        let (mut a, mut b) = (of(&all[..cut]), of(&all[cut..]));
        let drained = |r: &Roll| -> Vec<(Worker, u64)> {
            let out = r.workers().filter(|(_, k)| k.standing > Standing::Ready);
            out.map(|(w, k)| (w.clone(), k.incarnation)).collect()
        };
        let told: Vec<(Worker, u64)> = drained(&a).into_iter().chain(drained(&b)).collect();
        a.merge(&b);
        b.merge(&a);
        prop_assert_eq!(&a, &b);
        for (w, incarnation) in told {
            let (now, standing) = standings(&a)[&w];
            prop_assert!(now > incarnation || standing > Standing::Ready);
        }
    }
}

#[test]
fn an_older_list_brings_nothing_back_but_its_drains_count() {
    let list = |version, lines| List { source: 1, version, full: true, lines };
    let mut roll = Roll::default();
    roll.take(&list(5, vec![line(1, 1, Standing::Ready), line(2, 1, Standing::Ready)]));
    roll.take(&list(6, vec![line(2, 1, Standing::Ready)]));
    assert_eq!(standings(&roll)[&worker(1)], (1, Standing::Gone), "left out of a full list");
    roll.take(&list(
        4,
        vec![line(1, 1, Standing::Ready), line(2, 1, Standing::Draining), line(3, 1, Standing::Ready)],
    ));
    assert_eq!(standings(&roll)[&worker(1)], (1, Standing::Gone));
    assert_eq!(standings(&roll)[&worker(2)], (1, Standing::Draining), "the drain counts");
    assert!(!standings(&roll).contains_key(&worker(3)), "the arrival does not");
    roll.take(&list(7, vec![line(1, 2, Standing::Ready), line(2, 1, Standing::Ready)]));
    assert_eq!(standings(&roll)[&worker(1)], (2, Standing::Ready), "a new process is another matter");
    assert_eq!(standings(&roll)[&worker(2)], (1, Standing::Draining), "the drained one has to start again");
}

#[test]
fn what_one_source_leaves_out_stays_while_another_names_it() {
    let list = |source, version, lines| List { source, version, full: true, lines };
    let mut roll = Roll::default();
    roll.take(&list(1, 1, vec![line(1, 1, Standing::Ready)]));
    roll.take(&list(2, 1, vec![line(1, 1, Standing::Ready)]));
    roll.take(&list(1, 2, vec![]));
    assert_eq!(standings(&roll)[&worker(1)], (1, Standing::Ready));
    roll.take(&list(2, 2, vec![]));
    assert_eq!(standings(&roll)[&worker(1)], (1, Standing::Gone));
}

#[test]
fn what_is_gone_is_forgotten_only_when_nobody_can_bring_it_back() {
    let list = |version, lines| List { source: 1, version, full: true, lines };
    let mut roll = Roll::default();
    roll.take(&list(1, vec![line(1, 1, Standing::Ready)]));
    roll.take(&list(2, vec![]));
    assert_eq!(roll.forget(Step(9)), 0, "not marked yet");
    roll.mark(Step(3));
    assert_eq!(roll.forget(Step(3)), 0, "some may not have reached that step");
    assert_eq!(roll.forget(Step(4)), 1);
    roll.take(&list(1, vec![line(1, 1, Standing::Ready)]));
    assert_eq!(roll.workers().count(), 0, "the old list brings no arrival");
}
