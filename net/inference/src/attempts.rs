//! What goes to workers: attempts, probes and orders, each from its command to its one end.

use crate::hub::{piece, response, CallIo, Flag, Hub};
use crate::trailers::told;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Version};
use prost::Message;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tansy_dispatch::{AttemptOutcome, ControlRequestId, Input, ResponseStage, Trailers};
use tansy_frames::grpc::{frame, spell_timeout, Code};
use tansy_inference::inference as pb;
use tansy_inference::names;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent, Progress};
use tansy_net_grpc::link::{Connection, Link};

/// One attempt of a call.
pub async fn attempt(
    hub: Rc<Hub>,
    io: Rc<CallIo>,
    number: u32,
    link: Rc<Link>,
    budget: i64,
    flag: Rc<Flag>,
) {
    let (seen, trailers) = run(&hub, &io, number, &link, budget, &flag).await;
    let told = trailers.as_ref().map(told).unwrap_or_default();
    *io.trailers.borrow_mut() = trailers;
    hub.attempt_ended(io.id, number, seen, told);
}

async fn run(
    hub: &Rc<Hub>,
    io: &CallIo,
    number: u32,
    link: &Rc<Link>,
    budget: i64,
    flag: &Flag,
) -> (AttemptOutcome, Option<HeaderMap>) {
    let connection = match connect(link, flag).await {
        Ok(c) => c,
        Err(seen) => return (seen, None),
    };
    let request = request(link, io.path, Some(budget), Some(&io.metadata));
    let limit = hub.setup.clients.message_bytes;
    let mut exchange = match Exchange::start(connection, request, io.body.clone(), io.unary, limit)
    {
        Ok(e) => e,
        // Not queued: nothing of it can leave.
        Err(_) => return (AttemptOutcome::NeverLeft, None),
    };
    let mut last = false;
    loop {
        let news = std::future::poll_fn(|cx| {
            if flag.poll(cx) {
                exchange.cancel();
            }
            if flag.asked() {
                if exchange.headers_sent() {
                    hub.feed(Input::AttemptSent {
                        call: io.id,
                        attempt: number,
                    });
                } else {
                    exchange.cancel();
                }
            }
            exchange.poll_event(cx)
        });
        match news.await {
            ExchangeEvent::Message(message) if io.unary => match response(io, &message) {
                Ok(message) => *io.staged.borrow_mut() = Some(message),
                Err(why) => exchange.reject(why),
            },
            ExchangeEvent::Message(message) => match piece(io, &message) {
                Ok((message, ends)) => {
                    *io.staged.borrow_mut() = Some(message);
                    if ends && !last {
                        io.complete.set(true);
                    }
                    hub.feed(Input::ResponseMessage {
                        call: io.id,
                        attempt: number,
                        last: ends,
                    });
                    // What the ledger did not pass on must not be taken for a later piece.
                    io.staged.borrow_mut().take();
                    last |= ends;
                    std::future::poll_fn(|cx| {
                        let room = io.sink.poll_room(cx).is_ready();
                        if room || flag.poll(cx) {
                            Poll::Ready(())
                        } else {
                            Poll::Pending
                        }
                    })
                    .await;
                    exchange.release_capacity();
                }
                Err(why) => exchange.reject(why),
            },
            ExchangeEvent::Ended(ending, progress) => return seen(ending, progress, last),
        }
    }
}

/// A connection that can take a stream now; or how the attempt ended without one.
async fn connect(link: &Rc<Link>, flag: &Flag) -> Result<Connection, AttemptOutcome> {
    let mut connected = link.connection();
    let connection = std::future::poll_fn(|cx| match Pin::new(&mut connected).poll(cx) {
        Poll::Ready(Ok(c)) => Poll::Ready(Ok(c)),
        Poll::Ready(Err(_)) => Poll::Ready(Err(AttemptOutcome::ConnectRefused)),
        Poll::Pending if flag.poll(cx) || flag.asked() => {
            Poll::Ready(Err(AttemptOutcome::ConnectTimedOut))
        }
        Poll::Pending => Poll::Pending,
    });
    let mut connection = connection.await?;
    let ready = std::future::poll_fn(|cx| {
        if flag.poll(cx) || flag.asked() {
            return Poll::Ready(Err(AttemptOutcome::NeverLeft));
        }
        connection
            .send
            .poll_ready(cx)
            .map_err(|_| AttemptOutcome::NeverLeft)
    });
    ready.await.map(|()| connection)
}

