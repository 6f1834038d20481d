//! Stand-ins that speak the Open Inference Protocol over HTTP/2 (RFC 9113) and gRPC as far as the cases need it: a worker
//! with a limit on concurrent streams, clients of the unary method, and a front end as a process. Requests are not
//! decompressed (RFC 7541): the settings of the cases allow the front end no other methods than `ModelInfer` and
//! `ServerReady`, whose message is empty.

#![allow(dead_code)]

use crate::platform::*;
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
/// Error code CANCEL.
const CANCEL: u32 = 8;
/// SETTINGS_MAX_CONCURRENT_STREAMS.
const MAX_CONCURRENT_STREAMS: u16 = 3;
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = payload.len() as u32;
    let mut bytes = length.to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: Vec<u8>,
}

fn read_frame(socket: &mut TcpStream) -> Option<Frame> {
    let mut head = [0u8; 9];
    socket.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let mut payload = vec![0; length];
    socket.read_exact(&mut payload).ok()?;
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
    Some(Frame {
        kind: head[3],
        flags: head[4],
        stream,
        payload,
    })
}

/// A header field without indexing and without Huffman coding.
fn field(name: &str, value: &str) -> Vec<u8> {
    let mut bytes = vec![0, name.len() as u8];
    bytes.extend(name.as_bytes());
    bytes.push(value.len() as u8);
    bytes.extend(value.as_bytes());
    bytes
}

/// A protobuf field of type string.
fn text_field(number: u8, text: &str) -> Vec<u8> {
    let mut bytes = vec![number << 3 | 2, text.len() as u8];
    bytes.extend(text.as_bytes());
    bytes
}

/// A message with the prefix of gRPC.
fn message(bytes: &[u8]) -> Vec<u8> {
    let mut framed = vec![0];
    framed.extend((bytes.len() as u32).to_be_bytes());
    framed.extend(bytes);
    framed
}

/// The id of a request: field 3 of its message, which the front end passes on unchanged.
fn request_id(body: &[u8]) -> String {
    let mut rest = body.get(5..).unwrap_or(&[]);
    while let [tag, length, tail @ ..] = rest {
        let value = tail.get(..usize::from(*length)).unwrap_or(&[]);
        if *tag == 3 << 3 | 2 {
            return String::from_utf8_lossy(value).into_owned();
        }
        rest = tail.get(usize::from(*length)..).unwrap_or(&[]);
    }
    String::new()
}

/// What a worker saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub worker: String,
    /// `arrived`: a request is there whole; `reset`: its stream was reset; `answered`; `closed`: the connection ended.
    pub event: &'static str,
    pub id: String,
}

/// The log of all workers.
pub type SeenLog = Arc<Mutex<Vec<Seen>>>;

/// Starts a worker that runs at most `streams` requests of one connection at a time, each for `run_ms`.
pub fn start_worker(name: &str, streams: u32, run_ms: u64, log: &SeenLog) -> SocketAddr {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    let (name, log) = (name.to_string(), log.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (name, log) = (name.clone(), log.clone());
            thread::spawn(move || serve(socket, &name, streams, run_ms, &log));
        }
    });
    address
}

