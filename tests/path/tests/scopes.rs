//! Calls of functions that the settings don't name, with a scripted function directory: which calls wait, and how each wait ends.

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tansy_dispatch::{FunctionShape, Input};
use tansy_net_inference::{DirectoryEntry, FunctionDirectory};
use tansy_path_tests::{
    id, is_last, request, retry_pushback, run, settings_of_echo, wait_until, GatewayThread,
    Workers, SETTINGS,
};
use tokio_stream::StreamExt;
use tonic::{Code, Status};

/// The answer of the scripted directory to every lookup.
#[derive(Clone, Copy, PartialEq)]
enum DirectoryAnswer {
    Class(&'static str),
    Refused,
    Unknown,
    Pending,
}

struct Script {
    answer: DirectoryAnswer,
    lookups: Vec<String>,
}

struct ScriptedDirectory(Arc<Mutex<Script>>);

impl FunctionDirectory for ScriptedDirectory {
    fn lookup(&self, function: &str) -> DirectoryEntry {
        let mut script = self.0.lock().expect("no panic");
        script.lookups.push(function.into());
        let shape = FunctionShape {
            lanes: 64,
            memory_mb: 100.0,
            load_time: Some(5_000),
        };
        match script.answer {
            DirectoryAnswer::Class(class) => DirectoryEntry::Known {
                class: class.into(),
                shape,
            },
            DirectoryAnswer::Refused => DirectoryEntry::Refused,
            DirectoryAnswer::Unknown => DirectoryEntry::Unknown,
            DirectoryAnswer::Pending => DirectoryEntry::Pending,
        }
    }
}

/// A gateway whose settings name only `echo`, a worker that also has `post`, and a scripted directory.
struct TestSetup {
    gateway: GatewayThread,
    workers: Workers,
    script: Arc<Mutex<Script>>,
}

impl TestSetup {
    fn start(answer: DirectoryAnswer) -> TestSetup {
        let workers = Workers::start(1);
        let gateway = GatewayThread::start(&settings_of_echo(), &workers.listed());
        let script = Arc::new(Mutex::new(Script {
            answer,
            lookups: Vec::new(),
        }));
        let shared = script.clone();
        gateway.with(move |g| g.driver().set_directory(Rc::new(ScriptedDirectory(shared))));
        TestSetup {
            gateway,
            workers,
            script,
        }
    }

    /// Changes the directory's answer, and repeats the lookups of waiting calls.
    fn set_answer(&self, answer: DirectoryAnswer) {
        self.script.lock().expect("no panic").answer = answer;
        self.gateway.with(|g| g.driver().resolve_pending());
    }

    fn lookups(&self) -> Vec<String> {
        self.script.lock().expect("no panic").lookups.clone()
    }

    /// Waits until this many calls wait.
    fn wait_for_pending_calls(&self, calls: usize) {
        wait_until("the number of waiting calls is reached", || {
            self.gateway.pending_calls() == calls
        });
    }

    fn counts(&self, names: [&str; 4]) -> [u64; 4] {
        let account = self.gateway.account();
        account.check();
        names.map(|name| account.get(name))
    }

    /// Calls `post`, and returns the result.
    fn call_post(&self) -> Result<String, Status> {
        self.call_post_during(|| {})
    }

