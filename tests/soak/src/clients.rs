//! Clients: each sends one request at a time to its front end, reuses connections or opens new ones, and waits for the answer or
//! disconnects before it.

use crate::discovery::read_head;
use crate::endpoints::{Endpoint, EndpointTable};
use crate::facts::{ConnectionEnd, Effect, Fact, Facts, FrontEndIndex, RequestId};
use crate::proxy::reset_on_close;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// If the front end closes an idle connection within this time after a request was sent on it, the close and the request may have
/// crossed, and the client sends the request again.
pub const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// How long after a request's timeout an answer still counts as in time.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long a client waits beyond the timeout and [`ANSWER_SLACK`], as the machine itself may be slow.
const EXTRA_WAIT: Duration = Duration::from_millis(300);
/// Idle time of a new connection, milliseconds: about as long as a front end permits.
const IDLE_NEW_MS: std::ops::Range<u64> = 2200..2400;
/// Idle time of a connection that has carried a request, milliseconds.
const IDLE_LONG_MS: std::ops::Range<u64> = 2500..4000;
/// Number of functions that clients call.
const FUNCTIONS: u64 = 6;

/// Timeout for connecting to a front end.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One client.
pub struct Client {
    /// Where the client records what it observes.
    pub facts: Arc<Facts>,
    /// The endpoints of all front ends.
    pub endpoints: Arc<EndpointTable>,
    /// The front end that the client sends to.
    pub front_end: FrontEndIndex,
    /// The next request id, shared by all clients.
    pub next_id: Arc<AtomicU64>,
    /// The client's random numbers.
    pub random: fastrand::Rng,
    /// When the client stops sending.
    pub until: Instant,
}

struct Request {
    id: RequestId,
    effect: Effect,
    timeout: Duration,
    text: Vec<u8>,
    body: String,
}

/// A complete answer.
struct Answer {
    status: u16,
    body: Vec<u8>,
    /// Whether the front end keeps the connection open.
    keep_alive: bool,
}

/// How a request ended for its client.
enum RequestEnd {
    /// Answered; the connection stays open.
    KeepAlive,
    /// Answered or not; the connection is closed.
    Closed,
    /// The front end closed the idle connection while the request was on its way: the client sends the request again.
    CloseRace,
}

struct Connection {
    socket: TcpStream,
    process: u64,
    /// Whether the connection has been idle, with no request open on it.
    was_idle: bool,
}

impl Client {
    /// Sends requests until `self.until`.
    pub async fn run(mut self) {
        let mut connection = None;
        while Instant::now() < self.until {
            sleep(Duration::from_millis(self.random.u64(5..120))).await;
            connection = self.send_next(connection).await;
        }
    }

    fn endpoint(&self) -> Endpoint {
        self.endpoints.get(self.front_end)
    }

