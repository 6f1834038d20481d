//! The header of a datagram: its format and the fleet that it belongs to.

use crate::node_id::NodeId;

/// The format of a datagram. One of another format is rejected.
pub const FORMAT_VERSION: u8 = 1;
/// Bytes that a datagram may have.
pub const MAX_DATAGRAM_BYTES: usize = 1400 + HEADER_BYTES;
const HEADER_BYTES: usize = 9;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver.
    pub to: NodeId,
    /// The header and the payload.
    pub bytes: Vec<u8>,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedDatagram {
    /// It has another format, of a program that this one can't read.
    #[error("a datagram of form {0}, this program knows form {known}", known = FORMAT_VERSION)]
    UnknownFormat(u8),
    /// It belongs to another fleet.
    #[error("a datagram of another fleet: two fleets are wired to each other")]
    OtherFleet,
    /// It is too short, too long, or can't be decoded.
    #[error("a datagram that can't be read")]
    Malformed,
}

/// A datagram of a fleet.
pub(crate) fn encode(fleet: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend(fleet.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// The payload of a datagram of this fleet.
pub(crate) fn decode(fleet: u64, bytes: &[u8]) -> Result<&[u8], RejectedDatagram> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(RejectedDatagram::Malformed);
    }
    let (header, payload) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(RejectedDatagram::Malformed)?;
    if header[0] != FORMAT_VERSION {
        return Err(RejectedDatagram::UnknownFormat(header[0]));
    }
    if header[1..] != fleet.to_be_bytes() {
        return Err(RejectedDatagram::OtherFleet);
    }
    Ok(payload)
}
