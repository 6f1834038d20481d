//! Tests of the gRPC port with system calls that fail temporarily: queued connections are served, and signals are handled.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;
use tansy_test_support::fleet::ANY_PORT;
use tansy_test_support::process::ServerProcess;

/// The connection preface of an HTTP/2 client with an empty SETTINGS frame (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// Size of a frame header, bytes.
const FRAME_HEADER_BYTES: usize = 9;

struct Gateway(ServerProcess);

impl Gateway {
    /// Starts a gateway with embedded workers, whose system calls fail according to `rules`.
    fn with_faults(rules: &str) -> Gateway {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-gateway"));
        command
            .args(["--embedded", "--listen", ANY_PORT, "--http", ANY_PORT])
            .args(["--log", "off"])
            .env("LD_PRELOAD", tansy_soak::shim::library())
            .env("FAULT_RULES", rules);
        Gateway(ServerProcess::start(&mut command).expect("the gateway starts"))
    }

    /// Whether the server sends its first frame on a new connection.
    fn accepts_connection(&self) -> bool {
        let mut socket = TcpStream::connect(self.0.address("grpc").expect("an address"))
            .expect("the kernel accepts the connection");
        socket
            .set_read_timeout(Some(Duration::from_secs(3)))
            .expect("a socket");
        socket
            .write_all(PREFACE)
            .expect("the kernel accepts the connection");
        socket.read_exact(&mut [0u8; FRAME_HEADER_BYTES]).is_ok()
    }
}

#[test]
fn a_queued_connection_is_served_after_accept_has_failed() {
    for error in ["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "EINTR"] {
        let gateway = Gateway::with_faults(&format!("accept:{error}:first=1"));
        assert!(
            gateway.accepts_connection(),
            "{error}: the connection is not served"
        );
    }
}

#[test]
fn an_interrupted_read_of_a_signal_does_not_prevent_a_graceful_shutdown() {
    let mut gateway = Gateway::with_faults("read:EINTR:rate=0.7");
    assert!(gateway.accepts_connection());
    let (status, _) = gateway.0.stop().expect("the gateway exits");
    assert_eq!(status.code(), Some(0));
}
