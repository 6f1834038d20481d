//! Times changes of different functions that are requested at the same time.

use super::field_change::{other_load_time, FieldKind};
use super::report::{quantiles, round, Report};
use super::{Measurement, CHANGE_TIMEOUT};
use crate::fleet::shape::settings_function;
use crate::Error;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::Fields;
use tansy_net_fleet::client::RequestError;

/// Time between two checks of a burst.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of different refusal texts to report.
const MAX_REFUSAL_TEXTS: usize = 3;

/// The outcome of a burst of changes.
struct BurstResult {
    /// Milliseconds until each change was in force, for those that came in force.
    times: Vec<f64>,
    /// Errors of refused changes.
    refused: Vec<RequestError>,
}

impl Measurement {
    /// Requests a burst of changes, and reports how long they take to be in force.
    pub(super) fn time_burst(&mut self, report: &mut Report) -> Result<(), Error> {
        let count = self.arguments.burst;
        let kinds = FieldKind::shuffled(&mut self.rng);
        report.put("burst", count);
        let end = Instant::now() + CHANGE_TIMEOUT + self.arguments.session_timeout();
        let result = if self.arguments.scopes > 0 {
            self.function_burst(count, kinds, end)?
        } else {
            self.version_burst(count, end)?
        };
        let last = result.times.iter().copied().reduce(f64::max).map(round);
        let texts: BTreeSet<String> = result.refused.iter().map(ToString::to_string).collect();
        let texts: Vec<String> = texts.into_iter().take(MAX_REFUSAL_TEXTS).collect();
        let in_force = result.times.len();
        let times = (in_force > 0).then(|| quantiles(result.times));
        report.put(
            "burst_in_force",
            json!({
                "in_force": in_force,
                "last_ms": last,
                "ms": times,
                "refused": result.refused.len(),
                "says": texts.join("; "),
            }),
        );
        Ok(())
    }

    /// Updates functions that are scopes of their own, each in a separate transaction.
    fn function_burst(
        &mut self,
        count: usize,
        kinds: [FieldKind; 3],
        end: Instant,
    ) -> Result<BurstResult, Error> {
        let mut updates = Vec::new();
        for function in 0..count {
            let kind = kinds[function % kinds.len()];
            updates.push(self.function_update(kind, function)?);
        }
        let (mut updates, refused) = self.fleet.update_burst(updates)?;
        let mut in_force: Vec<i64> = Vec::new();
        while in_force.len() + updates.abandoned() < count && Instant::now() < end {
            self.fleet.poll_events(CHECK_INTERVAL)?;
            let since = self.fleet.functions_in_force(&mut updates)?;
            in_force = since.into_iter().flatten().collect();
        }
        self.fleet.unwatch(&updates)?;
        let times = in_force.into_iter().map(|at| updates.ms_until(at));
        Ok(BurstResult {
            times: times.collect(),
            refused,
        })
    }

    /// Proposes versions of the settings, each of which changes a different function.
    fn version_burst(&mut self, count: usize, end: Instant) -> Result<BurstResult, Error> {
        let fields = self.fleet.fields().clone();
        let version = |function: usize| -> Fields {
            let path = format!("functions.{}.load_time", settings_function(function));
            let mut fields = fields.clone();
            fields.insert(path, other_load_time(function));
            fields
        };
        let burst = self.fleet.propose_burst((0..count).map(version).collect());
        let (mut times, mut refused) = (Vec::new(), Vec::new());
        for version in burst.versions {
            let version = match version {
                Ok(version) => version,
                Err(error) => {
                    refused.push(error);
                    continue;
                }
            };
            while self.fleet.in_force_since(version).is_none() && Instant::now() < end {
                self.fleet.poll_events(CHECK_INTERVAL)?;
            }
            let since = self.fleet.in_force_since(version);
            times.extend(since.map(|at| (at - burst.requested_at) as f64 / 1e3));
        }
        let _ = self.fleet.refresh_leader();
        Ok(BurstResult { times, refused })
    }
}
