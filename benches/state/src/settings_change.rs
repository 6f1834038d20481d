//! Cost to a front end of changing one function: converting the replicated state to settings, and applying them.

use crate::measure::{ms, timed, MemoryGrowth, OutputRecord};
use crate::{inputs, Args, BenchError};
use std::time::Duration;
use tansy_agreement::compatibility::{
    rules_after_expiry, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema, Value,
};
use tansy_agreement::log::{ChangePhase, FleetState, Log, LogEntry, Version};
use tansy_dispatch::{ConflictingScopes, DispatchConfig, Dispatcher, EffectiveConfig, Input};
use tansy_settings::agreement;
use tansyrouter::{Micros, Time, SECOND};

/// Time until the lease expires and the settings of a front end without a lease apply.
const LEASE_REMAINING: Micros = SECOND / 2;
/// Time until the session expires and the front end no longer knows which version is in force.
const SESSION_REMAINING: Micros = 3600 * SECOND;
/// Output fields for the time of each phase of a change.
const PHASE_FIELDS: [&str; 3] = ["told_ms", "joint_ms", "in_force_ms"];
/// Versions whose defaults are filled in over all phases: two in each of the first two phases, one in the last.
const COMPLETED_VERSIONS: f64 = 5.0;

/// The settings of a front end with a lease, without one, and after its session has expired.
struct PreparedSettings {
    with_lease: EffectiveConfig,
    without_lease: EffectiveConfig,
    after_expiry: EffectiveConfig,
}

/// Times of the steps of preparation.
#[derive(Default)]
struct PreparationTimes {
    completing: Duration,
    converting: Duration,
    conversions: usize,
}

/// Converts a state to settings as the gateway does (`programs/gateway/src/fleet/`), without its driver.
struct SettingsPreparer {
    own_fields: Fields,
    schema: Schema,
    times: PreparationTimes,
}

impl SettingsPreparer {
    fn new() -> SettingsPreparer {
        SettingsPreparer {
            own_fields: Fields::from([("front.me".to_string(), Value::Int(7))]),
            schema: agreement::compatibility_schema(),
            times: PreparationTimes::default(),
        }
    }

    /// Fills in the defaults of a version's fields.
    fn complete(&mut self, fields: &mut Fields) -> Result<(), BenchError> {
        let (completed, took) = timed(|| agreement::with_defaults(fields));
        self.times.completing += took;
        let (completed, _) =
            completed.map_err(|e| BenchError::failed("the version's fields", e))?;
        *fields = completed;
        Ok(())
    }

    fn convert(&mut self, fields: &Fields) -> Result<DispatchConfig, BenchError> {
        let (settings, took) = timed(|| agreement::effective_settings(&self.own_fields, fields));
        self.times.converting += took;
        self.times.conversions += 1;
        let settings = settings.map_err(|e| BenchError::failed("the version's settings", e))?;
        Ok(settings.dispatch)
    }

    fn effective_config(&mut self, rules: &EffectiveRules) -> Result<EffectiveConfig, BenchError> {
        Ok(EffectiveConfig {
            config: self.convert(&rules.fields)?,
            conflicting: conflicting_scopes(rules),
        })
    }

    fn prepare(&mut self, state: &FleetState) -> Result<PreparedSettings, BenchError> {
        let mut state = state.for_member("a");
        self.complete(&mut state.in_force.fields)?;
        if let Some((next, _)) = &mut state.next {
            self.complete(&mut next.fields)?;
        }
        // The gateway also converts the settings in force, for the classes that determine the value of answers.
        self.convert(&state.in_force.fields)?;
        let rules = state.rules(&self.schema);
        let with_lease = self.effective_config(&rules)?;
        let rules = rules_without_lease(&self.schema, rules);
        let without_lease = self.effective_config(&rules)?;
        let rules = rules_after_expiry(&self.schema, &state.in_force.fields);
        let after_expiry = self.effective_config(&rules)?;
        Ok(PreparedSettings {
            with_lease,
            without_lease,
            after_expiry,
        })
    }
}

/// The scopes whose calls are rejected while two versions conflict.
fn conflicting_scopes(rules: &EffectiveRules) -> ConflictingScopes {
    let mut conflicting = ConflictingScopes {
        unknown_names: rules.rejects_unknown_names,
        retry_after: SECOND / 2,
        ..ConflictingScopes::default()
    };
    for affected in &rules.rejected {
        match affected {
            AffectedCalls::All => conflicting.all = true,
            AffectedCalls::Class(name) => drop(conflicting.classes.insert(name.clone())),
            AffectedCalls::Tenant(name) => drop(conflicting.tenants.insert(name.clone())),
            AffectedCalls::Function(name) => drop(conflicting.functions.insert(name.clone())),
        }
    }
    conflicting
}

