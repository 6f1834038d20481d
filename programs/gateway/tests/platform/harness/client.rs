//! Calls in the form in which the platform's clients send them, and client connections.

use super::http::read_head;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A call of a function.
#[derive(Clone)]
pub struct Call {
    pub id: u64,
    pub function: u64,
    pub class: &'static str,
    pub timeout_ms: u64,
    pub body: String,
}

/// A safe call of function 7 with the given id.
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
    /// The same call in the class `once`, whose calls must not be retried.
    pub fn once(self) -> Call {
        Call {
            class: "once",
            ..self
        }
    }
    /// The same call with another timeout.
    pub fn with_timeout_ms(self, timeout_ms: u64) -> Call {
        Call { timeout_ms, ..self }
    }
    /// The call's headers, without `Host` and the idempotency key.
    pub fn headers(&self) -> HashMap<&'static str, String> {
        HashMap::from([
            ("X-Class", self.class.to_string()),
            ("X-Request-Id", format!("{:016x}", self.id)),
            ("X-Timeout-Ms", self.timeout_ms.to_string()),
            ("X-Extras", "memory_mb:300;lanes:2".to_string()),
            ("Content-Length", self.body.len().to_string()),
        ])
    }
    /// The request with the given headers, followed by further header lines.
    pub fn text_with(&self, headers: &HashMap<&'static str, String>, more: &str) -> String {
        let lines: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        format!(
            "POST /ops/{:016x}/call HTTP/1.1\r\nHost: app.svc\r\n{lines}{more}\r\n{}",
            self.function, self.body
        )
    }
    /// The request.
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
pub struct Client {
    pub socket: TcpStream,
}

impl Client {
    /// Connects to an address.
    pub fn to(address: SocketAddr) -> Client {
        let socket = TcpStream::connect(address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        Client { socket }
    }
    /// Sends a text; errors are ignored.
    pub fn send(&mut self, text: &str) {
        // The front end may have closed the connection before the whole request is written.
        let _ = self.socket.write_all(text.as_bytes());
    }
    /// Reads the status and body of the next answer; `None` if the connection ends first.
    pub fn answer(&mut self) -> Option<(u16, String)> {
        let head = read_head(&self.socket)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("Content-Length: "))?
            .trim()
            .parse()
            .ok()?;
        let mut body = vec![0u8; length];
        self.socket.read_exact(&mut body).ok()?;
        Some((status, String::from_utf8(body).ok()?))
    }
    /// Reads the status of the next answer; `None` if the connection ends first.
    pub fn answer_status(&mut self) -> Option<u16> {
        Some(self.answer()?.0)
    }
    /// Whether the front end has closed the connection.
    pub fn ended(&self) -> bool {
        self.socket.set_nonblocking(true).unwrap();
        let ended = matches!(self.socket.peek(&mut [0u8]), Ok(0))
            || matches!(self.socket.peek(&mut [0u8]), Err(e) if e.kind() != ErrorKind::WouldBlock);
        self.socket.set_nonblocking(false).unwrap();
        ended
    }
    /// Whether the front end closes the connection before it has been silent for `span`.
    pub fn ends_within(&mut self, span: Duration) -> bool {
        self.socket.set_read_timeout(Some(span)).unwrap();
        let mut buffer = [0u8; 4096];
        loop {
            match self.socket.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => {
                    return !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
                }
            }
        }
    }
}
