//! Tests several front end processes with shared workers and a shared coordinator under continuous load. One front end is
//! restarted gracefully, one is killed and restarted, one is suspended, and a worker drains. The test checks the answers that
//! clients receive and the commands that workers receive.

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

/// A coordinator that serves the same events to all front ends.
#[derive(Clone)]
struct SharedCoordinator {
    address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// The index of the last event of each reply, in the order of the replies.
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
            // Event 1 is in the configuration.
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

    /// Number of replies so far that included the newest event.
    fn replies_with_newest(&self) -> usize {
        // Event 1 is in the configuration.
        let newest = self.events.lock().unwrap().len() as u64 + 1;
        let replied = self.replied.lock().unwrap();
        replied.iter().filter(|event| **event == newest).count()
    }

    /// Adds an event that sets a worker's state.
    fn publish(&self, id: &str, address: SocketAddr, state: &str) {
        let mut events = self.events.lock().unwrap();
        let index = events.len() + 2;
        events.push(format!(
            r#"{{"index":{index},"endpoints":{{"full":false,"servers":[
            {{"id":"{id}","addr":"{address}","zone":"a","kind":"k","state":"{state}"}}]}}}}"#
        ));
    }
}

/// The state of a front end from the clients' view.
struct FrontEndStatus {
    address: SocketAddr,
    /// Whether clients send new requests to the front end.
    open: AtomicBool,
    /// How often the front end has been killed. Calls that were open then need no answer.
    kills: AtomicU64,
}

/// The outcome of a call for its client.
#[derive(Debug)]
enum CallOutcome {
    /// The status, and whether the body is that of the call.
    Answer(u16, bool),
    /// The connection ended without an answer.
    Lost,
}

struct Clients {
    front_ends: Vec<FrontEndStatus>,
    next_id: AtomicU64,
    stop: AtomicBool,
    answered: AtomicU64,
    /// The index of the front end and the outcome of each call, by the call's id.
    outcomes: Mutex<HashMap<u64, (usize, CallOutcome)>>,
    /// Locked for writing while a front end is closed, so that no client is between the check of `open` and its send.
    send_lock: RwLock<()>,
}

impl Clients {
    /// Creates the clients of the front ends, without starting them.
    fn new(front_ends: Vec<FrontEndStatus>) -> Clients {
        Clients {
            front_ends,
            next_id: AtomicU64::new(1),
            stop: AtomicBool::new(false),
            answered: AtomicU64::new(0),
            outcomes: Mutex::default(),
            send_lock: RwLock::default(),
        }
    }

    /// Starts a client that sends calls to a front end continuously until `stop` is set.
    fn run(self: &Arc<Self>, at: usize) -> JoinHandle<()> {
        let clients = self.clone();
        std::thread::spawn(move || {
            let mut connection: Option<Client> = None;
            while !clients.stop.load(Ordering::SeqCst) {
                let front_end = &clients.front_ends[at];
                let sending = clients.send_lock.read().unwrap();
                if !front_end.open.load(Ordering::SeqCst) {
                    drop(sending);
                    connection = None;
                    std::thread::yield_now();
                    continue;
                }
                let id = clients.next_id.fetch_add(1, Ordering::SeqCst);
                let kills = front_end.kills.load(Ordering::SeqCst);
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
                drop(sending);
                let outcome = match client.answer() {
                    Some((status, body)) => {
                        connection = Some(client);
                        clients.answered.fetch_add(1, Ordering::SeqCst);
                        CallOutcome::Answer(status, body == call.body)
                    }
                    None if front_end.kills.load(Ordering::SeqCst) > kills => continue,
                    None => CallOutcome::Lost,
                };
                clients.outcomes.lock().unwrap().insert(id, (at, outcome));
                // The front end may close the connection after an answer.
                connection = connection.filter(|client| !client.ended());
            }
        })
    }

    /// Stops clients from sending requests to a front end.
    fn close(&self, at: usize) {
        let _no_client_sends = self.send_lock.write().unwrap();
        self.front_ends[at].open.store(false, Ordering::SeqCst);
    }
    /// Lets clients send requests to a front end again.
    fn open(&self, at: usize) {
        self.front_ends[at].open.store(true, Ordering::SeqCst);
    }
    /// Waits until `calls` more calls have been answered.
    fn wait_for_more(&self, calls: u64) {
        let target = self.answered.load(Ordering::SeqCst) + calls;
        until("further calls are answered", || {
            self.answered.load(Ordering::SeqCst) >= target
        });
    }
}

