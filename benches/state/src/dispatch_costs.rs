//! Benchmarks of the decision module, of the dispatcher that contains it, and of cold starts.

use crate::dispatch_workload::{
    arrival, DispatcherAdapter, RouterAdapter, SystemUnderTest, Workload,
};
use crate::inputs::{self, FunctionPopularity, INSTANCES_PER_WORKER, LOAD_TIME};
use crate::measure::{ms, timed, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use tansy_dispatch::{CallId, Dispatcher, Input};
use tansyrouter::{
    Event, FunctionId, ListKind, Micros, Outcome, RequestId, Router, Time, WorkerEntry, WorkerId,
    SECOND,
};

/// Virtual time until the workload is steady.
const WARM_UP: Micros = 45 * SECOND;
/// Virtual time for which the steady workload is measured.
const MEASURED_PERIOD: Micros = 15 * SECOND;
/// Virtual time for which a filled module is measured: less than the 40 s for which it remembers a called function, and the
/// 9 s for which it assumes that a reported instance is still loaded.
const MEASURED_PERIOD_AFTER_FILL: Micros = 7 * SECOND;
/// Events per [`BATCH_INTERVAL`] before the workload starts.
const BATCH: usize = 20_000;
const BATCH_INTERVAL: Micros = 20_000;
/// Rate of calls at one front end to functions that no worker has loaded.
const COLD_CALLS_PER_SECOND: f64 = 1.0;
/// Number of the first call before the workload, which itself counts calls from 1.
const FIRST_CALL: u64 = u64::MAX / 2;

fn worker_entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(number as u64),
        cell: inputs::worker_cell(number),
        relative_size: 1.0,
        ..WorkerEntry::default()
    }
}

fn worker_count(args: &Args) -> usize {
    args.instances.div_ceil(INSTANCES_PER_WORKER).max(1)
}

fn add_memory(growth: &MemoryGrowth, output: &mut OutputRecord) {
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
}

fn add_steps<S: SystemUnderTest>(workload: &Workload<S>, output: &mut OutputRecord) {
    let times = &workload.step_times;
    output.insert("decide_us", times.call.us());
    output.insert("told_us", times.answer.us());
    output.insert("tick_us", times.timer.us());
    output.figure("tick_cpu", workload.timer_cpu_percent());
    output.count("calls", workload.ended as usize);
    output.count("unserved", workload.unserved as usize);
}

/// Fills the decision module in batches; its timers fire between batches.
struct RouterFill {
    system: RouterAdapter,
    now: Micros,
}

impl RouterFill {
    /// Advances the clock before every [`BATCH`]th event.
    fn pass_time(&mut self, events: usize) {
        if events.is_multiple_of(BATCH) {
            self.now += BATCH_INTERVAL;
            self.system.apply(self.now, Event::Timer { token: 0 });
        }
    }

    /// Calls each function once; the client cancels the call.
    fn call_functions(&mut self, functions: usize) {
        for function in 0..functions {
            self.pass_time(function);
            let call = FIRST_CALL + function as u64;
            let arrival = Event::Arrival(arrival(call, function));
            self.system.apply(self.now, arrival);
            let request = RequestId(call);
            self.system.apply(self.now, Event::ClientLeft { request });
        }
    }

    /// Reports each instance by a completed load. A worker's instances are of different functions if there are enough.
    fn load_instances(&mut self, instances: usize, functions: usize) {
        for instance in 0..instances {
            self.pass_time(instance);
            let (worker, nth) = (
                instance / INSTANCES_PER_WORKER,
                instance % INSTANCES_PER_WORKER,
            );
            let function = (worker + nth * (functions / INSTANCES_PER_WORKER).max(1)) % functions;
            let loaded = Event::LoadEnded {
                worker: WorkerId(worker as u64),
                function: FunctionId(function as u64),
                outcome: Outcome::Served,
                latency: LOAD_TIME,
                instances: 1,
            };
            self.system.apply(self.now, loaded);
        }
    }
}

/// Measures the decision module after a call of every function and a load of every instance.
pub fn decision_module(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let popularity = FunctionPopularity::new(args.functions, args.seed);
    let workers = worker_count(args);
    output.count("workers", workers);
    output.figure("seldom", inputs::rarely_called_share(&popularity.shares()));
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let growth = MemoryGrowth::begin();
    let router = Router::new(inputs::settings(args.front_ends), args.seed, Time(0))
        .map_err(|e| BenchError::failed("the decision module's settings", e))?;
    let mut fill = RouterFill {
        system: RouterAdapter::new(router),
        now: 0,
    };
    let list = Event::Workers {
        kind: ListKind::Full,
        entries: (0..workers).map(worker_entry).collect(),
    };
    let ((), took) = timed(|| fill.system.apply(0, list));
    output.figure("list_ms", ms(took));
    fill.call_functions(args.functions);
    output.figure("functions_mb", growth.mb());
    fill.load_instances(args.instances, args.functions);
    fill.pass_time(0);
    let mut workload = Workload::new(fill.system, popularity, args.front_ends, rng.u64(..));
    workload.start_at(fill.now);
    workload.run(SECOND);
    workload.start_measurement();
    workload.run(MEASURED_PERIOD_AFTER_FILL);
    add_memory(&growth, output);
    add_steps(&workload, output);
    Ok(())
}

