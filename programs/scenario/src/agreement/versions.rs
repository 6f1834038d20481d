//! The versions of the settings that are proposed: which fields differ follows from the seed.

use super::options::ScenarioOptions;
use crate::fleet::voter_list;
use std::net::SocketAddr;
use tansy_audit::contradictions::ObservedSettings;

const TEMPLATE: &str = include_str!("settings.cue");
/// Added to the seed, so that versions and faults are drawn independently.
const SEED_MASK: u64 = 0xa9ee;
/// Deadlines of the two classes that the observed function may have, as in the template, microseconds.
const LONG_DEADLINE_US: i64 = 3_000_000;
const SHORT_DEADLINE_US: i64 = 2_000_000;
const FIRST_OBJECTIVE_MS: u32 = 400;
const OBJECTIVE_STEP_MS: u32 = 10;

/// The fields in which versions differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SettingsVersion {
    /// The observed function with a changing class has the one with the long deadline (a strict field).
    pub long_deadline: bool,
    /// Calls of the observed function whose answers are lost may be repeated (a joint field).
    pub safe: bool,
    /// The latency objective of the other calls, milliseconds (a free field).
    pub objective_ms: u32,
}

impl SettingsVersion {
    const FIRST: SettingsVersion = SettingsVersion {
        long_deadline: true,
        safe: true,
        objective_ms: FIRST_OBJECTIVE_MS,
    };

    fn draw_next(self, rng: &mut fastrand::Rng) -> SettingsVersion {
        let mut next = self;
        match rng.u32(0..4) {
            0 => next.long_deadline = !self.long_deadline,
            1 => next.safe = !self.safe,
            2 => {
                next.long_deadline = !self.long_deadline;
                next.safe = !self.safe;
            }
            _ => next.objective_ms += OBJECTIVE_STEP_MS,
        }
        next
    }

    /// What the auditor has to know of it.
    pub fn claim(self) -> ObservedSettings {
        ObservedSettings {
            deadline: if self.long_deadline {
                LONG_DEADLINE_US
            } else {
                SHORT_DEADLINE_US
            },
            safe: self.safe,
        }
    }

    /// The text of its settings.
    pub fn text(self, options: &ScenarioOptions, peers: &[SocketAddr]) -> String {
        let class = if self.long_deadline { "long" } else { "short" };
        let effect = if self.safe { "safe" } else { "unsafe" };
        TEMPLATE
            .replace("FLIP", class)
            .replace("EFFECT", effect)
            .replace("AIM", &format!("{}ms", self.objective_ms))
            .replace("SIBLINGS", &options.front_ends.to_string())
            .replace("SEATS", &voter_list(peers, options.voters))
    }
}

/// The first version, and one for each round.
pub(super) fn draw(options: &ScenarioOptions) -> Vec<SettingsVersion> {
    let mut rng = fastrand::Rng::with_seed(options.seed ^ SEED_MASK);
    let mut versions = vec![SettingsVersion::FIRST];
    for round in 0..options.rounds {
        versions.push(versions[round].draw_next(&mut rng));
    }
    versions
}
