//! Conversion of router actions to commands.

use crate::front_end::FrontEnd;
use crate::wire::Command;
use tansyrouter::{Action, Micros, RequestId, Time, WorkerId};

/// Returns the command for an action of front end `number`.
pub fn command(number: u64, state: &FrontEnd, action: Action) -> Command<'_> {
    let front_end = number;
    match action {
        Action::Send {
            request,
            worker,
            abandon_at,
        } => send(number, state, request, worker, abandon_at),
        Action::Reject {
            request,
            retry_after,
        } => reject(number, request, retry_after),
        Action::Shed { request } => reject(number, request, 0),
        Action::Fail { request } => Command::Fail {
            front_end,
            request: request.0,
        },
        Action::Cancel { request, attempt } => Command::Cancel {
            front_end,
            request: request.0,
            attempt,
        },
        Action::Probe { worker } => Command::Probe {
            front_end,
            worker: state.workers.name(worker),
        },
        Action::Load {
            worker,
            function,
            instances,
        } => Command::Load {
            front_end,
            function: state.functions.name(function),
            instances,
            worker: state.workers.name(worker),
        },
        Action::Unload { worker, function } => Command::Unload {
            front_end,
            function: state.functions.name(function),
            worker: state.workers.name(worker),
        },
        Action::SetTimer { at, token } => set_timer(number, at, token),
        Action::FetchList => Command::FetchList { front_end },
        Action::Subscribe => Command::Subscribe {
            front_end,
            enabled: true,
        },
    }
}

fn send(
    front_end: u64,
    state: &FrontEnd,
    request: RequestId,
    worker: WorkerId,
    abandon_at: Option<Time>,
) -> Command<'_> {
    Command::Send {
        front_end,
        request: request.0,
        worker: state.workers.name(worker),
        abandon_at_s: abandon_at.map(|at| seconds(at.0)),
    }
}

fn reject(front_end: u64, request: RequestId, retry_after: Micros) -> Command<'static> {
    Command::Reject {
        front_end,
        request: request.0,
        retry_after_s: Some(seconds(retry_after)).filter(|advice| *advice > 0.0),
    }
}

fn set_timer(front_end: u64, due_at: Time, token: u64) -> Command<'static> {
    Command::SetTimer {
        front_end,
        due_at_s: seconds(due_at.0),
        token: token.to_string(),
    }
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}
