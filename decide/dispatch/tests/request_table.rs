//! Calls, attempts and control requests of a dispatcher, event by event.

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

// Guards against refused calls of loaded functions: waiting calls of unknown functions were all the open requests that the
// settings allow.
#[test]
fn at_the_limit_of_open_requests_a_waiting_call_gives_way_to_a_call_of_a_loaded_function() {
    let mut config = config(1);
    config.settings.max_open_requests = 3;
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    let list = worker_list(vec![worker("w", WorkerState::Ready)]);
    dispatcher.step(Time(0), list, &mut commands);
    dispatcher.step(Time(1), call(1, "safe", SECOND), &mut commands);
    let request = first_load(&commands).expect("a load");
    dispatcher.step(Time(2), loaded(request), &mut commands);
    let end = Input::AttemptEnded {
        call: CallId(1),
        attempt: 0,
        outcome: support::OK,
        trailers: Trailers::default(),
    };
    dispatcher.step(Time(3), end, &mut commands);
    commands.clear();
    for id in 2..5 {
        dispatcher.step(Time(4), call(id, "unsafe", SECOND), &mut commands);
    }
    let failed = Input::ControlRequestEnded {
        request: first_load(&commands).expect("a load"),
        outcome: AttemptOutcome::Status {
            code: 2,
            stage: ResponseStage::Last,
        },
        trailers: Trailers::default(),
    };
    dispatcher.step(Time(4), failed, &mut commands);
    commands.clear();
    let refused = Answer::Refused { retry_after: 0 };
    dispatcher.step(Time(5), call(5, "unsafe", SECOND), &mut commands);
    assert_eq!(answers(&commands), [(5, refused)], "neither is better");
    commands.clear();
    dispatcher.step(Time(6), call(6, "safe", SECOND), &mut commands);
    assert_eq!(answers(&commands), [(4, refused)]);
    let sent = |command: &Command| matches!(command, Command::SendAttempt { call, .. } if *call == CallId(6));
    assert!(commands.iter().any(sent), "{commands:?}");
}

#[test]
fn refusals_carry_retry_advice() {
    let mut config = config(1);
    config.settings.max_open_requests = 2;
    config.settings.max_retry_after = SECOND / 4;
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("settings that make sense");
    let mut commands = Vec::new();
    // Without workers: call 1 has no budget, calls 2 and 3 stay open, call 4 exceeds the limit, call 5 arrives during
    // shutdown.
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
    let refused = Answer::Refused {
        retry_after: SECOND / 4,
    };
    assert_eq!(
        answers(&commands),
        [
            (1, refused),
            (4, refused),
            (5, Answer::Refused { retry_after: 0 })
        ]
    );
    commands.clear();
    dispatcher.step(Time(SECOND / 5), Input::Tick, &mut commands);
    let failed = Answer::Failed(tansy_dispatch::FailureReason::ShuttingDown);
    assert_eq!(
        answers(&commands),
        [(2, failed), (3, failed)],
        "open calls fail after the grace period"
    );
    assert!(dispatcher.is_idle());
}

#[test]
fn a_connection_that_accepts_no_data_is_dropped_and_its_call_stays_open() {
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
    let mut expect_command = |now: i64, expected: &str| {
        let mut commands = Vec::new();
        dispatcher.step(Time(now), Input::Tick, &mut commands);
        assert!(
            commands
                .iter()
                .any(|c| format!("{c:?}").starts_with(expected)),
            "{expected} at {now}: {commands:?}"
        );
    };
    expect_command(1000 + connect + 500, "ConfirmSent");
    expect_command(1000 + 2 * connect + 1000, "DropConnection");
    // Nothing of the attempt was sent, so the call is not failed although it must not run twice.
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
fn a_stream_may_outlast_the_connect_timeout() {
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
    let ends_call = |command: &Command| {
        matches!(
            command,
            Command::CancelAttempt { .. } | Command::Answer { .. } | Command::DropConnection { .. }
        )
    };
    assert!(!commands.iter().any(ends_call), "{commands:?}");
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
fn an_unsent_load_is_recalled_when_its_worker_drains() {
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
    let request = load.expect("the function learned from the call is loaded");
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
        "a load at a draining worker: {commands:?}"
    );
}

#[test]
fn names_of_unused_functions_and_gone_workers_are_removed() {
    let mut dispatcher = Dispatcher::new(config(1), Time(0)).expect("settings that make sense");
    let configured = dispatcher.name_counts().0;
    let mut now = 0;
    let (mut max_added, mut commands) = ((0, 0), Vec::new());
    for number in 0..400u64 {
        // Each round calls a new function and replaces the worker by a new one.
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
        max_added = (
            max_added.0.max(names.0 - configured),
            max_added.1.max(names.1),
        );
    }
    assert!(
        dispatcher.counters().served > 300,
        "{}",
        dispatcher.counters()
    );
    let retained = (4 * dispatcher.config().settings.idle_timeout / SECOND) as usize + 10;
    assert!(
        max_added.0 <= retained && max_added.1 <= 3,
        "{max_added:?} of 400 functions and workers"
    );
}

// Guards against a front end that is killed for memory: the names of functions that callers make up were kept for 45 s.
#[test]
fn names_of_made_up_functions_stay_few_without_waiting_for_a_cleanup() {
    let mut config = config(1);
    config.settings.memory_limit = Some(32_000_000);
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("settings that make sense");
    let configured = dispatcher.name_counts().0;
    let mut commands = Vec::new();
    let list = worker_list(vec![worker("w", WorkerState::Ready)]);
    dispatcher.step(Time(0), list, &mut commands);
    let (calls, mut most) = (50_000, 0);
    for number in 0..calls {
        let mut input = call_with_shape(number, &format!("f{number}"));
        if let Input::Call(call) = &mut input {
            call.budget = Some(SECOND / 200);
        }
        // All of them within one cleanup interval.
        let now = Time((number * 10) as i64);
        commands.clear();
        dispatcher.step(now, input, &mut commands);
        let loads = std::mem::take(&mut commands);
        for command in loads {
            if let Command::Load { request, .. } = command {
                let failed = Input::ControlRequestEnded {
                    request,
                    outcome: AttemptOutcome::ConnectRefused,
                    trailers: Trailers::default(),
                };
                dispatcher.step(now, failed, &mut commands);
            }
        }
        most = most.max(dispatcher.name_counts().0 - configured);
    }
    let sizes = dispatcher.function_table_sizes();
    // An eighth of the memory, at 2 KiB a function.
    let limit = 32_000_000 / 8 / 2048;
    assert!(
        sizes.functions <= limit && most <= 2 * limit + 100,
        "{sizes:?} and {most} names after {calls} calls"
    );
}

#[test]
fn names_of_refused_calls_are_not_kept() {
    let mut config = config(1);
    config.settings.max_open_requests = 0;
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("settings that make sense");
    let configured = dispatcher.name_counts().0;
    let mut commands = Vec::new();
    for number in 0..100 {
        let input = call_with_shape(number, &format!("f{number}"));
        dispatcher.step(Time(0), input, &mut commands);
    }
    assert_eq!(answers(&commands).len(), 100);
    assert_eq!(dispatcher.name_counts().0, configured);
}
