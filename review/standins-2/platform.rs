//! Stand-ins of the platform for the cases of the second review: a coordinator, workers, clients, and front ends as
//! processes. Everything is on loopback addresses and the real clock. Only the standard library is used.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case whose rule was held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the case plays its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Sleeps for this many milliseconds.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a case: each line with the time since the case began.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file =
            File::create(path).unwrap_or_else(|error| could_not_run(&format!("{path:?}: {error}")));
        Record {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Appends a line.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Appends a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// The time since the case began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// Processes and folders of this case that still have to be ended and removed.
static OPEN_PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static OPEN_FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn clean_up() {
    for pid in OPEN_PROCESSES.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
    for folder in OPEN_FOLDERS.lock().unwrap().drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Has a process ended at the end of the case.
pub fn register(child: &Child) {
    OPEN_PROCESSES.lock().unwrap().push(child.id());
}

/// Called once a process has ended.
pub fn unregister(child: &Child) {
    OPEN_PROCESSES
        .lock()
        .unwrap()
        .retain(|pid| *pid != child.id());
}

/// Ends all processes of the case, and then this one with the exit code.
pub fn finish(code: i32) -> ! {
    clean_up();
    std::process::exit(code);
}

/// Ends the process with the exit code of a case that could not run.
pub fn could_not_run(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    finish(COULD_NOT_RUN);
}

/// Ends the case as one that could not run if it takes longer than `seconds`, or if a thread of it panics.
pub fn guard(seconds: u64) {
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default(info);
        could_not_run("a thread of the case panicked");
    }));
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        could_not_run("it took too long");
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// Coordinator

struct CoordinatorState {
    /// Events with their numbers, each as the JSON of its `endpoints` value.
    events: Vec<(u64, String)>,
    index: u64,
}

/// A coordinator whose events are told to all polls.
#[derive(Clone)]
pub struct Coordinator {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<(Mutex<CoordinatorState>, Condvar)>,
    stopped: Arc<AtomicBool>,
}

