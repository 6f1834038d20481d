//! A minimal worker: returns a fixed answer, or never answers.

use crate::error::{system_error, BenchError};
use crate::load::response;
use bytes::Bytes;
use calloop::EventLoop;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{HeaderMap, HeaderValue, Request};
use prost::Message;
use std::future::poll_fn;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tansy_frames::grpc::{frame, Code};
use tansy_inference::{inference as pb, names};
use tansy_net_grpc::server::{response_headers, status_trailers, Limits, RequestMessages, Server};
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;

const MAX_REQUEST_BYTES: usize = 1 << 22;
/// Stream limit per connection: higher than the number of calls in any measurement.
const MAX_STREAMS: u32 = 100_000;

/// Serves `ports` ports and answers each call after `delay`. Prints the first address as `grpc`, all of them as `all`.
pub fn run(silent: bool, delay: Duration, ports: usize) -> Result<(), BenchError> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle()).map_err(system_error("event loop"))?;
    let worker = Worker {
        spawner: spawner.clone(),
        call_response: frame(&response().encode_to_vec()),
        silent,
        delay,
    };
    let addresses = (0..ports)
        .map(|_| worker.serve_port())
        .collect::<Result<Vec<String>, BenchError>>()?;
    println!("ready grpc={} all={}", addresses[0], addresses.join(","));
    loop {
        event_loop.dispatch(Some(Duration::from_secs(1)), &mut ())?;
    }
}

#[derive(Clone)]
struct Worker {
    spawner: Spawner,
    call_response: Bytes,
    silent: bool,
    delay: Duration,
}

impl Worker {
    /// Starts a server on a free port and returns its address.
    fn serve_port(&self) -> Result<String, BenchError> {
        let port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = listen(port, false).map_err(system_error("opening a worker port"))?;
        let address = listener
            .local_addr()
            .map_err(system_error("opening a worker port"))?;
        let limits = Limits {
            streams: MAX_STREAMS,
            ..Limits::default()
        };
        let worker = self.clone();
        let handler = Rc::new(
            move |request: Request<RecvStream>, respond: SendResponse<Bytes>| {
                worker
                    .spawner
                    .spawn(worker.clone().answer(request, respond));
            },
        );
        Server::start(self.spawner.clone(), listener, limits, handler)
            .map_err(system_error("starting a worker server"))?;
        Ok(address.to_string())
    }

    /// Answers a request after its message has been received.
    async fn answer(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let (head, body) = request.into_parts();
        let mut messages = RequestMessages::new(body, MAX_REQUEST_BYTES);
        let mut message = None;
        // If the request fails, its client has gone and no answer reaches it.
        let _ = poll_fn(|context| messages.poll_unary(&mut message, context)).await;
        let is_call = head.uri.path().ends_with("Infer");
        if is_call && self.silent {
            return poll_fn(|context| respond.poll_reset(context).map(drop)).await;
        }
        if is_call && !self.delay.is_zero() {
            self.spawner.sleep(self.delay).await;
        }
        let body = if is_call {
            self.call_response
        } else {
            frame(&pb::ServerReadyResponse { ready: true }.encode_to_vec())
        };
        if let Ok(mut stream) = respond.send_response(response_headers(), false) {
            // Fails only if the client has disconnected.
            let _ = stream
                .send_data(body, false)
                .and_then(|()| stream.send_trailers(trailers()));
        }
    }
}

/// Response trailers that report a single, warm instance.
fn trailers() -> HeaderMap {
    let mut trailers = status_trailers(Code::Ok, "");
    trailers.insert(names::CACHE_STATUS, HeaderValue::from_static("warm"));
    trailers.insert(names::INSTANCE_COUNT, HeaderValue::from_static("1"));
    trailers
}
