//! The JSON line that a measurement prints, and its statistics.

use serde::Serialize;
use serde_json::{json, Map, Value};

/// The fields of the JSON line that are known so far.
#[derive(Default)]
pub(super) struct Report(Map<String, Value>);

impl Report {
    /// Sets a field.
    pub(super) fn put(&mut self, name: &str, value: impl Serialize) {
        self.0.insert(name.into(), json!(value));
    }

    /// Adds a problem to the notes.
    pub(super) fn add_issue(&mut self, issue: String) {
        let issues = self.0.entry("notes").or_insert_with(|| json!([]));
        if let Some(issues) = issues.as_array_mut() {
            issues.push(issue.into());
        }
    }

    /// Returns the complete line.
    pub(super) fn into_json(self) -> Value {
        Value::Object(self.0)
    }
}

/// Rounds to three decimal places.
pub(super) fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Returns the rounded mean, or `None` without values.
pub(super) fn mean(values: impl IntoIterator<Item = f64>) -> Option<f64> {
    let values: Vec<f64> = values.into_iter().collect();
    (!values.is_empty()).then(|| round(values.iter().sum::<f64>() / values.len() as f64))
}

/// Returns the median and the 99th percentile by nearest rank; null without values.
pub(super) fn quantiles(values: impl IntoIterator<Item = f64>) -> Value {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    let at = |quantile: f64| {
        let rank = (values.len() as f64 * quantile).ceil() as usize;
        values.get(rank.max(1) - 1).map(|value| round(*value))
    };
    json!({ "p50": at(0.5), "p99": at(0.99) })
}
