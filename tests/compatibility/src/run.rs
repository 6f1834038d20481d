//! A run as `--record` writes it: calls of four classes at four workers that answer in many ways, and a step with each kind
//! of input, command and end.

use crate::fixture;
use std::collections::VecDeque;
use tansy_dispatch::record::Step;
use tansy_dispatch::{
    Answer, Call, CallId, Command, Found, Front, Input, Listed, NeverRan, Note, OrderId, Report,
    Seen, Shape, Stage, Told, Why,
};
use tansyrouter::Time;

/// Calls of the run.
const CALLS: u64 = 60;

/// A front end's ledger before the run.
pub fn front() -> Front {
    let settings = tansy_settings::settings("run.cue", &fixture::text("run.cue"));
    let settings = settings.unwrap_or_else(|e| panic!("{e}"));
    Front::new(settings.front, Time(0)).expect("settings that make sense")
}

fn listed(n: usize, state: u8) -> Listed {
    Listed {
        name: format!("w{n}"),
        kind: 0,
        cell: 0,
        zone: 0,
        state,
        age: None,
        share: 1.0,
    }
}

fn call(n: u64) -> Call {
    let functions = ["safe", "keyed", "unsafe", "stream"];
    Call {
        call: CallId(n),
        function: functions[n as usize % 4].into(),
        class: None,
        tenant: 0,
        budget: n.is_multiple_of(3).then_some(1_500_000),
        hint: None,
        repeat: false,
        shape: None,
        unlisted: false,
        waited: 0,
    }
}

/// How the n-th attempt or order ends.
fn end(n: usize) -> (Seen, Told) {
    let told = Told {
        note: Note::Warm,
        instances: Some(1),
        ..Told::default()
    };
    let (code, stage) = (14, Stage::Headers);
    match n % 11 {
        1 => (Seen::NeverLeft, Told::default()),
        3 => (Seen::Cut { stage }, Told::default()),
        5 => {
            let never_ran = Some(NeverRan::TurnedAway);
            (Seen::Status { code, stage }, Told { never_ran, ..told })
        }
        _ => {
            let (code, stage) = (0, Stage::Pieces);
            (Seen::Status { code, stage }, told)
        }
    }
}

