//! A small HTTP/1.1 side port: `GET` of a path, answered with a line of text.

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::future::poll_fn;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tansy_net_sockets::socket::Socket;
use tansy_net_sockets::{within, Spawner};

/// Bytes of one request's head.
const HEAD: usize = 8 * 1024;
/// Time for one request, and between two.
const WITHIN: Duration = Duration::from_secs(10);
/// Connections at once; further ones are closed.
const CONNECTIONS: usize = 256;

/// What a path answers: its status line's end, and its body.
pub type Answers = Rc<dyn Fn(&str) -> (&'static str, String)>;

/// Serves the side port on a listener.
pub fn start(spawner: Spawner, listener: TcpListener, answers: Answers) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let open = Rc::new(());
    let handle = spawner.handle().clone();
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let inserted = handle.insert_source(source, move |_, listener, ()| loop {
        match listener.accept() {
            Ok((socket, _)) if Rc::strong_count(&open) <= CONNECTIONS => {
                let taken = Socket::new(spawner.handle(), socket).ok();
                if let Some(socket) = taken {
                    let (inner, answers, open) = (spawner.clone(), answers.clone(), open.clone());
                    spawner.spawn(async move {
                        serve(&inner, &answers, socket).await;
                        drop(open);
                    });
                }
            }
            Ok(_) => {}
            Err(_) => return Ok(PostAction::Continue),
        }
    });
    inserted
        .map(drop)
        .map_err(|e| io::Error::other(e.to_string()))
}

async fn serve(spawner: &Spawner, answers: &Answers, socket: Socket) {
    let mut buffer = Vec::new();
    loop {
        let read = within(spawner.sleep(WITHIN), request(&socket, &mut buffer)).await;
        let Some(Ok(Some((path, keep)))) = read else {
            return;
        };
        let (status, body) = answers(&path);
        let close = if keep { "" } else { "Connection: close\r\n" };
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{close}\r\n{body}",
            body.len()
        );
        let written = within(spawner.sleep(WITHIN), write(&socket, head.as_bytes())).await;
        if !keep || !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

/// One request without a body: its path, and whether the connection goes on.
async fn request(socket: &Socket, buffer: &mut Vec<u8>) -> io::Result<Option<(String, bool)>> {
    let bad = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why.to_string());
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut headers);
        if let httparse::Status::Complete(n) =
            parsed.parse(buffer).map_err(|e| bad(&e.to_string()))?
        {
            let has = |name: &str, value: &str| {
                let mut all = parsed
                    .headers
                    .iter()
                    .filter(|h| h.name.eq_ignore_ascii_case(name));
                all.any(|h| h.value.eq_ignore_ascii_case(value.as_bytes()))
            };
            let body = parsed.headers.iter().any(|h| {
                h.name.eq_ignore_ascii_case("transfer-encoding")
                    || h.name.eq_ignore_ascii_case("content-length") && h.value != b"0"
            });
            let keep = parsed.version == Some(1) && !has("connection", "close") && !body;
            let get = parsed.method == Some("GET") && !body;
            let path = if get {
                parsed.path.unwrap_or("").to_string()
            } else {
                String::new()
            };
            buffer.drain(..n);
            return Ok(Some((path, keep)));
        }
        if buffer.len() >= HEAD {
            return Err(bad("a request head over the limit"));
        }
        let mut part = [0u8; 1024];
        let n = poll_fn(|cx| socket.poll_read(cx, &mut part)).await?;
        if n == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&part[..n]);
    }
}

async fn write(socket: &Socket, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let n = poll_fn(|cx| socket.poll_write(cx, bytes)).await?;
        bytes = &bytes[n..];
    }
    Ok(())
}
