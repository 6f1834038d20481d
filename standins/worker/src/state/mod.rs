//! What a worker has loaded, which calls run on it and which wait. Time is an argument; the state holds no clock.

mod loading;
#[cfg(test)]
mod tests;

use crate::profile::{Function, MissPolicy, Profile};
use std::collections::{BTreeMap, VecDeque};

/// Names a call at this worker.
pub type CallId = u64;
/// Names a load request at this worker.
pub type LoadId = u64;

/// In which state a call found its function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// An instance was loaded.
    Warm,
    /// The call began a load.
    BeganLoad,
    /// The call waited for a load begun before.
    AwaitedLoad,
}

/// What is done with a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs at once.
    Run(CacheStatus),
    /// It waits; [`WorkerState::take_started`] gives it when it runs.
    Wait(CacheStatus),
    /// The function is not loaded.
    NotLoaded,
    /// No room to wait, or no memory.
    Rejected,
    /// No such function.
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
    /// Load requests that are answered when the next load ends.
    load_requests: Vec<LoadId>,
}

/// A worker's state.
pub struct WorkerState {
    profile: Profile,
    started_at: i64,
    pools: BTreeMap<String, InstancePool>,
    /// Loads under way, by when they end.
    loading: Vec<(i64, String)>,
    load_queue: VecDeque<String>,
    /// Work that was sent while cold, by when.
    recent_work: VecDeque<(i64, i64)>,
    fallen: bool,
    started_calls: Vec<CallId>,
    finished_loads: Vec<(LoadId, u32)>,
}

impl WorkerState {
    /// A worker that has just started, empty. `warm`: it counts as having run for long.
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
            fallen: false,
            started_calls: Vec::new(),
            finished_loads: Vec::new(),
        }
    }

    /// Its configuration.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Whether it failed under overload: while cold it was sent more than it can serve.
    pub fn failed_under_overload(&self) -> bool {
        self.fallen
    }

    /// Its capacity now, as a share of all.
    pub fn capacity_share(&self, now: i64) -> f64 {
        let age = (now - self.started_at).max(0) as f64;
        let slow_start_window = self.profile.slow_start_window.max(1) as f64;
        let from = self.profile.slow_start_from;
        (from + (1.0 - from) * age / slow_start_window).min(1.0)
    }

    /// How long work takes now: a cold worker is slower.
    pub fn duration_of(&self, work: i64, now: i64) -> i64 {
        (work as f64 / self.capacity_share(now).max(0.01)) as i64
    }

    /// Usual work of a function's call.
    pub fn usual_work(&self, function: &str) -> i64 {
        self.pools
            .get(function)
            .map_or(0, |pool| self.profile.functions[pool.function].default_work)
    }

    /// A call arrives that will take this much work, microseconds.
    pub fn admit(&mut self, call: CallId, function: &str, work: i64, now: i64) -> Admission {
        self.check_cold_load(work, now);
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
        if !self.load(function, now) {
            return Admission::Rejected;
        }
        if let Some(pool) = self.pools.get_mut(function) {
            pool.waiting.push_back(call);
        }
        Admission::Wait(CacheStatus::BeganLoad)
    }

    /// A cold worker fails when sent more than a multiple of what it can do.
    fn check_cold_load(&mut self, work: i64, now: i64) {
        let age = now - self.started_at;
        let span = self.profile.overload_window;
        if age >= self.profile.slow_start_window {
            self.recent_work.clear();
            return;
        }
        self.recent_work.push_back((now, work));
        let is_old = |first: &(i64, i64)| now - first.0 > span;
        while self.recent_work.front().is_some_and(is_old) {
            self.recent_work.pop_front();
        }
        let sent: i64 = self.recent_work.iter().map(|(_, work)| work).sum();
        let capacity = self.capacity_share(now) * self.profile.cores * span as f64;
        if age >= span && sent as f64 > self.profile.overload_multiple * capacity {
            self.fallen = true;
        }
    }

    /// A call has left: it ran to its end, or it was cancelled while it waited.
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

    /// Gives free lanes to the calls that wait, in order.
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

    /// Calls that waited and run now.
    pub fn take_started(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.started_calls)
    }

    /// Waiting calls, running calls, loads under way or waiting.
    pub fn load_figures(&self) -> (usize, u32, usize) {
        let waiting = self.pools.values().map(|pool| pool.waiting.len()).sum();
        let running = self.pools.values().map(|pool| pool.running).sum();
        (waiting, running, self.loading.len() + self.load_queue.len())
    }

    /// Calls of a function that run or wait here.
    pub fn calls_of(&self, function: &str) -> u32 {
        self.pools
            .get(function)
            .map_or(0, |pool| pool.running + pool.waiting.len() as u32)
    }
}
