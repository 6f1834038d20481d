//! Inference calls: admission, simulated work, and the response with injected faults.

use crate::answer::{echo, stream_message, without_outputs};
use crate::standin::{CallGuard, Standin};
use crate::state::{Admission, CacheStatus, CallId};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, SendStream};
use http::{HeaderMap, HeaderValue};
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tansy_frames::grpc::{frame, Code};
use tansy_inference::inference as pb;
use tansy_inference::names;
use tansy_inference::scan;
use tansy_net_grpc::server::{
    poll_write, respond_trailers_only, response_headers, status_trailers,
};

/// The parameters of a request that control its response.
struct InferParameters {
    function: String,
    /// Number of messages in a streamed response.
    messages: u32,
    /// Whether a streamed response ends with a message without outputs.
    empty_final: bool,
    /// The requested work, microseconds.
    work: Option<i64>,
}

impl InferParameters {
    fn read(request: &scan::InferRequest<'_>) -> InferParameters {
        let number = |name: &str| request.parameter(name).and_then(|value| value.as_int());
        let empty_final = request.parameter(names::EMPTY_FINAL_RESPONSE);
        InferParameters {
            function: request.model.to_string(),
            messages: number(names::RESPONSE_MESSAGES)
                .map_or(1, |count| count.clamp(0, 100_000) as u32),
            empty_final: empty_final
                .and_then(|value| value.as_bool())
                .unwrap_or(false),
            work: number(names::WORK_MS).map(|ms| ms.clamp(0, 3_600_000) * 1000),
        }
    }
}

/// Serves a call. `unary`: with a single message, otherwise with a stream of messages.
pub(crate) async fn infer(
    standin: Rc<Standin>,
    unary: bool,
    message: Bytes,
    mut respond: SendResponse<Bytes>,
) {
    let parameters = match scan::InferRequest::parse(&message) {
        Ok(request) => InferParameters::read(&request),
        Err(error) => {
            let map = status_trailers(Code::InvalidArgument, &error.to_string());
            return respond_trailers_only(&mut respond, map);
        }
    };
    let function = &parameters.function;
    let default_work = || standin.state.borrow().default_work(function);
    let work = parameters.work.unwrap_or_else(default_work);
    let call = standin.next_id();
    let concurrent_calls = standin.state.borrow().concurrent_calls(function);
    let now = standin.now();
    let admission = standin.state.borrow_mut().admit(call, function, work, now);
    let (status, starts_now) = match admission {
        Admission::Run(status) => (status, true),
        Admission::Wait(status) => (status, false),
        rejected => {
            return respond_trailers_only(&mut respond, rejection(&standin, rejected, function))
        }
    };
    let mut guard = CallGuard {
        standin: standin.clone(),
        call,
        function: function.clone(),
        running: starts_now,
        generation: standin.generation.get(),
    };
    standin.on_state_change();
    if !starts_now {
        if !wait_for_lane(&standin, call, &mut respond).await {
            return;
        }
        guard.running = true;
    }
    standin.calls_run.set(standin.calls_run.get() + 1);
    if serve_fault(&standin, function, &mut respond) {
        return;
    }
    let mut response = Response::new(&standin, unary, &parameters, &message, &mut respond);
    if response.run(work).await {
        response.finish(status, concurrent_calls).await;
    }
}

/// Trailers of a call that was not admitted.
fn rejection(standin: &Standin, admission: Admission, function: &str) -> HeaderMap {
    let (reason, message) = match admission {
        Admission::NotLoaded => ("not-loaded", "not loaded here"),
        Admission::Rejected => ("turned-away", "no room"),
        _ => {
            let message = format!("no function {function:?} here");
            return status_trailers(Code::NotFound, &message);
        }
    };
    let mut map = standin.reported_trailers(Code::Unavailable, message);
    map.insert(names::NEVER_RAN, HeaderValue::from_static(reason));
    map
}

/// Waits until the call may run. Returns `false` if the client cancels it before; a running call is not interrupted.
async fn wait_for_lane(standin: &Standin, call: CallId, respond: &mut SendResponse<Bytes>) -> bool {
    poll_fn(|cx| match standin.poll_ready(call, cx.waker(), true) {
        Some(_) => Poll::Ready(true),
        None => respond.poll_reset(cx).map(|_| false),
    })
    .await
}

/// Answers a running call according to the faults that replace its response. Returns `false` if no such fault is active.
fn serve_fault(standin: &Standin, function: &str, respond: &mut SendResponse<Bytes>) -> bool {
    let faults = &standin.faults;
    if let Some(code) = faults.status.get() {
        let code = Code::parse(code.to_string().as_bytes());
        let mut map = standin.reported_trailers(code, "as the fault says");
        map.insert(names::CACHE_STATUS, HeaderValue::from_static("warm"));
        respond_trailers_only(respond, map);
        return true;
    }
    if faults.lost_function.borrow().as_deref() == Some(function) {
        respond.send_reset(Reason::INTERNAL_ERROR);
        return true;
    }
    false
}

