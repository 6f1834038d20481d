//! Loading and unloading of instances within the worker's memory.

use super::{InstancePool, LoadId, WorkerState};

impl WorkerState {
    /// A request to have at least so many instances; 0 only asks. Some: as many are loaded; none:
    /// [`WorkerState::take_finished_loads`] gives the answer later.
    pub fn request_load(
        &mut self,
        id: LoadId,
        function: &str,
        instances: u32,
        now: i64,
    ) -> Option<u32> {
        let pool = self.pools.get_mut(function)?;
        if instances == 0 || pool.loaded >= instances {
            if instances > 0 {
                pool.idle_since = now;
            }
            return Some(pool.loaded);
        }
        let missing = instances.saturating_sub(pool.loaded + pool.loading + pool.queued_loads);
        pool.load_requests.push(id);
        for _ in 0..missing {
            if !self.load(function, now) {
                break;
            }
        }
        let pool = self.pools.get_mut(function)?;
        if pool.loading + pool.queued_loads == 0 {
            // No memory: what is loaded is the answer.
            pool.load_requests.retain(|request| *request != id);
            return Some(pool.loaded);
        }
        None
    }

    /// Unloads a function's idle instances; gives how many stay loaded.
    pub fn unload(&mut self, function: &str) -> u32 {
        let Some(pool) = self.pools.get_mut(function) else {
            return 0;
        };
        let lanes = self.profile.functions[pool.function].lanes;
        pool.loaded = pool.running.div_ceil(lanes);
        pool.loaded
    }

    /// A function's loaded instances.
    pub fn loaded(&self, function: &str) -> u32 {
        self.pools.get(function).map_or(0, |pool| pool.loaded)
    }

    /// Load requests that are carried out, with the instances that are loaded.
    pub fn take_finished_loads(&mut self) -> Vec<(LoadId, u32)> {
        std::mem::take(&mut self.finished_loads)
    }

    /// Memory of instances that are loaded or will be, MB.
    fn reserved_memory(&self) -> f64 {
        let of = |pool: &InstancePool| {
            f64::from(pool.loaded + pool.loading + pool.queued_loads) * self.instance_memory(pool)
        };
        self.pools.values().map(of).sum()
    }

    fn instance_memory(&self, pool: &InstancePool) -> f64 {
        self.profile.functions[pool.function].memory_mb
    }

    /// Share of its memory that can't be freed.
    pub fn pinned_memory(&self) -> f64 {
        let of = |pool: &InstancePool| {
            let busy = if pool.running > 0 { pool.loaded } else { 0 };
            f64::from(busy + pool.loading) * self.instance_memory(pool)
        };
        self.pools.values().map(of).sum::<f64>() / self.profile.memory_mb.max(1.0)
    }

    /// Queues a load of one instance, if there is memory; false: there is none.
    pub(super) fn load(&mut self, function: &str, now: i64) -> bool {
        let Some(pool) = self.pools.get(function) else {
            return false;
        };
        let needed = self.instance_memory(pool);
        while self.reserved_memory() + needed > self.profile.memory_mb {
            if !self.evict_longest_idle(function) {
                return false;
            }
        }
        if let Some(pool) = self.pools.get_mut(function) {
            pool.queued_loads += 1;
        }
        self.load_queue.push_back(function.to_string());
        self.begin_loads(now);
        true
    }

    /// Unloads the function, other than that one, which is idle for the longest; false: none is.
    fn evict_longest_idle(&mut self, except: &str) -> bool {
        let idle = self
            .pools
            .iter_mut()
            .filter(|(name, pool)| name.as_str() != except && pool.loaded > 0 && pool.running == 0);
        let Some((_, pool)) = idle.min_by_key(|(_, pool)| pool.idle_since) else {
            return false;
        };
        pool.loaded = 0;
        true
    }

    fn begin_loads(&mut self, now: i64) {
        while self.loading.len() < self.profile.max_concurrent_loads {
            let Some(name) = self.load_queue.pop_front() else {
                return;
            };
            let Some(pool) = self.pools.get_mut(&name) else {
                continue;
            };
            pool.queued_loads -= 1;
            pool.loading += 1;
            let end = now + self.profile.functions[pool.function].load_time;
            self.loading.push((end, name));
        }
    }

    /// When [`WorkerState::on_timer`] is due next.
    pub fn next_timer(&self) -> Option<i64> {
        let loads = self.loading.iter().map(|(end, _)| *end);
        let idle = self
            .pools
            .values()
            .filter(|pool| pool.loaded > 0 && pool.running == 0)
            .map(|pool| pool.idle_since + self.profile.idle_timeout);
        loads.chain(idle).min()
    }

    /// Ends the loads that are due, and unloads what was idle for its time.
    pub fn on_timer(&mut self, now: i64) {
        while let Some(index) = self.loading.iter().position(|(end, _)| *end <= now) {
            let (_, name) = self.loading.swap_remove(index);
            self.on_loaded(&name, now);
            self.start_waiting(&name);
            self.begin_loads(now);
        }
        for pool in self.pools.values_mut() {
            let idle = pool.loaded > 0 && pool.running == 0;
            if idle && pool.idle_since + self.profile.idle_timeout <= now {
                pool.loaded = 0;
            }
        }
    }

    fn on_loaded(&mut self, function: &str, now: i64) {
        let Some(pool) = self.pools.get_mut(function) else {
            return;
        };
        pool.loading -= 1;
        pool.loaded += 1;
        pool.idle_since = now;
        let loaded = pool.loaded;
        let requests = pool.load_requests.drain(..);
        self.finished_loads
            .extend(requests.map(|request| (request, loaded)));
    }
}