impl Coordinator {
    /// Starts a coordinator whose first event, number 1, is the whole list.
    pub fn start(first: &[WorkerEntry]) -> Coordinator {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let event = endpoints(1, true, first);
        let state = CoordinatorState {
            events: vec![(1, event)],
            index: 1,
        };
        let coordinator = Coordinator {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            stopped: Arc::new(AtomicBool::new(false)),
        };
        let accepting = coordinator.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(socket));
            }
        });
        coordinator
    }

    /// Adds an event with changes. Returns its number.
    pub fn tell(&self, changes: &[WorkerEntry]) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.events.push((index, endpoints(index, false, changes)));
        changed.notify_all();
        index
    }

    /// The events so far in the form of `known`.
    pub fn known(&self) -> String {
        self.after(0)
    }

    fn after(&self, follow: u64) -> String {
        let state = self.state.0.lock().unwrap();
        let events: Vec<String> = state
            .events
            .iter()
            .filter(|(index, _)| *index > follow)
            .map(|(index, endpoints)| format!(r#"{{"index":{index},"endpoints":{endpoints}}}"#))
            .collect();
        format!(
            r#"{{"index":{},"updates":[{}]}}"#,
            state.index,
            events.join(",")
        )
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        while let Some(head) = read_head(&mut socket) {
            let target = head.split(' ').nth(1).unwrap_or("");
            let parameter = |name: &str| -> u64 {
                let query = target.split('?').nth(1).unwrap_or("");
                let value = query.split('&').find_map(|part| part.strip_prefix(name));
                value.and_then(|value| value.parse().ok()).unwrap_or(0)
            };
            let (follow, wait) = (parameter("follow="), parameter("wait_ms=").min(5000));
            let until = Instant::now() + Duration::from_millis(wait);
            {
                let (state, changed) = &*self.state;
                let mut state = state.lock().unwrap();
                while state.index <= follow {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let body = self.after(follow);
            let reply = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if socket.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A worker's line of the list.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: &'static str,
    pub started_ms: u64,
}

impl WorkerEntry {
    /// The line with another state.
    pub fn in_state(&self, state: &'static str) -> WorkerEntry {
        WorkerEntry {
            state,
            ..self.clone()
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std","cell":1,"state":"{}","weight":1,"started_ms":{}}}"#,
            self.id, self.address, self.zone, self.state, self.started_ms
        )
    }
}

fn endpoints(version: u64, full: bool, servers: &[WorkerEntry]) -> String {
    let servers: Vec<String> = servers.iter().map(WorkerEntry::json).collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    )
}

/// Reads the head of an HTTP message; none if the connection ends first.
pub fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut byte = [0u8; 1];
    while !text.ends_with(b"\r\n\r\n") {
        if socket.read(&mut byte).ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    String::from_utf8(text).ok()
}

// ---------------------------------------------------------------------------------------------------------------------
// Workers

/// What workers have seen.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub at: Instant,
    pub worker: String,
    /// `fire`, `never_mind`, `there`, `provision` or `retire`.
    pub word: String,
    /// The id or the tag.
    pub tag: String,
    pub fields: String,
    /// Whether the request was run.
    pub ran: bool,
}

/// The log of all workers of a case.
#[derive(Clone, Default)]
pub struct WorkerLog(Arc<Mutex<Vec<Arrived>>>);

impl WorkerLog {
    fn push(&self, arrived: Arrived) {
        self.0.lock().unwrap().push(arrived);
    }
    /// All messages that arrived so far.
    pub fn all(&self) -> Vec<Arrived> {
        self.0.lock().unwrap().clone()
    }
}

/// A sound worker: it loads a function when ordered to, answers `404` to a call of a function that is not loaded, and
/// runs the others.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<WorkerShared>,
}

struct WorkerShared {
    id: String,
    log: WorkerLog,
    /// While it is cut off nothing is read, answered, accepted or closed.
    cut_off: AtomicBool,
    /// The process has ended.
    ended: AtomicBool,
    /// Requests are taken and none is answered.
    hangs: AtomicBool,
    loaded: Mutex<HashMap<String, Instant>>,
    /// Orders whose load is in progress.
    loads: AtomicU64,
    load_ms: AtomicU64,
    run_ms: AtomicU64,
    connections: AtomicU64,
}

impl Worker {
    /// Starts a worker that takes `load_ms` to load a function and `run_ms` to run a call.
    pub fn start(id: &str, load_ms: u64, run_ms: u64, log: &WorkerLog) -> Worker {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(WorkerShared {
            id: id.to_string(),
            log: log.clone(),
            cut_off: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            hangs: AtomicBool::new(false),
            loaded: Mutex::default(),
            loads: AtomicU64::new(0),
            load_ms: AtomicU64::new(load_ms),
            run_ms: AtomicU64::new(run_ms),
            connections: AtomicU64::new(0),
        });
        let accepting = shared.clone();
        if listener.set_nonblocking(true).is_err() {
            could_not_run("a listener can't be made non-blocking");
        }
        thread::spawn(move || accepting.accept(listener, address));
        Worker {
            id: id.to_string(),
            address,
            shared,
        }
    }

    /// Its line of the list, as a worker that started at this Unix time in milliseconds, or 0.
    pub fn entry(&self, zone: &str, started_ms: u64) -> WorkerEntry {
        WorkerEntry {
            id: self.id.clone(),
            address: self.address,
            zone: zone.to_string(),
            state: "Ready",
            started_ms,
        }
    }

    /// While it is cut off, open connections remain open and silent, and new ones never come up. What was sent to it
    /// meanwhile arrives once it is reached again.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.shared.cut_off.store(cut_off, Ordering::SeqCst);
    }

    /// The process ends: its connections are closed, and new ones are refused.
    pub fn end(&self) {
        self.shared.ended.store(true, Ordering::SeqCst);
    }

    /// While it hangs, it takes requests and answers none.
    pub fn set_hanging(&self, hangs: bool) {
        self.shared.hangs.store(hangs, Ordering::SeqCst);
    }

    /// The number of orders whose load is in progress.
    pub fn loads(&self) -> u64 {
        self.shared.loads.load(Ordering::SeqCst)
    }

    /// The number of connections that it accepted.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Loads a function at once.
    pub fn load(&self, function: &str) {
        let mut loaded = self.shared.loaded.lock().unwrap();
        loaded.insert(function.to_string(), Instant::now());
    }
}

type Writer = Arc<Mutex<TcpStream>>;

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// The accept queue of a listener that takes connections.
const BACKLOG: i32 = 1024;

impl WorkerShared {
    /// Accepts connections while it is not cut off. Meanwhile its accept queue is kept full by connections of its own,
    /// so that the kernel drops what would open another one.
    fn accept(self: &Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut fillers: Vec<TcpStream> = Vec::new();
        while !self.ended.load(Ordering::SeqCst) {
            if self.cut_off.load(Ordering::SeqCst) {
                if fillers.is_empty() {
                    // SAFETY: the descriptor is that of an open listener; the call changes the length of its queue.
                    unsafe { listen(listener.as_raw_fd(), 0) };
                    for _ in 0..2 {
                        fillers.extend(TcpStream::connect_timeout(
                            &address,
                            Duration::from_millis(30),
                        ));
                    }
                }
                sleep_ms(5);
                continue;
            }
            if !fillers.is_empty() {
                fillers.clear();
                // SAFETY: as above.
                unsafe { listen(listener.as_raw_fd(), BACKLOG) };
            }
            let Ok((socket, _)) = listener.accept() else {
                sleep_ms(1);
                continue;
            };
            let _ = socket.set_nonblocking(false);
            let _ = socket.set_nodelay(true);
            self.connections.fetch_add(1, Ordering::SeqCst);
            let serving = self.clone();
            thread::spawn(move || serving.serve(socket));
        }
    }

    fn serve(self: &Arc<Self>, mut socket: TcpStream) {
        let Ok(clone) = socket.try_clone() else {
            return;
        };
        let writer: Writer = Arc::new(Mutex::new(clone));
        let mut reader = RespReader::default();
        let _ = socket.set_read_timeout(Some(Duration::from_millis(20)));
        while !self.ended.load(Ordering::SeqCst) {
            if self.cut_off.load(Ordering::SeqCst) {
                sleep_ms(2);
                continue;
            }
            match reader.next(&mut socket) {
                Next::Array(words) => self.on_message(&words, &writer),
                Next::Later => {}
                Next::End => return,
            }
        }
    }

    fn on_message(self: &Arc<Self>, words: &[Vec<u8>], writer: &Writer) {
        let text = |index: usize| {
            words
                .get(index)
                .map_or(String::new(), |w| String::from_utf8_lossy(w).into_owned())
        };
        let (word, tag, fields) = (text(0), text(1), text(2));
        let mut arrived = Arrived {
            at: Instant::now(),
            worker: self.id.clone(),
            word: word.clone(),
            tag: tag.clone(),
            fields: fields.clone(),
            ran: false,
        };
        if self.hangs.load(Ordering::SeqCst) {
            return self.log.push(arrived);
        }
        match word.as_str() {
            "fire" => {
                let function = field(&fields, "asset");
                let is_loaded = self.loaded.lock().unwrap().contains_key(&function);
                arrived.ran = is_loaded;
                self.log.push(arrived);
                if !is_loaded {
                    return self.answer(writer, &[tag.as_bytes(), b"404", b"-", b""]);
                }
                let body = words.get(3).cloned().unwrap_or_default();
                let (shared, writer) = (self.clone(), writer.clone());
                let run_ms = self.run_ms.load(Ordering::SeqCst);
                thread::spawn(move || {
                    sleep_ms(run_ms);
                    let mut result = b"ran:".to_vec();
                    result.extend_from_slice(&body);
                    shared.answer(
                        &writer,
                        &[
                            tag.as_bytes(),
                            b"200",
                            b"n=ready,l=util:0.2;inflight:1",
                            &result,
                        ],
                    );
                });
            }
            "provision" => {
                self.log.push(arrived);
                let function = field(&fields, "asset");
                let wanted = field(&fields, "replicas");
                let (shared, writer) = (self.clone(), writer.clone());
                let load_ms = self.load_ms.load(Ordering::SeqCst);
                thread::spawn(move || {
                    let is_loaded = shared.loaded.lock().unwrap().contains_key(&function);
                    if !is_loaded && wanted != "0" {
                        shared.loads.fetch_add(1, Ordering::SeqCst);
                        sleep_ms(load_ms);
                        shared.loads.fetch_sub(1, Ordering::SeqCst);
                        shared
                            .loaded
                            .lock()
                            .unwrap()
                            .insert(function.clone(), Instant::now());
                    }
                    let count = if is_loaded || wanted != "0" {
                        "replicas=1"
                    } else {
                        "replicas=0"
                    };
                    shared.answer(&writer, &[tag.as_bytes(), b"200", count.as_bytes(), b""]);
                });
            }
            "there" => {
                self.log.push(arrived);
                self.answer(writer, &[tag.as_bytes(), b"alive", b"-", b""]);
            }
            _ => self.log.push(arrived),
        }
    }

    fn answer(&self, writer: &Writer, strings: &[&[u8]]) {
        while self.cut_off.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
        let _ = writer.lock().unwrap().write_all(&resp(strings));
    }
}

/// The value of a field of a list `name=value,name=value`.
pub fn field(fields: &str, name: &str) -> String {
    let mut parts = fields.split(',').filter_map(|part| part.split_once('='));
    parts
        .find(|(key, _)| *key == name)
        .map_or(String::new(), |(_, value)| value.to_string())
}

/// A RESP array of bulk strings.
pub fn resp(strings: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", strings.len()).into_bytes();
    for string in strings {
        bytes.extend_from_slice(format!("${}\r\n", string.len()).as_bytes());
        bytes.extend_from_slice(string);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// What reading a connection resulted in.
pub enum Next {
    Array(Vec<Vec<u8>>),
    Later,
    End,
}

/// Reads RESP arrays.
#[derive(Default)]
pub struct RespReader(Vec<u8>);

impl RespReader {
    /// The next array, or what else happened within the socket's read timeout.
    pub fn next(&mut self, socket: &mut TcpStream) -> Next {
        if let Some((words, length)) = parse_array(&self.0) {
            self.0.drain(..length);
            return Next::Array(words);
        }
        let mut buffer = [0u8; 16 * 1024];
        match socket.read(&mut buffer) {
            Ok(0) => Next::End,
            Ok(count) => {
                self.0.extend_from_slice(&buffer[..count]);
                match parse_array(&self.0) {
                    Some((words, length)) => {
                        self.0.drain(..length);
                        Next::Array(words)
                    }
                    None => Next::Later,
                }
            }
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                Next::Later
            }
            Err(_) => Next::End,
        }
    }
}

fn parse_array(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let line = |from: usize| -> Option<(usize, usize)> {
        let end = bytes
            .get(from..)?
            .windows(2)
            .position(|pair| pair == b"\r\n")?
            + from;
        let number = std::str::from_utf8(bytes.get(from + 1..end)?)
            .ok()?
            .parse()
            .ok()?;
        Some((number, end + 2))
    };
    let (count, mut at) = line(0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, start) = line(at)?;
        words.push(bytes.get(start..start + length)?.to_vec());
        bytes.get(start + length..start + length + 2)?;
        at = start + length + 2;
    }
    Some((words, at))
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: u64,
    pub function: String,
    pub class: &'static str,
    pub timeout_ms: u64,
    pub body: String,
    pub extra_headers: String,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A call with a new id.
pub fn call(function: u64, class: &'static str, timeout_ms: u64) -> Call {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    Call {
        id: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        function: format!("{function:016x}"),
        class,
        timeout_ms,
        body: format!("body {number}"),
        extra_headers: String::new(),
    }
}

impl Call {
    /// The id as it is on the wire.
    pub fn id_text(&self) -> String {
        format!("{:016x}", self.id)
    }

    /// The request.
    pub fn text(&self) -> String {
        format!(
            "POST /ops/{}/call HTTP/1.1\r\nHost: app.svc\r\nX-Class: {}\r\nX-Request-Id: {}\r\nX-Timeout-Ms: {}\r\n\
             X-Extras: memory_mb:300;lanes:2\r\n{}Content-Length: {}\r\n\r\n{}",
            self.function,
            self.class,
            self.id_text(),
            self.timeout_ms,
            self.extra_headers,
            self.body.len(),
            self.body
        )
    }
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
    /// A whole answer.
    Answer {
        status: u16,
        body: String,
        after_ms: u64,
    },
    /// The connection ended without a whole answer.
    Closed { after_ms: u64 },
    /// Nothing within the time.
    Nothing,
    /// No connection came up.
    NotConnected,
}

impl Got {
    /// The status of the answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        match self {
            Got::Answer { status, .. } => *status,
            _ => 0,
        }
    }
}

