//! Inputs and configurations shared by the tests.

// Each test file is a crate of its own and uses only a part.
#![allow(dead_code)]

pub mod four_classes;
pub mod lookup_fixture;

use tansy_dispatch::{
    AttemptOutcome, Call, CallId, Command, ControlRequestId, Input, ResponseStage, Trailers,
    WorkerRecord, WorkerState,
};
use tansyrouter::{Class, Effect, Micros};

/// The outcome of a successful attempt or control request.
pub const OK: AttemptOutcome = AttemptOutcome::Status {
    code: 0,
    stage: ResponseStage::Last,
};

/// A class whose latency objective does not depend on the work of a call.
pub fn class(effect: Effect, latency_objective: Micros, deadline: Micros) -> Class {
    Class {
        latency_objective,
        objective_per_work: 0.0,
        deadline,
        effect,
        priority_weight: 1.0,
        late_weight: 0.5,
        streamed: false,
    }
}

/// An entry of the worker list.
pub fn worker(name: impl Into<String>, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        name: name.into(),
        kind: 0,
        cell: 0,
        zone: 0,
        state,
        age: None,
        relative_size: 1.0,
    }
}

/// A full worker list.
pub fn worker_list(workers: Vec<WorkerRecord>) -> Input {
    Input::Workers {
        full: true,
        workers,
    }
}

/// A call that states only its function.
pub fn call(id: u64, function: &str) -> Call {
    Call {
        id: CallId(id),
        function: function.into(),
        class: None,
        tenant: 0,
        budget: None,
        work_hint: None,
        repeat: false,
        shape: None,
        unknown_names: false,
        waited: 0,
    }
}

/// The successful end of a load that left one instance.
pub fn loaded(request: ControlRequestId) -> Input {
    Input::ControlRequestEnded {
        request,
        outcome: OK,
        trailers: Trailers {
            instances: Some(1),
            ..Trailers::default()
        },
    }
}

/// The first load among commands.
pub fn first_load(commands: &[Command]) -> Option<ControlRequestId> {
    commands.iter().find_map(|command| match command {
        Command::Load { request, .. } => Some(*request),
        _ => None,
    })
}