fn request(
    link: &Link,
    path: &str,
    budget: Option<i64>,
    metadata: Option<&HeaderMap>,
) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.version_mut() = Version::HTTP_2;
    let authority = link.address().to_string();
    let uri = http::Uri::builder()
        .scheme("http")
        .authority(authority)
        .path_and_query(path);
    // A socket address and a path of ours always make a URI.
    *request.uri_mut() = uri.build().unwrap_or_default();
    let headers = request.headers_mut();
    if let Some(metadata) = metadata {
        headers.extend(metadata.iter().map(|(k, v)| (k.clone(), v.clone())));
    }
    headers.insert(http::header::TE, HeaderValue::from_static("trailers"));
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/grpc"),
    );
    if let Some(mut value) = budget.and_then(|b| HeaderValue::from_str(&spell_timeout(b)).ok()) {
        // Never the same twice: it would only push useful entries out of the header table (RFC 7541, 7.1.3).
        value.set_sensitive(true);
        headers.insert(HeaderName::from_static("grpc-timeout"), value);
    }
    request
}

fn seen(ending: Ending, progress: Progress, last: bool) -> (AttemptOutcome, Option<HeaderMap>) {
    let stage = match progress {
        _ if last => ResponseStage::Last,
        Progress::Nothing => ResponseStage::Nothing,
        Progress::Headers => ResponseStage::Headers,
        Progress::Messages => ResponseStage::Messages,
    };
    match ending {
        Ending::Status(code, trailers) => (
            AttemptOutcome::Status {
                code: code.number(),
                stage,
            },
            Some(trailers),
        ),
        Ending::Reset(code) => (AttemptOutcome::Reset { code, stage }, None),
        Ending::ConnectionCut => (AttemptOutcome::ConnectionCut { stage }, None),
        Ending::GoawayBelow => (AttemptOutcome::GoawayBelow, None),
        Ending::NeverLeft => (AttemptOutcome::NeverLeft, None),
        Ending::NoTrailers => (AttemptOutcome::NoTrailers { stage }, None),
        Ending::InvalidResponse(why) => {
            tracing::debug!(%why, "a worker's answer was refused");
            (AttemptOutcome::InvalidResponse { stage }, None)
        }
        Ending::Cancelled => (AttemptOutcome::Cancelled, None),
    }
}

/// A probe or an order as it goes out.
pub struct OrderRequest {
    path: &'static str,
    body: Bytes,
}

impl OrderRequest {
    /// `ServerReady`, whose trailers carry the load report.
    pub fn probe() -> OrderRequest {
        OrderRequest {
            path: "/inference.GRPCInferenceService/ServerReady",
            body: frame(&[]),
        }
    }
    /// `RepositoryModelLoad` with the parameter `instances`.
    pub fn load(function: &str, instances: u32) -> OrderRequest {
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
        let path = "/inference.GRPCInferenceService/RepositoryModelLoad";
        OrderRequest {
            path,
            body: frame(&message.encode_to_vec()),
        }
    }
    /// `RepositoryModelUnload`.
    pub fn unload(function: &str) -> OrderRequest {
        let message = pb::RepositoryModelUnloadRequest {
            model_name: function.into(),
            ..Default::default()
        };
        let path = "/inference.GRPCInferenceService/RepositoryModelUnload";
        OrderRequest {
            path,
            body: frame(&message.encode_to_vec()),
        }
    }
}

/// Bytes of an answer to an order; it holds nothing.
const ORDER_ANSWER: usize = 64 * 1024;

/// One probe or order.
pub async fn order(
    hub: Rc<Hub>,
    order: ControlRequestId,
    what: OrderRequest,
    link: Rc<Link>,
    flag: Rc<Flag>,
) {
    let (seen, trailers) = run_order(what, &link, &flag).await;
    let told = trailers.as_ref().map_or_else(Trailers::default, told);
    hub.order_ended(order, seen, told);
}

async fn run_order(
    what: OrderRequest,
    link: &Rc<Link>,
    flag: &Flag,
) -> (AttemptOutcome, Option<HeaderMap>) {
    let connection = match connect(link, flag).await {
        Ok(c) => c,
        Err(seen) => return (seen, None),
    };
    let request = request(link, what.path, None, None);
    let Ok(mut exchange) = Exchange::start(connection, request, what.body, true, ORDER_ANSWER)
    else {
        return (AttemptOutcome::NeverLeft, None);
    };
    loop {
        let news = std::future::poll_fn(|cx| {
            if flag.poll(cx) {
                exchange.cancel();
            }
            exchange.poll_event(cx)
        });
        if let ExchangeEvent::Ended(ending, progress) = news.await {
            if let Ending::Status(code, _) = &ending {
                if *code != Code::Ok {
                    tracing::debug!(path = what.path, ?code, "an order was not carried out");
                }
            }
            return seen(ending, progress, false);
        }
    }
}
