//! Case 2: bad clients call functions that no worker knows, each another one. What the front end keeps of them grows
//! beyond its limit of memory, at which the platform kills it.

#[path = "../standins/platform.rs"]
mod platform;

use platform::*;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The most that a front end has on the days that are scored.
const MEMORY_MB: u64 = 192;
const USUAL: u64 = 6;
const BAD: u64 = 20;
const USUAL_TIMEOUT: Duration = Duration::from_millis(1250);
/// Bad clients state little time, and so are turned away at once.
const BAD_TIMEOUT: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_millis(500);
const CALM: Duration = Duration::from_secs(3);
/// The front end keeps what it learns of a function for about 45 s; the disruption lasts a little longer.
const TROUBLE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(100);
const FUNCTION: &str = "7f3a9c21e0b4d655";

#[derive(Default)]
struct Tally {
    served: AtomicU64,
    not_served: AtomicU64,
    bad_sent: AtomicU64,
    bad_served: AtomicU64,
}

fn main() {
    run_case(case);
}

fn usual_client(
    number: u64,
    front_end: SocketAddr,
    stop: &AtomicBool,
    record: &Record,
    tally: &Tally,
) {
    let mut random = Random(0x5eed_0003 + number * 7919);
    let mut client = Client::new(front_end);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100 + random.below(200)));
        let call = ClientCall {
            id: random.id(),
            function: FUNCTION.to_string(),
            class: "read",
            timeout: USUAL_TIMEOUT,
            body: b"usual".to_vec(),
        };
        let answer = client.call(&call, PATIENCE);
        record.write(&format!(
            "usual client {number} got {:?} for {}",
            answer.as_ref().map(|answer| answer.status),
            call.id
        ));
        let counter = if answer.is_some_and(|answer| answer.status == 200) {
            &tally.served
        } else {
            &tally.not_served
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// One request at a time on one connection, and another as soon as it is turned away.
fn bad_client(number: u64, front_end: SocketAddr, stop: &AtomicBool, tally: &Tally) {
    let mut random = Random(0x5eed_bad1 + number * 104_729);
    let mut client = Client::new(front_end);
    while !stop.load(Ordering::Relaxed) {
        let call = ClientCall {
            id: random.id(),
            function: format!("{NO_FUNCTION}{:012x}", random.next() >> 16),
            class: "read",
            timeout: BAD_TIMEOUT,
            body: Vec::new(),
        };
        let answer = client.call(&call, Duration::from_secs(3));
        tally.bad_sent.fetch_add(1, Ordering::Relaxed);
        match answer {
            Some(answer) if answer.status == 200 => {
                tally.bad_served.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) => {}
            None => thread::sleep(Duration::from_millis(5)),
        }
    }
}

fn start_workers(record: &Record) -> io::Result<Vec<Worker>> {
    let start = |number: u32| {
        let name = format!("w{number}");
        let (worker, log) = (name.clone(), record.clone());
        let on_call = move |link: &WorkerLink, fired: &Fired| {
            thread::sleep(Duration::from_millis(20));
            log.write(&format!("{worker} ran {}", fired.id));
            link.write(&served(fired, &result_of(&worker, fired)));
        };
        Worker::start(record, &name, Duration::from_millis(300), Arc::new(on_call))
    };
    (1..=3).map(start).collect()
}

fn case(record: &Record, folder: &Path) -> io::Result<i32> {
    let workers = start_workers(record)?;
    let list: Vec<Listed> = workers
        .iter()
        .map(|worker| Listed::ready(&worker.name, worker.address))
        .collect();
    let coordinator = Coordinator::start(record, &list)?;
    let limits = Limits {
        memory_mb: MEMORY_MB,
        sockets: 256,
    };
    let mut front_end = FrontEnd::start(folder, &coordinator, &settings(""), limits)?;
    let (tally, stop) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    let address = front_end.address;
    let mut clients = Vec::new();
    for number in 0..USUAL {
        let (stop, record, tally) = (stop.clone(), record.clone(), tally.clone());
        clients.push(thread::spawn(move || {
            usual_client(number, address, &stop, &record, &tally)
        }));
    }
    thread::sleep(CALM);
    let before = front_end.anonymous_memory_kib()?;
    record.print(&format!(
        "anonymous memory before the disruption: {before} KiB; limit {MEMORY_MB} MB"
    ));
    if has_trouble() {
        for number in 0..BAD {
            let (stop, tally) = (stop.clone(), tally.clone());
            clients.push(thread::spawn(move || {
                bad_client(number, address, &stop, &tally)
            }));
        }
    }
    let began = Instant::now();
    let mut logged = 0;
    let (mut largest, mut code) = (before, HELD);
    while began.elapsed() < TROUBLE {
        thread::sleep(LOOK);
        if let Some(status) = front_end.child.try_wait()? {
            record.print(&format!("broken: the front end ended by itself: {status}"));
            code = BROKEN;
            break;
        }
        let memory = front_end.anonymous_memory_kib()?;
        largest = largest.max(memory);
        let sent = tally.bad_sent.load(Ordering::Relaxed);
        if began.elapsed().as_secs() > logged {
            logged = began.elapsed().as_secs();
            record.write(&format!(
                "after {logged} s: {memory} KiB, {sent} requests of bad clients"
            ));
        }
        if memory > MEMORY_MB * 1024 {
            let after = began.elapsed().as_secs_f64();
            record.print(&format!("broken: {memory} KiB after {after:.1} s and {sent} requests of bad clients; the platform kills the front end"));
            front_end.child.kill()?;
            let _ = front_end.child.wait();
            code = BROKEN;
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.print(&format!(
        "largest {largest} KiB; usual calls: {} served, {} not; bad requests: {} sent, {} served",
        count(&tally.served),
        count(&tally.not_served),
        count(&tally.bad_sent),
        count(&tally.bad_served)
    ));
    if count(&tally.served) == 0 {
        record.print("no usual call was served: the case did not run");
        return Ok(NOT_RUN);
    }
    Ok(code)
}
