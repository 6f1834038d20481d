//! Serves the requests of clients: reads and checks them, starts calls at the driver, and writes the responses.

use crate::call::CallContext;
use crate::driver::Driver;
use crate::queries;
use crate::request_status::RequestStatus;
use crate::response_queue::ResponseQueue;
use crate::trailers::forwarded_metadata;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tansy_dispatch::{Call, CallId};
use tansy_frames::grpc::{frame, parse_timeout, Code};
use tansy_inference::{amend, names, scan};
use tansy_net_grpc::server::{
    poll_write, respond_trailers_only, response_headers, status_trailers, RequestHandler,
    RequestMessages, StreamError,
};
use tansy_net_sockets::within;

/// Maximum number of open calls on one stream. At this limit, no further requests are read until a call ends.
const MAX_CALLS_PER_STREAM: usize = 4096;
/// Time within which the message of a unary request must arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Path of the method for unary inference.
const INFER: &str = "/inference.GRPCInferenceService/ModelInfer";
/// Path of the method for streamed inference.
const STREAM: &str = "/inference.GRPCInferenceService/ModelStreamInfer";

/// A request handler that serves clients through this driver.
pub fn handler(driver: Rc<Driver>) -> RequestHandler {
    Rc::new(move |request, respond| {
        let task = serve(driver.clone(), request, respond);
        driver.spawner.spawn(task);
    })
}

async fn serve(driver: Rc<Driver>, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let received = Instant::now();
    let (parts, body) = request.into_parts();
    if let Err(status) = check_grpc(&parts.method, &parts.headers) {
        let mut response = Response::new(());
        *response.status_mut() = status;
        // Fails only if the client has left.
        let _ = respond.send_response(response, true);
        return;
    }
    let budget = match stated_timeout(&parts.headers) {
        Ok(budget) => budget,
        Err(status) => return respond_trailers_only(&mut respond, status.trailers()),
    };
    let request = IncomingRequest {
        driver,
        headers: parts.headers,
        budget,
        received,
    };
    match parts.uri.path().strip_prefix(names::SERVICE_PREFIX) {
        Some("ModelInfer") => request.unary(body, respond).await,
        Some("ModelStreamInfer") => request.stream(body, respond).await,
        Some(method) => request.query(method, body, respond).await,
        None => {
            let status = RequestStatus::new(Code::Unimplemented, "unknown service");
            respond_trailers_only(&mut respond, status.trailers());
        }
    }
}

/// Checks that a request is a gRPC request; otherwise returns the HTTP status to respond with.
fn check_grpc(method: &Method, headers: &HeaderMap) -> Result<(), StatusCode> {
    let content_type = headers
        .get(http::header::CONTENT_TYPE)
        .map_or(&b""[..], |v| v.as_bytes());
    let grpc = content_type
        .strip_prefix(b"application/grpc")
        .is_some_and(|rest| matches!(rest.first(), None | Some(b'+' | b';')));
    if !grpc {
        return Err(StatusCode::UNSUPPORTED_MEDIA_TYPE);
    }
    if *method != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    Ok(())
}

/// The timeout that the client states in `grpc-timeout`, microseconds.
fn stated_timeout(headers: &HeaderMap) -> Result<Option<i64>, RequestStatus> {
    let Some(value) = headers.get("grpc-timeout") else {
        return Ok(None);
    };
    let micros = parse_timeout(value.as_bytes());
    micros.map(Some).ok_or_else(|| {
        let message = format!("grpc-timeout {value:?}: want up to 8 digits and one of H M S m u n");
        RequestStatus::new(Code::InvalidArgument, message)
    })
}

/// Reads the message of a unary request; `None` if the client sent none.
async fn read_unary_message(
    driver: &Driver,
    body: RecvStream,
) -> Result<Option<Bytes>, RequestStatus> {
    let mut messages = RequestMessages::new(body, driver.options.clients.message_bytes);
    let mut first: Option<Bytes> = None;
    let mut read = |cx: &mut Context<'_>| {
        let message = messages.poll_unary(&mut first, cx);
        message.map_err(RequestStatus::from)
    };
    // Usually the whole message has arrived by the time the headers are handled, and no timer is needed.
    let first_poll = poll_fn(|cx| Poll::Ready(read(cx))).await;
    if let Poll::Ready(message) = first_poll {
        return message;
    }
    let limit = driver.spawner.sleep(MESSAGE_TIMEOUT);
    let timed_out = || {
        let message = "the request's message did not come in time";
        Err(RequestStatus::new(Code::DeadlineExceeded, message))
    };
    within(limit, poll_fn(read)).await.unwrap_or_else(timed_out)
}

