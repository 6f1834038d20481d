//! Front ends and changes that several tests use.

use tansy_rollout::{RolloutChange, Target};

/// A front end of a rollout's plan.
pub fn target(name: &str, zone: &str, is_voter: bool) -> Target {
    Target {
        name: name.into(),
        zone: zone.into(),
        is_voter,
    }
}

/// A change to the program of this label and path.
pub fn program(label: &str, path: &str) -> RolloutChange {
    RolloutChange::Program {
        label: label.into(),
        path: path.into(),
    }
}
