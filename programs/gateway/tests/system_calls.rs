//! The gRPC front under system calls that fail for a moment: who waits in the kernel's queue is served, and signals are taken.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// What a client of HTTP/2 begins with: the preface and an empty SETTINGS frame (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Bytes of a frame's head.
const FRAME_HEAD: usize = 9;

struct Gateway {
    child: Child,
    grpc: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// With stand-in workers in its process, and these faults of its system calls.
    fn under(rules: &str) -> Gateway {
        let mut child = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"))
            .args([
                "--embedded",
                "--listen",
                "127.0.0.1:0",
                "--http",
                "127.0.0.1:0",
                "--log",
                "off",
            ])
            .env("LD_PRELOAD", tansy_soak::shim::library())
            .env("FAULT_RULES", rules)
            .stdout(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("its output"))
            .read_line(&mut line)
            .expect("a line");
        let grpc = line
            .split("grpc=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next())
            .expect(&line);
        let grpc = grpc.parse().expect("an address");
        Gateway { child, grpc }
    }

    /// Whether a new connection gets the first frame of the server.
    fn greets(&self) -> bool {
        let mut socket = TcpStream::connect(self.grpc).expect("the kernel takes it");
        socket
            .set_read_timeout(Some(Duration::from_secs(3)))
            .expect("a socket");
        socket.write_all(PREFACE).expect("the kernel takes it");
        socket.read_exact(&mut [0u8; FRAME_HEAD]).is_ok()
    }
}

#[test]
fn a_connection_that_waits_while_accept_fails_is_served() {
    for error in ["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "EINTR"] {
        let gateway = Gateway::under(&format!("accept:{error}:first=1"));
        assert!(gateway.greets(), "{error}: nobody comes for it");
    }
}

#[test]
fn signals_whose_read_is_interrupted_end_it_in_good_order() {
    let mut gateway = Gateway::under("read:EINTR:rate=0.7");
    assert!(gateway.greets());
    kill_process(Pid::from_child(&gateway.child), Signal::TERM).expect("it runs");
    assert_eq!(gateway.child.wait().expect("it ends").code(), Some(0));
}