struct IncomingRequest {
    driver: Rc<Driver>,
    headers: HeaderMap,
    budget: Option<i64>,
    received: Instant,
}

impl IncomingRequest {
    /// Converts a request to a call of the dispatcher. On a stream the request parameter `timeout` is read too.
    fn call(&self, id: CallId, request: &scan::InferRequest<'_>, on_stream: bool) -> Call {
        let keys = self.driver.metadata_keys();
        let stated = |key: &str| -> Option<String> {
            let header = self.headers.get(key).and_then(|v| v.to_str().ok());
            let parameter = request.parameter(key).and_then(|v| v.as_str());
            parameter.or(header).map(str::to_string)
        };
        let class_name = stated(&keys.class);
        let tenant_name = stated(&keys.tenant);
        // `None` if the call states no name, `Some(None)` if it states a name that the settings do not define.
        let (class, tenant) = self.driver.with_dispatcher(|dispatcher| {
            let class = class_name.as_deref().map(|c| dispatcher.class_index(c));
            let tenant = tenant_name.as_deref().map(|t| dispatcher.tenant_index(t));
            (class, tenant)
        });
        let work_ms = request
            .parameter(&keys.work_ms)
            .and_then(|v| v.as_int())
            .or_else(|| stated(&keys.work_ms)?.trim().parse().ok());
        Call {
            id,
            function: request.model.to_string(),
            class: class.flatten(),
            tenant: tenant.flatten().unwrap_or(0),
            budget: self.call_budget(request, on_stream),
            work_hint: work_ms
                .filter(|ms| *ms > 0)
                .map(|ms| ms.saturating_mul(1000)),
            repeat: self.headers.contains_key("grpc-previous-rpc-attempts"),
            shape: None,
            unknown_names: class == Some(None) || tenant == Some(None),
            waited: 0,
        }
    }

    /// The time budget of a call, microseconds. The timeout of a stream limits each of its calls. Time is counted from the
    /// arrival of the headers.
    fn call_budget(&self, request: &scan::InferRequest<'_>, on_stream: bool) -> Option<i64> {
        let elapsed = i64::try_from(self.received.elapsed().as_micros()).unwrap_or(i64::MAX);
        let left = self
            .budget
            .map(|budget| budget.saturating_sub(elapsed).max(0));
        let own = request
            .parameter(names::TIMEOUT)
            .and_then(|v| v.as_int())
            .filter(|timeout| on_stream && *timeout > 0);
        match (own, left) {
            (Some(own), Some(left)) => Some(own.min(left)),
            (own, left) => own.or(left),
        }
    }

    /// Starts the call of a request at the driver; its responses are added to `responses`. `unary` tells whether the
    /// client called the unary method; otherwise the request arrived on a stream.
    fn start(
        &self,
        message: &Bytes,
        request: &scan::InferRequest<'_>,
        responses: &Rc<ResponseQueue>,
        unary: bool,
    ) {
        self.driver.start_call(|id| {
            let context = CallContext {
                id,
                model: request.model.to_string(),
                request_id: request.id.to_string(),
                path: if unary { INFER } else { STREAM },
                body: frame(message),
                metadata: forwarded_metadata(&self.headers),
                unary,
                responses: responses.clone(),
                staged: RefCell::new(None),
                complete: Cell::new(false),
                trailers: RefCell::new(None),
            };
            (context, self.call(id, request, !unary))
        });
    }

    async fn unary(self, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let responses = Rc::new(ResponseQueue::default());
        let message = read_unary_message(&self.driver, body).await;
        if let Err(status) = message.and_then(|message| self.start_unary(message, &responses)) {
            return respond_trailers_only(&mut respond, status.trailers());
        }
        let response = poll_fn(|cx| {
            if let Some(response) = take_unary_response(&responses) {
                return Poll::Ready(Some(response));
            }
            responses.set_reader(cx);
            // The client has reset the stream, or its connection has ended.
            respond.poll_reset(cx).map(|_| None)
        });
        let Some(response) = response.await else {
            return self.driver.client_left(responses.abandon());
        };
        let Some(message) = response.message else {
            return respond_trailers_only(&mut respond, response.trailers);
        };
        // Fails only if the client has left.
        if let Ok(mut send) = respond.send_response(response_headers(), false) {
            let _ = send
                .send_data(message, false)
                .and_then(|()| send.send_trailers(response.trailers));
        }
    }

    fn start_unary(
        &self,
        message: Option<Bytes>,
        responses: &Rc<ResponseQueue>,
    ) -> Result<(), RequestStatus> {
        let message =
            message.ok_or_else(|| RequestStatus::new(Code::InvalidArgument, "no message came"))?;
        let request = scan::InferRequest::parse(&message)?;
        self.start(&message, &request, responses, true);
        Ok(())
    }

