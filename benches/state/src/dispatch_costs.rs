//! Costs of the decision module, of the dispatcher around it, and of cold starts.

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

/// Virtual time until a workload is steady.
const WARM_UP: Micros = 45 * SECOND;
/// Virtual time that is measured then.
const MEASURED: Micros = 15 * SECOND;
/// Virtual time that is measured right after all functions were called, which are remembered for 40 s, and after all
/// instances were reported, which are believed in for 9 s.
const MEASURED_AFTER_FILL: Micros = 7 * SECOND;
/// Before the workload starts, this many events come in each [`BATCH_INTERVAL`].
const BATCH: usize = 20_000;
const BATCH_INTERVAL: Micros = 20_000;
/// Calls of functions that no worker has, by the second, at one front end.
const COLD_CALLS_PER_SECOND: f64 = 1.0;
/// The number of the first call before the workload; the workload itself counts from 1.
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

/// Fills the decision module in batches, between which its timers fire.
struct RouterFill {
    system: RouterAdapter,
    now: Micros,
}

impl RouterFill {
    /// Before the n-th event.
    fn pass_time(&mut self, events: usize) {
        if events.is_multiple_of(BATCH) {
            self.now += BATCH_INTERVAL;
            self.system.apply(self.now, Event::Timer { token: 0 });
        }
    }

    /// Each function is called once, by a client that leaves.
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

    /// Each instance is reported by a load. Those of a worker are of different functions where there are as many.
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

/// The decision module, which knows every function by a call and every instance by a load.
pub fn decision_module(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let popularity = FunctionPopularity::new(args.functions, args.seed);
    let workers = worker_count(args);
    output.count("workers", workers);
    output.figure("seldom", inputs::rarely_called_share(&popularity.shares()));
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let growth = MemoryGrowth::begin();
    let router = Router::new(inputs::settings(args.front_ends), args.seed, Time(0))
        .map_err(|e| BenchError::failed("the module's settings", e))?;
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
    workload.run(MEASURED_AFTER_FILL);
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

/// Each function is described by a call, whose client leaves; when the last of them has come.
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

/// The dispatcher with the decision module in it, under a steady workload.
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
        workload.run(3 * MEASURED_AFTER_FILL);
    } else {
        workload.run(WARM_UP);
        workload.start_measurement();
        workload.run(MEASURED);
    }
    add_memory(&growth, output);
    let (functions, ..) = workload.system.dispatcher().name_counts();
    output.count("functions_held", functions);
    add_steps(&workload, output);
    Ok(())
}

/// The share of a cold start that is spent in the front end.
pub fn cold_start(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let function_names = inputs::function_names(args.functions, args.seed);
    let popularity = FunctionPopularity::new(args.functions, args.seed);
    let workers = worker_count(args);
    output.count("workers", workers);
    output.figure("cold_calls_s", COLD_CALLS_PER_SECOND);
    output.figure("load_ms", LOAD_TIME as f64 / 1e3);
    let dispatcher = new_dispatcher(args, &function_names, output)?;
    // Calls describe the functions that nobody has called yet.
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
