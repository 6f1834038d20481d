//! Functions that a fleet agrees on one by one, with a voter and another front end on real sockets, an unmodified client and a worker.

use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::{Fields, Value};
use tansy_path_tests::scoped_fleet::{ScopedFleet, SCOPED_FUNCTIONS};
use tansy_path_tests::{
    pb, request, retry_pushback, run, wait_until, Account, Client, GatewayThread,
};
use tansy_test_support::fleet::{built_program, front_end_command};
use tansy_test_support::process::ServerProcess;
use tonic::{Code, Status};

/// Longest time to the answer to the first call of a function.
const MAX_FIRST_CALL_TIME: Duration = Duration::from_millis(490);

fn fields(class: &str, lanes: i64) -> Fields {
    let text = |text: &str| Value::Text(text.into());
    [
        ("class", text(class)),
        ("lanes", Value::Int(lanes)),
        ("memory", Value::Bytes(100_000_000)),
    ]
    .map(|(name, value)| (name.to_string(), value))
    .into()
}

/// Makes a call. Returns its result and its duration.
fn call(gateway: &GatewayThread, function: &str) -> (Result<String, Status>, Duration) {
    run(async {
        let mut client = gateway.client().await;
        let started = Instant::now();
        let result = client.model_infer(request(function, "mine", &[])).await;
        (result.map(|reply| reply.into_inner().id), started.elapsed())
    })
}

fn code(gateway: &GatewayThread, function: &str) -> Code {
    call(gateway, function)
        .0
        .map_or_else(|status| status.code(), |_| Code::Ok)
}

#[test]
fn a_fleet_without_scoped_functions_serves_those_of_its_settings() {
    let fleet = ScopedFleet::start("bare");
    for gateway in fleet.both() {
        assert_eq!(
            [
                code(gateway, "echo"),
                code(gateway, "a0"),
                code(gateway, "echo")
            ],
            [Code::Ok, Code::NotFound, Code::Ok]
        );
        let account = gateway.account();
        account.check();
        assert_eq!(
            ["taken", "served", "unknown"].map(|name| account.get(name)),
            [2, 2, 1]
        );
    }
}

fn is_model_ready(gateway: &GatewayThread, name: &str) -> bool {
    run(async {
        let request = pb::ModelReadyRequest {
            name: name.into(),
            version: String::new(),
        };
        let mut client = gateway.client().await;
        let reply = client.model_ready(request).await;
        reply.is_ok_and(|reply| reply.into_inner().ready)
    })
}

/// The lanes of `a0`, if the gateway knows it.
fn lanes(gateway: &GatewayThread) -> Option<u32> {
    gateway.with(|gateway| {
        gateway
            .driver()
            .with_dispatcher(|d| d.function("a0").map(|function| function.lanes))
    })
}

/// Changes a function, removes one, and sets one that was called before it existed.
fn check_changed_functions(fleet: &mut ScopedFleet) {
    fleet.set(&["a0"], Some(&fields("safe", 3)));
    fleet.set(&["a1"], None);
    fleet.set(&["b0"], Some(&fields("safe", 64)));
    for gateway in fleet.both() {
        wait_until("the last change is in force", || {
            code(gateway, "b0") == Code::Ok
        });
        assert_eq!(
            [code(gateway, "a0"), code(gateway, "a1")],
            [Code::Ok, Code::NotFound]
        );
    }
    assert_eq!(fleet.both().map(lanes), [Some(3), Some(3)]);
}

#[test]
fn the_first_call_of_a_function_is_served_once_the_voter_has_described_it() {
    let mut fleet = ScopedFleet::start("first");
    fleet.set(&SCOPED_FUNCTIONS[..5], Some(&fields("unsafe", 64)));
    // The quickest of five first calls counts, as a busy machine may delay some of them.
    let first_call = |function: &&str| {
        let (end, took) = call(&fleet.front_end, function);
        assert_eq!(end.as_deref().ok(), Some("mine"), "{function}: {end:?}");
        took
    };
    let calls = SCOPED_FUNCTIONS[..5].iter();
    let quickest = calls.map(first_call).min().expect("five");
    assert!(quickest < MAX_FIRST_CALL_TIME, "{quickest:?}");
    let ran: u64 = fleet.workers.ran().iter().sum();
    assert_eq!(ran, 5, "each ran once");
    // The voter serves scoped functions too; a function that was not set is not found; one of the settings is still served.
    assert_eq!(
        [code(&fleet.voter, "a0"), code(&fleet.voter, "a1")],
        [Code::Ok, Code::Ok]
    );
    for gateway in fleet.both() {
        assert_eq!(
            [code(gateway, "b0"), code(gateway, "echo")],
            [Code::NotFound, Code::Ok]
        );
    }
    // A request whether a function is ready starts its lookup.
    let ready = |name: &str| is_model_ready(&fleet.voter, name);
    wait_until("a2 is known", || ready("a2"));
    assert_eq!([ready("echo"), ready("nothing")], [true, false]);
    check_changed_functions(&mut fleet);
    for gateway in fleet.both() {
        gateway.account().check();
    }
}

/// Blocks a gateway's thread until the returned sender is dropped, as if its process were stopped.
fn suspend(gateway: &GatewayThread) -> mpsc::Sender<()> {
    let (resume, wait) = mpsc::channel();
    let (suspended, is_suspended) = mpsc::channel();
    gateway.post(move |_| {
        suspended.send(()).expect("the test waits");
        let _ = wait.recv();
    });
    is_suspended.recv().expect("the gateway runs");
    resume
}

