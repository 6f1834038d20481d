//! Clients whose calls wait, far more of them than the front end has descriptors, beside usual clients.

use crate::harness::process::GatewayProcess;
use crate::harness::*;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Limit on descriptors. It leaves 16 client connections.
const SOCKETS: usize = 64;
/// Client connections that this limit leaves.
const CLIENT_CONNECTIONS: usize = 16;
/// Clients that call unknown functions, with one connection each.
const UNKNOWN_CLIENTS: u64 = 200;
/// The first id of functions and calls of these clients.
const FIRST_UNKNOWN: u64 = 1 << 32;
/// The time that a call of an unknown function states, the longest that the class allows.
const UNKNOWN_TIMEOUT_MS: u64 = 2000;
/// The time that a usual call states, the shortest that the platform's page names for this deadline.
const USUAL_TIMEOUT_MS: u64 = 1000;
/// Clients that call a loaded function on a connection that they keep.
const USUAL_CLIENTS: u64 = 4;
/// Calls of each of these clients.
const USUAL_CALLS: u64 = 60;
/// Pause of a usual client between two calls.
const USUAL_PAUSE: Duration = Duration::from_millis(25);
/// A request that crosses the end of a connection within this time is sent once more.
const CROSSING: Duration = Duration::from_millis(50);
const ALIVE: &str = "GET /alive HTTP/1.1\r\nHost: x\r\n\r\n";

/// A worker that has function 7 only, and answers its calls.
fn worker_with_one_function() -> Worker {
    let has = |command: &worker::WorkerCommand| {
        let function = format!("asset={:016x}", call(0).function);
        command.words[2].contains(&function)
    };
    Worker::start(Box::new(move |command| {
        let answer = match command.name() {
            "provision" if has(command) => worker::loaded(command),
            "provision" => array(&[command.id(), "500", "replicas=0", ""]),
            "fire" if has(command) => served(command),
            "fire" => array(&[command.id(), "404", "-", ""]),
            _ => Vec::new(),
        };
        (answer, true)
    }))
}

fn unknown_call(number: u64) -> Call {
    Call {
        id: FIRST_UNKNOWN + number,
        function: FIRST_UNKNOWN + number,
        body: String::new(),
        ..call(0).with_timeout_ms(UNKNOWN_TIMEOUT_MS)
    }
}

fn usual_call(id: u64) -> Call {
    call(id).with_timeout_ms(USUAL_TIMEOUT_MS)
}

/// Sends a request, and once more on a new connection if it crosses the end of its connection, as the platform's clients
/// do. Returns the status of the answer and the time that the answered or last request took.
fn request(client: &mut Client, front_end: SocketAddr, text: &str) -> (Option<u16>, Duration) {
    let sent = Instant::now();
    client.send(text);
    let status = client.answer_status();
    if status.is_some() || sent.elapsed() > CROSSING {
        return (status, sent.elapsed());
    }
    *client = Client::to(front_end);
    let sent = Instant::now();
    client.send(text);
    (client.answer_status(), sent.elapsed())
}

/// What became of the requests of one kind of client.
#[derive(Default)]
struct Tally {
    answered: AtomicU64,
    /// Requests without the wanted answer in their time: what they got, and after what time.
    wrong: Mutex<Vec<(Option<u16>, Duration)>>,
}

impl Tally {
    fn count(&self, (status, took): (Option<u16>, Duration), wanted: u16, within_ms: u64) {
        if status == Some(wanted) && took <= Duration::from_millis(within_ms) {
            self.answered.fetch_add(1, Ordering::SeqCst);
        } else {
            self.wrong.lock().unwrap().push((status, took));
        }
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::SeqCst)
    }

    /// Checks that every request got the wanted answer in its time.
    fn assert_all_right(&self, kind: &str) {
        let wrong = self.wrong.lock().unwrap();
        assert!(
            wrong.is_empty(),
            "{kind}: {} right, {} not: {wrong:?}",
            self.answered(),
            wrong.len()
        );
    }
}

/// Calls an unknown function on ever new connections until `stop`. Every call must be refused within its time.
fn call_unknown_functions(
    front_end: SocketAddr,
    next: &AtomicU64,
    stop: &AtomicBool,
    tally: &Tally,
) {
    while !stop.load(Ordering::SeqCst) {
        let text = unknown_call(next.fetch_add(1, Ordering::SeqCst)).text();
        let mut client = Client::to(front_end);
        let answer = request(&mut client, front_end, &text);
        tally.count(answer, 503, UNKNOWN_TIMEOUT_MS);
    }
}

