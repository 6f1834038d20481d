//! Generated calls for a seed stay the same.

use super::*;
use crate::load::plan::LoadFunction;
use crate::testing::fnv1a;
use std::net::SocketAddr;

/// `simple_calls` and the hash of the calls that an earlier version generated.
const RECORDED: [(bool, u64); 2] = [
    (false, 0x07b2_c227_3424_5507),
    (true, 0x6ab9_096f_2a23_f138),
];

fn plan(simple_calls: bool) -> LoadPlan {
    let function = |name: &str, timeout_us| LoadFunction {
        name: name.into(),
        timeout_us,
    };
    LoadPlan {
        front_ends: vec![SocketAddr::from(([127, 0, 0, 1], 1)); 3],
        functions: vec![function("a", 1000), function("b", 2000), function("c", 0)],
        work_ms: 5..=40,
        rate: 1,
        seconds: 1.0,
        seed: 9,
        id_prefix: "call",
        simple_calls,
        stop: None,
    }
}

#[test]
fn a_seed_gives_the_recorded_calls() {
    for (simple_calls, recorded) in RECORDED {
        let plan = plan(simple_calls);
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let mut text = String::new();
        for _ in 0..500 {
            let call = PlannedCall::generate(&plan, 12, &mut rng);
            text += &format!(
                "{} {} {} {} {} {} {:?} {:?}\n",
                call.first_link,
                call.function,
                call.timeout_us,
                call.streamed,
                call.messages,
                call.work_ms,
                call.cancel_after,
                call.read_delay
            );
        }
        assert_eq!(fnv1a(&text), recorded, "simple calls: {simple_calls}");
    }
}