/// Applies settings and returns the time taken.
fn apply(
    dispatcher: &mut Dispatcher,
    now: Micros,
    settings: &PreparedSettings,
) -> Result<Duration, BenchError> {
    let later = vec![
        (Time(now + LEASE_REMAINING), settings.without_lease.clone()),
        (Time(now + SESSION_REMAINING), settings.after_expiry.clone()),
    ];
    let config = settings.with_lease.clone();
    let (applied, took) = timed(|| dispatcher.apply_settings(Time(now), config, later));
    applied.map_err(|e| BenchError::failed("applying the settings", e))?;
    Ok(took)
}

fn new_dispatcher(config: DispatchConfig) -> Result<Dispatcher, BenchError> {
    Dispatcher::new(config, Time(0)).map_err(|e| BenchError::failed("the dispatcher's settings", e))
}

/// Proposes to change the number of lanes of one function.
fn propose_change(log: &mut Log, function: &str) -> Result<(), BenchError> {
    let fields = inputs::with_lanes(&log.state().in_force.fields, function, 2);
    let entry = LogEntry::Propose {
        id: 1,
        base: Version(1),
        fields,
        reason: "bench".into(),
    };
    append(log, entry)
}

fn append(log: &mut Log, entry: LogEntry) -> Result<(), BenchError> {
    log.apply(entry)
        .map(drop)
        .map_err(|e| BenchError::failed("applying an entry", e))
}

/// Advances the change to its next phase, if it is not in force yet.
fn advance(log: &mut Log) -> Result<(), BenchError> {
    let state = log.state();
    let from = state.revision;
    let is_pending = state
        .next
        .as_ref()
        .is_some_and(|(_, phase)| matches!(phase, ChangePhase::Announced | ChangePhase::Joint));
    if is_pending {
        append(log, LogEntry::Advance { from })?;
    }
    Ok(())
}

/// Measures each phase of a change of one function's lanes: announced, joint, in force.
pub fn settings_change(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::function_names(args.functions, args.seed);
    let fields = inputs::version_fields(&names);
    let function = &names[args.seed as usize % names.len()];
    let growth = MemoryGrowth::begin();
    let mut preparer = SettingsPreparer::new();
    let mut log = Log::new(fields, []);
    let mut settings = preparer.prepare(log.state())?;
    let mut dispatcher = new_dispatcher(settings.with_lease.config.clone())?;
    apply(&mut dispatcher, 1, &settings)?;
    preparer.times = PreparationTimes::default();
    propose_change(&mut log, function)?;
    let (mut total, mut applying) = (Duration::ZERO, Duration::ZERO);
    for (now, figure) in (2..).zip(PHASE_FIELDS) {
        // Each front end works on its own copy of the state.
        let state = log.state().clone();
        let (prepared, preparing) = timed(|| preparer.prepare(&state));
        settings = prepared?;
        let took = apply(&mut dispatcher, now, &settings)?;
        output.figure(figure, ms(preparing + took));
        total += preparing + took;
        applying += took;
        advance(&mut log)?;
    }
    output.figure("change_ms", ms(total));
    output.figure("adopt_ms", ms(applying) / PHASE_FIELDS.len() as f64);
    let times = &preparer.times;
    output.figure("filled_ms", ms(times.completing) / COMPLETED_VERSIONS);
    let conversions = times.conversions.max(1) as f64;
    output.figure("settings_ms", ms(times.converting) / conversions);
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
    // Kept until here, so that the memory figures include them.
    drop((settings, dispatcher, log));
    Ok(())
}

/// Measures [`Dispatcher::apply_settings`] alone, with settings that change one function.
pub fn apply_settings(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::function_names(args.functions, args.seed);
    let config = inputs::config(&names, args.front_ends, args.seed);
    let growth = MemoryGrowth::begin();
    let mut dispatcher = new_dispatcher(config.clone())?;
    output.figure("front_mb", growth.mb());
    let mut changed = config;
    changed.functions[args.seed as usize % names.len()].lanes = 2;
    let changed = EffectiveConfig::from(changed);
    let settings = PreparedSettings {
        with_lease: changed.clone(),
        without_lease: changed.clone(),
        after_expiry: changed,
    };
    let took = apply(&mut dispatcher, 1, &settings)?;
    output.figure("adopt_ms", ms(took));
    // The lease expires: the next input first applies the settings for a front end without a lease.
    let mut commands = Vec::new();
    let (_, took) = timed(|| dispatcher.step(Time(SECOND), Input::Tick, &mut commands));
    output.figure("lapse_ms", ms(took));
    output.figure("memory_mb", growth.mb());
    output.figure("peak_mb", growth.peak_mb());
    drop((settings, dispatcher));
    Ok(())
}
