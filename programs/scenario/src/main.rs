//! `tansy-day`: a scripted bad day on loopback, judged from what passed on the sockets.
#![allow(clippy::too_many_lines)] // docs/ROADMAP.md, "Readable code": still to be split.

use clap::Parser;
use std::process::ExitCode;
use std::sync::mpsc;
use tansy_audit::{audit, Audit};
use tansy_day::cast::{Cast, Error};
use tansy_day::load::{self, Plan};
use tansy_day::roll::Plant;
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
    /// `agree`: versions of settings change in a fleet of front ends, through faults between them.
    /// `roll`: a new program, with a mistake or none, in stages over front ends in three zones.
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
    /// Front ends of `agree` [default: 7] or `roll` [default: 12].
    #[arg(long)]
    front_ends: Option<usize>,
    /// `roll`: what is wrong with the new program.
    #[arg(long, value_enum, default_value = "none")]
    plant: Plant,
    /// `roll`: seconds that a stage lasts at least.
    #[arg(long, default_value_t = 20)]
    least: u64,
    /// `roll`: an earlier build of this program, to be the old one.
    #[arg(long)]
    old: Option<std::path::PathBuf>,
    /// `roll`: seconds by which it has to be over.
    #[arg(long, default_value_t = 420.0)]
    longest: f64,
    /// `roll`: write the report of the roll (HTML) to this file.
    #[arg(long)]
    report: Option<std::path::PathBuf>,
    /// How many of them keep the log: 1, 3, 5 or 7.
    #[arg(long, default_value_t = 3)]
    seats: usize,
    /// Rounds of `agree`, one change and some faults each.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// `agree`: the last front end is of no fleet, a mistake that has to be found.
    #[arg(long)]
    outsider: bool,
    /// `agree`: leave out the same day without changes.
    #[arg(long)]
    no_plain: bool,
    /// `agree`: keep each front end's logs in this directory, and tell each step.
    #[arg(long)]
    logs: Option<std::path::PathBuf>,
    /// `agree`: print what was seen as one JSON line, last.
    #[arg(long)]
    json: bool,
    /// Breaches that are printed in full.
    #[arg(long, default_value_t = 20)]
    show: usize,
}

#[derive(Clone, Copy, PartialEq, clap::ValueEnum)]
enum Which {
    Bad,
    ColdRoom,
    Agree,
    Roll,
}

fn main() -> ExitCode {
    // The cast are this program under other names, so that a day needs no second file.
    let mut arguments = std::env::args_os();
    match arguments.nth(1).as_deref().and_then(|a| a.to_str()) {
        Some("gateway") => return tansy_day::plant::gateway(std::env::args_os().skip(1)),
        Some("fleet") => return tansy_fleet::main(std::env::args_os().skip(1)),
        Some("worker") => return tansy_worker::main(std::env::args_os().skip(1)),
        _ => {}
    }
    let a = Arguments::parse();
    if let Some(n) = a.workers.filter(|n| *n < 6) {
        eprintln!("--workers {n}: the script needs at least 6");
        return ExitCode::from(1);
    }
    match a.scenario {
        Which::Agree => return agree(&a),
        Which::Roll => return roll(&a),
        Which::Bad | Which::ColdRoom => {}
    }
    match play(&a) {
        Ok(audit) if audit.violations.is_empty() => {
            println!("verdict: no rule broken, no call with two attempts open");
            ExitCode::SUCCESS
        }
        Ok(audit) => {
            for b in audit.violations.iter().take(a.show) {
                println!(
                    "breach of rule {} at {:.3} s, {}: {}",
                    b.rule,
                    b.at as f64 / 1e6,
                    b.subject,
                    b.reason
                );
            }
            println!("verdict: {} breaches", audit.violations.len());
            ExitCode::from(3)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(1)
        }
    }
}

/// The last line of `agree`.
#[derive(serde::Serialize)]
struct Line {
    scenario: &'static str,
    seed: u64,
    ok: bool,
    bound_ms: u128,
    contradiction_ms: f64,
    served: f64,
    served_plain: Option<f64>,
    breaches: usize,
    in_force: usize,
    not_in_force: usize,
    force_ms: Vec<u64>,
    killed: usize,
    shown: usize,
}

