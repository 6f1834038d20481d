//! Control requests to workers (probe, load, unload). Each reports exactly one end.

use crate::attempts::{connect, request_head, AttemptEnd, AttemptObserver};
use crate::call::CancelSignal;
use bytes::Bytes;
use prost::Message;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::rc::Rc;
use tansy_dispatch::{AttemptOutcome, ControlRequestId};
use tansy_frames::grpc::{frame, Code};
use tansy_inference::inference as pb;
use tansy_inference::names;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::Link;

/// The method path and the body of a control request.
pub struct ControlMessage {
    path: &'static str,
    body: Bytes,
}

impl ControlMessage {
    /// A `ServerReady` request; the trailers of its response carry the worker's load report.
    pub fn probe() -> ControlMessage {
        ControlMessage {
            path: "/inference.GRPCInferenceService/ServerReady",
            body: frame(&[]),
        }
    }

    /// A `RepositoryModelLoad` request with the parameter `instances`.
    pub fn load(function: &str, instances: u32) -> ControlMessage {
        use pb::model_repository_parameter::ParameterChoice;
        let count = ParameterChoice::Int64Param(i64::from(instances));
        let parameter = pb::ModelRepositoryParameter {
            parameter_choice: Some(count),
        };
        let message = pb::RepositoryModelLoadRequest {
            model_name: function.into(),
            parameters: BTreeMap::from([(names::LOAD_INSTANCES.into(), parameter)]),
            ..Default::default()
        };
        ControlMessage {
            path: "/inference.GRPCInferenceService/RepositoryModelLoad",
            body: frame(&message.encode_to_vec()),
        }
    }

    /// A `RepositoryModelUnload` request.
    pub fn unload(function: &str) -> ControlMessage {
        let message = pb::RepositoryModelUnloadRequest {
            model_name: function.into(),
            ..Default::default()
        };
        ControlMessage {
            path: "/inference.GRPCInferenceService/RepositoryModelUnload",
            body: frame(&message.encode_to_vec()),
        }
    }
}

/// The most bytes of a response to a control request; its result is in the trailers.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Sends one control request and reports its end.
pub async fn run_control_request<O: AttemptObserver>(
    observer: Rc<O>,
    id: ControlRequestId,
    message: ControlMessage,
    link: Rc<Link>,
    signal: Rc<CancelSignal>,
) {
    let end = exchange(message, &link, &signal).await;
    let trailers = end.stated_trailers();
    observer.control_request_ended(id, end.outcome, trailers);
}

async fn exchange(message: ControlMessage, link: &Rc<Link>, signal: &CancelSignal) -> AttemptEnd {
    let connection = match connect(link, signal).await {
        Ok(connection) => connection,
        Err(outcome) => return AttemptEnd::without_trailers(outcome),
    };
    let head = request_head(link, message.path, None, None);
    let started = Exchange::start(connection, head, message.body, true, MAX_RESPONSE_BYTES);
    let Ok(mut exchange) = started else {
        return AttemptEnd::without_trailers(AttemptOutcome::NeverLeft);
    };
    loop {
        let event = poll_fn(|cx| {
            if signal.poll_cancelled(cx) {
                exchange.cancel();
            }
            exchange.poll_event(cx)
        });
        if let ExchangeEvent::Ended(ending, progress) = event.await {
            if let Ending::Status(code, _) = &ending {
                if *code != Code::Ok {
                    tracing::debug!(path = message.path, ?code, "control request failed");
                }
            }
            return AttemptEnd::new(ending, progress, false);
        }
    }
}