fn serve(mut socket: TcpStream, name: &str, streams: u32, run_ms: u64, log: &SeenLog) {
    let see = |event, id: &str| {
        let seen = Seen {
            at: Instant::now(),
            worker: name.to_string(),
            event,
            id: id.to_string(),
        };
        log.lock().unwrap().push(seen);
    };
    let _ = socket.set_nodelay(true);
    let mut preface = [0u8; PREFACE.len()];
    let Ok(clone) = socket.try_clone() else {
        return;
    };
    let writer = Arc::new(Mutex::new(clone));
    if socket.read_exact(&mut preface).is_err() {
        return;
    }
    let mut setting = MAX_CONCURRENT_STREAMS.to_be_bytes().to_vec();
    setting.extend(streams.to_be_bytes());
    let write = |bytes: &[u8]| writer.lock().unwrap().write_all(bytes);
    let _ = write(&frame(SETTINGS, 0, 0, &setting));
    let mut bodies: HashMap<u32, Vec<u8>> = HashMap::new();
    while let Some(Frame {
        kind,
        flags,
        stream,
        payload,
    }) = read_frame(&mut socket)
    {
        match kind {
            SETTINGS | PING if flags & ACK == 0 => {
                let echo = if kind == PING { payload } else { Vec::new() };
                let _ = write(&frame(kind, ACK, 0, &echo));
            }
            DATA => {
                let body = bodies.entry(stream).or_default();
                body.extend(payload);
                if flags & END_STREAM != 0 {
                    let id = request_id(body);
                    see("arrived", &id);
                    let (writer, log, name) = (writer.clone(), log.clone(), name.to_string());
                    thread::spawn(move || {
                        // A health check has no id and is answered at once.
                        sleep_ms(if id.is_empty() { 0 } else { run_ms });
                        let _ = writer.lock().unwrap().write_all(&answer(stream, &id));
                        log.lock().unwrap().push(Seen {
                            at: Instant::now(),
                            worker: name,
                            event: "answered",
                            id,
                        });
                    });
                }
            }
            RST_STREAM => see(
                "reset",
                &bodies
                    .get(&stream)
                    .map_or(String::new(), |body| request_id(body)),
            ),
            _ => {}
        }
    }
    see("closed", "");
}

fn answer(stream: u32, id: &str) -> Vec<u8> {
    // 0x88: `:status: 200` of the static table.
    let mut head = vec![0x88];
    head.extend(field("content-type", "application/grpc"));
    let mut bytes = frame(HEADERS, END_HEADERS, stream, &head);
    let mut response = text_field(1, "echo");
    response.extend(text_field(3, id));
    bytes.extend(frame(DATA, 0, stream, &message(&response)));
    bytes.extend(frame(
        HEADERS,
        END_HEADERS | END_STREAM,
        stream,
        &field("grpc-status", "0"),
    ));
    bytes
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Served,
    /// A status without a message.
    NotServed,
    /// The client cancelled it, at this time.
    Cancelled(Instant),
    /// The connection ended without a final answer.
    Closed,
}

/// Calls `ModelInfer` on a connection of its own. With `cancel_after_ms`, the client cancels the call after this time
/// unless it has ended by then.
pub fn infer(
    address: SocketAddr,
    model: &str,
    id: &str,
    timeout_ms: u64,
    cancel_after_ms: Option<u64>,
) -> CallEnd {
    let Ok(mut socket) = TcpStream::connect(address) else {
        return CallEnd::Closed;
    };
    let _ = socket.set_nodelay(true);
    let mut bytes = PREFACE.to_vec();
    bytes.extend(frame(SETTINGS, 0, 0, &[]));
    // 0x83, 0x86: `:method: POST` and `:scheme: http` of the static table; 0x04 and 0x01 name `:path` and `:authority`.
    let path = "/inference.GRPCInferenceService/ModelInfer";
    let mut head = vec![0x83, 0x86, 0x04, path.len() as u8];
    head.extend(path.as_bytes());
    head.extend([0x01, 7]);
    head.extend(b"app.svc");
    head.extend(field("content-type", "application/grpc"));
    head.extend(field("te", "trailers"));
    head.extend(field("grpc-timeout", &format!("{timeout_ms}m")));
    bytes.extend(frame(HEADERS, END_HEADERS, 1, &head));
    let mut request = text_field(1, model);
    request.extend(text_field(3, id));
    bytes.extend(frame(DATA, END_STREAM, 1, &message(&request)));
    if socket.write_all(&bytes).is_err() {
        return CallEnd::Closed;
    }
    let _ = socket.set_read_timeout(Some(Duration::from_millis(timeout_ms + 1000)));
    let ended = Arc::new(Mutex::new(None));
    let reader = {
        let (ended, socket) = (ended.clone(), socket.try_clone());
        thread::spawn(move || {
            let end = socket.map_or(CallEnd::Closed, read_answer);
            ended.lock().unwrap().get_or_insert(end);
        })
    };
    if let Some(ms) = cancel_after_ms {
        sleep_ms(ms);
        if ended.lock().unwrap().is_none() {
            let _ = socket.write_all(&frame(RST_STREAM, 0, 1, &CANCEL.to_be_bytes()));
            let end = *ended
                .lock()
                .unwrap()
                .get_or_insert(CallEnd::Cancelled(Instant::now()));
            sleep_ms(20);
            let _ = socket.shutdown(std::net::Shutdown::Both);
            return end;
        }
    }
    let _ = reader.join();
    let end = ended.lock().unwrap().unwrap_or(CallEnd::Closed);
    end
}