/// Makes usual calls, on one connection or each on a new one. Every call must be served within its time.
fn make_usual_calls(front_end: SocketAddr, first_id: u64, keeps_connection: bool, tally: &Tally) {
    let mut client = Client::to(front_end);
    for number in 0..USUAL_CALLS {
        if !keeps_connection {
            client = Client::to(front_end);
        }
        let text = usual_call(first_id + number).text();
        tally.count(
            request(&mut client, front_end, &text),
            200,
            USUAL_TIMEOUT_MS,
        );
        std::thread::sleep(USUAL_PAUSE);
    }
}

/// Checks the front end's health on ever new connections until `stop`.
fn check_health(front_end: SocketAddr, stop: &AtomicBool, tally: &Tally) {
    while !stop.load(Ordering::SeqCst) {
        let mut client = Client::to(front_end);
        let answer = request(&mut client, front_end, ALIVE);
        tally.count(answer, 200, USUAL_TIMEOUT_MS);
        std::thread::sleep(USUAL_PAUSE);
    }
}

// Guards against clients that are never read: calls that waited for a load held all client connections until their time
// was nearly over, and other clients' requests stayed in the kernel's accept queue.
#[test]
fn waiting_calls_keep_no_client_unread_and_usual_calls_are_served() {
    let workers: Vec<Worker> = (0..3).map(|_| worker_with_one_function()).collect();
    let front_end = GatewayProcess::start(&PlatformConfiguration {
        sockets: SOCKETS,
        ..configuration_for(&workers.iter().collect::<Vec<_>>())
    });
    front_end.limit_descriptors(SOCKETS as u64);
    drop(front_end.warm_client());
    let address = front_end.address;
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(0));
    let (usual, alive, unknown) = (Tally::default(), Tally::default(), Tally::default());
    std::thread::scope(|scope| {
        for _ in 0..UNKNOWN_CLIENTS {
            scope.spawn(|| call_unknown_functions(address, &next, &stop, &unknown));
        }
        until("more calls wait than there are connections", || {
            next.load(Ordering::SeqCst) >= UNKNOWN_CLIENTS
        });
        scope.spawn(|| check_health(address, &stop, &alive));
        let clients: Vec<_> = (0..USUAL_CLIENTS)
            .map(|number| {
                let usual = &usual;
                let first_id = 1_000 * (number + 1);
                scope.spawn(move || make_usual_calls(address, first_id, number % 2 == 0, usual))
            })
            .collect();
        let results: Vec<_> = clients.into_iter().map(|client| client.join()).collect();
        stop.store(true, Ordering::SeqCst);
        assert!(results.into_iter().all(|result| result.is_ok()));
    });
    usual.assert_all_right("calls of a loaded function");
    alive.assert_all_right("health checks");
    unknown.assert_all_right("calls of unknown functions");
    assert_eq!(usual.answered(), USUAL_CLIENTS * USUAL_CALLS);
    assert!(alive.answered() > 10);
    assert!(unknown.answered() > UNKNOWN_CLIENTS);
    assert!(front_end.descriptors() <= SOCKETS);
}

/// Has as many clients call unknown functions as there are connections, and waits until the front end holds them.
fn fill_with_waiting_calls(front_end: &GatewayProcess, connections: usize) -> Vec<Client> {
    let before = front_end.descriptors();
    let clients: Vec<Client> = (0..connections as u64)
        .map(|number| {
            let mut client = Client::to(front_end.address);
            client.send(&unknown_call(number).text());
            client
        })
        .collect();
    until("the front end holds the calls", || {
        front_end.descriptors() >= before + connections
    });
    clients
}

// Guards against requests that are lost at a planned restart: connections stayed in the accept queue until the process
// ended, as waiting calls held all client connections.
#[test]
fn a_shutdown_with_all_connections_held_by_waiting_calls_answers_queued_clients() {
    let worker = worker_with_one_function();
    let mut process = GatewayProcess::start(&PlatformConfiguration {
        sockets: SOCKETS,
        ..configuration_for(&[&worker])
    });
    drop(process.warm_client());
    let mut waiting = fill_with_waiting_calls(&process, CLIENT_CONNECTIONS);
    process.signal(Signal::TERM);
    let mut usual: Vec<Client> = (0..12)
        .map(|id| {
            let mut client = Client::to(process.address);
            client.send(&usual_call(100 + id).text());
            client
        })
        .collect();
    let served = usual.iter_mut().filter_map(Client::answer_status);
    assert_eq!(served.filter(|status| *status == 200).count(), 12);
    let answered = waiting.iter_mut().filter_map(Client::answer_status);
    assert_eq!(answered.count(), CLIENT_CONNECTIONS);
    assert_eq!(process.exit_code(), Some(0));
}

