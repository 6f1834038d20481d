//! Counters of the settings' versions and of the fleet's state.
//!
//! They have a module of their own so that leases, scopes and the log can use them without importing each other.

use serde::{Deserialize, Serialize};

/// The number of a version of the settings. The first version is 1; 0 stands for no version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// The number of a revision of the fleet's state; each change of the state increments it by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision after this one.
    pub fn next(self) -> Revision {
        Revision(self.0.saturating_add(1))
    }
}
