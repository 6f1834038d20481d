//! Counters of final answers by class, for comparing front ends. Optional; a dispatcher has them only once enabled.

use crate::message::Answer;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use tansyrouter::{Class, Micros};

/// Number of classes with counters of their own; calls of further classes share one set.
const MAX_CLASSES: usize = 256;
/// The name of the counters that further classes share.
pub const OTHER_CLASSES: &str = "(others)";
/// The name of the counters for calls whose function had no known settings, and so no class, when they arrived. Here
/// `served` counts the calls that proceeded after a lookup; their final answers are counted under their class.
pub const PENDING_LOOKUP: &str = "(awaited settings)";
/// Longest latency recorded, microseconds; longer ones are recorded as this.
const MAX_LATENCY: u64 = 3_600_000_000;

/// Final answers of one class since the start of the process.
#[derive(Clone, Debug)]
pub struct ClassCounters {
    /// Calls that ended.
    pub ended: u64,
    /// Calls answered by a worker; under [`PENDING_LOOKUP`], calls that proceeded after a lookup.
    pub served: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls that failed or were abandoned by their clients.
    pub failed: u64,
    /// Value of all calls had they been answered within the latency objective: 1 each.
    pub possible_value: f64,
    /// Value of the answers, by the latency objective and the deadline of the class.
    pub value: f64,
    /// Time from arrival to answer of served calls, microseconds.
    pub latency: Histogram<u64>,
}

impl ClassCounters {
    fn new() -> ClassCounters {
        // A fixed range, because `saturating_record` does not grow an auto-resizing histogram.
        let latency =
            Histogram::new_with_bounds(1, MAX_LATENCY, 2).expect("a valid range and precision");
        ClassCounters {
            ended: 0,
            served: 0,
            refused: 0,
            failed: 0,
            possible_value: 0.0,
            value: 0.0,
            latency,
        }
    }

    fn add(&mut self, answer: Option<Answer>, latency: Micros, value: f64) {
        self.ended += 1;
        self.possible_value += 1.0;
        match answer {
            Some(Answer::Served) => {
                self.served += 1;
                self.latency
                    .saturating_record(u64::try_from(latency).unwrap_or(0).max(1));
                self.value += value;
            }
            Some(Answer::Refused { .. }) => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}

/// Counters of all classes, by class name.
#[derive(Clone, Debug, Default)]
pub struct ClassCounterTable {
    classes: BTreeMap<String, ClassCounters>,
    /// Classes used to value answers instead of the classes in force, by name.
    valuation_classes: BTreeMap<String, Class>,
}

impl ClassCounterTable {
    /// The counters by class name.
    pub fn classes(&self) -> &BTreeMap<String, ClassCounters> {
        &self.classes
    }

    /// Values answers by these classes, by name, from now on. Front ends that are compared need a common scale even while
    /// they apply different settings.
    pub(crate) fn set_valuation_classes(&mut self, classes: BTreeMap<String, Class>) {
        self.valuation_classes = classes;
    }

    /// Records the end of a call with its latency. `None` as the answer means that the client left.
    pub(crate) fn record_answer(
        &mut self,
        name: &str,
        class: &Class,
        answer: Option<Answer>,
        latency: Micros,
    ) {
        let full = self.classes.len() >= MAX_CLASSES;
        let name = if self.classes.contains_key(name) || !full {
            name
        } else {
            OTHER_CLASSES
        };
        let class = self.valuation_classes.get(name).unwrap_or(class);
        let value = if latency <= class.latency_objective {
            1.0
        } else if latency <= class.deadline {
            class.late_weight
        } else {
            0.0
        };
        self.add(name, answer, latency, value);
    }

    /// Records the end of a call's wait for the settings of its function. `Ok` means that the call proceeds; otherwise the
    /// call ended with this answer, or its client left (`None`).
    pub(crate) fn record_lookup_wait(&mut self, end: Result<(), Option<Answer>>, waited: Micros) {
        let answer = end.map_or_else(|answer| answer, |()| Some(Answer::Served));
        self.add(PENDING_LOOKUP, answer, waited, 1.0);
    }

    fn add(&mut self, name: &str, answer: Option<Answer>, latency: Micros, value: f64) {
        if !self.classes.contains_key(name) {
            self.classes.insert(name.to_string(), ClassCounters::new());
        }
        if let Some(counters) = self.classes.get_mut(name) {
            counters.add(answer, latency, value);
        }
    }
}
