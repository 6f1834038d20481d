//! The state of a worker: loaded instances, running calls and waiting calls. Times are passed in; nothing reads a clock.

mod loading;
#[cfg(test)]
mod tests;

use crate::profile::{Function, MissPolicy, Profile};
use std::collections::{BTreeMap, VecDeque};

/// Identifies a call at this worker.
pub type CallId = u64;
/// Identifies a load request at this worker.
pub type LoadId = u64;

/// The state of a function when a call arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// An instance was loaded.
    Warm,
    /// The call started a load.
    StartedLoad,
    /// The call waited for a load that was already queued or running.
    AwaitedLoad,
}

/// The decision on an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call runs immediately.
    Run(CacheStatus),
    /// The call waits; [`WorkerState::take_started`] returns it when it may run.
    Wait(CacheStatus),
    /// The function is not loaded.
    NotLoaded,
    /// Too many calls wait, or there is no memory for an instance.
    Rejected,
    /// The worker is not configured with the function.
    UnknownFunction,
}

/// The instances and calls of one function.
#[derive(Default)]
struct InstancePool {
    /// The function's index in the profile.
    function: usize,
    loaded: u32,
    loading: u32,
    queued_loads: u32,
    running: u32,
    waiting: VecDeque<CallId>,
    idle_since: i64,
    /// Load requests that are answered when the next load finishes.
    load_requests: Vec<LoadId>,
}

/// The state of a worker.
pub struct WorkerState {
    profile: Profile,
    started_at: i64,
    pools: BTreeMap<String, InstancePool>,
    /// Running loads: when each finishes, and its function.
    loading: Vec<(i64, String)>,
    /// Functions with a queued load, in order.
    load_queue: VecDeque<String>,
    /// Arrival times and work of recent calls, during the slow start.
    recent_work: VecDeque<(i64, i64)>,
    failed_under_overload: bool,
    started_calls: Vec<CallId>,
    finished_loads: Vec<(LoadId, u32)>,
}

impl WorkerState {
    /// Creates a worker without instances. `warm`: starts with full capacity, without a slow start.
    pub fn new(profile: Profile, now: i64, warm: bool) -> WorkerState {
        let pool = |(index, function): (usize, &Function)| {
            let pool = InstancePool {
                function: index,
                ..InstancePool::default()
            };
            (function.name.clone(), pool)
        };
        let pools = profile.functions.iter().enumerate().map(pool).collect();
        let started_at = if warm {
            now - profile.slow_start_window
        } else {
            now
        };
        WorkerState {
            profile,
            started_at,
            pools,
            loading: Vec::new(),
            load_queue: VecDeque::new(),
            recent_work: VecDeque::new(),
            failed_under_overload: false,
            started_calls: Vec::new(),
            finished_loads: Vec::new(),
        }
    }

    /// The worker's configuration.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Whether the worker was overloaded during its slow start.
    pub fn failed_under_overload(&self) -> bool {
        self.failed_under_overload
    }

    /// The current capacity, as a share of the full capacity.
    pub fn capacity_share(&self, now: i64) -> f64 {
        let age = (now - self.started_at).max(0) as f64;
        let slow_start_window = self.profile.slow_start_window.max(1) as f64;
        let from = self.profile.slow_start_from;
        (from + (1.0 - from) * age / slow_start_window).min(1.0)
    }

    /// How long the work takes at the current capacity, microseconds.
    pub fn duration_of(&self, work: i64, now: i64) -> i64 {
        (work as f64 / self.capacity_share(now).max(0.01)) as i64
    }

    /// Work of a call of the function that doesn't specify it, microseconds.
    pub fn default_work(&self, function: &str) -> i64 {
        self.pools
            .get(function)
            .map_or(0, |pool| self.profile.functions[pool.function].default_work)
    }

    /// Decides on an arriving call that needs `work` microseconds.
    pub fn admit(&mut self, call: CallId, function: &str, work: i64, now: i64) -> Admission {
        self.check_overload(work, now);
        let waiting: usize = self.pools.values().map(|pool| pool.waiting.len()).sum();
        let Some(pool) = self.pools.get_mut(function) else {
            return Admission::UnknownFunction;
        };
        if pool.running < pool.loaded * self.profile.functions[pool.function].lanes {
            pool.running += 1;
            return Admission::Run(CacheStatus::Warm);
        }
        if waiting >= self.profile.max_waiting_calls {
            return Admission::Rejected;
        }
        if pool.loaded + pool.loading + pool.queued_loads > 0 {
            pool.waiting.push_back(call);
            return Admission::Wait(match pool.loaded {
                0 => CacheStatus::AwaitedLoad,
                _ => CacheStatus::Warm,
            });
        }
        if self.profile.miss_policy == MissPolicy::Miss {
            return Admission::NotLoaded;
        }
        if !self.queue_load(function, now) {
            return Admission::Rejected;
        }
        if let Some(pool) = self.pools.get_mut(function) {
            pool.waiting.push_back(call);
        }
        Admission::Wait(CacheStatus::StartedLoad)
    }

    /// Records the work of an arriving call, and detects overload during the slow start.
    fn check_overload(&mut self, work: i64, now: i64) {
        let age = now - self.started_at;
        let window = self.profile.overload_window;
        if age >= self.profile.slow_start_window {
            self.recent_work.clear();
            return;
        }
        self.recent_work.push_back((now, work));
        let is_old = |first: &(i64, i64)| now - first.0 > window;
        while self.recent_work.front().is_some_and(is_old) {
            self.recent_work.pop_front();
        }
        let sent: i64 = self.recent_work.iter().map(|(_, work)| work).sum();
        let capacity = self.capacity_share(now) * self.profile.cores * window as f64;
        if age >= window && sent as f64 > self.profile.overload_multiple * capacity {
            self.failed_under_overload = true;
        }
    }

    /// Removes a call. `ran`: it was running; otherwise it was waiting and has been cancelled.
    pub fn finish(&mut self, call: CallId, function: &str, ran: bool, now: i64) {
        let Some(pool) = self.pools.get_mut(function) else {
            return;
        };
        if !ran {
            pool.waiting.retain(|waiting| *waiting != call);
            return;
        }
        pool.running = pool.running.saturating_sub(1);
        if pool.running == 0 {
            pool.idle_since = now;
        }
        self.start_waiting(function);
    }

    /// Starts waiting calls on free lanes, in order of arrival.
    fn start_waiting(&mut self, function: &str) {
        let Some(pool) = self.pools.get_mut(function) else {
            return;
        };
        let lanes = self.profile.functions[pool.function].lanes;
        while pool.running < pool.loaded * lanes {
            let Some(call) = pool.waiting.pop_front() else {
                return;
            };
            pool.running += 1;
            self.started_calls.push(call);
        }
    }

    /// Removes and returns the waiting calls that were started.
    pub fn take_started(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.started_calls)
    }

    /// The numbers of waiting calls, running calls, and running or queued loads.
    pub fn load_counts(&self) -> (usize, u32, usize) {
        let waiting = self.pools.values().map(|pool| pool.waiting.len()).sum();
        let running = self.pools.values().map(|pool| pool.running).sum();
        (waiting, running, self.loading.len() + self.load_queue.len())
    }

    /// Number of running and waiting calls of a function.
    pub fn concurrent_calls(&self, function: &str) -> u32 {
        self.pools
            .get(function)
            .map_or(0, |pool| pool.running + pool.waiting.len() as u32)
    }
}