/// Sends a request on a connection and waits for the answer, for at most `wait_ms`.
pub fn exchange(socket: &mut TcpStream, text: &str, wait_ms: u64) -> Got {
    let began = Instant::now();
    let after_ms = || began.elapsed().as_millis() as u64;
    if socket.write_all(text.as_bytes()).is_err() {
        return Got::Closed {
            after_ms: after_ms(),
        };
    }
    let mut bytes = Vec::new();
    let mut buffer = [0u8; 16 * 1024];
    let until = began + Duration::from_millis(wait_ms);
    loop {
        if let Some((status, body)) = parse_answer(&bytes) {
            return Got::Answer {
                status,
                body,
                after_ms: after_ms(),
            };
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Got::Nothing;
        }
        let _ = socket.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match socket.read(&mut buffer) {
            Ok(0) => {
                return Got::Closed {
                    after_ms: after_ms(),
                }
            }
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(_) => {
                return Got::Closed {
                    after_ms: after_ms(),
                }
            }
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<(u16, String)> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .find_map(|line| {
            line.to_ascii_lowercase()
                .strip_prefix("content-length:")
                .map(str::to_string)
        })?
        .trim()
        .parse()
        .ok()?;
    let body = bytes.get(end..end + length)?;
    Some((status, String::from_utf8_lossy(body).into_owned()))
}

/// Sends a call on a new connection, and waits for its answer for its time and `slack_ms` more.
pub fn send(address: SocketAddr, call: &Call, slack_ms: u64) -> Got {
    let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_millis(2000)) else {
        return Got::NotConnected;
    };
    let _ = socket.set_nodelay(true);
    exchange(&mut socket, &call.text(), call.timeout_ms + slack_ms)
}

// ---------------------------------------------------------------------------------------------------------------------
// Front ends

/// The settings of a front end that differ between cases.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes by name and effect.
    pub classes: &'static [(&'static str, &'static str)],
    pub front_ends: usize,
    pub index: usize,
    pub sockets: usize,
    pub memory_mb: usize,
    pub keepalive_s: f64,
    pub load_wait_s: f64,
    pub connect_timeout_s: f64,
    pub multiplex: usize,
    pub max_attempts: usize,
    pub drain_grace_s: f64,
    pub zones: &'static [&'static str],
    /// Seconds after which clients of the classes give up.
    pub deadline_s: f64,
    /// The fields of class `keyed`.
    pub repeats: &'static str,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            classes: &[
                ("live-check", "read_like"),
                ("handover", "non_idempotent"),
                ("keyed", "idempotency_key"),
            ],
            front_ends: 1,
            index: 0,
            sockets: 256,
            memory_mb: 64,
            keepalive_s: 15.0,
            load_wait_s: 10.0,
            connect_timeout_s: 0.25,
            multiplex: 32,
            max_attempts: 4,
            drain_grace_s: 0.25,
            zones: &["north", "east"],
            deadline_s: 3.0,
            repeats: r#""group":"all","repeat_window_s":3.0"#,
        }
    }
}

