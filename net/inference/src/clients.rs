//! Requests of clients: read, checked, told to the ledger, answered.

use crate::hub::{CallIo, Hub};
use crate::sink::Sink;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tansy_dispatch::{Call, CallId};
use tansy_frames::grpc::{frame, timeout, Code, FrameError};
use tansy_inference::inference as pb;
use tansy_inference::names;
use tansy_inference::scan;
use tansy_net_grpc::server::{head, poll_write, refuse, trailers, Handler, Messages, StreamError};
use tansy_net_sockets::within;

/// Calls that may be open on one stream; its further requests are not read until one ends.
const CALLS_A_STREAM: usize = 4096;
/// Time for the message of a unary call to come in.
const MESSAGE_WITHIN: Duration = Duration::from_secs(30);

const INFER: &str = "/inference.GRPCInferenceService/ModelInfer";
const STREAM: &str = "/inference.GRPCInferenceService/ModelStreamInfer";

/// The handler of a hub's listener.
pub fn handler(hub: Rc<Hub>) -> Handler {
    Rc::new(move |request, respond| {
        let task = serve(hub.clone(), request, respond);
        hub.spawner.spawn(task);
    })
}

/// What ends a request that never becomes a call.
struct Status(Code, String);

async fn serve(hub: Rc<Hub>, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let came = Instant::now();
    let (parts, body) = request.into_parts();
    let kind = parts
        .headers
        .get(http::header::CONTENT_TYPE)
        .map_or(&b""[..], |v| v.as_bytes());
    let grpc = kind
        .strip_prefix(b"application/grpc")
        .is_some_and(|r| matches!(r.first(), None | Some(b'+' | b';')));
    if !grpc || parts.method != Method::POST {
        let mut response = Response::new(());
        let status = if grpc {
            StatusCode::METHOD_NOT_ALLOWED
        } else {
            StatusCode::UNSUPPORTED_MEDIA_TYPE
        };
        *response.status_mut() = status;
        // Fails only if the client has gone.
        let _ = respond.send_response(response, true);
        return;
    }
    let budget = match parts
        .headers
        .get("grpc-timeout")
        .map(|v| (timeout(v.as_bytes()), v))
    {
        None => None,
        Some((Some(micros), _)) => Some(micros),
        Some((None, value)) => {
            let why = format!("grpc-timeout {value:?}: want up to 8 digits and one of H M S m u n");
            return refuse(&mut respond, trailers(Code::InvalidArgument, &why));
        }
    };
    let call = Incoming {
        hub,
        headers: parts.headers,
        budget,
        came,
    };
    match parts.uri.path().strip_prefix(names::SERVICE) {
        Some("ModelInfer") => call.unary(body, respond).await,
        Some("ModelStreamInfer") => call.stream(body, respond).await,
        Some(method) => call.ask(method, body, respond).await,
        None => refuse(
            &mut respond,
            trailers(Code::Unimplemented, "unknown service"),
        ),
    }
}

struct Incoming {
    hub: Rc<Hub>,
    headers: HeaderMap,
    budget: Option<i64>,
    came: Instant,
}

/// The one message of a unary request.
async fn one(hub: &Hub, body: RecvStream) -> Result<Option<Bytes>, Status> {
    let mut messages = Messages::new(body, hub.setup.clients.message_bytes);
    let mut first: Option<Bytes> = None;
    let mut read = |cx: &mut Context<'_>| messages.poll_one(&mut first, cx).map_err(bad_stream);
    // Nearly always whole at once; only a slow one costs a timer.
    let now = poll_fn(|cx| Poll::Ready(read(cx))).await;
    if let Poll::Ready(done) = now {
        return done;
    }
    let limit = hub.spawner.sleep(MESSAGE_WITHIN);
    let late = || {
        Err(Status(
            Code::DeadlineExceeded,
            "the request's message did not come in time".into(),
        ))
    };
    within(limit, poll_fn(read)).await.unwrap_or_else(late)
}

fn bad_stream(bad: StreamError) -> Status {
    match bad {
        StreamError::ClientLeft => Status(Code::Cancelled, "the client left".into()),
        StreamError::SecondMessage => Status(
            Code::InvalidArgument,
            "two messages in a unary request".into(),
        ),
        StreamError::Truncated => Status(
            Code::InvalidArgument,
            "the stream ended within a message".into(),
        ),
        StreamError::Frame(bad) => {
            let code = match bad {
                FrameError::TooLong { .. } => Code::ResourceExhausted,
                FrameError::Compressed => Code::Unimplemented,
                FrameError::UnknownFlag(_) => Code::InvalidArgument,
            };
            Status(code, bad.to_string())
        }
    }
}

