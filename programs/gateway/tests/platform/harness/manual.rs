//! A front end whose event loop is run step by step on the test's thread, and workers and coordinators that act only when the
//! test calls them. What the test writes is in the kernel before the event loop runs, so that a test can produce two concurrent
//! events in a defined order.

use super::client::{Call, Client};
use super::configuration::{write_text, ANY_PORT};
use super::http::reply;
use super::network::{addresses, wait_until_delivered};
use super::worker::{array, loaded, WorkerCommand, COMMAND_LIMITS};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tansy_gateway::platform::{read, PlatformFrontEnd};
use tansy_resp::Reader;
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// Longest duration of an idle iteration of the event loop on a machine that is not overloaded.
const MAX_TURN: Duration = Duration::from_millis(2);

/// A front end whose event loop runs only when the test calls it.
pub struct ManualFrontEnd {
    /// The front end.
    pub platform: PlatformFrontEnd,
    path: PathBuf,
}

impl Drop for ManualFrontEnd {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl ManualFrontEnd {
    /// Starts a front end, without running its event loop.
    pub fn start(configuration: &PlatformConfiguration) -> ManualFrontEnd {
        ManualFrontEnd::with_text(&configuration.text(ANY_PORT))
    }

    /// Starts a front end from the text of a configuration, without running its event loop.
    pub fn with_text(text: &str) -> ManualFrontEnd {
        let path = write_text(text);
        let platform = PlatformFrontEnd::start(&read(&path).unwrap()).unwrap();
        ManualFrontEnd { platform, path }
    }

    /// Replaces the configuration file and makes the front end read it.
    pub fn reload(&mut self, configuration: &PlatformConfiguration) {
        std::fs::write(&self.path, configuration.text(ANY_PORT)).unwrap();
        assert!(self.platform.reload(&self.path));
    }

    /// Connects a client that sends a call, without running the event loop.
    pub fn send(&self, call: &Call) -> Client {
        let mut client = Client::to(self.platform.address());
        client.send(&call.text());
        client
    }

    /// Runs the event loop until `check` returns a value, for at most ten seconds.
    pub fn until<T>(
        &mut self,
        description: &str,
        mut check: impl FnMut(&PlatformFrontEnd) -> Option<T>,
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

    /// Runs the event loop until `check` returns a value, which it must do before the loop has run for `span`. At most
    /// [`MAX_TURN`] is counted for each iteration, so that time during which an overloaded machine does not run the test is not
    /// counted.
    pub fn while_runs<T>(
        &mut self,
        span: Duration,
        description: &str,
        mut check: impl FnMut(&PlatformFrontEnd) -> Option<T>,
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
            ran += began.elapsed().min(MAX_TURN);
        }
    }

    /// Runs the event loop until a client has its answer, and returns the status.
    pub fn answer(&mut self, client: &mut Client) -> u16 {
        client.socket.set_nonblocking(true).unwrap();
        self.until("an answer", |_| readable(&client.socket));
        client.socket.set_nonblocking(false).unwrap();
        client.answer().expect("an answer").0
    }

    /// Runs the event loop until a worker receives a command with the given name. Other commands are discarded.
    pub fn next_command(&mut self, worker: &mut ManualWorker, name: &str) -> WorkerCommand {
        self.until(name, |_| worker.next_command(name))
    }

    /// Runs the event loop for `span`, to check that something does not happen.
    pub fn run_for(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.platform.turn(Duration::from_millis(1)).unwrap();
        }
    }
}

/// Returns a value if a socket has data to read or has been closed, as a check for [`ManualFrontEnd::until`].
pub fn readable(socket: &TcpStream) -> Option<()> {
    match socket.peek(&mut [0u8]) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => None,
        _ => Some(()),
    }
}

struct WorkerConnection {
    /// `None` after the test has closed or reset the connection.
    socket: Option<TcpStream>,
    reader: Reader,
}

/// A worker that reads and answers only when the test calls it.
pub struct ManualWorker {
    listener: TcpListener,
    /// The worker's address.
    pub address: SocketAddr,
    connections: Vec<WorkerConnection>,
    /// All commands that were received.
    pub log: Vec<WorkerCommand>,
    /// Commands that the test has not taken yet.
    inbox: VecDeque<WorkerCommand>,
    /// Whether load commands are answered as soon as they are read.
    pub loads_immediately: bool,
}

