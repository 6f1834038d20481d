//! Process memory, durations, and the record that a run prints as one line of JSON.

use hdrhistogram::Histogram;
use serde_json::{json, Map, Value};
use std::time::{Duration, Instant};

/// Bytes per MB.
const MB: f64 = 1e6;
/// Bytes per unit of the memory sizes in `/proc`.
const KIB: f64 = 1024.0;
/// Significant digits of a printed figure.
const SIGNIFICANT_DIGITS: i32 = 4;

fn page_bytes() -> f64 {
    rustix::param::page_size() as f64
}

/// The second word of the first line in a `/proc` file that starts with `line_start`; 0 if there is none.
fn proc_number(file: &str, line_start: &str) -> f64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with(line_start))
        .unwrap_or("");
    let number = line
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    number.unwrap_or(0.0)
}

/// Resident memory of this process, in MB.
pub fn memory_mb() -> f64 {
    proc_number("/proc/self/statm", "") * page_bytes() / MB
}

/// Peak resident memory of this process, in MB.
fn peak_memory_mb() -> f64 {
    proc_number("/proc/self/status", "VmHWM:") * KIB / MB
}

/// Memory that a run may use, in MB: half of the machine's.
pub fn allowed_mb() -> f64 {
    proc_number("/proc/meminfo", "MemTotal:") * KIB / MB / 2.0
}

/// Growth of this process's memory since [`MemoryGrowth::begin`].
pub struct MemoryGrowth(f64);

impl MemoryGrowth {
    /// Starts measuring growth.
    pub fn begin() -> MemoryGrowth {
        MemoryGrowth(memory_mb())
    }

    /// Growth so far, in MB.
    pub fn mb(&self) -> f64 {
        memory_mb() - self.0
    }

    /// Difference between the process's peak memory and its memory at the start, in MB.
    pub fn peak_mb(&self) -> f64 {
        (peak_memory_mb() - self.0).max(0.0)
    }
}

/// Runs an operation and returns its result and duration.
pub fn timed<T>(operation: impl FnOnce() -> T) -> (T, Duration) {
    let started = Instant::now();
    let result = operation();
    (result, started.elapsed())
}

/// A duration in milliseconds.
pub fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// A histogram of durations.
pub struct Distribution(Histogram<u64>);

impl Default for Distribution {
    fn default() -> Distribution {
        Distribution(Histogram::new(3).expect("three significant digits are supported"))
    }
}

impl Distribution {
    /// Records a duration with nanosecond resolution.
    pub fn add(&mut self, duration: Duration) {
        // Unlike `saturating_record`, `record` lets the histogram resize itself.
        self.0
            .record(
                u64::try_from(duration.as_nanos())
                    .unwrap_or(u64::MAX)
                    .max(1),
            )
            .expect("the histogram resizes itself");
    }

    /// Records a span of virtual time, in microseconds.
    pub fn add_us(&mut self, micros: i64) {
        self.add(Duration::from_micros(u64::try_from(micros).unwrap_or(0)));
    }

    /// The mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.0.mean() / 1e6
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    fn quantiles(&self, nanos_per_unit: f64) -> Value {
        let quantile = |q: f64| rounded(self.0.value_at_quantile(q) as f64 / nanos_per_unit);
        let max = rounded(self.0.max() as f64 / nanos_per_unit);
        json!({"p50": quantile(0.5), "p99": quantile(0.99), "most": max})
    }

    /// Quantiles in microseconds.
    pub fn us(&self) -> Value {
        self.quantiles(1e3)
    }

    /// Quantiles in milliseconds.
    pub fn ms(&self) -> Value {
        self.quantiles(1e6)
    }
}

/// Rounds a figure to four significant digits; returns 0 if it is not finite.
pub fn rounded(figure: f64) -> f64 {
    if figure == 0.0 || !figure.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powi(SIGNIFICANT_DIGITS - 1 - figure.abs().log10().floor() as i32);
    (figure * scale).round() / scale
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct OutputRecord {
    fields: Map<String, Value>,
    notes: Vec<String>,
}

impl OutputRecord {
    /// Adds a count.
    pub fn count(&mut self, name: &str, count: usize) {
        self.fields.insert(name.into(), json!(count));
    }

    /// Adds a figure, rounded by [`rounded`].
    pub fn figure(&mut self, name: &str, figure: f64) {
        self.fields.insert(name.into(), json!(rounded(figure)));
    }

    /// Adds any other value.
    pub fn insert(&mut self, name: &str, value: Value) {
        self.fields.insert(name.into(), value);
    }

    /// Adds a note, for example on a rejection or a failure.
    pub fn add_note(&mut self, note: String) {
        self.notes.push(note);
    }

    /// The record in its printed form; `ok` tells whether the measurement succeeded.
    pub fn json(mut self, ok: bool) -> Value {
        self.insert("ok", json!(ok));
        self.insert("notes", json!(self.notes));
        Value::Object(self.fields)
    }
}
