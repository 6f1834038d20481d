//! Several front ends as processes of their own over the same workers and the same list, under clients that never rest: one is
//! told to end and starts again, one is killed, one stands still for a while, a worker drains. Judged from what clients
//! got and what workers saw.

use crate::harness::http::read_head;
use crate::harness::process::{reserve, GatewayProcess};
use crate::harness::*;
use rustix::process::Signal;
use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tansy_test_support::address::ReservedAddress;

const FRONT_ENDS: usize = 4;
const CLIENTS_EACH: usize = 2;

/// A coordinator that serves one list to all who poll it.
#[derive(Clone)]
struct SharedCoordinator {
    address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// The last event that each poll had, in the order in which they came.
    replied: Arc<Mutex<Vec<u64>>>,
}

impl SharedCoordinator {
    fn start() -> SharedCoordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let coordinator = SharedCoordinator {
            address,
            events: Arc::default(),
            replied: Arc::default(),
        };
        let shared = coordinator.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let coordinator = shared.clone();
                std::thread::spawn(move || coordinator.serve(&socket));
            }
        });
        coordinator
    }

    fn serve(&self, socket: &TcpStream) -> Option<()> {
        loop {
            let head = read_head(socket)?;
            let target = head.split(' ').nth(1)?.to_string();
            let follow: usize = target
                .split("follow=")
                .nth(1)?
                .split('&')
                .next()?
                .parse()
                .ok()?;
            let began = Instant::now();
            // The first event is in the configuration.
            let (newest, updates) = loop {
                let events = self.events.lock().unwrap();
                if events.len() + 1 > follow || began.elapsed() > Duration::from_millis(900) {
                    let later: Vec<String> = events.iter().skip(follow - 1).cloned().collect();
                    break (events.len() + 1, later.join(","));
                }
                drop(events);
                std::thread::yield_now();
            };
            self.replied.lock().unwrap().push(newest as u64);
            let text = format!(r#"{{"index":{newest},"updates":[{updates}]}}"#);
            (&*socket).write_all(&reply(&text)).ok()?;
        }
    }

    fn publish(&self, id: &str, address: SocketAddr, state: &str) {
        let mut events = self.events.lock().unwrap();
        let index = events.len() + 2;
        events.push(format!(
            r#"{{"index":{index},"endpoints":{{"full":false,"servers":[
            {{"id":"{id}","addr":"{address}","zone":"a","kind":"k","state":"{state}"}}]}}}}"#
        ));
    }
}

/// What clients know of a front end.
struct FrontEndStatus {
    address: SocketAddr,
    /// New requests go there.
    open: AtomicBool,
    /// It has been killed: what it held is lost, and no fault.
    killed: AtomicU64,
}

/// One call's end, as its client saw it.
#[derive(Debug)]
enum CallEnd {
    Answer(u16, bool),
    Lost,
}

struct Clients {
    front_ends: Vec<FrontEndStatus>,
    next: AtomicU64,
    stop: AtomicBool,
    answered: AtomicU64,
    ends: Mutex<HashMap<u64, (usize, CallEnd)>>,
    /// Held to write by a test that closes a front end: no client is between checking and sending then.
    gate: RwLock<()>,
}

