//! Behaviour of the simulated workers: they load an instance on a miss or a load request, unload it after its idle life, and
//! limit concurrent loads and concurrent calls per instance.

use super::events::{AttemptId, ControlId, ControlRequestKind, Event, WorkerRequest};
use super::worker::Instance;
use super::{WorkerSimulation, NETWORK_DELAY, SERVED, UNAVAILABLE, WORK_TIME};
use crate::inputs::LOAD_TIME;
use tansy_dispatch::{AttemptOutcome, CacheStatus, NeverRan, Trailers};
use tansyrouter::Micros;

fn never_ran(reason: NeverRan) -> Trailers {
    Trailers {
        never_ran: Some(reason),
        ..Trailers::default()
    }
}

fn instance_count(count: u32) -> Trailers {
    Trailers {
        instances: Some(count),
        ..Trailers::default()
    }
}

impl WorkerSimulation {
    fn instance_mut(&mut self, worker: usize, function: usize) -> Option<&mut Instance> {
        self.workers[worker].instances.get_mut(&function)
    }

    pub(super) fn on_attempt(&mut self, worker: usize, function: usize, id: AttemptId) {
        let state = &mut self.workers[worker];
        state.counters.attempts += 1;
        if state.silent {
            return;
        }
        let request = |cache_status| WorkerRequest::Attempt { id, cache_status };
        match state.instances.get_mut(&function) {
            Some(instance) if instance.is_ready_for_call() => {
                self.run_call(worker, function, request(CacheStatus::Warm));
            }
            Some(instance) => {
                let cache_status = if instance.ready {
                    CacheStatus::Warm
                } else {
                    CacheStatus::AwaitedLoad
                };
                instance.waiting.push_back(request(cache_status));
            }
            None if self.rejects_misses => {
                let trailers = never_ran(NeverRan::NotLoaded);
                self.answer(
                    worker,
                    request(CacheStatus::Unreported),
                    UNAVAILABLE,
                    trailers,
                );
            }
            None => {
                if !self.load(worker, function, request(CacheStatus::StartedLoad)) {
                    let trailers = never_ran(NeverRan::TurnedAway);
                    let request = request(CacheStatus::Unreported);
                    self.answer(worker, request, UNAVAILABLE, trailers);
                }
            }
        }
    }

    pub(super) fn on_control_request(
        &mut self,
        worker: usize,
        function: usize,
        id: ControlId,
        kind: ControlRequestKind,
    ) {
        let state = &mut self.workers[worker];
        state.counters.control_requests[kind as usize] += 1;
        if state.silent {
            return;
        }
        let request = WorkerRequest::Control(id);
        match kind {
            ControlRequestKind::Load => self.on_load_request(worker, function, request),
            ControlRequestKind::Unload => self.on_unload_request(worker, function, request),
            ControlRequestKind::Query => self.answer_query(worker, function, request),
            ControlRequestKind::Probe => {
                self.answer(worker, request, SERVED, Trailers::default());
            }
        }
    }

    fn on_load_request(&mut self, worker: usize, function: usize, request: WorkerRequest) {
        match self.instance_mut(worker, function) {
            Some(instance) if instance.ready => {
                self.start_idle_life(worker, function);
                self.answer(worker, request, SERVED, instance_count(1));
            }
            Some(instance) => instance.waiting.push_back(request),
            None => {
                if !self.load(worker, function, request) {
                    let trailers = never_ran(NeverRan::TurnedAway);
                    self.answer(worker, request, UNAVAILABLE, trailers);
                }
            }
        }
    }

    fn on_unload_request(&mut self, worker: usize, function: usize, request: WorkerRequest) {
        let instances = &self.workers[worker].instances;
        if instances.get(&function).is_some_and(Instance::is_idle) {
            self.remove_instance(worker, function);
        }
        self.answer(worker, request, SERVED, instance_count(0));
    }

    fn answer_query(&mut self, worker: usize, function: usize, request: WorkerRequest) {
        let instances = &self.workers[worker].instances;
        let ready = instances.get(&function).is_some_and(|i| i.ready);
        let trailers = instance_count(u32::from(ready));
        self.answer(worker, request, SERVED, trailers);
    }

