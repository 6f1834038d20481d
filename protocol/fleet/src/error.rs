//! The reasons for which a message is rejected.

use crate::FORMAT_VERSION;
use thiserror::Error;

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are no message at all.
    #[error("a message that can't be decoded: {0}")]
    Malformed(String),
    /// The message has another format version: one of the two programs is too old.
    #[error(
        "a message of format {0}, this program knows format {FORMAT_VERSION}: one of the two is too old"
    )]
    UnknownFormat(u32),
    /// The message belongs to another fleet.
    #[error("a message of another fleet: two fleets are connected to each other; look at fleet.name and fleet.seats")]
    OtherFleet,
    /// A required part is missing or out of bounds.
    #[error("a message without a valid {0}")]
    MissingPart(&'static str),
}
