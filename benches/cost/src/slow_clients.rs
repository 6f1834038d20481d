//! Latency at a rate, with and without many clients that have sent half a request.

use crate::arguments::Arguments;
use crate::error::{system_error, BenchError};
use crate::load::{self, Load, Measurement};
use crate::process::MeasuredProcess;
use crate::programs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Descriptors beside those of the slow clients: wished for, and needed.
const SPARE_DESCRIPTORS: u64 = 1_000;
const LEAST_SPARE_DESCRIPTORS: u64 = 500;
/// The load before a measurement, until all connections are accepted.
const WARM_UP: Duration = Duration::from_secs(1);

/// Types of HTTP/2 frames (RFC 9113, section 6).
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
/// The flag of a HEADERS frame that ends the headers; the stream goes on.
const END_HEADERS: u8 = 4;
/// The first stream of a client.
const FIRST_STREAM: u8 = 1;
/// The prefix of a gRPC message of 20 bytes, and as many bytes of it as are sent.
const MESSAGE_PREFIX: [u8; 5] = [0, 0, 0, 0, 20];
const HALF_MESSAGE: [u8; 10] = [0; 10];

/// Measures.
pub fn run(arguments: &Arguments, clients: usize) -> Result<(), BenchError> {
    allow_descriptors(clients)?;
    let workers = programs::worker_pair(&[])?;
    let addresses = workers.each_ref().map(MeasuredProcess::address);
    let gateway = programs::gateway(arguments, &addresses)?;
    let load = Load::at_rate(arguments.rate, arguments.span());
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

fn allow_descriptors(clients: usize) -> Result<(), BenchError> {
    let allowed = rlimit::increase_nofile_limit(clients as u64 + SPARE_DESCRIPTORS)
        .map_err(system_error("limit of descriptors"))?;
    if allowed < clients as u64 + LEAST_SPARE_DESCRIPTORS {
        return Err(BenchError::TooFewDescriptors { clients, allowed });
    }
    Ok(())
}

fn measure(target: SocketAddr, load: Load) -> Result<Measurement, BenchError> {
    load::run(target, load.for_span(WARM_UP))?;
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
    let bytes = half_a_request();
    let connect_one = || {
        let mut socket = TcpStream::connect(target)?;
        socket.write_all(&bytes)?;
        Ok(socket)
    };
    (0..clients)
        .map(|_| connect_one().map_err(system_error(format!("a slow client of {target}"))))
        .collect()
}

/// A client's preface and settings, a request's HEADERS, and half of its message (RFC 9113).
fn half_a_request() -> Vec<u8> {
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

/// The headers of a call, as literals without indexing (RFC 7541).
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
