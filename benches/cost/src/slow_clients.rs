//! Latency at a fixed rate, with and without many clients that have sent an incomplete request.

use crate::arguments::Arguments;
use crate::error::{system_error, BenchError};
use crate::load::{self, Load, Measurement};
use crate::process::MeasuredProcess;
use crate::programs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// File descriptors to request in addition to those of the slow clients.
const SPARE_DESCRIPTORS: u64 = 1_000;
/// Additional file descriptors below which the measurement is refused.
const MIN_SPARE_DESCRIPTORS: u64 = 500;
/// Duration of the warm-up load, in which the gateway accepts all connections.
const WARM_UP: Duration = Duration::from_secs(1);

/// HTTP/2 frame types (RFC 9113, section 6).
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
/// HEADERS flag: the header block is complete. Without `END_STREAM` the stream stays open.
const END_HEADERS: u8 = 4;
/// Stream identifier of the client's first request.
const FIRST_STREAM: u8 = 1;
/// Length prefix of a gRPC message of 20 bytes.
const MESSAGE_PREFIX: [u8; 5] = [0, 0, 0, 0, 20];
/// The part of that message that is sent.
const HALF_MESSAGE: [u8; 10] = [0; 10];

/// Prints the latency without and with `clients` slow clients, and the difference.
pub fn run(arguments: &Arguments, clients: usize) -> Result<(), BenchError> {
    raise_descriptor_limit(clients)?;
    let workers = programs::worker_pair(&[])?;
    let addresses = workers.each_ref().map(MeasuredProcess::address);
    let gateway = programs::gateway(arguments, &addresses)?;
    let load = Load::at_rate(arguments.rate, arguments.duration());
    let without = measure(gateway.address(), load)?;
    let slow_clients = connect(gateway.address(), clients)?;
    let with = measure(gateway.address(), load)?;
    println!(
        "| slow clients | p50 us at {}/s | p99 us | failed |",
        arguments.rate
    );
    println!("|---|---|---|---|");
    print_row(0, &without);
    print_row(slow_clients.len(), &with);
    println!(
        "added p99: {:.0} us",
        with.latency_micros(0.99) - without.latency_micros(0.99)
    );
    Ok(())
}

fn raise_descriptor_limit(clients: usize) -> Result<(), BenchError> {
    let allowed = rlimit::increase_nofile_limit(clients as u64 + SPARE_DESCRIPTORS)
        .map_err(system_error("raising the file descriptor limit"))?;
    if allowed < clients as u64 + MIN_SPARE_DESCRIPTORS {
        return Err(BenchError::TooFewDescriptors { clients, allowed });
    }
    Ok(())
}

fn measure(target: SocketAddr, load: Load) -> Result<Measurement, BenchError> {
    load::run(target, load.with_duration(WARM_UP))?;
    load::run(target, load)
}

fn print_row(clients: usize, measured: &Measurement) {
    println!(
        "| {clients} | {:.0} | {:.0} | {} |",
        measured.latency_micros(0.5),
        measured.latency_micros(0.99),
        measured.failed
    );
}

fn connect(target: SocketAddr, clients: usize) -> Result<Vec<TcpStream>, BenchError> {
    let bytes = incomplete_request();
    let connect_one = || {
        let mut socket = TcpStream::connect(target)?;
        socket.write_all(&bytes)?;
        Ok(socket)
    };
    (0..clients)
        .map(|_| {
            connect_one().map_err(system_error(format!(
                "connecting a slow client to {target}"
            )))
        })
        .collect()
}

/// The HTTP/2 connection preface, SETTINGS, HEADERS, and DATA with half of the message (RFC 9113).
fn incomplete_request() -> Vec<u8> {
    let mut out = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    let mut frame = |kind: u8, flags: u8, stream: u8, payload: &[u8]| {
        out.extend(&(payload.len() as u32).to_be_bytes()[1..]);
        out.extend([kind, flags, 0, 0, 0, stream]);
        out.extend(payload);
    };
    frame(SETTINGS, 0, 0, &[]);
    frame(HEADERS, END_HEADERS, FIRST_STREAM, &header_block());
    let message = [&MESSAGE_PREFIX[..], &HALF_MESSAGE].concat();
    frame(DATA, 0, FIRST_STREAM, &message);
    out
}

/// HPACK header block of a call: literal fields without indexing (RFC 7541, section 6.2.2).
fn header_block() -> Vec<u8> {
    let headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/inference.GRPCInferenceService/ModelInfer"),
        (":authority", "slow"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ];
    let mut block = Vec::new();
    for (name, value) in headers {
        block.push(0);
        for text in [name, value] {
            block.push(text.len() as u8);
            block.extend(text.bytes());
        }
    }
    block
}
