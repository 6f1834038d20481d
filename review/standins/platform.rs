//! Stand-ins of the platform for the review's cases, with the standard library alone: the coordinator, workers, clients
//! and the start of a front end by the command of the deploy file. All addresses are loopback addresses.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn write(&self, line: &str) {
        let at = self.started_at.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.2} {line}");
    }

    /// Writes a line to the record and to standard output.
    pub fn print(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}

/// One entry of the worker list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Listed {
    pub fn ready(id: &str, address: SocketAddr) -> Listed {
        Listed {
            id: id.to_string(),
            address,
            zone: "a",
            state: "Ready",
            started_ms: 0,
        }
    }

    pub fn json(&self) -> String {
        let Listed {
            id,
            address,
            zone,
            state,
            started_ms,
        } = self;
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"std","cell":0,"state":"{state}","weight":1,"started_ms":{started_ms}}}"#
        )
    }
}

/// The numbered events of the coordinator, and the long polls that wait for more.
pub struct Coordinator {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Coordinator {
    /// Starts with one event: the whole list.
    pub fn start(record: &Record, list: &[Listed]) -> io::Result<Coordinator> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let first = event(1, true, list);
        let events = Arc::new((Mutex::new(vec![first]), Condvar::new()));
        let (shared, record) = (events.clone(), record.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (shared, record) = (shared.clone(), record.clone());
                thread::spawn(move || serve_polls(socket, &shared, &record));
            }
        });
        Ok(Coordinator { address, events })
    }

    /// All events so far, in the form of `known`.
    pub fn known(&self) -> String {
        let events = self.events.0.lock().unwrap();
        updates(events.len() as u64, &events)
    }
}

fn event(index: u64, full: bool, list: &[Listed]) -> String {
    let servers: Vec<String> = list.iter().map(Listed::json).collect();
    let servers = servers.join(",");
    format!(
        r#"{{"index":{index},"endpoints":{{"version":{index},"full":{full},"servers":[{servers}]}}}}"#
    )
}

fn updates(index: u64, events: &[String]) -> String {
    format!(r#"{{"index":{index},"updates":[{}]}}"#, events.join(","))
}

fn query_value(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let pair = query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))?;
    pair.1.parse().ok()
}

fn serve_polls(socket: TcpStream, events: &(Mutex<Vec<String>>, Condvar), record: &Record) {
    let _ = socket.set_nodelay(true);
    let Ok(reading) = socket.try_clone() else {
        return;
    };
    let mut lines = BufReader::new(reading);
    let mut socket = socket;
    loop {
        let mut target = String::new();
        loop {
            let mut line = String::new();
            match lines.read_line(&mut line) {
                Ok(count) if count > 0 => {}
                _ => return,
            }
            if let Some(rest) = line.strip_prefix("GET ") {
                target = rest.split(' ').next().unwrap_or("").to_string();
            }
            if line == "\r\n" {
                break;
            }
        }
        let follow = query_value(&target, "follow").unwrap_or(0) as usize;
        let wait = Duration::from_millis(query_value(&target, "wait_ms").unwrap_or(0).min(5000));
        let until = Instant::now() + wait;
        let mut held = events.0.lock().unwrap();
        while held.len() <= follow {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            held = events.1.wait_timeout(held, left).unwrap().0;
        }
        let newer = held.get(follow..).unwrap_or(&[]);
        let body = updates(held.len() as u64, newer);
        if !newer.is_empty() {
            record.write(&format!("coordinator tells events after {follow}"));
        }
        drop(held);
        let reply = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if socket.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads one RESP array of bulk strings; none at the end of the connection.
pub fn read_array(lines: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_length(lines, b'*')? else {
        return Ok(None);
    };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let length = read_length(lines, b'$')?.ok_or(ErrorKind::UnexpectedEof)?;
        let mut word = vec![0; length + 2];
        lines.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

fn read_length(lines: &mut impl BufRead, kind: u8) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    if lines.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let invalid = || io::Error::from(ErrorKind::InvalidData);
    let digits = line
        .strip_prefix(&[kind])
        .and_then(|rest| rest.strip_suffix(b"\r\n"))
        .ok_or_else(invalid)?;
    let text = std::str::from_utf8(digits).map_err(|_| invalid())?;
    text.parse().map(Some).map_err(|_| invalid())
}

/// The bytes of one RESP array.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The value of a field in a list `name=value,name=value`.
pub fn field(fields: &[u8], name: &str) -> Option<String> {
    let fields = text(fields);
    let pair = fields
        .split(',')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))?;
    Some(pair.1.to_string())
}

