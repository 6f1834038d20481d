//! `tansy-day`: a scripted bad day on loopback, judged from what passed on the sockets.

use clap::Parser;
use std::process::ExitCode;
use std::sync::mpsc;
use tansy_audit::{audit, Audit};
use tansy_day::cast::{Cast, Error};
use tansy_day::load::{self, Plan};
use tansy_day::script::perform;
use tansy_day::{rules, scenario};

/// Plays a bad day: gateways and stand-in workers as processes, clients that cancel and read slowly, silence, cuts, a
/// drain that one front end hears of late, a cold restart, a front end killed and brought back, a connection held up.
/// All traffic passes a relay; an auditor that shares no code with the gateway's ledger judges the rules from it.
///
/// Exit codes: 0 no rule broken, 1 the day could not be played, 3 a rule was broken.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// `bad`: every fault in turn. `cold-room`: half of the workers come back cold under more load than the rest bears.
    #[arg(long, value_enum, default_value = "bad")]
    scenario: Which,
    /// Calls a second [default: the scenario's].
    #[arg(long)]
    rate: Option<u64>,
    /// Seconds.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// Of the clients' random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Workers, half of them in each of two rooms [default: the scenario's].
    #[arg(long)]
    workers: Option<usize>,
    /// Cores of a worker: seconds of work that it does a second [default: the scenario's].
    #[arg(long)]
    cores: Option<f64>,
    /// Nothing goes wrong.
    #[arg(long)]
    quiet: bool,
    /// Breaches that are printed in full.
    #[arg(long, default_value_t = 20)]
    show: usize,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Which {
    Bad,
    ColdRoom,
}

fn main() -> ExitCode {
    // The cast are this program under other names, so that a day needs no second file.
    let mut arguments = std::env::args_os();
    match arguments.nth(1).as_deref().and_then(|a| a.to_str()) {
        Some("gateway") => return tansy_gateway::cli::main(std::env::args_os().skip(1)),
        Some("worker") => return tansy_worker::main(std::env::args_os().skip(1)),
        _ => {}
    }
    let a = Arguments::parse();
    if let Some(n) = a.workers.filter(|n| *n < 6) {
        eprintln!("--workers {n}: the script needs at least 6");
        return ExitCode::from(1);
    }
    match play(&a) {
        Ok(audit) if audit.breaches.is_empty() => {
            println!("verdict: no rule broken, no call with two attempts open");
            ExitCode::SUCCESS
        }
        Ok(audit) => {
            for b in audit.breaches.iter().take(a.show) {
                println!("breach of rule {} at {:.3} s, {}: {}", b.rule, b.at as f64 / 1e6, b.what, b.why);
            }
            println!("verdict: {} breaches", audit.breaches.len());
            ExitCode::from(3)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(1)
        }
    }
}

fn play(a: &Arguments) -> Result<Audit, Error> {
    let day = match a.scenario {
        Which::Bad => scenario::BAD,
        Which::ColdRoom => scenario::COLD,
    };
    let (workers, cores) = (a.workers.unwrap_or(day.workers), a.cores.unwrap_or(day.cores));
    let settings = tansy_settings::settings(day.settings.0, day.settings.1)?;
    let mut cast = Cast::start(day.settings.1, workers, day.gateways, cores)?;
    let deadline = |f: &tansy_settings::FunctionSpec| settings.front.settings.classes[f.class].deadline;
    let plan = Plan {
        fronts: cast.fronts.clone(),
        functions: settings.front.functions.iter().map(|f| (f.name.clone(), deadline(f))).collect(),
        work: day.work,
        rate: a.rate.unwrap_or(day.rate),
        seconds: a.seconds,
        seed: a.seed,
    };
    let (told, passed) = mpsc::channel();
    let clients = std::thread::spawn(move || load::run(&plan, &told).map_err(|e| e.to_string()));
    let mut script = day.script.iter().filter(|_| !a.quiet).peekable();
    while let Ok(part) = passed.recv() {
        while let Some((_, step)) = script.next_if(|(at, _)| *at <= part) {
            perform(&mut cast, *step)?;
        }
    }
    let seen = clients.join().map_err(|_| "the clients' thread ended early")??;
    let (entries, accounts) = cast.end()?;
    let found = audit(&entries, &rules(&settings, cores));
    println!(
        "clients: begun {} served {} refused {} failed {} cancelled {} lost {}",
        seen.begun, seen.served, seen.refused, seen.failed, seen.cancelled, seen.lost
    );
    let q = |h: &hdrhistogram::Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    println!("goodput {:.1}/s; latency ms p50 {:.1} p90 {:.1} p99 {:.1} p99.9 {:.1}; first piece p50 {:.1} p99 {:.1}",
        seen.served as f64 / a.seconds, q(&seen.latency, 0.5), q(&seen.latency, 0.9), q(&seen.latency, 0.99),
        q(&seen.latency, 0.999), q(&seen.first, 0.5), q(&seen.first, 0.99));
    for account in accounts {
        println!("gateway: {account}");
    }
    let ends: Vec<String> = found.ends.iter().map(|(e, n)| format!("{e:?} {n}").to_lowercase()).collect();
    println!(
        "sockets: started {} {}; attempts {} repeats {} loads {}",
        found.started,
        ends.join(" "),
        found.attempts,
        found.repeats,
        found.loads
    );
    Ok(found)
}
