//! The limit on calls in flight at a worker, adapted to how its answers come back.

use super::*;

/// Calls that all front ends together still let a worker have when it answers badly.
pub(super) const MIN_FLEET_LIMIT: f64 = 2.0;

/// What is left of a limit, on sends or on loads, when what it bounds goes badly.
pub(super) const LIMIT_DECREASE: f64 = 0.8;

/// Calls in flight a worker is given at first; learned from there.
pub(super) const INITIAL_LIMIT: f64 = 4.0;

/// Share of its cores at work under which a worker is told to be idle.
pub(super) const IDLE_CORE_SHARE: f64 = 0.5;

impl Router {
    /// How long a worker must rest yet for a limit under one call, where a call takes so long.
    pub(super) fn pacing_delay(w: &Worker, service: f64, now: Time) -> f64 {
        let since = w.last_send.map_or(f64::MAX, |t| now.since(t) as f64);
        Some(service / w.concurrency_limit - since)
            .filter(|_| w.concurrency_limit < 1.0)
            .unwrap_or(0.0)
    }
}
