//! Inputs of the measurements: functions, settings, function popularity and workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_agreement::compatibility::{escape_name, Fields, Value};
use tansy_agreement::lease::{LeaseTiming, Member};
use tansy_dispatch::{
    Call, CallId, DispatchConfig, FunctionShape, FunctionSpec, WorkerRecord, WorkerState,
};
use tansyrouter::{Class, DedupGroup, Effect, Micros, Settings, SECOND};

/// Number of call classes.
pub const CLASSES: usize = 8;
/// Arrival rate of calls at one front end.
pub const CALLS_PER_SECOND: f64 = 100.0;
/// Exponent of the Zipf distribution of calls over functions. At 1,500,000 calls per second over 340,000 functions, more
/// than half of the functions are called less than once a minute by the whole fleet.
pub const ZIPF_EXPONENT: f64 = 1.5;
/// Warm instances per worker, each of a different function.
pub const INSTANCES_PER_WORKER: usize = 100;
/// Time to load an instance.
pub const LOAD_TIME: Micros = 300_000;
/// Upper bound of the delay between a dispatcher timer's due time and its timer wheel tick.
pub const TIMER_SLACK: Micros = 500;
/// Duration of a lease.
pub const LEASE_DURATION: Micros = 600_000;
/// Maximum clock drift, in parts per million.
pub const DRIFT_PPM: i64 = 1000;
/// Port on which front ends receive fleet messages.
pub const FLEET_PORT: u16 = 7000;
/// The deadline of each class, and the budget of each call.
const DEADLINE: Micros = 5 * SECOND;
const LATENCY_OBJECTIVE: Micros = SECOND / 2;
/// Deduplication window of idempotency keys.
const KEY_WINDOW: Micros = 30 * SECOND;
/// Memory of one instance.
const INSTANCE_MEMORY_BYTES: i64 = 256 << 20;

/// Random function names of 8 to 24 characters, 16 on average.
pub fn function_names(functions: usize, seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let name = |number: usize| {
        let length = rng.usize(1..=17);
        let word: String = std::iter::repeat_with(|| rng.lowercase())
            .take(length)
            .collect();
        format!("{word}-{number:06x}")
    };
    (0..functions).map(name).collect()
}

/// Whether the class uses idempotency keys: every second one does.
fn is_keyed(class: usize) -> bool {
    class % 2 == 1
}

fn class_name(class: usize) -> String {
    format!("class-{class}")
}

/// The fields of a settings version: the classes, two general fields, and four fields per function.
pub fn version_fields(names: &[String]) -> Fields {
    let mut fields = Fields::new();
    for class in 0..CLASSES {
        let prefix = format!("classes.{}", class_name(class));
        fields.insert(format!("{prefix}.aim"), Value::Span(LATENCY_OBJECTIVE));
        fields.insert(format!("{prefix}.deadline"), Value::Span(DEADLINE));
        if is_keyed(class) {
            fields.insert(format!("{prefix}.effect"), Value::Text("keyed".into()));
            fields.insert(format!("{prefix}.window"), Value::Span(KEY_WINDOW));
        }
    }
    fields.insert("front.siblings".into(), Value::Int(15_000));
    fields.insert("worker.max_attempts".into(), Value::Int(4));
    for (index, name) in names.iter().enumerate() {
        let prefix = format!("functions.{}", escape_name(name));
        let class = class_name(index % CLASSES);
        fields.insert(format!("{prefix}.class"), Value::Text(class));
        fields.insert(format!("{prefix}.lanes"), Value::Int(1));
        fields.insert(
            format!("{prefix}.memory"),
            Value::Bytes(INSTANCE_MEMORY_BYTES),
        );
        fields.insert(format!("{prefix}.load_time"), Value::Span(LOAD_TIME));
    }
    fields
}

/// Copies the fields with another number of lanes for one function.
pub fn with_lanes(fields: &Fields, name: &str, lanes: i64) -> Fields {
    let mut fields = fields.clone();
    fields.insert(
        format!("functions.{}.lanes", escape_name(name)),
        Value::Int(lanes),
    );
    fields
}

/// Decision module settings of a front end in a fleet of `front_ends`.
pub fn settings(front_ends: usize) -> Settings {
    let keyed = Effect::Keyed {
        group: DedupGroup::All,
        window: KEY_WINDOW,
    };
    let class = |class: usize| Class {
        latency_objective: LATENCY_OBJECTIVE,
        objective_per_work: 0.0,
        deadline: DEADLINE,
        effect: if is_keyed(class) { keyed } else { Effect::Safe },
        priority_weight: 1.0,
        late_weight: 0.5,
        streamed: false,
    };
    let siblings = front_ends.max(1);
    Settings {
        front_end_index: siblings / 2,
        front_ends: siblings,
        classes: (0..CLASSES).map(class).collect(),
        ..Settings::default()
    }
}

