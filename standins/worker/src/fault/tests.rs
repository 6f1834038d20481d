//! Setting and clearing faults by their names on the control port.

use super::Faults;

#[test]
fn faults_are_set_and_cleared_by_name_and_invalid_ones_are_rejected() {
    let faults = Faults::default();
    for word in [
        "silent",
        "silent-after=2",
        "slow=2.5",
        "status=14",
        "hollow",
        "hollow=12",
        "boast",
        "lose=f",
    ] {
        faults.set(word).unwrap();
    }
    assert_eq!(
        (
            faults.silent.get(),
            faults.silent_after.get(),
            faults.slowdown_factor()
        ),
        (true, Some(2), 2.5)
    );
    faults.set("clear").unwrap();
    assert_eq!(
        (
            faults.silent.get(),
            faults.silent_after.get(),
            faults.slowdown_factor(),
            faults.status.get()
        ),
        (false, None, 1.0, None)
    );
    assert!(
        !faults.echo_request.get()
            && !faults.false_load_success.get()
            && faults.fixed_status.get().is_none()
            && faults.lost_function.borrow().is_none()
    );
    for word in [
        "",
        "quiet",
        "slow=0",
        "slow=nan",
        "cut-after",
        "cut-after=x",
        "lose",
        "lose=",
    ] {
        assert!(faults.set(word).is_err(), "{word:?}");
    }
}
