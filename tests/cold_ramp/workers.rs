//! Simulated workers: their loaded functions, running calls and queues.

use crate::scenario::{CORES, IDLE_TIMEOUT};
use std::collections::HashMap;
use tansyrouter::{Micros, RequestId, Time};

/// Identifies a process of a front end. A restart increments the incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FrontEndId {
    /// Index of the front end.
    pub index: usize,
    /// Number of its restarts.
    pub incarnation: u32,
}

/// An attempt of a call on its way to a worker.
#[derive(Debug)]
pub struct Attempt {
    /// The front end that sent it.
    pub front_end: FrontEndId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The number of the attempt.
    pub number: u32,
    /// The worker that it is sent to.
    pub worker: u64,
    /// The function that is called.
    pub function: u64,
    /// The class of the call.
    pub class: usize,
    /// The work of the call, as its time at full speed on a worker of the first kind.
    pub work: Micros,
}

/// An attempt that has reached a worker.
pub struct AcceptedAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// When it was sent.
    pub sent: Time,
    /// Calls of its function at the worker when it arrived.
    pub concurrency: u32,
    /// Its number in the simulation.
    pub serial: u64,
}

/// A worker.
#[derive(Default)]
pub struct Worker {
    /// When it started; `None` for workers that exist from the beginning.
    pub started: Option<Time>,
    /// Whether it is gone.
    pub gone: bool,
    /// Loaded functions, each with the time of its last use.
    pub loaded: HashMap<u64, Time>,
    /// Running calls.
    pub running: Vec<AcceptedAttempt>,
    /// Calls that are waiting for a core.
    pub waiting: Vec<AcceptedAttempt>,
}

impl Worker {
    /// Returns the number of calls of a function that are running or waiting.
    pub fn concurrency(&self, function: u64) -> u32 {
        let calls = self.running.iter().chain(&self.waiting);
        calls
            .filter(|call| call.attempt.function == function)
            .count() as u32
    }

    /// Whether an instance of the function is loaded and within its idle timeout.
    pub fn has_instance(&self, function: u64, now: Time) -> bool {
        let last_use = self.loaded.get(&function);
        last_use.is_some_and(|at| now.since(*at) < IDLE_TIMEOUT)
    }

    /// Whether its queue is full.
    pub fn is_full(&self) -> bool {
        self.waiting.len() > 4 * CORES
    }

    /// Starts waiting calls on free cores. Returns the number and work of each.
    pub fn start_waiting(&mut self) -> Vec<(u64, Micros)> {
        let mut started = Vec::new();
        while self.running.len() < CORES && !self.waiting.is_empty() {
            let call = self.waiting.remove(0);
            started.push((call.serial, call.attempt.work));
            self.running.push(call);
        }
        started
    }
}