fn read_answer(mut socket: TcpStream) -> CallEnd {
    let mut has_message = false;
    while let Some(Frame {
        kind,
        flags,
        stream,
        ..
    }) = read_frame(&mut socket)
    {
        if kind == SETTINGS && flags & ACK == 0 {
            let _ = socket.write_all(&frame(SETTINGS, ACK, 0, &[]));
        }
        if stream != 1 {
            continue;
        }
        has_message |= kind == DATA;
        if kind == RST_STREAM || flags & END_STREAM != 0 {
            return if has_message {
                CallEnd::Served
            } else {
                CallEnd::NotServed
            };
        }
    }
    CallEnd::Closed
}

/// A front end of the gRPC front as a process of its own.
pub struct Gateway {
    pub grpc: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts a front end with these settings, workers and further arguments, and waits until it says that it is ready.
    pub fn start(
        root: &Path,
        folder: &Folder,
        settings: &str,
        workers: &[(String, SocketAddr)],
        more: &[String],
    ) -> Gateway {
        Gateway::start_with_descriptors(root, folder, settings, workers, more, None)
    }

    /// Starts a front end that may hold no more than this number of descriptors.
    pub fn start_with_descriptors(
        root: &Path,
        folder: &Folder,
        settings: &str,
        workers: &[(String, SocketAddr)],
        more: &[String],
        descriptors: Option<u32>,
    ) -> Gateway {
        let settings_path = folder.0.join("settings.cue");
        write_list(folder, workers);
        let log = std::fs::write(&settings_path, settings)
            .and_then(|()| File::create(folder.0.join("gateway.log")));
        let log = log.unwrap_or_else(|error| could_not_run(&error.to_string()));
        let limit = descriptors.map_or(String::new(), |count| format!("ulimit -n {count} && "));
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{limit}exec target/release/tansy-gateway \"$@\""))
            .arg("sh");
        command
            .arg("--settings")
            .arg(&settings_path)
            .arg("--workers")
            .arg(folder.0.join(LIST));
        command
            .args(["--listen", "127.0.0.1:0", "--http", "127.0.0.1:0"])
            .args(more);
        command
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log);
        let mut child = command
            .spawn()
            .unwrap_or_else(|error| could_not_run(&error.to_string()));
        register(&child);
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        let _ = BufReader::new(output).read_line(&mut line);
        let address = line
            .split("grpc=")
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        let grpc = address
            .unwrap_or_else(|| could_not_run(&format!("the front end is not ready: {line:?}")));
        Gateway { grpc, child }
    }
}

/// The file of the list of workers.
const LIST: &str = "workers.cue";

/// Replaces the list of workers by a rename.
pub fn write_list(folder: &Folder, workers: &[(String, SocketAddr)]) {
    let lines = workers
        .iter()
        .map(|(name, address)| format!("    {{name: {name:?}, address: \"{address}\"}}\n"));
    let list = format!("workers: [\n{}]\n", lines.collect::<String>());
    let new = folder.0.join("workers.new");
    let written =
        std::fs::write(&new, list).and_then(|()| std::fs::rename(&new, folder.0.join(LIST)));
    written.unwrap_or_else(|error| could_not_run(&error.to_string()));
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        unregister(&self.child);
    }
}
