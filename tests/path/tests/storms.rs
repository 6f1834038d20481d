//! Peers that answer at once and wrongly: what a front end sends them in five seconds is bounded, whatever waits.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_path_tests::{request, Account, Client, GatewayThread, ListedWorker, Workers};

/// How long each worker gets calls.
const CALLS_FOR: Duration = Duration::from_secs(5);
/// Calls open at once.
const OPEN_CALLS: usize = 32;
/// Between the end of a client's call and its next one.
const BETWEEN_CALLS: Duration = Duration::from_millis(100);

const SETTINGS: &str = r#"
classes: patient: {aim: 1s, deadline: 30s, late_worth: 0.5}
functions: {
    echo: {class: "patient", lanes: 64, memory: 100MB, load_time: 5ms}
    keyed: {class: "patient", lanes: 64, memory: 100MB, load_time: 5ms}
}
"#;

/// One call after the other until this time, each with the time that is left.
async fn call_again_and_again(mut client: Client, index: usize, end: Instant) {
    let function = if index.is_multiple_of(2) {
        "echo"
    } else {
        "keyed"
    };
    let mut number = 0;
    while let Some(left) = end.checked_duration_since(Instant::now()) {
        let id = format!("{index}-{number}");
        let mut call = tonic::Request::new(request(function, &id, &[]));
        call.set_timeout(left);
        let _ = client.model_infer(call).await;
        number += 1;
        // A client that is answered at once does not ask at its own loop's speed either.
        tokio::time::sleep(BETWEEN_CALLS).await;
    }
}

/// Keeps calls open for five seconds on a gateway with one worker at this address: its account.
fn call_worker_at(address: SocketAddr) -> Account {
    let gateway = GatewayThread::start(SETTINGS, &[ListedWorker::ready("w", address)]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let client = gateway.client().await;
        let end = Instant::now() + CALLS_FOR;
        let mut tasks = tokio::task::JoinSet::new();
        for index in 0..OPEN_CALLS {
            tasks.spawn(call_again_and_again(client.clone(), index, end));
        }
        tasks.join_all().await;
    });
    let account = gateway.account();
    account.check();
    account
}

fn call_faulty_worker(fault: &'static str) -> Account {
    let workers = Workers::start(1);
    workers.fault(fault);
    call_worker_at(workers.addresses[0])
}

/// The most load requests in five seconds at one worker with two functions: each instance at once, once more, and after half a
/// second, one, two and four; what its probes and trials leave between.
const MOST_LOADS: u64 = 2 * 8;

fn check_loads_are_few(peer: &str, account: &Account) {
    assert!(
        account.get("loads") + account.get("asks") <= MOST_LOADS,
        "{peer}: {account:?}"
    );
    assert!(
        account.get("loads") >= 2,
        "{peer} was asked to load at all: {account:?}"
    );
    assert!(account.get("probes") <= 12, "{peer}: {account:?}");
    assert!(
        account.get("attempts") <= 4 * account.get("taken"),
        "{peer}: {account:?}"
    );
}

#[test]
fn a_worker_that_is_no_model_server_is_ordered_seldom() {
    // OK with the request's bytes, UNIMPLEMENTED, UNAVAILABLE, PERMISSION_DENIED, RESOURCE_EXHAUSTED, INTERNAL.
    let peers = [
        "hollow",
        "hollow=12",
        "hollow=14",
        "hollow=7",
        "hollow=8",
        "hollow=13",
    ];
    let peers = peers.map(|word| (word, std::thread::spawn(move || call_faulty_worker(word))));
    for (word, thread) in peers {
        let account = thread.join().expect("no panic");
        check_loads_are_few(word, &account);
        assert_eq!(account.get("attempts"), 0, "{word}: {account:?}");
        assert!(account.get("vain") > 0, "{word}: {account:?}");
    }
}

#[test]
fn a_worker_that_boasts_of_loads_and_misses_every_call_is_ordered_seldom() {
    let account = call_faulty_worker("boast");
    check_loads_are_few("boast", &account);
    // Each load request reported an instance; the calls that then miss are those that were under way.
    assert!(account.get("attempts") <= MOST_LOADS * 4, "{account:?}");
}

#[test]
fn a_worker_that_turns_every_stream_away_is_ordered_seldom() {
    for word in ["refuse", "reset=1"] {
        let account = call_faulty_worker(word);
        check_loads_are_few(word, &account);
    }
}

/// A listener that ends each connection at once; counts them.
fn start_closing_listener() -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicU64::new(0));
    let counted = count.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            drop(socket);
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    (address, count)
}

#[test]
fn a_port_that_ends_or_refuses_every_connection_is_tried_seldom() {
    let (address, count) = start_closing_listener();
    let account = call_worker_at(address);
    let connects = count.load(Ordering::Relaxed);
    assert!(
        connects <= 24 && connects > 0,
        "{connects} connections in 5 s: {account:?}"
    );
    check_loads_are_few("closer", &account);
    let refused = {
        // Bound, then closed: nobody listens there.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    check_loads_are_few("refused connect", &call_worker_at(refused));
}
