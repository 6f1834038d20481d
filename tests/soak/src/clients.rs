//! Clients: each sends a request at a time to its front end, keeps its connection or not, waits or leaves.

use crate::discovery::head;
use crate::facts::{ConnectionEnd, Effect, Fact, Facts, Place, RequestId};
use crate::proxy::reset_on_close;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A request that crosses the end of a connection with none open is sent once more, if the end came so soon.
pub const CROSSING: Duration = Duration::from_millis(50);
/// An answer that comes so long after its request's time is late, and no more than that.
pub const LATE: Duration = Duration::from_millis(500);
/// Beyond that a client of this soak waits for as long again as its own machine may take.
const BEYOND: Duration = Duration::from_millis(300);
/// A new connection rests for so long in milliseconds, when it rests at all: about as long as a front end lets it.
const REST_NEW_MS: std::ops::Range<u64> = 2200..2400;
/// A connection that was answered rests for so long, when it rests for long.
const REST_LONG_MS: std::ops::Range<u64> = 2500..4000;
/// Functions that are called.
const FUNCTIONS: u64 = 6;

/// What clients know of a front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Door {
    /// Its address.
    pub address: SocketAddr,
    /// Which of its processes serves.
    pub process: u64,
    /// New requests go there.
    pub open: bool,
}

/// The doors of all front ends.
pub type Doors = Vec<RwLock<Door>>;

/// One client.
pub struct Client {
    /// Where it notes what it sees.
    pub facts: Arc<Facts>,
    /// The front ends.
    pub doors: Arc<Doors>,
    /// The one it asks.
    pub place: Place,
    /// Ids are given out in one order.
    pub ids: Arc<AtomicU64>,
    /// Its choices.
    pub random: fastrand::Rng,
    /// Until then it sends.
    pub until: Instant,
}

struct Request {
    id: RequestId,
    effect: Effect,
    timeout: Duration,
    text: Vec<u8>,
    body: String,
}

/// How one request ended for its client.
enum End {
    /// Answered; the connection stays.
    Keeps,
    /// Answered or not; the connection is gone.
    Gone,
    /// The connection ended as it was sent: once more.
    Crossed,
}

struct Connection {
    socket: TcpStream,
    process: u64,
    /// It has rested with no request open.
    rested: bool,
}

impl Client {
    /// Sends until its time is over.
    pub async fn run(mut self) {
        let mut connection = None;
        while Instant::now() < self.until {
            sleep(Duration::from_millis(self.random.u64(5..120))).await;
            if let Some(next) = self.turn(connection.take()).await {
                connection = next;
            }
        }
    }

    fn door(&self) -> Door {
        *self.doors[self.place].read().expect("not poisoned")
    }

    async fn connect(&self) -> Option<Connection> {
        let door = self.door();
        if !door.open {
            return None;
        }
        let socket = timeout(Duration::from_secs(2), TcpStream::connect(door.address))
            .await
            .ok()?
            .ok()?;
        let _ = socket.set_nodelay(true);
        Some(Connection {
            socket,
            process: door.process,
            rested: false,
        })
    }

