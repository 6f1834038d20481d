//! A proxy between front ends and one worker. It records the commands to the worker and their ends, and injects network faults.

use crate::configuration::KEEPALIVE_S;
use crate::error::SoakError;
use crate::facts::{Fact, Facts, RequestId, WorkerId};
use crate::worker::{field, RESP_LIMITS};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tansy_resp::Reader;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Instant};

/// The fault of the network to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkMode {
    /// No fault.
    Healthy,
    /// Connections stay open, and no bytes pass.
    Partitioned,
    /// New connections are reset when they are accepted.
    ResetOnAccept,
    /// The listen backlog is full: new connections wait until the kernel retries them.
    DelayedAccepts,
    /// A connection is reset once a call was read from it.
    ResetDuringCalls,
    /// Connections are closed in the middle of an answer.
    TruncatedAnswers,
    /// Answers are delayed by this time.
    DelayedAnswers(Duration),
}

/// Length of the listen backlog; Linux queues one connection more.
const BACKLOG: i32 = 64;

/// Timeout for connecting to a listener whose backlog has room.
const FILL_CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Within this time after accepting resumes, a connection may be one that was in the backlog, or one that its client took for
/// established while the backlog was full. The client's kernel retransmits what was sent on the latter.
const BACKLOG_DRAINED_WITHIN: Duration = Duration::from_millis(1500);

/// Bytes per read.
const READ_SIZE: usize = 16 * 1024;

/// The number of the next connection, over all proxies.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// The proxy of one worker.
pub struct Proxy {
    /// The address on which front ends reach the worker.
    pub address: SocketAddr,
    mode: watch::Sender<NetworkMode>,
}

impl Proxy {
    /// Starts a proxy for the worker at `worker_address`.
    pub fn start(
        facts: Arc<Facts>,
        worker: WorkerId,
        worker_address: SocketAddr,
    ) -> Result<Proxy, SoakError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, address) = listen(any).map_err(SoakError::listen("a proxy", any))?;
        let (mode, mode_receiver) = watch::channel(NetworkMode::Healthy);
        let acceptor = Acceptor {
            facts,
            worker,
            worker_address,
            address,
            mode: mode_receiver,
            resumed: None,
        };
        tokio::spawn(acceptor.run(listener));
        Ok(Proxy { address, mode })
    }

    /// Sets the fault of the network from now on.
    pub fn set_mode(&self, mode: NetworkMode) {
        self.mode.send_replace(mode);
    }
}

/// A listener with a backlog of [`BACKLOG`], and its address.
fn listen(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    let listener = TcpListener::from_std(socket.into())?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts the connections to one worker, or leaves them in the listen backlog.
struct Acceptor {
    facts: Arc<Facts>,
    worker: WorkerId,
    worker_address: SocketAddr,
    address: SocketAddr,
    mode: watch::Receiver<NetworkMode>,
    /// When accepting last resumed after [`NetworkMode::DelayedAccepts`].
    resumed: Option<Instant>,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        loop {
            if *self.mode.borrow() == NetworkMode::DelayedAccepts {
                self.pause().await;
            }
            let Ok((socket, _)) = listener.accept().await else {
                continue;
            };
            let connection = ProxiedConnection {
                facts: self.facts.clone(),
                worker: self.worker,
                number: NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed),
                mode: self.mode.clone(),
                open: HashSet::new(),
                maybe_queued: self
                    .resumed
                    .is_some_and(|at| at.elapsed() < BACKLOG_DRAINED_WITHIN),
            };
            tokio::spawn(connection.run(socket, self.worker_address));
        }
    }

    /// Accepts no connections while the mode is [`NetworkMode::DelayedAccepts`].
    async fn pause(&mut self) {
        // With a full backlog the kernel completes no further handshakes.
        let fillers = fill_backlog(self.address).await;
        let mut mode = self.mode.clone();
        let delayed = NetworkMode::DelayedAccepts;
        let _ = mode.wait_for(|mode| *mode != delayed).await;
        drop(fillers);
        self.resumed = Some(Instant::now());
    }
}