impl Incoming {
    /// What a request is, as the ledger wants it; `on_stream` reads the parameter `timeout`.
    fn call(&self, id: CallId, r: &scan::Request<'_>, on_stream: bool) -> Call {
        let setup = self.hub.names();
        let text = |key: &str| -> Option<String> {
            let header = self.headers.get(key).and_then(|v| v.to_str().ok());
            r.parameter(key)
                .and_then(|v| v.as_str())
                .or(header)
                .map(str::to_string)
        };
        let (class, tenant) = (text(&setup.class), text(&setup.tenant));
        let found = self.hub.with_front(|f| {
            let class = class.as_deref().map(|c| f.class_index(c));
            (class, tenant.as_deref().map(|t| f.tenant_index(t)))
        });
        let unlisted = matches!(found, (Some(None), _) | (_, Some(None)));
        let (class, tenant) = (found.0.flatten(), found.1.flatten().unwrap_or(0));
        let hint = r.parameter(&setup.work_ms).and_then(|v| v.as_int());
        let hint = hint.or_else(|| text(&setup.work_ms)?.trim().parse().ok());
        // The whole stream's time-out bounds each of its calls; the clock of both began with the headers.
        let since = i64::try_from(self.came.elapsed().as_micros()).unwrap_or(i64::MAX);
        let left = self.budget.map(|b| b.saturating_sub(since).max(0));
        let own = r
            .parameter(names::TIMEOUT)
            .and_then(|v| v.as_int())
            .filter(|t| on_stream && *t > 0);
        let budget = match (own, left) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        let repeat = self.headers.contains_key("grpc-previous-rpc-attempts");
        Call {
            id,
            function: r.model.to_string(),
            class,
            tenant,
            budget,
            work_hint: hint.filter(|h| *h > 0).map(|h| h.saturating_mul(1000)),
            repeat,
            shape: None,
            unknown_names: unlisted,
            waited: 0,
        }
    }

    fn start(&self, message: &Bytes, r: &scan::Request<'_>, sink: &Rc<Sink>, unary: bool) {
        self.hub.call(|id| {
            let io = CallIo {
                id,
                model: r.model.to_string(),
                request_id: r.id.to_string(),
                path: if unary { INFER } else { STREAM },
                body: frame(message),
                metadata: crate::trailers::metadata(&self.headers),
                unary,
                sink: sink.clone(),
                staged: RefCell::new(None),
                complete: Cell::new(false),
                trailers: RefCell::new(None),
            };
            (io, self.call(id, r, !unary))
        });
    }

    async fn unary(self, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let read = one(&self.hub, body).await;
        let checked =
            read.and_then(|m| m.ok_or(Status(Code::InvalidArgument, "no message came".into())));
        let sink = Rc::new(Sink::default());
        let started = checked.and_then(|message| {
            let malformed = |e: scan::Malformed| {
                Status(Code::InvalidArgument, format!("malformed request: {e}"))
            };
            let r = scan::Request::read(&message).map_err(malformed)?;
            self.start(&message, &r, &sink, true);
            Ok(())
        });
        if let Err(Status(code, why)) = started {
            return refuse(&mut respond, trailers(code, &why));
        }
        let end = poll_fn(|cx| {
            if let Some(end) = sink.take_end() {
                return Poll::Ready(Some((None, end)));
            }
            if let Some(message) = sink.pop() {
                let end = sink
                    .take_end()
                    .unwrap_or_else(|| trailers(Code::Internal, "no status"));
                return Poll::Ready(Some((Some(message), end)));
            }
            sink.watch(cx);
            // The client has reset the stream, or its connection has ended.
            respond.poll_reset(cx).map(|_| None)
        });
        match end.await {
            None => self.hub.left(sink.abandon()),
            Some((None, end)) => refuse(&mut respond, end),
            Some((Some(message), end)) => {
                // Fails only if the client has gone.
                if let Ok(mut send) = respond.send_response(head(), false) {
                    let _ = send
                        .send_data(message, false)
                        .and_then(|()| send.send_trailers(end));
                }
            }
        }
    }

