//! A run as `--record` writes it: calls of four classes at four workers that answer in many ways, and a step with each kind
//! of input, command and end.

use crate::fixture;
use std::collections::VecDeque;
use tansy_dispatch::record::RecordedStep;
use tansy_dispatch::{
    Answer, AttemptOutcome, CacheStatus, Call, CallId, Command, ControlRequestId, Dispatcher,
    FailureReason, FunctionLookup, FunctionShape, Input, LoadReport, NeverRan, ResponseStage,
    Trailers, WorkerRecord,
};
use tansyrouter::Time;

/// Calls of the run.
const CALLS: u64 = 60;

/// A front end's ledger before the run.
pub fn front() -> Dispatcher {
    let settings = tansy_settings::settings("run.cue", &fixture::text("run.cue"));
    let settings = settings.unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::new(settings.front, Time(0)).expect("settings that make sense")
}

fn listed(n: usize, state: u8) -> WorkerRecord {
    WorkerRecord {
        name: format!("w{n}"),
        kind: 0,
        cell: 0,
        zone: 0,
        state,
        age: None,
        relative_size: 1.0,
    }
}

fn call(n: u64) -> Call {
    let functions = ["safe", "keyed", "unsafe", "stream"];
    Call {
        id: CallId(n),
        function: functions[n as usize % 4].into(),
        class: None,
        tenant: 0,
        budget: n.is_multiple_of(3).then_some(1_500_000),
        work_hint: None,
        repeat: false,
        shape: None,
        unknown_names: false,
        waited: 0,
    }
}

/// How the n-th attempt or order ends.
fn end(n: usize) -> (AttemptOutcome, Trailers) {
    let told = Trailers {
        cache_status: CacheStatus::Warm,
        instances: Some(1),
        ..Trailers::default()
    };
    let (code, stage) = (14, ResponseStage::Headers);
    match n % 11 {
        1 => (AttemptOutcome::NeverLeft, Trailers::default()),
        3 => (AttemptOutcome::ConnectionCut { stage }, Trailers::default()),
        5 => {
            let never_ran = Some(NeverRan::TurnedAway);
            (
                AttemptOutcome::Status { code, stage },
                Trailers { never_ran, ..told },
            )
        }
        _ => {
            let (code, stage) = (0, ResponseStage::Messages);
            (AttemptOutcome::Status { code, stage }, told)
        }
    }
}

