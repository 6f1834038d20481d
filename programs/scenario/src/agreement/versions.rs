//! The random versions of the settings that are proposed.

use super::options::ScenarioOptions;
use crate::fleet::voter_list;
use std::net::SocketAddr;
use tansy_audit::contradictions::ObservedSettings;

const SETTINGS_TEMPLATE: &str = include_str!("settings.cue");
/// XORed with the seed, so that versions and faults use different random sequences.
const SEED_MASK: u64 = 0xa9ee;
/// Deadlines of the classes `long` and `short` in the settings template, microseconds.
const LONG_DEADLINE_US: i64 = 3_000_000;
const SHORT_DEADLINE_US: i64 = 2_000_000;
const FIRST_OBJECTIVE_MS: u32 = 400;
const OBJECTIVE_STEP_MS: u32 = 10;

/// The fields in which versions differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SettingsVersion {
    /// Whether the observed function with the changing class has class `long` (a strict field).
    pub long_deadline: bool,
    /// Whether the observed function whose answers are lost is safe to retry (a joint field).
    pub safe: bool,
    /// Latency objective of class `read` (a free field).
    pub objective_ms: u32,
}

impl SettingsVersion {
    const FIRST: SettingsVersion = SettingsVersion {
        long_deadline: true,
        safe: true,
        objective_ms: FIRST_OBJECTIVE_MS,
    };

    fn generate_next(self, rng: &mut fastrand::Rng) -> SettingsVersion {
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

    /// The version's observable behaviour, for the audit.
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

    /// The settings file of the version.
    pub fn text(self, options: &ScenarioOptions, peers: &[SocketAddr]) -> String {
        let class = if self.long_deadline { "long" } else { "short" };
        let effect = if self.safe { "safe" } else { "unsafe" };
        SETTINGS_TEMPLATE
            .replace("FLIP", class)
            .replace("EFFECT", effect)
            .replace("AIM", &format!("{}ms", self.objective_ms))
            .replace("SIBLINGS", &options.front_ends.to_string())
            .replace("SEATS", &voter_list(peers, options.voters))
    }
}

/// Generates the first version and one for each round.
pub(super) fn generate(options: &ScenarioOptions) -> Vec<SettingsVersion> {
    let mut rng = fastrand::Rng::with_seed(options.seed ^ SEED_MASK);
    let mut versions = vec![SettingsVersion::FIRST];
    for round in 0..options.rounds {
        versions.push(versions[round].generate_next(&mut rng));
    }
    versions
}
