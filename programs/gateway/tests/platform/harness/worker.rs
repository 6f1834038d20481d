//! A worker that runs on its own threads and answers each command according to a script.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tansy_resp::{Limits, Reader};

/// Limits of the commands that workers of these tests accept.
pub const COMMAND_LIMITS: Limits = Limits {
    string: 64 * 1024,
    strings: 4,
};

/// Tolerance of tests for a timeout that a worker is given beyond the remaining time of the call, milliseconds.
pub const PATIENCE_SLACK_MS: u64 = 150;

/// A command that a worker received.
#[derive(Clone, Debug)]
pub struct WorkerCommand {
    /// Index of the connection, in the order in which connections were accepted.
    pub connection: usize,
    /// The strings of the command.
    pub words: Vec<String>,
}

impl WorkerCommand {
    /// Creates a command from the strings of an array.
    pub fn read(connection: usize, strings: &[&[u8]]) -> WorkerCommand {
        let words = strings
            .iter()
            .map(|s| String::from_utf8_lossy(s).into_owned())
            .collect();
        WorkerCommand { connection, words }
    }

    /// The command's name on the wire.
    pub fn name(&self) -> &str {
        &self.words[0]
    }

    /// The request id or the tag of the command.
    pub fn id(&self) -> &str {
        &self.words[1]
    }

    /// The timeout of a call, milliseconds.
    pub fn patience_ms(&self) -> u64 {
        let value = self.words[2]
            .split(',')
            .find_map(|field| field.strip_prefix("patience="));
        value.expect("a patience").parse().expect("milliseconds")
    }
}

/// Determines the bytes that a worker writes on a command, and whether it keeps the connection open.
pub type Script = Box<dyn FnMut(&WorkerCommand) -> (Vec<u8>, bool) + Send>;

/// Encodes an array of strings.
pub fn array(words: &[&str]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
    tansy_resp::write_array(&mut bytes, &words);
    bytes
}

/// A script that answers loads immediately and each call with the call's own body. `irregular` can override the answer to a
/// `fire` command.
pub fn serving(
    mut irregular: impl FnMut(&WorkerCommand) -> Option<(Vec<u8>, bool)> + Send + 'static,
) -> Script {
    Box::new(move |command| match command.name() {
        "provision" => (loaded(command), true),
        "fire" => irregular(command).unwrap_or_else(|| (served(command), true)),
        _ => (Vec::new(), true),
    })
}

/// The answer that serves a call.
pub fn served(command: &WorkerCommand) -> Vec<u8> {
    array(&[command.id(), "200", "n=ready", &command.words[3]])
}

/// The answer to a load that has succeeded.
pub fn loaded(command: &WorkerCommand) -> Vec<u8> {
    array(&[command.id(), "200", "replicas=1", ""])
}

/// A worker that delays the answers to calls whose ids have one of the given last digits. The test releases each of them by
/// sending to the returned channel.
pub fn worker_with_delayed_answers(id_endings: &'static [char]) -> (Worker, Sender<()>) {
    let (release, released) = channel::<()>();
    let worker = Worker::start(serving(move |command| {
        if command.id().ends_with(id_endings) {
            let _ = released.recv_timeout(Duration::from_secs(5));
        }
        None
    }));
    (worker, release)
}

/// A running worker.
pub struct Worker {
    /// The worker's address.
    pub address: SocketAddr,
    /// All commands that were received.
    pub log: Arc<Mutex<Vec<WorkerCommand>>>,
    /// Number of connections that have ended.
    pub ended: Arc<AtomicU64>,
}

impl Worker {
    /// Starts a worker that serves every call.
    pub fn plain() -> Worker {
        Worker::start(serving(|_| None))
    }

    /// Starts a worker with a script.
    pub fn start(script: Script) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker {
            address: listener.local_addr().unwrap(),
            log: Arc::default(),
            ended: Arc::default(),
        };
        let (log, ended) = (worker.log.clone(), worker.ended.clone());
        let script = Arc::new(Mutex::new(script));
        std::thread::spawn(move || {
            for (connection, socket) in listener.incoming().enumerate() {
                let Ok(socket) = socket else { return };
                let (script, log, ended) = (script.clone(), log.clone(), ended.clone());
                std::thread::spawn(move || {
                    let _ = Worker::serve(socket, connection, &script, &log);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        worker
    }

    fn serve(
        mut socket: TcpStream,
        connection: usize,
        script: &Mutex<Script>,
        log: &Mutex<Vec<WorkerCommand>>,
    ) -> std::io::Result<()> {
        let mut reader = Reader::new(COMMAND_LIMITS);
        let mut buffer = [0u8; 4096];
        loop {
            let length = socket.read(&mut buffer)?;
            if length == 0 {
                return Ok(());
            }
            reader.push_bytes(&buffer[..length]);
            while let Ok(Some(strings)) = reader.next_array() {
                let command = WorkerCommand::read(connection, &strings);
                log.lock().unwrap().push(command.clone());
                let (bytes, keep_open) = (script.lock().unwrap())(&command);
                socket.write_all(&bytes)?;
                if !keep_open {
                    return Ok(());
                }
            }
        }
    }

    /// The commands with the given name that were received so far.
    pub fn commands(&self, name: &str) -> Vec<WorkerCommand> {
        let log = self.log.lock().unwrap();
        let named = log.iter().filter(|command| command.name() == name);
        named.cloned().collect()
    }
}