/// One connection of a front end to a worker.
#[derive(Clone)]
pub struct WorkerLink {
    pub worker: String,
    pub number: u64,
    socket: Arc<Mutex<TcpStream>>,
}

impl WorkerLink {
    pub fn write(&self, bytes: &[u8]) -> bool {
        self.socket.lock().unwrap().write_all(bytes).is_ok()
    }

    pub fn close(&self) {
        let _ = self.socket.lock().unwrap().shutdown(Shutdown::Both);
    }
}

/// A call as it arrived at a worker.
#[derive(Clone)]
pub struct Fired {
    pub id: String,
    pub function: String,
    pub body: Vec<u8>,
}

/// The bytes by which a sound worker answers a call that it ran.
pub fn served(fired: &Fired, result: &[u8]) -> Vec<u8> {
    array(&[
        fired.id.as_bytes(),
        b"200",
        b"n=ready,l=util:0.2;inflight:1;x0:0.1;x1:0",
        result,
    ])
}

/// What a worker made of a call: part of it names the call, so that no two are the same.
pub fn result_of(worker: &str, fired: &Fired) -> Vec<u8> {
    format!(
        "result of {} by {worker} for {}",
        fired.id,
        text(&fired.body)
    )
    .into_bytes()
}

/// The ids of functions that exist nowhere begin with this.
pub const NO_FUNCTION: &str = "dead";

type OnCall = Arc<dyn Fn(&WorkerLink, &Fired) + Send + Sync>;

/// A worker: it loads functions on order, runs calls of loaded ones and answers.
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    loaded: Arc<Mutex<HashSet<String>>>,
}

impl Worker {
    /// Starts a worker. `on_call` runs and answers a call whose function is loaded, on a thread of its own.
    pub fn start(
        record: &Record,
        name: &str,
        load: Duration,
        on_call: OnCall,
    ) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            name: name.to_string(),
            address: listener.local_addr()?,
            loaded: Arc::default(),
        };
        let (name, loaded, record) = (worker.name.clone(), worker.loaded.clone(), record.clone());
        thread::spawn(move || {
            for (number, socket) in listener.incoming().flatten().enumerate() {
                let _ = socket.set_nodelay(true);
                let Ok(reading) = socket.try_clone() else {
                    continue;
                };
                let link = WorkerLink {
                    worker: name.clone(),
                    number: number as u64 + 1,
                    socket: Arc::new(Mutex::new(socket)),
                };
                record.write(&format!("{name} connection {}: open", link.number));
                let (loaded, record, on_call) = (loaded.clone(), record.clone(), on_call.clone());
                thread::spawn(move || {
                    serve_link(
                        &link,
                        BufReader::new(reading),
                        &loaded,
                        load,
                        &record,
                        &on_call,
                    );
                    record.write(&format!(
                        "{} connection {}: ended",
                        link.worker, link.number
                    ));
                    link.close();
                });
            }
        });
        Ok(worker)
    }
}

fn serve_link(
    link: &WorkerLink,
    mut lines: BufReader<TcpStream>,
    loaded: &Arc<Mutex<HashSet<String>>>,
    load: Duration,
    record: &Record,
    on_call: &OnCall,
) {
    while let Ok(Some(words)) = read_array(&mut lines) {
        let word = |index: usize| words.get(index).map_or(&b""[..], Vec::as_slice);
        let place = format!("{} connection {}", link.worker, link.number);
        match word(0) {
            b"fire" => {
                let fired = Fired {
                    id: text(word(1)),
                    function: field(word(2), "asset").unwrap_or_default(),
                    body: word(3).to_vec(),
                };
                record.write(&format!("{place}: fire {} {}", fired.id, text(word(2))));
                if loaded.lock().unwrap().contains(&fired.function) {
                    let (link, on_call) = (link.clone(), on_call.clone());
                    thread::spawn(move || on_call(&link, &fired));
                } else {
                    link.write(&array(&[fired.id.as_bytes(), b"404", b"-", b""]));
                }
            }
            b"provision" => {
                let function = field(word(2), "asset").unwrap_or_default();
                let replicas = field(word(2), "replicas")
                    .and_then(|value| value.parse().ok())
                    .unwrap_or(0u32);
                record.write(&format!("{place}: provision {}", text(word(2))));
                let (link, loaded, tag) = (link.clone(), loaded.clone(), word(1).to_vec());
                thread::spawn(move || {
                    let exists = !function.starts_with(NO_FUNCTION);
                    if exists && replicas > 0 && !loaded.lock().unwrap().contains(&function) {
                        thread::sleep(load);
                        loaded.lock().unwrap().insert(function.clone());
                    }
                    let stand = u32::from(loaded.lock().unwrap().contains(&function));
                    let fields = format!("replicas={stand}");
                    // The load of a function that does not exist fails.
                    let word: &[u8] = if exists || replicas == 0 {
                        b"200"
                    } else {
                        b"500"
                    };
                    link.write(&array(&[&tag, word, fields.as_bytes(), b""]));
                });
            }
            b"there" => {
                link.write(&array(&[word(1), b"alive", b"-", b""]));
            }
            other => record.write(&format!("{place}: {} {}", text(other), text(word(1)))),
        }
    }
}

