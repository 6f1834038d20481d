//! A gateway with a mistake planted: which one stands behind the end of the program's own file.
//!
//! The mistakes are of a new program that handles what it has badly; the gateway's code is the same. What it gets from its
//! workers passes a proxy in this process that delays or ends it; or the process ends, or takes memory, by itself.

use std::ffi::OsString;
use std::io::{Read, Seek, SeekFrom, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a file's end says before the mistake's name.
const MARK: &[u8] = b"\nTANSY-DAY-PLANT=";
/// The longest name.
const LONGEST: u64 = 64;
/// What slow workers' answers are late by.
const LATE_BY: Duration = Duration::from_millis(700);
/// From when on the late mistake is one.
const LATE_FROM: Duration = Duration::from_secs(14);
/// How long a crashing one lives.
const LIVES: Duration = Duration::from_secs(3);
/// Bytes leaked each tenth of a second.
const LEAK: usize = 300_000;

/// The program's bytes with a mistake's name behind them.
pub fn planted(program: &[u8], plant: &str) -> Vec<u8> {
    [program, MARK, plant.as_bytes()].concat()
}

fn own() -> std::io::Result<Option<String>> {
    let mut file = std::fs::File::open("/proc/self/exe")?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(LONGEST)))?;
    let mut end = Vec::new();
    file.read_to_end(&mut end)?;
    let at = end.windows(MARK.len()).rposition(|w| w == MARK);
    Ok(at.map(|at| String::from_utf8_lossy(&end[at + MARK.len()..]).into_owned()))
}

/// Runs the gateway, with the mistake of this program's file if it has one.
pub fn gateway(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let began = Instant::now();
    let plant = own().ok().flatten().unwrap_or_default();
    let mut arguments: Vec<OsString> = arguments.collect();
    match plant.as_str() {
        "slow" => through(&mut arguments, Arc::new(move || Some(LATE_BY))),
        "late" => through(
            &mut arguments,
            Arc::new(move || Some(LATE_BY).filter(|_| began.elapsed() >= LATE_FROM)),
        ),
        "refuse" => {
            // Workers that can't be reached for a second out of three.
            REFUSES.get_or_init(|| began);
            through(&mut arguments, Arc::new(|| None));
        }
        "crash" => drop(std::thread::spawn(|| {
            std::thread::sleep(LIVES);
            std::process::abort();
        })),
        "leak" => drop(std::thread::spawn(|| {
            let mut kept = Vec::new();
            loop {
                kept.push(vec![1_u8; LEAK]);
                std::thread::sleep(Duration::from_millis(100));
            }
        })),
        _ => {}
    }
    tansy_gateway::cli::main(arguments)
}

static REFUSES: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();

fn refuses() -> bool {
    REFUSES
        .get()
        .is_some_and(|began| began.elapsed().as_millis() % 3000 < 1000)
}

type Delay = Arc<dyn Fn() -> Option<Duration> + Send + Sync>;

/// Leads every way to a worker (`--via A=B`) through this process.
fn through(arguments: &mut [OsString], delay: Delay) {
    for n in 1..arguments.len() {
        if arguments[n - 1] != "--via" {
            continue;
        }
        let text = arguments[n].to_string_lossy().into_owned();
        let Some((worker, at)) = text.split_once('=') else {
            continue;
        };
        let Ok(at) = at.parse::<SocketAddr>() else {
            continue;
        };
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
            continue;
        };
        let Ok(here) = listener.local_addr() else {
            continue;
        };
        arguments[n] = format!("{worker}={here}").into();
        let delay = delay.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let delay = delay.clone();
                std::thread::spawn(move || join(&client, at, &delay));
            }
        });
    }
}

fn join(client: &TcpStream, at: SocketAddr, delay: &Delay) {
    if refuses() {
        return;
    }
    let Ok(worker) = TcpStream::connect(at) else {
        return;
    };
    let _ = (client.set_nodelay(true), worker.set_nodelay(true));
    let (Ok(from), Ok(to)) = (client.try_clone(), worker.try_clone()) else {
        return;
    };
    std::thread::spawn(move || copy(&from, &to, |_| None));
    copy(&worker, client, |began| delay().map(|d| began + d));
}

/// Copies one way; what came at a time leaves not before another one.
fn copy(mut from: &TcpStream, mut to: &TcpStream, due: impl Fn(Instant) -> Option<Instant> + Send) {
    // Order is kept, so that what waits holds up what comes after it; the time it came counts.
    let (send, queue) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::scope(|s| {
        s.spawn(move || {
            while let Ok((at, bytes)) = queue.recv() {
                std::thread::sleep(due(at).map_or(Duration::ZERO, |d| {
                    d.saturating_duration_since(Instant::now())
                }));
                if refuses() || to.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        });
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(n) = from.read(&mut buffer) {
            if n == 0 || send.send((Instant::now(), buffer[..n].to_vec())).is_err() {
                break;
            }
        }
        drop(send);
    });
    let _ = from.shutdown(Shutdown::Both);
}
