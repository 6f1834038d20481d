//! Whether an attempt may leave, asked when it is about to: between its choice and that moment its call, its worker or the
//! time in which repeats are dropped may have ended.

use tansy_dispatch::{
    Answer, AttemptOutcome, Call, CallId, Command, ControlRequestId, DenialReason, DispatchConfig,
    Dispatcher, FunctionSpec, Input, ResponseStage, Trailers, WorkerRecord,
};
use tansyrouter::{Class, Effect, Group, Settings, Span, Time, SECOND};

const WINDOW: Span = SECOND;
const CALL: CallId = CallId(1);

fn front(effect: Effect) -> Dispatcher {
    let class = Class {
        aim: SECOND,
        aim_stretch: 0.0,
        deadline: 5 * SECOND,
        effect,
        worth: 1.0,
        late_worth: 0.5,
        streamed: false,
    };
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
            classes: vec![class],
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
    let mut front = Dispatcher::new(config, Time(0)).expect("settings");
    step(&mut front, 0, workers(0));
    front
}

fn workers(state: u8) -> Input {
    let listed = WorkerRecord {
        name: "w".into(),
        kind: 0,
        cell: 0,
        zone: 0,
        state,
        age: None,
        relative_size: 1.0,
    };
    Input::Workers {
        full: true,
        workers: vec![listed],
    }
}

fn step(front: &mut Dispatcher, at: Span, input: Input) -> Vec<Command> {
    let mut out = Vec::new();
    front.step(Time(at), input, &mut out);
    out
}

fn a_call(waited: Span) -> Call {
    Call {
        id: CALL,
        function: "f".into(),
        class: None,
        tenant: 0,
        budget: None,
        work_hint: None,
        repeat: false,
        shape: None,
        unknown_names: false,
        waited,
    }
}

/// Takes the call and has its load done; the number of its attempt.
fn called(front: &mut Dispatcher) -> u32 {
    called_after(front, 0)
}

/// The same of a call that waited so long before it was read.
fn called_after(front: &mut Dispatcher, waited: Span) -> u32 {
    let mut out = step(front, 0, Input::Call(a_call(waited)));
    if let Some(Command::Load { request: order, .. }) = out.first() {
        out = loaded(front, *order);
    }
    opened(&out).expect("an attempt")
}

fn loaded(front: &mut Dispatcher, order: ControlRequestId) -> Vec<Command> {
    let told = Trailers {
        instances: Some(1),
        ..Trailers::default()
    };
    step(
        front,
        1,
        Input::ControlRequestEnded {
            request: order,
            outcome: AttemptOutcome::Status {
                code: 0,
                stage: ResponseStage::Last,
            },
            trailers: told,
        },
    )
}

fn opened(commands: &[Command]) -> Option<u32> {
    commands.iter().find_map(|c| match c {
        Command::SendAttempt { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn may(front: &Dispatcher, at: Span, attempt: u32) -> bool {
    front.may_send(Time(at), CALL, attempt).is_ok()
}

#[test]
fn one_just_chosen_may_and_what_ends_it_forbids_it() {
    let ends: [(&str, Input); 4] = [
        ("its client", Input::ClientLeft { call: CALL }),
        ("its worker drains", workers(1)),
        ("its worker is gone", workers(2)),
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
        let mut front = front(Effect::Safe);
        let attempt = called(&mut front);
        assert!(may(&front, 10, attempt));
        assert!(!may(&front, 10, attempt + 1), "no such attempt");
        assert!(
            front.may_send(Time(10), CallId(2), attempt).is_err(),
            "no such call"
        );
        step(&mut front, 20, end);
        assert!(!may(&front, 30, attempt), "{name} has ended");
    }
}

#[test]
fn one_whose_calls_time_is_up_may_not() {
    let mut front = front(Effect::Safe);
    let attempt = called(&mut front);
    assert!(may(&front, 4 * SECOND, attempt));
    assert!(!may(&front, 5 * SECOND, attempt));
}

#[test]
fn a_repeat_may_leave_only_while_repeats_are_dropped() {
    let keyed = Effect::Keyed {
        group: Group::All,
        window: WINDOW,
    };
    for (effect, ran) in [(keyed, true), (keyed, false), (Effect::Safe, true)] {
        let mut front = front(effect);
        let first = called(&mut front);
        // An error may have run; a refused connect never did.
        let seen = if ran {
            AttemptOutcome::Status {
                code: 2,
                stage: ResponseStage::Headers,
            }
        } else {
            AttemptOutcome::NeverLeft
        };
        let mut out = step(
            &mut front,
            SECOND / 10,
            Input::AttemptEnded {
                call: CALL,
                attempt: first,
                outcome: seen,
                trailers: Trailers::default(),
            },
        );
        let mut at = SECOND / 10;
        while opened(&out).is_none() && at < WINDOW / 2 {
            at += SECOND / 100;
            out = step(&mut front, at, Input::Tick);
        }
        let second = opened(&out).expect("a further attempt");
        assert!(may(&front, WINDOW - 10, second));
        // The first was chosen a microsecond after the call came.
        assert_eq!(
            may(&front, WINDOW + 1, second),
            !(ran && effect == keyed),
            "{effect:?}, ran: {ran}"
        );
    }
}

#[test]
fn the_answer_ends_it() {
    let mut front = front(Effect::Safe);
    let attempt = called(&mut front);
    let out = step(
        &mut front,
        10,
        Input::ResponseMessage {
            call: CALL,
            attempt,
            last: true,
        },
    );
    assert!(out.contains(&Command::Answer {
        call: CALL,
        answer: Answer::Served
    }));
    assert!(!may(&front, 20, attempt));
}

#[test]
fn each_denial_says_why() {
    let mut front = front(Effect::Unsafe);
    let attempt = called(&mut front);
    let ask = |front: &Dispatcher, at| front.may_send(Time(at), CALL, attempt);
    assert_eq!(
        ask(&front, 10),
        Ok(front_budget() - 10),
        "the time that is left"
    );
    assert_eq!(
        front.may_send(Time(10), CALL, attempt + 1),
        Err(DenialReason::NotFound)
    );
    assert_eq!(ask(&front, 5 * SECOND), Err(DenialReason::Expired));
    step(&mut front, 20, workers(1));
    assert_eq!(ask(&front, 30), Err(DenialReason::WorkerNotReady));
    step(&mut front, 40, Input::ClientLeft { call: CALL });
    assert_eq!(ask(&front, 50), Err(DenialReason::Concluded));
}

/// The time that a call of five seconds has, less what is kept for its answer's way.
fn front_budget() -> Span {
    5 * SECOND - 20_000
}

#[test]
fn a_call_that_waited_has_so_much_less_time() {
    let mut front = front(Effect::Safe);
    let waited = 2 * SECOND;
    let attempt = called_after(&mut front, waited);
    assert_eq!(
        front.may_send(Time(10), CALL, attempt),
        Ok(front_budget() - waited - 10)
    );
}

#[test]
fn a_call_whose_time_was_over_when_it_was_read_is_refused_and_never_sent() {
    let mut front = front(Effect::Safe);
    let out = step(&mut front, 0, Input::Call(a_call(6 * SECOND)));
    assert_eq!(
        out,
        [Command::Answer {
            call: CALL,
            answer: Answer::Refused { retry_after: 0 }
        }]
    );
    assert!(front.is_idle());
}
