//! The scenarios that inject faults: `bad` and `cold-room`.

use super::arguments::Arguments;
use super::{exit_code, CommandError};
use crate::audit::violation_text;
use crate::faults::{self, FaultOptions, FaultReport, FaultScenario};
use hdrhistogram::Histogram;
use std::process::ExitCode;
use tansy_audit::Audit;

/// Runs a scenario and prints its result.
pub(super) fn run(
    scenario: &FaultScenario,
    arguments: &Arguments,
) -> Result<ExitCode, CommandError> {
    let options = FaultOptions {
        seed: arguments.seed,
        seconds: arguments.seconds,
        rate: arguments.rate,
        workers: arguments.workers,
        cores: arguments.cores,
        without_faults: arguments.without_faults,
    };
    let report = faults::run(scenario, &options)?;
    print_load(&report, arguments.seconds);
    for counters in &report.counters {
        println!("gateway: {counters}");
    }
    print_audit(&report.audit);
    Ok(print_verdict(&report.audit, arguments.max_printed))
}

fn print_load(report: &FaultReport, seconds: f64) {
    let load = &report.load;
    println!(
        "clients: begun {} served {} refused {} failed {} cancelled {} lost {}",
        load.begun, load.served, load.refused, load.failed, load.cancelled, load.lost
    );
    let (latency, first) = (&load.latency, &load.first_message);
    println!(
        "goodput {:.1}/s; latency ms p50 {:.1} p90 {:.1} p99 {:.1} p99.9 {:.1}; first piece p50 {:.1} p99 {:.1}",
        load.served as f64 / seconds,
        quantile_ms(latency, 0.5),
        quantile_ms(latency, 0.9),
        quantile_ms(latency, 0.99),
        quantile_ms(latency, 0.999),
        quantile_ms(first, 0.5),
        quantile_ms(first, 0.99)
    );
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn print_audit(audit: &Audit) {
    let ends: Vec<String> = audit
        .ends
        .iter()
        .map(|(end, count)| format!("{end:?} {count}").to_lowercase())
        .collect();
    println!(
        "sockets: started {} {}; attempts {} repeats {} loads {}",
        audit.started,
        ends.join(" "),
        audit.attempts,
        audit.retries,
        audit.loads
    );
}

fn print_verdict(audit: &Audit, max_printed: usize) -> ExitCode {
    let violations = &audit.violations;
    for violation in violations.iter().take(max_printed) {
        println!("violation of {}", violation_text(violation));
    }
    if violations.is_empty() {
        println!("verdict: no rule broken, no call with two attempts open");
    } else {
        println!("verdict: {} violations", violations.len());
    }
    exit_code(violations.is_empty())
}
