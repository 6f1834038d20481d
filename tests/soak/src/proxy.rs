//! A proxy between front ends and one worker: it notes what comes for the worker, and has the network fail.

use crate::facts::{Fact, Facts, RequestId, WorkerId};
use crate::site::KEEPALIVE_S;
use crate::worker::{field, BOUNDS};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tansy_resp::Reader;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How the way to the worker fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
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

/// Connections of all proxies are numbered together.
static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// The proxy of one worker.
pub struct Proxy {
    /// Where front ends reach the worker.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

struct Way {
    facts: Arc<Facts>,
    worker: WorkerId,
    connection: u64,
    mode: watch::Receiver<Mode>,
    open: HashSet<RequestId>,
    /// What is read first may have waited for this connection to be accepted.
    waited: bool,
}

impl Proxy {
    /// Starts the proxy of a worker.
    pub async fn start(
        facts: Arc<Facts>,
        worker: WorkerId,
        to: SocketAddr,
    ) -> std::io::Result<Proxy> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from_std(socket.into())?;
        let address = listener.local_addr()?;
        let (mode, told) = watch::channel(Mode::Plain);
        tokio::spawn(async move {
            let mut resumed: Option<Instant> = None;
            loop {
                let mut mode = told.clone();
                if *mode.borrow() == Mode::LateConnections {
                    // The kernel completes no connection beyond these until they are accepted.
                    let filled = fill(address).await;
                    let _ = mode.wait_for(|m| *m != Mode::LateConnections).await;
                    drop(filled);
                    resumed = Some(Instant::now());
                }
                let Ok((socket, _)) = listener.accept().await else {
                    continue;
                };
                let (facts, mode) = (facts.clone(), told.clone());
                let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
                let waited = resumed.is_some_and(|at| at.elapsed() < QUEUE_WITHIN);
                let way = Way {
                    facts,
                    worker,
                    connection,
                    mode,
                    open: HashSet::new(),
                    waited,
                };
                tokio::spawn(way.run(socket, to));
            }
        });
        Ok(Proxy { address, mode })
    }

    /// Behaves so from now on.
    pub fn behave(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Fills the queue of a listener whose connections are not accepted.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut filled = Vec::new();
    while let Ok(Ok(socket)) = tokio::time::timeout(FILL_WITHIN, TcpStream::connect(address)).await
    {
        filled.push(socket);
    }
    filled
}

/// Has a socket end by a reset when it is closed.
pub fn reset_on_close(socket: &TcpStream) {
    // Fails only for a socket that has gone.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

impl Way {
    async fn run(mut self, front: TcpStream, to: SocketAddr) {
        if *self.mode.borrow() == Mode::ResetNew {
            return reset_on_close(&front);
        }
        let _ = front.set_nodelay(true);
        if let Ok(peer) = front.peer_addr() {
            self.facts.note(Fact::Connected {
                connection: self.connection,
                port: peer.port(),
            });
        }
        if let Ok(worker) = TcpStream::connect(to).await {
            let _ = worker.set_nodelay(true);
            self.relay(front, worker).await;
        }
        for id in self.open.drain() {
            self.facts.note(Fact::Ended {
                id,
                connection: self.connection,
                never_ran: false,
            });
        }
    }

    async fn relay(&mut self, mut front: TcpStream, mut worker: TcpStream) {
        let (mut commands, mut answers) = (Reader::new(BOUNDS), Reader::new(BOUNDS));
        let (mut from_front, mut from_worker) = (vec![0u8; 16 * 1024], vec![0u8; 16 * 1024]);
        // What is kept back while nothing passes.
        let (mut to_worker, mut to_front) = (Vec::new(), Vec::new());
        let mut mode = self.mode.clone();
        let mut used = Instant::now();
        // The other end has lost the connection without a word.
        let mut forgotten = false;
        // When answers that are slow may pass.
        let mut release = Instant::now();
        loop {
            let told = *mode.borrow_and_update();
            let now = if forgotten { Mode::Partitioned } else { told };
            let waits = !to_front.is_empty() && Instant::now() < release;
            if now != Mode::Partitioned && !waits {
                let sent = worker.write_all(&std::mem::take(&mut to_worker)).await;
                let given = front.write_all(&std::mem::take(&mut to_front)).await;
                if sent.is_err() || given.is_err() {
                    return;
                }
            }
            let idle_until = used + Duration::from_secs_f64(KEEPALIVE_S);
            tokio::select! {
                read = front.read(&mut from_front) => {
                    let Ok(n @ 1..) = read else { return };
                    used = Instant::now();
                    commands.push_bytes(&from_front[..n]);
                    while let Ok(Some(words)) = commands.next_array() {
                        self.command(&words);
                    }
                    self.waited = false;
                    to_worker.extend_from_slice(&from_front[..n]);
                    if now == Mode::ResetUnderCalls && !self.open.is_empty() {
                        return reset_on_close(&front);
                    }
                }
                read = worker.read(&mut from_worker) => {
                    let Ok(n @ 1..) = read else { return };
                    used = Instant::now();
                    if now == Mode::HalfAnswers && !self.open.is_empty() {
                        let half = &from_worker[..n / 2];
                        answers.push_bytes(half);
                        while let Ok(Some(words)) = answers.next_array() {
                            self.answer(&words);
                        }
                        let _ = front.write_all(half).await;
                        return;
                    }
                    if let (Mode::SlowAnswers(by), true) = (now, to_front.is_empty()) {
                        release = Instant::now() + by;
                    }
                    answers.push_bytes(&from_worker[..n]);
                    while let Ok(Some(words)) = answers.next_array() {
                        self.answer(&words);
                    }
                    to_front.extend_from_slice(&from_worker[..n]);
                }
                _ = mode.changed() => {}
                () = sleep_until(release), if waits => {}
                () = sleep_until(idle_until), if self.open.is_empty() && !forgotten => {
                    // It is closed, reset or forgotten.
                    match self.connection % 3 {
                        0 => forgotten = true,
                        1 => return reset_on_close(&front),
                        _ => return,
                    }
                }
            }
        }
    }

    fn command(&mut self, words: &[&[u8]]) {
        match *words {
            [b"fire", id, fields, _] => {
                let Some(id) = request(id) else { return };
                let patience = String::from_utf8(field(fields, b"patience=")).ok();
                let patience_ms = patience.and_then(|p| p.parse().ok()).unwrap_or(u64::MAX);
                let (worker, connection) = (self.worker, self.connection);
                self.open.insert(id);
                let waited = self.waited;
                self.facts.note(Fact::Began {
                    id,
                    worker,
                    connection,
                    patience_ms,
                    waited,
                });
            }
            [b"never_mind", id] => self.ended(id, false),
            [b"provision", _, fields] if field(fields, b"replicas=") != b"0" => {
                self.facts.note(Fact::LoadBegan {
                    worker: self.worker,
                    connection: self.connection,
                });
            }
            _ => {}
        }
    }

    fn answer(&mut self, words: &[&[u8]]) {
        if let [id, word, ..] = *words {
            self.ended(id, matches!(word, b"404" | b"503" | b"504"));
        }
    }

    fn ended(&mut self, id: &[u8], never_ran: bool) {
        if let Some(id) = request(id).filter(|id| self.open.remove(id)) {
            self.facts.note(Fact::Ended {
                id,
                connection: self.connection,
                never_ran,
            });
        }
    }
}

fn request(id: &[u8]) -> Option<RequestId> {
    let text = std::str::from_utf8(id).ok().filter(|t| t.len() == 16)?;
    RequestId::from_str_radix(text, 16).ok()
}
