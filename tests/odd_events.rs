//! Long odd but legal event sequences with a fixed seed, judged by a checker that knows the rules and nothing
//! of the router.

#[path = "odd_events/checker.rs"]
mod checker;
#[path = "odd_events/sequence.rs"]
mod sequence;

use sequence::Sequence;

#[test]
fn odd_legal_sequences_break_no_rule() {
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
        "the sequences reach the rules: {sends} {answers}"
    );
}
