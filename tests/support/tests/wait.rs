//! `poll_until` repeats a check until it succeeds, and panics with the last state after the time limit.

use std::time::Duration;
use tansy_test_support::wait::poll_until;

#[test]
fn a_check_is_repeated_until_it_succeeds() {
    let mut checks = 0;
    let result = poll_until(Duration::from_secs(60), || {
        checks += 1;
        if checks == 3 {
            Ok("ready")
        } else {
            Err(checks)
        }
    });
    assert_eq!((result, checks), ("ready", 3));
}

#[test]
#[should_panic(expected = "not ready")]
fn a_check_that_never_succeeds_panics_with_its_state() {
    poll_until::<(), _>(Duration::ZERO, || Err("not ready"));
}
