//! A call of a client: its random parameters and its request message.

use super::plan::LoadPlan;
use bytes::Bytes;
use prost::Message;
use std::collections::BTreeMap;
use std::time::Duration;
use tansy_frames::grpc::frame;
use tansy_inference::inference as pb;

/// Share of the calls that are streamed.
const STREAMED_SHARE: f64 = 0.7;
/// Share of the calls that the client cancels.
const CANCELLED_SHARE: f64 = 0.05;
/// Time until the client cancels such a call.
const CANCEL_AFTER_US: std::ops::Range<u64> = 200..40_000;
/// Share of the calls whose client reads slowly.
const SLOW_READER_SHARE: f64 = 0.02;
/// Time that such a client takes for each message.
const SLOW_READ_MS: std::ops::Range<u64> = 5..60;
/// Maximum number of messages of a streamed answer.
const MAX_MESSAGES: i64 = 5;

/// The parameters of a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlannedCall {
    /// Index of the connection to try first.
    pub first_link: usize,
    pub function: String,
    /// Timeout that the client sends; 0: none.
    pub timeout_us: i64,
    pub streamed: bool,
    /// Number of messages of the answer.
    pub messages: i64,
    pub work_ms: i64,
    pub cancel_after: Option<Duration>,
    /// Time that the client takes to process each message.
    pub read_delay: Option<Duration>,
}

impl PlannedCall {
    /// Generates a random call. The order of the draws must not change, or a seed gives other calls than before.
    pub fn generate(plan: &LoadPlan, links: usize, rng: &mut fastrand::Rng) -> PlannedCall {
        let first_link = rng.usize(..links);
        // Unless calls are simple, the product of two uniform numbers favours the first functions.
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

    /// The call's request message, framed for gRPC.
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
                // 0: the deadline of the function's class applies.
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
