//! Heads and replies of HTTP/1.1 as the platform's coordinators and clients use them.

use std::io::Read;
use std::net::TcpStream;

/// Reads up to the end of a message's head; none: the connection ended first.
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

/// A whole reply with this body.
pub fn reply(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
