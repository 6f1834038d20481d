//! Compiles the report of a run at scale.

use super::measurement::{ScaleMeasurement, Traffic};
use super::{
    DeadSubscriberReport, Quantiles, ScaleReport, Tier, IDLE_MEMBERSHIP_TRAFFIC,
    MEMBERSHIP_TRAFFIC_PER_RESTART,
};
use crate::fault::{Time, SECOND};
use crate::fleet::Simulation;

/// The inputs for rates of messages per second.
struct Rates<'a> {
    /// Duration of the measurement in seconds.
    measured_span: f64,
    /// Rates of membership messages and bytes, added if gossip is not simulated.
    added_messages: f64,
    added_bytes: f64,
    /// The non-voters, and those of them that are running at the end.
    non_voters: &'a [Traffic],
    running: Vec<&'a Traffic>,
    voters: &'a [Traffic],
}

impl Rates<'_> {
    /// The mean over the running non-voters, without those that crashed permanently.
    fn mean(&self, of: fn(&Traffic) -> u64) -> f64 {
        let sum: u64 = self.running.iter().map(|traffic| of(traffic)).sum();
        sum as f64 / self.running.len().max(1) as f64 / self.measured_span
    }

    fn max(&self, all: &[Traffic], of: fn(&Traffic) -> u64) -> f64 {
        all.iter().map(of).max().unwrap_or(0) as f64 / self.measured_span
    }
}

impl ScaleMeasurement {
    /// Notes on incomplete phases of the run and on added figures.
    fn closing_notes(&self, tier: Tier, open: u64) -> Vec<String> {
        let mut notes = Vec::new();
        if tier == Tier::Hollow {
            // This text is part of recorded runs and must not change.
            notes.push(
                "membership's letters are added as measured in the whole tier, not played".into(),
            );
        }
        if open > 0 {
            notes.push(format!(
                "{open} changes neither in force nor given up at the end"
            ));
        }
        if !self.dead_on_roster.is_empty() {
            let count = self.dead_on_roster.len();
            notes.push(format!(
                "{count} of the dead still on the roster at the end"
            ));
        }
        if self.healing_since.is_some() {
            notes.push("not all act again after the cut".into());
        }
        if let Some(failure) = &self.ongoing_failure {
            let parts = match failure.remaining_batches.len() {
                0 => String::new(),
                count => format!(", {count} parts not yet restarted"),
            };
            notes.push(format!("not all act again at the end{parts}"));
        }
        notes
    }

    /// Strict changes that may have waited for crashed subscribers; `None` if there were no such subscribers.
    fn dead_subscribers(&self) -> Option<DeadSubscriberReport> {
        if self.scenario.scoped_functions == 0 || self.dead_front_ends.is_empty() {
            return None;
        }
        let waiting = || self.changes.iter().filter(|change| change.waits_for_dead);
        let in_force = self.durations.waited_for_dead.len() as u64;
        let over = waiting().filter(|change| change.is_over).count() as u64;
        Some(DeadSubscriberReport {
            requested: waiting().count() as u64,
            in_force,
            abandoned: over - in_force,
            in_force_ms: Quantiles::of(&self.durations.waited_for_dead),
        })
    }
}

