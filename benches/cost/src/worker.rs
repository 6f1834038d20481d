//! A worker that costs next to nothing: a fixed answer at once, or silence.

use bytes::Bytes;
use calloop::EventLoop;
use http::HeaderValue;
use prost::Message;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tansy_frames::grpc::{frame, Code};
use tansy_inference::{inference as pb, names};
use tansy_net_grpc::server::{response_headers, status_trailers, Limits, RequestMessages, Server};
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;

/// Serves `ports` ports, the first of them told as `grpc`, all as `all`; each answer to a call takes `delay`.
pub fn run(silent: bool, delay: Duration, ports: usize) -> Result<(), crate::Error> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let answer = frame(&crate::client::answer().encode_to_vec());
    let tasks = spawner.clone();
    let handler = Rc::new(
        move |request: http::Request<h2::RecvStream>,
              mut respond: h2::server::SendResponse<Bytes>| {
            let (answer, again) = (answer.clone(), tasks.clone());
            tasks.spawn(async move {
                let (parts, body) = request.into_parts();
                let mut messages = RequestMessages::new(body, 1 << 22);
                let mut first = None;
                let _ = poll_fn(|cx| messages.poll_unary(&mut first, cx)).await;
                let call = parts.uri.path().ends_with("Infer");
                if call && silent {
                    return poll_fn(|cx| respond.poll_reset(cx).map(drop)).await;
                }
                if call && !delay.is_zero() {
                    again.sleep(delay).await;
                }
                let mut map = status_trailers(Code::Ok, "");
                map.insert(names::CACHE_STATUS, HeaderValue::from_static("warm"));
                map.insert(names::INSTANCE_COUNT, HeaderValue::from_static("1"));
                let body = if call {
                    answer
                } else {
                    frame(&pb::ServerReadyResponse { ready: true }.encode_to_vec())
                };
                if let Ok(mut send) = respond.send_response(response_headers(), false) {
                    let _ = send
                        .send_data(body, false)
                        .and_then(|()| send.send_trailers(map));
                }
            });
        },
    );
    let limits = Limits {
        streams: 100_000,
        ..Limits::default()
    };
    let mut all = Vec::new();
    for _ in 0..ports {
        let listener = listen("127.0.0.1:0".parse()?, false)?;
        all.push(listener.local_addr()?.to_string());
        Server::start(spawner.clone(), listener, limits, handler.clone())?;
    }
    println!("ready grpc={} all={}", all[0], all.join(","));
    loop {
        event_loop.dispatch(Some(Duration::from_secs(1)), &mut ())?;
    }
}
