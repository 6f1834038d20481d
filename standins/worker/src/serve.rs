//! The protocol's methods, and the faults that replace them.

use crate::infer::infer;
use crate::standin::Standin;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{HeaderMap, HeaderValue, Request};
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use tansy_frames::grpc::Code;
use tansy_inference::inference as pb;
use tansy_inference::names;
use tansy_net_grpc::server::{
    respond_trailers_only, respond_unary as unary, status_trailers, Limits, RequestMessages,
};

/// Set in the ids of load requests, to distinguish them from ids of calls in the same table.
const LOAD_REQUEST_BIT: u64 = 1 << 63;

/// Serves a request.
pub(crate) async fn serve(
    standin: Rc<Standin>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let method = path
        .strip_prefix(names::SERVICE_PREFIX)
        .unwrap_or("")
        .to_string();
    let mut messages = RequestMessages::new(body, Limits::default().message_bytes);
    let mut first = None;
    let message = poll_fn(|cx| messages.poll_unary(&mut first, cx)).await;
    let Ok(Some(message)) = message else {
        return respond_trailers_only(
            &mut respond,
            status_trailers(Code::InvalidArgument, "no message"),
        );
    };
    let Some(respond) = serve_fault(&standin, &method, &message, respond).await else {
        return;
    };
    serve_method(standin, &method, message, respond).await;
}

/// Answers a request according to the faults that apply to all methods. Returns `respond` if no such fault is active.
async fn serve_fault(
    standin: &Standin,
    method: &str,
    message: &Bytes,
    mut respond: SendResponse<Bytes>,
) -> Option<SendResponse<Bytes>> {
    let faults = &standin.faults;
    if let Some(code) = faults.reset.get() {
        respond.send_reset(Reason::from(code));
    } else if faults.refuse.get() {
        respond.send_reset(Reason::REFUSED_STREAM);
    } else if faults.silent.get() {
        // The stream stays open until the client cancels it.
        poll_fn(|cx| respond.poll_reset(cx).map(drop)).await;
    } else if faults.echo_request.get() {
        unary(respond, message, status_trailers(Code::Ok, ""));
    } else if let Some(code) = faults.fixed_status.get() {
        let code = Code::parse(code.to_string().as_bytes());
        respond_trailers_only(&mut respond, status_trailers(code, "as the fault says"));
    } else if faults.false_load_success.get() {
        respond_false_load_success(standin, method, respond);
    } else {
        return Some(respond);
    }
    None
}

/// Reports loads as finished without loading anything, and rejects calls as not loaded.
fn respond_false_load_success(standin: &Standin, method: &str, mut respond: SendResponse<Bytes>) {
    match method {
        "RepositoryModelLoad" => unary(respond, &[], instance_trailers(standin, 1)),
        "ServerReady" => unary(respond, &[8, 1], status_trailers(Code::Ok, "")),
        _ => {
            let mut map = status_trailers(Code::Unavailable, "not loaded here");
            map.insert(names::NEVER_RAN, HeaderValue::from_static("not-loaded"));
            respond_trailers_only(&mut respond, map)
        }
    }
}

async fn serve_method(
    standin: Rc<Standin>,
    method: &str,
    message: Bytes,
    mut respond: SendResponse<Bytes>,
) {
    match method {
        "ModelInfer" => infer(standin, true, message, respond).await,
        "ModelStreamInfer" => infer(standin, false, message, respond).await,
        "RepositoryModelLoad" => load(&standin, message, respond).await,
        "RepositoryModelUnload" => {
            let request = pb::RepositoryModelUnloadRequest::decode(message).unwrap_or_default();
            let loaded = standin.state.borrow_mut().unload(&request.model_name);
            standin.on_state_change();
            unary(respond, &[], instance_trailers(&standin, loaded));
        }
        "ServerReady" => {
            let answer = pb::ServerReadyResponse { ready: true }.encode_to_vec();
            let map = standin.reported_trailers(Code::Ok, "");
            unary(respond, &answer, map);
        }
        "ServerLive" => {
            let answer = pb::ServerLiveResponse { live: true }.encode_to_vec();
            unary(respond, &answer, status_trailers(Code::Ok, ""));
        }
        _ => {
            let map = status_trailers(Code::Unimplemented, "not of this stand-in");
            respond_trailers_only(&mut respond, map)
        }
    }
}

/// Trailers of the answer to a load or unload: a load report and the number of loaded instances.
fn instance_trailers(standin: &Standin, instances: u32) -> HeaderMap {
    let mut map = standin.reported_trailers(Code::Ok, "");
    map.insert(names::INSTANCE_COUNT, HeaderValue::from(instances));
    map
}

/// Loads instances, and answers when the load has finished.
async fn load(standin: &Standin, message: Bytes, mut respond: SendResponse<Bytes>) {
    use pb::model_repository_parameter::ParameterChoice;
    let request = pb::RepositoryModelLoadRequest::decode(message).unwrap_or_default();
    let parameter = request.parameters.get(names::LOAD_INSTANCES);
    let instances = match parameter.and_then(|p| p.parameter_choice.clone()) {
        Some(ParameterChoice::Int64Param(count)) => u32::try_from(count).unwrap_or(0),
        _ => 1,
    };
    let id = LOAD_REQUEST_BIT | standin.next_id();
    let now = standin.now();
    let loaded = standin
        .state
        .borrow_mut()
        .request_load(id, &request.model_name, instances, now);
    standin.on_state_change();
    let loaded = match loaded {
        Some(loaded) => Some(loaded),
        None => {
            let loaded = poll_fn(|cx| match standin.poll_ready(id, cx.waker(), false) {
                Some(loaded) => Poll::Ready(Some(loaded)),
                None => respond.poll_reset(cx).map(|_| None),
            })
            .await;
            standin.remove_waker(id);
            loaded
        }
    };
    if let Some(loaded) = loaded {
        unary(respond, &[], instance_trailers(standin, loaded));
    }
}
