//! The wheel against an ordered map.

use proptest::prelude::*;
use std::collections::BTreeMap;
use tansy_timer_wheel::Wheel;

#[derive(Clone, Debug)]
enum Step {
    Set(i64),
    Clear(usize),
    Pass(i64),
}

fn step() -> impl Strategy<Value = Step> {
    let far = prop_oneof![
        0..2_000i64,
        0..5_000_000i64,
        0..400_000_000_000i64,
        Just(i64::MAX / 2)
    ];
    prop_oneof![
        4 => far.clone().prop_map(Step::Set),
        2 => (0usize..64).prop_map(Step::Clear),
        3 => prop_oneof![0..3_000i64, 0..100_000i64, 0..90_000_000i64].prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Against an ordered map: the same values, never early, at most a tick late, in the same order.
    #[test]
    fn agrees_with_an_ordered_map(start in prop_oneof![Just(0i64), 0..1i64 << 45], steps in
        proptest::collection::vec(step(), 1..120)) {
        let tick = 1_000;
        let mut wheel = Wheel::new(start, tick);
            let mut plain = BTreeMap::new();
        let mut now = start;
            let mut handles = Vec::new();
        for (value, step) in steps.into_iter().enumerate() {
            match step {
                Step::Set(delay) => {
                    let at = now.saturating_add(delay);
                    handles.push((wheel.set(at, value), at, value));
                    plain.insert((at, value), value);
                }
                Step::Clear(choice) if !handles.is_empty() => {
                    let (handle, at, value) = handles[choice % handles.len()];
                    prop_assert_eq!(wheel.clear(handle), plain.remove(&(at, value)));
                }
                Step::Clear(_) => {}
                Step::Pass(elapsed) => {
                    now += elapsed;
                    let mut due = Vec::new();
                    wheel.expire(now, |value| due.push(value));
                    let mut expected = Vec::new();
                    while let Some((key, value)) = plain.pop_first() {
                        let (at, _) = key;
                        // Due once the tick that follows it has begun.
                        if at.div_euclid(tick) + i64::from(at % tick != 0) > now.div_euclid(tick) {
                            plain.insert(key, value);
                            break;
                        }
                        expected.push(value);
                    }
                    prop_assert_eq!(due, expected);
                }
            }
            prop_assert_eq!(wheel.len(), plain.len());
            if let (Some(next), Some(((at, _), _))) = (wheel.next_due(), plain.first_key_value()) {
                prop_assert!(next <= (*at).max(now) + tick, "next {} after the first due {}", next, at);
            }
            prop_assert_eq!(wheel.next_due().is_none(), plain.is_empty());
        }
    }
}
