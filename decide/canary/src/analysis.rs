//! The state of a canary analysis, and its input: samples and events.

use crate::comparison::MetricEvidence;
use crate::memory::MemoryHistory;
use crate::metric::Metric;
use crate::request_counters::{FrontEndReport, RequestCounters};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of slices kept from before the change.
const MAX_PRE_CHANGE_SLICES: usize = 120;
/// Minimum answers of a class before the change for an estimate of its 99th percentile.
const MIN_LATENCIES: u64 = 200;

/// Parameters of the verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnalysisParameters {
    /// Probability that a change without effect fails at any time during one analysis.
    pub error_probability: f64,
    /// Smallest loss of service that matters, as a share of the calls' value.
    pub relevant_loss: f64,
    /// The change passes once a loss larger than this can be ruled out.
    pub tolerated_loss: f64,
    /// Seconds after its start during which a front end is not compared.
    pub warm_up_seconds: f64,
    /// A slice in which the baseline group loses this much more than before the change is attributed to a fault that both groups share.
    pub shared_fault_loss: f64,
    /// Memory that a front end may use, in megabytes.
    pub memory_limit_mb: f64,
    /// Seconds over which growing memory is extrapolated.
    pub memory_horizon_seconds: f64,
}

impl Default for AnalysisParameters {
    fn default() -> AnalysisParameters {
        AnalysisParameters {
            error_probability: 0.01,
            relevant_loss: 0.01,
            tolerated_loss: 0.03,
            warm_up_seconds: 10.0,
            shared_fault_loss: 0.1,
            memory_limit_mb: 1024.0,
            memory_horizon_seconds: 3600.0,
        }
    }
}

/// An exit of a front end's process that nobody requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplannedExit {
    /// Name of the front end.
    pub name: String,
    /// How the process exited, such as `signal 6`. Equal texts are exits of the same kind.
    pub kind: String,
}

/// The difference between two samples of a front end.
#[derive(Clone, Debug)]
pub(crate) struct FrontEndDelta {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) classes: BTreeMap<String, RequestCounters>,
}

/// Names of front ends with an unplanned exit, by the kind of exit.
type Exits = BTreeMap<String, BTreeSet<String>>;

/// Analyses a rollout one stage at a time. The front ends changed by the end of the stage are the canary group; all others are the
/// baseline group.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    pub(crate) parameters: AnalysisParameters,
    /// Names of the front ends in the canary group.
    pub(crate) canaries: BTreeSet<String>,
    /// The last sample of each front end.
    pub(crate) last_reports: BTreeMap<String, FrontEndReport>,
    /// Slices from before the change.
    pub(crate) pre_change_slices: Vec<Vec<FrontEndDelta>>,
    /// The 99th percentile of the latency before the change, in microseconds, by class.
    pub(crate) slow_thresholds: BTreeMap<String, u64>,
    pub(crate) evidence: BTreeMap<Metric, MetricEvidence>,
    /// Whether the canary group is changed and is being compared.
    comparing: bool,
    /// The share of value lost before the change.
    pub(crate) pre_change_loss: Option<f64>,
    /// Consecutive slices in which the baseline group was in trouble too.
    pub(crate) shared_fault_slices: usize,
    /// Unplanned exits in the baseline and the canary group.
    exits: [Exits; 2],
    /// The last count of guard interventions of each canary.
    guard_interventions: BTreeMap<String, u64>,
    /// Memory samples by front end name and incarnation.
    pub(crate) memory: BTreeMap<(String, u64), MemoryHistory>,
    /// Why the canary group has failed, for a reason that needs no statistics.
    pub(crate) failure: Option<String>,
}

impl CanaryAnalysis {
    /// Creates an analysis of the first stage, with these front ends in the canary group.
    pub fn new(
        parameters: AnalysisParameters,
        canaries: impl IntoIterator<Item = String>,
    ) -> CanaryAnalysis {
        CanaryAnalysis {
            parameters,
            canaries: canaries.into_iter().collect(),
            last_reports: BTreeMap::new(),
            pre_change_slices: Vec::new(),
            slow_thresholds: BTreeMap::new(),
            evidence: BTreeMap::new(),
            comparing: false,
            pre_change_loss: None,
            shared_fault_slices: 0,
            exits: Default::default(),
            guard_interventions: BTreeMap::new(),
            memory: BTreeMap::new(),
            failure: None,
        }
    }

    /// Begins the analysis of another stage, with this canary group and error probability. Slices from before the change are kept;
    /// the evidence of the previous stage is discarded.
    pub fn begin_stage(
        &mut self,
        canaries: impl IntoIterator<Item = String>,
        error_probability: f64,
    ) {
        self.canaries = canaries.into_iter().collect();
        self.parameters.error_probability = error_probability;
        self.comparing = false;
        self.shared_fault_slices = 0;
        self.failure = None;
        self.evidence.clear();
        self.exits = Default::default();
        self.guard_interventions.clear();
        self.memory.clear();
    }

