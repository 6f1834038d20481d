//! Steps of a recorded run with every kind of input, command and outcome.

use crate::run::{call, listed};
use tansy_dispatch::record::RecordedStep;
use tansy_dispatch::{
    Answer, AttemptOutcome, CacheStatus, Call, CallId, Command, ControlRequestId, FailureReason,
    FunctionLookup, FunctionShape, Input, LoadReport, NeverRan, ResponseStage, Trailers,
    WorkerRecord, WorkerState,
};

const CALL: CallId = CallId(7);
const ATTEMPT: u32 = 1;
const REQUEST: ControlRequestId = ControlRequestId(8);
const SHAPE: FunctionShape = FunctionShape {
    lanes: 2,
    memory_mb: 512.5,
    load_time: Some(70_000),
};

/// A worker's load report, with a different value in every field.
pub fn load_report() -> LoadReport {
    LoadReport {
        queued: Some(1.0),
        in_flight: Some(2.0),
        busy: Some(0.5),
        memory_pinned: Some(0.25),
        loads: Some(3.0),
        mean_ms: Some(4.0),
        served_per_s: Some(5.0),
        errors_per_s: Some(6.0),
    }
}

/// The trailers of a worker's answer, with a value in every field.
pub fn trailers(cache_status: CacheStatus, never_ran: Option<NeverRan>) -> Trailers {
    Trailers {
        cache_status,
        never_ran,
        concurrent_calls: Some(3),
        instances: Some(2),
        report: Some(load_report()),
    }
}

fn ended(outcome: AttemptOutcome, trailers: Trailers) -> Input {
    Input::AttemptEnded {
        call: CALL,
        attempt: ATTEMPT,
        outcome,
        trailers,
    }
}

fn looked_up(lookup: FunctionLookup) -> Input {
    Input::CallLookedUp {
        call: Call {
            class: Some(1),
            tenant: 2,
            work_hint: Some(9),
            repeat: true,
            shape: Some(SHAPE),
            unknown_names: true,
            waited: 4,
            ..call(3)
        },
        lookup,
    }
}

fn inputs() -> Vec<Input> {
    let loading = trailers(CacheStatus::StartedLoad, Some(NeverRan::NotLoaded));
    let mut all = inputs_of_each_kind(loading);
    all.extend(outcomes().map(|outcome| ended(outcome, Trailers::default())));
    let statuses = [
        CacheStatus::Unreported,
        CacheStatus::Warm,
        CacheStatus::StartedLoad,
        CacheStatus::AwaitedLoad,
        CacheStatus::LoadFailed,
    ];
    all.extend(statuses.map(|cache_status| {
        let trailers = Trailers {
            cache_status,
            ..loading
        };
        ended(AttemptOutcome::Cancelled, trailers)
    }));
    let reasons = [NeverRan::NotLoaded, NeverRan::TurnedAway, NeverRan::Expired];
    all.extend(reasons.map(|reason| {
        let never_ran = Some(reason);
        let trailers = Trailers {
            never_ran,
            ..loading
        };
        ended(AttemptOutcome::Cancelled, trailers)
    }));
    all
}

fn inputs_of_each_kind(trailers: Trailers) -> Vec<Input> {
    let listed = WorkerRecord {
        age: Some(5),
        ..listed(1, WorkerState::Gone)
    };
    let shape = SHAPE;
    vec![
        Input::Workers {
            full: false,
            workers: vec![listed],
        },
        Input::WorkerListFailed,
        Input::Call(call(2)),
        Input::AttemptSent {
            call: CALL,
            attempt: ATTEMPT,
        },
        Input::ResponseMessage {
            call: CALL,
            attempt: ATTEMPT,
            last: true,
        },
        Input::ClientLeft { call: CALL },
        Input::ControlRequestEnded {
            request: REQUEST,
            outcome: AttemptOutcome::Cancelled,
            trailers,
        },
        Input::Tick,
        Input::Shutdown { grace: 6 },
        looked_up(FunctionLookup::Known { class: 1, shape }),
        looked_up(FunctionLookup::Refused),
        looked_up(FunctionLookup::Unknown),
        looked_up(FunctionLookup::Pending),
        Input::FunctionResolved {
            function: "f".into(),
            lookup: FunctionLookup::Pending,
        },
    ]
}

fn outcomes() -> [AttemptOutcome; 10] {
    let stage = ResponseStage::Nothing;
    [
        AttemptOutcome::ConnectRefused,
        AttemptOutcome::ConnectTimedOut,
        AttemptOutcome::NeverLeft,
        AttemptOutcome::GoawayBelow,
        AttemptOutcome::Reset { code: 7, stage },
        AttemptOutcome::ConnectionCut {
            stage: ResponseStage::Headers,
        },
        AttemptOutcome::Status {
            code: 14,
            stage: ResponseStage::Messages,
        },
        AttemptOutcome::NoTrailers {
            stage: ResponseStage::Last,
        },
        AttemptOutcome::InvalidResponse { stage },
        AttemptOutcome::Cancelled,
    ]
}

fn commands() -> Vec<Command> {
    let mut all = attempt_commands();
    all.extend(control_commands());
    all.extend(answers().map(|answer| Command::Answer { call: CALL, answer }));
    all
}

fn attempt_commands() -> Vec<Command> {
    let (call, attempt) = (CALL, ATTEMPT);
    vec![
        Command::SendAttempt {
            call,
            attempt,
            worker: "w1".into(),
            budget: 9,
        },
        Command::CancelAttempt { call, attempt },
        Command::ConfirmSent { call, attempt },
        Command::ForwardMessage { call },
    ]
}

fn control_commands() -> Vec<Command> {
    let request = REQUEST;
    let (worker, function) = (|| "w1".to_string(), || "f".to_string());
    vec![
        Command::Probe {
            request,
            worker: worker(),
        },
        Command::Load {
            request,
            worker: worker(),
            function: function(),
            instances: 2,
        },
        Command::Unload {
            request,
            worker: worker(),
            function: function(),
        },
        Command::RecallUnsent { request },
        Command::CancelControlRequest { request },
        Command::DropConnection { worker: worker() },
        Command::RetireWorker { worker: worker() },
        Command::ReportLoadFailures {
            worker: worker(),
            function: function(),
            outcome: AttemptOutcome::ConnectRefused,
            failed_loads: 4,
        },
        Command::FetchWorkerList,
        Command::SubscribeWorkerList,
    ]
}

fn answers() -> [Answer; 8] {
    [
        Answer::Served,
        Answer::WorkerStatus,
        Answer::Refused { retry_after: 3 },
        Answer::Failed(FailureReason::Deadline),
        Answer::Failed(FailureReason::ConnectionLost),
        Answer::Failed(FailureReason::WorkerFailed),
        Answer::Failed(FailureReason::ShuttingDown),
        Answer::UnknownFunction,
    ]
}

/// A step for each kind of input, and one step with all kinds of commands.
pub fn each_kind() -> Vec<RecordedStep> {
    let step = |input| RecordedStep {
        at: 1,
        input,
        commands: Vec::new(),
    };
    let mut all: Vec<RecordedStep> = inputs().into_iter().map(step).collect();
    all.push(RecordedStep {
        at: i64::MAX,
        input: Input::Tick,
        commands: commands(),
    });
    all
}
