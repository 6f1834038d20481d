//! Inputs and configurations that several tests use.

// Each test is a program of its own, and none uses all of it.
#![allow(dead_code)]

pub mod four_classes;
pub mod lookup_scene;

use tansy_dispatch::{
    AttemptOutcome, Call, CallId, Command, ControlRequestId, Input, ResponseStage, Trailers,
    WorkerRecord, WorkerState,
};
use tansyrouter::{Class, Effect, Micros};

/// An attempt or a control request that ended well.
pub const OK: AttemptOutcome = AttemptOutcome::Status {
    code: 0,
    stage: ResponseStage::Last,
};

/// A class without a stretch of its latency objective.
pub fn class(effect: Effect, aim: Micros, deadline: Micros) -> Class {
    Class {
        latency_objective: aim,
        objective_per_work: 0.0,
        deadline,
        effect,
        priority_weight: 1.0,
        late_weight: 0.5,
        streamed: false,
    }
}

/// A worker of the list, in a state.
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

/// The full list of workers.
pub fn worker_list(workers: Vec<WorkerRecord>) -> Input {
    Input::Workers {
        full: true,
        workers,
    }
}

/// A call that states nothing but its function.
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

/// A load ended, and left one instance.
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
