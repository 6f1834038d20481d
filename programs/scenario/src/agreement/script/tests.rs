//! Generated scripts and versions for a seed stay the same.

use super::*;
use crate::agreement::versions;
use crate::testing::fnv1a;

/// Arguments, and hashes of what an earlier version generated for them.
struct Recorded {
    seed: u64,
    front_ends: usize,
    rounds: usize,
    steps: usize,
    steps_hash: u64,
    versions_hash: u64,
}

const fn recorded(
    (seed, front_ends, rounds): (u64, usize, usize),
    steps: usize,
    steps_hash: u64,
    versions_hash: u64,
) -> Recorded {
    Recorded {
        seed,
        front_ends,
        rounds,
        steps,
        steps_hash,
        versions_hash,
    }
}

const RECORDED: [Recorded; 6] = [
    recorded((1, 7, 5), 77, 0x0c3d_b7f4_681c_2e87, 0xe7e3_c24b_3df8_bb65),
    recorded((2, 7, 5), 69, 0x9573_16a9_1736_50a1, 0x63a9_4ae0_bc2e_dde2),
    recorded((3, 4, 3), 43, 0xa876_9098_34af_2766, 0xa8dd_c0f5_fb0d_1da2),
    recorded((4, 4, 10), 96, 0xd92f_8ce6_33e8_b4db, 0xc4d8_caa1_92aa_7856),
    recorded(
        (5, 12, 10),
        240,
        0x23b1_233f_ff56_f150,
        0xe050_bef3_cd31_9929,
    ),
    recorded(
        (30, 7, 10),
        138,
        0xd2ed_b1c0_202e_d6d7,
        0xd8ab_6682_71d1_addb,
    ),
];

fn options(recorded: &Recorded) -> ScenarioOptions {
    ScenarioOptions {
        seed: recorded.seed,
        front_ends: recorded.front_ends,
        voters: 3,
        rounds: recorded.rounds,
        rate: 1,
        changes: true,
        outsider: false,
        log_folder: None,
    }
}

#[test]
fn a_seed_gives_the_recorded_steps_and_times() {
    for recorded in &RECORDED {
        let script = generate(&options(recorded));
        let lines = script
            .iter()
            .map(|timed| format!("{:?} {}\n", timed.at, timed.step));
        let text: String = lines.collect();
        assert_eq!(script.len(), recorded.steps, "seed {}", recorded.seed);
        assert_eq!(fnv1a(&text), recorded.steps_hash, "seed {}", recorded.seed);
    }
}

#[test]
fn a_seed_gives_the_recorded_versions() {
    for recorded in &RECORDED {
        let versions = versions::generate(&options(recorded));
        let lines = versions.iter().map(|version| {
            format!(
                "{} {} {}\n",
                version.long_deadline, version.safe, version.objective_ms
            )
        });
        let text: String = lines.collect();
        assert_eq!(
            fnv1a(&text),
            recorded.versions_hash,
            "seed {}",
            recorded.seed
        );
    }
}
