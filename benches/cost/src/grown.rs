//! What grows: the cost of a call after many calls, while many wait, and while many clients are slow.

use crate::client::{self, Load};
use crate::{gateway, gateway_of, me, Arguments, Error, Process};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

fn workers(arguments: &[&str]) -> Result<Process, Error> {
    Process::start(me("worker")?.args(arguments))
}

/// The median of the stretches since the last row.
fn median(of: &mut Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    let middle = of.get(of.len() / 2).copied().unwrap_or(0.0);
    of.clear();
    middle
}

/// Cost and memory after ever more calls, in stretches of a second.
pub fn growth(a: &Arguments, calls: u64) -> Result<(), Error> {
    let (one, two) = (workers(&[])?, workers(&[])?);
    let gated = gateway(a, &[one.1, two.1])?;
    println!("| calls done | calls/s | CPU us a call | memory MB |");
    println!("|---|---|---|---|");
    let (mut done, mut next) = (0u64, 20_000);
    let (mut rates, mut costs) = (Vec::new(), Vec::new());
    while done < calls {
        let before = gated.cpu();
        // Each stretch from a process of its own, whose connections end with it.
        let mut load = me("load")?;
        let out = load
            .args([&gated.1.to_string(), "--open", &a.open.to_string()])
            .output()?;
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        let served: u64 = text
            .split_whitespace()
            .next()
            .and_then(|n| n.parse().ok())
            .ok_or(text)?;
        done += served;
        rates.push(served as f64);
        costs.push((gated.cpu() - before) * 1e6 / served.max(1) as f64);
        if done >= next || done >= calls {
            println!(
                "| {done} | {:.0} | {:.1} | {:.1} |",
                median(&mut rates),
                median(&mut costs),
                gated.memory()
            );
            next = done * 2;
        }
    }
    Ok(())
}

/// Until all calls are taken.
const SETTLE: Duration = Duration::from_secs(3);

/// Cost by calls that wait, with one lane a function and worker and answers that take 5 ms.
pub fn waiting(a: &Arguments) -> Result<(), Error> {
    println!("| functions | workers | open | calls/s | CPU us a call |");
    println!("|---|---|---|---|---|");
    for functions in [1, 50, 1_000] {
        for count in [4, 400] {
            let standing = workers(&["--delay", "5", "--ports", &count.to_string()])?;
            for open in [16, 256, 2_000, 20_000] {
                let gated = gateway_of(a, &standing.ports(), functions, 1)?;
                let span = Duration::from_secs(a.seconds);
                let (target, load) = (
                    gated.1,
                    Load {
                        open,
                        rate: None,
                        span: SETTLE + span,
                        functions,
                    },
                );
                let clients = std::thread::spawn(move || {
                    client::run(target, load)
                        .map(drop)
                        .map_err(|e| e.to_string())
                });
                // What it costs to take them all is not what it costs to hold them.
                std::thread::sleep(SETTLE);
                let before = (gated.cpu(), client::SERVED.load(Ordering::Relaxed));
                std::thread::sleep(span);
                let after = (gated.cpu(), client::SERVED.load(Ordering::Relaxed));
                drop(gated);
                clients
                    .join()
                    .map_err(|_| "the clients' thread ended early")??;
                let served = after.1 - before.1;
                let each = (after.0 - before.0) * 1e6 / served.max(1) as f64;
                let rate = served as f64 / span.as_secs_f64();
                println!("| {functions} | {count} | {open} | {rate:.0} | {each:.1} |");
            }
        }
    }
    Ok(())
}

/// A client's preface and settings, a request's HEADERS, and half of its message (RFC 9113, RFC 7541: literals without
/// indexing).
fn half_a_request() -> Vec<u8> {
    let mut block = Vec::new();
    for (name, value) in [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/inference.GRPCInferenceService/ModelInfer"),
        (":authority", "slow"),
        ("content-type", "application/grpc"),
        ("te", "trailers"),
    ] {
        block.push(0);
        for text in [name, value] {
            block.push(text.len() as u8);
            block.extend(text.bytes());
        }
    }
    let mut out = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    let mut frame = |kind: u8, flags: u8, stream: u8, payload: &[u8]| {
        out.extend(&(payload.len() as u32).to_be_bytes()[1..]);
        out.extend([kind, flags, 0, 0, 0, stream]);
        out.extend(payload);
    };
    frame(4, 0, 0, &[]);
    // END_HEADERS; the stream goes on.
    frame(1, 4, 1, &block);
    // A message of 20 bytes of which 10 come.
    frame(0, 0, 1, &[&[0, 0, 0, 0, 20][..], &[0; 10]].concat());
    out
}

/// Latency at a rate, with and without so many clients that have sent half a request.
pub fn slow(a: &Arguments, clients: usize) -> Result<(), Error> {
    let limit = rlimit::increase_nofile_limit(clients as u64 + 1_000)?;
    if limit < clients as u64 + 500 {
        return Err(
            format!("{clients} clients need as many descriptors; {limit} are allowed").into(),
        );
    }
    let (one, two) = (workers(&[])?, workers(&[])?);
    let gated = gateway(a, &[one.1, two.1])?;
    let paced = Load {
        open: 100_000,
        rate: Some(a.rate),
        span: Duration::from_secs(a.seconds),
        functions: 1,
    };
    client::run(
        gated.1,
        Load {
            span: Duration::from_secs(1),
            ..paced
        },
    )?;
    let free = client::run(gated.1, paced)?;
    let held = connect(gated.1, clients)?;
    // They are all taken before the next is measured.
    client::run(
        gated.1,
        Load {
            span: Duration::from_secs(1),
            ..paced
        },
    )?;
    let crowded = client::run(gated.1, paced)?;
    println!(
        "| slow clients | p50 us at {}/s | p99 us | failed |",
        a.rate
    );
    println!("|---|---|---|---|");
    println!(
        "| 0 | {:.0} | {:.0} | {} |",
        free.micros(0.5),
        free.micros(0.99),
        free.failed
    );
    println!(
        "| {} | {:.0} | {:.0} | {} |",
        held.len(),
        crowded.micros(0.5),
        crowded.micros(0.99),
        crowded.failed
    );
    println!(
        "added p99: {:.0} us",
        crowded.micros(0.99) - free.micros(0.99)
    );
    Ok(())
}

fn connect(target: SocketAddr, clients: usize) -> Result<Vec<TcpStream>, Error> {
    let bytes = half_a_request();
    let mut held = Vec::with_capacity(clients);
    for _ in 0..clients {
        let mut socket = TcpStream::connect(target)?;
        socket.write_all(&bytes)?;
        held.push(socket);
    }
    Ok(held)
}
