//! Constructors that the tests share.

use tansy_rollout::{RolloutChange, Target};

/// A target with these fields.
pub fn target(name: &str, zone: &str, is_voter: bool) -> Target {
    Target {
        name: name.into(),
        zone: zone.into(),
        is_voter,
    }
}

/// A change to the program with this label and path.
pub fn program(label: &str, path: &str) -> RolloutChange {
    RolloutChange::Program {
        label: label.into(),
        path: path.into(),
    }
}
