//! One request and its answer.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Version};
use percent_encoding::percent_decode;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tansy_fleet_wire::{LARGEST, SERVICE};
use tansy_frames::grpc::{frame, Code};
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::Link;
use tansy_net_sockets::{within, Spawner};

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    /// It could not be reached, or did not answer in time.
    Away(String),
    /// It answers that it does not do it.
    Refused(Code, String),
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::Away(why) => f.write_str(why),
            Failed::Refused(code, why) => write!(f, "{why} ({code:?})"),
        }
    }
}
impl std::error::Error for Failed {}

/// Sends a message to a method of the service; the answer's message.
pub async fn ask(
    spawner: &Spawner,
    link: &Rc<Link>,
    method: &str,
    body: &[u8],
    limit: Duration,
) -> Result<Bytes, Failed> {
    let asked = within(spawner.sleep(limit), one(link, method, frame(body)));
    asked.await.unwrap_or_else(|| {
        Err(Failed::Away(format!(
            "no answer of {} in {limit:?}",
            link.address()
        )))
    })
}

async fn one(link: &Rc<Link>, method: &str, body: Bytes) -> Result<Bytes, Failed> {
    let away = |why: &str| Failed::Away(format!("{}: {why}", link.address()));
    let mut connection = link.connection().await.map_err(|_| away("no connection"))?;
    let ready = poll_fn(|cx| connection.send.poll_ready(cx)).await;
    ready.map_err(|_| away("the connection ended"))?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.version_mut() = Version::HTTP_2;
    let authority = link.address().to_string();
    let uri = http::Uri::builder().scheme("http").authority(authority);
    // A socket address and a path of ours always make a URI.
    *request.uri_mut() = uri
        .path_and_query(format!("{SERVICE}{method}"))
        .build()
        .unwrap_or_default();
    request
        .headers_mut()
        .insert(http::header::TE, HeaderValue::from_static("trailers"));
    let kind = HeaderValue::from_static("application/grpc");
    request
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    let exchange = Exchange::start(connection, request, body, true, LARGEST);
    let mut exchange = exchange.map_err(|_| away("the connection ended"))?;
    let mut answer = None;
    loop {
        match poll_fn(|cx| exchange.poll_event(cx)).await {
            ExchangeEvent::Message(message) => answer = Some(message),
            ExchangeEvent::Ended(Ending::Status(Code::Ok, _), _) => {
                return answer.ok_or(away("an empty answer"))
            }
            ExchangeEvent::Ended(Ending::Status(code, trailers), _) => {
                let text = trailers
                    .get("grpc-message")
                    .map_or(&b""[..], |v| v.as_bytes());
                let text = percent_decode(text).decode_utf8_lossy().into_owned();
                return Err(Failed::Refused(code, text));
            }
            ExchangeEvent::Ended(ending, _) => {
                return Err(away(&format!("it ended with {ending:?}")))
            }
        }
    }
}
