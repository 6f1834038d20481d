//! Runs the router on long pseudo-random sequences of unusual but valid events, and checks its actions against its
//! guarantees.

#[path = "odd_events/checker.rs"]
mod checker;
#[path = "odd_events/sequence.rs"]
mod sequence;

use sequence::Sequence;

#[test]
fn unusual_valid_sequences_violate_no_guarantee() {
    let mut rng = fastrand::Rng::with_seed(20_261_128);
    let (mut sends, mut answers) = (0, 0);
    for round in 0..24 {
        let mut sequence = Sequence::new(&mut rng, round);
        (0..2_000).for_each(|step| sequence.step(step));
        sends += sequence.sends;
        answers += sequence.answers;
    }
    assert!(
        sends > 500 && answers > 2_000,
        "too few actions to test the guarantees: {sends} sends, {answers} answers"
    );
}
