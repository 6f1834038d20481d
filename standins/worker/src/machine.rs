//! What a worker has loaded, what runs on it and what waits. It is told the time and holds no clock.

use std::collections::{BTreeMap, VecDeque};

/// A function that the worker can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// Its name.
    pub name: String,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Time of a load, microseconds.
    pub load: i64,
    /// Work of a call that names none, microseconds.
    pub work: i64,
}

/// What a call of a function that is not loaded does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenAbsent {
    /// Loads it and waits.
    Load,
    /// Is answered `not-loaded`.
    Miss,
}

/// What a worker is.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Its name.
    pub name: String,
    /// The functions it can load.
    pub functions: Vec<Function>,
    /// Its memory, MB.
    pub memory_mb: f64,
    /// An idle instance is unloaded after so long, microseconds.
    pub idle_life: i64,
    /// Loads that run at a time.
    pub loads: usize,
    /// Calls that may wait.
    pub queue: usize,
    /// What a call of an absent function does.
    pub when_absent: WhenAbsent,
    /// Work that it does a second when warm, in seconds of work: its cores.
    pub cores: f64,
    /// Share of its capacity at a fresh start; 1: it starts warm.
    pub cold_from: f64,
    /// All of it after this time, microseconds.
    pub warm_up: i64,
    /// Cold, it falls over when sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this time, microseconds.
    pub fall_after: i64,
}

/// Names a call at this worker.
pub type Call = u64;

/// How a call met its function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// An instance stood loaded.
    Warm,
    /// It began a load.
    Began,
    /// It waited for a load begun before.
    Awaited,
}

/// What becomes of a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It runs at once.
    Run(Met),
    /// It waits; [`Machine::started`] tells when it runs.
    Wait(Met),
    /// The function is not loaded.
    NotLoaded,
    /// No room to wait, or no memory.
    TurnedAway,
    /// No such function.
    Unknown,
}

#[derive(Default)]
struct Pool {
    spec: usize,
    loaded: u32,
    loading: u32,
    queued_loads: u32,
    running: u32,
    waiting: VecDeque<Call>,
    idle_since: i64,
    wanted_by: Vec<u64>,
}

/// A worker's state.
pub struct Machine {
    profile: Profile,
    started: i64,
    pools: BTreeMap<String, Pool>,
    loading: Vec<(i64, String)>,
    load_queue: VecDeque<String>,
    sent: VecDeque<(i64, i64)>,
    fallen: bool,
    ready: Vec<Call>,
    orders_done: Vec<(u64, u32)>,
}

impl Machine {
    /// A worker that has just started, empty. `warm`: it is taken as having run for long.
    pub fn new(profile: Profile, now: i64, warm: bool) -> Machine {
        let pool = |(spec, f): (usize, &Function)| {
            (
                f.name.clone(),
                Pool {
                    spec,
                    ..Pool::default()
                },
            )
        };
        let pools = profile.functions.iter().enumerate().map(pool).collect();
        let started = if warm { now - profile.warm_up } else { now };
        Machine {
            profile,
            started,
            pools,
            loading: Vec::new(),
            load_queue: VecDeque::new(),
            sent: VecDeque::new(),
            fallen: false,
            ready: Vec::new(),
            orders_done: Vec::new(),
        }
    }

    /// What it is.
    pub fn profile(&self) -> &Profile {
        &self.profile
    }
    /// Whether it was pushed over while cold.
    pub fn fallen(&self) -> bool {
        self.fallen
    }
    /// Its capacity now, as a share of all.
    pub fn part(&self, now: i64) -> f64 {
        let age = (now - self.started).max(0) as f64;
        let warm = self.profile.warm_up.max(1) as f64;
        let from = self.profile.cold_from;
        (from + (1.0 - from) * age / warm).min(1.0)
    }
    /// How long work takes now: a cold worker is slower.
    pub fn stretched(&self, work: i64, now: i64) -> i64 {
        (work as f64 / self.part(now).max(0.01)) as i64
    }
    /// Usual work of a function's call.
    pub fn work(&self, function: &str) -> i64 {
        self.pools
            .get(function)
            .map_or(0, |p| self.profile.functions[p.spec].work)
    }

    /// A call arrives that will take this much work, microseconds.
    pub fn arrive(&mut self, call: Call, function: &str, work: i64, now: i64) -> Entry {
        self.weigh(work, now);
        let queued: usize = self.pools.values().map(|p| p.waiting.len()).sum();
        let Some(p) = self.pools.get_mut(function) else {
            return Entry::Unknown;
        };
        let f = &self.profile.functions[p.spec];
        if p.running < p.loaded * f.lanes {
            p.running += 1;
            return Entry::Run(Met::Warm);
        }
        if queued >= self.profile.queue {
            return Entry::TurnedAway;
        }
        let pending = p.loading + p.queued_loads;
        if p.loaded + pending > 0 {
            p.waiting.push_back(call);
            return Entry::Wait(if p.loaded > 0 {
                Met::Warm
            } else {
                Met::Awaited
            });
        }
        if self.profile.when_absent == WhenAbsent::Miss {
            return Entry::NotLoaded;
        }
        if !self.load(function, now) {
            return Entry::TurnedAway;
        }
        if let Some(p) = self.pools.get_mut(function) {
            p.waiting.push_back(call);
        }
        Entry::Wait(Met::Began)
    }

