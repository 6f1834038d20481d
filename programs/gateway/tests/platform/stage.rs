//! A stage for the platform's protocol: a front end on a thread of its own, workers and a coordinator that do as the
//! test says, all on loopback and kernel ports.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tansy_gateway::platform::{read, Platform};
use tansy_resp::{Limits, Reader};

/// One command that reached a worker.
#[derive(Clone, Debug)]
pub struct Came {
    /// Number of its connection, in the order accepted.
    pub on: usize,
    /// Its strings.
    pub words: Vec<String>,
}

impl Came {
    pub fn word(&self) -> &str {
        &self.words[0]
    }
}

/// What a worker does about a command: bytes to write, and whether the connection goes on.
pub type Script = Box<dyn FnMut(&Came) -> (Vec<u8>, bool) + Send>;

pub fn array(words: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    tansy_resp::write_array(
        &mut out,
        &words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>(),
    );
    out
}

/// A worker that loads at once and serves each call with its own body; `odd` may do otherwise for one `fire`.
pub fn serving(mut odd: impl FnMut(&Came) -> Option<(Vec<u8>, bool)> + Send + 'static) -> Script {
    Box::new(move |c| match c.word() {
        "provision" => (array(&[&c.words[1], "200", "replicas=1", ""]), true),
        "fire" => odd(c).unwrap_or_else(|| (served(c), true)),
        _ => (Vec::new(), true),
    })
}

/// The answer that serves a call.
pub fn served(c: &Came) -> Vec<u8> {
    array(&[&c.words[1], "200", "n=ready", &c.words[3]])
}

pub struct Worker {
    pub address: SocketAddr,
    pub log: Arc<Mutex<Vec<Came>>>,
    /// Connections that ended.
    pub ended: Arc<AtomicU64>,
}

impl Worker {
    pub fn start(script: Script) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (log, ended) = (
            Arc::new(Mutex::new(Vec::new())),
            Arc::new(AtomicU64::new(0)),
        );
        let script = Arc::new(Mutex::new(script));
        let (l, e) = (log.clone(), ended.clone());
        std::thread::spawn(move || {
            for (on, socket) in listener.incoming().enumerate() {
                let Ok(socket) = socket else { return };
                let (script, log, ended) = (script.clone(), l.clone(), e.clone());
                std::thread::spawn(move || {
                    let _ = Worker::serve(socket, on, &script, &log);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Worker {
            address,
            log,
            ended,
        }
    }

    fn serve(
        mut socket: TcpStream,
        on: usize,
        script: &Mutex<Script>,
        log: &Mutex<Vec<Came>>,
    ) -> std::io::Result<()> {
        let mut reader = Reader::new(Limits {
            string: 64 * 1024,
            strings: 4,
        });
        let mut buffer = [0u8; 4096];
        loop {
            let n = socket.read(&mut buffer)?;
            if n == 0 {
                return Ok(());
            }
            reader.push_bytes(&buffer[..n]);
            while let Ok(Some(strings)) = reader.next_array() {
                let words = strings
                    .iter()
                    .map(|s| String::from_utf8_lossy(s).into_owned())
                    .collect();
                let came = Came { on, words };
                log.lock().unwrap().push(came.clone());
                let (bytes, goes_on) = (script.lock().unwrap())(&came);
                socket.write_all(&bytes)?;
                if !goes_on {
                    return Ok(());
                }
            }
        }
    }

    /// The commands of one word so far.
    pub fn all(&self, word: &str) -> Vec<Came> {
        self.log
            .lock()
            .unwrap()
            .iter()
            .filter(|c| c.word() == word)
            .cloned()
            .collect()
    }
}

/// Waits for something to become so, at most ten seconds.
pub fn until(what: &str, mut so: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !so() {
        assert!(Instant::now() < end, "not within 10 s: {what}");
        std::thread::yield_now();
    }
}

/// A coordinator that hands each request's target to the test, which answers it with whole bytes.
pub struct Coordinator {
    pub address: SocketAddr,
    pub asked: Receiver<(String, TcpStream)>,
}

impl Coordinator {
    pub fn start() -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, asked): (Sender<(String, TcpStream)>, _) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let tell = tell.clone();
                std::thread::spawn(move || loop {
                    let Some(head) = head(&socket) else { return };
                    let target = head.split(' ').nth(1).unwrap_or("").to_string();
                    let Ok(clone) = socket.try_clone() else {
                        return;
                    };
                    if tell.send((target, clone)).is_err() {
                        return;
                    }
                });
            }
        });
        Coordinator { address, asked }
    }

    /// The next poll.
    pub fn next(&self) -> (String, TcpStream) {
        self.asked
            .recv_timeout(Duration::from_secs(10))
            .expect("a poll")
    }
}

