//! Several front ends as processes of their own over the same workers and the same list, under clients that never rest: one is
//! ended in good order and starts again, one is killed, one stands still for a while, a worker drains. Judged from what clients
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

    /// Replies so far that went up to the newest event.
    fn replies_with_newest(&self) -> usize {
        // The first event is in the configuration.
        let newest = self.events.lock().unwrap().len() as u64 + 1;
        let replied = self.replied.lock().unwrap();
        replied.iter().filter(|event| **event == newest).count()
    }

    /// Adds an event in which a worker changes its state.
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
    /// Of these front ends; none runs yet.
    fn of(front_ends: Vec<FrontEndStatus>) -> Clients {
        Clients {
            front_ends,
            next: AtomicU64::new(1),
            stop: AtomicBool::new(false),
            answered: AtomicU64::new(0),
            ends: Mutex::default(),
            gate: RwLock::default(),
        }
    }

    /// Starts one that calls this front end without pause until all are to stop.
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
    fn wait_for_more(&self, calls: u64) {
        let until_then = self.answered.load(Ordering::SeqCst) + calls;
        until("calls go on", || {
            self.answered.load(Ordering::SeqCst) >= until_then
        });
    }
}

/// The front ends' processes, each under an address of its own.
struct Fleet {
    configuration: PlatformConfiguration,
    /// The addresses are the front ends' while their processes are down.
    reserved: Vec<ReservedAddress>,
    processes: Vec<GatewayProcess>,
}

impl Fleet {
    /// Starts all of them.
    fn start(configuration: PlatformConfiguration) -> Fleet {
        let reserved: Vec<ReservedAddress> = (0..FRONT_ENDS).map(|_| reserve()).collect();
        let addresses = reserved.iter().map(ReservedAddress::address);
        let processes = addresses
            .map(|address| start_process(&configuration, address))
            .collect();
        Fleet {
            configuration,
            reserved,
            processes,
        }
    }

    /// What clients know of them.
    fn statuses(&self) -> Vec<FrontEndStatus> {
        let status = |reserved: &ReservedAddress| FrontEndStatus {
            address: reserved.address(),
            open: AtomicBool::new(true),
            killed: AtomicU64::new(0),
        };
        self.reserved.iter().map(status).collect()
    }

    /// Starts the next process of one whose last has ended.
    fn start_again(&mut self, at: usize) {
        let address = self.reserved[at].address();
        self.processes[at] = start_process(&self.configuration, address);
    }

    /// One is told to end while calls come, and starts again under its address.
    fn restart(&mut self, at: usize, clients: &Clients, round: usize) {
        let process = &mut self.processes[at];
        process.signal(Signal::TERM);
        clients.wait_for_more(20);
        clients.close(at);
        assert_eq!(process.exit_code(), Some(0), "round {round}");
        self.start_again(at);
        clients.open(at);
    }

    /// One is killed outright, with a call of each of its clients in its buffers, and starts again.
    fn kill_and_restart(&mut self, at: usize, clients: &Clients) {
        self.processes[at].suspend();
        clients.wait_for_more(60);
        clients.close(at);
        clients.front_ends[at].killed.fetch_add(1, Ordering::SeqCst);
        self.processes[at].kill();
        self.start_again(at);
        clients.open(at);
    }

    /// One stands still while the others go on, and a worker drains or comes back meanwhile.
    fn suspend_through_an_event(
        &self,
        at: usize,
        clients: &Clients,
        coordinator: &SharedCoordinator,
        worker: &Worker,
        state: &str,
    ) {
        let process = &self.processes[at];
        process.suspend();
        clients.wait_for_more(60);
        coordinator.publish("s-0", worker.address, state);
        process.resume();
    }
}

fn start_process(configuration: &PlatformConfiguration, address: SocketAddr) -> GatewayProcess {
    let process = GatewayProcess::spawn(write_configuration(configuration, address), address);
    process.wait_until_alive();
    process
}

/// Nothing goes to a worker while calls go on.
fn assert_nothing_sent(worker: &Worker, clients: &Clients, round: usize) {
    let calls = worker.commands("fire").len();
    let loads = worker.commands("provision").len();
    clients.wait_for_more(60);
    assert_eq!(
        worker.commands("fire").len(),
        calls,
        "round {round}: calls to a worker that drains"
    );
    assert_eq!(
        worker.commands("provision").len(),
        loads,
        "round {round}: loads at a worker that drains"
    );
}

/// Every call has an answer of its own, nearly all of them served.
fn assert_answered(ends: &HashMap<u64, (usize, CallEnd)>) {
    let mut served = 0;
    for (id, (at, end)) in ends {
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
}

/// Whatever happened, no call that must not be repeated ran twice, at any worker, through any front end.
fn assert_no_effect_twice(workers: &[Worker]) {
    let mut ran = HashSet::new();
    for command in workers.iter().flat_map(|worker| worker.commands("fire")) {
        let id = u64::from_str_radix(command.id(), 16).unwrap();
        assert!(ran.insert(id) || id % 2 == 1, "call {id} ran twice");
    }
}

#[test]
fn some_end_some_are_killed_and_one_stands_still() {
    let workers: Vec<Worker> = (0..3).map(|_| Worker::plain()).collect();
    let coordinator = SharedCoordinator::start();
    let mut fleet = Fleet::start(PlatformConfiguration {
        coordinator: coordinator.address,
        ..configuration_for(&workers.iter().collect::<Vec<_>>())
    });
    let clients = Arc::new(Clients::of(fleet.statuses()));
    let threads: Vec<_> = (0..FRONT_ENDS * CLIENTS_EACH)
        .map(|number| clients.run(number % FRONT_ENDS))
        .collect();
    for round in 0..3 {
        clients.wait_for_more(60);
        fleet.restart(0, &clients, round);
        fleet.kill_and_restart(1, &clients);
        let drains = round % 2 == 0;
        let state = if drains { "Terminating" } else { "Ready" };
        fleet.suspend_through_an_event(2, &clients, &coordinator, &workers[0], state);
        // Each has polled again with that event in hand: the answer to its next poll has been asked for.
        until("all have polled with the event", || {
            coordinator.replies_with_newest() >= 2 * FRONT_ENDS
        });
        if drains {
            assert_nothing_sent(&workers[0], &clients, round);
        }
    }
    clients.stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("a client"));
    for mut process in fleet.processes {
        assert_eq!(process.terminate(), Some(0));
    }
    assert_answered(&clients.ends.lock().unwrap());
    assert_no_effect_twice(&workers);
}