/// A response that is being sent.
struct Response<'a> {
    standin: &'a Standin,
    respond: &'a mut SendResponse<Bytes>,
    response: pb::ModelInferResponse,
    /// Number of messages; an equal share of the work precedes each.
    steps: u32,
    empty_final: bool,
    /// The stream of a streamed response, once its headers are sent.
    stream: Option<SendStream<Bytes>>,
    unary: bool,
}

impl<'a> Response<'a> {
    fn new(
        standin: &'a Standin,
        unary: bool,
        parameters: &InferParameters,
        message: &Bytes,
        respond: &'a mut SendResponse<Bytes>,
    ) -> Response<'a> {
        Response {
            standin,
            respond,
            response: echo(message),
            steps: if unary { 1 } else { parameters.messages },
            empty_final: parameters.empty_final,
            stream: None,
            unary,
        }
    }

    /// Simulates the work, and sends the messages of a streamed response. Returns `false` if a fault ended the response.
    async fn run(&mut self, work: i64) -> bool {
        let faults = &self.standin.faults;
        let now = self.standin.now();
        let duration = self.standin.state.borrow().duration_of(work, now);
        let total = duration as f64 * faults.slowdown_factor();
        let step = Duration::from_micros((total / f64::from(self.steps.max(1))) as u64);
        if !self.unary {
            self.stream = self.respond.send_response(response_headers(), false).ok();
        }
        for index in 0..self.steps {
            if !step.is_zero() {
                self.standin.spawner.sleep(step).await;
            }
            if faults.silent.get() || faults.silent_after.get() == Some(index) {
                self.until_cancelled().await;
                return false;
            }
            if faults.cut_after.get() == Some(index) {
                self.standin.drop_connections();
                return false;
            }
            if !self.send_message(index).await {
                break;
            }
        }
        if faults.cut_after.get() == Some(self.steps) {
            // Gives the messages time to be sent, so that only the trailers are lost.
            self.standin.spawner.sleep(Duration::from_millis(5)).await;
            self.standin.drop_connections();
            return false;
        }
        true
    }

    /// Waits until the client cancels the call.
    async fn until_cancelled(&mut self) {
        match &mut self.stream {
            Some(stream) => poll_fn(|cx| stream.poll_reset(cx).map(drop)).await,
            None => poll_fn(|cx| self.respond.poll_reset(cx).map(drop)).await,
        }
    }

    /// Sends a message of a streamed response. Returns `false` if the client has cancelled or disconnected.
    async fn send_message(&mut self, index: u32) -> bool {
        let Some(stream) = &mut self.stream else {
            return true;
        };
        let last = index + 1 == self.steps && !self.empty_final;
        let message = match self.standin.faults.corrupt.get() {
            true => Bytes::from_static(&[9, 0, 0, 0, 0]),
            false => stream_message(&self.response, last),
        };
        write(stream, message).await
    }

    /// Sends the rest of the response and its trailers.
    async fn finish(self, status: CacheStatus, concurrent_calls: u32) {
        let mut map = self.standin.reported_trailers(Code::Ok, "");
        let cache_status = match status {
            CacheStatus::Warm => "warm",
            CacheStatus::StartedLoad => "began-load",
            CacheStatus::AwaitedLoad => "awaited-load",
        };
        map.insert(names::CACHE_STATUS, HeaderValue::from_static(cache_status));
        map.insert(names::CONCURRENT_CALLS, HeaderValue::from(concurrent_calls));
        let stream = match self.stream {
            Some(mut stream) => {
                if self.empty_final || self.steps == 0 {
                    let empty = without_outputs(&self.response);
                    write(&mut stream, stream_message(&empty, true)).await;
                }
                Some(stream)
            }
            None => send_unary(self.standin, self.respond, &self.response),
        };
        if let Some(mut stream) = stream {
            // Fails only if the client has cancelled or disconnected.
            let _ = match self.standin.faults.no_trailers.get() {
                true => stream.send_data(Bytes::new(), true),
                false => stream.send_trailers(map),
            };
        }
    }
}

/// Sends the message of a unary response. Returns `None` if the client has cancelled or disconnected.
fn send_unary(
    standin: &Standin,
    respond: &mut SendResponse<Bytes>,
    response: &pb::ModelInferResponse,
) -> Option<SendStream<Bytes>> {
    let mut stream = respond.send_response(response_headers(), false).ok()?;
    let bytes = match standin.faults.corrupt.get() {
        true => Bytes::from_static(&[0, 0, 0, 0, 1, 0xff]),
        false => frame(&response.encode_to_vec()),
    };
    if standin.faults.duplicate_message.get() {
        let _ = stream.send_data(bytes.clone(), false);
    }
    stream.send_data(bytes, false).ok()?;
    Some(stream)
}

/// Writes within the client's flow-control window. Returns `false` if the client has cancelled or disconnected.
async fn write(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> bool {
    poll_fn(|cx| poll_write(stream, &mut bytes, cx))
        .await
        .is_ok()
}