/// An address at which nobody listens, nor will while the tests run.
pub fn nobody() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}

/// What the kernel knows of one TCP socket.
pub struct SocketState {
    /// No end of the connection has been sent or received yet.
    pub established: bool,
    /// Bytes that its owner has not read yet, the other side's end included.
    pub unread: u32,
    /// Bytes that the other side has not acknowledged yet.
    pub unacknowledged: u32,
}

/// Asks the kernel for the socket with these two addresses alone; none: there is no such socket. The table of all sockets
/// (`/proc/net/tcp`) takes the longer to read the more connections the whole machine has had within a minute.
pub fn socket_state(local: SocketAddr, remote: SocketAddr) -> Option<SocketState> {
    // AF_NETLINK and NETLINK_SOCK_DIAG; requests and answers as in linux/inet_diag.h.
    let (domain, protocol) = (socket2::Domain::from(16), socket2::Protocol::from(4));
    let mut kernel =
        socket2::Socket::new(domain, socket2::Type::RAW, Some(protocol)).expect("sock_diag");
    let mut request = Vec::new();
    // Length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, number, sender.
    request.extend(72u32.to_ne_bytes());
    request.extend(20u16.to_ne_bytes());
    request.extend(1u16.to_ne_bytes());
    request.extend([0; 8]);
    // AF_INET, IPPROTO_TCP, no extensions, all states.
    request.extend([2, 6, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        let SocketAddr::V4(address) = address else {
            panic!("{address}: the stage is on IPv4");
        };
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface, no cookie.
    request.extend([0; 4]);
    request.extend([0xff; 8]);
    kernel.write_all(&request).expect("sock_diag");
    let mut answer = [0u8; 4096];
    let length = kernel.read(&mut answer).expect("sock_diag");
    let word = |at: usize| u32::from_ne_bytes(answer[at..at + 4].try_into().unwrap());
    if u16::from_ne_bytes([answer[4], answer[5]]) != 20 {
        // An error: ENOENT.
        assert_eq!(word(16) as i32, -2, "sock_diag");
        return None;
    }
    assert!(length >= 88, "sock_diag: {length} bytes");
    // Behind a connection that is gone the kernel finds the listener (state 10).
    (answer[17] != 10).then(|| SocketState {
        established: answer[17] == 1,
        unread: word(72),
        unacknowledged: word(76),
    })
}

/// A socket's own address and that of the other side.
pub fn addresses(socket: &TcpStream) -> (SocketAddr, SocketAddr) {
    (socket.local_addr().unwrap(), socket.peer_addr().unwrap())
}

/// Waits until what was written has reached the other side's socket: a busy kernel may take its time on loopback too.
pub fn delivered(socket: &TcpStream) {
    let (local, remote) = addresses(socket);
    until("it is delivered", || {
        socket_state(local, remote).is_none_or(|state| state.unacknowledged == 0)
    });
}

/// Ends a connection, and waits until the other side's socket knows.
pub fn end(socket: TcpStream) {
    let (local, remote) = addresses(&socket);
    drop(socket);
    until("its end is known", || {
        socket_state(remote, local).is_none_or(|state| !state.established)
    });
}

pub fn head(mut socket: &TcpStream) -> Option<String> {
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

pub fn reply(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A configuration around some workers.
pub struct Site {
    pub sockets: usize,
    pub keepalive_s: f64,
    pub connect_timeout_s: f64,
    pub coordinator: SocketAddr,
    pub workers: Vec<(String, SocketAddr)>,
}

impl Site {
    pub fn of(workers: &[&Worker]) -> Site {
        Site::at(&workers.iter().map(|w| w.address).collect::<Vec<_>>())
    }

    pub fn at(workers: &[SocketAddr]) -> Site {
        let named = workers
            .iter()
            .enumerate()
            .map(|(n, address)| (format!("s-{n}"), *address));
        // The list stays as it is known.
        let nobody = nobody();
        Site {
            sockets: 256,
            keepalive_s: 30.0,
            connect_timeout_s: 0.25,
            coordinator: nobody,
            workers: named.collect(),
        }
    }

    pub fn servers(&self, state: &str) -> String {
        let one = |(id, addr): &(String, SocketAddr)| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
            )
        };
        self.workers.iter().map(one).collect::<Vec<_>>().join(",")
    }

    pub fn text(&self, listen: &str) -> String {
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","aim_s":0.8,"deadline_s":2.0,"effect":"{effect}","late_worth":0.1,"gain":1}}"#
            )
        };
        format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":32,"sockets":{}}},"coordinator":"{}",
            "known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"version":1,"full":true,"servers":[{}]}}}}]}},
            "settings":{{"me":0,"siblings":1,"zones":["a"],"machine_types":["k"],"classes":[{},{},{}],
            "policy_limits":{{"cancel":true,"connect_timeout_s":{},"keepalive_s":{},"max_attempts":4,"multiplex":32}},
            "rules":{{"answer_slack_s":0.05,"drain_grace_s":0.25,"cold_from":0.3,"fall_multiple":4,"fall_s":3,"warm_up_s":5}},
            "specifics":{{"idle_life_s":10,"kind_memory_mb":[4000],"load_wait_s":4,"orders":true,"says_warm":true,
            "tells_crowd":true,"when_absent":"miss"}},"telemetry":{{"fields":["load_share"],"how":"piggyback"}},
            "tick_s":0.001}}}}"#,
            self.sockets,
            self.coordinator,
            self.servers("Ready"),
            class("safe", "read_like"),
            class("once", "non_idempotent"),
            // What a worker remembers of a key, it remembers for a second.
            class("keyed", "idempotency_key").replace(
                "\"gain\"",
                "\"repeat_window_s\":1.0,\"group\":\"all\",\"gain\""
            ),
            self.connect_timeout_s,
            self.keepalive_s,
        )
    }

    /// The configuration as a file.
    pub fn file(&self, listen: &str) -> PathBuf {
        file(&self.text(listen))
    }
}

