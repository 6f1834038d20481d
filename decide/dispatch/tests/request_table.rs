//! Calls, attempts and control requests at one dispatcher, event by event.

mod support;

use support::four_classes::config;
use support::{first_load, loaded, worker, worker_list};
use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, Dispatcher, Input, ResponseStage, Trailers,
    WorkerState,
};
use tansyrouter::{Time, SECOND};

fn call(id: u64, function: &str, budget: i64) -> Input {
    Input::Call(Call {
        budget: Some(budget),
        ..support::call(id, function)
    })
}

fn answers(commands: &[Command]) -> Vec<(u64, Answer)> {
    let one = |command: &Command| match command {
        Command::Answer { call, answer } => Some((call.0, *answer)),
        _ => None,
    };
    commands.iter().filter_map(one).collect()
}

#[test]
fn refusals_say_when_to_try_again() {
    let mut config = config(1);
    config.settings.max_open_requests = 2;
    config.settings.max_retry_after = SECOND / 4;
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    // No worker is known: one call has no time, two are held, the next is one too many, then the front end closes.
    dispatcher.step(Time(0), call(1, "unsafe", 0), &mut commands);
    dispatcher.step(Time(1), call(2, "unsafe", SECOND), &mut commands);
    dispatcher.step(Time(2), call(3, "unsafe", SECOND), &mut commands);
    dispatcher.step(Time(3), call(4, "unsafe", SECOND), &mut commands);
    dispatcher.step(
        Time(4),
        Input::Shutdown { grace: SECOND / 10 },
        &mut commands,
    );
    dispatcher.step(Time(5), call(5, "unsafe", SECOND), &mut commands);
    let quarter = Answer::Refused {
        retry_after: SECOND / 4,
    };
    assert_eq!(
        answers(&commands),
        [
            (1, quarter),
            (4, quarter),
            (5, Answer::Refused { retry_after: 0 })
        ]
    );
    commands.clear();
    dispatcher.step(Time(SECOND / 5), Input::Tick, &mut commands);
    let failed = Answer::Failed(tansy_dispatch::FailureReason::ShuttingDown);
    assert_eq!(
        answers(&commands),
        [(2, failed), (3, failed)],
        "what is held fails when the time to close is over"
    );
    assert!(dispatcher.is_idle());
}

#[test]
fn a_connection_that_takes_nothing_is_dropped_and_the_call_goes_elsewhere() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    let connect = dispatcher.config().settings.connect_timeout;
    let list = worker_list(vec![worker("w0", WorkerState::Ready)]);
    dispatcher.step(Time(0), list, &mut commands);
    dispatcher.step(Time(0), call(1, "unsafe", 2 * SECOND), &mut commands);
    let load = first_load(&commands).expect("a load first");
    commands.clear();
    dispatcher.step(Time(1000), loaded(load), &mut commands);
    assert!(
        commands
            .iter()
            .any(|c| matches!(c, Command::SendAttempt { attempt: 0, .. })),
        "{commands:?}"
    );
    let mut at = |now: i64, expected: &str| {
        let mut commands = Vec::new();
        dispatcher.step(Time(now), Input::Tick, &mut commands);
        assert!(
            commands
                .iter()
                .any(|c| format!("{c:?}").starts_with(expected)),
            "{expected} at {now}: {commands:?}"
        );
    };
    at(1000 + connect + 500, "ConfirmSent");
    at(1000 + 2 * connect + 1000, "DropConnection");
    // Nothing of it can leave any more, and nothing had left: it is sent again though it must not run twice.
    let (call, attempt) = (CallId(1), 0);
    commands.clear();
    let now = Time(1000 + 2 * connect + 2000);
    dispatcher.step(
        now,
        Input::AttemptEnded {
            call,
            attempt,
            outcome: AttemptOutcome::NeverLeft,
            trailers: Trailers::default(),
        },
        &mut commands,
    );
    assert!(answers(&commands).is_empty(), "{commands:?}");
    assert_eq!(dispatcher.counters().dropped_connections, 1);
}

