//! A proxy between front ends and one worker: it records what comes for the worker, and has the network fail.

use crate::configuration::KEEPALIVE_S;
use crate::error::SoakError;
use crate::facts::{Fact, Facts, RequestId, WorkerId};
use crate::worker::{field, BOUNDS};
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

/// How the network to the worker fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetworkMode {
    /// It does not.
    Plain,
    /// Connections stay open and nothing passes.
    Partitioned,
    /// New connections are reset at once.
    ResetNew,
    /// Connections that are made wait for the kernel to try again.
    LateConnections,
    /// A connection is reset once a call has come on it.
    ResetUnderCalls,
    /// The connection ends in the middle of an answer.
    HalfAnswers,
    /// Answers come so much later.
    SlowAnswers(Duration),
}

/// Connections that the kernel completes while none is accepted, less one: as many as may come at once while some are.
const BACKLOG: i32 = 64;

/// A connection to a listener with room in its queue is made by then.
const FILL_WITHIN: Duration = Duration::from_millis(20);

/// Connections that had waited in the queue, or that the other side took for made as it was full, are accepted by then; what
/// was sent on the latter comes when the kernel tries again.
const QUEUE_WITHIN: Duration = Duration::from_millis(1500);

/// Bytes that are read at a time.
const READ_SIZE: usize = 16 * 1024;

/// Connections of all proxies are numbered together.
static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// The proxy of one worker.
pub struct Proxy {
    /// Where front ends reach the worker.
    pub address: SocketAddr,
    mode: watch::Sender<NetworkMode>,
}

impl Proxy {
    /// Starts the proxy of the worker at this address.
    pub fn start(
        facts: Arc<Facts>,
        worker: WorkerId,
        worker_address: SocketAddr,
    ) -> Result<Proxy, SoakError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (listener, address) = listen(any).map_err(SoakError::listen("a proxy", any))?;
        let (mode, mode_receiver) = watch::channel(NetworkMode::Plain);
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

    /// Sets how the network fails from now on.
    pub fn set_mode(&self, mode: NetworkMode) {
        self.mode.send_replace(mode);
    }
}

/// A listener with a queue of [`BACKLOG`], and its address.
fn listen(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    let listener = TcpListener::from_std(socket.into())?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts the connections to one worker, or leaves them in the kernel's queue.
struct Acceptor {
    facts: Arc<Facts>,
    worker: WorkerId,
    worker_address: SocketAddr,
    address: SocketAddr,
    mode: watch::Receiver<NetworkMode>,
    /// When connections were last accepted again.
    resumed: Option<Instant>,
}

impl Acceptor {
    async fn run(mut self, listener: TcpListener) {
        loop {
            if *self.mode.borrow() == NetworkMode::LateConnections {
                self.hold_back().await;
            }
            let Ok((socket, _)) = listener.accept().await else {
                continue;
            };
            let connection = ProxiedConnection {
                facts: self.facts.clone(),
                worker: self.worker,
                number: CONNECTIONS.fetch_add(1, Ordering::Relaxed),
                mode: self.mode.clone(),
                open: HashSet::new(),
                maybe_queued: self.resumed.is_some_and(|at| at.elapsed() < QUEUE_WITHIN),
            };
            tokio::spawn(connection.run(socket, self.worker_address));
        }
    }

    /// Accepts nothing while connections are to be late.
    async fn hold_back(&mut self) {
        // The kernel completes no connection beyond these until they are accepted.
        let filled = fill_queue(self.address).await;
        let mut mode = self.mode.clone();
        let late = NetworkMode::LateConnections;
        let _ = mode.wait_for(|mode| *mode != late).await;
        drop(filled);
        self.resumed = Some(Instant::now());
    }
}

/// Fills the queue of a listener whose connections are not accepted.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut filled = Vec::new();
    while let Ok(Ok(socket)) = timeout(FILL_WITHIN, TcpStream::connect(address)).await {
        filled.push(socket);
    }
    filled
}