    /// One request; some: the connection for the next, if it stays.
    async fn turn(&mut self, held: Option<Connection>) -> Option<Option<Connection>> {
        let door = self.door();
        let held = held.filter(|c| c.process == door.process);
        let mut connection = match held {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        self.rest(&mut connection).await;
        if !self.door().open {
            return None;
        }
        let request = self.request();
        match self.exchange(&mut connection, &request).await {
            End::Keeps => Some(Some(Connection {
                rested: true,
                ..connection
            })),
            End::Gone => Some(None),
            End::Crossed => {
                let mut again = self.connect().await?;
                let _ = self.exchange(&mut again, &request).await;
                Some(None)
            }
        }
    }

    async fn rest(&mut self, connection: &mut Connection) {
        let rest = match (connection.rested, self.random.u32(0..40)) {
            (false, 0) => self.random.u64(REST_NEW_MS),
            (true, 0) => self.random.u64(REST_LONG_MS),
            _ => return,
        };
        connection.rested = true;
        sleep(Duration::from_millis(rest)).await;
    }

    fn request(&mut self) -> Request {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
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
        let wait_ms = match self.random.u32(0..10) {
            0 => self.random.u64(5..80),
            1..=4 => self.random.u64(200..800),
            _ => self.random.u64(800..1990),
        };
        let function = self.random.u64(0..FUNCTIONS);
        let body = format!("body of {id}");
        let text = format!(
            "POST /ops/{function:016x}/call HTTP/1.1\r\nHost: app.svc\r\nX-Class: {class}\r\nX-Request-Id: {id:016x}\r\n\
             X-Timeout-Ms: {wait_ms}\r\nX-Extras: memory_mb:300;lanes:2\r\n{key}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Request {
            id,
            effect,
            timeout: Duration::from_millis(wait_ms),
            text: text.into_bytes(),
            body,
        }
    }

    async fn exchange(&mut self, connection: &mut Connection, request: &Request) -> End {
        let Request {
            id,
            effect,
            timeout: wait,
            ..
        } = *request;
        let socket = &mut connection.socket;
        if self.write(socket, &request.text).await.is_err() {
            // It was never whole on a connection that stood.
            return End::Gone;
        }
        let sent = Instant::now();
        let (place, process, idle_before) = (self.place, connection.process, connection.rested);
        self.facts.note(Fact::Sent {
            id,
            place,
            process,
            effect,
            timeout: wait,
            idle_before,
        });
        // One in ten leaves early; of the others every second stays beyond its time, as if it had not noticed.
        let stays = match self.random.u32(0..10) {
            0 => wait.mul_f64(self.random.f64()),
            1..=5 => wait,
            _ => wait + LATE + BEYOND,
        };
        match timeout(stays, answer(socket)).await {
            Err(_) => {
                if self.random.bool() {
                    reset_on_close(socket);
                }
                // The connection closes with this turn; noted after it, so that it can't seem earlier than it was.
                if let Ok(std_socket) = std::mem::replace(socket, unconnected()).into_std() {
                    drop(std_socket);
                }
                let fact = if stays > wait {
                    Fact::Unanswered { id }
                } else {
                    Fact::Left { id }
                };
                self.facts.note(fact);
                End::Gone
            }
            Ok(Ok((status, body, keep))) => {
                let own_body = body == request.body.as_bytes();
                self.facts.note(Fact::Answered {
                    id,
                    status,
                    own_body,
                });
                if keep {
                    End::Keeps
                } else {
                    End::Gone
                }
            }
            Ok(Err(how)) => {
                self.facts.note(Fact::Dropped { id, how });
                let crossed =
                    how == ConnectionEnd::Closed && idle_before && sent.elapsed() <= CROSSING;
                if crossed {
                    End::Crossed
                } else {
                    End::Gone
                }
            }
        }
    }

    /// Writes a request, one in eight in two pieces.
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

/// A socket in the place of one that is closed.
fn unconnected() -> TcpStream {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_nonblocking(true).expect("a socket");
    TcpStream::from_std(socket.into()).expect("within a runtime")
}

/// Reads a whole answer: status, body, and whether the connection stays.
async fn answer(socket: &mut TcpStream) -> Result<(u16, Vec<u8>, bool), ConnectionEnd> {
    let mut first = [0u8; 1];
    match socket.read(&mut first).await {
        Ok(1) => {}
        _ => return Err(ConnectionEnd::Closed),
    }
    let rest = head(socket).await.ok_or(ConnectionEnd::HalfAnswer)?;
    let lines: Vec<&str> = rest.lines().collect();
    let status = lines
        .first()
        .and_then(|l| l.split(' ').nth(1)?.parse().ok());
    let length = lines
        .iter()
        .find_map(|l| l.strip_prefix("Content-Length: ")?.trim().parse().ok());
    let (Some(status), Some(length)) = (status, length) else {
        return Err(ConnectionEnd::HalfAnswer);
    };
    let mut body = vec![0u8; length];
    socket
        .read_exact(&mut body)
        .await
        .map_err(|_| ConnectionEnd::HalfAnswer)?;
    let keep = !lines
        .iter()
        .any(|l| l.eq_ignore_ascii_case("connection: close"));
    Ok((status, body, keep))
}
