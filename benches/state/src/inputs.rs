//! Inputs of the measurements: functions, a version of settings that names them, how often each is called, and workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tansy_agreement::compatibility::{escape_name, Fields, Value};
use tansy_agreement::lease::{LeaseTiming, Member};
use tansy_dispatch::{
    Call, CallId, DispatchConfig, FunctionShape, FunctionSpec, WorkerRecord, WorkerState,
};
use tansyrouter::{Class, DedupGroup, Effect, Micros, Settings, SECOND};

/// Classes of calls.
pub const CLASSES: usize = 8;
/// Calls that arrive at one front end, by the second.
pub const CALLS_S: f64 = 100.0;
/// How steeply functions differ: the n-th most called is called `n^-SKEW` as often as the first. With 1,500,000 calls a
/// second over 340,000 functions more than half of these are called less than once a minute, over all front ends.
pub const SKEW: f64 = 1.5;
/// Warm instances of each worker, of functions of their own.
pub const WARM: usize = 100;
/// A load's time.
pub const LOAD: Micros = 300_000;
/// After a timer of the dispatcher is due, the tick of its timer wheel begins within this time.
pub const TIMER_SLACK: Micros = 500;
/// The span of a lease.
pub const LEASE_SPAN: Micros = 600_000;
/// How much clocks may differ in speed, millionths.
pub const DRIFT_PPM: i64 = 1000;
/// The port at which front ends take messages of the fleet.
pub const FLEET_PORT: u16 = 7000;
/// The deadline of each class, and the budget of each call.
const DEADLINE: Micros = 5 * SECOND;
const LATENCY_OBJECTIVE: Micros = SECOND / 2;
/// How long a group of workers drops repeats of a key.
const KEY_WINDOW: Micros = 30 * SECOND;
/// Memory of one instance, bytes.
const MEMORY: i64 = 256 << 20;

/// Names of functions: 8 to 24 characters, 16 on the mean, other ones by each seed.
pub fn names(functions: usize, seed: u64) -> Vec<String> {
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

/// Every second class has idempotency keys.
fn is_keyed(class: usize) -> bool {
    class % 2 == 1
}

fn class_name(class: usize) -> String {
    format!("class-{class}")
}

/// A version of settings with these functions: four fields each, beside the classes and two fields of workers.
pub fn version(names: &[String]) -> Fields {
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
        fields.insert(format!("{prefix}.memory"), Value::Bytes(MEMORY));
        fields.insert(format!("{prefix}.load_time"), Value::Span(LOAD));
    }
    fields
}

/// The same fields but for the number of lanes of one function.
pub fn changed(fields: &Fields, name: &str, lanes: i64) -> Fields {
    let mut fields = fields.clone();
    fields.insert(
        format!("functions.{}.lanes", escape_name(name)),
        Value::Int(lanes),
    );
    fields
}

/// The decision module's settings of a front end among so many.
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

/// A dispatcher's configuration with these functions in its settings.
pub fn config(names: &[String], front_ends: usize, seed: u64) -> DispatchConfig {
    let function = |(index, name): (usize, &String)| FunctionSpec {
        name: name.clone(),
        class: index % CLASSES,
        lanes: 1,
        memory_mb: MEMORY as f64 / 1e6,
        load_time: Some(LOAD),
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

/// The description of a function that goes with its calls where the settings do not name it.
pub fn shape(lanes: u32) -> FunctionShape {
    FunctionShape {
        lanes,
        memory_mb: 256.0,
        load_time: Some(LOAD),
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

/// The time to the next call of a front end, by a Poisson process.
pub fn call_gap(rng: &mut fastrand::Rng) -> Micros {
    let gap = -(1.0 - rng.f64()).ln() / CALLS_S * 1e6;
    gap as Micros
}

/// The number of a front end, spread as hashes of names are.
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

/// An address of its own for each number below 2^24.
pub fn address(number: usize, port: u16) -> SocketAddr {
    let number = number as u32;
    let host = [10, (number >> 16) as u8, (number >> 8) as u8, number as u8];
    SocketAddr::from((host, port))
}

/// The timing of sessions.
pub fn session_timing() -> LeaseTiming {
    LeaseTiming {
        span: 3600 * SECOND,
        drift_ppm: DRIFT_PPM,
    }
}

/// The cell of a worker.
pub fn cell(worker: usize) -> u64 {
    (worker / 100) as u64
}

/// A worker's name.
pub fn worker(number: usize) -> String {
    format!("worker-{number}")
}

/// The number of the worker with this name; 0 of a name that [`worker`] did not make.
pub fn worker_number(name: &str) -> usize {
    let digits = name.rsplit('-').next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// A worker, as it is in the list.
pub fn listed(number: usize) -> WorkerRecord {
    WorkerRecord {
        name: worker(number),
        kind: 0,
        cell: cell(number),
        zone: 0,
        state: WorkerState::Ready,
        age: None,
        relative_size: 1.0,
    }
}

/// How often each function is called.
pub struct FunctionPopularity {
    /// By rank: the sum of the shares up to it.
    sums: Vec<f64>,
    /// The function of each rank.
    ranked: Vec<u32>,
}

impl FunctionPopularity {
    /// Draws the rank of each of so many functions.
    pub fn new(functions: usize, seed: u64) -> FunctionPopularity {
        let mut sum = 0.0;
        let mut add = |rank: usize| {
            sum += (rank as f64).powf(-SKEW);
            sum
        };
        let mut sums: Vec<f64> = (1..=functions).map(&mut add).collect();
        sums.iter_mut().for_each(|s| *s /= sum);
        let mut ranked: Vec<u32> = (0..functions as u32).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut ranked);
        FunctionPopularity { sums, ranked }
    }

    /// Draws the next call's function.
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

/// The share of functions that one front end is called for less than once a minute.
pub fn seldom(shares: &[f64]) -> f64 {
    let seldom = shares.iter().filter(|s| *s * CALLS_S * 60.0 < 1.0).count();
    seldom as f64 / shares.len().max(1) as f64
}

/// The index of each function, by name.
pub fn function_indices(names: &[String]) -> BTreeMap<String, usize> {
    names
        .iter()
        .enumerate()
        .map(|(index, name)| (name.clone(), index))
        .collect()
}
