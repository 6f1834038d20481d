//! Marks against what the processes may do: a front end that is allowed something may do it at once.

use std::cell::RefCell;
use tansy_audit::Mark;
use tansy_scenario::audit::record_marks;

/// The order of marks and of the action, which is `None`.
fn order(marks: &[Mark]) -> Vec<Option<Mark>> {
    let events = RefCell::new(Vec::new());
    let add = |event| -> Result<(), ()> {
        events.borrow_mut().push(event);
        Ok(())
    };
    record_marks(marks, |mark| add(Some(mark)), || add(None)).expect("nothing fails");
    events.into_inner()
}

#[test]
fn a_worker_takes_work_again_for_all_before_any_list_says_so() {
    let (one, other) = (
        Mark::DrainEnded {
            front: 0,
            worker: 1,
        },
        Mark::DrainEnded {
            front: 1,
            worker: 1,
        },
    );
    assert_eq!(
        order(&[one.clone(), other.clone()]),
        [Some(one), Some(other), None]
    );
}

#[test]
fn a_process_is_awake_before_it_is_woken() {
    assert_eq!(
        order(&[Mark::Resumed { front: 2 }]),
        [Some(Mark::Resumed { front: 2 }), None]
    );
}

#[test]
fn a_worker_leaves_once_a_list_says_so() {
    let leaves = Mark::Draining {
        front: 0,
        worker: 1,
    };
    assert_eq!(order(std::slice::from_ref(&leaves)), [None, Some(leaves)]);
}

#[test]
fn a_failed_action_is_not_marked() {
    let recorded = RefCell::new(Vec::new());
    let failed = record_marks(
        &[Mark::Draining {
            front: 0,
            worker: 1,
        }],
        |mark| {
            recorded.borrow_mut().push(mark);
            Ok(())
        },
        || Err("no list"),
    );
    assert_eq!(
        (failed, recorded.into_inner()),
        (Err("no list"), Vec::new())
    );
}
