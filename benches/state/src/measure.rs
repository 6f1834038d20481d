//! Memory of this process, times, and the line that a run prints.

use hdrhistogram::Histogram;
use serde_json::{json, Map, Value};
use std::time::{Duration, Instant};

/// Bytes in an MB, as figures are told.
const MB: f64 = 1e6;

fn page() -> f64 {
    rustix::param::page_size() as f64
}

/// MB that this process holds in memory.
pub fn memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(0.0) * page() / MB
}

/// The most MB that this process has held so far.
fn most_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmHWM:")).unwrap_or("");
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|k| k.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0 / MB
}

/// Half of the machine's memory, MB: what a run may hold.
pub fn allowed_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("MemTotal:"))
        .unwrap_or("");
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|k| k.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0 / MB / 2.0
}

/// What is held beyond what was held when this began.
pub struct Grown(f64);

impl Grown {
    /// From here.
    pub fn begin() -> Grown {
        Grown(memory_mb())
    }

    /// MB since then.
    pub fn mb(&self) -> f64 {
        memory_mb() - self.0
    }

    /// MB at the most of the process's life, beyond what was held at the beginning.
    pub fn peak_mb(&self) -> f64 {
        (most_mb() - self.0).max(0.0)
    }
}

/// Runs it and says how long it took.
pub fn timed<T>(f: impl FnOnce() -> T) -> (T, Duration) {
    let since = Instant::now();
    let out = f();
    (out, since.elapsed())
}

/// Milliseconds.
pub fn ms(t: Duration) -> f64 {
    t.as_secs_f64() * 1e3
}

/// Times or lengths, for their quantiles.
pub struct Spread(Histogram<u64>);

impl Default for Spread {
    fn default() -> Spread {
        Spread(Histogram::new(3).expect("three digits are allowed"))
    }
}

impl Spread {
    /// A time, kept to the nanosecond.
    pub fn add(&mut self, t: Duration) {
        // It grows to hold what is recorded; to saturate would not let it.
        self.0
            .record(u64::try_from(t.as_nanos()).unwrap_or(u64::MAX).max(1))
            .expect("it grows");
    }

    /// Microseconds of virtual time.
    pub fn add_us(&mut self, us: i64) {
        self.add(Duration::from_micros(u64::try_from(us).unwrap_or(0)));
    }

    /// On average, milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.0.mean() / 1e6
    }

    /// How many.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    fn at(&self, unit: f64) -> Value {
        let q = |q: f64| rounded(self.0.value_at_quantile(q) as f64 / unit);
        json!({"p50": q(0.5), "p99": q(0.99), "most": rounded(self.0.max() as f64 / unit)})
    }

    /// In microseconds.
    pub fn us(&self) -> Value {
        self.at(1e3)
    }

    /// In milliseconds.
    pub fn ms(&self) -> Value {
        self.at(1e6)
    }
}

/// Four digits are enough for a figure.
pub fn rounded(x: f64) -> f64 {
    if x == 0.0 || !x.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powi(3 - x.abs().log10().floor() as i32);
    (x * scale).round() / scale
}

/// What one run found.
#[derive(Clone, Debug, Default)]
pub struct Line {
    fields: Map<String, Value>,
    notes: Vec<String>,
}

impl Line {
    /// A count, as it is.
    pub fn count(&mut self, name: &str, n: usize) {
        self.fields.insert(name.into(), json!(n));
    }

    /// A figure, to four digits.
    pub fn figure(&mut self, name: &str, x: f64) {
        self.fields.insert(name.into(), json!(rounded(x)));
    }

    /// Anything else.
    pub fn put(&mut self, name: &str, value: Value) {
        self.fields.insert(name.into(), value);
    }

    /// What was refused or failed.
    pub fn note(&mut self, note: String) {
        self.notes.push(note);
    }

    /// The line as it is printed.
    pub fn json(mut self, ok: bool) -> Value {
        self.put("ok", json!(ok));
        self.put("notes", json!(self.notes));
        Value::Object(self.fields)
    }
}