/// Has a socket end by a reset when it is closed.
pub fn reset_on_close(socket: &TcpStream) {
    // Fails only for a socket that has gone.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// One connection of a front end to the worker.
struct ProxiedConnection {
    facts: Arc<Facts>,
    worker: WorkerId,
    number: u64,
    mode: watch::Receiver<NetworkMode>,
    /// Requests that came and have no answer yet.
    open: HashSet<RequestId>,
    /// What is read first may have waited for this connection to be accepted.
    maybe_queued: bool,
}

/// How relaying goes on.
enum Relay {
    Continue,
    Close,
    /// The connection to the front end ends by a reset.
    Reset,
}

/// The sockets of a connection, and what has been read and not passed on.
struct Relayed {
    front_end: TcpStream,
    worker: TcpStream,
    commands: Reader,
    answers: Reader,
    to_worker: Vec<u8>,
    to_front_end: Vec<u8>,
    /// The other end has lost the connection without a word.
    forgotten: bool,
    /// When answers that are slow may pass.
    release: Instant,
    last_used: Instant,
}

impl Relayed {
    fn new(front_end: TcpStream, worker: TcpStream) -> Relayed {
        let now = Instant::now();
        Relayed {
            front_end,
            worker,
            commands: Reader::new(BOUNDS),
            answers: Reader::new(BOUNDS),
            to_worker: Vec::new(),
            to_front_end: Vec::new(),
            forgotten: false,
            release: now,
            last_used: now,
        }
    }

    /// Whether slow answers are kept back for now.
    fn keeps_answers_back(&self) -> bool {
        !self.to_front_end.is_empty() && Instant::now() < self.release
    }

    /// Passes on what was kept back.
    async fn flush(&mut self) -> io::Result<()> {
        let commands = std::mem::take(&mut self.to_worker);
        let sent = self.worker.write_all(&commands).await;
        let answers = std::mem::take(&mut self.to_front_end);
        let given = self.front_end.write_all(&answers).await;
        sent.and(given)
    }
}

impl ProxiedConnection {
    async fn run(mut self, front_end: TcpStream, worker_address: SocketAddr) {
        if *self.mode.borrow() == NetworkMode::ResetNew {
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
            self.relay(Relayed::new(front_end, worker)).await;
        }
        for id in self.open.drain() {
            self.facts.record(Fact::AttemptEnded {
                id,
                connection: self.number,
                never_ran: false,
            });
        }
    }

    /// Relays both ways until either side or a fault ends the connection.
    async fn relay(&mut self, mut relayed: Relayed) {
        let (mut command_bytes, mut answer_bytes) = (vec![0u8; READ_SIZE], vec![0u8; READ_SIZE]);
        let mut modes = self.mode.clone();
        loop {
            let configured = *modes.borrow_and_update();
            let mode = if relayed.forgotten {
                NetworkMode::Partitioned
            } else {
                configured
            };
            let kept_back = relayed.keeps_answers_back();
            if mode != NetworkMode::Partitioned && !kept_back && relayed.flush().await.is_err() {
                return;
            }
            let idle_until = relayed.last_used + Duration::from_secs_f64(KEEPALIVE_S);
            let next = tokio::select! {
                read = relayed.front_end.read(&mut command_bytes) => match read {
                    Ok(length @ 1..) => self.on_commands(&mut relayed, &command_bytes[..length], mode),
                    _ => Relay::Close,
                },
                read = relayed.worker.read(&mut answer_bytes) => match read {
                    Ok(length @ 1..) => self.on_answers(&mut relayed, &answer_bytes[..length], mode).await,
                    _ => Relay::Close,
                },
                _ = modes.changed() => Relay::Continue,
                () = sleep_until(relayed.release), if kept_back => Relay::Continue,
                () = sleep_until(idle_until), if self.open.is_empty() && !relayed.forgotten => {
                    self.on_idle(&mut relayed)
                }
            };
            match next {
                Relay::Continue => {}
                Relay::Close => return,
                Relay::Reset => return reset_on_close(&relayed.front_end),
            }
        }
    }

    /// Bytes came from the front end.
    fn on_commands(&mut self, relayed: &mut Relayed, bytes: &[u8], mode: NetworkMode) -> Relay {
        relayed.last_used = Instant::now();
        relayed.commands.push_bytes(bytes);
        while let Ok(Some(words)) = relayed.commands.next_array() {
            self.record_command(&words);
        }
        self.maybe_queued = false;
        relayed.to_worker.extend_from_slice(bytes);
        if mode == NetworkMode::ResetUnderCalls && !self.open.is_empty() {
            Relay::Reset
        } else {
            Relay::Continue
        }
    }

    /// Bytes came from the worker.
    async fn on_answers(
        &mut self,
        relayed: &mut Relayed,
        bytes: &[u8],
        mode: NetworkMode,
    ) -> Relay {
        relayed.last_used = Instant::now();
        if mode == NetworkMode::HalfAnswers && !self.open.is_empty() {
            let half = &bytes[..bytes.len() / 2];
            self.record_answers(&mut relayed.answers, half);
            let _ = relayed.front_end.write_all(half).await;
            return Relay::Close;
        }
        if let (NetworkMode::SlowAnswers(by), true) = (mode, relayed.to_front_end.is_empty()) {
            relayed.release = Instant::now() + by;
        }
        self.record_answers(&mut relayed.answers, bytes);
        relayed.to_front_end.extend_from_slice(bytes);
        Relay::Continue
    }

    /// The connection has carried nothing for as long as the worker keeps it: it is closed, reset or forgotten.
    fn on_idle(&self, relayed: &mut Relayed) -> Relay {
        match self.number % 3 {
            0 => {
                relayed.forgotten = true;
                Relay::Continue
            }
            1 => Relay::Reset,
            _ => Relay::Close,
        }
    }

    fn record_command(&mut self, words: &[&[u8]]) {
        match *words {
            [b"fire", id, fields, _] => {
                let Some(id) = request_id(id) else { return };
                let patience = String::from_utf8(field(fields, b"patience=")).ok();
                let timeout_ms = patience.and_then(|text| text.parse().ok());
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