    async fn connect(&self) -> Option<Connection> {
        let endpoint = self.endpoint();
        if !endpoint.open {
            return None;
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address)).await;
        let socket = connected.ok()?.ok()?;
        let _ = socket.set_nodelay(true);
        Some(Connection {
            socket,
            process: endpoint.process,
            was_idle: false,
        })
    }

    /// Sends one request, on `last` if that connects to the present process. Returns the connection if it stays open.
    async fn send_next(&mut self, last: Option<Connection>) -> Option<Connection> {
        let process = self.endpoint().process;
        let mut connection = match last.filter(|last| last.process == process) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        self.idle(&mut connection).await;
        if !self.endpoint().open {
            return None;
        }
        let request = self.draw_request();
        match self.exchange(&mut connection, &request).await {
            RequestEnd::KeepAlive => Some(Connection {
                was_idle: true,
                ..connection
            }),
            RequestEnd::Closed => None,
            RequestEnd::CloseRace => {
                let mut again = self.connect().await?;
                let _ = self.exchange(&mut again, &request).await;
                None
            }
        }
    }

    /// Leaves a connection idle for a while, with a small probability.
    async fn idle(&mut self, connection: &mut Connection) {
        let idle_ms = match (connection.was_idle, self.random.u32(0..40)) {
            (false, 0) => self.random.u64(IDLE_NEW_MS),
            (true, 0) => self.random.u64(IDLE_LONG_MS),
            _ => return,
        };
        connection.was_idle = true;
        sleep(Duration::from_millis(idle_ms)).await;
    }

    fn draw_request(&mut self) -> Request {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (effect, class) = match self.random.u32(0..5) {
            0 | 1 => (Effect::Safe, "safe"),
            2 | 3 => (Effect::Unsafe, "once"),
            _ => (Effect::Keyed, "keyed"),
        };
        let key = if effect == Effect::Keyed {
            format!("Idempotency-Key: k{id}\r\n")
        } else {
            String::new()
        };
        let timeout_ms = match self.random.u32(0..10) {
            0 => self.random.u64(5..80),
            1..=4 => self.random.u64(200..800),
            _ => self.random.u64(800..1990),
        };
        let function = self.random.u64(0..FUNCTIONS);
        let body = format!("body of {id}");
        let text = format!(
            "POST /ops/{function:016x}/call HTTP/1.1\r\nHost: app.svc\r\nX-Class: {class}\r\nX-Request-Id: {id:016x}\r\n\
             X-Timeout-Ms: {timeout_ms}\r\nX-Extras: memory_mb:300;lanes:2\r\n{key}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Request {
            id,
            effect,
            timeout: Duration::from_millis(timeout_ms),
            text: text.into_bytes(),
            body,
        }
    }

    /// Sends a request and waits until it has ended.
    async fn exchange(&mut self, connection: &mut Connection, request: &Request) -> RequestEnd {
        let sent = self.write(&mut connection.socket, &request.text).await;
        if sent.is_err() {
            // The front end never received the whole request, so nothing is recorded.
            return RequestEnd::Closed;
        }
        let sent = Instant::now();
        let idle_before = connection.was_idle;
        self.facts.record(Fact::RequestSent {
            id: request.id,
            front_end: self.front_end,
            process: connection.process,
            effect: request.effect,
            timeout: request.timeout,
            idle_before,
        });
        let wait = self.draw_wait(request.timeout);
        match timeout(wait, read_answer(&mut connection.socket)).await {
            Err(_) => {
                self.disconnect(connection, request, wait);
                RequestEnd::Closed
            }
            Ok(Ok(answer)) => self.on_answer(&answer, request),
            Ok(Err(end)) => {
                self.facts.record(Fact::ConnectionLost {
                    id: request.id,
                    end,
                });
                let closed = end == ConnectionEnd::Closed;
                if closed && idle_before && sent.elapsed() <= CLOSE_RACE_WINDOW {
                    RequestEnd::CloseRace
                } else {
                    RequestEnd::Closed
                }
            }
        }
    }

    /// Draws how long the client waits for an answer: a tenth of the requests is abandoned early, half of them at the timeout, and
    /// the rest after [`ANSWER_SLACK`] and [`EXTRA_WAIT`], so that a late answer is seen.
    fn draw_wait(&mut self, timeout: Duration) -> Duration {
        match self.random.u32(0..10) {
            0 => timeout.mul_f64(self.random.f64()),
            1..=5 => timeout,
            _ => timeout + ANSWER_SLACK + EXTRA_WAIT,
        }
    }

    /// Closes or resets the connection while a request is open on it.
    fn disconnect(&mut self, connection: &mut Connection, request: &Request, waited: Duration) {
        let socket = &mut connection.socket;
        if self.random.bool() {
            reset_on_close(socket);
        }
        // The connection is closed before the fact is recorded: a recorded end must not be earlier than the real one.
        if let Ok(closed) = std::mem::replace(socket, unconnected_socket()).into_std() {
            drop(closed);
        }
        let id = request.id;
        self.facts.record(if waited > request.timeout {
            Fact::ResponseTimedOut { id }
        } else {
            Fact::ClientDisconnected { id }
        });
    }

    fn on_answer(&self, answer: &Answer, request: &Request) -> RequestEnd {
        self.facts.record(Fact::ResponseReceived {
            id: request.id,
            status: answer.status,
            body_matches: answer.body == request.body.as_bytes(),
        });
        if answer.keep_alive {
            RequestEnd::KeepAlive
        } else {
            RequestEnd::Closed
        }
    }

    /// Writes a request; every eighth is split into two writes with a pause between them.
    async fn write(&mut self, socket: &mut TcpStream, text: &[u8]) -> std::io::Result<()> {
        if self.random.u32(0..8) > 0 {
            return socket.write_all(text).await;
        }
        let (first, second) = text.split_at(self.random.usize(1..text.len()));
        socket.write_all(first).await?;
        sleep(Duration::from_millis(self.random.u64(0..30))).await;
        socket.write_all(second).await
    }
}

/// An unconnected socket, to replace one that is closed.
fn unconnected_socket() -> TcpStream {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_nonblocking(true).expect("a socket");
    TcpStream::from_std(socket.into()).expect("a runtime")
}

/// Reads a complete answer.
async fn read_answer(socket: &mut TcpStream) -> Result<Answer, ConnectionEnd> {
    let mut first = [0u8; 1];
    match socket.read(&mut first).await {
        Ok(1) => {}
        _ => return Err(ConnectionEnd::Closed),
    }
    let rest = read_head(socket).await;
    let rest = rest.ok_or(ConnectionEnd::Truncated)?;
    let lines: Vec<&str> = rest.lines().collect();
    let status = lines
        .first()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let length = lines
        .iter()
        .find_map(|line| line.strip_prefix("Content-Length: ")?.trim().parse().ok());
    let (Some(status), Some(length)) = (status, length) else {
        return Err(ConnectionEnd::Truncated);
    };
    let mut body = vec![0u8; length];
    let read = socket.read_exact(&mut body).await;
    read.map_err(|_| ConnectionEnd::Truncated)?;
    let closes = |line: &&str| line.eq_ignore_ascii_case("connection: close");
    Ok(Answer {
        status,
        body,
        keep_alive: !lines.iter().any(closes),
    })
}