/// The day with changes, then the same day without.
fn agree(a: &Arguments) -> ExitCode {
    let fronts = a.front_ends.unwrap_or(7);
    if !(3..=40).contains(&fronts) || !(1..=1000).contains(&a.rounds) {
        eprintln!(
            "--front-ends {fronts} --rounds {}: want 3 to 40, and 1 to 1000",
            a.rounds
        );
        return ExitCode::from(1);
    }
    if ![1, 3, 5, 7].contains(&a.seats) || a.seats > fronts {
        eprintln!(
            "--seats {}: want 1, 3, 5 or 7, and no more than front ends",
            a.seats
        );
        return ExitCode::from(1);
    }
    let rate = a.rate.unwrap_or(300);
    let play = tansy_day::agree::Play {
        seed: a.seed,
        fronts,
        seats: a.seats,
        rounds: a.rounds,
        rate,
        changes: true,
        outsider: a.outsider,
        logs: a.logs.clone(),
    };
    let plain = tansy_day::agree::Play {
        changes: false,
        logs: None,
        ..play.clone()
    };
    let other = || {
        if a.no_plain {
            Ok(None)
        } else {
            tansy_day::agree::play(&plain).map(Some)
        }
    };
    let days = tansy_day::agree::play(&play).and_then(|d| Ok((d, other()?)));
    let (day, plain) = match days {
        Ok(days) => days,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(1);
        }
    };
    let all: Vec<&String> = day
        .breaches
        .iter()
        .chain(plain.iter().flat_map(|p| &p.breaches))
        .collect();
    all.iter()
        .take(a.show)
        .for_each(|b| println!("breach: {b}"));
    // A day on which nothing changed, or whose witnesses showed nothing, shows nothing.
    let ok = all.is_empty() && day.in_force > 0 && day.shown > 0;
    let line = Line {
        scenario: "agree",
        seed: a.seed,
        ok,
        bound_ms: tansy_day::agree::BOUND.as_millis(),
        contradiction_ms: day.strict_ms.max(day.joint_ms),
        served: day.served,
        served_plain: plain.as_ref().map(|p| p.served),
        breaches: all.len(),
        in_force: day.in_force,
        not_in_force: day.not,
        force_ms: day.force_ms,
        killed: day.killed,
        shown: day.shown,
    };
    if a.json {
        println!("{}", serde_json::to_string(&line).unwrap_or_default());
    } else {
        println!(
            "changes: in force {} not {} ({:?} ms); contradiction {:.1} ms of {} allowed, shown by {} calls",
            line.in_force, line.not_in_force, line.force_ms, line.contradiction_ms, line.bound_ms, line.shown
        );
        let plain = line
            .served_plain
            .map_or(String::new(), |p| format!(", without changes {p:.4}"));
        println!("served {:.4}{plain}; killed {}", line.served, line.killed);
        println!(
            "verdict: {}",
            if ok {
                "no rule broken".into()
            } else {
                format!("{} breaches", all.len())
            }
        );
    }
    ExitCode::from(if ok { 0 } else { 3 })
}

/// The last line of `roll`.
#[derive(serde::Serialize)]
struct RollLine {
    scenario: &'static str,
    seed: u64,
    plant: Plant,
    ok: bool,
    verdict: String,
    stages: usize,
    exposed_share: f64,
    lost: u64,
    served: f64,
    served_plain: Option<f64>,
    breaches: usize,
    seconds: f64,
    killed: usize,
    least_capacity: f64,
    why: String,
}

