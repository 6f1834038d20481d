//! The identity of a front end's process, and the clock that leases are measured with.

use serde::{Deserialize, Serialize};

/// Microseconds of the caller's monotonic clock, which must advance while the machine sleeps.
pub type Time = i64;

/// The largest number of members on the roster.
pub const MAX_MEMBERS: usize = 1 << 15;

/// A front end's process. A process that restarts under the same name has a larger incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Member {
    /// The number that identifies the front end's name.
    pub id: u64,
    /// Which process of that name it is; later processes have larger numbers.
    pub incarnation: u64,
}
