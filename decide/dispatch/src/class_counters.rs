//! Final answers by class, for whoever compares this front end with its siblings. Off unless it is asked for.

use crate::message::Answer;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use tansyrouter::{Class, Span};

/// Classes that are counted by name; calls of further ones are counted together.
const MAX_CLASSES: usize = 256;
/// The name of those.
pub const OTHER_CLASSES: &str = "(others)";
/// The name under which calls are counted whose function's settings were not there when they came, class and all: served are
/// those that went on with them, whatever became of them then under their class.
pub const PENDING_LOOKUP: &str = "(awaited settings)";
/// Latencies over this count as this, microseconds.
const MAX_LATENCY: u64 = 3_600_000_000;

/// Final answers of one class since the process began.
#[derive(Clone, Debug)]
pub struct ClassCounters {
    /// Calls that ended.
    pub ended: u64,
    /// Answered by a worker; of those that awaited settings: gone on with them.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, or left by their clients.
    pub failed: u64,
    /// What the calls were worth if answered in time: 1 each.
    pub possible_value: f64,
    /// What the answers were worth by the class's aim and deadline.
    pub value: f64,
    /// Microseconds from arrival to the answer, of served calls.
    pub latency: Histogram<u64>,
}

impl ClassCounters {
    fn new() -> ClassCounters {
        // Within bounds from the start: one that grows does not where it is to saturate.
        let latency =
            Histogram::new_with_bounds(1, MAX_LATENCY, 2).expect("two digits, and an hour");
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
}

/// The counts, by the class's name.
#[derive(Clone, Debug, Default)]
pub struct ClassCounterTable {
    classes: BTreeMap<String, ClassCounters>,
    /// By which classes answers are valued, where that is not how they are decided.
    valuation_classes: BTreeMap<String, Class>,
}

impl ClassCounterTable {
    /// By the class's name.
    pub fn classes(&self) -> &BTreeMap<String, ClassCounters> {
        &self.classes
    }

    /// Answers are valued by these classes from now on, by name: front ends that are compared need one yardstick, also
    /// while some of them act on other settings.
    pub(crate) fn set_valuation_classes(&mut self, classes: BTreeMap<String, Class>) {
        self.valuation_classes = classes;
    }

    /// A call ended after so long; no answer: its client left.
    pub(crate) fn record_answer(
        &mut self,
        name: &str,
        class: &Class,
        answer: Option<Answer>,
        took: Span,
    ) {
        let full = self.classes.len() >= MAX_CLASSES;
        let name = if self.classes.contains_key(name) || !full {
            name
        } else {
            OTHER_CLASSES
        };
        let class = self.valuation_classes.get(name).unwrap_or(class);
        let value = match took {
            t if t <= class.aim => 1.0,
            t if t <= class.deadline => class.late_worth,
            _ => 0.0,
        };
        self.add(name, answer, took, value);
    }

    /// A call's wait for its function's settings ended after so long: it goes on, or has this answer; none: its client left.
    pub(crate) fn record_lookup_wait(&mut self, end: Result<(), Option<Answer>>, took: Span) {
        let answer = end.map_or_else(|answer| answer, |()| Some(Answer::Served));
        self.add(PENDING_LOOKUP, answer, took, 1.0);
    }

    fn add(&mut self, name: &str, answer: Option<Answer>, took: Span, value: f64) {
        if !self.classes.contains_key(name) {
            self.classes.insert(name.to_string(), ClassCounters::new());
        }
        let Some(counters) = self.classes.get_mut(name) else {
            return;
        };
        counters.ended += 1;
        counters.possible_value += 1.0;
        match answer {
            Some(Answer::Served) => {
                counters.served += 1;
                counters
                    .latency
                    .saturating_record(u64::try_from(took).unwrap_or(0).max(1));
                counters.value += value;
            }
            Some(Answer::Refused { .. }) => counters.refused += 1,
            _ => counters.failed += 1,
        }
    }
}