/// Connects to a listener that accepts nothing until its backlog is full. Returns the connections.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut fillers = Vec::new();
    while let Ok(Ok(socket)) = timeout(FILL_CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        fillers.push(socket);
    }
    fillers
}

/// Makes a later close of the socket reset the connection.
pub fn reset_on_close(socket: &TcpStream) {
    // Fails only if the connection has ended.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// A connection of a front end to the worker.
struct ProxiedConnection {
    facts: Arc<Facts>,
    worker: WorkerId,
    number: u64,
    mode: watch::Receiver<NetworkMode>,
    /// Attempts that have no answer yet.
    open: HashSet<RequestId>,
    /// Whether the bytes of the first read may have waited in the listen backlog.
    maybe_queued: bool,
}

/// The next step of the relay loop.
enum Next {
    Continue,
    /// Close both connections.
    Close,
    /// Reset the connection to the front end and close the one to the worker.
    Reset,
}

/// The two sockets of a proxied connection, and the bytes that were read and not relay yet.
struct Relay {
    front_end: TcpStream,
    worker: TcpStream,
    commands: Reader,
    answers: Reader,
    to_worker: Vec<u8>,
    to_front_end: Vec<u8>,
    /// Whether the connection relays nothing any more and stays open, as if the worker had lost it without a FIN or RST.
    half_open: bool,
    /// When delayed answers may be relay.
    release_at: Instant,
    last_used: Instant,
}

impl Relay {
    fn new(front_end: TcpStream, worker: TcpStream) -> Relay {
        let now = Instant::now();
        Relay {
            front_end,
            worker,
            commands: Reader::new(RESP_LIMITS),
            answers: Reader::new(RESP_LIMITS),
            to_worker: Vec::new(),
            to_front_end: Vec::new(),
            half_open: false,
            release_at: now,
            last_used: now,
        }
    }

    /// Whether answers wait for their delay to pass.
    fn delays_answers(&self) -> bool {
        !self.to_front_end.is_empty() && Instant::now() < self.release_at
    }

    /// Writes all buffered bytes to both sides.
    async fn flush(&mut self) -> io::Result<()> {
        let commands = std::mem::take(&mut self.to_worker);
        let to_worker = self.worker.write_all(&commands).await;
        let answers = std::mem::take(&mut self.to_front_end);
        let to_front_end = self.front_end.write_all(&answers).await;
        to_worker.and(to_front_end)
    }
}

impl ProxiedConnection {
    async fn run(mut self, front_end: TcpStream, worker_address: SocketAddr) {
        if *self.mode.borrow() == NetworkMode::ResetOnAccept {
            return reset_on_close(&front_end);
        }
        let _ = front_end.set_nodelay(true);
        if let Ok(peer) = front_end.peer_addr() {
            self.facts.record(Fact::ConnectionAccepted {
                connection: self.number,
                port: peer.port(),
            });
        }
        if let Ok(worker) = TcpStream::connect(worker_address).await {
            let _ = worker.set_nodelay(true);
            self.relay(Relay::new(front_end, worker)).await;
        }
        for id in self.open.drain() {
            self.facts.record(Fact::AttemptEnded {
                id,
                connection: self.number,
                never_ran: false,
            });
        }
    }

    /// Relays in both directions until either side or a fault ends the connection.
    async fn relay(&mut self, mut relay: Relay) {
        let (mut command_bytes, mut answer_bytes) = (vec![0u8; READ_SIZE], vec![0u8; READ_SIZE]);
        let mut modes = self.mode.clone();
        loop {
            let configured = *modes.borrow_and_update();
            let mode = if relay.half_open {
                NetworkMode::Partitioned
            } else {
                configured
            };
            let delayed = relay.delays_answers();
            if mode != NetworkMode::Partitioned && !delayed && relay.flush().await.is_err() {
                return;
            }
            let idle_until = relay.last_used + Duration::from_secs_f64(KEEPALIVE_S);
            let next = tokio::select! {
                read = relay.front_end.read(&mut command_bytes) => match read {
                    Ok(length @ 1..) => self.on_commands(&mut relay, &command_bytes[..length], mode),
                    _ => Next::Close,
                },
                read = relay.worker.read(&mut answer_bytes) => match read {
                    Ok(length @ 1..) => self.on_answers(&mut relay, &answer_bytes[..length], mode).await,
                    _ => Next::Close,
                },
                _ = modes.changed() => Next::Continue,
                () = sleep_until(relay.release_at), if delayed => Next::Continue,
                () = sleep_until(idle_until), if self.open.is_empty() && !relay.half_open => {
                    self.on_idle(&mut relay)
                }
            };
            match next {
                Next::Continue => {}
                Next::Close => return,
                Next::Reset => return reset_on_close(&relay.front_end),
            }
        }
    }

    /// Handles bytes from the front end.
    fn on_commands(&mut self, relay: &mut Relay, bytes: &[u8], mode: NetworkMode) -> Next {
        relay.last_used = Instant::now();
        relay.commands.push_bytes(bytes);
        while let Ok(Some(words)) = relay.commands.next_array() {
            self.record_command(&words);
        }
        self.maybe_queued = false;
        relay.to_worker.extend_from_slice(bytes);
        if mode == NetworkMode::ResetDuringCalls && !self.open.is_empty() {
            Next::Reset
        } else {
            Next::Continue
        }
    }

    /// Handles bytes from the worker.
    async fn on_answers(&mut self, relay: &mut Relay, bytes: &[u8], mode: NetworkMode) -> Next {
        relay.last_used = Instant::now();
        if mode == NetworkMode::TruncatedAnswers && !self.open.is_empty() {
            let half = &bytes[..bytes.len() / 2];
            self.record_answers(&mut relay.answers, half);
            let _ = relay.front_end.write_all(half).await;
            return Next::Close;
        }
        if let (NetworkMode::DelayedAnswers(by), true) = (mode, relay.to_front_end.is_empty()) {
            relay.release_at = Instant::now() + by;
        }
        self.record_answers(&mut relay.answers, bytes);
        relay.to_front_end.extend_from_slice(bytes);
        Next::Continue
    }

    /// Handles a connection that has been idle for the worker's keepalive time: it is closed, reset, or left half-open.
    fn on_idle(&self, relay: &mut Relay) -> Next {
        match self.number % 3 {
            0 => {
                relay.half_open = true;
                Next::Continue
            }
            1 => Next::Reset,
            _ => Next::Close,
        }
    }

    fn record_command(&mut self, words: &[&[u8]]) {
        match *words {
            [b"fire", id, fields, _] => {
                let Some(id) = request_id(id) else { return };
                let timeout = String::from_utf8(field(fields, b"patience=")).ok();
                let timeout_ms = timeout.and_then(|text| text.parse().ok());
                self.open.insert(id);
                self.facts.record(Fact::AttemptStarted {
                    id,
                    worker: self.worker,
                    connection: self.number,
                    timeout_ms: timeout_ms.unwrap_or(u64::MAX),
                    maybe_queued: self.maybe_queued,
                });
            }
            [b"never_mind", id] => self.record_end(id, false),
            [b"provision", _, fields] if field(fields, b"replicas=") != b"0" => {
                self.facts.record(Fact::LoadStarted {
                    worker: self.worker,
                    connection: self.number,
                });
            }
            _ => {}
        }
    }

    fn record_answers(&mut self, answers: &mut Reader, bytes: &[u8]) {
        answers.push_bytes(bytes);
        while let Ok(Some(words)) = answers.next_array() {
            if let [id, status, ..] = *words {
                self.record_end(id, matches!(status, b"404" | b"503" | b"504"));
            }
        }
    }

    fn record_end(&mut self, id: &[u8], never_ran: bool) {
        if let Some(id) = request_id(id).filter(|id| self.open.remove(id)) {
            self.facts.record(Fact::AttemptEnded {
                id,
                connection: self.number,
                never_ran,
            });
        }
    }
}

fn request_id(text: &[u8]) -> Option<RequestId> {
    let text = std::str::from_utf8(text).ok().filter(|t| t.len() == 16)?;
    RequestId::from_str_radix(text, 16).ok()
}