impl ManualWorker {
    /// Starts a worker that answers load commands immediately.
    pub fn start() -> ManualWorker {
        ManualWorker::on_listener(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Starts a worker on the test's listener.
    pub fn on_listener(listener: TcpListener) -> ManualWorker {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        ManualWorker {
            listener,
            address,
            connections: Vec::new(),
            log: Vec::new(),
            inbox: VecDeque::new(),
            loads_immediately: true,
        }
    }

    /// Accepts a queued connection, if there is one.
    pub fn accept(&mut self) -> bool {
        let Ok((socket, _)) = self.listener.accept() else {
            return false;
        };
        socket.set_nonblocking(true).unwrap();
        // Without this, written bytes may be delayed until the previous ones are acknowledged.
        socket.set_nodelay(true).unwrap();
        self.connections.push(WorkerConnection {
            socket: Some(socket),
            reader: Reader::new(COMMAND_LIMITS),
        });
        true
    }

    /// Accepts all queued connections and reads all received commands.
    pub fn read_all(&mut self) {
        while self.accept() {}
        self.read();
    }

    /// Reads all commands that were received on accepted connections.
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
                if self.loads_immediately && command.name() == "provision" {
                    socket.write_all(&loaded(&command)).unwrap();
                } else {
                    self.inbox.push_back(command);
                }
            }
        }
    }

    /// Takes the next command with the given name. Commands before it are discarded.
    pub fn next_command(&mut self, name: &str) -> Option<WorkerCommand> {
        self.read_all();
        while let Some(command) = self.inbox.pop_front() {
            if command.name() == name {
                return Some(command);
            }
        }
        None
    }

    /// Answers a command. The answer is in the kernel when this returns.
    pub fn answer(&mut self, command: &WorkerCommand, status: &str, fields: &str) {
        let body = if status == "200" {
            command.words.get(3).map_or("", String::as_str)
        } else {
            ""
        };
        let bytes = array(&[command.id(), status, fields, body]);
        self.write(command.connection, &bytes);
    }
    /// Writes to a connection. The bytes are in the kernel when this returns, unless the front end has closed the connection.
    pub fn write(&mut self, connection: usize, bytes: &[u8]) {
        let _ = self.connections[connection]
            .socket
            .as_mut()
            .expect("not reset")
            .write_all(bytes);
    }

    /// Answers a call with success.
    pub fn serve(&mut self, call: &WorkerCommand) {
        self.answer(call, "200", "n=ready");
    }

    /// Resets a connection.
    pub fn reset(&mut self, connection: usize) {
        let socket = self.connections[connection]
            .socket
            .take()
            .expect("the connection is open");
        reset_on_close(&socket);
    }
    /// Closes a connection.
    pub fn close(&mut self, connection: usize) {
        drop(
            self.connections[connection]
                .socket
                .take()
                .expect("the connection is open"),
        );
    }

    /// Number of connections that were accepted.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
    /// Number of received commands with the given name.
    pub fn count(&self, name: &str) -> usize {
        self.log
            .iter()
            .filter(|command| command.name() == name)
            .count()
    }
    /// Number of received calls with the given id.
    pub fn calls(&self, id: u64) -> usize {
        let id = format!("{id:016x}");
        self.log
            .iter()
            .filter(|command| command.name() == "fire" && command.id() == id)
            .count()
    }
}

/// Makes a socket send a reset when it is closed.
pub fn reset_on_close(socket: &TcpStream) {
    socket2::SockRef::from(socket)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// A coordinator that reads and answers only when the test calls it.
pub struct ManualCoordinator {
    listener: TcpListener,
    /// The coordinator's address.
    pub address: SocketAddr,
    connections: Vec<TcpStream>,
    /// Targets of the polls that were received.
    pub polls: Vec<String>,
    /// Number of connections that were accepted.
    pub accepted: usize,
}

impl ManualCoordinator {
    /// Starts a coordinator.
    pub fn start() -> ManualCoordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        ManualCoordinator {
            listener,
            address,
            connections: Vec::new(),
            polls: Vec::new(),
            accepted: 0,
        }
    }

    /// Accepts queued connections and reads from all of them. Returns the index of a connection with a new poll, if any.
    pub fn next_poll(&mut self) -> Option<usize> {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nonblocking(true).unwrap();
            self.connections.push(socket);
            self.accepted += 1;
        }
        let mut buffer = [0u8; 4096];
        for (number, socket) in self.connections.iter_mut().enumerate() {
            let Ok(read @ 1..) = socket.read(&mut buffer) else {
                continue;
            };
            // A poll fits into one read.
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            assert!(text.ends_with("\r\n\r\n"), "{text}");
            self.polls
                .push(text.split(' ').nth(1).unwrap_or("").to_string());
            return Some(number);
        }
        None
    }

    /// Writes to a connection. The bytes have reached the front end's socket when this returns.
    pub fn write(&mut self, connection: usize, bytes: &[u8]) {
        self.connections[connection].write_all(bytes).unwrap();
        wait_until_delivered(&self.connections[connection]);
    }
    /// Writes as many bytes as the kernel accepts and returns their number; `None` if the front end has closed the connection.
    pub fn write_some(&mut self, connection: usize, bytes: &[u8]) -> Option<usize> {
        match self.connections[connection].write(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Some(0),
            written => written.ok(),
        }
    }
    /// Writes a complete reply; errors are ignored, since the front end may have closed the connection.
    pub fn try_reply(&mut self, connection: usize, body: &str) {
        let _ = self.connections[connection].write_all(&reply(body));
    }
    /// Writes a complete reply.
    pub fn reply(&mut self, connection: usize, body: &str) {
        self.write(connection, &reply(body));
    }
    /// The coordinator's and the front end's address of a connection.
    pub fn addresses(&self, connection: usize) -> (SocketAddr, SocketAddr) {
        addresses(&self.connections[connection])
    }
    /// Closes a connection.
    pub fn close(&mut self, connection: usize) {
        self.connections[connection]
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
    }
}