/// An answer of a front end to a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A call of a client.
#[derive(Clone)]
pub struct ClientCall {
    pub id: String,
    pub function: String,
    pub class: &'static str,
    pub timeout: Duration,
    pub body: Vec<u8>,
}

impl ClientCall {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = String::new();
        let _ = write!(
            head,
            "POST /ops/{}/call HTTP/1.1\r\nHost: app.svc\r\nX-Class: {}\r\nX-Request-Id: {}\r\nX-Timeout-Ms: {}\r\nX-Extras: memory_mb:300;lanes:4\r\nContent-Length: {}\r\n\r\n",
            self.function, self.class, self.id, self.timeout.as_millis(), self.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A client's connection, which it keeps open between its calls.
pub struct Client {
    front_end: SocketAddr,
    socket: Option<TcpStream>,
}

impl Client {
    pub fn new(front_end: SocketAddr) -> Client {
        Client {
            front_end,
            socket: None,
        }
    }

    /// Sends a call and waits for its answer until `patience` after its time; none if the connection ended without a
    /// whole answer, or none came.
    pub fn call(&mut self, call: &ClientCall, patience: Duration) -> Option<Answer> {
        let answer = self.try_call(call, patience);
        if answer.is_err() {
            self.socket = None;
        }
        answer.ok()
    }

    fn try_call(&mut self, call: &ClientCall, patience: Duration) -> io::Result<Answer> {
        let socket = match self.socket.take() {
            Some(socket) => socket,
            None => TcpStream::connect(self.front_end)?,
        };
        socket.set_nodelay(true)?;
        (&socket).write_all(&call.bytes())?;
        let until = Instant::now() + call.timeout + patience;
        let (answer, keep) = read_answer(&socket, until)?;
        self.socket = keep.then_some(socket);
        Ok(answer)
    }
}

/// Reads one HTTP answer and whether the connection stays open.
pub fn read_answer(mut socket: &TcpStream, until: Instant) -> io::Result<(Answer, bool)> {
    let mut bytes = Vec::new();
    let mut buffer = [0u8; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = text(&bytes[..end]).to_ascii_lowercase();
            let status = head
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok())
                .ok_or(ErrorKind::InvalidData)?;
            let length = head
                .lines()
                .find_map(|line| {
                    line.strip_prefix("content-length:")?
                        .trim()
                        .parse::<usize>()
                        .ok()
                })
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                return Ok((Answer { status, body }, !head.contains("connection: close")));
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(left))?;
        match socket.read(&mut buffer)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// The settings of a small deployment: one front end, two zones, one machine kind, a class that is safe to repeat and one that is not.
pub fn settings(more_policy: &str) -> String {
    format!(
        r#"{{"me":0,"siblings":1,"locality":0,"zones":["a","b"],"machine_types":["std"],"discovery":"pushed","family":"warm","value_by":"request","weights":"rough",
        "classes":[
        {{"name":"read","aim_s":0.8,"deadline_s":2.5,"effect":"read_like","gain":1,"group":"all","late_worth":0.2,"repeat_window_s":5,"streamed":false}},
        {{"name":"order","aim_s":0.8,"deadline_s":2.5,"effect":"non_idempotent","gain":3,"group":"all","late_worth":0.2,"repeat_window_s":5,"streamed":false}}],
        "policy_limits":{{"cancel":true,"connect_timeout_s":0.25,"keepalive_s":30,"max_attempts":4,"max_retry_after_s":0.5,"most_held":20000,"multiplex":32,"peers":false,"probes":false,"retry_after":false,"second_copies":false{more_policy}}},
        "rules":{{"answer_slack_s":0.05,"ask_within_s":10,"cold_from":0.25,"drain_grace_s":0.25,"fall_multiple":4,"fall_s":3,"warm_up_s":13}},
        "specifics":{{"idle_life_s":10,"kind_memory_mb":[12000],"load_free":0,"load_part":0,"load_period_s":0,"load_wait_s":10,"orders":true,"price_of_idle":0,"says_warm":true,"tells_crowd":true,"when_absent":"miss"}},
        "telemetry":{{"fields":["load_share","concurrent","x0","x1"],"how":"piggyback"}},"tenants":[],"tick_s":0.004}}"#
    )
}

