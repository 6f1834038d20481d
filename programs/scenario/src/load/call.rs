//! One call of a client: its choices, all made by the seed, and its request.

use super::plan::LoadPlan;
use bytes::Bytes;
use prost::Message;
use std::collections::BTreeMap;
use std::time::Duration;
use tansy_frames::grpc::frame;
use tansy_inference::inference as pb;

/// Share of the calls that are streamed.
const STREAMED_SHARE: f64 = 0.7;
/// Share of the calls that the client cancels, and after how many microseconds.
const CANCELLED_SHARE: f64 = 0.05;
const CANCEL_AFTER_US: std::ops::Range<u64> = 200..40_000;
/// Share of the calls whose client reads slowly, and its milliseconds for each message.
const SLOW_READER_SHARE: f64 = 0.02;
const SLOW_READ_MS: std::ops::Range<u64> = 5..60;
/// The most messages of a streamed answer.
const MAX_MESSAGES: i64 = 5;

/// The choices of one call.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlannedCall {
    /// Index of the connection that is tried first.
    pub first_link: usize,
    pub function: String,
    /// Microseconds; 0: none is said.
    pub timeout_us: i64,
    pub streamed: bool,
    /// Messages of the answer.
    pub messages: i64,
    /// Milliseconds.
    pub work_ms: i64,
    pub cancel_after: Option<Duration>,
    /// Time that the client takes for each message.
    pub read_delay: Option<Duration>,
}

impl PlannedCall {
    /// Draws a call. The order of the draws is part of what a seed means.
    pub fn generate(plan: &LoadPlan, links: usize, rng: &mut fastrand::Rng) -> PlannedCall {
        let first_link = rng.usize(..links);
        // Some functions are called more often than others.
        let skew = rng.f64() * if plan.simple_calls { 1.0 } else { rng.f64() };
        let index = (skew * plan.functions.len() as f64) as usize;
        let function = plan.functions[index.min(plan.functions.len() - 1)].clone();
        let varied = !plan.simple_calls;
        let streamed = varied && rng.f64() < STREAMED_SHARE;
        let messages = if streamed {
            rng.i64(1..=MAX_MESSAGES)
        } else {
            1
        };
        let work_ms = rng.i64(plan.work_ms.clone());
        let cancelled = varied && rng.f64() < CANCELLED_SHARE;
        let cancel_after = cancelled.then(|| Duration::from_micros(rng.u64(CANCEL_AFTER_US)));
        let slow = varied && rng.f64() < SLOW_READER_SHARE;
        let read_delay = slow.then(|| Duration::from_millis(rng.u64(SLOW_READ_MS)));
        PlannedCall {
            first_link,
            function: function.name,
            timeout_us: function.timeout_us,
            streamed,
            messages,
            work_ms,
            cancel_after,
            read_delay,
        }
    }

    /// The framed request of the call with this number.
    pub fn request(&self, id_prefix: &str, number: u64) -> Bytes {
        let input = pb::model_infer_request::InferInputTensor {
            name: "x".into(),
            datatype: "INT64".into(),
            shape: vec![1],
            contents: Some(pb::InferTensorContents {
                int64_contents: vec![number as i64],
                ..Default::default()
            }),
            ..Default::default()
        };
        let message = pb::ModelInferRequest {
            model_name: self.function.clone(),
            id: format!("{id_prefix}-{number}"),
            parameters: BTreeMap::from([
                ("pieces".to_string(), integer(self.messages)),
                ("work_ms".to_string(), integer(self.work_ms)),
                // Without one, the class's deadline holds.
                ("timeout".to_string(), integer(self.timeout_us.max(0))),
            ]),
            inputs: vec![input],
            ..Default::default()
        };
        frame(&message.encode_to_vec())
    }
}

fn integer(value: i64) -> pb::InferParameter {
    pb::InferParameter {
        parameter_choice: Some(pb::infer_parameter::ParameterChoice::Int64Param(value)),
    }
}

#[cfg(test)]
mod tests;
