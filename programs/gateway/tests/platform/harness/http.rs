//! HTTP/1.1 messages of the platform's coordinators and clients.

use std::io::Read;
use std::net::TcpStream;

/// Reads the start line and headers of a message; `None` if the connection ends first.
pub fn read_head(mut socket: &TcpStream) -> Option<String> {
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

/// A reply with status 200 and the given body.
pub fn reply(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