    async fn stream(self, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let Ok(mut send) = respond.send_response(response_headers(), false) else {
            return;
        };
        let responses = Rc::new(ResponseQueue::default());
        let limit = self.driver.options.clients.message_bytes;
        let mut messages = Some(RequestMessages::new(body, limit));
        let mut unsent = Bytes::new();
        let end = poll_fn(|cx| {
            match self.read_stream(&mut messages, &responses, cx) {
                Ok(()) => {}
                Err(StreamError::ClientLeft) => return Poll::Ready(None),
                Err(error) => return Poll::Ready(Some(RequestStatus::from(error).trailers())),
            }
            responses.set_reader(cx);
            if send.poll_reset(cx).is_ready() {
                return Poll::Ready(None);
            }
            match write_queued(&mut send, &mut unsent, &responses, cx) {
                Err(_) => Poll::Ready(None),
                Ok(true) if messages.is_none() && responses.open_calls() == 0 => {
                    Poll::Ready(Some(status_trailers(Code::Ok, "")))
                }
                Ok(_) => Poll::Pending,
            }
        })
        .await;
        // The stream ends here, so calls that are still open can no longer be answered.
        self.driver.client_left(responses.abandon());
        if let Some(trailers) = end {
            let _ = send.send_trailers(trailers);
        }
    }

    /// Reads the messages that have arrived on a stream. `messages` becomes `None` at the end of the client's messages. At
    /// the limit of open calls nothing is read; the end of a call wakes this task.
    fn read_stream(
        &self,
        messages: &mut Option<RequestMessages>,
        responses: &Rc<ResponseQueue>,
        cx: &mut Context<'_>,
    ) -> Result<(), StreamError> {
        while let Some(reader) = messages
            .as_mut()
            .filter(|_| responses.open_calls() < MAX_CALLS_PER_STREAM)
        {
            match reader.poll_next(cx) {
                Poll::Pending => break,
                Poll::Ready(Ok(Some(message))) => self.start_streamed(&message, responses),
                Poll::Ready(Ok(None)) => *messages = None,
                Poll::Ready(Err(error)) => return Err(error),
            }
        }
        Ok(())
    }

    /// Starts the call of one message of a stream. A malformed message is answered with an error message on the stream,
    /// and does not end the stream.
    fn start_streamed(&self, message: &Bytes, responses: &Rc<ResponseQueue>) {
        match scan::InferRequest::parse(message) {
            Ok(request) => self.start(message, &request, responses, false),
            Err(error) => {
                let text = format!("failed: malformed request: {error}");
                responses.push(frame(&amend::stream_error("", "", text, None)));
            }
        }
    }

    /// Serves a method that the front end answers without a worker.
    async fn query(self, method: &str, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let answer = match read_unary_message(&self.driver, body).await {
            Ok(message) => queries::answer(&self.driver, method, &message.unwrap_or_default()),
            Err(status) => Err(status),
        };
        match answer {
            Ok(answer) => {
                if let Ok(mut send) = respond.send_response(response_headers(), false) {
                    let sent = send.send_data(frame(&answer), false);
                    let _ = sent.and_then(|()| send.send_trailers(status_trailers(Code::Ok, "")));
                }
            }
            Err(status) => respond_trailers_only(&mut respond, status.trailers()),
        }
    }
}

/// The response of a unary call: at most one message, and the trailers.
struct UnaryResponse {
    message: Option<Bytes>,
    trailers: HeaderMap,
}

fn take_unary_response(responses: &ResponseQueue) -> Option<UnaryResponse> {
    if let Some(trailers) = responses.take_status() {
        return Some(UnaryResponse {
            message: None,
            trailers,
        });
    }
    let message = responses.pop()?;
    let trailers = responses
        .take_status()
        .unwrap_or_else(|| status_trailers(Code::Internal, "no status"));
    Some(UnaryResponse {
        message: Some(message),
        trailers,
    })
}

/// Writes queued messages as far as flow control allows. Returns whether all were written, or an error if the client has
/// left.
fn write_queued(
    send: &mut SendStream<Bytes>,
    unsent: &mut Bytes,
    responses: &ResponseQueue,
    cx: &mut Context<'_>,
) -> Result<bool, h2::Error> {
    loop {
        if unsent.is_empty() {
            match responses.pop() {
                Some(next) => *unsent = next,
                None => return Ok(true),
            }
        }
        match poll_write(send, unsent, cx) {
            Poll::Pending => return Ok(false),
            Poll::Ready(sent) => sent?,
        }
    }
}
