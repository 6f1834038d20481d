//! A front end whose loop the test runs step by step in its own thread, and workers and coordinators that do nothing unless the
//! test says so: what the test has written is in the kernel before the front end's loop runs once, so that two things cross in
//! the order that the test says.

use super::client::{Call, Client};
use super::configuration::{write_text, ANY_PORT};
use super::http::reply;
use super::network::{addresses, wait_until_delivered};
use super::worker::{array, loaded, WorkerCommand, BOUNDS};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tansy_gateway::platform::{read, Platform};
use tansy_resp::Reader;
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// A turn of a loop that has nothing to do for a millisecond takes no longer on a machine that is not busy.
const TURN: Duration = Duration::from_millis(2);

/// A front end whose loop runs only when the test says so.
pub struct ManualFrontEnd {
    /// The front end itself.
    pub platform: Platform,
    path: PathBuf,
}

impl Drop for ManualFrontEnd {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl ManualFrontEnd {
    /// Starts one; its loop has not run.
    pub fn start(configuration: &PlatformConfiguration) -> ManualFrontEnd {
        ManualFrontEnd::with_text(&configuration.text(ANY_PORT))
    }

    /// From a configuration's text.
    pub fn with_text(text: &str) -> ManualFrontEnd {
        let path = write_text(text);
        let platform = Platform::start(&read(&path).unwrap()).unwrap();
        ManualFrontEnd { platform, path }
    }

    /// Puts another configuration in the place of the first and has it read.
    pub fn reload(&mut self, configuration: &PlatformConfiguration) {
        std::fs::write(&self.path, configuration.text(ANY_PORT)).unwrap();
        assert!(self.platform.reload(&self.path));
    }

    /// A client that has connected and sent a call; the loop has not run.
    pub fn send(&self, call: &Call) -> Client {
        let mut client = Client::to(self.platform.address());
        client.send(&call.text());
        client
    }

    /// Turns the loop until the check finds something, at most ten seconds.
    pub fn until<T>(
        &mut self,
        description: &str,
        mut check: impl FnMut(&Platform) -> Option<T>,
    ) -> T {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(found) = check(&self.platform) {
                return found;
            }
            assert!(Instant::now() < end, "not within 10 s: {description}");
            self.platform.turn(Duration::from_millis(1)).unwrap();
        }
    }

    /// Turns the loop until the check finds something, which has to come while the loop runs for less than `span`. Of
    /// each turn no more than [`TURN`] counts: a machine that is not busy measures time, and one that is busy does not count
    /// the time that it does not give us.
    pub fn while_runs<T>(
        &mut self,
        span: Duration,
        description: &str,
        mut check: impl FnMut(&Platform) -> Option<T>,
    ) -> T {
        let mut ran = Duration::ZERO;
        loop {
            let began = Instant::now();
            if let Some(found) = check(&self.platform) {
                return found;
            }
            assert!(
                ran < span,
                "not while the loop ran for {span:?}: {description}"
            );
            self.platform.turn(Duration::from_millis(1)).unwrap();
            ran += began.elapsed().min(TURN);
        }
    }

    /// The answer to a client, whose status it gives.
    pub fn answer(&mut self, client: &mut Client) -> u16 {
        client.socket.set_nonblocking(true).unwrap();
        self.until("an answer", |_| readable(&client.socket));
        client.socket.set_nonblocking(false).unwrap();
        client.answer().expect("an answer").0
    }

    /// The next command of this name; what else has come is let go.
    pub fn next_command(&mut self, worker: &mut ManualWorker, name: &str) -> WorkerCommand {
        self.until(name, |_| worker.next_command(name))
    }

    /// Turns the loop for so long, as time passes for what must not happen.
    pub fn run_for(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.platform.turn(Duration::from_millis(1)).unwrap();
        }
    }
}

/// Whether there is something to read, an end included, as [`ManualFrontEnd::until`] takes it.
pub fn readable(socket: &TcpStream) -> Option<()> {
    match socket.peek(&mut [0u8]) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => None,
        _ => Some(()),
    }
}

struct WorkerConnection {
    /// None: the test has reset it.
    socket: Option<TcpStream>,
    reader: Reader,
}

/// A worker that reads and answers only when the test says so.
pub struct ManualWorker {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
    connections: Vec<WorkerConnection>,
    /// Every command that came, and those that the test has not looked at.
    pub log: Vec<WorkerCommand>,
    inbox: VecDeque<WorkerCommand>,
    /// Loads are done at once.
    pub loads_at_once: bool,
}

