//! Compares the timer wheel with an ordered map.

use proptest::prelude::*;
use std::collections::BTreeMap;
use tansy_timer_wheel::Wheel;

#[derive(Clone, Debug)]
enum Step {
    Set(i64),
    Clear(usize),
    Advance(i64),
}

fn step() -> impl Strategy<Value = Step> {
    let delay = prop_oneof![
        0..2_000i64,
        0..5_000_000i64,
        0..400_000_000_000i64,
        Just(i64::MAX / 2)
    ];
    prop_oneof![
        4 => delay.clone().prop_map(Step::Set),
        2 => (0usize..64).prop_map(Step::Clear),
        3 => prop_oneof![0..3_000i64, 0..100_000i64, 0..90_000_000i64].prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// The same timers expire in the same order, never early and at most one tick late.
    #[test]
    fn agrees_with_an_ordered_map(start in prop_oneof![Just(0i64), 0..1i64 << 45], steps in
        proptest::collection::vec(step(), 1..120)) {
        let tick = 1_000;
        let mut wheel = Wheel::new(start, tick);
        let mut reference = BTreeMap::new();
        let mut now = start;
        let mut handles = Vec::new();
        for (value, step) in steps.into_iter().enumerate() {
            match step {
                Step::Set(delay) => {
                    let at = now.saturating_add(delay);
                    handles.push((wheel.set(at, value), at, value));
                    reference.insert((at, value), value);
                }
                Step::Clear(choice) if !handles.is_empty() => {
                    let (handle, at, value) = handles[choice % handles.len()];
                    prop_assert_eq!(wheel.clear(handle), reference.remove(&(at, value)));
                }
                Step::Clear(_) => {}
                Step::Advance(elapsed) => {
                    now += elapsed;
                    let mut due = Vec::new();
                    wheel.expire(now, |value| due.push(value));
                    let mut expected = Vec::new();
                    while let Some((key, value)) = reference.pop_first() {
                        let (at, _) = key;
                        // Due once the first tick at or after its time has begun.
                        if at.div_euclid(tick) + i64::from(at % tick != 0) > now.div_euclid(tick) {
                            reference.insert(key, value);
                            break;
                        }
                        expected.push(value);
                    }
                    prop_assert_eq!(due, expected);
                }
            }
            prop_assert_eq!(wheel.len(), reference.len());
            if let (Some(next_due), Some(((at, _), _))) =
                (wheel.next_due(), reference.first_key_value())
            {
                prop_assert!(
                    next_due <= (*at).max(now) + tick,
                    "next_due {} is after the first due time {}",
                    next_due,
                    at
                );
            }
            prop_assert_eq!(wheel.next_due().is_none(), reference.is_empty());
        }
    }
}
