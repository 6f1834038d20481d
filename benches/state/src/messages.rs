//! The lease grant message that carries the settings: size, encoding cost, and the largest one that a front end can read.

use crate::inputs;
use crate::measure::{ms, timed, MemoryGrowth, OutputRecord};
use crate::replicated_log::max_functions_of_log;
use crate::{Args, BenchError};
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::{LeaseGrant, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::ChangeHistory;
use tansy_fleet_node::{Leader, MessageBody};
use tansy_fleet_wire::{decode_message, encode_message, DecodeError, MAX_MESSAGE_BYTES};
use tansy_frames::grpc::{frame, Assembler, FrameError};
use tansy_membership::NodeId;
use thiserror::Error;

/// Identifier of the fleet.
const FLEET: u64 = 7;

/// Why a message can't be read.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The gRPC frame is invalid or too long.
    #[error("{0:?}")]
    Frame(FrameError),
    /// The stream ends within the message.
    #[error("the stream ends within the message")]
    Incomplete,
    /// The bytes are not a valid fleet message.
    #[error(transparent)]
    Decode(DecodeError),
}

fn sender() -> NodeId {
    NodeId::new(1, 1, inputs::address(1, inputs::FLEET_PORT))
}

/// The state in a lease grant: a version in force and, if `with_next`, a next version that differs in one function.
pub fn fleet_state(function_names: &[String], with_next: bool) -> FleetState {
    let fields = inputs::version_fields(function_names);
    let changed = function_names
        .first()
        .map_or_else(Fields::new, |name| inputs::with_lanes(&fields, name, 2));
    let version = |number: u64, fields| VersionedSettings {
        version: Version(number),
        fields,
        reason: "bench".into(),
        id: number,
    };
    FleetState {
        revision: Revision(2),
        in_force: version(1, fields),
        next: with_next.then(|| (version(2, changed), ChangePhase::Joint)),
        canary: None,
        versions_revision: Revision(2),
        scopes_since: None,
        history: ChangeHistory::after(Revision(2)),
    }
}

/// Encodes the message that grants a lease for a state.
pub fn encode_grant(state: FleetState) -> Vec<u8> {
    let to = Member {
        id: 2,
        incarnation: 1,
    };
    let grant = LeaseGrant {
        to,
        seq: 1,
        span: inputs::LEASE_DURATION,
        revision: state.revision,
        state: Some(state),
        delta: None,
    };
    let body = MessageBody::Lease(LeaseMessage::Grant(grant));
    encode_message(FLEET, &sender(), Leader { term: 1, id: 1 }, body)
}

/// Reads a message from a byte stream as a front end does, including the limit on its length.
pub fn read_message(message: &[u8]) -> Result<MessageBody, ReadError> {
    let mut stream = Assembler::new(MAX_MESSAGE_BYTES);
    stream.push(&frame(message));
    let complete = stream.next_message().map_err(ReadError::Frame)?;
    let complete = complete.ok_or(ReadError::Incomplete)?;
    let (_, _, body) = decode_message(FLEET, &complete).map_err(ReadError::Decode)?;
    Ok(body)
}

/// Finds the largest number that satisfies a monotonic condition by exponential and binary search; 0 if none does.
pub fn largest_satisfying(holds: impl Fn(usize) -> bool) -> usize {
    let mut above = 1;
    while holds(above) {
        above *= 2;
    }
    let mut below = above / 2;
    while above - below > 1 {
        let middle = below + (above - below) / 2;
        if holds(middle) {
            below = middle;
        } else {
            above = middle;
        }
    }
    below
}

/// The maximum number of functions for which a front end can read the lease grant.
pub fn max_functions_of_grant(seed: u64, with_next: bool) -> usize {
    largest_satisfying(|functions| {
        let state = fleet_state(&inputs::function_names(functions, seed), with_next);
        read_message(&encode_grant(state)).is_ok()
    })
}

/// Measures the size of the grant, the time to encode and read it, and whether a front end can read it.
pub fn grant_message(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let function_names = inputs::function_names(args.functions, args.seed);
    let growth = MemoryGrowth::begin();
    let with_next = fleet_state(&function_names, true);
    output.figure("memory_mb", growth.mb());
    let in_force = fleet_state(&function_names, false);
    let (message, encoding) = timed(|| encode_grant(with_next));
    let in_force_bytes = encode_grant(in_force).len();
    let (body, reading) = timed(|| read_message(&message));
    output.count("letter_bytes", message.len());
    output.count("force_bytes", in_force_bytes);
    output.figure(
        "function_bytes",
        in_force_bytes as f64 / function_names.len().max(1) as f64,
    );
    output.figure("encode_ms", ms(encoding));
    output.figure("read_ms", ms(reading));
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    output.count("readable", usize::from(body.is_ok()));
    if let Err(error) = body {
        output.add_note(format!("no front end can read this grant: {error}"));
    }
    Ok(())
}

/// Measures the maximum number of functions whose settings or log fit into one message.
pub fn largest_message(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let seed = args.seed;
    let functions = max_functions_of_grant(seed, true);
    let bytes =
        |functions| encode_grant(fleet_state(&inputs::function_names(functions, seed), true)).len();
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    output.count("most_functions", functions);
    output.count("letter_bytes", bytes(functions));
    output.count("one_more_bytes", bytes(functions + 1));
    output.count("most_functions_force", max_functions_of_grant(seed, false));
    output.count("most_functions_log", max_functions_of_log(seed));
    Ok(())
}