impl Settings {
    /// The configuration file of a front end.
    pub fn text(&self, listen: SocketAddr, coordinator: &Coordinator) -> String {
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("{zone:?}")).collect();
        let class = |(name, effect): &(&str, &str)| {
            let repeats = if *effect == "idempotency_key" {
                format!(",{}", self.repeats)
            } else {
                String::new()
            };
            format!(
                r#"{{"name":"{name}","aim_s":0.8,"deadline_s":{},"effect":"{effect}","gain":1,"late_worth":0.2{repeats}}}"#,
                self.deadline_s
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        format!(
            r#"{{"name":"n{index}","listen":"{listen}","seed":"8c1f30d27a5be96{index:x}",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"coordinator":"{coordinator}","known":{known},
"settings":{{"family":"warm","me":{index},"siblings":{front_ends},"stage":0,"layers":["model-workers"],"locality":0,
"zones":[{zones}],"machine_types":["std"],"classes":[{classes}],"discovery":"pushed","tick_s":0.004,
"value_by":"request","weights":"rough","callers":{{"marks_retry":false}},
"policy_limits":{{"cancel":true,"connect_timeout_s":{connect},"keepalive_s":{keepalive},"max_attempts":{attempts},
"multiplex":{multiplex},"probes":false,"peers":false,"second_copies":false,"retry_after":false,"max_retry_after_s":0.5,"most_held":20000}},
"rules":{{"answer_slack_s":0.008,"ask_within_s":10.0,"cold_from":0.3,"drain_grace_s":{drain},"fall_multiple":4.0,"fall_s":3.0,"warm_up_s":9.0}},
"specifics":{{"idle_life_s":12.0,"kind_memory_mb":[40000.0],"load_free":0.0,"load_part":0.0,"load_period_s":0.0,
"load_wait_s":{load_wait},"orders":true,"says_warm":true,"tells_crowd":false,"when_absent":"miss"}},
"telemetry":{{"fields":["load_share","concurrent"],"how":"piggyback"}}}}}}
"#,
            index = self.index,
            memory = self.memory_mb,
            sockets = self.sockets,
            coordinator = coordinator.address,
            known = coordinator.known(),
            front_ends = self.front_ends,
            zones = zones.join(","),
            classes = classes.join(","),
            connect = self.connect_timeout_s,
            keepalive = self.keepalive_s,
            attempts = self.max_attempts,
            multiplex = self.multiplex,
            drain = self.drain_grace_s,
            load_wait = self.load_wait_s,
        )
    }
}

