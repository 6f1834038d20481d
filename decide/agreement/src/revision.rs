//! The two counters that everything else refers to: versions of the settings and revisions of the fleet's state.
//!
//! They stand in a module of their own so that leases, scopes and the log can name them without importing each other.

use serde::{Deserialize, Serialize};

/// A version of the settings; the first is 1, and 0 means that there is none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// A revision of the fleet's state; each change of the state increments it by one.
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