impl Clients {
    fn run(self: &Arc<Self>, at: usize) -> JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            let mut connection: Option<Client> = None;
            while !clients.stop.load(Ordering::SeqCst) {
                let front_end = &clients.front_ends[at];
                let gate = clients.gate.read().unwrap();
                if !front_end.open.load(Ordering::SeqCst) {
                    drop(gate);
                    connection = None;
                    std::thread::yield_now();
                    continue;
                }
                let id = clients.next.fetch_add(1, Ordering::SeqCst);
                let killed = front_end.killed.load(Ordering::SeqCst);
                let call = Call {
                    function: id % 3,
                    ..call(id)
                };
                let call = if id.is_multiple_of(2) {
                    call.once()
                } else {
                    call
                };
                let mut client = connection
                    .take()
                    .unwrap_or_else(|| Client::to(front_end.address));
                client.send(&call.text());
                drop(gate);
                let end = match client.answer() {
                    Some((status, body)) => {
                        connection = Some(client);
                        clients.answered.fetch_add(1, Ordering::SeqCst);
                        CallEnd::Answer(status, body == call.body)
                    }
                    None if front_end.killed.load(Ordering::SeqCst) > killed => continue,
                    None => CallEnd::Lost,
                };
                clients.ends.lock().unwrap().insert(id, (at, end));
                // An answer may say that the connection ends.
                connection = connection.filter(|client| !client.ended());
            }
        })
    }

    /// No request goes there from here on.
    fn close(&self, at: usize) {
        let _none = self.gate.write().unwrap();
        self.front_ends[at].open.store(false, Ordering::SeqCst);
    }
    fn open(&self, at: usize) {
        self.front_ends[at].open.store(true, Ordering::SeqCst);
    }
    /// Waits until so many more calls have been answered.
    fn more(&self, calls: u64) {
        let until_then = self.answered.load(Ordering::SeqCst) + calls;
        until("calls go on", || {
            self.answered.load(Ordering::SeqCst) >= until_then
        });
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn some_end_some_are_killed_and_one_stands_still() {
    let workers: Vec<Worker> = (0..3).map(|_| Worker::plain()).collect();
    let coordinator = SharedCoordinator::start();
    let configuration = PlatformConfiguration {
        coordinator: coordinator.address,
        ..configuration_for(&workers.iter().collect::<Vec<_>>())
    };
    let start = |address: SocketAddr| {
        let process = GatewayProcess::spawn(write_configuration(&configuration, address), address);
        process.wait_until_alive();
        process
    };
    let reserved: Vec<ReservedAddress> = (0..FRONT_ENDS).map(|_| reserve()).collect();
    let addresses: Vec<SocketAddr> = reserved.iter().map(ReservedAddress::address).collect();
    let mut processes: Vec<Option<GatewayProcess>> =
        addresses.iter().map(|a| Some(start(*a))).collect();
    let front_end = |address: &SocketAddr| FrontEndStatus {
        address: *address,
        open: AtomicBool::new(true),
        killed: AtomicU64::new(0),
    };
    let clients = Arc::new(Clients {
        front_ends: addresses.iter().map(front_end).collect(),
        next: AtomicU64::new(1),
        stop: AtomicBool::new(false),
        answered: AtomicU64::new(0),
        ends: Mutex::default(),
        gate: RwLock::default(),
    });
    let threads: Vec<_> = (0..FRONT_ENDS * CLIENTS_EACH)
        .map(|n| clients.run(n % FRONT_ENDS))
        .collect();
    for round in 0..3 {
        clients.more(60);
        // One is told to end while calls come, and starts again under its address.
        let process = processes[0].as_mut().unwrap();
        process.signal(Signal::TERM);
        clients.more(20);
        clients.close(0);
        assert_eq!(process.exit_code(), Some(0), "round {round}");
        processes[0] = Some(start(addresses[0]));
        clients.open(0);
        // One is killed outright, with a call of each of its clients in its buffers.
        processes[1].as_ref().unwrap().suspend();
        clients.more(60);
        clients.close(1);
        clients.front_ends[1].killed.fetch_add(1, Ordering::SeqCst);
        drop(processes[1].take());
        processes[1] = Some(start(addresses[1]));
        clients.open(1);
        // One stands still while the others go on, and a worker drains or comes back meanwhile.
        let process = processes[2].as_ref().unwrap();
        process.suspend();
        clients.more(60);
        let (drains, state) = (
            &workers[0],
            if round % 2 == 0 {
                "Terminating"
            } else {
                "Ready"
            },
        );
        coordinator.publish("s-0", drains.address, state);
        let events = coordinator.events.lock().unwrap().len() as u64 + 1;
        process.resume();
        // Each has polled again with that event in hand: the answer to its next poll has been asked for.
        let replies_with_it = || {
            coordinator
                .replied
                .lock()
                .unwrap()
                .iter()
                .filter(|i| **i == events)
                .count()
        };
        until("all have been told", || replies_with_it() >= 2 * FRONT_ENDS);
        if state == "Terminating" {
            let (calls, loads) = (
                drains.commands("fire").len(),
                drains.commands("provision").len(),
            );
            clients.more(60);
            assert_eq!(
                drains.commands("fire").len(),
                calls,
                "round {round}: calls to a worker that drains"
            );
            assert_eq!(
                drains.commands("provision").len(),
                loads,
                "round {round}: loads at a worker that drains"
            );
        }
    }
    clients.stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|t| t.join().expect("a client"));
    for mut process in processes.into_iter().flatten() {
        assert_eq!(process.terminate(), Some(0));
    }

    let ends = clients.ends.lock().unwrap();
    let mut served = 0;
    for (id, (at, end)) in ends.iter() {
        match end {
            CallEnd::Answer(200, own) => {
                assert!(own, "call {id} at {at}: another's body");
                served += 1;
            }
            CallEnd::Answer(status, _) => {
                assert!(
                    [502, 503, 504].contains(status),
                    "call {id} at {at}: {status}"
                )
            }
            CallEnd::Lost => panic!("call {id} at {at}: no answer"),
        }
    }
    assert!(
        served * 10 >= ends.len() * 9,
        "{served} of {} served",
        ends.len()
    );
    // Whatever happened, no call that must not be repeated ran twice, at any worker, through any front end.
    let mut ran = HashSet::new();
    for command in workers.iter().flat_map(|w| w.commands("fire")) {
        let id = u64::from_str_radix(command.id(), 16).unwrap();
        assert!(ran.insert(id) || id % 2 == 1, "call {id} ran twice");
    }
}