impl Simulation<'_> {
    /// Ends the run and compiles its report.
    pub(super) fn into_scale_report(mut self) -> ScaleReport {
        let total = self.accounted_total();
        self.report_failure(false);
        let Some(scale) = self.scale.take() else {
            return ScaleReport::default();
        };
        let over = scale.changes.iter().filter(|change| change.is_over).count();
        let open = (scale.changes.len() - over) as u64;
        let mut notes = scale.notes.clone();
        notes.extend(scale.closing_notes(self.options.tier, open));
        let has_violations = !self.result.violations.is_empty();
        notes.append(&mut self.result.violations);
        let ok = !has_violations
            && scale.measurement_start.is_some()
            && scale.healing_since.is_none()
            && scale.ongoing_failure.is_none()
            && scale.durations.start_join.len() >= self.processes.len();
        let report = self.traffic_report(&scale);
        let report = with_durations(report, &scale);
        ScaleReport {
            seed: self.result.seed,
            virtual_seconds: self.now as f64 / SECOND as f64,
            start_seconds: scale.all_joined_at.unwrap_or(self.now) as f64 / SECOND as f64,
            changes_requested: scale.changes.len() as u64,
            changes_of_requested: scale.changes_of_requested,
            changes_abandoned: scale.abandoned,
            changes_rejected: scale.rejected,
            changes_open: open,
            lease_lost: total.lease_lost(),
            session_lost: total.session_lost(),
            dead_subscribers: scale.dead_subscribers(),
            partition: scale.partition,
            failure: scale.failure,
            events: scale.events,
            notes,
            ok,
            ..report
        }
    }

    /// The part of the report on message rates, known members and subscriptions.
    fn traffic_report(&self, scale: &ScaleMeasurement) -> ScaleReport {
        let rates = self.rates(scale);
        let nodes = || self.processes.iter().filter_map(|p| p.node.as_ref());
        let known: usize = nodes().map(|node| node.other_members().count()).sum();
        let subscribed: usize = nodes().map(|node| node.subscription_count()).sum();
        let running = nodes().count().max(1) as f64;
        let (messages, bytes) = (rates.added_messages, rates.added_bytes);
        ScaleReport {
            view_members: known as f64 / running + 1.0,
            control_bytes_s: rates.mean(|t| t.bytes) + bytes,
            control_messages_s: rates.mean(|t| t.messages) + messages,
            relay_bytes_s: rates.max(rates.non_voters, |t| t.bytes) + bytes,
            relay_messages_s: rates.max(rates.non_voters, |t| t.messages) + messages,
            membership_bytes_s: rates.mean(|t| t.gossip_bytes) + bytes,
            membership_messages_s: rates.mean(|t| t.gossip_messages) + messages,
            voter_bytes_s: rates.max(rates.voters, |t| t.bytes) + bytes,
            voter_messages_s: rates.max(rates.voters, |t| t.messages) + messages,
            subscriptions: subscribed as f64 / running,
            ..ScaleReport::default()
        }
    }

    fn rates<'a>(&self, scale: &'a ScaleMeasurement) -> Rates<'a> {
        let span: Time = self.now - scale.measurement_start.unwrap_or(self.now);
        let voters = self.options.voters.min(scale.traffic.len());
        let (at_voters, non_voters) = scale.traffic.split_at(voters);
        let running = non_voters
            .iter()
            .zip(&self.processes[self.options.voters..])
            .filter(|(_, process)| process.node.is_some())
            .map(|(traffic, _)| traffic)
            .collect();
        let away = scale.scenario.restarts_per_hour;
        let is_added = self.options.tier == Tier::Hollow;
        let added = |base: f64, each: f64| if is_added { base + each * away } else { 0.0 };
        Rates {
            measured_span: span.max(1) as f64 / SECOND as f64,
            added_messages: added(IDLE_MEMBERSHIP_TRAFFIC.0, MEMBERSHIP_TRAFFIC_PER_RESTART.0),
            added_bytes: added(IDLE_MEMBERSHIP_TRAFFIC.1, MEMBERSHIP_TRAFFIC_PER_RESTART.1),
            non_voters,
            running,
            voters: at_voters,
        }
    }
}

/// Adds the measured durations to a report.
fn with_durations(report: ScaleReport, scale: &ScaleMeasurement) -> ScaleReport {
    let durations = &scale.durations;
    let all: Vec<u64> = [&durations.plain[..], &durations.strict[..]].concat();
    let in_force_ms = Quantiles::of(&all);
    ScaleReport {
        changes_in_force: all.len() as u64,
        in_force_ms,
        plain_in_force_ms: Quantiles::of(&durations.plain),
        strict_in_force_ms: Quantiles::of(&durations.strict),
        scope_in_force_ms: in_force_ms.filter(|_| scale.scenario.scoped_functions > 0),
        start_join_ms: Quantiles::of(&durations.start_join),
        join_ms: Quantiles::of(&durations.join),
        freed_ms: Quantiles::of(&durations.freed),
        detected_up_ms: Quantiles::of(&durations.detected_up),
        detected_down_ms: Quantiles::of(&durations.detected_down),
        ..report
    }
}