/// Dispatcher configuration that lists these functions.
pub fn config(names: &[String], front_ends: usize, seed: u64) -> DispatchConfig {
    let function = |(index, name): (usize, &String)| FunctionSpec {
        name: name.clone(),
        class: index % CLASSES,
        lanes: 1,
        memory_mb: INSTANCE_MEMORY_BYTES as f64 / 1e6,
        load_time: Some(LOAD_TIME),
        versions: vec!["1".into()],
    };
    DispatchConfig {
        settings: settings(front_ends),
        classes: (0..CLASSES).map(class_name).collect(),
        tenants: Vec::new(),
        zones: vec!["local".into()],
        functions: names.iter().enumerate().map(function).collect(),
        max_call_time: 60 * SECOND,
        seed,
    }
}

/// The description that calls carry of a function that is not in the settings.
pub fn function_shape(lanes: u32) -> FunctionShape {
    FunctionShape {
        lanes,
        memory_mb: 256.0,
        load_time: Some(LOAD_TIME),
    }
}

/// A call as a client sends it.
pub fn call(number: u64, function: &str, class: usize, shape: Option<FunctionShape>) -> Call {
    Call {
        id: CallId(number),
        function: function.to_string(),
        class: Some(class),
        tenant: 0,
        budget: Some(DEADLINE),
        work_hint: None,
        repeat: false,
        shape,
        unknown_names: false,
        waited: 0,
    }
}

/// Draws the time to a front end's next call (Poisson process).
pub fn call_gap(rng: &mut fastrand::Rng) -> Micros {
    let gap = -(1.0 - rng.f64()).ln() / CALLS_PER_SECOND * 1e6;
    gap as Micros
}

/// Identifier of a front end, distributed like a hash of its name.
pub fn member_id(number: usize, seed: u64) -> u64 {
    let spread = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    fastrand::Rng::with_seed(seed ^ spread).u64(2..)
}

/// A front end in its first incarnation.
pub fn member(number: usize, seed: u64) -> Member {
    Member {
        id: member_id(number, seed),
        incarnation: 1,
    }
}

/// A unique address for each number below 2^24.
pub fn address(number: usize, port: u16) -> SocketAddr {
    let number = number as u32;
    let host = [10, (number >> 16) as u8, (number >> 8) as u8, number as u8];
    SocketAddr::from((host, port))
}

/// Session timing.
pub fn session_timing() -> LeaseTiming {
    LeaseTiming {
        span: 3600 * SECOND,
        drift_ppm: DRIFT_PPM,
    }
}

/// The cell of a worker.
pub fn worker_cell(worker: usize) -> u64 {
    (worker / 100) as u64
}

/// A worker's name.
pub fn worker_name(number: usize) -> String {
    format!("worker-{number}")
}

/// Parses the number from a name made by [`worker_name`]; 0 for any other name.
pub fn worker_number(name: &str) -> usize {
    let digits = name.rsplit('-').next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The entry of a worker in the worker list.
pub fn worker_record(number: usize) -> WorkerRecord {
    WorkerRecord {
        name: worker_name(number),
        kind: 0,
        cell: worker_cell(number),
        zone: 0,
        state: WorkerState::Ready,
        age: None,
        relative_size: 1.0,
    }
}

/// How often each function is called.
pub struct FunctionPopularity {
    /// Cumulative share of calls by rank.
    sums: Vec<f64>,
    /// The function of each rank.
    ranked: Vec<u32>,
}

impl FunctionPopularity {
    /// Ranks `functions` functions in random order.
    pub fn new(functions: usize, seed: u64) -> FunctionPopularity {
        let mut sum = 0.0;
        let mut add = |rank: usize| {
            sum += (rank as f64).powf(-ZIPF_EXPONENT);
            sum
        };
        let mut sums: Vec<f64> = (1..=functions).map(&mut add).collect();
        sums.iter_mut().for_each(|s| *s /= sum);
        let mut ranked: Vec<u32> = (0..functions as u32).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut ranked);
        FunctionPopularity { sums, ranked }
    }

    /// Draws the function of the next call.
    pub fn next(&self, rng: &mut fastrand::Rng) -> usize {
        let at = rng.f64();
        let rank = self
            .sums
            .partition_point(|s| *s <= at)
            .min(self.ranked.len().saturating_sub(1));
        self.ranked[rank] as usize
    }

    /// Each function's share of the calls.
    pub fn shares(&self) -> Vec<f64> {
        let mut shares = vec![0.0; self.ranked.len()];
        let mut before = 0.0;
        for (function, sum) in self.ranked.iter().zip(&self.sums) {
            shares[*function as usize] = sum - before;
            before = *sum;
        }
        shares
    }
}

/// The share of functions that are called less than once a minute at one front end.
pub fn rarely_called_share(shares: &[f64]) -> f64 {
    let rarely_called = shares
        .iter()
        .filter(|s| *s * CALLS_PER_SECOND * 60.0 < 1.0)
        .count();
    rarely_called as f64 / shares.len().max(1) as f64
}

/// Maps each function name to its index.
pub fn function_indices(names: &[String]) -> BTreeMap<String, usize> {
    names
        .iter()
        .enumerate()
        .map(|(index, name)| (name.clone(), index))
        .collect()
}