    async fn stream(self, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let Ok(mut send) = respond.send_response(head(), false) else {
            return;
        };
        let sink = Rc::new(Sink::default());
        let mut messages = Some(Messages::new(body, self.hub.setup.clients.message_bytes));
        let mut writing = Bytes::new();
        let end = poll_fn(|cx| {
            // At the limit nothing is read; the end of a call wakes this task.
            while let Some(m) = messages.as_mut().filter(|_| sink.open() < CALLS_A_STREAM) {
                match m.poll_next(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Ok(Some(message))) => self.request(&message, &sink),
                    Poll::Ready(Ok(None)) => messages = None,
                    Poll::Ready(Err(StreamError::ClientLeft)) => return Poll::Ready(None),
                    Poll::Ready(Err(bad)) => {
                        let Status(code, why) = bad_stream(bad);
                        return Poll::Ready(Some(trailers(code, &why)));
                    }
                }
            }
            sink.watch(cx);
            if send.poll_reset(cx).is_ready() {
                return Poll::Ready(None);
            }
            match write(&mut send, &mut writing, &sink, cx) {
                Err(()) => Poll::Ready(None),
                Ok(true) if messages.is_none() && sink.open() == 0 => {
                    Poll::Ready(Some(trailers(Code::Ok, "")))
                }
                Ok(_) => Poll::Pending,
            }
        })
        .await;
        // Whatever is open now has lost its client.
        self.hub.left(sink.abandon());
        if let Some(end) = end {
            let _ = send.send_trailers(end);
        }
    }

    /// One request of a stream. What is wrong with it is answered in band; the stream lives on.
    fn request(&self, message: &Bytes, sink: &Rc<Sink>) {
        match scan::Request::read(message) {
            Ok(r) => self.start(message, &r, sink, false),
            Err(e) => {
                let text = format!("failed: malformed request: {e}");
                sink.push(frame(&tansy_inference::amend::stream_error(
                    "", "", text, None,
                )));
            }
        }
    }

    /// The questions that the front end answers itself.
    async fn ask(self, method: &str, body: RecvStream, mut respond: SendResponse<Bytes>) {
        let message = match one(&self.hub, body).await {
            Ok(message) => message.unwrap_or_default(),
            Err(Status(code, why)) => return refuse(&mut respond, trailers(code, &why)),
        };
        match self.answer(method, &message) {
            Ok(answer) => {
                if let Ok(mut send) = respond.send_response(head(), false) {
                    let sent = send.send_data(frame(&answer), false);
                    let _ = sent.and_then(|()| send.send_trailers(trailers(Code::Ok, "")));
                }
            }
            Err(Status(code, why)) => refuse(&mut respond, trailers(code, &why)),
        }
    }

    fn answer(&self, method: &str, message: &[u8]) -> Result<Vec<u8>, Status> {
        fn read<M: Message + Default>(message: &[u8]) -> Result<M, Status> {
            let malformed = |e| Status(Code::InvalidArgument, format!("malformed request: {e}"));
            M::decode(message).map_err(malformed)
        }
        self.hub.with_front(|front| {
            Ok(match method {
                "ServerLive" => pb::ServerLiveResponse { live: true }.encode_to_vec(),
                "ServerReady" => pb::ServerReadyResponse {
                    ready: front.is_ready(),
                }
                .encode_to_vec(),
                "ServerMetadata" => pb::ServerMetadataResponse {
                    name: "tansyrouter".into(),
                    version: env!("CARGO_PKG_VERSION").into(),
                    extensions: vec!["model_repository".into()],
                }
                .encode_to_vec(),
                "ModelReady" => {
                    let asked: pb::ModelReadyRequest = read(message)?;
                    let ready = front.is_ready() && self.hub.knows(&asked.name);
                    pb::ModelReadyResponse { ready }.encode_to_vec()
                }
                "ModelMetadata" => {
                    let asked: pb::ModelMetadataRequest = read(message)?;
                    let Some(spec) = front.function(&asked.name) else {
                        return Err(Status(
                            Code::NotFound,
                            format!("no function {:?} in the settings", asked.name),
                        ));
                    };
                    pb::ModelMetadataResponse {
                        name: spec.name.clone(),
                        versions: spec.versions.clone(),
                        platform: "tansyrouter".into(),
                        ..Default::default()
                    }
                    .encode_to_vec()
                }
                "RepositoryIndex" => {
                    let asked: pb::RepositoryIndexRequest = read(message)?;
                    let all = front
                        .function_states()
                        .into_iter()
                        .filter(|(_, s)| !asked.ready || *s == "READY");
                    let model = |(f, state): (&tansy_dispatch::FunctionSpec, &str)| {
                        pb::repository_index_response::ModelIndex {
                            name: f.name.clone(),
                            version: f.versions.last().cloned().unwrap_or_default(),
                            state: state.into(),
                            reason: "as this front end believes".into(),
                        }
                    };
                    pb::RepositoryIndexResponse {
                        models: all.map(model).collect(),
                    }
                    .encode_to_vec()
                }
                "RepositoryModelLoad" | "RepositoryModelUnload" => {
                    let why = "what is loaded where is the front ends' to decide";
                    return Err(Status(Code::PermissionDenied, why.into()));
                }
                _ => return Err(Status(Code::Unimplemented, "unknown method".into())),
            })
        })
    }
}

/// Writes what waits, as far as the client takes it; true: all of it.
fn write(
    send: &mut SendStream<Bytes>,
    writing: &mut Bytes,
    sink: &Sink,
    cx: &mut Context<'_>,
) -> Result<bool, ()> {
    loop {
        if writing.is_empty() {
            match sink.pop() {
                Some(next) => *writing = next,
                None => return Ok(true),
            }
        }
        match poll_write(send, writing, cx) {
            Poll::Pending => return Ok(false),
            Poll::Ready(sent) => sent.map_err(drop)?,
        }
    }
}
