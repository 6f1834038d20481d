//! Peers that answer at once and wrongly: what a front end sends them in five seconds is bounded, whatever waits.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_path_tests::{request, Account, Gate, Workers};

/// How long each peer is tried.
const SPAN: Duration = Duration::from_secs(5);
/// Calls open at once.
const OPEN: usize = 32;

const SETTINGS: &str = r#"
classes: patient: {aim: 1s, deadline: 30s, late_worth: 0.5}
functions: {
    echo: {class: "patient", lanes: 64, memory: 100MB, load_time: 5ms}
    keyed: {class: "patient", lanes: 64, memory: 100MB, load_time: 5ms}
}
"#;

/// Has calls wait for five seconds on a gateway with one worker at this address; gives its account.
fn try_peer(address: SocketAddr) -> Account {
    let gate = Gate::start(SETTINGS, &[("w", address)]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let c = gate.client().await;
        let end = Instant::now() + SPAN;
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..OPEN {
            let mut c = c.clone();
            tasks.spawn(async move {
                let mut k = 0;
                while let Some(left) = end.checked_duration_since(Instant::now()) {
                    let function = if n % 2 == 0 { "echo" } else { "keyed" };
                    let mut r = tonic::Request::new(request(function, &format!("{n}-{k}"), &[]));
                    r.set_timeout(left);
                    let _ = c.model_infer(r).await;
                    k += 1;
                    // A client that is answered at once does not ask at its own loop's speed either.
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        }
        tasks.join_all().await;
    });
    let account = gate.account();
    account.check();
    account
}

fn faulty(word: &'static str) -> Account {
    let workers = Workers::start(1);
    workers.fault(word);
    try_peer(workers.addresses[0])
}

/// The most orders in five seconds at one worker with two functions: each place at once, once more, and after half a
/// second, one, two and four; what its probes and trials leave between.
const MOST_ORDERS: u64 = 2 * 8;

fn orders_are_few(peer: &str, a: &Account) {
    assert!(
        a.get("loads") + a.get("asks") <= MOST_ORDERS,
        "{peer}: {a:?}"
    );
    assert!(a.get("loads") >= 2, "{peer} was ordered at all: {a:?}");
    assert!(a.get("probes") <= 12, "{peer}: {a:?}");
    assert!(a.get("attempts") <= 4 * a.get("taken"), "{peer}: {a:?}");
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
    let tried = peers.map(|word| (word, std::thread::spawn(move || faulty(word))));
    for (word, t) in tried {
        let a = t.join().expect("no panic");
        orders_are_few(word, &a);
        assert_eq!(a.get("attempts"), 0, "{word}: {a:?}");
        assert!(a.get("vain") > 0, "{word}: {a:?}");
    }
}

#[test]
fn a_worker_that_boasts_of_loads_and_misses_every_call_is_ordered_seldom() {
    let a = faulty("boast");
    orders_are_few("boast", &a);
    // Each order told of an instance; the calls that then miss are those that were under way.
    assert!(a.get("attempts") <= MOST_ORDERS * 4, "{a:?}");
}

#[test]
fn a_worker_that_turns_every_stream_away_is_ordered_seldom() {
    for word in ["refuse", "reset=1"] {
        let a = faulty(word);
        orders_are_few(word, &a);
    }
}

/// A listener that ends each connection at once; counts them.
fn closer() -> (SocketAddr, Arc<AtomicU64>) {
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
    let (address, count) = closer();
    let a = try_peer(address);
    let connects = count.load(Ordering::Relaxed);
    assert!(
        connects <= 24 && connects > 0,
        "{connects} connections in 5 s: {a:?}"
    );
    orders_are_few("closer", &a);
    let refused = {
        // Bound, then closed: nobody listens there.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    orders_are_few("refused connect", &try_peer(refused));
}
