//! The list of workers, and what it means for attempts and orders that have not left.

use super::*;

impl Dispatcher {
    pub(super) fn on_list(&mut self, whole: bool, list: Vec<WorkerRecord>, out: &mut Vec<Command>) {
        let mut entries = Vec::with_capacity(list.len());
        let mut named = BTreeSet::new();
        for l in list {
            // Two names with one number would be one worker for the module: the later one is left out.
            let Ok(id) = self.workers.intern(&l.name) else {
                continue;
            };
            let worker = WorkerId(id);
            let state = match l.state {
                0 => WorkerState::Ready,
                1 => WorkerState::Draining,
                _ => WorkerState::Gone,
            };
            let started = l
                .age
                .map(|age| self.since(worker, self.now.plus(-age.max(0))));
            named.insert(worker);
            self.note_state(worker, state, out);
            let share = l.relative_size;
            entries.push(module::WorkerEntry {
                worker,
                kind: l.kind,
                cell: l.cell,
                zone: l.zone,
                state,
                started,
                share,
            });
        }
        if whole {
            let left: Vec<WorkerId> = self
                .states
                .keys()
                .copied()
                .filter(|w| !named.contains(w))
                .collect();
            for worker in left {
                self.note_state(worker, WorkerState::Gone, out);
            }
        }
        let kind = if whole {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        self.tell(Event::Workers { kind, entries }, out);
    }

    /// A worker's start as one moment: its age, read at different times, wavers by the list's way, and a start
    /// that wavers would look like a restart.
    pub(super) fn since(&mut self, worker: WorkerId, at: Time) -> Time {
        let known = self.started.get(&worker).copied();
        let start = known
            .filter(|t| at.since(*t).abs() < SECOND / 2)
            .unwrap_or(at);
        self.started.insert(worker, start);
        start
    }

    pub(super) fn note_state(
        &mut self,
        worker: WorkerId,
        state: WorkerState,
        out: &mut Vec<Command>,
    ) {
        let before = self.states.insert(worker, state);
        if state == WorkerState::Gone {
            if before.is_some_and(|b| b != WorkerState::Gone) {
                out.extend(
                    self.name(worker)
                        .map(|worker| Command::RetireWorker { worker }),
                );
            }
            self.states.remove(&worker);
            self.lacking.remove_worker(worker);
            self.started.remove(&worker);
        }
        if state != WorkerState::Ready {
            // Rule 3: an attempt that has not left yet may not leave late.
            let opening = self.calls.iter().filter(|(_, c)| {
                c.attempt
                    .as_ref()
                    .is_some_and(|a| a.worker == worker && a.phase == Phase::Opening)
            });
            let mut opening: Vec<CallId> = opening.map(|(id, _)| *id).collect();
            opening.sort();
            for id in opening {
                self.confirm(id, out);
            }
            // Nor may an order to load; asking is free at any time.
            let loads = self
                .order_list
                .iter()
                .filter(|(_, o)| o.worker == worker && o.instances > 0);
            out.extend(loads.map(|(order, _)| Command::RecallUnsent { request: *order }));
        }
    }

    pub(super) fn name(&self, worker: WorkerId) -> Option<String> {
        self.workers.name(worker.0).map(str::to_string)
    }
}
