//! The reasons for which a message is rejected.

use crate::FORMAT_VERSION;
use thiserror::Error;

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are no message at all.
    #[error("a letter that can't be read: {0}")]
    Malformed(String),
    /// The message has another format version: one of the two programs is too old.
    #[error(
        "a letter of form {0}, this program knows form {FORMAT_VERSION}: one of the two is too old"
    )]
    UnknownFormat(u32),
    /// The message belongs to another fleet.
    #[error("a letter of another fleet: two fleets are wired to each other; look at fleet.name and fleet.seats")]
    OtherFleet,
    /// A required part is missing or out of bounds.
    #[error("a letter without a right {0}")]
    MissingPart(&'static str),
}