#[test]
fn a_stream_may_last_longer_than_a_connection_may_take() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    let connect = dispatcher.config().settings.connect_timeout;
    let list = worker_list(vec![worker("w0", WorkerState::Ready)]);
    dispatcher.step(Time(0), list, &mut commands);
    dispatcher.step(Time(0), call(1, "stream", 2 * SECOND), &mut commands);
    let load = first_load(&commands).expect("a load first");
    dispatcher.step(Time(1000), loaded(load), &mut commands);
    let message = |last| Input::ResponseMessage {
        call: CallId(1),
        attempt: 0,
        last,
    };
    dispatcher.step(Time(2000), message(false), &mut commands);
    commands.clear();
    for quarter in 1..20 {
        dispatcher.step(Time(quarter * connect / 4), Input::Tick, &mut commands);
    }
    let withdrawn = |command: &Command| {
        matches!(
            command,
            Command::CancelAttempt { .. } | Command::Answer { .. } | Command::DropConnection { .. }
        )
    };
    assert!(!commands.iter().any(withdrawn), "{commands:?}");
    dispatcher.step(Time(5 * connect), message(true), &mut commands);
    assert_eq!(answers(&commands), [(1, Answer::Served)]);
}

fn call_with_shape(id: u64, function: &str) -> Input {
    let shape = tansy_dispatch::FunctionShape {
        lanes: 1,
        memory_mb: 50.0,
        load_time: None,
    };
    match call(id, function, SECOND) {
        Input::Call(call) => Input::Call(Call {
            shape: Some(shape),
            class: Some(0),
            ..call
        }),
        other => other,
    }
}

#[test]
fn a_load_that_has_not_left_is_recalled_when_its_worker_drains() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    let list = worker_list(vec![worker("w0", WorkerState::Ready)]);
    dispatcher.step(Time(0), list, &mut commands);
    dispatcher.step(Time(1), call_with_shape(1, "new"), &mut commands);
    let load = commands.iter().find_map(|command| match command {
        Command::Load {
            request,
            instances: 1,
            function,
            ..
        } if function == "new" => Some(*request),
        _ => None,
    });
    let request = load.expect("a function that a call described is loaded");
    commands.clear();
    dispatcher.step(
        Time(2),
        Input::Workers {
            full: false,
            workers: vec![worker("w0", WorkerState::Draining)],
        },
        &mut commands,
    );
    assert!(
        commands.contains(&Command::RecallUnsent { request }),
        "{commands:?}"
    );
    commands.clear();
    dispatcher.step(
        Time(3),
        Input::ControlRequestEnded {
            request,
            outcome: AttemptOutcome::NeverLeft,
            trailers: Trailers::default(),
        },
        &mut commands,
    );
    assert!(
        !commands.iter().any(|c| matches!(c, Command::Load { .. })),
        "nothing is loaded there: {commands:?}"
    );
}

#[test]
fn functions_no_longer_called_and_workers_that_are_gone_are_forgotten() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let named = dispatcher.name_counts().0;
    let mut now = 0;
    let (mut most, mut commands) = ((0, 0), Vec::new());
    for number in 0..400u64 {
        // Ever new functions, and a worker that is replaced by a new one each time.
        let list = worker_list(vec![worker(format!("w{number}"), WorkerState::Ready)]);
        dispatcher.step(Time(now), list, &mut commands);
        dispatcher.step(
            Time(now),
            call_with_shape(number, &format!("f{number}")),
            &mut commands,
        );
        for command in std::mem::take(&mut commands) {
            if let Command::Load { request, .. } = command {
                dispatcher.step(Time(now), loaded(request), &mut commands);
            }
        }
        for command in std::mem::take(&mut commands) {
            if let Command::SendAttempt { call, attempt, .. } = command {
                let outcome = AttemptOutcome::Status {
                    code: 0,
                    stage: ResponseStage::Last,
                };
                dispatcher.step(
                    Time(now),
                    Input::AttemptEnded {
                        call,
                        attempt,
                        outcome,
                        trailers: Trailers::default(),
                    },
                    &mut commands,
                );
            }
        }
        now += SECOND;
        let names = dispatcher.name_counts();
        most = (most.0.max(names.0 - named), most.1.max(names.1));
    }
    assert!(
        dispatcher.counters().served > 300,
        "{}",
        dispatcher.counters()
    );
    let kept = (4 * dispatcher.config().settings.idle_timeout / SECOND) as usize + 10;
    assert!(
        most.0 <= kept && most.1 <= 3,
        "{most:?} of 400 functions and workers"
    );
}
