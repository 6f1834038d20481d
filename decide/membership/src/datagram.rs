//! The header of a datagram, which states its format and its fleet.

use crate::node_id::NodeId;

/// Format of datagrams. Datagrams of other formats are rejected.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1400 + HEADER_BYTES;
const HEADER_BYTES: usize = 9;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiver.
    pub to: NodeId,
    /// Header and payload.
    pub bytes: Vec<u8>,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedDatagram {
    /// The datagram has a format that this program does not know.
    #[error("datagram has format {0}, but this program supports only format {known}", known = FORMAT_VERSION)]
    UnknownFormat(u8),
    /// The datagram belongs to another fleet.
    #[error("datagram of another fleet: check fleet.name and fleet.seats on both sides")]
    OtherFleet,
    /// The datagram is too short, too long, or can't be decoded.
    #[error("malformed datagram")]
    Malformed,
}

/// Encodes a datagram of a fleet.
pub(crate) fn encode(fleet: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.push(FORMAT_VERSION);
    bytes.extend(fleet.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// Checks the header of a datagram and returns its payload.
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