// Guards against a front end that stays without descriptors while waiting calls hold all of them.
#[test]
fn waiting_calls_give_way_when_no_descriptor_is_left() {
    let worker = worker_with_one_function();
    let process = GatewayProcess::start(&configuration_for(&[&worker]));
    drop(process.warm_client());
    let waiting = fill_with_waiting_calls(&process, 40);
    // Fewer descriptors than are open, although the configuration allows far more connections.
    process.limit_descriptors(process.descriptors() as u64 - 5);
    for id in 0..20 {
        let mut new = Client::to(process.address);
        let (status, took) = request(&mut new, process.address, &usual_call(10 + id).text());
        assert_eq!(status, Some(200), "call {id} on a new connection");
        assert!(
            took < Duration::from_millis(USUAL_TIMEOUT_MS),
            "call {id} took {took:?}"
        );
        // The connection is kept, so that the next one needs another descriptor.
        std::mem::forget(new);
    }
    drop(waiting);
}

// Guards against health checks and calls that are not answered while calls at workers hold all client connections.
#[test]
fn clients_that_find_only_calls_at_workers_are_answered_at_once() {
    let workers: Vec<Worker> = (0..8)
        .map(|_| Worker::start(serving(|_| Some((Vec::new(), true)))))
        .collect();
    let process = GatewayProcess::start(&PlatformConfiguration {
        sockets: SOCKETS,
        ..configuration_for(&workers.iter().collect::<Vec<_>>())
    });
    let sent = || -> usize {
        let of_worker = |worker: &Worker| worker.commands("fire").len();
        workers.iter().map(of_worker).sum()
    };
    // Each of them calls a function of its own, and no worker answers.
    let mut at_workers: Vec<Client> = (0..CLIENT_CONNECTIONS as u64)
        .map(|id| {
            let mut client = Client::to(process.address);
            let own_function = Call {
                function: 100 + id,
                ..call(id).with_timeout_ms(UNKNOWN_TIMEOUT_MS)
            };
            client.send(&own_function.text());
            client
        })
        .collect();
    until("all calls are at workers", || sent() >= CLIENT_CONNECTIONS);
    let began = Instant::now();
    for number in 0..40 {
        let mut alive = Client::to(process.address);
        let (status, _) = request(&mut alive, process.address, ALIVE);
        assert_eq!(status, Some(200), "health check {number}");
        let mut new = Client::to(process.address);
        // The only lanes of this function are in use.
        let waiting = Call {
            function: 100,
            ..call(1_000 + number)
        };
        new.send(&waiting.text());
        at_workers.push(new);
    }
    assert!(
        began.elapsed() < Duration::from_millis(USUAL_TIMEOUT_MS),
        "40 health checks took {:?}",
        began.elapsed()
    );
    let statuses: Vec<_> = at_workers.iter_mut().map(Client::answer_status).collect();
    assert!(
        statuses.iter().all(Option::is_some),
        "a call was not answered: {statuses:?}"
    );
    assert!(process.descriptors() <= SOCKETS);
}

// Guards against refused calls of loaded functions: load requests that were not answered held all connections to workers.
#[test]
fn load_requests_of_unknown_functions_leave_connections_for_calls() {
    let has_usual_function = |command: &worker::WorkerCommand| {
        let usual = format!("asset={:016x}", call(0).function);
        command.words[2].contains(&usual)
    };
    // The workers never answer a request to load an unknown function.
    let silent_on_unknown = move || {
        Worker::start(Box::new(move |command: &worker::WorkerCommand| {
            let answer = match command.name() {
                "provision" if has_usual_function(command) => worker::loaded(command),
                "fire" => served(command),
                _ => Vec::new(),
            };
            (answer, true)
        }))
    };
    let workers: Vec<Worker> = (0..12).map(|_| silent_on_unknown()).collect();
    // Eight connections to workers, with one request at a time on each.
    let process = GatewayProcess::start(&PlatformConfiguration {
        sockets: SOCKETS,
        multiplex: 1,
        ..configuration_for(&workers.iter().collect::<Vec<_>>())
    });
    let mut usual = process.warm_client();
    let waiting = fill_with_waiting_calls(&process, CLIENT_CONNECTIONS - 4);
    let unknown_loads = || -> usize {
        let of_worker = |worker: &Worker| worker.commands("provision").len();
        workers.iter().map(of_worker).sum()
    };
    until("workers are asked to load", || unknown_loads() >= 4);
    for id in 0..50 {
        let (status, _) = request(&mut usual, process.address, &usual_call(100 + id).text());
        assert_eq!(status, Some(200), "call {id}");
    }
    drop(waiting);
}
