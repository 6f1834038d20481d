//! Serializes the state of a worker as a number, as in recorded runs: 0 is ready, 1 is draining, any other is gone.

use serde::{Deserialize, Deserializer, Serializer};
use tansyrouter::WorkerState;

const READY: u8 = 0;
const DRAINING: u8 = 1;
const GONE: u8 = 2;

pub(crate) fn serialize<S: Serializer>(
    state: &WorkerState,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let number = match state {
        WorkerState::Ready => READY,
        WorkerState::Draining => DRAINING,
        WorkerState::Gone => GONE,
    };
    serializer.serialize_u8(number)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<WorkerState, D::Error> {
    let state = match u8::deserialize(deserializer)? {
        READY => WorkerState::Ready,
        DRAINING => WorkerState::Draining,
        _ => WorkerState::Gone,
    };
    Ok(state)
}
