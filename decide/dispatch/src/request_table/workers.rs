//! The list of workers, and what it means for attempts and control requests that have not left.

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
        let mut named = BTreeSet::new();
        for record in workers {
            // Two names with one number would be one worker for the router: the later one is left out.
            let Ok(id) = self.worker_names.intern(&record.name) else {
                continue;
            };
            let worker = WorkerId(id);
            let started = record
                .age
                .map(|age| self.stable_start(worker, self.now.plus(-age.max(0))));
            named.insert(worker);
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
            self.remove_unnamed(&named, commands);
        }
        let kind = if full {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        self.notify_router(Event::Workers { kind, entries }, commands);
    }

    /// Workers that a full list does not name are gone.
    fn remove_unnamed(&mut self, named: &BTreeSet<WorkerId>, commands: &mut Vec<Command>) {
        let unnamed: Vec<WorkerId> = self
            .worker_states
            .keys()
            .copied()
            .filter(|worker| !named.contains(worker))
            .collect();
        for worker in unnamed {
            self.set_worker_state(worker, WorkerState::Gone, commands);
        }
    }

    /// A worker's start as one moment: its age, read at different times, varies with the way of the list, and a start
    /// that varies would look like a restart.
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

    /// Rule 3: what has not left yet for a worker that takes no work may not leave late. Only asking is free at any time.
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