    /// Calls `post` and runs `during` in the meantime. Returns the result of the call.
    fn call_post_during(&self, during: impl FnOnce()) -> Result<String, Status> {
        std::thread::scope(|threads| {
            let call = threads.spawn(|| {
                run(async {
                    let mut client = self.gateway.client().await;
                    let reply = client.model_infer(request("post", "mine", &[])).await?;
                    Ok(reply.into_inner().id)
                })
            });
            during();
            call.join().expect("the call ends")
        })
    }
}

/// Makes 20 unary and 20 streamed calls of `echo`, and returns their results.
fn call_echo(gateway: &GatewayThread) -> Vec<Result<String, Code>> {
    run(async {
        let mut client = gateway.client().await;
        let mut ends = Vec::new();
        for number in 0..20 {
            let call = request("echo", &number.to_string(), &[("pieces", 2)]);
            let reply = client.model_infer(call.clone()).await;
            ends.push(
                reply
                    .map(|reply| reply.into_inner().id)
                    .map_err(|status| status.code()),
            );
            let calls = tokio_stream::iter(vec![call]);
            let pieces = client.model_stream_infer(calls).await.unwrap().into_inner();
            let pieces: Vec<_> = pieces.map(|piece| piece.unwrap()).collect().await;
            ends.extend(
                pieces
                    .iter()
                    .map(|piece| Ok(format!("{} {}", id(piece), is_last(piece)))),
            );
        }
        ends
    })
}

#[test]
fn functions_of_the_settings_are_never_looked_up_and_are_served_as_without_a_directory() {
    let setup = TestSetup::start(DirectoryAnswer::Refused);
    let workers = Workers::start(1);
    let without_directory = GatewayThread::start(SETTINGS, &workers.listed());
    assert_eq!(call_echo(&setup.gateway), call_echo(&without_directory));
    assert_eq!(setup.lookups(), Vec::<String>::new());
    let counts = |gateway: &GatewayThread| {
        ["taken", "served", "refused", "attempts", "pieces"].map(|name| gateway.account().get(name))
    };
    assert_eq!(counts(&setup.gateway), counts(&without_directory));
}

#[test]
fn a_call_that_waited_is_served_once_its_function_is_known() {
    let setup = TestSetup::start(DirectoryAnswer::Pending);
    let end = setup.call_post_during(|| {
        setup.wait_for_pending_calls(1);
        setup.set_answer(DirectoryAnswer::Pending);
        setup.set_answer(DirectoryAnswer::Class("unsafe"));
    });
    assert_eq!(end.unwrap(), "mine");
    assert_eq!(setup.workers.ran(), [1]);
    assert_eq!(
        setup.counts(["taken", "served", "refused", "unknown"]),
        [1, 1, 0, 0]
    );
    // Each further call looks the function up once and does not wait.
    let before = setup.lookups().len();
    assert_eq!(setup.call_post().unwrap(), "mine");
    assert_eq!(setup.lookups().len(), before + 1);
}

#[test]
fn a_call_whose_lookup_stays_pending_is_refused_with_a_pushback_within_half_a_second() {
    let setup = TestSetup::start(DirectoryAnswer::Pending);
    // The quickest of five calls counts, as a busy machine may delay some of them.
    let refused = || {
        let started = Instant::now();
        let status = setup.call_post().unwrap_err();
        assert_eq!(
            (status.code(), retry_pushback(&status).is_some()),
            (Code::Unavailable, true),
            "{status:?}"
        );
        started.elapsed()
    };
    let quickest = (0..5).map(|_| refused()).min().unwrap();
    assert!(quickest < Duration::from_millis(500), "{quickest:?}");
    assert_eq!(setup.workers.ran(), [0]);
    assert_eq!(
        setup.counts(["taken", "refused", "contested", "attempts"]),
        [5, 5, 5, 0]
    );
}

#[test]
fn a_late_lookup_ends_a_call_as_an_immediate_one_does() {
    let cases = [
        (DirectoryAnswer::Refused, Code::Unavailable, true),
        (DirectoryAnswer::Unknown, Code::NotFound, true),
        // A class that the settings don't define is treated like a refused lookup.
        (DirectoryAnswer::Class("nobody's"), Code::Unavailable, true),
    ];
    for (answer, code, has_pushback) in cases {
        let setup = TestSetup::start(answer);
        let at_once = setup.call_post().unwrap_err();
        setup.set_answer(DirectoryAnswer::Pending);
        let later = setup.call_post_during(|| {
            setup.wait_for_pending_calls(1);
            setup.set_answer(answer);
        });
        let later = later.unwrap_err();
        assert_eq!(
            (later.code(), retry_pushback(&later).is_some()),
            (code, has_pushback),
            "{later:?}"
        );
        assert_eq!(
            (later.code(), later.message()),
            (at_once.code(), at_once.message())
        );
        assert_eq!(setup.workers.ran(), [0]);
        let unknown = if answer == DirectoryAnswer::Unknown {
            2
        } else {
            0
        };
        assert_eq!(
            setup.counts(["taken", "refused", "unknown", "attempts"]),
            [2 - unknown, 2 - unknown, unknown, 0]
        );
    }
}

#[test]
fn a_waiting_call_whose_client_disconnects_is_not_sent_to_a_worker() {
    let setup = TestSetup::start(DirectoryAnswer::Pending);
    run(async {
        let mut client = setup.gateway.client().await;
        tokio::select! {
            end = client.model_infer(request("post", "x", &[])) => panic!("the call does not wait: {end:?}"),
            () = setup.gateway.until_call_is_pending() => {}
        }
    });
    setup.wait_for_pending_calls(0);
    setup.set_answer(DirectoryAnswer::Class("unsafe"));
    assert_eq!(
        setup.counts(["taken", "departed", "refused", "attempts"]),
        [1, 1, 0, 0]
    );
    assert_eq!(setup.workers.ran(), [0]);
}

#[test]
fn a_shutdown_answers_each_waiting_call_once_and_immediately() {
    let setup = TestSetup::start(DirectoryAnswer::Pending);
    let end = setup.call_post_during(|| {
        setup.wait_for_pending_calls(1);
        setup
            .gateway
            .with(|g| g.driver().feed(Input::Shutdown { grace: 10_000_000 }));
        setup.set_answer(DirectoryAnswer::Class("unsafe"));
    });
    let status = end.unwrap_err();
    assert_eq!(
        (status.code(), retry_pushback(&status)),
        (Code::Unavailable, Some("0")),
        "{status:?}"
    );
    let late = setup.call_post().unwrap_err();
    assert_eq!(
        (late.code(), retry_pushback(&late)),
        (Code::Unavailable, Some("0")),
        "{late:?}"
    );
    assert_eq!(
        setup.counts(["taken", "refused", "served", "attempts"]),
        [2, 2, 0, 0]
    );
    assert_eq!(setup.workers.ran(), [0]);
}

#[test]
fn calls_of_one_stream_wait_independently() {
    let setup = TestSetup::start(DirectoryAnswer::Pending);
    run(async {
        let mut client = setup.gateway.client().await;
        let calls = [("echo", "named"), ("post", "a"), ("post", "b")];
        let calls = calls.map(|(function, id)| request(function, id, &[]));
        let reply = client.model_stream_infer(tokio_stream::iter(calls)).await;
        let mut pieces = reply.unwrap().into_inner();
        let first = pieces.next().await.unwrap().unwrap();
        assert_eq!((id(&first), first.error_message.as_str()), ("named", ""));
        while setup.gateway.pending_calls() < 2 {
            tokio::task::yield_now().await;
        }
        setup.set_answer(DirectoryAnswer::Class("safe"));
        let rest = pieces.map(|piece| piece.unwrap()).filter(is_last);
        let mut rest: Vec<_> = rest.collect().await;
        rest.sort_by_key(|piece| id(piece).to_string());
        let rest: Vec<_> = rest
            .iter()
            .map(|piece| (id(piece), piece.error_message.as_str()))
            .collect();
        assert_eq!(rest, [("a", ""), ("b", "")]);
    });
    assert_eq!(
        setup.counts(["taken", "served", "refused", "unknown"]),
        [3, 3, 0, 0]
    );
}
