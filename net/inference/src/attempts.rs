//! Attempts: each sends a call's request to one worker and reports exactly one end.

use crate::call::{CallContext, CancelSignal};
use crate::messages::{stream_response, unary_response};
use crate::trailers::read_trailers;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Version};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tansy_dispatch::{AttemptOutcome, CallId, ControlRequestId, Input, ResponseStage, Trailers};
use tansy_frames::grpc::format_timeout;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent, Progress};
use tansy_net_grpc::link::{Connection, Link};

/// Receives the events of attempts and control requests. The driver implements it, so that this module need not depend on
/// the driver.
pub trait AttemptObserver {
    /// An attempt has made progress: its HEADERS were sent or a response message arrived.
    fn attempt_event(self: &Rc<Self>, input: Input);
    /// An attempt has ended.
    fn attempt_ended(
        self: &Rc<Self>,
        call: CallId,
        attempt: u32,
        outcome: AttemptOutcome,
        trailers: Trailers,
    );
    /// A control request has ended.
    fn control_request_ended(
        self: &Rc<Self>,
        request: ControlRequestId,
        outcome: AttemptOutcome,
        trailers: Trailers,
    );
}

/// The parameters of one attempt.
pub struct Attempt {
    /// The call that the attempt belongs to.
    pub call: Rc<CallContext>,
    /// The attempt's number within its call.
    pub number: u32,
    /// The rest of the call's time budget, microseconds.
    pub budget: i64,
    /// The most bytes of one response message.
    pub max_message_bytes: usize,
}

/// The end of an attempt or a control request.
pub struct AttemptEnd {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The trailers, if any arrived.
    pub trailers: Option<HeaderMap>,
}

impl AttemptEnd {
    /// Creates an end without trailers.
    pub fn without_trailers(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            trailers: None,
        }
    }

    /// Converts the end of an exchange. `is_complete`: the final message of the response had arrived.
    pub fn new(ending: Ending, progress: Progress, is_complete: bool) -> AttemptEnd {
        let stage = match progress {
            _ if is_complete => ResponseStage::Last,
            Progress::Nothing => ResponseStage::Nothing,
            Progress::Headers => ResponseStage::Headers,
            Progress::Messages => ResponseStage::Messages,
        };
        AttemptEnd::without_trailers(match ending {
            Ending::Status(code, trailers) => {
                let code = code.number();
                return AttemptEnd {
                    outcome: AttemptOutcome::Status { code, stage },
                    trailers: Some(trailers),
                };
            }
            Ending::Reset(code) => AttemptOutcome::Reset { code, stage },
            Ending::ConnectionLost => AttemptOutcome::ConnectionCut { stage },
            Ending::RefusedByGoaway => AttemptOutcome::GoawayBelow,
            Ending::NotSent => AttemptOutcome::NeverLeft,
            Ending::NoTrailers => AttemptOutcome::NoTrailers { stage },
            Ending::InvalidResponse(error) => {
                tracing::debug!(%error, "invalid response from a worker");
                AttemptOutcome::InvalidResponse { stage }
            }
            Ending::Cancelled => AttemptOutcome::Cancelled,
        })
    }

    /// The trailers as the dispatcher reads them; the default if none arrived.
    pub fn stated_trailers(&self) -> Trailers {
        self.trailers
            .as_ref()
            .map(read_trailers)
            .unwrap_or_default()
    }
}

/// Sends one attempt and reports its events and its end.
pub async fn run_attempt<O: AttemptObserver>(
    observer: Rc<O>,
    attempt: Attempt,
    link: Rc<Link>,
    signal: Rc<CancelSignal>,
) {
    let end = exchange(&observer, &attempt, &link, &signal).await;
    let trailers = end.stated_trailers();
    *attempt.call.trailers.borrow_mut() = end.trailers;
    observer.attempt_ended(attempt.call.id, attempt.number, end.outcome, trailers);
}

