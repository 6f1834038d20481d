//! A small HTTP/1.1 server for health checks and counters: answers `GET` requests with one line of text.

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::future::poll_fn;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{within, Spawner};

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time limit for reading a request, including the wait for it, and for writing its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections; further ones are closed.
const MAX_CONNECTIONS: usize = 256;

/// Maps a path to the rest of the status line (code and reason) and the body.
pub type StatusHandler = Rc<dyn Fn(&str) -> (&'static str, String)>;

/// Starts serving on a listener.
pub fn start(spawner: Spawner, listener: TcpListener, handler: StatusHandler) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    // Counts open connections: each holds a clone.
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
                    handler: handler.clone(),
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
    handler: StatusHandler,
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
            let (status, body) = (self.handler)(&request.path);
            let connection_header = if request.keep_alive {
                ""
            } else {
                "Connection: close\r\n"
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{connection_header}\r\n{body}",
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

/// A request without a body. The path is empty unless the method is `GET`.
struct StatusRequest {
    path: String,
    keep_alive: bool,
}

impl StatusRequest {
    fn new(parsed: &httparse::Request<'_, '_>) -> StatusRequest {
        let headers = &*parsed.headers;
        let wants_close = headers.iter().any(|header| {
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
            keep_alive: parsed.version == Some(1) && !wants_close && !has_body,
        }
    }
}

fn invalid(reason: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.into())
}

/// Reads a request; `None` if the client has closed the connection.
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
            return Err(invalid("request head exceeds the size limit"));
        }
        let mut chunk = [0u8; 1024];
        let read = poll_fn(|cx| socket.poll_read(cx, &mut chunk)).await?;
        if read == 0 {
            return Ok(None);
        }
        unread.extend_from_slice(&chunk[..read]);
    }
}

async fn write(socket: &Socket, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = poll_fn(|cx| socket.poll_write(cx, bytes)).await?;
        bytes = &bytes[written..];
    }
    Ok(())
}
