//! A front end that is turned by hand in the test's own thread, and workers and coordinators that the test plays on plain
//! sockets: what the test has written is in the kernel before the front end's loop runs once, so that two things cross in
//! the order that the test says.

use crate::stage::{addresses, array, delivered, file, reply, Call, Client, Site};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tansy_gateway::platform::{read, Platform};
use tansy_resp::{Limits, Reader};

/// A turn of a loop that has nothing to do for a millisecond takes no longer on a machine that is not busy.
const TURN: Duration = Duration::from_millis(2);

/// A front end, turned by hand.
pub struct Hand {
    pub platform: Platform,
    path: PathBuf,
}

impl Drop for Hand {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Hand {
    pub fn start(site: &Site) -> Hand {
        Hand::of(&site.text("127.0.0.1:0"))
    }

    /// From a configuration's text.
    pub fn of(text: &str) -> Hand {
        let path = file(text);
        let platform = Platform::start(&read(&path).unwrap()).unwrap();
        Hand { platform, path }
    }

    /// Puts another configuration in the place of the first and has it read.
    pub fn reload(&mut self, site: &Site) {
        std::fs::write(&self.path, site.text("127.0.0.1:0")).unwrap();
        assert!(self.platform.reload(&self.path));
    }

    /// A client that has connected and sent a call; the loop has not run.
    pub fn send(&self, call: &Call) -> Client {
        let mut client = Client::to(self.platform.address());
        client.send(&call.text());
        client
    }

    /// Turns the loop until the test sees what it waits for, at most ten seconds.
    pub fn until<T>(&mut self, what: &str, mut seen: impl FnMut(&Platform) -> Option<T>) -> T {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(seen) = seen(&self.platform) {
                return seen;
            }
            assert!(Instant::now() < end, "not within 10 s: {what}");
            self.platform.turn(Duration::from_millis(1)).unwrap();
        }
    }

    /// Turns the loop until the test sees what it waits for, which has to come while the loop runs for less than `span`. Of
    /// each turn no more than [`TURN`] counts: a machine that is not busy measures time, and one that is busy does not count
    /// the time that it does not give us.
    pub fn while_runs<T>(
        &mut self,
        span: Duration,
        what: &str,
        mut seen: impl FnMut(&Platform) -> Option<T>,
    ) -> T {
        let mut ran = Duration::ZERO;
        loop {
            let began = Instant::now();
            if let Some(seen) = seen(&self.platform) {
                return seen;
            }
            assert!(ran < span, "not while the loop ran for {span:?}: {what}");
            self.platform.turn(Duration::from_millis(1)).unwrap();
            ran += began.elapsed().min(TURN);
        }
    }

    /// The answer to a client, whose status it gives.
    pub fn answer(&mut self, client: &mut Client) -> u16 {
        client.0.set_nonblocking(true).unwrap();
        self.until("an answer", |_| readable(&client.0));
        client.0.set_nonblocking(false).unwrap();
        client.answer().expect("an answer").0
    }

    /// The next command of this word; what else has come is let go.
    pub fn next(&mut self, worker: &mut Peer, word: &str) -> Came {
        self.until(word, |_| worker.take(word))
    }

    /// Turns the loop for so long, as time passes for what must not happen.
    pub fn pass(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.platform.turn(Duration::from_millis(1)).unwrap();
        }
    }
}

/// Some: there is something to read, an end included.
pub fn readable(socket: &TcpStream) -> Option<()> {
    match socket.peek(&mut [0u8]) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => None,
        _ => Some(()),
    }
}

/// A command that came to a worker.
#[derive(Clone, Debug)]
pub struct Came {
    /// Number of its connection, in the order accepted.
    pub on: usize,
    pub words: Vec<String>,
}

impl Came {
    pub fn id(&self) -> &str {
        &self.words[1]
    }
}

struct Link {
    /// None: the test has reset it.
    socket: Option<TcpStream>,
    reader: Reader,
}

/// A worker that the test plays.
pub struct Peer {
    listener: TcpListener,
    pub address: SocketAddr,
    links: Vec<Link>,
    /// Every command that came, and those that the test has not looked at.
    pub log: Vec<Came>,
    inbox: VecDeque<Came>,
    /// Load orders are done at once.
    pub loads: bool,
}