/// The day of a new program, then as long a day without.
fn roll(a: &Arguments) -> ExitCode {
    let fronts = a.front_ends.unwrap_or(12);
    if !(6..=48).contains(&fronts) || !fronts.is_multiple_of(3) || a.least == 0 {
        eprintln!(
            "--front-ends {fronts} --least {}: want 6 to 48, a multiple of 3, and 1 or more",
            a.least
        );
        return ExitCode::from(1);
    }
    let rate = a.rate.unwrap_or(400);
    let play = tansy_day::roll::Play {
        seed: a.seed,
        plant: a.plant,
        fronts,
        rate,
        least: a.least,
        longest: a.longest,
        old: a.old.clone(),
        plain: None,
    };
    let other = |seconds: f64| match a.no_plain {
        true => Ok(None),
        false => {
            let plain = Some(seconds.clamp(5.0, 60.0));
            tansy_day::roll::play(&tansy_day::roll::Play {
                plain,
                plant: Plant::None,
                ..play.clone()
            })
            .map(Some)
        }
    };
    let days = tansy_day::roll::play(&play).and_then(|d| Ok((other(d.seconds)?, d)));
    let (plain, day) = match days {
        Ok(days) => days,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(1);
        }
    };
    if let (Some(path), Some(roll)) = (&a.report, &day.roll) {
        let written = tansy_fleet::report::page(roll)
            .map_err(|e| e.to_string())
            .and_then(|p| std::fs::write(path, p).map_err(|e| e.to_string()));
        if let Err(e) = written {
            eprintln!("{}: {e}", path.display());
        }
    }
    let all: Vec<&String> = day
        .breaches
        .iter()
        .chain(plain.iter().flat_map(|p| &p.breaches))
        .collect();
    all.iter()
        .take(a.show)
        .for_each(|b| println!("breach: {b}"));
    day.steps.iter().for_each(|s| println!("step: {s}"));
    let wanted = if matches!(a.plant, Plant::None | Plant::Zone) {
        "done"
    } else {
        "stopped"
    };
    let line = RollLine {
        scenario: "roll",
        seed: a.seed,
        plant: a.plant,
        ok: all.is_empty() && day.verdict == wanted,
        verdict: day.verdict,
        stages: day.stages,
        exposed_share: day.exposed_share,
        lost: day.lost,
        served: day.served,
        served_plain: plain.as_ref().map(|p| p.served),
        breaches: all.len(),
        seconds: day.seconds,
        killed: day.killed,
        least_capacity: day.least_capacity,
        why: day.why,
    };
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
    ExitCode::from(if line.ok { 0 } else { 3 })
}

fn play(a: &Arguments) -> Result<Audit, Error> {
    let day = match a.scenario {
        Which::Bad | Which::Agree | Which::Roll => scenario::BAD,
        Which::ColdRoom => scenario::COLD,
    };
    let (workers, cores) = (
        a.workers.unwrap_or(day.workers),
        a.cores.unwrap_or(day.cores),
    );
    let settings = tansy_settings::settings(day.settings.0, day.settings.1)?;
    let mut cast = Cast::start(day.settings.1, workers, day.gateways, cores)?;
    let deadline =
        |f: &tansy_settings::FunctionSpec| settings.front.settings.classes[f.class].deadline;
    let plan = Plan {
        fronts: cast.fronts.clone(),
        functions: settings
            .front
            .functions
            .iter()
            .map(|f| (f.name.clone(), deadline(f)))
            .collect(),
        work: day.work,
        rate: a.rate.unwrap_or(day.rate),
        seconds: a.seconds,
        seed: a.seed,
        prefix: "call",
        plain: false,
        until: None,
    };
    let (told, passed) = mpsc::channel();
    let clients = std::thread::spawn(move || load::run(&plan, &told).map_err(|e| e.to_string()));
    let mut script = day.script.iter().filter(|_| !a.quiet).peekable();
    while let Ok(part) = passed.recv() {
        while let Some((_, step)) = script.next_if(|(at, _)| *at <= part) {
            perform(&mut cast, *step)?;
        }
    }
    let seen = clients
        .join()
        .map_err(|_| "the clients' thread ended early")??;
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
    let ends: Vec<String> = found
        .ends
        .iter()
        .map(|(e, n)| format!("{e:?} {n}").to_lowercase())
        .collect();
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
