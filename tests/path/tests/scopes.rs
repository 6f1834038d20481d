//! Calls of functions that the settings don't name, looked up by a script: what waits, and how each wait ends.

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tansy_dispatch::{FunctionShape, Input};
use tansy_net_inference::{DirectoryEntry, FunctionDirectory};
use tansy_path_tests::{
    id, is_last, request, retry_pushback, run, settings_of_echo, until, GatewayThread, Workers,
    SETTINGS,
};
use tokio_stream::StreamExt;
use tonic::{Code, Status};

/// What the scripted directory answers for every function that it is asked for.
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

/// A gateway whose settings name `echo` alone, one worker that has `post` as well, and a directory that answers for that.
struct Scene {
    gateway: GatewayThread,
    workers: Workers,
    script: Arc<Mutex<Script>>,
}

impl Scene {
    fn start(answer: DirectoryAnswer) -> Scene {
        let workers = Workers::start(1);
        let gateway = GatewayThread::start(&settings_of_echo(), &workers.listed());
        let script = Arc::new(Mutex::new(Script {
            answer,
            lookups: Vec::new(),
        }));
        let shared = script.clone();
        gateway.with(move |g| g.driver().set_directory(Rc::new(ScriptedDirectory(shared))));
        Scene {
            gateway,
            workers,
            script,
        }
    }

    /// The directory answers this from now on, and the functions of calls that wait are looked up again.
    fn set_answer(&self, answer: DirectoryAnswer) {
        self.script.lock().expect("no panic").answer = answer;
        self.gateway.with(|g| g.driver().resolve_pending());
    }

    fn lookups(&self) -> Vec<String> {
        self.script.lock().expect("no panic").lookups.clone()
    }

    /// Until so many calls wait.
    fn wait_for_pending_calls(&self, calls: usize) {
        until("they wait", || self.gateway.pending_calls() == calls);
    }

    fn counts(&self, names: [&str; 4]) -> [u64; 4] {
        let account = self.gateway.account();
        account.check();
        names.map(|name| account.get(name))
    }

    /// How a call of `post` ends.
    fn call_post(&self) -> Result<String, Status> {
        self.call_post_during(|| {})
    }

