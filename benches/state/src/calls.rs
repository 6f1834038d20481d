//! The decision module, the ledger around it, and cold starts.

use crate::day::{self, arrival, Day, Ledger, Machine, Module};
use crate::inputs::{self, FunctionPopularity, LOAD, WARM};
use crate::measure::{ms, timed, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use tansy_dispatch::{Dispatcher, Input};
use tansyrouter::{
    Event, FunctionId, ListKind, Micros, Outcome, RequestId, Router, Time, WorkerEntry, WorkerId,
    SECOND,
};

/// Virtual time until a day is steady, and that which is measured of it.
const STEADY: Micros = 45 * SECOND;
const MEASURED: Micros = 15 * SECOND;
/// That which is measured right after all functions were called, which are remembered for 40 s, and after all instances
/// were told of, which are believed in for 9 s.
const TOUCHED: Micros = 7 * SECOND;
/// Of what comes before the day so much comes in 20 ms.
const AT_ONCE: usize = 20_000;
/// Calls of functions that no worker has, a second, at one front end.
const COLD_S: f64 = 1.0;

fn entry(n: usize) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(n as u64),
        cell: (n / 100) as u64,
        share: 1.0,
        ..WorkerEntry::default()
    }
}

/// So many workers have so many instances.
fn workers(args: &Args) -> usize {
    args.instances.div_ceil(WARM).max(1)
}

fn figures<M: Machine>(day: &Day<M>, output: &mut OutputRecord) {
    output.insert("decide_us", day.decide.us());
    output.insert("told_us", day.told.us());
    output.insert("tick_us", day.tick.us());
    output.figure("tick_cpu", day.tick_cpu());
    output.count("calls", day.ended() as usize);
    output.count("unserved", day.unserved as usize);
}

/// The module, which knows every function by a call and every instance by an order.
pub fn module(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let (draw, workers) = (
        FunctionPopularity::new(args.functions, args.seed),
        workers(args),
    );
    output.count("workers", workers);
    output.figure("seldom", inputs::seldom(&draw.shares()));
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let grown = MemoryGrowth::begin();
    let router = Router::new(inputs::settings(args.front_ends), args.seed, Time(0))
        .map_err(|e| BenchError::failed("the module's settings", e))?;
    let mut module = Module::new(router);
    let entries = (0..workers).map(entry).collect();
    let (_, took) = timed(|| {
        module.tell(
            0,
            Event::Workers {
                kind: ListKind::Full,
                entries,
            },
        )
    });
    output.figure("list_ms", ms(took));
    // Time passes between: what the module does by the clock is done.
    let mut now = 0;
    let mut pass = |module: &mut Module, n: usize| {
        if n.is_multiple_of(AT_ONCE) {
            now += 20_000;
            module.tell(now, Event::Timer { token: 0 });
        }
        now
    };
    let first = u64::MAX / 2;
    for f in 0..args.functions {
        let now = pass(&mut module, f);
        module.tell(now, Event::Arrival(arrival(first + f as u64, f)));
        module.tell(
            now,
            Event::ClientLeft {
                request: RequestId(first + f as u64),
            },
        );
    }
    output.figure("functions_mb", grown.mb());
    for n in 0..args.instances {
        let now = pass(&mut module, n);
        // Instances of a worker are of functions of their own where there are as many.
        let function = (n / WARM + (n % WARM) * (args.functions / WARM).max(1)) % args.functions;
        let (worker, function) = (WorkerId((n / WARM) as u64), FunctionId(function as u64));
        let (outcome, latency) = (Outcome::Served, LOAD);
        module.tell(
            now,
            Event::LoadEnded {
                worker,
                function,
                outcome,
                latency,
                instances: 1,
            },
        );
    }
    let now = pass(&mut module, 0);
    let mut day = Day::new(module, draw, args.front_ends, rng.u64(..));
    day.begin(now);
    day.run(SECOND);
    day.forget();
    day.run(TOUCHED);
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    figures(&day, output);
    Ok(())
}

fn front(
    args: &Args,
    names: &[String],
    output: &mut OutputRecord,
) -> Result<Dispatcher, BenchError> {
    let config = inputs::config(names, args.front_ends, args.seed);
    let (front, took) = timed(|| Dispatcher::new(config, Time(0)));
    output.figure("front_ms", ms(took));
    front.map_err(|e| BenchError::failed("the ledger's settings", e))
}

fn workers_listed(workers: usize) -> Input {
    Input::Workers {
        full: true,
        workers: (0..workers).map(inputs::listed).collect(),
    }
}

/// The ledger with the module in it, in a steady day.
pub fn ledger(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let (draw, workers) = (
        FunctionPopularity::new(args.functions, args.seed),
        workers(args),
    );
    output.count("workers", workers);
    output.figure("seldom", inputs::seldom(&draw.shares()));
    output.count("unlisted", usize::from(args.unlisted));
    let mut ledger = Ledger::new(front(args, &[], output)?, names, args.unlisted);
    let grown = MemoryGrowth::begin();
    if !args.unlisted {
        let real = front(args, ledger.names(), output)?;
        ledger.replace(real);
    }
    let listed = workers_listed(workers);
    let (_, took) = timed(|| ledger.tell(0, listed));
    output.figure("list_ms", ms(took));
    let mut day = Day::new(ledger, draw, args.front_ends, args.seed);
    if args.unlisted {
        // Every function is told of by a call, whose client leaves.
        let names = inputs::names(args.functions, args.seed);
        let first = u64::MAX / 2;
        for (n, name) in names.iter().enumerate() {
            let at = (n / AT_ONCE) as Micros * 20_000;
            day.machine
                .tell(at, day::call(first + n as u64, name, true));
            day.machine.tell(
                at,
                Input::ClientLeft {
                    call: tansy_dispatch::CallId(first + n as u64),
                },
            );
        }
        day.begin((names.len() / AT_ONCE + 1) as Micros * 20_000);
        day.run(SECOND);
    } else {
        day.run(STEADY);
    }
    day.forget();
    day.run(if args.unlisted { 3 * TOUCHED } else { MEASURED });
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    output.count("functions_held", day.machine.front().name_counts().0);
    figures(&day, output);
    Ok(())
}

/// The part of a cold start that is a front end's own.
pub fn cold_start(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let (draw, workers) = (
        FunctionPopularity::new(args.functions, args.seed),
        workers(args),
    );
    output.count("workers", workers);
    output.figure("cold_calls_s", COLD_S);
    output.figure("load_ms", LOAD as f64 / 1e3);
    let front = front(args, &names, output)?;
    // Functions that nobody has called are told of by their calls.
    let mut ledger = Ledger::new(front, names, true);
    ledger.tell(0, workers_listed(workers));
    let mut day = Day::new(ledger, draw, args.front_ends, args.seed);
    day.run(STEADY / 3);
    day.cold_calls(COLD_S, |ledger, n| ledger.add(format!("cold-{n:06x}")));
    day.run(5 * SECOND);
    day.forget();
    day.run(STEADY);
    let cold = &day.cold;
    output.insert("order_us", cold.order.us());
    output.insert("send_us", cold.send.us());
    output.insert("order_wait_ms", cold.order_wait.ms());
    output.insert("send_wait_ms", cold.send_wait.ms());
    output.insert("cold_ms", cold.in_all.ms());
    output.count("cold_sent", cold.in_all.count() as usize);
    output.count("cold_refused", cold.refused as usize);
    output.insert("tick_us", day.tick.us());
    Ok(())
}