/// The steps of the run, as the present program decides.
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
pub fn recorded() -> Vec<RecordedStep> {
    let mut front = front();
    let (mut steps, mut now) = (Vec::new(), 0);
    let mut inputs: VecDeque<Input> = VecDeque::new();
    let list = (0..4).map(|n| listed(n, 0)).collect();
    inputs.push_back(Input::Workers {
        full: true,
        workers: list,
    });
    let (mut calls, mut ends) = (0, 0);
    loop {
        let input = match inputs.pop_front() {
            Some(input) => input,
            None if calls < CALLS => {
                calls += 1;
                match calls {
                    // One worker drains half-way.
                    n if n == CALLS / 2 => inputs.push_back(Input::Workers {
                        full: false,
                        workers: vec![listed(0, 1)],
                    }),
                    n if n.is_multiple_of(13) => inputs.push_back(Input::ClientLeft {
                        call: CallId(n - 1),
                    }),
                    _ => {}
                }
                Input::Call(call(calls))
            }
            None => match front.next_due().filter(|due| due.0 < 10_000_000) {
                Some(due) => {
                    now = now.max(due.0);
                    Input::Tick
                }
                None => return steps,
            },
        };
        let mut commands = Vec::new();
        front.step(Time(now), input.clone(), &mut commands);
        for command in &commands {
            ends += 1;
            let (seen, told) = end(ends);
            match *command {
                Command::SendAttempt { call, attempt, .. } => {
                    inputs.push_back(Input::AttemptEnded {
                        call,
                        attempt,
                        outcome: seen,
                        trailers: told,
                    })
                }
                Command::Probe { request: order, .. }
                | Command::Load { request: order, .. }
                | Command::Unload { request: order, .. } => {
                    inputs.push_back(Input::ControlRequestEnded {
                        request: order,
                        outcome: seen,
                        trailers: told,
                    })
                }
                _ => {}
            }
        }
        steps.push(RecordedStep {
            at: now,
            input,
            commands,
        });
        now += 1_700;
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn inputs() -> Vec<Input> {
    let (call_id, attempt, order) = (CallId(7), 1, ControlRequestId(8));
    let shape = FunctionShape {
        lanes: 2,
        memory_mb: 512.5,
        load_time: Some(70_000),
    };
    let told = Trailers {
        cache_status: CacheStatus::StartedLoad,
        never_ran: Some(NeverRan::NotLoaded),
        concurrent_calls: Some(3),
        instances: Some(2),
        report: Some(LoadReport {
            queued: Some(1.0),
            in_flight: Some(2.0),
            busy: Some(0.5),
            memory_pinned: Some(0.25),
            loads: Some(3.0),
            mean_ms: Some(4.0),
            served_per_s: Some(5.0),
            errors_per_s: Some(6.0),
        }),
    };
    let ended = |seen, told| Input::AttemptEnded {
        call: call_id,
        attempt,
        outcome: seen,
        trailers: told,
    };
    let looked = |found| Input::CallLookedUp {
        call: Call {
            class: Some(1),
            tenant: 2,
            work_hint: Some(9),
            repeat: true,
            shape: Some(shape),
            unknown_names: true,
            waited: 4,
            ..call(3)
        },
        lookup: found,
    };
    let listed = WorkerRecord {
        age: Some(5),
        ..listed(1, 2)
    };
    let stage = ResponseStage::Nothing;
    let mut all = vec![
        Input::Workers {
            full: false,
            workers: vec![listed],
        },
        Input::WorkerListFailed,
        Input::Call(call(2)),
        Input::AttemptSent {
            call: call_id,
            attempt,
        },
        Input::ResponseMessage {
            call: call_id,
            attempt,
            last: true,
        },
        Input::ClientLeft { call: call_id },
        Input::ControlRequestEnded {
            request: order,
            outcome: AttemptOutcome::Cancelled,
            trailers: told,
        },
        Input::Tick,
        Input::Shutdown { grace: 6 },
        looked(FunctionLookup::Known { class: 1, shape }),
        looked(FunctionLookup::Refused),
        looked(FunctionLookup::Unknown),
        looked(FunctionLookup::Pending),
        Input::FunctionResolved {
            function: "f".into(),
            lookup: FunctionLookup::Pending,
        },
    ];
    let seen = [
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
    ];
    all.extend(seen.map(|seen| ended(seen, Trailers::default())));
    let notes = [
        CacheStatus::Unreported,
        CacheStatus::Warm,
        CacheStatus::StartedLoad,
        CacheStatus::AwaitedLoad,
        CacheStatus::LoadFailed,
    ];
    all.extend(notes.map(|note| {
        ended(
            AttemptOutcome::Cancelled,
            Trailers {
                cache_status: note,
                ..told
            },
        )
    }));
    let promises = [NeverRan::NotLoaded, NeverRan::TurnedAway, NeverRan::Expired];
    all.extend(promises.map(|promise| {
        let never_ran = Some(promise);
        ended(AttemptOutcome::Cancelled, Trailers { never_ran, ..told })
    }));
    all
}

fn commands() -> Vec<Command> {
    let (call, attempt, order) = (CallId(7), 1, ControlRequestId(8));
    let (worker, function) = (|| "w1".to_string(), || "f".to_string());
    let mut all = vec![
        Command::SendAttempt {
            call,
            attempt,
            worker: worker(),
            budget: 9,
        },
        Command::CancelAttempt { call, attempt },
        Command::ConfirmSent { call, attempt },
        Command::ForwardMessage { call },
        Command::Probe {
            request: order,
            worker: worker(),
        },
        Command::Load {
            request: order,
            worker: worker(),
            function: function(),
            instances: 2,
        },
        Command::Unload {
            request: order,
            worker: worker(),
            function: function(),
        },
        Command::RecallUnsent { request: order },
        Command::CancelControlRequest { request: order },
        Command::DropConnection { worker: worker() },
        Command::RetireWorker { worker: worker() },
        Command::ReportMissingFunction {
            worker: worker(),
            function: function(),
            outcome: AttemptOutcome::ConnectRefused,
            failed_loads: 4,
        },
        Command::FetchWorkerList,
        Command::SubscribeWorkerList,
    ];
    let answers = [
        Answer::Served,
        Answer::WorkerStatus,
        Answer::Refused { retry_after: 3 },
        Answer::Failed(FailureReason::Deadline),
        Answer::Failed(FailureReason::ConnectionLost),
        Answer::Failed(FailureReason::WorkerFailed),
        Answer::Failed(FailureReason::ShuttingDown),
        Answer::UnknownFunction,
    ];
    all.extend(answers.map(|answer| Command::Answer { call, answer }));
    all
}

/// A step with each kind of input, and one with all kinds of commands.
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
