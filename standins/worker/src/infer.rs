//! One inference call: admission, work, and its answer with the injected faults.

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

/// What a request says of its answer.
struct InferParameters {
    function: String,
    /// Messages of a streamed answer.
    pieces: u32,
    /// The last message of a streamed answer is one without outputs.
    empty_final: bool,
    /// Microseconds.
    work: Option<i64>,
}

impl InferParameters {
    fn read(request: &scan::InferRequest<'_>) -> InferParameters {
        let number = |name: &str| request.parameter(name).and_then(|value| value.as_int());
        let empty_final = request.parameter(names::EMPTY_FINAL_RESPONSE);
        InferParameters {
            function: request.model.to_string(),
            pieces: number(names::RESPONSE_MESSAGES)
                .map_or(1, |count| count.clamp(0, 100_000) as u32),
            empty_final: empty_final
                .and_then(|value| value.as_bool())
                .unwrap_or(false),
            work: number(names::WORK_MS).map(|ms| ms.clamp(0, 3_600_000) * 1000),
        }
    }
}

/// Serves a call. `unary`: by one message, otherwise by a stream.
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
    let usual_work = || standin.state.borrow().usual_work(function);
    let work = parameters.work.unwrap_or_else(usual_work);
    let call = standin.next_id();
    let crowd = standin.state.borrow().calls_of(function);
    let now = standin.now();
    let admission = standin.state.borrow_mut().admit(call, function, work, now);
    let (status, runs) = match admission {
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
        running: runs,
        generation: standin.generation.get(),
    };
    standin.on_state_change();
    if !runs {
        if !wait_for_lane(&standin, call, &mut respond).await {
            return;
        }
        guard.running = true;
    }
    standin.calls_run.set(standin.calls_run.get() + 1);
    if serve_fault(&standin, function, &mut respond) {
        return;
    }
    let mut answer = Answer::new(&standin, unary, &parameters, &message, &mut respond);
    if answer.run(work).await {
        answer.finish(status, crowd).await;
    }
}

/// Trailers of a call that isn't run.
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

/// Waits until the call may run; false: its client has cancelled it. What waits is dropped then; what runs goes on.
async fn wait_for_lane(standin: &Standin, call: CallId, respond: &mut SendResponse<Bytes>) -> bool {
    poll_fn(|cx| match standin.poll_ready(call, cx.waker(), true) {
        Some(_) => Poll::Ready(true),
        None => respond.poll_reset(cx).map(|_| false),
    })
    .await
}

/// Answers by the faults of a call that runs; false: there is none.
fn serve_fault(standin: &Standin, function: &str, respond: &mut SendResponse<Bytes>) -> bool {
    let faults = &standin.faults;
    if let Some(code) = faults.status.get() {
        let code = Code::parse(code.to_string().as_bytes());
        let mut map = standin.reported_trailers(code, "as the fault says");
        map.insert(names::CACHE_STATUS, HeaderValue::from_static("warm"));
        respond_trailers_only(respond, map);
        return true;
    }
    if faults.lose.borrow().as_deref() == Some(function) {
        respond.send_reset(Reason::INTERNAL_ERROR);
        return true;
    }
    false
}

/// An answer that is being sent.
struct Answer<'a> {
    standin: &'a Standin,
    respond: &'a mut SendResponse<Bytes>,
    response: pb::ModelInferResponse,
    /// Messages, with a part of the work before each.
    steps: u32,
    empty_final: bool,
    /// Of a streamed answer.
    stream: Option<SendStream<Bytes>>,
    unary: bool,
}

impl<'a> Answer<'a> {
    fn new(
        standin: &'a Standin,
        unary: bool,
        parameters: &InferParameters,
        message: &Bytes,
        respond: &'a mut SendResponse<Bytes>,
    ) -> Answer<'a> {
        Answer {
            standin,
            respond,
            response: echo(message),
            steps: if unary { 1 } else { parameters.pieces },
            empty_final: parameters.empty_final,
            stream: None,
            unary,
        }
    }

    /// Works, and sends the messages of a streamed answer; false: a fault ends the answer here.
    async fn run(&mut self, work: i64) -> bool {
        let faults = &self.standin.faults;
        let now = self.standin.now();
        let duration = self.standin.state.borrow().duration_of(work, now);
        let span = duration as f64 * faults.slowness();
        let step = Duration::from_micros((span / f64::from(self.steps.max(1))) as u64);
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
            if !self.send_piece(index).await {
                break;
            }
        }
        if faults.cut_after.get() == Some(self.steps) {
            // What was sent leaves first: only the trailers are lost.
            self.standin.spawner.sleep(Duration::from_millis(5)).await;
            self.standin.drop_connections();
            return false;
        }
        true
    }

    async fn until_cancelled(&mut self) {
        match &mut self.stream {
            Some(stream) => poll_fn(|cx| stream.poll_reset(cx).map(drop)).await,
            None => poll_fn(|cx| self.respond.poll_reset(cx).map(drop)).await,
        }
    }

    /// Sends a message of a streamed answer; false: the client has gone.
    async fn send_piece(&mut self, index: u32) -> bool {
        let Some(stream) = &mut self.stream else {
            return true;
        };
        let last = index + 1 == self.steps && !self.empty_final;
        let piece = match self.standin.faults.corrupt.get() {
            true => Bytes::from_static(&[9, 0, 0, 0, 0]),
            false => stream_message(&self.response, last),
        };
        write(stream, piece).await
    }

    /// Sends what is left of the answer, and its trailers.
    async fn finish(self, status: CacheStatus, crowd: u32) {
        let mut map = self.standin.reported_trailers(Code::Ok, "");
        let instance = match status {
            CacheStatus::Warm => "warm",
            CacheStatus::BeganLoad => "began-load",
            CacheStatus::AwaitedLoad => "awaited-load",
        };
        map.insert(names::CACHE_STATUS, HeaderValue::from_static(instance));
        map.insert(names::CONCURRENT_CALLS, HeaderValue::from(crowd));
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
            // Fails only if the client has gone.
            let _ = match self.standin.faults.no_trailers.get() {
                true => stream.send_data(Bytes::new(), true),
                false => stream.send_trailers(map),
            };
        }
    }
}

/// Sends the message of an answer that isn't streamed; none: the client has gone.
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
    if standin.faults.twice.get() {
        let _ = stream.send_data(bytes.clone(), false);
    }
    stream.send_data(bytes, false).ok()?;
    Some(stream)
}

/// Sends as the client takes it; false: the client has gone.
async fn write(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> bool {
    poll_fn(|cx| poll_write(stream, &mut bytes, cx))
        .await
        .is_ok()
}