impl Peer {
    pub fn start() -> Peer {
        Peer::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// On a listener of the test's making.
    pub fn on(listener: TcpListener) -> Peer {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Peer {
            listener,
            address,
            links: Vec::new(),
            log: Vec::new(),
            inbox: VecDeque::new(),
            loads: true,
        }
    }

    /// Takes a connection that waits, if there is one.
    pub fn accept(&mut self) -> bool {
        let Ok((socket, _)) = self.listener.accept() else {
            return false;
        };
        socket.set_nonblocking(true).unwrap();
        // What is written is to be in the kernel at the other end, not behind an acknowledgement that is late.
        socket.set_nodelay(true).unwrap();
        let reader = Reader::new(Limits {
            string: 64 * 1024,
            strings: 4,
        });
        self.links.push(Link {
            socket: Some(socket),
            reader,
        });
        true
    }

    /// Accepts and reads all that waits.
    pub fn look(&mut self) {
        while self.accept() {}
        self.read();
    }

    /// Reads all that waits on the connections accepted.
    pub fn read(&mut self) {
        let mut buffer = [0u8; 4096];
        for (on, link) in self.links.iter_mut().enumerate() {
            let Some(socket) = &mut link.socket else {
                continue;
            };
            while let Ok(n @ 1..) = socket.read(&mut buffer) {
                link.reader.push_bytes(&buffer[..n]);
            }
            while let Ok(Some(strings)) = link.reader.next_array() {
                let words = strings
                    .iter()
                    .map(|s| String::from_utf8_lossy(s).into_owned())
                    .collect();
                let came = Came { on, words };
                self.log.push(came.clone());
                if self.loads && came.words[0] == "provision" {
                    socket
                        .write_all(&array(&[came.id(), "200", "replicas=1", ""]))
                        .unwrap();
                } else {
                    self.inbox.push_back(came);
                }
            }
        }
    }

    /// The next command of this word.
    pub fn take(&mut self, word: &str) -> Option<Came> {
        self.look();
        while let Some(came) = self.inbox.pop_front() {
            if came.words[0] == word {
                return Some(came);
            }
        }
        None
    }

    /// Answers a command; it is in the kernel when this returns.
    pub fn say(&mut self, to: &Came, word: &str, fields: &str) {
        let body = if word == "200" {
            to.words.get(3).map_or("", String::as_str)
        } else {
            ""
        };
        self.write(to.on, &array(&[to.id(), word, fields, body]));
    }
    /// Writes to a connection; it is in the kernel when this returns, unless the other side has gone.
    pub fn write(&mut self, on: usize, bytes: &[u8]) {
        let _ = self.links[on]
            .socket
            .as_mut()
            .expect("not reset")
            .write_all(bytes);
    }

    /// Serves a call.
    pub fn serve(&mut self, call: &Came) {
        self.say(call, "200", "n=ready");
    }

    /// Ends a connection by a reset.
    pub fn reset(&mut self, on: usize) {
        let socket = self.links[on].socket.take().expect("not reset twice");
        reset(&socket);
    }
    /// Ends a connection in good order.
    pub fn end(&mut self, on: usize) {
        drop(self.links[on].socket.take().expect("not ended twice"));
    }

    /// Connections that were accepted.
    pub fn links(&self) -> usize {
        self.links.len()
    }
    /// How many commands of this word came in all.
    pub fn count(&self, word: &str) -> usize {
        self.log.iter().filter(|c| c.words[0] == word).count()
    }
    /// The calls that came for this id.
    pub fn fires(&self, id: u64) -> usize {
        let id = format!("{id:016x}");
        self.log
            .iter()
            .filter(|c| c.words[0] == "fire" && c.id() == id)
            .count()
    }
}

/// Has a socket end by a reset when it is closed.
pub fn reset(socket: &TcpStream) {
    socket2::SockRef::from(socket)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// A coordinator that the test plays.
pub struct Source {
    listener: TcpListener,
    pub address: SocketAddr,
    asks: Vec<TcpStream>,
    /// Polls that came, by their targets.
    pub asked: Vec<String>,
    /// Connections that came.
    pub connected: usize,
}

impl Source {
    pub fn start() -> Source {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Source {
            listener,
            address,
            asks: Vec::new(),
            asked: Vec::new(),
            connected: 0,
        }
    }

    /// Accepts and reads what waits; the number of the connection with a new poll, if there is one.
    pub fn look(&mut self) -> Option<usize> {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nonblocking(true).unwrap();
            self.asks.push(socket);
            self.connected += 1;
        }
        let mut buffer = [0u8; 4096];
        for (n, socket) in self.asks.iter_mut().enumerate() {
            let Ok(read @ 1..) = socket.read(&mut buffer) else {
                continue;
            };
            // A poll is one small write.
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            assert!(text.ends_with("\r\n\r\n"), "{text}");
            self.asked
                .push(text.split(' ').nth(1).unwrap_or("").to_string());
            return Some(n);
        }
        None
    }

    /// Writes to a connection; it is in the kernel when this returns.
    pub fn write(&mut self, on: usize, bytes: &[u8]) {
        self.asks[on].write_all(bytes).unwrap();
        delivered(&self.asks[on]);
    }
    /// Writes what the kernel takes at this moment; none: the other side has gone.
    pub fn write_some(&mut self, on: usize, bytes: &[u8]) -> Option<usize> {
        match self.asks[on].write(bytes) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Some(0),
            written => written.ok(),
        }
    }
    /// A whole reply, unless the other side has given the connection up.
    pub fn try_reply(&mut self, on: usize, body: &str) {
        let _ = self.asks[on].write_all(&reply(body));
    }
    /// A whole reply.
    pub fn reply(&mut self, on: usize, body: &str) {
        self.write(on, &reply(body));
    }
    /// A connection's addresses, ours first.
    pub fn addresses(&self, on: usize) -> (SocketAddr, SocketAddr) {
        addresses(&self.asks[on])
    }
    /// Ends a connection.
    pub fn end(&mut self, on: usize) {
        self.asks[on].shutdown(std::net::Shutdown::Both).unwrap();
    }
}
