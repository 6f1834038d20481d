//! Conversion of messages to router events.

use crate::error::LineError;
use crate::front_end::FrontEnd;
use crate::wire::{Arrival, AttemptEnded, Entry, LoadEnded, ProbeEnded, StreamStarted, Timer};
use tansy_conf::micros;
use tansyrouter as router;
use tansyrouter::{Event, InstanceStatus, ListKind, RequestId, Time, WorkerId, WorkerState};

/// Flag of an arrival whose work hint is valid.
const WORK_IS_STATED: u32 = 1;
/// Flag of an arrival that is a retry by the client.
const IS_CLIENT_RETRY: u32 = 2;
/// An instance code is the instance status plus this factor times the number of concurrent calls.
const INSTANCE_STATUSES: u32 = 8;
/// Token for timers with a non-numeric token; routers never use it.
const UNKNOWN_TOKEN: u64 = u64::MAX;

/// Returns how the entries of a list change it.
pub fn list_kind(mode: u8) -> Result<ListKind, LineError> {
    match mode {
        1 => Ok(ListKind::Cached),
        2 => Ok(ListKind::Failed),
        3 => Ok(ListKind::Full),
        4 => Ok(ListKind::Changes),
        mode => Err(LineError::UnknownListMode { mode }),
    }
}

/// Converts a worker list and records its names. Workers that have left are removed after the batch.
pub fn worker_list(
    front_end: &mut FrontEnd,
    kind: ListKind,
    list: Vec<Entry>,
) -> Result<Event, LineError> {
    let mut entries = Vec::with_capacity(list.len());
    for listed in list {
        let state = worker_state(&listed)?;
        entries.push(worker_entry(front_end, listed, state));
    }
    front_end.workers.mark_departed(kind, &entries);
    Ok(Event::Workers { kind, entries })
}

fn worker_state(listed: &Entry) -> Result<WorkerState, LineError> {
    match listed.health {
        1 => Ok(WorkerState::Ready),
        2 => Ok(WorkerState::Gone),
        3 => Ok(WorkerState::Draining),
        health => Err(LineError::UnknownWorkerState {
            health,
            worker: listed.worker.clone(),
        }),
    }
}

fn worker_entry(
    front_end: &mut FrontEnd,
    listed: Entry,
    state: WorkerState,
) -> router::WorkerEntry {
    let worker: WorkerId = front_end.workers.register(listed.worker);
    let started = Time(micros(listed.started_s));
    router::WorkerEntry {
        worker,
        kind: listed.machine_kind,
        cell: listed.cell,
        zone: listed.zone,
        state,
        started: (started != Time(0)).then_some(started),
        relative_size: listed.relative_size,
    }
}

/// Converts the arrival of a request.
pub fn arrival(front_end: &mut FrontEnd, arrival: Arrival) -> Result<Event, LineError> {
    let is_work_stated = arrival.flags & WORK_IS_STATED != 0;
    Ok(Event::Arrival(router::Arrival {
        request: RequestId(arrival.request),
        function: front_end.functions.register(&arrival.function)?,
        class: arrival.class,
        tenant: arrival.tenant,
        budget: micros(arrival.budget_s),
        work_hint: arrival.work_hint_s.filter(|_| is_work_stated).map(micros),
        lanes: arrival.lanes as u32,
        memory_mb: arrival.memory_mb,
        load_time: arrival
            .load_time_ms
            .map(|milliseconds| micros(milliseconds / 1e3)),
        is_client_retry: arrival.flags & IS_CLIENT_RETRY != 0,
    }))
}

/// Converts a timer that is due.
pub fn timer_due(timer: &Timer) -> Event {
    Event::Timer {
        token: timer.token.parse().unwrap_or(UNKNOWN_TOKEN),
    }
}

/// Converts the start of a streamed answer.
pub fn stream_started(stream: &StreamStarted) -> Event {
    Event::StreamStarted {
        request: RequestId(stream.request),
        attempt: stream.attempt,
    }
}

/// Converts the end of an attempt.
pub fn attempt_ended(front_end: &FrontEnd, attempt: AttemptEnded) -> Event {
    Event::AttemptEnded(router::AttemptResult {
        request: RequestId(attempt.request),
        attempt: attempt.attempt,
        worker: front_end.workers.id(&attempt.worker),
        outcome: attempt.outcome,
        concluded: attempt.concluded,
        latency: micros(attempt.latency_s),
        instance_status: instance_status(attempt.instance_code),
        concurrency: Some(attempt.instance_code / INSTANCE_STATUSES),
        report: front_end.load_report(attempt.load_report),
    })
}

fn instance_status(instance_code: u32) -> InstanceStatus {
    match instance_code % INSTANCE_STATUSES {
        1 => InstanceStatus::Warm,
        2 => InstanceStatus::StartedLoad,
        3 => InstanceStatus::AwaitedLoad,
        4 => InstanceStatus::LoadFailed,
        _ => InstanceStatus::Unreported,
    }
}

/// Converts the disconnection of a client.
pub fn client_left(request: u64) -> Event {
    Event::ClientLeft {
        request: RequestId(request),
    }
}

/// Converts the end of a probe.
pub fn probe_ended(front_end: &FrontEnd, probe: ProbeEnded) -> Event {
    Event::ProbeEnded {
        worker: front_end.workers.id(&probe.worker),
        outcome: probe.outcome,
        latency: micros(probe.latency_s),
        report: front_end.load_report(probe.load_report),
    }
}

/// Converts the end of a load request.
pub fn load_ended(front_end: &mut FrontEnd, load: &LoadEnded) -> Result<Event, LineError> {
    Ok(Event::LoadEnded {
        worker: front_end.workers.id(&load.worker),
        function: front_end.functions.register(&load.function)?,
        outcome: load.outcome,
        latency: micros(load.latency_s),
        instances: load.instances,
    })
}
