//! The state of a canary analysis, and the samples and events that it takes in.

use crate::comparison::MetricEvidence;
use crate::memory::MemoryHistory;
use crate::metric::Metric;
use crate::request_counters::{FrontEndReport, RequestCounters};
use std::collections::{BTreeMap, BTreeSet};

/// Slices from before the change that are kept.
const MAX_BASELINE: usize = 120;
/// Answers of a class from before the change that its 99th percentile needs.
const MIN_LATENCIES: u64 = 200;

/// What a verdict rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnalysisParameters {
    /// The probability with which a change without effect may be called worse, at all looks of one analysis together.
    pub error: f64,
    /// The least loss of service that matters, as a share of the calls' value.
    pub relevant_loss: f64,
    /// A loss up to this much may stay hidden for the new side to be fine.
    pub tolerated_loss: f64,
    /// Seconds during which a fresh front end is left out.
    pub warm_up: f64,
    /// A slice in which the old side lost this much more than before the change is one of trouble that both sides share.
    pub shared_fault: f64,
    /// Megabytes that a front end may use.
    pub memory: f64,
    /// Seconds over which growing memory is extrapolated.
    pub horizon: f64,
}

impl Default for AnalysisParameters {
    fn default() -> AnalysisParameters {
        AnalysisParameters {
            error: 0.01,
            relevant_loss: 0.01,
            tolerated_loss: 0.03,
            warm_up: 10.0,
            shared_fault: 0.1,
            memory: 1024.0,
            horizon: 3600.0,
        }
    }
}

/// The end of a front end's process that nobody had asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplannedExit {
    /// The front end.
    pub name: String,
    /// How it ended; equal texts are ends of the same kind.
    pub kind: String,
}

/// What a front end counted between two samples.
#[derive(Clone, Debug)]
pub(crate) struct FrontEndDelta {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) classes: BTreeMap<String, RequestCounters>,
}

/// Names of front ends that crashed, by the kind of crash.
type Exits = BTreeMap<String, BTreeSet<String>>;

/// Analyses one stage at a time: the front ends of the stage are its new side, all others the old one.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    pub(crate) parameters: AnalysisParameters,
    /// The names of the new side.
    pub(crate) new: BTreeSet<String>,
    /// The last sample of each front end.
    pub(crate) last: BTreeMap<String, FrontEndReport>,
    /// The slices before the change.
    pub(crate) baseline: Vec<Vec<FrontEndDelta>>,
    /// By class, the 99th percentile of the latency before the change, in microseconds.
    pub(crate) slow_over: BTreeMap<String, u64>,
    pub(crate) evidence: BTreeMap<Metric, MetricEvidence>,
    /// The new side is in place and compared.
    comparing: bool,
    /// The share that was lost before the change.
    pub(crate) usual_loss: Option<f64>,
    /// Slices in a row in which both sides were in trouble.
    pub(crate) troubled_slices: usize,
    /// Unplanned exits of the old and the new side.
    exits: [Exits; 2],
    /// The last count of guarded defects of each new front end.
    guarded: BTreeMap<String, u64>,
    /// By name and incarnation.
    pub(crate) memory: BTreeMap<(String, u64), MemoryHistory>,
    /// Why the new side has failed regardless of statistics.
    pub(crate) failure: Option<String>,
}

impl CanaryAnalysis {
    /// An analysis without samples of a stage with this new side.
    pub fn new(
        parameters: AnalysisParameters,
        new: impl IntoIterator<Item = String>,
    ) -> CanaryAnalysis {
        CanaryAnalysis {
            parameters,
            new: new.into_iter().collect(),
            last: BTreeMap::new(),
            baseline: Vec::new(),
            slow_over: BTreeMap::new(),
            evidence: BTreeMap::new(),
            comparing: false,
            usual_loss: None,
            troubled_slices: 0,
            exits: Default::default(),
            guarded: BTreeMap::new(),
            memory: BTreeMap::new(),
            failure: None,
        }
    }

    /// Goes on to the next stage, with a larger new side and this probability of error. The baseline is kept; evidence begins anew.
    pub fn next(&mut self, new: impl IntoIterator<Item = String>, error: f64) {
        self.new = new.into_iter().collect();
        self.parameters.error = error;
        self.comparing = false;
        self.troubled_slices = 0;
        self.failure = None;
        self.evidence.clear();
        self.exits = Default::default();
        self.guarded.clear();
        self.memory.clear();
    }