/// The steps of the run, as the present program decides.
pub fn recorded() -> Vec<Step> {
    let mut front = front();
    let (mut steps, mut now) = (Vec::new(), 0);
    let mut inputs: VecDeque<Input> = VecDeque::new();
    let list = (0..4).map(|n| listed(n, 0)).collect();
    inputs.push_back(Input::Workers { whole: true, list });
    let (mut calls, mut ends) = (0, 0);
    loop {
        let input = match inputs.pop_front() {
            Some(input) => input,
            None if calls < CALLS => {
                calls += 1;
                match calls {
                    // One worker drains half-way.
                    n if n == CALLS / 2 => inputs.push_back(Input::Workers {
                        whole: false,
                        list: vec![listed(0, 1)],
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
                Command::Open { call, attempt, .. } => inputs.push_back(Input::Ended {
                    call,
                    attempt,
                    seen,
                    told,
                }),
                Command::Probe { order, .. }
                | Command::Load { order, .. }
                | Command::Unload { order, .. } => {
                    inputs.push_back(Input::OrderEnded { order, seen, told })
                }
                _ => {}
            }
        }
        steps.push(Step {
            at: now,
            input,
            commands,
        });
        now += 1_700;
    }
}

fn inputs() -> Vec<Input> {
    let (call_id, attempt, order) = (CallId(7), 1, OrderId(8));
    let shape = Shape {
        lanes: 2,
        memory_mb: 512.5,
        load_time: Some(70_000),
    };
    let told = Told {
        note: Note::BeganLoad,
        never_ran: Some(NeverRan::NotLoaded),
        crowd: Some(3),
        instances: Some(2),
        report: Some(Report {
            queued: Some(1.0),
            held: Some(2.0),
            busy: Some(0.5),
            memory_pinned: Some(0.25),
            loads: Some(3.0),
            mean_ms: Some(4.0),
            served_per_s: Some(5.0),
            errors_per_s: Some(6.0),
        }),
    };
    let ended = |seen, told| Input::Ended {
        call: call_id,
        attempt,
        seen,
        told,
    };
    let looked = |found| Input::Looked {
        call: Call {
            class: Some(1),
            tenant: 2,
            hint: Some(9),
            repeat: true,
            shape: Some(shape),
            unlisted: true,
            waited: 4,
            ..call(3)
        },
        found,
    };
    let listed = Listed {
        age: Some(5),
        ..listed(1, 2)
    };
    let stage = Stage::Nothing;
    let mut all = vec![
        Input::Workers {
            whole: false,
            list: vec![listed],
        },
        Input::ListFailed,
        Input::Call(call(2)),
        Input::Opened {
            call: call_id,
            attempt,
        },
        Input::Piece {
            call: call_id,
            attempt,
            last: true,
        },
        Input::ClientLeft { call: call_id },
        Input::OrderEnded {
            order,
            seen: Seen::Withdrawn,
            told,
        },
        Input::Tick,
        Input::Close { within: 6 },
        looked(Found::Acts { class: 1, shape }),
        looked(Found::Refused),
        looked(Found::Unknown),
        looked(Found::Wait),
        Input::Found {
            function: "f".into(),
            found: Found::Wait,
        },
    ];
    let seen = [
        Seen::ConnectRefused,
        Seen::ConnectTimedOut,
        Seen::NeverLeft,
        Seen::GoawayBelow,
        Seen::Reset { code: 7, stage },
        Seen::Cut {
            stage: Stage::Headers,
        },
        Seen::Status {
            code: 14,
            stage: Stage::Pieces,
        },
        Seen::NoTrailers { stage: Stage::Last },
        Seen::BadAnswer { stage },
        Seen::Withdrawn,
    ];
    all.extend(seen.map(|seen| ended(seen, Told::default())));
    let notes = [
        Note::Silent,
        Note::Warm,
        Note::BeganLoad,
        Note::AwaitedLoad,
        Note::LoadFailed,
    ];
    all.extend(notes.map(|note| ended(Seen::Withdrawn, Told { note, ..told })));
    let promises = [NeverRan::NotLoaded, NeverRan::TurnedAway, NeverRan::Expired];
    all.extend(promises.map(|promise| {
        let never_ran = Some(promise);
        ended(Seen::Withdrawn, Told { never_ran, ..told })
    }));
    all
}

fn commands() -> Vec<Command> {
    let (call, attempt, order) = (CallId(7), 1, OrderId(8));
    let (worker, function) = (|| "w1".to_string(), || "f".to_string());
    let mut all = vec![
        Command::Open {
            call,
            attempt,
            worker: worker(),
            budget: 9,
        },
        Command::Withdraw { call, attempt },
        Command::Confirm { call, attempt },
        Command::Pass { call },
        Command::Probe {
            order,
            worker: worker(),
        },
        Command::Load {
            order,
            worker: worker(),
            function: function(),
            instances: 2,
        },
        Command::Unload {
            order,
            worker: worker(),
            function: function(),
        },
        Command::Recall { order },
        Command::WithdrawOrder { order },
        Command::Drop { worker: worker() },
        Command::Retire { worker: worker() },
        Command::Tell {
            worker: worker(),
            function: function(),
            seen: Seen::ConnectRefused,
            count: 4,
        },
        Command::FetchList,
        Command::Subscribe,
    ];
    let answers = [
        Answer::Served,
        Answer::Passed,
        Answer::Refused { stay_away: 3 },
        Answer::Failed(Why::Deadline),
        Answer::Failed(Why::Lost),
        Answer::Failed(Why::Worker),
        Answer::Failed(Why::Closing),
        Answer::Unknown,
    ];
    all.extend(answers.map(|answer| Command::Answer { call, answer }));
    all
}

/// A step with each kind of input, and one with all kinds of commands.
pub fn each_kind() -> Vec<Step> {
    let step = |input| Step {
        at: 1,
        input,
        commands: Vec::new(),
    };
    let mut all: Vec<Step> = inputs().into_iter().map(step).collect();
    all.push(Step {
        at: i64::MAX,
        input: Input::Tick,
        commands: commands(),
    });
    all
}