/// The limits that the configuration tells a front end.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
}

/// The most that a front end has on the days that are scored.
pub const LARGEST: Limits = Limits {
    memory_mb: 192,
    sockets: 1024,
};

/// A front end, started by the command `run` of the deploy file.
pub struct FrontEnd {
    pub address: SocketAddr,
    pub child: Child,
}

/// A loopback address that is free now, on an address of 127.0.0.0/8 that nothing else here uses.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let pid = u64::from(std::process::id());
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = format!(
        "127.{}.{}.{}:0",
        64 + (number % 64),
        (pid >> 8) & 0xff,
        1 + (pid & 0xff) % 254
    );
    TcpListener::bind(host)?.local_addr()
}

/// The command `run` of `deploy/balancer.toml`.
pub fn run_command() -> io::Result<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    line.map(str::to_string).ok_or(ErrorKind::NotFound.into())
}

impl FrontEnd {
    /// Starts a front end and waits until it answers `GET /alive` with 200.
    pub fn start(
        folder: &Path,
        coordinator: &Coordinator,
        settings: &str,
        limits: Limits,
    ) -> io::Result<FrontEnd> {
        let address = free_address()?;
        FrontEnd::start_at(
            folder,
            address,
            coordinator.address,
            &coordinator.known(),
            settings,
            limits,
        )
    }

    pub fn start_at(
        folder: &Path,
        address: SocketAddr,
        coordinator: SocketAddr,
        known: &str,
        settings: &str,
        limits: Limits,
    ) -> io::Result<FrontEnd> {
        let config = folder.join("config.json");
        write_config(&config, address, coordinator, known, settings, limits)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join("front-end.log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", address.to_string())
            .env("EDGE_CONFIG", &config)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut front_end = FrontEnd { address, child };
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if front_end.is_alive() {
                return Ok(front_end);
            }
            if front_end.child.try_wait()?.is_some() {
                return Err(io::Error::other("the front end ended at its start"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the front end was not ready within 30 s"))
    }

    pub fn is_alive(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let socket = TcpStream::connect(self.address)?;
            (&socket)
                .write_all(b"GET /alive HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")?;
            let (answer, _) = read_answer(&socket, Instant::now() + Duration::from_secs(2))?;
            Ok(answer.status == 200)
        };
        ask().unwrap_or(false)
    }

    /// The anonymous memory that the front end's process has in use, in KiB.
    pub fn anonymous_memory_kib(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:")?.trim().strip_suffix("kB"));
        line.and_then(|number| number.trim().parse().ok())
            .ok_or(ErrorKind::InvalidData.into())
    }
}

pub fn write_config(
    path: &Path,
    address: SocketAddr,
    coordinator: SocketAddr,
    known: &str,
    settings: &str,
    limits: Limits,
) -> io::Result<()> {
    let Limits { memory_mb, sockets } = limits;
    let new = path.with_extension("new");
    std::fs::write(
        &new,
        format!(
            r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"coordinator":"{coordinator}","known":{known},"settings":{settings}}}"#
        ),
    )?;
    std::fs::rename(new, path)
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A seeded generator of random numbers (xorshift64*).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// Whether the disruption is on: `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case in a temporary folder with its record, and ends with its exit code.
pub fn run_case(case: impl FnOnce(&Record, &Path) -> io::Result<i32>) -> ! {
    let record_path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_string());
    let folder = std::env::temp_dir().join(format!(
        "review-{}-{:x}",
        std::process::id(),
        Instant::now().elapsed().as_nanos()
    ));
    let outcome = std::fs::create_dir_all(&folder)
        .and_then(|()| Record::create(Path::new(&record_path)))
        .and_then(|record| case(&record, &folder));
    let _ = std::fs::remove_dir_all(&folder);
    match outcome {
        Ok(code) => std::process::exit(code),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(NOT_RUN);
        }
    }
}