    /// Adds a sample of all front ends. `comparing`: whether the canary group is changed; until then samples only tell how front ends
    /// behave before the change.
    pub fn observe(&mut self, reports: &[FrontEndReport], comparing: bool) {
        let deltas: Vec<FrontEndDelta> = reports
            .iter()
            .filter_map(|report| self.delta(report))
            .collect();
        let any_was_changed = self.last_reports.values().any(|report| report.is_canary);
        let any_is_changed = reports.iter().any(|report| report.is_canary);
        self.last_reports = reports
            .iter()
            .map(|report| (report.name.clone(), report.clone()))
            .collect();
        if !comparing {
            if !any_is_changed && !any_was_changed && !deltas.is_empty() {
                self.add_pre_change_slice(deltas);
            }
            return;
        }
        if !self.comparing {
            self.comparing = true;
            self.summarize_pre_change_slices();
        }
        self.check_guards(reports);
        self.check_memory(reports);
        self.compare(&deltas);
        if let Some(reason) = self.memory_leak(reports) {
            self.fail(reason);
        }
    }

    /// Records an unplanned exit. The canary group fails when two of its front ends have an exit of the same kind, unless such exits
    /// are at least half as frequent in the baseline group.
    pub fn on_unplanned_exit(&mut self, exit: UnplannedExit) {
        let is_canary = self.canaries.contains(&exit.name);
        self.exits[usize::from(is_canary)]
            .entry(exit.kind.clone())
            .or_default()
            .insert(exit.name);
        let exited = |group: usize| self.exits[group].get(&exit.kind).map_or(0, BTreeSet::len);
        let baseline_exited = exited(0);
        let canary_exited = exited(1);
        let canary_count = self.canaries.len();
        let baseline_count = self.last_reports.len().saturating_sub(canary_count);
        let baseline_rate = baseline_exited as f64 / baseline_count.max(1) as f64;
        let shared = baseline_rate >= 0.5 * canary_exited as f64 / canary_count.max(1) as f64;
        if is_canary && canary_exited >= 2 && !(baseline_exited > 0 && shared) {
            self.fail(format!(
                "{canary_exited} of the new side ended by themselves: {}",
                exit.kind
            ));
        }
    }

    /// Records that the process of a front end crashes repeatedly. A canary fails at once.
    pub fn on_crash_loop(&mut self, name: &str, kind: &str) {
        if self.canaries.contains(name) {
            self.fail(format!("{name} ends again and again: {kind}"));
        }
    }

    /// Fails the canary group for a reason that needs no statistics. The first reason is kept.
    pub fn fail(&mut self, reason: String) {
        self.failure.get_or_insert(reason);
    }

    /// The difference from a front end's last sample, if the same process had already finished its warm-up then. This leaves the
    /// effects of restarts out of the comparison.
    fn delta(&self, report: &FrontEndReport) -> Option<FrontEndDelta> {
        let last = self
            .last_reports
            .get(&report.name)
            .filter(|last| last.incarnation == report.incarnation)?;
        if last.uptime_seconds < self.parameters.warm_up_seconds {
            return None;
        }
        let none = RequestCounters::default();
        let since = |(class, counters): (&String, &RequestCounters)| {
            let earlier = last.classes.get(class).unwrap_or(&none);
            (class.clone(), counters.since(earlier))
        };
        Some(FrontEndDelta {
            name: report.name.clone(),
            zone: report.zone.clone(),
            classes: report.classes.iter().map(since).collect(),
        })
    }

    fn add_pre_change_slice(&mut self, deltas: Vec<FrontEndDelta>) {
        self.pre_change_slices.push(deltas);
        if self.pre_change_slices.len() > MAX_PRE_CHANGE_SLICES {
            self.pre_change_slices.remove(0);
        }
    }

    /// Computes the latency thresholds and the loss before the change.
    fn summarize_pre_change_slices(&mut self) {
        let mut classes: BTreeMap<String, RequestCounters> = BTreeMap::new();
        let mut value_served = 0.0;
        let mut value_requested = 0.0;
        for delta in self.pre_change_slices.iter().flatten() {
            for (class, counters) in &delta.classes {
                classes.entry(class.clone()).or_default().add(counters);
                value_served += counters.value_served;
                value_requested += counters.value_requested;
            }
        }
        let percentile = |(class, counters): (String, RequestCounters)| {
            let is_sufficient = counters.latency.len() >= MIN_LATENCIES;
            is_sufficient.then(|| (class, counters.latency.value_at_quantile(0.99)))
        };
        self.slow_thresholds = classes.into_iter().filter_map(percentile).collect();
        self.pre_change_loss =
            (value_requested > 0.0).then(|| 1.0 - value_served / value_requested);
    }

    /// Fails the canary group if a guard has intervened on a canary.
    fn check_guards(&mut self, reports: &[FrontEndReport]) {
        for report in reports.iter().filter(|report| report.is_canary) {
            let known = self
                .guard_interventions
                .entry(report.name.clone())
                .or_insert(0);
            if report.guard_interventions > *known {
                *known = report.guard_interventions;
                self.fail(format!("a guard of {} held something back", report.name));
            }
        }
    }

    /// Fails the canary group if a canary exceeds the memory limit, and records the memory of all front ends past their warm-up.
    fn check_memory(&mut self, reports: &[FrontEndReport]) {
        let limit = self.parameters.memory_limit_mb;
        for report in reports {
            if report.is_canary && report.memory_mb > limit {
                self.fail(format!(
                    "{} takes {:.0} MB, over its limit of {limit:.0}",
                    report.name, report.memory_mb
                ));
            }
            if report.uptime_seconds >= self.parameters.warm_up_seconds {
                self.memory
                    .entry((report.name.clone(), report.incarnation))
                    .or_default()
                    .add(report);
            }
        }
    }
}
