//! What one change of one function costs every front end: what is agreed on made into terms, and these taken up.

use crate::inputs;
use crate::measure::{ms, timed, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use std::time::Duration;
use tansy_agreement::compatibility::{
    rules_after_expiry, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema, Value,
};
use tansy_agreement::log::{ChangePhase, FleetState, Log, LogEntry, Version};
use tansy_dispatch::{ConflictingScopes, DispatchConfig, Dispatcher, EffectiveConfig};
use tansy_settings::agree;
use tansyrouter::{Time, SECOND};

/// Terms for each right that a front end may have.
struct Ready {
    whole: EffectiveConfig,
    apart: EffectiveConfig,
    lapsed: EffectiveConfig,
}

/// Where the time went.
#[derive(Default)]
struct Spent {
    filled: Duration,
    settings: Duration,
    calls: usize,
}

/// The gateway's path from a state to terms (`programs/gateway/src/fleet.rs`, `Adopter::ready_for`), without its hub.
struct Adopter {
    own: Fields,
    schema: Schema,
    spent: Spent,
}

impl Adopter {
    fn filled(&mut self, fields: &Fields) -> Result<Fields, BenchError> {
        let (filled, took) = timed(|| agree::filled(fields));
        self.spent.filled += took;
        Ok(filled
            .map_err(|e| BenchError::failed("the version's fields", e))?
            .0)
    }

    fn config(&mut self, fields: &Fields) -> Result<DispatchConfig, BenchError> {
        let (settings, took) = timed(|| agree::settings(&self.own, fields));
        self.spent.settings += took;
        self.spent.calls += 1;
        Ok(settings
            .map_err(|e| BenchError::failed("the version's settings", e))?
            .front)
    }

    fn terms(&mut self, rules: &EffectiveRules) -> Result<EffectiveConfig, BenchError> {
        let config = self.config(&rules.fields)?;
        let mut contested = ConflictingScopes {
            unknown_names: rules.unlisted,
            retry_after: SECOND / 2,
            ..ConflictingScopes::default()
        };
        for touch in &rules.rejected {
            match touch {
                AffectedCalls::All => contested.all = true,
                AffectedCalls::Class(n) => drop(contested.classes.insert(n.clone())),
                AffectedCalls::Tenant(n) => drop(contested.tenants.insert(n.clone())),
                AffectedCalls::Function(n) => drop(contested.functions.insert(n.clone())),
            }
        }
        Ok(EffectiveConfig {
            config,
            conflicting: contested,
        })
    }

    fn ready(&mut self, state: &FleetState) -> Result<Ready, BenchError> {
        let mut filled = state.for_member("a");
        filled.in_force.fields = self.filled(&filled.in_force.fields)?;
        if let Some((next, _)) = &mut filled.next {
            next.fields = self.filled(&next.fields)?;
        }
        // By these classes answers are valued.
        self.config(&filled.in_force.fields)?;
        let rules = filled.rules(&self.schema);
        let whole = self.terms(&rules)?;
        let apart = self.terms(&rules_without_lease(&self.schema, rules))?;
        let lapsed = self.terms(&rules_after_expiry(&self.schema, &filled.in_force.fields))?;
        Ok(Ready {
            whole,
            apart,
            lapsed,
        })
    }
}

fn adopt(front: &mut Dispatcher, now: i64, ready: &Ready) -> Result<Duration, BenchError> {
    let ends = vec![
        (Time(now + SECOND / 2), ready.apart.clone()),
        (Time(now + 3600 * SECOND), ready.lapsed.clone()),
    ];
    let whole = ready.whole.clone();
    let (adopted, took) = timed(|| front.apply_settings(Time(now), whole, ends));
    adopted
        .map_err(|e| BenchError::failed("the terms", e))
        .map(|()| took)
}

/// The steps of a change of one function's lanes: told, joint, in force.
pub fn terms(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let fields = inputs::version(&names);
    let one = names
        .get(args.seed as usize % names.len().max(1))
        .cloned()
        .unwrap_or_default();
    let grown = MemoryGrowth::begin();
    let own = Fields::from([("front.me".to_string(), Value::Int(7))]);
    let mut adopter = Adopter {
        own,
        schema: agree::agreement(),
        spent: Spent::default(),
    };
    let mut log = Log::new(fields, []);
    let mut ready = adopter.ready(log.state())?;
    let mut front = Dispatcher::new(ready.whole.config.clone(), Time(0))
        .map_err(|e| BenchError::failed("the ledger", e))?;
    adopt(&mut front, 1, &ready)?;
    adopter.spent = Spent::default();
    let next = inputs::changed(&log.state().in_force.fields, &one, 2);
    let refused = |e| BenchError::failed("the change", e);
    log.apply(LogEntry::Propose {
        id: 1,
        base: Version(1),
        fields: next,
        reason: "bench".into(),
    })
    .map_err(refused)?;
    let (mut all, mut adopted) = (Duration::ZERO, Duration::ZERO);
    for (n, step) in ["told_ms", "joint_ms", "in_force_ms"]
        .into_iter()
        .enumerate()
    {
        // A front end has a copy of the state of its own.
        let state = log.state().clone();
        let (made, took) = timed(|| adopter.ready(&state));
        ready = made?;
        let took_up = adopt(&mut front, 2 + n as i64, &ready)?;
        output.figure(step, ms(took + took_up));
        (all, adopted) = (all + took + took_up, adopted + took_up);
        let from = log.state().revision;
        if log
            .state()
            .next
            .as_ref()
            .is_some_and(|(_, p)| matches!(p, ChangePhase::Announced | ChangePhase::Joint))
        {
            log.apply(LogEntry::Advance { from }).map_err(refused)?;
        }
    }
    output.figure("change_ms", ms(all));
    output.figure("adopt_ms", ms(adopted) / 3.0);
    output.figure("filled_ms", ms(adopter.spent.filled) / 5.0);
    output.figure(
        "settings_ms",
        ms(adopter.spent.settings) / adopter.spent.calls.max(1) as f64,
    );
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    // What is kept is kept until here.
    drop((ready, front, log));
    Ok(())
}

/// [`Front::adopt`] alone, of settings in which one function differs.
pub fn adopt_alone(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let config = inputs::config(&names, args.front_ends, args.seed);
    let grown = MemoryGrowth::begin();
    let mut front = Dispatcher::new(config.clone(), Time(0))
        .map_err(|e| BenchError::failed("the ledger", e))?;
    output.figure("front_mb", grown.mb());
    let mut next = config;
    if let Some(f) = next
        .functions
        .get_mut(args.seed as usize % names.len().max(1))
    {
        f.lanes = 2;
    }
    let terms = EffectiveConfig::from(next);
    let ready = Ready {
        whole: terms.clone(),
        apart: terms.clone(),
        lapsed: terms,
    };
    output.figure("adopt_ms", ms(adopt(&mut front, 1, &ready)?));
    // The lease runs out: the terms that come after it are taken up by the next input, before that itself.
    let mut out = Vec::new();
    let (_, took) = timed(|| front.step(Time(SECOND), tansy_dispatch::Input::Tick, &mut out));
    output.figure("lapse_ms", ms(took));
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    drop((ready, front));
    Ok(())
}
