//! The words of faults.

use super::Faults;

#[test]
fn faults_are_set_by_words_and_bad_words_are_refused() {
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
            faults.slowness()
        ),
        (true, Some(2), 2.5)
    );
    faults.set("clear").unwrap();
    assert_eq!(
        (
            faults.silent.get(),
            faults.silent_after.get(),
            faults.slowness(),
            faults.status.get()
        ),
        (false, None, 1.0, None)
    );
    assert!(
        !faults.hollow.get()
            && !faults.boast.get()
            && faults.hollow_status.get().is_none()
            && faults.lose.borrow().is_none()
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