/// The front end processes, each with its own address.
struct Fleet {
    configuration: PlatformConfiguration,
    /// Keeps the addresses reserved while their processes are not running.
    reserved: Vec<ReservedAddress>,
    processes: Vec<GatewayProcess>,
}

impl Fleet {
    /// Starts all front ends.
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

    /// The initial states of the front ends for their clients.
    fn statuses(&self) -> Vec<FrontEndStatus> {
        let status = |reserved: &ReservedAddress| FrontEndStatus {
            address: reserved.address(),
            open: AtomicBool::new(true),
            kills: AtomicU64::new(0),
        };
        self.reserved.iter().map(status).collect()
    }

    /// Starts a new process of a front end whose process has ended.
    fn start_again(&mut self, at: usize) {
        let address = self.reserved[at].address();
        self.processes[at] = start_process(&self.configuration, address);
    }

    /// Shuts a front end down gracefully while it receives calls, and restarts it at the same address.
    fn restart(&mut self, at: usize, clients: &Clients, round: usize) {
        let process = &mut self.processes[at];
        process.signal(Signal::TERM);
        clients.wait_for_more(20);
        clients.close(at);
        assert_eq!(process.exit_code(), Some(0), "round {round}");
        self.start_again(at);
        clients.open(at);
    }

    /// Kills a front end while each of its clients has an open call, and restarts it.
    fn kill_and_restart(&mut self, at: usize, clients: &Clients) {
        self.processes[at].suspend();
        clients.wait_for_more(60);
        clients.close(at);
        clients.front_ends[at].kills.fetch_add(1, Ordering::SeqCst);
        self.processes[at].kill();
        self.start_again(at);
        clients.open(at);
    }

    /// Suspends a front end while the others continue, and changes a worker's state before it resumes.
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

/// Checks that a draining worker receives no calls and no loads while further calls are served.
fn assert_nothing_sent(worker: &Worker, clients: &Clients, round: usize) {
    let calls = worker.commands("fire").len();
    let loads = worker.commands("provision").len();
    clients.wait_for_more(60);
    assert_eq!(
        worker.commands("fire").len(),
        calls,
        "round {round}: calls were sent to a draining worker"
    );
    assert_eq!(
        worker.commands("provision").len(),
        loads,
        "round {round}: loads were sent to a draining worker"
    );
}

/// Checks that every call has its own answer, and that at least 90 % of them were served.
fn assert_answered(outcomes: &HashMap<u64, (usize, CallOutcome)>) {
    let mut served = 0;
    for (id, (at, outcome)) in outcomes {
        match outcome {
            CallOutcome::Answer(200, own) => {
                assert!(own, "call {id} at {at}: the body of another call");
                served += 1;
            }
            CallOutcome::Answer(status, _) => {
                assert!(
                    [502, 503, 504].contains(status),
                    "call {id} at {at}: {status}"
                )
            }
            CallOutcome::Lost => panic!("call {id} at {at}: no answer"),
        }
    }
    assert!(
        served * 10 >= outcomes.len() * 9,
        "{served} of {} calls were served",
        outcomes.len()
    );
}

/// Checks that no call that must not be retried reached the workers twice.
fn assert_no_duplicates(workers: &[Worker]) {
    let mut ran = HashSet::new();
    for command in workers.iter().flat_map(|worker| worker.commands("fire")) {
        let id = u64::from_str_radix(command.id(), 16).unwrap();
        assert!(ran.insert(id) || id % 2 == 1, "call {id} ran twice");
    }
}

#[test]
fn restarts_kills_and_suspensions_of_front_ends_lose_no_calls() {
    let workers: Vec<Worker> = (0..3).map(|_| Worker::plain()).collect();
    let coordinator = SharedCoordinator::start();
    let mut fleet = Fleet::start(PlatformConfiguration {
        coordinator: coordinator.address,
        ..configuration_for(&workers.iter().collect::<Vec<_>>())
    });
    let clients = Arc::new(Clients::new(fleet.statuses()));
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
        // A front end polls again once it has applied the event, so two replies for each show that all have applied it.
        until("all front ends have applied the event", || {
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
    assert_answered(&clients.outcomes.lock().unwrap());
    assert_no_duplicates(&workers);
}
