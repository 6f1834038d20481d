//! The worker list, and its effect on attempts and control requests that were not sent yet.

use super::entries::{AttemptPhase, OpenCall};
use super::Dispatcher;
use crate::message::{CallId, Command, WorkerRecord};
use std::collections::BTreeSet;
use tansyrouter::{Event, ListKind, Time, WorkerEntry, WorkerId, WorkerState, SECOND};

impl Dispatcher {
    pub(super) fn on_worker_list(
        &mut self,
        full: bool,
        workers: Vec<WorkerRecord>,
        commands: &mut Vec<Command>,
    ) {
        let mut entries = Vec::with_capacity(workers.len());
        let mut listed = BTreeSet::new();
        for record in workers {
            // The router would confuse two workers whose names have the same id, so the later one is ignored.
            let Ok(id) = self.worker_names.intern(&record.name) else {
                continue;
            };
            let worker = WorkerId(id);
            let started = record
                .age
                .map(|age| self.stable_start(worker, self.now.plus(-age.max(0))));
            listed.insert(worker);
            self.set_worker_state(worker, record.state, commands);
            entries.push(WorkerEntry {
                worker,
                kind: record.kind,
                cell: record.cell,
                zone: record.zone,
                state: record.state,
                started,
                relative_size: record.relative_size,
            });
        }
        if full {
            self.remove_unlisted(&listed, commands);
        }
        let kind = if full {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        self.notify_router(Event::Workers { kind, entries }, commands);
    }

    /// Marks workers that a full list omits as gone.
    fn remove_unlisted(&mut self, listed: &BTreeSet<WorkerId>, commands: &mut Vec<Command>) {
        let unlisted: Vec<WorkerId> = self
            .worker_states
            .keys()
            .copied()
            .filter(|worker| !listed.contains(worker))
            .collect();
        for worker in unlisted {
            self.set_worker_state(worker, WorkerState::Gone, commands);
        }
    }

    /// The start time of a worker, kept stable across lists. Times computed from reported ages vary with the delay of the
    /// list, and a changed start time would look like a restart.
    fn stable_start(&mut self, worker: WorkerId, at: Time) -> Time {
        let known = self.worker_starts.get(&worker).copied();
        let start = known
            .filter(|known| at.since(*known).abs() < SECOND / 2)
            .unwrap_or(at);
        self.worker_starts.insert(worker, start);
        start
    }

    fn set_worker_state(
        &mut self,
        worker: WorkerId,
        state: WorkerState,
        commands: &mut Vec<Command>,
    ) {
        let before = self.worker_states.insert(worker, state);
        if state == WorkerState::Gone {
            if before.is_some_and(|before| before != WorkerState::Gone) {
                let name = self.worker_name(worker);
                commands.extend(name.map(|worker| Command::RetireWorker { worker }));
            }
            self.worker_states.remove(&worker);
            self.load_failures.remove_worker(worker);
            self.worker_starts.remove(&worker);
        }
        if state != WorkerState::Ready {
            self.stop_unsent_work(worker, commands);
        }
    }

    /// Stops attempts and loads that were not sent yet to a worker that no longer accepts work. Other control requests are
    /// harmless there.
    fn stop_unsent_work(&mut self, worker: WorkerId, commands: &mut Vec<Command>) {
        let opening = |call: &OpenCall| {
            let attempt = call.attempt.as_ref();
            attempt.is_some_and(|a| a.worker == worker && a.phase == AttemptPhase::Opening)
        };
        let mut unsent: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| opening(call))
            .map(|(id, _)| *id)
            .collect();
        unsent.sort();
        for id in unsent {
            self.confirm_attempt(id, commands);
        }
        let loads = self
            .control_requests
            .iter()
            .filter(|(_, request)| request.worker == worker && request.instances > 0);
        commands.extend(loads.map(|(id, _)| Command::RecallUnsent { request: *id }));
    }

    pub(super) fn worker_name(&self, worker: WorkerId) -> Option<String> {
        self.worker_names.name(worker.0).map(str::to_string)
    }
}
