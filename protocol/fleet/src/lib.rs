//! The wire format of messages between the front ends of a fleet and of its operators' requests. Functions encode from and
//! decode to the types of `tansy-agreement`.
//!
//! Decoding validates lengths, nesting depths and the presence of required parts. The crate performs no I/O and keeps no
//! state; `tansy-net-fleet` sends and receives the messages.

mod drains;
mod error;
mod fleet_state;
mod identity;
mod leases;
mod message;
mod rollout;
mod scopes;
mod subscriptions;
mod values;

/// The messages that `proto/fleet.proto` defines.
#[allow(missing_docs, clippy::all)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/tansy.fleet.rs"));
}

pub use error::DecodeError;
pub use fleet_state::{decode_settings, decode_state, encode_settings, encode_state};
pub use identity::{encode_member, encode_process};
pub use message::{decode_message, encode_message};
pub use rollout::{decode_counters, decode_rollout, decode_rollout_entry, encode_rollout_entry};
pub use scopes::{
    decode_scope_record, decode_scope_transaction, encode_scope_record, encode_scope_transaction,
};

/// The version of the message format. Messages of other versions are rejected.
pub const FORMAT_VERSION: u32 = 1;
/// The most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The most bytes of a name, an address or a reason.
pub const MAX_TEXT_BYTES: usize = 4096;
/// The path prefix of the methods of the service.
pub const SERVICE: &str = "/tansy.fleet.Fleet/";
