//! Calls of functions that the settings don't name, looked up by a script: what waits, and how each wait ends.

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tansy_dispatch::{FunctionShape, Input};
use tansy_net_inference::{DirectoryEntry, FunctionDirectory};
use tansy_path_tests::{id, last, request, run, until, Gate, Workers, SETTINGS};
use tokio_stream::StreamExt;
use tonic::{Code, Status};

/// What the script says of every function that it is asked for.
#[derive(Clone, Copy, PartialEq)]
enum Says {
    Class(&'static str),
    Refused,
    Unknown,
    Wait,
}

#[derive(Default)]
struct Script {
    says: Option<Says>,
    asked: Vec<String>,
}

struct Scripted(Arc<Mutex<Script>>);

impl FunctionDirectory for Scripted {
    fn lookup(&self, function: &str) -> DirectoryEntry {
        let mut script = self.0.lock().expect("no panic");
        script.asked.push(function.into());
        match script.says.expect("the test said what is there") {
            Says::Class(class) => {
                let shape = FunctionShape {
                    lanes: 64,
                    memory_mb: 100.0,
                    load_time: Some(5_000),
                };
                DirectoryEntry::Known {
                    class: class.into(),
                    shape,
                }
            }
            Says::Refused => DirectoryEntry::Refused,
            Says::Unknown => DirectoryEntry::Unknown,
            Says::Wait => DirectoryEntry::Pending,
        }
    }
}

/// A gateway whose settings name `echo` alone, one worker that has `post` as well, and what the script says of that.
struct Scene {
    gate: Gate,
    workers: Workers,
    script: Arc<Mutex<Script>>,
}

impl Scene {
    fn start(says: Says) -> Scene {
        let workers = Workers::start(1);
        let settings = SETTINGS
            .lines()
            .filter(|l| !l.contains("    keyed: {c") && !l.contains("    post:"));
        let settings: Vec<&str> = settings.collect();
        let gate = Gate::start(&settings.join("\n"), &[("w0", workers.addresses[0])]);
        let script = Arc::new(Mutex::new(Script {
            says: Some(says),
            ..Script::default()
        }));
        let shared = script.clone();
        gate.with(move |g| g.driver().set_directory(Rc::new(Scripted(shared))));
        Scene {
            gate,
            workers,
            script,
        }
    }

    /// The script says something else from now on, and those that wait are looked up again.
    fn say(&self, says: Says) {
        self.script.lock().expect("no panic").says = Some(says);
        self.gate.with(|g| g.driver().resolve_pending());
    }

    /// Until so many calls wait.
    fn wait(&self, calls: usize) {
        until("they wait", || {
            self.gate
                .with(|g| g.driver().with_dispatcher(|f| f.pending_calls()))
                == calls
        });
    }

