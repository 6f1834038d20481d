//! The gRPC front under system calls that fail for a moment: who waits in the kernel's queue is served, and signals are taken.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;
use tansy_test_support::fleet::ANY_PORT;
use tansy_test_support::process::ServerProcess;

/// What a client of HTTP/2 begins with: the preface and an empty SETTINGS frame (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Bytes of a frame's head.
const FRAME_HEAD: usize = 9;

struct Gateway(ServerProcess);

impl Gateway {
    /// With stand-in workers in its process, and these faults of its system calls.
    fn with_faults(rules: &str) -> Gateway {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
        command
            .args(["--embedded", "--listen", ANY_PORT, "--http", ANY_PORT])
            .args(["--log", "off"])
            .env("LD_PRELOAD", tansy_soak::shim::library())
            .env("FAULT_RULES", rules);
        Gateway(ServerProcess::start(&mut command).expect("it starts"))
    }

    /// Whether a new connection gets the first frame of the server.
    fn greets(&self) -> bool {
        let mut socket = TcpStream::connect(self.0.address("grpc").expect("an address"))
            .expect("the kernel takes it");
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
        let gateway = Gateway::with_faults(&format!("accept:{error}:first=1"));
        assert!(gateway.greets(), "{error}: nobody comes for it");
    }
}

#[test]
fn signals_whose_read_is_interrupted_end_it_in_good_order() {
    let mut gateway = Gateway::with_faults("read:EINTR:rate=0.7");
    assert!(gateway.greets());
    let (status, _) = gateway.0.stop().expect("it ends");
    assert_eq!(status.code(), Some(0));
}
