//! Loading and unloading of instances within the memory of the worker.

use super::{InstancePool, LoadId, WorkerState};

impl WorkerState {
    /// Requests at least `instances` loaded instances; 0 is a query. Returns the number of loaded instances, or `None` if
    /// [`WorkerState::take_finished_loads`] returns it later. A request for an unknown function is never answered.
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
            if !self.queue_load(function, now) {
                break;
            }
        }
        let pool = self.pools.get_mut(function)?;
        if pool.loading + pool.queued_loads == 0 {
            // No load could be queued for lack of memory.
            pool.load_requests.retain(|request| *request != id);
            return Some(pool.loaded);
        }
        None
    }

    /// Unloads a function's idle instances, and returns the number that stay loaded.
    pub fn unload(&mut self, function: &str) -> u32 {
        let Some(pool) = self.pools.get_mut(function) else {
            return 0;
        };
        let lanes = self.profile.functions[pool.function].lanes;
        pool.loaded = pool.running.div_ceil(lanes);
        pool.loaded
    }

    /// Number of loaded instances of a function.
    pub fn loaded(&self, function: &str) -> u32 {
        self.pools.get(function).map_or(0, |pool| pool.loaded)
    }

    /// Removes and returns the finished load requests, with the number of loaded instances.
    pub fn take_finished_loads(&mut self) -> Vec<(LoadId, u32)> {
        std::mem::take(&mut self.finished_loads)
    }

    /// Memory of instances that are loaded, loading or queued to load, MB.
    fn reserved_memory(&self) -> f64 {
        let memory = |pool: &InstancePool| {
            f64::from(pool.loaded + pool.loading + pool.queued_loads) * self.instance_memory(pool)
        };
        self.pools.values().map(memory).sum()
    }

    /// Memory of one instance, MB.
    fn instance_memory(&self, pool: &InstancePool) -> f64 {
        self.profile.functions[pool.function].memory_mb
    }

    /// Share of the memory that can't be freed: instances of functions with running calls, and instances being loaded.
    pub fn pinned_memory(&self) -> f64 {
        let memory = |pool: &InstancePool| {
            let busy = if pool.running > 0 { pool.loaded } else { 0 };
            f64::from(busy + pool.loading) * self.instance_memory(pool)
        };
        self.pools.values().map(memory).sum::<f64>() / self.profile.memory_mb.max(1.0)
    }

    /// Queues a load of one instance, evicting idle functions if necessary. Returns `false` if there is not enough memory.
    pub(super) fn queue_load(&mut self, function: &str, now: i64) -> bool {
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
        self.start_queued_loads(now);
        true
    }

    /// Unloads the function that has been idle for the longest, other than `except`. Returns `false` if none is idle.
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

    /// Starts queued loads up to the limit of concurrent loads.
    fn start_queued_loads(&mut self, now: i64) {
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

    /// When [`WorkerState::on_timer`] has to be called next.
    pub fn next_timer(&self) -> Option<i64> {
        let loads = self.loading.iter().map(|(end, _)| *end);
        let idle = self
            .pools
            .values()
            .filter(|pool| pool.loaded > 0 && pool.running == 0)
            .map(|pool| pool.idle_since + self.profile.idle_timeout);
        loads.chain(idle).min()
    }

    /// Finishes loads that are due, and unloads instances whose idle timeout has passed.
    pub fn on_timer(&mut self, now: i64) {
        while let Some(index) = self.loading.iter().position(|(end, _)| *end <= now) {
            let (_, name) = self.loading.swap_remove(index);
            self.on_loaded(&name, now);
            self.start_waiting(&name);
            self.start_queued_loads(now);
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