/// Makes a first call that is refused with a retry pushback. Returns its duration.
fn refused_first_call(gateway: &GatewayThread, function: &str) -> Duration {
    let (end, took) = call(gateway, function);
    let status = end.expect_err("the voter does not answer");
    let pushback = retry_pushback(&status).and_then(|text| text.parse().ok());
    let pushback: i64 = pushback.expect("a retry pushback");
    assert!(
        status.code() == Code::Unavailable && pushback > 0,
        "{status:?}"
    );
    took
}

/// Makes a call and disconnects while it waits for the voter's answer.
fn disconnect_while_waiting(gateway: &GatewayThread, function: &str) {
    run(async {
        let mut client = gateway.client().await;
        tokio::select! {
            end = client.model_infer(request(function, "x", &[])) => panic!("the call does not wait: {end:?}"),
            () = gateway.until_call_is_pending() => {}
        }
    });
    wait_until("no call waits", || gateway.pending_calls() == 0);
}

#[test]
fn without_the_voter_known_functions_are_served_and_a_first_call_is_refused_in_time() {
    let mut fleet = ScopedFleet::start("gone");
    fleet.set(&SCOPED_FUNCTIONS, Some(&fields("unsafe", 64)));
    let front_end = &fleet.front_end;
    assert_eq!(code(front_end, "a0"), Code::Ok);
    let resume = suspend(&fleet.voter);
    let calls = SCOPED_FUNCTIONS[3..].iter();
    let quickest = calls.map(|function| refused_first_call(front_end, function));
    let quickest = quickest.min().expect("five");
    assert!(quickest < MAX_FIRST_CALL_TIME, "{quickest:?}");
    assert_eq!(code(front_end, "a0"), Code::Ok);
    let ran_before: u64 = fleet.workers.ran().iter().sum();
    disconnect_while_waiting(front_end, "a1");
    drop(resume);
    // The voter now answers the lookup of the abandoned call as well.
    wait_until("a2 is served", || code(front_end, "a2") == Code::Ok);
    let account = front_end.account();
    account.check();
    assert_eq!(account.get("departed"), 1);
    let ran: u64 = fleet.workers.ran().iter().sum();
    assert_eq!(
        (ran, account.get("served")),
        (ran_before + 1, 3),
        "the abandoned call must not run"
    );
}

/// Starts a third front end of the fleet as a process.
fn start_process(fleet: &ScopedFleet) -> ServerProcess {
    let settings = fleet.folder.write("f2.cue", &fleet.settings);
    let workers = format!(
        "workers: [{{name: \"w0\", address: \"{}\"}}]\n",
        fleet.workers.addresses[0]
    );
    let workers = fleet.folder.write("workers.cue", &workers);
    let gateway = built_program("tansy-gateway").expect("cargo build -p tansy-gateway first");
    let any_port = ([127, 0, 0, 1], 0).into();
    let mut command = front_end_command(&gateway, &settings.expect("a file"), "f2", any_port);
    command.arg("--workers").arg(workers.expect("a file"));
    ServerProcess::start(&mut command).expect("a gateway")
}

async fn connect(address: SocketAddr) -> Client {
    let channel = tonic::transport::Channel::from_shared(format!("http://{address}"));
    let channel = channel.expect("an address").connect().await;
    Client::new(channel.expect("the gateway accepts connections"))
}

fn account(http: SocketAddr) -> String {
    let mut socket = TcpStream::connect(http).expect("a connection");
    socket
        .write_all(b"GET /account HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n")
        .expect("the request is written");
    let mut text = String::new();
    let _ = socket.read_to_string(&mut text);
    text
}

/// Suspends the voter, again and again until a call at the front end waits for a lookup instead of ending with NOT_FOUND.
async fn suspend_during_lookup(client: &mut Client, voter: &GatewayThread) -> mpsc::Sender<()> {
    // Once `echo` is served, the front end holds a lease and a session.
    while client
        .model_infer(request("echo", "warm", &[]))
        .await
        .is_err()
    {}
    loop {
        let resume = suspend(voter);
        let end = client.model_infer(request("a0", "mine", &[])).await;
        // Until the front end knows that functions are agreed on one by one, it answers NOT_FOUND without a lookup.
        if end.is_err_and(|status| status.code() == Code::Unavailable) {
            return resume;
        }
    }
}

#[test]
fn a_call_that_waits_at_sigterm_is_answered_once_and_the_process_exits_cleanly() {
    let mut fleet = ScopedFleet::start("term");
    fleet.set(&["a0"], Some(&fields("unsafe", 64)));
    let mut process = start_process(&fleet);
    let grpc = process.address("grpc").expect("an address");
    let http = process.address("http").expect("an address");
    let resume = run(async {
        let mut client = connect(grpc).await;
        let resume = suspend_during_lookup(&mut client, &fleet.voter).await;
        let call =
            tokio::spawn(async move { client.model_infer(request("a0", "mine", &[])).await });
        tokio::task::spawn_blocking(move || {
            wait_until("the call waits", || account(http).contains("parked=1"))
        })
        .await
        .expect("the call waits");
        process.signal(Signal::TERM).expect("the process runs");
        let end = call.await.expect("the call ends");
        let status = end.expect_err("the voter does not answer");
        assert_eq!(
            (status.code(), retry_pushback(&status)),
            (Code::Unavailable, Some("0")),
            "{status:?}"
        );
        resume
    });
    let (status, rest) = process.wait().expect("an exit status");
    assert!(status.success());
    let account = Account::from(rest.clone());
    let ends = ["served", "refused", "failed", "departed"];
    let ends: u64 = ends.iter().map(|name| account.get(name)).sum();
    assert_eq!(
        ["taken", "open", "guarded"].map(|name| account.get(name)),
        [ends, 0, 0],
        "{rest}"
    );
    drop(resume);
}
