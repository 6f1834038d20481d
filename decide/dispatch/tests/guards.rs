//! Guards that run just before an attempt is sent. After the decision to send it, its call, its worker or its repeat window
//! may have ended.

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
    let mut dispatcher = Dispatcher::new(config, Time(0)).expect("valid settings");
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

fn call_after(waited: Micros) -> Call {
    Call {
        waited,
        ..call(CALL.0, "f")
    }
}

/// Starts a call, completes its load, and returns the number of its first attempt.
fn start_call(dispatcher: &mut Dispatcher) -> u32 {
    start_call_after(dispatcher, 0)
}

/// Like [`start_call`], for a call that waited before it was read.
fn start_call_after(dispatcher: &mut Dispatcher, waited: Micros) -> u32 {
    let mut commands = step(dispatcher, 0, Input::Call(call_after(waited)));
    if let Some(Command::Load { request, .. }) = commands.first() {
        commands = step(dispatcher, 1, loaded(*request));
    }
    sent_attempt(&commands).expect("an attempt")
}

fn sent_attempt(commands: &[Command]) -> Option<u32> {
    commands.iter().find_map(|command| match command {
        Command::SendAttempt { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn may_send(dispatcher: &Dispatcher, at: Micros, attempt: u32) -> bool {
    dispatcher.may_send(Time(at), CALL, attempt).is_ok()
}

#[test]
fn an_attempt_may_be_sent_until_it_its_call_or_its_worker_ends() {
    let ends: [(&str, Input); 4] = [
        ("the client left", Input::ClientLeft { call: CALL }),
        ("the worker drains", workers(WorkerState::Draining)),
        ("the worker is gone", workers(WorkerState::Gone)),
        (
            "the attempt ended",
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
        let attempt = start_call(&mut dispatcher);
        assert!(may_send(&dispatcher, 10, attempt));
        assert!(
            !may_send(&dispatcher, 10, attempt + 1),
            "an attempt that does not exist"
        );
        assert!(
            dispatcher.may_send(Time(10), CallId(2), attempt).is_err(),
            "a call that does not exist"
        );
        step(&mut dispatcher, 20, end);
        assert!(!may_send(&dispatcher, 30, attempt), "{name}");
    }
}

#[test]
fn an_attempt_may_not_be_sent_after_the_deadline() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let attempt = start_call(&mut dispatcher);
    assert!(may_send(&dispatcher, 4 * SECOND, attempt));
    assert!(!may_send(&dispatcher, 5 * SECOND, attempt));
}

#[test]
fn a_keyed_retry_may_be_sent_only_within_its_window() {
    let keyed = Effect::Keyed {
        group: DedupGroup::All,
        window: WINDOW,
    };
    for (effect, may_have_run) in [(keyed, true), (keyed, false), (Effect::Safe, true)] {
        let mut dispatcher = dispatcher(effect);
        let first = start_call(&mut dispatcher);
        // After an error status the attempt may have run; an attempt that was not sent did not.
        let outcome = if may_have_run {
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
        while sent_attempt(&commands).is_none() && at < WINDOW / 2 {
            at += SECOND / 100;
            commands = step(&mut dispatcher, at, Input::Tick);
        }
        let second = sent_attempt(&commands).expect("a second attempt");
        assert!(may_send(&dispatcher, WINDOW - 10, second));
        // The first attempt was chosen at 1 us.
        assert_eq!(
            may_send(&dispatcher, WINDOW + 1, second),
            !(may_have_run && effect == keyed),
            "{effect:?}, may have run: {may_have_run}"
        );
    }
}

#[test]
fn an_attempt_may_not_be_sent_after_the_answer() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let attempt = start_call(&mut dispatcher);
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
    assert!(!may_send(&dispatcher, 20, attempt));
}

#[test]
fn denials_state_their_reason() {
    let mut dispatcher = dispatcher(Effect::Unsafe);
    let attempt = start_call(&mut dispatcher);
    let check = |dispatcher: &Dispatcher, at| dispatcher.may_send(Time(at), CALL, attempt);
    assert_eq!(
        check(&dispatcher, 10),
        Ok(usable_budget() - 10),
        "the remaining budget"
    );
    assert_eq!(
        dispatcher.may_send(Time(10), CALL, attempt + 1),
        Err(DenialReason::NotFound)
    );
    assert_eq!(check(&dispatcher, 5 * SECOND), Err(DenialReason::Expired));
    step(&mut dispatcher, 20, workers(WorkerState::Draining));
    assert_eq!(check(&dispatcher, 30), Err(DenialReason::WorkerNotReady));
    step(&mut dispatcher, 40, Input::ClientLeft { call: CALL });
    assert_eq!(check(&dispatcher, 50), Err(DenialReason::Concluded));
}

/// The budget of a call of five seconds, without the reserve for delivering the answer.
fn usable_budget() -> Micros {
    5 * SECOND - 20_000
}

#[test]
fn waiting_time_reduces_the_budget() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let waited = 2 * SECOND;
    let attempt = start_call_after(&mut dispatcher, waited);
    assert_eq!(
        dispatcher.may_send(Time(10), CALL, attempt),
        Ok(usable_budget() - waited - 10)
    );
}

#[test]
fn a_call_that_expired_before_it_was_read_is_refused_and_never_sent() {
    let mut dispatcher = dispatcher(Effect::Safe);
    let commands = step(&mut dispatcher, 0, Input::Call(call_after(6 * SECOND)));
    assert_eq!(
        commands,
        [Command::Answer {
            call: CALL,
            answer: Answer::Refused { retry_after: 0 }
        }]
    );
    assert!(dispatcher.is_idle());
}
