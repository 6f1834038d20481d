//! Scripted peers that write and read HTTP/2 frame by frame, for behaviour that no HTTP/2 library has.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

/// Frame types of RFC 9113, section 6.
pub mod kind {
    #![allow(missing_docs)]
    pub const DATA: u8 = 0;
    pub const HEADERS: u8 = 1;
    pub const RST_STREAM: u8 = 3;
    pub const SETTINGS: u8 = 4;
    pub const PING: u8 = 6;
    pub const GOAWAY: u8 = 7;
}

/// A frame with its payload.
#[derive(Debug, Clone)]
pub struct Frame {
    /// The frame type.
    pub kind: u8,
    /// The frame's flags.
    pub flags: u8,
    /// The stream id.
    pub stream: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// A connection of a peer.
pub struct Http2Connection(TcpStream);

impl Http2Connection {
    /// Wraps an established connection, with a read timeout of 5 s.
    pub fn new(socket: TcpStream) -> Http2Connection {
        socket
            .set_read_timeout(Some(Duration::from_secs(5)))
            .expect("a time-out");
        socket.set_nodelay(true).expect("no delay");
        Http2Connection(socket)
    }

    /// Sends a frame.
    pub fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        let length = (payload.len() as u32).to_be_bytes();
        let frame = [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat();
        // Fails if the other side has closed the connection; the script's next read then returns `None`.
        let _ = self.0.write_all(&frame);
    }

    /// Sends raw bytes.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.0.write_all(bytes);
    }

    /// Reads the next frame. Returns `None` if the connection has ended or the read times out.
    pub fn frame(&mut self) -> Option<Frame> {
        let mut head = [0; 9];
        self.0.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let mut payload = vec![0; length];
        self.0.read_exact(&mut payload).ok()?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        Some(Frame {
            kind: head[3],
            flags: head[4],
            stream,
            payload,
        })
    }

    /// Reads until `count` requests are complete, and returns their streams. Acknowledges SETTINGS and PING. Returns fewer streams if
    /// the connection ends.
    pub fn requests(&mut self, count: usize) -> Vec<u32> {
        let mut streams = Vec::new();
        while streams.len() < count {
            let Some(frame) = self.frame() else {
                return streams;
            };
            match frame.kind {
                kind::SETTINGS if frame.flags & 1 == 0 => self.send(kind::SETTINGS, 1, 0, &[]),
                kind::PING if frame.flags & 1 == 0 => self.send(kind::PING, 1, 0, &frame.payload),
                kind::DATA | kind::HEADERS if frame.flags & 1 != 0 => streams.push(frame.stream),
                _ => {}
            }
        }
        streams
    }

    /// Resets a stream.
    pub fn reset(&mut self, stream: u32, code: u32) {
        self.send(kind::RST_STREAM, 0, stream, &code.to_be_bytes());
    }

    /// Sends GOAWAY with code NO_ERROR and the last stream that is processed.
    pub fn goaway(&mut self, last: u32) {
        self.send(
            kind::GOAWAY,
            0,
            0,
            &[last.to_be_bytes(), 0u32.to_be_bytes()].concat(),
        );
    }

    /// Sends response headers.
    pub fn headers(&mut self, stream: u32) {
        let block = [&[0x88][..], &literal("content-type", "application/grpc")].concat();
        self.send(kind::HEADERS, 4, stream, &block);
    }

    /// Sends a message with its gRPC frame header.
    pub fn message(&mut self, stream: u32, message: &[u8]) {
        let head = [&[0][..], &(message.len() as u32).to_be_bytes()].concat();
        self.send(kind::DATA, 0, stream, &[&head, message].concat());
    }

    /// Sends trailers, which end the stream.
    pub fn trailers(&mut self, stream: u32, fields: &[(&str, &str)]) {
        let block: Vec<u8> = fields.iter().flat_map(|(k, v)| literal(k, v)).collect();
        self.send(kind::HEADERS, 5, stream, &block);
    }

    /// Sends a complete unary answer.
    pub fn answer(&mut self, stream: u32) {
        self.headers(stream);
        // ModelInferResponse with model_name "echo".
        self.message(stream, b"\x0a\x04echo");
        self.trailers(stream, &[("grpc-status", "0")]);
    }
}

/// A header field as a literal without indexing and without Huffman coding (RFC 7541, section 6.2.2).
pub fn literal(name: &str, value: &str) -> Vec<u8> {
    let text = |text: &str| {
        [
            &[u8::try_from(text.len()).expect("short")][..],
            text.as_bytes(),
        ]
        .concat()
    };
    [vec![0], text(name), text(value)].concat()
}

/// A scripted worker.
pub struct ScriptedWorker {
    /// The address of the worker.
    pub address: SocketAddr,
    /// Reports of the script.
    pub reports: mpsc::Receiver<String>,
}

/// Starts a scripted worker. The script is called for each connection, after the preface and SETTINGS, with the connection's number.
pub fn worker(
    mut script: impl FnMut(usize, Http2Connection, &mpsc::Sender<String>) + Send + 'static,
) -> ScriptedWorker {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (reporter, reports) = mpsc::channel();
    std::thread::spawn(move || {
        for (number, socket) in listener.incoming().enumerate() {
            let Ok(socket) = socket else { return };
            let mut connection = Http2Connection::new(socket);
            let mut preface = [0; 24];
            if connection.0.read_exact(&mut preface).is_err() {
                continue;
            }
            connection.send(kind::SETTINGS, 0, 0, &[]);
            script(number, connection, &reporter);
        }
    });
    ScriptedWorker { address, reports }
}

/// Connects a scripted client, and sends the preface and SETTINGS.
pub fn client(address: SocketAddr) -> Http2Connection {
    let mut connection = Http2Connection::new(TcpStream::connect(address).expect("a connection"));
    connection.send_bytes(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    connection.send(kind::SETTINGS, 0, 0, &[]);
    connection
}

/// The header block of a gRPC request, with additional fields.
pub fn request_block(path: &str, more: &[(&str, &str)]) -> Vec<u8> {
    let fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "t"),
        ("te", "trailers"),
    ];
    let mut block: Vec<u8> = fields.iter().flat_map(|(k, v)| literal(k, v)).collect();
    block.extend(literal("content-type", "application/grpc"));
    block.extend(more.iter().flat_map(|(k, v)| literal(k, v)));
    block
}