impl ManualWorker {
    /// Starts one that does loads at once.
    pub fn start() -> ManualWorker {
        ManualWorker::on_listener(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// On a listener of the test's making.
    pub fn on_listener(listener: TcpListener) -> ManualWorker {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        ManualWorker {
            listener,
            address,
            connections: Vec::new(),
            log: Vec::new(),
            inbox: VecDeque::new(),
            loads_at_once: true,
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
        self.connections.push(WorkerConnection {
            socket: Some(socket),
            reader: Reader::new(BOUNDS),
        });
        true
    }

    /// Accepts and reads all that waits.
    pub fn read_all(&mut self) {
        while self.accept() {}
        self.read();
    }

    /// Reads all that waits on the connections accepted.
    pub fn read(&mut self) {
        let mut buffer = [0u8; 4096];
        for (number, connection) in self.connections.iter_mut().enumerate() {
            let Some(socket) = &mut connection.socket else {
                continue;
            };
            while let Ok(length @ 1..) = socket.read(&mut buffer) {
                connection.reader.push_bytes(&buffer[..length]);
            }
            while let Ok(Some(strings)) = connection.reader.next_array() {
                let command = WorkerCommand::read(number, &strings);
                self.log.push(command.clone());
                if self.loads_at_once && command.name() == "provision" {
                    socket.write_all(&loaded(&command)).unwrap();
                } else {
                    self.inbox.push_back(command);
                }
            }
        }
    }

    /// The next command of this name.
    pub fn next_command(&mut self, name: &str) -> Option<WorkerCommand> {
        self.read_all();
        while let Some(command) = self.inbox.pop_front() {
            if command.name() == name {
                return Some(command);
            }
        }
        None
    }

    /// Answers a command; it is in the kernel when this returns.
    pub fn answer(&mut self, command: &WorkerCommand, status: &str, fields: &str) {
        let body = if status == "200" {
            command.words.get(3).map_or("", String::as_str)
        } else {
            ""
        };
        let bytes = array(&[command.id(), status, fields, body]);
        self.write(command.connection, &bytes);
    }
    /// Writes to a connection; it is in the kernel when this returns, unless the other side has gone.
    pub fn write(&mut self, connection: usize, bytes: &[u8]) {
        let _ = self.connections[connection]
            .socket
            .as_mut()
            .expect("not reset")
            .write_all(bytes);
    }

    /// Serves a call.
    pub fn serve(&mut self, call: &WorkerCommand) {
        self.answer(call, "200", "n=ready");
    }

    /// Ends a connection by a reset.
    pub fn reset(&mut self, connection: usize) {
        let socket = self.connections[connection]
            .socket
            .take()
            .expect("not reset twice");
        reset_on_close(&socket);
    }
    /// Ends a connection in good order.
    pub fn end(&mut self, connection: usize) {
        drop(
            self.connections[connection]
                .socket
                .take()
                .expect("not ended twice"),
        );
    }

    /// Connections that were accepted.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
    /// How many commands of this name came in all.
    pub fn count(&self, name: &str) -> usize {
        self.log
            .iter()
            .filter(|command| command.name() == name)
            .count()
    }
    /// How many calls came for this id.
    pub fn calls(&self, id: u64) -> usize {
        let id = format!("{id:016x}");
        self.log
            .iter()
            .filter(|command| command.name() == "fire" && command.id() == id)
            .count()
    }
}

/// Has a socket end by a reset when it is closed.
pub fn reset_on_close(socket: &TcpStream) {
    socket2::SockRef::from(socket)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// A coordinator that reads and answers only when the test says so.
pub struct ManualCoordinator {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
    connections: Vec<TcpStream>,
    /// Polls that came, by their targets.
    pub polls: Vec<String>,
    /// Connections that came.
    pub connected: usize,
}

impl ManualCoordinator {
    /// Starts one.
    pub fn start() -> ManualCoordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        ManualCoordinator {
            listener,
            address,
            connections: Vec::new(),
            polls: Vec::new(),
            connected: 0,
        }
    }

    /// Accepts and reads what waits; the number of the connection with a new poll, if there is one.
    pub fn next_poll(&mut self) -> Option<usize> {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nonblocking(true).unwrap();
            self.connections.push(socket);
            self.connected += 1;
        }
        let mut buffer = [0u8; 4096];
        for (number, socket) in self.connections.iter_mut().enumerate() {
            let Ok(read @ 1..) = socket.read(&mut buffer) else {
                continue;
            };
            // A poll is one small write.
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            assert!(text.ends_with("\r\n\r\n"), "{text}");
            self.polls
                .push(text.split(' ').nth(1).unwrap_or("").to_string());
            return Some(number);
        }
        None
    }

    /// Writes to a connection; it is in the kernel when this returns.
    pub fn write(&mut self, connection: usize, bytes: &[u8]) {
        self.connections[connection].write_all(bytes).unwrap();
        wait_until_delivered(&self.connections[connection]);
    }
    /// Writes what the kernel takes at this moment; none: the other side has gone.
    pub fn write_some(&mut self, connection: usize, bytes: &[u8]) -> Option<usize> {
        match self.connections[connection].write(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Some(0),
            written => written.ok(),
        }
    }
    /// A whole reply, unless the other side has given the connection up.
    pub fn try_reply(&mut self, connection: usize, body: &str) {
        let _ = self.connections[connection].write_all(&reply(body));
    }
    /// A whole reply.
    pub fn reply(&mut self, connection: usize, body: &str) {
        self.write(connection, &reply(body));
    }
    /// A connection's addresses, ours first.
    pub fn addresses(&self, connection: usize) -> (SocketAddr, SocketAddr) {
        addresses(&self.connections[connection])
    }
    /// Ends a connection.
    pub fn end(&mut self, connection: usize) {
        self.connections[connection]
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
    }
}