    fn remove_instance(&mut self, worker: usize, function: usize) {
        let removed = self.workers[worker].instances.remove(&function);
        if removed.is_some() {
            self.instance_counts[function] -= 1;
        }
    }

    /// Makes room for an instance, if necessary by removing the longest idle one; returns whether there is room.
    fn make_room(&mut self, worker: usize) -> bool {
        let state = &self.workers[worker];
        if state.has_room() {
            return true;
        }
        let Some(function) = state.longest_idle() else {
            return false;
        };
        self.remove_instance(worker, function);
        true
    }

    /// Queues a load and the request that waits for it; returns whether there was room.
    fn load(&mut self, worker: usize, function: usize, request: WorkerRequest) -> bool {
        if !self.make_room(worker) {
            return false;
        }
        self.workers[worker].enqueue_load(function, request);
        self.instance_counts[function] += 1;
        self.start_loads(worker);
        true
    }

    fn start_loads(&mut self, worker: usize) {
        while let Some(function) = self.workers[worker].start_load() {
            let event = Event::InstanceLoaded { worker, function };
            self.queue.schedule(LOAD_TIME, event);
        }
    }

    pub(super) fn on_instance_loaded(&mut self, worker: usize, function: usize) {
        self.workers[worker].finish_load(function);
        self.start_loads(worker);
        self.run_waiting(worker, function);
    }

    fn run_call(&mut self, worker: usize, function: usize, request: WorkerRequest) {
        if self.workers[worker].start_call(function) {
            let event = Event::CallFinished {
                worker,
                function,
                request,
            };
            self.queue.schedule(WORK_TIME, event);
        }
    }

    pub(super) fn on_call_finished(
        &mut self,
        worker: usize,
        function: usize,
        request: WorkerRequest,
    ) {
        self.answer(worker, request, SERVED, Trailers::default());
        if self.workers[worker].finish_call(function) {
            self.run_waiting(worker, function);
        }
    }

    /// Runs the requests that wait for an instance while it has free lanes. The idle life starts if nothing is running.
    fn run_waiting(&mut self, worker: usize, function: usize) {
        loop {
            let Some(instance) = self.instance_mut(worker, function) else {
                return;
            };
            let has_free_lane = instance.has_free_lane();
            let next = has_free_lane.then(|| instance.waiting.pop_front());
            match next.flatten() {
                Some(request @ WorkerRequest::Attempt { .. }) => {
                    self.run_call(worker, function, request);
                }
                Some(request @ WorkerRequest::Control(_)) => {
                    self.answer(worker, request, SERVED, instance_count(1));
                }
                None => break,
            }
        }
        self.start_idle_life(worker, function);
    }

    /// Starts the idle life of an instance if it is idle.
    fn start_idle_life(&mut self, worker: usize, function: usize) {
        let now = self.queue.now();
        let Some(instance) = self.instance_mut(worker, function) else {
            return;
        };
        if !instance.is_idle() {
            return;
        }
        instance.idle_since = now;
        let event = Event::IdleTimeout {
            worker,
            function,
            idle_since: now,
        };
        self.queue.schedule(self.idle_life, event);
    }

    pub(super) fn on_idle_timeout(&mut self, worker: usize, function: usize, idle_since: Micros) {
        let instances = &self.workers[worker].instances;
        let unused = |i: &Instance| i.is_idle() && i.idle_since == idle_since;
        if instances.get(&function).is_some_and(unused) {
            self.remove_instance(worker, function);
        }
    }

    /// Sends an answer with the worker's load report, unless the worker is silent.
    fn answer(
        &mut self,
        worker: usize,
        request: WorkerRequest,
        outcome: AttemptOutcome,
        mut trailers: Trailers,
    ) {
        let state = &self.workers[worker];
        if state.silent {
            return;
        }
        trailers.report = Some(state.load_report());
        let event = match request {
            WorkerRequest::Attempt { id, cache_status } => {
                trailers.cache_status = cache_status;
                Event::AttemptEnded {
                    id,
                    outcome,
                    trailers,
                }
            }
            WorkerRequest::Control(id) => Event::ControlRequestEnded {
                id,
                outcome,
                trailers,
            },
        };
        self.queue.schedule(NETWORK_DELAY, event);
    }
}