/// A text in a file of its own.
pub fn file(text: &str) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("tansy-platform-{}-{n}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// What a front end held when it was stopped: calls, ids, orders, links, then functions and workers, then clients.
pub type Held = ([usize; 4], (usize, usize), usize);

/// A front end that runs.
pub struct Front {
    pub address: SocketAddr,
    pub path: PathBuf,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    thread: Option<JoinHandle<Held>>,
}

impl Front {
    pub fn start(site: &Site) -> Front {
        let path = site.file("127.0.0.1:0");
        let (stop, reload) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let (tell, told) = channel();
        let (s, r, p) = (stop.clone(), reload.clone(), path.clone());
        let thread = std::thread::spawn(move || {
            let mut platform = Platform::start(&read(&p).unwrap()).unwrap();
            tell.send(platform.address()).unwrap();
            while !s.load(Ordering::SeqCst) {
                platform.turn(Duration::from_millis(5)).unwrap();
                if r.swap(false, Ordering::SeqCst) {
                    platform.reload(&p);
                }
            }
            let driver = platform.driver();
            (
                driver.table_sizes(),
                driver.with_dispatcher(|dispatcher| dispatcher.name_counts()),
                platform.clients().len(),
            )
        });
        let address = told.recv().unwrap();
        Front {
            address,
            path,
            stop,
            reload,
            thread: Some(thread),
        }
    }

    /// As SIGHUP does.
    pub fn reload(&self) {
        self.reload.store(true, Ordering::SeqCst);
    }

    pub fn stop(mut self) -> Held {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().unwrap().join().unwrap()
    }

    pub fn connect(&self) -> Client {
        Client::to(self.address)
    }

    /// One call on a connection of its own: its status and body.
    pub fn call(&self, call: &Call) -> (u16, String) {
        let mut c = self.connect();
        c.send(&call.text());
        c.answer().expect("an answer")
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A request in the page's form.
#[derive(Clone)]
pub struct Call {
    pub id: u64,
    pub function: u64,
    pub class: &'static str,
    pub timeout_ms: u64,
    pub body: String,
}

pub fn call(id: u64) -> Call {
    Call {
        id,
        function: 7,
        class: "safe",
        timeout_ms: 1500,
        body: format!("body {id}"),
    }
}

impl Call {
    pub fn once(self) -> Call {
        Call {
            class: "once",
            ..self
        }
    }
    pub fn headers(&self) -> HashMap<&'static str, String> {
        HashMap::from([
            ("X-Class", self.class.to_string()),
            ("X-Request-Id", format!("{:016x}", self.id)),
            ("X-Timeout-Ms", self.timeout_ms.to_string()),
            ("X-Extras", "memory_mb:300;lanes:2".to_string()),
            ("Content-Length", self.body.len().to_string()),
        ])
    }
    pub fn text_with(&self, headers: &HashMap<&'static str, String>, more: &str) -> String {
        let lines: String = headers
            .iter()
            .map(|(n, v)| format!("{n}: {v}\r\n"))
            .collect();
        format!(
            "POST /ops/{:016x}/call HTTP/1.1\r\nHost: app.svc\r\n{lines}{more}\r\n{}",
            self.function, self.body
        )
    }
    pub fn text(&self) -> String {
        let key = if self.class == "keyed" {
            format!("Idempotency-Key: k{}\r\n", self.id)
        } else {
            String::new()
        };
        self.text_with(&self.headers(), &key)
    }
}

/// A client's connection.
pub struct Client(pub TcpStream);

impl Client {
    pub fn to(address: SocketAddr) -> Client {
        let socket = TcpStream::connect(address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        Client(socket)
    }
    pub fn send(&mut self, text: &str) {
        // One that is turned away meanwhile may find its connection closed.
        let _ = self.0.write_all(text.as_bytes());
    }
    /// The next answer: status and body; none: the connection ended first.
    pub fn answer(&mut self) -> Option<(u16, String)> {
        let head = head(&self.0)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("Content-Length: "))?
            .trim()
            .parse()
            .ok()?;
        let mut body = vec![0u8; length];
        self.0.read_exact(&mut body).ok()?;
        Some((status, String::from_utf8(body).ok()?))
    }
    /// Whether the other side has ended the connection already.
    pub fn ended(&self) -> bool {
        self.0.set_nonblocking(true).unwrap();
        let ended = matches!(self.0.peek(&mut [0u8]), Ok(0))
            || matches!(self.0.peek(&mut [0u8]), Err(e) if e.kind() != std::io::ErrorKind::WouldBlock);
        self.0.set_nonblocking(false).unwrap();
        ended
    }
    /// Whether the connection ends, rather than staying silent for so long.
    pub fn ends_within(&mut self, span: Duration) -> bool {
        self.0.set_read_timeout(Some(span)).unwrap();
        let mut buffer = [0u8; 4096];
        loop {
            match self.0.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => {
                    return !matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    )
                }
            }
        }
    }
}
