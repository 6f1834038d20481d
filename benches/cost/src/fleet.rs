//! A gateway in a fleet beside the same gateway without: latency of calls in turn, memory, CPU at rest.

use crate::client::{self, Load};
use crate::{me, Arguments, Error, Process};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// Time for a fleet to find itself.
const FIND: Duration = Duration::from_secs(30);
/// For so long its CPU at rest is measured.
const REST: Duration = Duration::from_secs(10);

fn start(a: &Arguments, file: &Path, more: &[String]) -> Result<Process, Error> {
    let mut c = Command::new(&a.gateway);
    c.args([
        "--listen",
        "127.0.0.1:0",
        "--http",
        "127.0.0.1:0",
        "--log",
        "off",
        "--settings",
    ])
    .arg(file);
    c.args(more);
    Process::start(&mut c)
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Measures.
pub fn run(a: &Arguments, members: usize, rounds: usize) -> Result<(), Error> {
    let folder = std::env::temp_dir().join(format!("tansy-bench-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let workers = [
        Process::start(&mut me("worker")?)?,
        Process::start(&mut me("worker")?)?,
    ];
    let list: Vec<String> = workers
        .iter()
        .enumerate()
        .map(|(n, w)| format!("{{name: \"w{n}\", address: \"{}\"}}", w.1))
        .collect();
    let text = format!(
        "classes: c: {{aim: 60s, deadline: 120s}}\nfunctions: echo: {{class: \"c\", lanes: 4096, memory: 1MB, \
         load_time: 5ms}}\nfront: {{max_held: 100000, streams: 100000}}\nworkers: [{}]\n",
        list.join(", ")
    );
    // Addresses of their own for the names: what the kernel gives to connections is none of these.
    let host = |n: usize| {
        [
            127,
            1 + (std::process::id() % 250) as u8,
            (n >> 8) as u8,
            n as u8 | 1,
        ]
    };
    let port = |n: usize| 20_000 + (n & 1) as u16;
    let at = |n: usize| SocketAddr::from((host(n), port(n)));
    drop(TcpListener::bind(at(0))?);
    let (alone, joined) = (folder.join("alone.cue"), folder.join("fleet.cue"));
    std::fs::write(&alone, &text)?;
    let seat = at(0);
    let fleet = format!(
        "{text}fleet: {{name: \"bench\", seats: [{{name: \"f0\", address: \"{seat}\"}}]}}\n"
    );
    std::fs::write(&joined, fleet)?;
    let place = |n: usize| {
        let mut place = vec![
            "--name".to_string(),
            format!("f{n}"),
            "--peers".into(),
            at(n).to_string(),
        ];
        if n == 0 {
            place.extend([
                "--state".to_string(),
                folder.join("seat.redb").display().to_string(),
            ]);
        }
        place
    };
    let off = start(a, &alone, &[])?;
    let mut others = Vec::new();
    for n in (0..members.max(2)).filter(|n| *n != 1) {
        others.push(start(a, &joined, &place(n))?);
    }
    let on = start(a, &joined, &place(1))?;
    // Until it may act: a call is served.
    let began = std::time::Instant::now();
    let one = Load {
        open: 1,
        rate: None,
        span: Duration::from_millis(50),
        functions: 1,
    };
    while client::run(on.1, one).map_or(0, |m| m.served) == 0 {
        if began.elapsed() > FIND {
            return Err("the fleet did not find itself".into());
        }
    }
    std::thread::sleep(Duration::from_secs(3 + members as u64 / 50));
    let before = (on.cpu(), others[0].cpu(), off.cpu());
    std::thread::sleep(REST);
    let rest = |p: &Process, before: f64| (p.cpu() - before) / REST.as_secs_f64() * 100.0;
    println!(
        "{members} front ends at rest: CPU {:.2}% a front end, {:.2}% the seat, {:.2}% without a fleet; memory {:.1}, {:.1} and {:.1} MB",
        rest(&on, before.0), rest(&others[0], before.1), rest(&off, before.2), on.memory(), others[0].memory(), off.memory()
    );
    let span = Duration::from_secs(a.seconds);
    let paced = Load {
        open: 100_000,
        rate: Some(a.rate),
        span,
        functions: 1,
    };
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for round in 0..rounds + 1 {
        let (m, w) = (client::run(off.1, paced)?, client::run(on.1, paced)?);
        // The first of each warms up.
        if round > 0 {
            without.push((m.micros(0.5), m.micros(0.99)));
            with.push((w.micros(0.5), w.micros(0.99)));
        }
    }
    let of = |all: &[(f64, f64)]| {
        (
            median(all.iter().map(|m| m.0).collect()),
            median(all.iter().map(|m| m.1).collect()),
        )
    };
    let (w, o) = (of(&with), of(&without));
    println!(
        "latency at {}/s, medians of {rounds}: without p50 {:.0} us, p99 {:.0} us; in the fleet p50 {:.0} us, p99 {:.0} us; {:.3} and {:.3} times",
        a.rate, o.0, o.1, w.0, w.1, w.0 / o.0, w.1 / o.1
    );
    drop((on, off, others));
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