/// A folder for the files of a case, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder.
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&path) {
            could_not_run(&error.to_string());
        }
        OPEN_FOLDERS.lock().unwrap().push(path.clone());
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
    listener.local_addr().unwrap()
}

/// A front end as a process of its own, started with the deploy file's command.
pub struct FrontEnd {
    pub address: SocketAddr,
    pub configuration: PathBuf,
    pub log: PathBuf,
    child: Child,
}

impl FrontEnd {
    /// Starts a front end and waits until it answers `GET /alive` with 200.
    pub fn start(
        root: &Path,
        folder: &Folder,
        settings: &Settings,
        coordinator: &Coordinator,
    ) -> FrontEnd {
        let address = free_address();
        let configuration = folder.0.join(format!("n{}.json", settings.index));
        let log = folder.0.join(format!("n{}.log", settings.index));
        if let Err(error) = std::fs::write(&configuration, settings.text(address, coordinator)) {
            could_not_run(&error.to_string());
        }
        let mut front_end = FrontEnd {
            address,
            child: spawn(root, &configuration, &log),
            configuration,
            log,
        };
        front_end.await_ready();
        front_end
    }

    fn await_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                could_not_run(&format!("the front end ended at its start: {status}"));
            }
            if is_alive(self.address) {
                return;
            }
            sleep_ms(20);
        }
        could_not_run("the front end was not ready within 30 s");
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.pid().to_string())
            .status();
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The number of its descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, |entries| entries.count())
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        unregister(&self.child);
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, configuration: &Path, log: &Path) -> Child {
    let file = File::create(log).unwrap_or_else(|e| could_not_run(&e.to_string()));
    let run = "exec target/release/tansy-gateway --platform";
    let level = std::env::var("REVIEW_LOG").unwrap_or_default();
    let run = if level.is_empty() {
        run.to_string()
    } else {
        format!("{run} --log {level}")
    };
    let child = Command::new("/bin/sh")
        .arg("-c")
        .arg(&run)
        .current_dir(root)
        .env("EDGE_CONFIG", configuration)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(file)
        .spawn();
    let child = child.unwrap_or_else(|error| could_not_run(&error.to_string()));
    register(&child);
    child
}

/// Whether a front end answers `GET /alive` with 200.
pub fn is_alive(address: SocketAddr) -> bool {
    let Ok(mut socket) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let text = "GET /alive HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
    exchange(&mut socket, text, 1000).status() == 200
}

/// The root of the checkout and the folder of the case, from the arguments.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    match (arguments.next(), arguments.next()) {
        (Some(root), Some(case)) => (root, case),
        _ => could_not_run("want the root of the checkout and the folder of the case as arguments"),
    }
}
