//! Restarts front ends, and times how long each takes to join.

use super::report::{quantiles, Report};
use super::{Measurement, JOIN_TIMEOUT};
use crate::Error;
use std::time::{Duration, Instant};

/// Maximum number of hollow front ends to restart.
const MAX_HOLLOW_JOINS: usize = 10;
/// Maximum number of real front ends to restart.
const MAX_REAL_JOINS: usize = 3;
/// Time between two joins, in which the fleet learns of the first one.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

impl Measurement {
    /// Kills and restarts front ends one after another, and reports the times of their joins.
    pub(super) fn time_joins(&mut self, report: &mut Report) -> Result<(), Error> {
        let shape = self.fleet.shape;
        let mut candidates = self.fleet.joined_non_voters();
        self.rng.shuffle(&mut candidates);
        let (real, hollow): (Vec<u32>, Vec<u32>) = candidates
            .into_iter()
            .partition(|front_end| shape.is_real(*front_end));
        // At most a third, so that a small fleet keeps most of its front ends.
        let hollow_joins = hollow.len().div_ceil(3).min(MAX_HOLLOW_JOINS);
        let hollow = hollow.into_iter().take(hollow_joins);
        for front_end in hollow.chain(real.into_iter().take(MAX_REAL_JOINS)) {
            self.fleet.kill(front_end)?;
            self.fleet.start_front_end(front_end)?;
            let end = Instant::now() + JOIN_TIMEOUT;
            self.fleet
                .wait_until(end, "a restarted front end to join", |fleet| {
                    fleet.has_joined(front_end)
                })?;
            self.fleet.run_for(JOIN_INTERVAL)?;
        }
        let joins = &self.fleet.joins;
        let times = |is_real: bool| {
            let joins = joins.iter();
            let joins = joins.filter(|join| shape.is_real(join.front_end) == is_real);
            quantiles(joins.map(|join| join.ms))
        };
        report.put("join_ms", quantiles(joins.iter().map(|join| join.ms)));
        report.put("join_hollow_ms", times(false));
        report.put("join_real_ms", times(true));
        report.put("joins", joins.len());
        Ok(())
    }
}
