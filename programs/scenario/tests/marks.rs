//! Order of marks and actions: a front end may act at once on a change that allows something, so such a mark comes first.

use std::cell::RefCell;
use tansy_audit::Mark;
use tansy_scenario::audit::record_marks;

/// The order in which marks and the action, as `None`, happen.
fn recorded_order(marks: &[Mark]) -> Vec<Option<Mark>> {
    let events = RefCell::new(Vec::new());
    let add = |event| -> Result<(), ()> {
        events.borrow_mut().push(event);
        Ok(())
    };
    record_marks(marks, |mark| add(Some(mark)), || add(None)).expect("nothing fails");
    events.into_inner()
}

#[test]
fn a_worker_is_marked_as_returned_for_all_before_any_list_changes() {
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
        recorded_order(&[one.clone(), other.clone()]),
        [Some(one), Some(other), None]
    );
}

#[test]
fn a_process_is_marked_as_resumed_before_it_is_resumed() {
    assert_eq!(
        recorded_order(&[Mark::Resumed { front: 2 }]),
        [Some(Mark::Resumed { front: 2 }), None]
    );
}

#[test]
fn a_worker_is_marked_as_draining_after_the_list_has_changed() {
    let draining = Mark::Draining {
        front: 0,
        worker: 1,
    };
    assert_eq!(
        recorded_order(std::slice::from_ref(&draining)),
        [None, Some(draining)]
    );
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
