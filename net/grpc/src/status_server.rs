//! A small HTTP/1.1 port for health checks and counters: `GET` of a path, answered with a line of text.

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::future::poll_fn;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{within, Spawner};

/// Bytes of the head of one request.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time for one request, and between two.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections at once; further ones are closed.
const MAX_CONNECTIONS: usize = 256;

/// Answers a path: the end of its status line, and its body.
pub type Answers = Rc<dyn Fn(&str) -> (&'static str, String)>;

/// Serves the port on a listener.
pub fn start(spawner: Spawner, listener: TcpListener, answers: Answers) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    // Counts the connections: each holds a clone.
    let open = Rc::new(());
    let handle = spawner.handle().clone();
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let inserted = handle.insert_source(source, move |_, listener, ()| loop {
        match listener.accept() {
            Ok((socket, _)) if Rc::strong_count(&open) <= MAX_CONNECTIONS => {
                let Ok(socket) = Socket::new(spawner.handle(), socket) else {
                    continue;
                };
                let connection = StatusConnection {
                    spawner: spawner.clone(),
                    answers: answers.clone(),
                    socket,
                    _open: open.clone(),
                };
                spawner.spawn(connection.serve());
            }
            Ok(_) => {}
            Err(_) => return Ok(PostAction::Continue),
        }
    });
    inserted
        .map(drop)
        .map_err(|error| io::Error::other(error.to_string()))
}

struct StatusConnection {
    spawner: Spawner,
    answers: Answers,
    socket: Socket,
    _open: Rc<()>,
}

impl StatusConnection {
    async fn serve(self) {
        let mut unread = Vec::new();
        loop {
            let request = read_request(&self.socket, &mut unread);
            let request = within(self.spawner.sleep(REQUEST_TIMEOUT), request).await;
            let Some(Ok(Some(request))) = request else {
                return;
            };
            let (status, body) = (self.answers)(&request.path);
            let close = if request.keep_alive {
                ""
            } else {
                "Connection: close\r\n"
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{close}\r\n{body}",
                body.len()
            );
            let written = write(&self.socket, response.as_bytes());
            let written = within(self.spawner.sleep(REQUEST_TIMEOUT), written).await;
            if !request.keep_alive || !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    }
}

/// A request without a body. Its path is empty unless it is a `GET`.
struct StatusRequest {
    path: String,
    keep_alive: bool,
}

impl StatusRequest {
    fn new(parsed: &httparse::Request<'_, '_>) -> StatusRequest {
        let headers = &*parsed.headers;
        let closes = headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("connection")
                && header.value.eq_ignore_ascii_case(b"close")
        });
        let has_body = headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                || header.name.eq_ignore_ascii_case("content-length") && header.value != b"0"
        });
        let is_get = parsed.method == Some("GET") && !has_body;
        StatusRequest {
            path: parsed
                .path
                .filter(|_| is_get)
                .unwrap_or_default()
                .to_string(),
            keep_alive: parsed.version == Some(1) && !closes && !has_body,
        }
    }
}

fn invalid(reason: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.into())
}

/// Reads one request; `None`: the other side has ended the connection.
async fn read_request(socket: &Socket, unread: &mut Vec<u8>) -> io::Result<Option<StatusRequest>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed
            .parse(unread)
            .map_err(|error| invalid(error.to_string()))?;
        if let httparse::Status::Complete(length) = status {
            let request = StatusRequest::new(&parsed);
            unread.drain(..length);
            return Ok(Some(request));
        }
        if unread.len() >= MAX_HEAD_BYTES {
            return Err(invalid("a request head over the limit"));
        }
        let mut part = [0u8; 1024];
        let read = poll_fn(|cx| socket.poll_read(cx, &mut part)).await?;
        if read == 0 {
            return Ok(None);
        }
        unread.extend_from_slice(&part[..read]);
    }
}

async fn write(socket: &Socket, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = poll_fn(|cx| socket.poll_write(cx, bytes)).await?;
        bytes = &bytes[written..];
    }
    Ok(())
}