    /// Rule 4 as a worker feels it: work sent while cold beyond a multiple of what it can do.
    fn weigh(&mut self, work: i64, now: i64) {
        if now - self.started >= self.profile.warm_up {
            self.sent.clear();
            return;
        }
        self.sent.push_back((now, work));
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now - at > self.profile.fall_after)
        {
            self.sent.pop_front();
        }
        let sent: i64 = self.sent.iter().map(|(_, w)| w).sum();
        let able = self.part(now) * self.profile.cores * self.profile.fall_after as f64;
        if now - self.started >= self.profile.fall_after
            && sent as f64 > self.profile.fall_multiple * able
        {
            self.fallen = true;
        }
    }

    /// A call has left: it ran to its end, or it was cancelled while it waited.
    pub fn leave(&mut self, call: Call, function: &str, ran: bool, now: i64) {
        let Some(p) = self.pools.get_mut(function) else {
            return;
        };
        if !ran {
            p.waiting.retain(|c| *c != call);
            return;
        }
        p.running = p.running.saturating_sub(1);
        if p.running == 0 {
            p.idle_since = now;
        }
        self.serve(function);
    }

    fn serve(&mut self, function: &str) {
        let Some(p) = self.pools.get_mut(function) else {
            return;
        };
        let lanes = self.profile.functions[p.spec].lanes;
        while p.running < p.loaded * lanes {
            let Some(call) = p.waiting.pop_front() else {
                return;
            };
            p.running += 1;
            self.ready.push(call);
        }
    }

    /// An order to hold at least so many instances; 0 asks. Some: they stand; none: [`Machine::orders`] tells.
    pub fn order(&mut self, order: u64, function: &str, instances: u32, now: i64) -> Option<u32> {
        let p = self.pools.get_mut(function)?;
        if instances == 0 || p.loaded >= instances {
            if instances > 0 {
                p.idle_since = now;
            }
            return Some(p.loaded);
        }
        let missing = instances.saturating_sub(p.loaded + p.loading + p.queued_loads);
        p.wanted_by.push(order);
        for _ in 0..missing {
            if !self.load(function, now) {
                break;
            }
        }
        let p = self.pools.get_mut(function)?;
        if p.loading + p.queued_loads == 0 {
            // No memory: what stands is the answer.
            p.wanted_by.retain(|o| *o != order);
            return Some(p.loaded);
        }
        None
    }

    /// An order to unload idle instances; how many stand then.
    pub fn unload(&mut self, function: &str) -> u32 {
        let Some(p) = self.pools.get_mut(function) else {
            return 0;
        };
        let lanes = self.profile.functions[p.spec].lanes;
        p.loaded = p.running.div_ceil(lanes);
        p.loaded
    }

    /// Instances that stand.
    pub fn standing(&self, function: &str) -> u32 {
        self.pools.get(function).map_or(0, |p| p.loaded)
    }

    fn used(&self) -> f64 {
        let of = |p: &Pool| {
            f64::from(p.loaded + p.loading + p.queued_loads)
                * self.profile.functions[p.spec].memory_mb
        };
        self.pools.values().map(of).sum()
    }

    fn load(&mut self, function: &str, now: i64) -> bool {
        let Some(p) = self.pools.get(function) else {
            return false;
        };
        let need = self.profile.functions[p.spec].memory_mb;
        // Idle instances make room, the longest idle first.
        while self.used() + need > self.profile.memory_mb {
            let idle = self
                .pools
                .iter()
                .filter(|(n, p)| n.as_str() != function && p.loaded > 0 && p.running == 0);
            let Some(name) = idle
                .min_by_key(|(_, p)| p.idle_since)
                .map(|(n, _)| n.clone())
            else {
                return false;
            };
            if let Some(p) = self.pools.get_mut(&name) {
                p.loaded = 0;
            }
        }
        if let Some(p) = self.pools.get_mut(function) {
            p.queued_loads += 1;
        }
        self.load_queue.push_back(function.to_string());
        self.begin_loads(now);
        true
    }

    fn begin_loads(&mut self, now: i64) {
        while self.loading.len() < self.profile.loads {
            let Some(name) = self.load_queue.pop_front() else {
                return;
            };
            let Some(p) = self.pools.get_mut(&name) else {
                continue;
            };
            p.queued_loads -= 1;
            p.loading += 1;
            self.loading
                .push((now + self.profile.functions[p.spec].load, name));
        }
    }

    /// When [`Machine::tick`] is wanted next.
    pub fn next(&self) -> Option<i64> {
        let loads = self.loading.iter().map(|(at, _)| *at);
        let idle = self
            .pools
            .values()
            .filter(|p| p.loaded > 0 && p.running == 0);
        loads
            .chain(idle.map(|p| p.idle_since + self.profile.idle_life))
            .min()
    }

    /// Ends loads and idle lives that are due.
    pub fn tick(&mut self, now: i64) {
        while let Some(n) = self.loading.iter().position(|(at, _)| *at <= now) {
            let (_, name) = self.loading.swap_remove(n);
            if let Some(p) = self.pools.get_mut(&name) {
                p.loading -= 1;
                p.loaded += 1;
                p.idle_since = now;
                let (loaded, orders) = (p.loaded, std::mem::take(&mut p.wanted_by));
                self.orders_done
                    .extend(orders.into_iter().map(|o| (o, loaded)));
            }
            self.serve(&name);
            self.begin_loads(now);
        }
        for p in self.pools.values_mut() {
            if p.loaded > 0 && p.running == 0 && p.idle_since + self.profile.idle_life <= now {
                p.loaded = 0;
            }
        }
    }

    /// Calls that waited and run now.
    pub fn started(&mut self) -> Vec<Call> {
        std::mem::take(&mut self.ready)
    }
    /// Orders that are carried out, with the instances that stand.
    pub fn orders(&mut self) -> Vec<(u64, u32)> {
        std::mem::take(&mut self.orders_done)
    }
    /// Waiting calls, running calls, loads under way or waiting.
    pub fn load_figures(&self) -> (usize, u32, usize) {
        let waiting = self.pools.values().map(|p| p.waiting.len()).sum();
        let running = self.pools.values().map(|p| p.running).sum();
        (waiting, running, self.loading.len() + self.load_queue.len())
    }
    /// Calls of a function held here.
    pub fn crowd(&self, function: &str) -> u32 {
        self.pools
            .get(function)
            .map_or(0, |p| p.running + p.waiting.len() as u32)
    }
    /// Share of its memory that can't be freed.
    pub fn pinned(&self) -> f64 {
        let of = |p: &Pool| {
            let busy = if p.running > 0 { p.loaded } else { 0 };
            f64::from(busy + p.loading) * self.profile.functions[p.spec].memory_mb
        };
        self.pools.values().map(of).sum::<f64>() / self.profile.memory_mb.max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn profile() -> Profile {
        let f = |name: &str, lanes| Function {
            name: name.into(),
            memory_mb: 400.0,
            lanes,
            load: 100,
            work: 10,
        };
        Profile {
            name: "w".into(),
            functions: vec![f("a", 1), f("b", 2), f("c", 1)],
            memory_mb: 1000.0,
            idle_life: 1000,
            loads: 1,
            queue: 3,
            when_absent: WhenAbsent::Load,
            cores: 2.0,
            cold_from: 0.2,
            warm_up: 10_000,
            fall_multiple: 2.0,
            fall_after: 1_000,
        }
    }

    #[test]
    fn a_lane_runs_one_call_and_the_rest_wait_in_order() {
        let mut m = Machine::new(profile(), 0, true);
        assert_eq!(m.arrive(1, "a", 10, 0), Entry::Wait(Met::Began));
        assert_eq!(m.arrive(2, "a", 10, 5), Entry::Wait(Met::Awaited));
        assert_eq!(m.next(), Some(100));
        m.tick(100);
        assert_eq!(m.started(), [1]);
        assert_eq!(m.arrive(3, "a", 10, 101), Entry::Wait(Met::Warm));
        m.leave(1, "a", true, 110);
        assert_eq!(m.started(), [2]);
        m.leave(3, "a", false, 111);
        m.leave(2, "a", true, 120);
        assert_eq!(m.started(), [0u64; 0]);
        assert_eq!((m.standing("a"), m.next()), (1, Some(1120)));
        m.tick(1120);
        assert_eq!(m.standing("a"), 0);
    }

    #[test]
    fn idle_instances_make_room_and_busy_ones_do_not() {
        let mut m = Machine::new(profile(), 0, true);
        assert_eq!(m.order(7, "a", 1, 0), None);
        assert_eq!(m.order(8, "b", 1, 0), None);
        m.tick(100);
        m.tick(200);
        assert_eq!(m.orders(), [(7, 1), (8, 1)]);
        assert_eq!(m.arrive(1, "a", 10, 200), Entry::Run(Met::Warm));
        assert_eq!(m.order(9, "c", 1, 201), None);
        assert_eq!((m.standing("a"), m.standing("b")), (1, 0));
        m.tick(301);
        assert_eq!(m.arrive(2, "c", 10, 302), Entry::Run(Met::Warm));
        assert_eq!(m.arrive(3, "b", 10, 303), Entry::TurnedAway);
    }

    #[test]
    fn a_cold_worker_falls_when_pushed_and_a_warm_one_does_not() {
        // At 1,000 us of 10,000 it has 28% of two cores: 560 us of work in 1,000 us, 1,120 at twice that.
        for (work, falls) in [(100, false), (140, true)] {
            let mut m = Machine::new(profile(), 0, false);
            for n in 0..11 {
                m.arrive(n, "a", work, n as i64 * 100);
            }
            assert_eq!(m.fallen(), falls, "{work}");
        }
        let mut m = Machine::new(profile(), 0, true);
        for n in 0..11 {
            m.arrive(n, "a", 1_000, n as i64 * 100);
        }
        assert!(!m.fallen());
    }
}