fn new_dispatcher(
    args: &Args,
    function_names: &[String],
    output: &mut OutputRecord,
) -> Result<Dispatcher, BenchError> {
    let config = inputs::config(function_names, args.front_ends, args.seed);
    let (dispatcher, took) = timed(|| Dispatcher::new(config, Time(0)));
    output.figure("front_ms", ms(took));
    dispatcher.map_err(|e| BenchError::failed("the dispatcher's settings", e))
}

fn worker_list(workers: usize) -> Input {
    Input::Workers {
        full: true,
        workers: (0..workers).map(inputs::worker_record).collect(),
    }
}

/// Describes each function by a call that the client cancels; returns the virtual time after the last one.
fn call_unlisted(system: &mut DispatcherAdapter) -> Micros {
    let function_names = system.function_names().to_vec();
    for (function, name) in function_names.iter().enumerate() {
        let now = (function / BATCH) as Micros * BATCH_INTERVAL;
        let number = FIRST_CALL + function as u64;
        let call = inputs::call(number, name, 0, Some(inputs::function_shape(1)));
        system.apply(now, Input::Call(call));
        let call = CallId(number);
        system.apply(now, Input::ClientLeft { call });
    }
    (function_names.len() / BATCH + 1) as Micros * BATCH_INTERVAL
}

/// Measures the dispatcher, including the decision module, under a steady workload.
pub fn dispatcher(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let function_names = inputs::function_names(args.functions, args.seed);
    let popularity = FunctionPopularity::new(args.functions, args.seed);
    let workers = worker_count(args);
    output.count("workers", workers);
    output.figure("seldom", inputs::rarely_called_share(&popularity.shares()));
    output.count("unlisted", usize::from(args.unlisted));
    let without_functions = new_dispatcher(args, &[], output)?;
    let mut system = DispatcherAdapter::new(without_functions, function_names, args.unlisted);
    let growth = MemoryGrowth::begin();
    if !args.unlisted {
        let with_functions = new_dispatcher(args, system.function_names(), output)?;
        system.replace(with_functions);
    }
    let list = worker_list(workers);
    let ((), took) = timed(|| system.apply(0, list));
    output.figure("list_ms", ms(took));
    let mut workload = Workload::new(system, popularity, args.front_ends, args.seed);
    if args.unlisted {
        let filled = call_unlisted(&mut workload.system);
        workload.start_at(filled);
        workload.run(SECOND);
        workload.start_measurement();
        workload.run(3 * MEASURED_PERIOD_AFTER_FILL);
    } else {
        workload.run(WARM_UP);
        workload.start_measurement();
        workload.run(MEASURED_PERIOD);
    }
    add_memory(&growth, output);
    let (functions, ..) = workload.system.dispatcher().name_counts();
    output.count("functions_held", functions);
    add_steps(&workload, output);
    Ok(())
}

/// Measures the time that cold starts spend in the front end.
pub fn cold_start(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let function_names = inputs::function_names(args.functions, args.seed);
    let popularity = FunctionPopularity::new(args.functions, args.seed);
    let workers = worker_count(args);
    output.count("workers", workers);
    output.figure("cold_calls_s", COLD_CALLS_PER_SECOND);
    output.figure("load_ms", LOAD_TIME as f64 / 1e3);
    let dispatcher = new_dispatcher(args, &function_names, output)?;
    // Functions that have not been called before are described by their calls.
    let mut system = DispatcherAdapter::new(dispatcher, function_names, true);
    system.apply(0, worker_list(workers));
    let mut workload = Workload::new(system, popularity, args.front_ends, args.seed);
    workload.run(WARM_UP / 3);
    workload.start_cold_calls(COLD_CALLS_PER_SECOND, |system, number| {
        system.add_function(format!("cold-{number:06x}"))
    });
    workload.run(5 * SECOND);
    workload.start_measurement();
    workload.run(WARM_UP);
    let cold_starts = &workload.cold_starts;
    output.insert("order_us", cold_starts.load_request_step.us());
    output.insert("send_us", cold_starts.send_step.us());
    output.insert("order_wait_ms", cold_starts.load_request_wait.ms());
    output.insert("send_wait_ms", cold_starts.send_wait.ms());
    output.insert("cold_ms", cold_starts.total.ms());
    output.count("cold_sent", cold_starts.total.count() as usize);
    output.count("cold_refused", cold_starts.rejected as usize);
    output.insert("tick_us", workload.step_times.timer.us());
    Ok(())
}
