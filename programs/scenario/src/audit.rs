//! What a scenario gives the auditor, and how violations are printed.

use std::collections::BTreeMap;
use tansy_audit::{Effect, LoadBudget, Mark, Overload, Rules, SlowStart, Violation};
use tansy_settings::{FunctionSpec, Settings};

/// The time by which a changed endpoint list has been read, microseconds: gateways look at it every 200 ms, and the machine may be busy.
const LIST_READ_US: i64 = 400_000;
/// The proxy's clock against the processes', microseconds: time for a wake-up on a busy machine.
const CLOCK_SLACK_US: i64 = 15_000;
/// The same where a scenario has more processes than the machine has cores.
const CROWDED_CLOCK_SLACK_US: i64 = 60_000;

/// Does what the marks say, and records each: before it, if it allows something, else after it.
///
/// # Errors
/// The first error of the recording or of the action; what comes after it is left out.
pub fn record_marks<E>(
    marks: &[Mark],
    record: impl Fn(Mark) -> Result<(), E>,
    action: impl FnOnce() -> Result<(), E>,
) -> Result<(), E> {
    let matching = |lifts_restriction: bool| {
        let chosen = marks
            .iter()
            .filter(move |mark| mark.lifts_restriction() == lifts_restriction);
        chosen.cloned()
    };
    matching(true).try_for_each(&record)?;
    action()?;
    matching(false).try_for_each(&record)
}

/// The rules' figures for these settings and workers of so many cores.
pub fn rules(settings: &Settings, cores: f64) -> Rules {
    let front = &settings.dispatch.settings;
    let function = |function: &FunctionSpec| {
        let class = &front.classes[function.class];
        let figures = (effect(class.effect), class.deadline);
        (function.name.clone(), figures)
    };
    let functions = settings.dispatch.functions.iter().map(function);
    Rules {
        functions: functions.collect::<BTreeMap<_, _>>(),
        list_read_delay: LIST_READ_US,
        drain_grace: front.drain_grace,
        slow_start: SlowStart {
            initial_share: front.slow_start_from,
            window: front.slow_start_window,
            cores,
        },
        overload: Overload {
            multiple: front.overload_multiple,
            window: front.overload_window,
        },
        load_budget: front.load_budget.map(|budget| LoadBudget {
            free: budget.free,
            per_call: budget.arrival_share,
            period: budget.period,
        }),
        connect_time: front.connect_timeout,
        clock_tolerance: CLOCK_SLACK_US,
    }
}

/// The same for a scenario with more processes than cores, where a wake-up may take longer.
pub fn crowded_rules(settings: &Settings, cores: f64) -> Rules {
    Rules {
        clock_tolerance: CROWDED_CLOCK_SLACK_US,
        ..rules(settings, cores)
    }
}

fn effect(effect: tansyrouter::Effect) -> Effect {
    match effect {
        tansyrouter::Effect::Safe => Effect::Safe,
        tansyrouter::Effect::Keyed { window, .. } => Effect::Keyed(window),
        tansyrouter::Effect::Unsafe => Effect::Unsafe,
    }
}

/// One violation as it is printed.
pub fn violation_text(violation: &Violation) -> String {
    format!(
        "rule {} at {:.3} s, {}: {}",
        violation.rule,
        violation.at as f64 / 1e6,
        violation.subject,
        violation.reason
    )
}