    /// How a call of `post` ends while the test does something to it.
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

/// How 20 unary calls and 20 calls of a stream of `echo` end.
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
fn functions_that_the_settings_name_are_never_looked_up_and_end_as_without_a_lookup() {
    let scene = Scene::start(DirectoryAnswer::Refused);
    let workers = Workers::start(1);
    let bare = GatewayThread::start(SETTINGS, &workers.listed());
    assert_eq!(call_echo(&scene.gateway), call_echo(&bare));
    assert_eq!(scene.lookups(), Vec::<String>::new());
    let counts = |gateway: &GatewayThread| {
        ["taken", "served", "refused", "attempts", "pieces"].map(|name| gateway.account().get(name))
    };
    assert_eq!(counts(&scene.gateway), counts(&bare));
}

#[test]
fn a_call_that_waited_is_served_once_its_function_is_known() {
    let scene = Scene::start(DirectoryAnswer::Pending);
    let end = scene.call_post_during(|| {
        scene.wait_for_pending_calls(1);
        scene.set_answer(DirectoryAnswer::Pending);
        scene.set_answer(DirectoryAnswer::Class("unsafe"));
    });
    assert_eq!(end.unwrap(), "mine");
    assert_eq!(scene.workers.ran(), [1]);
    assert_eq!(
        scene.counts(["taken", "served", "refused", "unknown"]),
        [1, 1, 0, 0]
    );
    // It is looked up again for each of its calls, and needs not wait.
    let before = scene.lookups().len();
    assert_eq!(scene.call_post().unwrap(), "mine");
    assert_eq!(scene.lookups().len(), before + 1);
}

#[test]
fn a_call_whose_function_stays_unknown_is_refused_with_advice_within_half_a_second() {
    let scene = Scene::start(DirectoryAnswer::Pending);
    // The quickest of five: a machine that is busy with other things may hold up one or another.
    let refused = || {
        let began = Instant::now();
        let status = scene.call_post().unwrap_err();
        assert_eq!(
            (status.code(), retry_pushback(&status).is_some()),
            (Code::Unavailable, true),
            "{status:?}"
        );
        began.elapsed()
    };
    let quickest = (0..5).map(|_| refused()).min().unwrap();
    assert!(quickest < Duration::from_millis(500), "{quickest:?}");
    assert_eq!(scene.workers.ran(), [0]);
    assert_eq!(
        scene.counts(["taken", "refused", "contested", "attempts"]),
        [5, 5, 5, 0]
    );
}

#[test]
fn what_is_found_ends_the_wait_with_the_answer_that_it_would_have_had_at_once() {
    let cases = [
        (DirectoryAnswer::Refused, Code::Unavailable, true),
        (DirectoryAnswer::Unknown, Code::NotFound, true),
        // A class that the settings don't have says nothing.
        (DirectoryAnswer::Class("nobody's"), Code::Unavailable, true),
    ];
    for (answer, code, advised) in cases {
        let scene = Scene::start(answer);
        let at_once = scene.call_post().unwrap_err();
        scene.set_answer(DirectoryAnswer::Pending);
        let later = scene.call_post_during(|| {
            scene.wait_for_pending_calls(1);
            scene.set_answer(answer);
        });
        let later = later.unwrap_err();
        assert_eq!(
            (later.code(), retry_pushback(&later).is_some()),
            (code, advised),
            "{later:?}"
        );
        assert_eq!(
            (later.code(), later.message()),
            (at_once.code(), at_once.message())
        );
        assert_eq!(scene.workers.ran(), [0]);
        let unknown = if answer == DirectoryAnswer::Unknown {
            2
        } else {
            0
        };
        assert_eq!(
            scene.counts(["taken", "refused", "unknown", "attempts"]),
            [2 - unknown, 2 - unknown, unknown, 0]
        );
    }
}

#[test]
fn a_client_that_leaves_while_its_call_waits_has_nothing_sent_to_a_worker() {
    let scene = Scene::start(DirectoryAnswer::Pending);
    run(async {
        let mut client = scene.gateway.client().await;
        tokio::select! {
            end = client.model_infer(request("post", "x", &[])) => panic!("nothing ends it: {end:?}"),
            () = scene.gateway.until_call_is_pending() => {}
        }
    });
    scene.wait_for_pending_calls(0);
    scene.set_answer(DirectoryAnswer::Class("unsafe"));
    assert_eq!(
        scene.counts(["taken", "departed", "refused", "attempts"]),
        [1, 1, 0, 0]
    );
    assert_eq!(scene.workers.ran(), [0]);
}

#[test]
fn a_close_while_calls_wait_gives_each_its_one_answer_at_once() {
    let scene = Scene::start(DirectoryAnswer::Pending);
    let end = scene.call_post_during(|| {
        scene.wait_for_pending_calls(1);
        scene
            .gateway
            .with(|g| g.driver().feed(Input::Shutdown { grace: 10_000_000 }));
        scene.set_answer(DirectoryAnswer::Class("unsafe"));
    });
    let status = end.unwrap_err();
    assert_eq!(
        (status.code(), retry_pushback(&status)),
        (Code::Unavailable, Some("0")),
        "{status:?}"
    );
    let late = scene.call_post().unwrap_err();
    assert_eq!(
        (late.code(), retry_pushback(&late)),
        (Code::Unavailable, Some("0")),
        "{late:?}"
    );
    assert_eq!(
        scene.counts(["taken", "refused", "served", "attempts"]),
        [2, 2, 0, 0]
    );
    assert_eq!(scene.workers.ran(), [0]);
}

#[test]
fn calls_of_one_stream_wait_each_by_itself() {
    let scene = Scene::start(DirectoryAnswer::Pending);
    run(async {
        let mut client = scene.gateway.client().await;
        let calls = [("echo", "named"), ("post", "a"), ("post", "b")];
        let calls = calls.map(|(function, id)| request(function, id, &[]));
        let reply = client.model_stream_infer(tokio_stream::iter(calls)).await;
        let mut pieces = reply.unwrap().into_inner();
        let first = pieces.next().await.unwrap().unwrap();
        assert_eq!((id(&first), first.error_message.as_str()), ("named", ""));
        while scene.gateway.pending_calls() < 2 {
            tokio::task::yield_now().await;
        }
        scene.set_answer(DirectoryAnswer::Class("safe"));
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
        scene.counts(["taken", "served", "refused", "unknown"]),
        [3, 3, 0, 0]
    );
}