    fn counts(&self, names: [&str; 4]) -> [u64; 4] {
        let account = self.gate.account();
        account.check();
        names.map(|n| account.get(n))
    }
}

/// How a call of `post` ends while the test does something to it.
fn post(scene: &Scene, during: impl FnOnce(&Scene) + Send) -> Result<String, Status> {
    std::thread::scope(|threads| {
        let call = threads.spawn(|| {
            run(async {
                let mut c = scene.gate.client().await;
                Ok(c.model_infer(request("post", "mine", &[]))
                    .await?
                    .into_inner()
                    .id)
            })
        });
        during(scene);
        call.join().expect("the call ends")
    })
}

fn pushback(status: &Status) -> Option<&str> {
    status
        .metadata()
        .get("grpc-retry-pushback-ms")
        .and_then(|v| v.to_str().ok())
}

#[test]
fn functions_that_the_settings_name_are_never_looked_up_and_end_as_without_a_lookup() {
    let calls = |gate: &Gate| {
        run(async {
            let mut c = gate.client().await;
            let mut ends = Vec::new();
            for n in 0..20 {
                let asked = request("echo", &n.to_string(), &[("pieces", 2)]);
                ends.push(
                    c.model_infer(asked.clone())
                        .await
                        .map(|r| r.into_inner().id)
                        .map_err(|s| s.code()),
                );
                let calls = tokio_stream::iter(vec![asked]);
                let pieces = c.model_stream_infer(calls).await.unwrap().into_inner();
                let pieces: Vec<_> = pieces.map(|p| p.unwrap()).collect().await;
                ends.extend(pieces.iter().map(|p| Ok(format!("{} {}", id(p), last(p)))));
            }
            ends
        })
    };
    let scene = Scene::start(Says::Refused);
    let workers = Workers::start(1);
    let bare = Gate::start(SETTINGS, &[("w0", workers.addresses[0])]);
    assert_eq!(calls(&scene.gate), calls(&bare));
    assert_eq!(scene.script.lock().unwrap().asked, Vec::<String>::new());
    let counts =
        |g: &Gate| ["taken", "served", "refused", "attempts", "pieces"].map(|n| g.account().get(n));
    assert_eq!(counts(&scene.gate), counts(&bare));
}

#[test]
fn a_call_that_waited_is_served_once_its_function_is_known() {
    let scene = Scene::start(Says::Wait);
    let end = post(&scene, |scene| {
        scene.wait(1);
        scene.say(Says::Wait);
        scene.say(Says::Class("unsafe"));
    });
    assert_eq!(end.unwrap(), "mine");
    assert_eq!(scene.workers.ran(), [1]);
    assert_eq!(
        scene.counts(["taken", "served", "refused", "unknown"]),
        [1, 1, 0, 0]
    );
    // It is looked up again for each of its calls, and needs not wait.
    let before = scene.script.lock().unwrap().asked.len();
    assert_eq!(post(&scene, |_| {}).unwrap(), "mine");
    assert_eq!(scene.script.lock().unwrap().asked.len(), before + 1);
}

#[test]
fn a_call_whose_function_stays_unknown_is_refused_with_advice_within_half_a_second() {
    let scene = Scene::start(Says::Wait);
    // The quickest of five: a machine that is busy with other things may hold up one or another.
    let refused = || {
        let began = Instant::now();
        let status = post(&scene, |_| {}).unwrap_err();
        assert_eq!(
            (status.code(), pushback(&status).is_some()),
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
        (Says::Refused, Code::Unavailable, true),
        (Says::Unknown, Code::NotFound, true),
        // A class that the settings don't have says nothing.
        (Says::Class("nobody's"), Code::Unavailable, true),
    ];
    for (says, code, advised) in cases {
        let scene = Scene::start(says);
        let at_once = post(&scene, |_| {}).unwrap_err();
        scene.say(Says::Wait);
        let later = post(&scene, |scene| {
            scene.wait(1);
            scene.say(says);
        });
        let later = later.unwrap_err();
        assert_eq!(
            (later.code(), pushback(&later).is_some()),
            (code, advised),
            "{later:?}"
        );
        assert_eq!(
            (later.code(), later.message()),
            (at_once.code(), at_once.message())
        );
        assert_eq!(scene.workers.ran(), [0]);
        let unknown = if says == Says::Unknown { 2 } else { 0 };
        assert_eq!(
            scene.counts(["taken", "refused", "unknown", "attempts"]),
            [2 - unknown, 2 - unknown, unknown, 0]
        );
    }
}

#[test]
fn a_client_that_leaves_while_its_call_waits_has_nothing_sent_to_a_worker() {
    let scene = Scene::start(Says::Wait);
    run(async {
        let mut c = scene.gate.client().await;
        let call = c.model_infer(request("post", "x", &[]));
        let parked = async {
            while scene
                .gate
                .with(|g| g.driver().with_dispatcher(|f| f.pending_calls()))
                == 0
            {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            end = call => panic!("nothing ends it: {end:?}"),
            () = parked => {}
        }
    });
    scene.wait(0);
    scene.say(Says::Class("unsafe"));
    assert_eq!(
        scene.counts(["taken", "departed", "refused", "attempts"]),
        [1, 1, 0, 0]
    );
    assert_eq!(scene.workers.ran(), [0]);
}

#[test]
fn a_close_while_calls_wait_gives_each_its_one_answer_at_once() {
    let scene = Scene::start(Says::Wait);
    let end = post(&scene, |scene| {
        scene.wait(1);
        scene
            .gate
            .with(|g| g.driver().feed(Input::Shutdown { grace: 10_000_000 }));
        scene.say(Says::Class("unsafe"));
    });
    let status = end.unwrap_err();
    assert_eq!(
        (status.code(), pushback(&status)),
        (Code::Unavailable, Some("0")),
        "{status:?}"
    );
    let late = post(&scene, |_| {}).unwrap_err();
    assert_eq!(
        (late.code(), pushback(&late)),
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
    let scene = Scene::start(Says::Wait);
    run(async {
        let mut c = scene.gate.client().await;
        let calls =
            [("echo", "named"), ("post", "a"), ("post", "b")].map(|(f, id)| request(f, id, &[]));
        let mut pieces = c
            .model_stream_infer(tokio_stream::iter(calls))
            .await
            .unwrap()
            .into_inner();
        let first = pieces.next().await.unwrap().unwrap();
        assert_eq!((id(&first), first.error_message.as_str()), ("named", ""));
        while scene
            .gate
            .with(|g| g.driver().with_dispatcher(|f| f.pending_calls()))
            < 2
        {
            tokio::task::yield_now().await;
        }
        scene.say(Says::Class("safe"));
        let mut rest: Vec<_> = pieces.map(|p| p.unwrap()).filter(last).collect().await;
        rest.sort_by_key(|p| id(p).to_string());
        let rest: Vec<_> = rest
            .iter()
            .map(|p| (id(p), p.error_message.as_str()))
            .collect();
        assert_eq!(rest, [("a", ""), ("b", "")]);
    });
    assert_eq!(
        scene.counts(["taken", "served", "refused", "unknown"]),
        [3, 3, 0, 0]
    );
}
