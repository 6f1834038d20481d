//! A worker and its instances: loads, running calls and queued requests. The state does not depend on the clock.

use super::events::WorkerRequest;
use super::WorkerCounters;
use crate::inputs::INSTANCES_PER_WORKER;
use std::collections::{HashMap, VecDeque};
use tansy_dispatch::LoadReport;
use tansyrouter::Micros;

/// Concurrent calls per instance.
pub(super) const LANES: u32 = 4;
/// Concurrent loads per worker, as configured for the sites under `deploy/`.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Maximum number of instances per worker.
const MAX_INSTANCES: usize = 2 * INSTANCES_PER_WORKER;
/// Number of concurrent calls that use all cores of a worker.
const CALLS_AT_FULL_UTILIZATION: f64 = 8.0;

/// An instance of a function, loaded or being loaded.
#[derive(Default)]
pub(super) struct Instance {
    pub ready: bool,
    pub running: u32,
    pub waiting: VecDeque<WorkerRequest>,
    pub idle_since: Micros,
}

impl Instance {
    pub fn is_idle(&self) -> bool {
        self.ready && self.running == 0
    }

    pub fn is_ready_for_call(&self) -> bool {
        self.ready && self.has_free_lane()
    }

    pub fn has_free_lane(&self) -> bool {
        self.running < LANES
    }
}

/// A worker of the simulation.
#[derive(Default)]
pub(super) struct SimulatedWorker {
    /// By function.
    pub instances: HashMap<usize, Instance>,
    loading: usize,
    load_queue: VecDeque<usize>,
    running: u32,
    /// Whether the worker ignores all requests.
    pub silent: bool,
    pub counters: WorkerCounters,
}

impl SimulatedWorker {
    pub fn has_room(&self) -> bool {
        self.instances.len() < MAX_INSTANCES
    }

    /// The function whose instance has been idle the longest.
    pub fn longest_idle(&self) -> Option<usize> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.is_idle())
            .min_by_key(|(function, instance)| (instance.idle_since, **function))
            .map(|(function, _)| *function)
    }

    /// Queues a load and the request that waits for it.
    pub fn enqueue_load(&mut self, function: usize, request: WorkerRequest) {
        self.counters.loads += 1;
        let instance = Instance {
            waiting: VecDeque::from([request]),
            ..Instance::default()
        };
        self.instances.insert(function, instance);
        self.load_queue.push_back(function);
    }

    /// Starts the next queued load if a slot is free, and returns its function.
    pub fn start_load(&mut self) -> Option<usize> {
        if self.loading >= MAX_CONCURRENT_LOADS {
            return None;
        }
        let function = self.load_queue.pop_front()?;
        self.loading += 1;
        Some(function)
    }

    pub fn finish_load(&mut self, function: usize) {
        self.loading = self.loading.saturating_sub(1);
        if let Some(instance) = self.instances.get_mut(&function) {
            instance.ready = true;
        }
    }

    /// Starts a call in a function's instance; returns whether the instance exists.
    pub fn start_call(&mut self, function: usize) -> bool {
        let Some(instance) = self.instances.get_mut(&function) else {
            return false;
        };
        instance.running += 1;
        self.running += 1;
        true
    }

    /// Ends a call in a function's instance; returns whether the instance exists.
    pub fn finish_call(&mut self, function: usize) -> bool {
        let Some(instance) = self.instances.get_mut(&function) else {
            return false;
        };
        instance.running = instance.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        true
    }

    /// The load report sent with each answer.
    pub fn load_report(&self) -> LoadReport {
        let utilization = f64::from(self.running) / CALLS_AT_FULL_UTILIZATION;
        LoadReport {
            busy: Some(utilization.min(1.0)),
            loads: Some((self.loading + self.load_queue.len()) as f64),
            ..LoadReport::default()
        }
    }
}