async fn exchange<O: AttemptObserver>(
    observer: &Rc<O>,
    attempt: &Attempt,
    link: &Rc<Link>,
    signal: &CancelSignal,
) -> AttemptEnd {
    let call = &*attempt.call;
    let connection = match connect(link, signal).await {
        Ok(connection) => connection,
        Err(outcome) => return AttemptEnd::without_trailers(outcome),
    };
    let head = request_head(link, call.path, Some(attempt.budget), Some(&call.metadata));
    let body = call.body.clone();
    let started = Exchange::start(
        connection,
        head,
        body,
        call.unary,
        attempt.max_message_bytes,
    );
    // The request was not queued, so that no part of it can be sent.
    let Ok(mut exchange) = started else {
        return AttemptEnd::without_trailers(AttemptOutcome::NeverLeft);
    };
    let mut last = false;
    loop {
        let event = poll_fn(|cx| poll_exchange(observer, attempt, signal, &mut exchange, cx));
        match event.await {
            ExchangeEvent::Message(message) if call.unary => match unary_response(call, &message) {
                Ok(message) => *call.staged.borrow_mut() = Some(message),
                Err(error) => exchange.reject(error.to_string()),
            },
            ExchangeEvent::Message(message) => match stream_response(call, &message) {
                Ok((message, is_last)) => {
                    forward(observer, attempt, message, is_last, last);
                    last |= is_last;
                    poll_fn(|cx| poll_client_capacity(call, signal, cx)).await;
                    exchange.release_capacity();
                }
                Err(error) => exchange.reject(error.to_string()),
            },
            ExchangeEvent::Ended(ending, progress) => {
                return AttemptEnd::new(ending, progress, last)
            }
        }
    }
}

/// Applies the requests of the signal, then polls the exchange for its next event.
fn poll_exchange<O: AttemptObserver>(
    observer: &Rc<O>,
    attempt: &Attempt,
    signal: &CancelSignal,
    exchange: &mut Exchange,
    cx: &mut Context<'_>,
) -> Poll<ExchangeEvent> {
    if signal.poll_cancelled(cx) {
        exchange.cancel();
    }
    if signal.take_confirmation_request() {
        if exchange.headers_sent() {
            observer.attempt_event(Input::AttemptSent {
                call: attempt.call.id,
                attempt: attempt.number,
            });
        } else {
            exchange.cancel();
        }
    }
    exchange.poll_event(cx)
}

/// Reports a response message, which the dispatcher may have forwarded. `ended`: the final message arrived before it.
fn forward<O: AttemptObserver>(
    observer: &Rc<O>,
    attempt: &Attempt,
    message: Bytes,
    last: bool,
    ended: bool,
) {
    let call = &attempt.call;
    *call.staged.borrow_mut() = Some(message);
    if last && !ended {
        call.complete.set(true);
    }
    observer.attempt_event(Input::ResponseMessage {
        call: call.id,
        attempt: attempt.number,
        last,
    });
    // A message that the dispatcher did not forward must not be mistaken for a later one.
    call.staged.borrow_mut().take();
}

/// Ready once the client's queue has room for another message, or cancellation of the attempt was requested.
fn poll_client_capacity(
    call: &CallContext,
    signal: &CancelSignal,
    cx: &mut Context<'_>,
) -> Poll<()> {
    let room = call.responses.poll_capacity(cx).is_ready();
    if room || signal.poll_cancelled(cx) {
        Poll::Ready(())
    } else {
        Poll::Pending
    }
}

/// Waits for a connection that can open a stream; returns the outcome of the attempt if there is none.
pub(crate) async fn connect(
    link: &Rc<Link>,
    signal: &CancelSignal,
) -> Result<Connection, AttemptOutcome> {
    let mut connecting = link.connection();
    let connection = poll_fn(|cx| match Pin::new(&mut connecting).poll(cx) {
        Poll::Ready(Ok(connection)) => Poll::Ready(Ok(connection)),
        Poll::Ready(Err(_)) => Poll::Ready(Err(AttemptOutcome::ConnectRefused)),
        Poll::Pending if signal.poll_cancelled(cx) || signal.take_confirmation_request() => {
            Poll::Ready(Err(AttemptOutcome::ConnectTimedOut))
        }
        Poll::Pending => Poll::Pending,
    });
    let mut connection = connection.await?;
    let ready = poll_fn(|cx| {
        if signal.poll_cancelled(cx) || signal.take_confirmation_request() {
            return Poll::Ready(Err(AttemptOutcome::NeverLeft));
        }
        connection
            .send
            .poll_ready(cx)
            .map_err(|_| AttemptOutcome::NeverLeft)
    });
    ready.await.map(|()| connection)
}

/// The headers of a request to a worker.
pub(crate) fn request_head(
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
    // A socket address and a constant path always form a valid URI.
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
    if let Some(mut value) = budget.and_then(|b| HeaderValue::from_str(&format_timeout(b)).ok()) {
        // Timeouts rarely repeat: indexing them would evict useful entries from the header table (RFC 7541, 7.1.3).
        value.set_sensitive(true);
        headers.insert(HeaderName::from_static("grpc-timeout"), value);
    }
    request
}
