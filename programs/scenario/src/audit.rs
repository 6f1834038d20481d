//! The auditor's rules for a scenario, its marks, and the text of violations.

use std::collections::BTreeMap;
use tansy_audit::{Effect, LoadBudget, Mark, Overload, Rules, SlowStart, Violation};
use tansy_settings::{FunctionSpec, Settings};

/// Maximum time until gateways have read a changed endpoint list, microseconds: they poll it every 200 ms.
const MAX_LIST_READ_DELAY_US: i64 = 400_000;
/// Allowed difference between the proxy's timestamps and the processes', microseconds: covers wake-up latency.
const CLOCK_SLACK_US: i64 = 15_000;
/// Like [`CLOCK_SLACK_US`], where the scenario runs more processes than the machine has cores.
const OVERSUBSCRIBED_CLOCK_SLACK_US: i64 = 60_000;

/// Performs an action and records its marks: those that allow something before the action, the others after it.
///
/// A front end may act on the change at once, so the recording must never show it acting on a permission that is not marked yet.
///
/// # Errors
/// The first error of the recording or of the action; later marks are not recorded.
pub fn record_marks<E>(
    marks: &[Mark],
    record: impl Fn(Mark) -> Result<(), E>,
    action: impl FnOnce() -> Result<(), E>,
) -> Result<(), E> {
    let matching = |lifts_restriction: bool| {
        let selected = marks
            .iter()
            .filter(move |mark| mark.lifts_restriction() == lifts_restriction);
        selected.cloned()
    };
    matching(true).try_for_each(&record)?;
    action()?;
    matching(false).try_for_each(&record)
}

/// The auditor's rules for these settings, with `cores` cores a worker.
pub fn audit_rules(settings: &Settings, cores: f64) -> Rules {
    let front = &settings.dispatch.settings;
    let function = |function: &FunctionSpec| {
        let class = &front.classes[function.class];
        let rule = (audited_effect(class.effect), class.deadline);
        (function.name.clone(), rule)
    };
    let functions = settings.dispatch.functions.iter().map(function);
    Rules {
        functions: functions.collect::<BTreeMap<_, _>>(),
        list_read_delay: MAX_LIST_READ_DELAY_US,
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

/// [`audit_rules`] with more clock slack, for scenarios that run more processes than the machine has cores.
pub fn oversubscribed_audit_rules(settings: &Settings, cores: f64) -> Rules {
    Rules {
        clock_tolerance: OVERSUBSCRIBED_CLOCK_SLACK_US,
        ..audit_rules(settings, cores)
    }
}

fn audited_effect(effect: tansyrouter::Effect) -> Effect {
    match effect {
        tansyrouter::Effect::Safe => Effect::Safe,
        tansyrouter::Effect::Keyed { window, .. } => Effect::Keyed(window),
        tansyrouter::Effect::Unsafe => Effect::Unsafe,
    }
}

/// The printed text of a violation.
pub fn violation_text(violation: &Violation) -> String {
    format!(
        "rule {} at {:.3} s, {}: {}",
        violation.rule,
        violation.at as f64 / 1e6,
        violation.subject,
        violation.reason
    )
}
