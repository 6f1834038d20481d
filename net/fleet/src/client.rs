//! Sends requests to the methods of the fleet service.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Version};
use percent_encoding::percent_decode;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tansy_fleet_wire::{MAX_MESSAGE_BYTES, SERVICE};
use tansy_frames::grpc::{frame, Code};
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::Link;
use tansy_net_sockets::{within, Spawner};
use thiserror::Error;

/// Why a request has no reply.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The peer could not be reached, or did not reply in time.
    #[error("{0}")]
    Unreachable(String),
    /// The peer rejected the request.
    #[error("{1} ({0:?})")]
    Rejected(Code, String),
}

/// Sends a request to a method of the service and returns the message of the reply.
pub async fn send_request(
    spawner: &Spawner,
    link: &Rc<Link>,
    method: &str,
    body: &[u8],
    limit: Duration,
) -> Result<Bytes, RequestError> {
    let reply = within(spawner.sleep(limit), exchange(link, method, frame(body))).await;
    reply.unwrap_or_else(|| {
        Err(RequestError::Unreachable(format!(
            "no reply from {} within {limit:?}",
            link.address()
        )))
    })
}

async fn exchange(link: &Rc<Link>, method: &str, body: Bytes) -> Result<Bytes, RequestError> {
    let unreachable =
        |reason: &str| RequestError::Unreachable(format!("{}: {reason}", link.address()));
    let connection = link.connection().await;
    let mut connection = connection.map_err(|_| unreachable("no connection"))?;
    let ready = poll_fn(|cx| connection.send.poll_ready(cx)).await;
    ready.map_err(|_| unreachable("the connection ended"))?;
    let request = request(link, method);
    let exchange = Exchange::start(connection, request, body, true, MAX_MESSAGE_BYTES);
    let mut exchange = exchange.map_err(|_| unreachable("the connection ended"))?;
    let mut reply = None;
    loop {
        match poll_fn(|cx| exchange.poll_event(cx)).await {
            ExchangeEvent::Message(message) => reply = Some(message),
            ExchangeEvent::Ended(Ending::Status(Code::Ok, _), _) => {
                return reply.ok_or(unreachable("the reply has no message"))
            }
            ExchangeEvent::Ended(Ending::Status(code, trailers), _) => {
                let text = trailers.get("grpc-message");
                let text = text.map_or(&b""[..], |value| value.as_bytes());
                let text = percent_decode(text).decode_utf8_lossy().into_owned();
                return Err(RequestError::Rejected(code, text));
            }
            ExchangeEvent::Ended(ending, _) => {
                return Err(unreachable(&format!("the request ended with {ending:?}")))
            }
        }
    }
}

fn request(link: &Rc<Link>, method: &str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.version_mut() = Version::HTTP_2;
    let authority = link.address().to_string();
    let uri = http::Uri::builder().scheme("http").authority(authority);
    let uri = uri.path_and_query(format!("{SERVICE}{method}"));
    // A socket address and a path of the service always form a valid URI.
    *request.uri_mut() = uri.build().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert(http::header::TE, HeaderValue::from_static("trailers"));
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/grpc"),
    );
    request
}
