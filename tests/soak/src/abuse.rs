//! Clients that send malformed, incomplete or oversized requests, or nothing. The front end has to answer each or close its
//! connection in time, and must serve none.

use crate::endpoints::{Endpoint, EndpointTable};
use crate::facts::{Fact, Facts, FrontEndIndex};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Within this time the front end answers a malformed request or closes its connection.
pub const RESPONSE_DUE_WITHIN: Duration = Duration::from_secs(3);
/// How much longer the client waits, to measure how late an answer comes.
const EXTRA_WAIT: Duration = Duration::from_secs(2);

/// Draws the bytes that a client sends: never a valid request.
fn draw_bytes(random: &mut fastrand::Rng) -> Vec<u8> {
    let head = "POST /ops/0000000000000001/call HTTP/1.1\r\nHost: app.svc\r\nX-Class: safe\r\n";
    let rest = "X-Request-Id: ffffffffffffffff\r\nX-Timeout-Ms: 900\r\nX-Extras: memory_mb:300;lanes:2\r\n";
    let text = match random.u32(0..9) {
        0 => String::new(),
        1 => head[..random.usize(1..head.len())].to_string(),
        2 => format!("{head}{rest}Content-Length: 10\r\n\r\nfour"),
        3 => format!("{head}{rest}Content-Length: -1\r\n\r\n"),
        4 => format!("{head}{rest}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"),
        5 => format!("{head}X-Request-Id: none\r\nContent-Length: 0\r\n\r\n"),
        6 => format!(
            "{head}{}Content-Length: 0\r\n\r\n",
            rest.replace("900", "1e9")
        ),
        7 => format!("GET / HTTP/9.9\r\n{}", "x".repeat(random.usize(1..9000))),
        _ => return (0..random.usize(1..400)).map(|_| random.u8(..)).collect(),
    };
    text.into_bytes()
}

/// Sends malformed requests to random front ends until `until`.
pub async fn run(
    facts: Arc<Facts>,
    endpoints: Arc<EndpointTable>,
    mut random: fastrand::Rng,
    until: Instant,
) {
    while Instant::now() < until {
        sleep(Duration::from_millis(random.u64(10..150))).await;
        let front_end = random.usize(0..endpoints.front_ends());
        let endpoint = endpoints.get(front_end);
        if endpoint.open {
            let bytes = draw_bytes(&mut random);
            tokio::spawn(send_malformed(facts.clone(), front_end, endpoint, bytes));
        }
    }
}

/// Sends bytes on a new connection and records what came back. Returns `None` if the connection failed.
async fn send_malformed(
    facts: Arc<Facts>,
    front_end: FrontEndIndex,
    endpoint: Endpoint,
    bytes: Vec<u8>,
) -> Option<()> {
    let connected = timeout(RESPONSE_DUE_WITHIN, TcpStream::connect(endpoint.address)).await;
    let mut socket = connected.ok()?.ok()?;
    let began = Instant::now();
    // A write fails if the front end has closed the connection, which is a valid reaction; the read below sees it.
    let _ = socket.write_all(&bytes).await;
    let mut first = [0u8; 12];
    let read = timeout(RESPONSE_DUE_WITHIN + EXTRA_WAIT, socket.read(&mut first)).await;
    let served = matches!(read, Ok(Ok(length)) if first[..length].starts_with(b"HTTP/1.1 200"));
    let after = read.is_ok().then(|| began.elapsed());
    facts.record(Fact::MalformedRequest {
        front_end,
        process: endpoint.process,
        after,
        served,
    });
    Some(())
}
