//! Workers that answer immediately and wrongly must not cause retry storms: what a front end sends them is bounded, even while calls
//! wait.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansy_path_tests::{request, Account, Client, GatewayThread, ListedWorker, Workers};

/// How long clients call each worker.
const TEST_DURATION: Duration = Duration::from_secs(5);
/// Number of concurrent calls.
const CONCURRENT_CALLS: usize = 32;
/// Pause of a client between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

const SETTINGS: &str = r#"
classes: patient: {aim: 1s, deadline: 30s, late_worth: 0.5}
functions: {
    echo: {class: "patient", lanes: 64, memory: 100MB, load_time: 5ms}
    keyed: {class: "patient", lanes: 64, memory: 100MB, load_time: 5ms}
}
"#;

/// Makes one call after the other until `end`, each with the remaining time as its timeout.
async fn call_repeatedly(mut client: Client, index: usize, end: Instant) {
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
        // Without a pause a client whose calls fail immediately would loop without limit.
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}

/// Makes concurrent calls for [`TEST_DURATION`] to a gateway whose only worker has this address. Returns the gateway's account.
fn call_worker_at(address: SocketAddr) -> Account {
    let gateway = GatewayThread::start(SETTINGS, &[ListedWorker::ready("w", address)]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let client = gateway.client().await;
        let end = Instant::now() + TEST_DURATION;
        let mut tasks = tokio::task::JoinSet::new();
        for index in 0..CONCURRENT_CALLS {
            tasks.spawn(call_repeatedly(client.clone(), index, end));
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

/// Most load requests within [`TEST_DURATION`] to a worker with two functions. Per function: one at once, one retry, further ones with a
/// backoff that doubles from 0.5 s, and some after probes.
const MAX_LOADS: u64 = 2 * 8;

fn check_bounded(peer: &str, account: &Account) {
    assert!(
        account.get("loads") + account.get("asks") <= MAX_LOADS,
        "{peer}: {account:?}"
    );
    assert!(
        account.get("loads") >= 2,
        "{peer} got too few load requests: {account:?}"
    );
    assert!(account.get("probes") <= 12, "{peer}: {account:?}");
    assert!(
        account.get("attempts") <= 4 * account.get("taken"),
        "{peer}: {account:?}"
    );
}

#[test]
fn a_worker_that_is_no_model_server_gets_few_load_requests() {
    // OK with an echo of the request's bytes, UNIMPLEMENTED, UNAVAILABLE, PERMISSION_DENIED, RESOURCE_EXHAUSTED, INTERNAL.
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
        check_bounded(word, &account);
        assert_eq!(account.get("attempts"), 0, "{word}: {account:?}");
        assert!(account.get("vain") > 0, "{word}: {account:?}");
    }
}

#[test]
fn a_worker_that_reports_loads_and_misses_every_call_gets_few_load_requests() {
    let account = call_faulty_worker("boast");
    check_bounded("boast", &account);
    // Each load request reports an instance; only calls that are sent before the next miss use it.
    assert!(account.get("attempts") <= MAX_LOADS * 4, "{account:?}");
}

#[test]
fn a_worker_that_rejects_every_stream_gets_few_load_requests() {
    for word in ["refuse", "reset=1"] {
        let account = call_faulty_worker(word);
        check_bounded(word, &account);
    }
}

/// Starts a listener that closes each connection immediately. Returns its address and the count of connections.
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
fn a_port_that_closes_or_refuses_every_connection_gets_few_connects() {
    let (address, count) = start_closing_listener();
    let account = call_worker_at(address);
    let connects = count.load(Ordering::Relaxed);
    assert!(
        connects <= 24 && connects > 0,
        "{connects} connections in 5 s: {account:?}"
    );
    check_bounded("closer", &account);
    let refused = {
        // Bound, then closed, so that connections are refused.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    check_bounded("refused connect", &call_worker_at(refused));
}
