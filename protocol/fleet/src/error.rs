//! The errors of decoding messages.

use crate::FORMAT_VERSION;
use thiserror::Error;

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes can't be decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The message has another format version.
    #[error(
        "message has format version {0}, but this program requires version {FORMAT_VERSION}: update the older program"
    )]
    UnknownFormat(u32),
    /// The message belongs to another fleet.
    #[error("message of another fleet: two fleets are connected to each other; check fleet.name and fleet.seats")]
    OtherFleet,
    /// A required part is missing or invalid.
    #[error("message without a valid {0}")]
    MissingPart(&'static str),
}
