//! Simulated workers: what they have loaded, run and queue.

use crate::scenario::{CORES, IDLE_LIFE};
use std::collections::HashMap;
use tansyrouter::{Micros, RequestId, Time};

/// A front end's process: it gets a new incarnation when it starts anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FrontEndId {
    /// Which front end.
    pub index: usize,
    /// Which of its processes.
    pub incarnation: u32,
}

/// An attempt of a call on its way to a worker.
#[derive(Debug)]
pub struct Attempt {
    /// Who sent it.
    pub front_end: FrontEndId,
    /// Of which call.
    pub request: RequestId,
    /// The number of the attempt.
    pub number: u32,
    /// Where to.
    pub worker: u64,
    /// The function that is called.
    pub function: u64,
    /// The call's class.
    pub class: usize,
    /// The work of the call on a worker of the first kind that is warm.
    pub work: Micros,
}

/// An attempt that has reached a worker.
pub struct AcceptedAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// When it was sent.
    pub sent: Time,
    /// The calls of its function that the worker had then.
    pub concurrency: u32,
    /// Its number in the simulation.
    pub serial: u64,
}

/// A worker.
#[derive(Default)]
pub struct Worker {
    /// When it started, if it started cold.
    pub started: Option<Time>,
    /// It has left.
    pub gone: bool,
    /// Functions that are loaded, each with its last use.
    pub loaded: HashMap<u64, Time>,
    /// Calls that run.
    pub running: Vec<AcceptedAttempt>,
    /// Calls that wait for a core.
    pub waiting: Vec<AcceptedAttempt>,
}

impl Worker {
    /// Calls of a function that run or wait.
    pub fn concurrency(&self, function: u64) -> u32 {
        let calls = self.running.iter().chain(&self.waiting);
        calls
            .filter(|call| call.attempt.function == function)
            .count() as u32
    }

    /// Whether an instance of the function is loaded and still in use.
    pub fn has_instance(&self, function: u64, now: Time) -> bool {
        let last_use = self.loaded.get(&function);
        last_use.is_some_and(|at| now.since(*at) < IDLE_LIFE)
    }

    /// Whether its queue takes no more calls.
    pub fn is_full(&self) -> bool {
        self.waiting.len() > 4 * CORES
    }

    /// Starts calls that wait on the cores that are free: number and work of each.
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