    /// Takes a sample of all front ends. `comparing`: the new side is in place; until then samples only make up the baseline.
    pub fn observe(&mut self, reports: &[FrontEndReport], comparing: bool) {
        let deltas: Vec<FrontEndDelta> = reports
            .iter()
            .filter_map(|report| self.delta(report))
            .collect();
        let any_was_new = self.last.values().any(|report| report.is_canary);
        let any_is_new = reports.iter().any(|report| report.is_canary);
        self.last = reports
            .iter()
            .map(|report| (report.name.clone(), report.clone()))
            .collect();
        if !comparing {
            // The baseline is what there was before anything had changed.
            if !any_is_new && !any_was_new && !deltas.is_empty() {
                self.add_to_baseline(deltas);
            }
            return;
        }
        if !self.comparing {
            self.comparing = true;
            self.summarize_baseline();
        }
        self.check_guards(reports);
        self.check_memory(reports);
        self.compare(&deltas);
        if let Some(reason) = self.memory_leak(reports) {
            self.stop(reason);
        }
    }

    /// A process ended without being asked to.
    pub fn on_unplanned_exit(&mut self, exit: UnplannedExit) {
        let is_new = self.new.contains(&exit.name);
        self.exits[usize::from(is_new)]
            .entry(exit.kind.clone())
            .or_default()
            .insert(exit.name);
        let exited = |side: usize| self.exits[side].get(&exit.kind).map_or(0, BTreeSet::len);
        let old_exited = exited(0);
        let new_exited = exited(1);
        let new_count = self.new.len();
        let old_count = self.last.len().saturating_sub(new_count);
        // Two exits of one kind are no accident, unless they are as frequent on the old side.
        let old_rate = old_exited as f64 / old_count.max(1) as f64;
        let shared = old_rate >= 0.5 * new_exited as f64 / new_count.max(1) as f64;
        if is_new && new_exited >= 2 && !(old_exited > 0 && shared) {
            self.stop(format!(
                "{new_exited} of the new side ended by themselves: {}",
                exit.kind
            ));
        }
    }

    /// The process of one front end ends again and again.
    pub fn on_crash_loop(&mut self, name: &str, kind: &str) {
        if self.new.contains(name) {
            self.stop(format!("{name} ends again and again: {kind}"));
        }
    }

    /// Fails the new side for a reason that needs no statistics. The first reason stands.
    pub fn stop(&mut self, reason: String) {
        self.failure.get_or_insert(reason);
    }

    /// What a front end counted since its last sample, if it has the same process and that was warm by then. That the process of
    /// either side was restarted is not to be compared.
    fn delta(&self, report: &FrontEndReport) -> Option<FrontEndDelta> {
        let last = self
            .last
            .get(&report.name)
            .filter(|last| last.incarnation == report.incarnation)?;
        if last.uptime_seconds < self.parameters.warm_up {
            return None;
        }
        let none = RequestCounters::default();
        let since = |(class, counters): (&String, &RequestCounters)| {
            let before = last.classes.get(class).unwrap_or(&none);
            (class.clone(), counters.since(before))
        };
        Some(FrontEndDelta {
            name: report.name.clone(),
            zone: report.zone.clone(),
            classes: report.classes.iter().map(since).collect(),
        })
    }

    fn add_to_baseline(&mut self, deltas: Vec<FrontEndDelta>) {
        self.baseline.push(deltas);
        if self.baseline.len() > MAX_BASELINE {
            self.baseline.remove(0);
        }
    }

    /// What was slow, and what was lost, before the change.
    fn summarize_baseline(&mut self) {
        let mut classes: BTreeMap<String, RequestCounters> = BTreeMap::new();
        let mut value_served = 0.0;
        let mut value_requested = 0.0;
        for delta in self.baseline.iter().flatten() {
            for (class, counters) in &delta.classes {
                classes.entry(class.clone()).or_default().add(counters);
                value_served += counters.value_served;
                value_requested += counters.value_requested;
            }
        }
        let percentile = |(class, counters): (String, RequestCounters)| {
            let known = counters.latency.len() >= MIN_LATENCIES;
            known.then(|| (class, counters.latency.value_at_quantile(0.99)))
        };
        self.slow_over = classes.into_iter().filter_map(percentile).collect();
        self.usual_loss = (value_requested > 0.0).then(|| 1.0 - value_served / value_requested);
    }

    /// Fails the new side if a guard prevented something there.
    fn check_guards(&mut self, reports: &[FrontEndReport]) {
        for report in reports.iter().filter(|report| report.is_canary) {
            let known = self.guarded.entry(report.name.clone()).or_insert(0);
            if report.guard_interventions > *known {
                *known = report.guard_interventions;
                self.stop(format!("a guard of {} held something back", report.name));
            }
        }
    }

    /// Fails the new side if one uses too much memory, and records the memory of all that are warm.
    fn check_memory(&mut self, reports: &[FrontEndReport]) {
        let limit = self.parameters.memory;
        for report in reports {
            if report.is_canary && report.memory_mb > limit {
                self.stop(format!(
                    "{} takes {:.0} MB, over its limit of {limit:.0}",
                    report.name, report.memory_mb
                ));
            }
            if report.uptime_seconds >= self.parameters.warm_up {
                self.memory
                    .entry((report.name.clone(), report.incarnation))
                    .or_default()
                    .add(report);
            }
        }
    }
}
