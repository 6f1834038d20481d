//! Whether an attempt may leave, asked when it is about to: between its choice and that moment its call, its worker or the
//! time in which repeats are dropped may have ended.

mod support;

use support::{call, class, loaded, worker, worker_list};
use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, DenialReason, DispatchConfig, Dispatcher,
    FunctionSpec, Input, ResponseStage, Trailers, WorkerState,
};
use tansyrouter::{DedupGroup, Effect, Micros, Settings, Time, SECOND};

const WINDOW: Micros = SECOND;
const CALL: CallId = CallId(1);

fn dispatcher(effect: Effect) -> Dispatcher {
    let function = FunctionSpec {
        name: "f".into(),
        class: 0,
        lanes: 2,
        memory_mb: 100.0,
        load_time: None,
        versions: vec![],
    };
    let config = DispatchConfig {
        settings: Settings {
            classes: vec![class(effect, SECOND, 5 * SECOND)],
            connect_timeout: SECOND / 10,
            ..Settings::default()
        },
        classes: vec!["c".into()],
        tenants: vec![],
        zones: vec!["z".into()],
        functions: vec![function],
        max_call_time: 60 * SECOND,
        seed: 7,
    };
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("settings");
    step(&mut dispatcher, 0, workers(WorkerState::Ready));
    dispatcher
}

fn workers(state: WorkerState) -> Input {
    worker_list(vec![worker("w", state)])
}

fn step(dispatcher: &mut Dispatcher, at: Micros, input: Input) -> Vec<Command> {
    let mut commands = Vec::new();
    dispatcher.step(Time(at), input, &mut commands);
    commands
}

fn a_call(waited: Micros) -> Call {
    Call {
        waited,
        ..call(CALL.0, "f")
    }
}

/// Takes the call and has its load done; the number of its attempt.
fn called(dispatcher: &mut Dispatcher) -> u32 {
    called_after(dispatcher, 0)
}

/// The same of a call that waited so long before it was read.
fn called_after(dispatcher: &mut Dispatcher, waited: Micros) -> u32 {
    let mut commands = step(dispatcher, 0, Input::Call(a_call(waited)));
    if let Some(Command::Load { request, .. }) = commands.first() {
        commands = step(dispatcher, 1, loaded(*request));
    }
    opened(&commands).expect("an attempt")
}

fn opened(commands: &[Command]) -> Option<u32> {
    commands.iter().find_map(|command| match command {
        Command::SendAttempt { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn may(dispatcher: &Dispatcher, at: Micros, attempt: u32) -> bool {
    dispatcher.may_send(Time(at), CALL, attempt).is_ok()
}

#[test]
fn one_just_chosen_may_and_what_ends_it_forbids_it() {
    let ends: [(&str, Input); 4] = [
        ("its client", Input::ClientLeft { call: CALL }),
        ("its worker drains", workers(WorkerState::Draining)),
        ("its worker is gone", workers(WorkerState::Gone)),
        (
            "it",
            Input::AttemptEnded {
                call: CALL,
                attempt: 0,
                outcome: AttemptOutcome::NeverLeft,
                trailers: Trailers::default(),
            },
        ),
    ];
    for (name, end) in ends {
        let mut dispatcher = dispatcher(Effect::Safe);
        let attempt = called(&mut dispatcher);
        assert!(may(&dispatcher, 10, attempt));
        assert!(!may(&dispatcher, 10, attempt + 1), "no such attempt");
        assert!(
            dispatcher.may_send(Time(10), CallId(2), attempt).is_err(),
            "no such call"
        );
        step(&mut dispatcher, 20, end);
        assert!(!may(&dispatcher, 30, attempt), "{name} has ended");
    }
}

#[test]
fn one_whose_calls_time_is_up_may_not() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let attempt = called(&mut dispatcher);
    assert!(may(&dispatcher, 4 * SECOND, attempt));
    assert!(!may(&dispatcher, 5 * SECOND, attempt));
}

#[test]
fn a_repeat_may_leave_only_while_repeats_are_dropped() {
    let keyed = Effect::Keyed {
        group: DedupGroup::All,
        window: WINDOW,
    };
    for (effect, ran) in [(keyed, true), (keyed, false), (Effect::Safe, true)] {
        let mut dispatcher = dispatcher(effect);
        let first = called(&mut dispatcher);
        // An error may have run; a refused connect never did.
        let outcome = if ran {
            AttemptOutcome::Status {
                code: 2,
                stage: ResponseStage::Headers,
            }
        } else {
            AttemptOutcome::NeverLeft
        };
        let mut commands = step(
            &mut dispatcher,
            SECOND / 10,
            Input::AttemptEnded {
                call: CALL,
                attempt: first,
                outcome,
                trailers: Trailers::default(),
            },
        );
        let mut at = SECOND / 10;
        while opened(&commands).is_none() && at < WINDOW / 2 {
            at += SECOND / 100;
            commands = step(&mut dispatcher, at, Input::Tick);
        }
        let second = opened(&commands).expect("a further attempt");
        assert!(may(&dispatcher, WINDOW - 10, second));
        // The first was chosen a microsecond after the call came.
        assert_eq!(
            may(&dispatcher, WINDOW + 1, second),
            !(ran && effect == keyed),
            "{effect:?}, ran: {ran}"
        );
    }
}

#[test]
fn the_answer_ends_it() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let attempt = called(&mut dispatcher);
    let commands = step(
        &mut dispatcher,
        10,
        Input::ResponseMessage {
            call: CALL,
            attempt,
            last: true,
        },
    );
    assert!(commands.contains(&Command::Answer {
        call: CALL,
        answer: Answer::Served
    }));
    assert!(!may(&dispatcher, 20, attempt));
}

#[test]
fn each_denial_has_its_reason() {
    let mut dispatcher = dispatcher(Effect::Unsafe);
    let attempt = called(&mut dispatcher);
    let ask = |dispatcher: &Dispatcher, at| dispatcher.may_send(Time(at), CALL, attempt);
    assert_eq!(
        ask(&dispatcher, 10),
        Ok(usable_budget() - 10),
        "the time that is left"
    );
    assert_eq!(
        dispatcher.may_send(Time(10), CALL, attempt + 1),
        Err(DenialReason::NotFound)
    );
    assert_eq!(ask(&dispatcher, 5 * SECOND), Err(DenialReason::Expired));
    step(&mut dispatcher, 20, workers(WorkerState::Draining));
    assert_eq!(ask(&dispatcher, 30), Err(DenialReason::WorkerNotReady));
    step(&mut dispatcher, 40, Input::ClientLeft { call: CALL });
    assert_eq!(ask(&dispatcher, 50), Err(DenialReason::Concluded));
}

/// The time that a call of five seconds has, less what is kept for its answer's way.
fn usable_budget() -> Micros {
    5 * SECOND - 20_000
}

#[test]
fn a_call_that_waited_has_so_much_less_time() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let waited = 2 * SECOND;
    let attempt = called_after(&mut dispatcher, waited);
    assert_eq!(
        dispatcher.may_send(Time(10), CALL, attempt),
        Ok(usable_budget() - waited - 10)
    );
}

#[test]
fn a_call_whose_time_was_over_when_it_was_read_is_refused_and_never_sent() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let commands = step(&mut dispatcher, 0, Input::Call(a_call(6 * SECOND)));
    assert_eq!(
        commands,
        [Command::Answer {
            call: CALL,
            answer: Answer::Refused { retry_after: 0 }
        }]
    );
    assert!(dispatcher.is_idle());
}
