//! The scripted bad day: processes, load, faults, and the auditor's verdict.
//!
//! - [`agree`]: versions of settings under load, through faults between front ends.
//! - [`roll`]: a new program in stages, through faults; [`plant`]: the mistakes that one may have.
//! - [`load`]: the clients.
//! - [`cast`]: the processes and the relay between them.
//! - [`script`]: what goes wrong, and when.
//! - [`scenario`]: the days that can be played.
#![allow(clippy::too_many_lines)] // docs/ROADMAP.md, "Readable code": still to be split.

pub mod agree;
pub mod cast;
pub mod load;
pub mod plant;
pub mod roll;
pub mod scenario;
pub mod script;

use std::collections::BTreeMap;
use tansy_audit::Effect;
use tansy_audit::{Mark, Rules};
use tansy_settings::Settings;

/// A list is looked at every 200 ms; it has been read by then, also on a busy machine.
const LIST_READ: i64 = 400_000;
/// The relay's clock against the processes': time for a wake-up on a busy machine.
const SLACK: i64 = 15_000;

/// Does what the marks say, and has each written down: before it, if it allows something, else after it.
///
/// # Errors
/// The first of the marks or of the act; what stands after it is left out.
pub fn told<E>(
    marks: &[Mark],
    write_down: impl Fn(Mark) -> Result<(), E>,
    act: impl FnOnce() -> Result<(), E>,
) -> Result<(), E> {
    let those = |allow: bool| marks.iter().filter(move |m| m.allows() == allow).cloned();
    those(true).try_for_each(&write_down)?;
    act()?;
    those(false).try_for_each(&write_down)
}

/// What the auditor is told of the settings.
pub fn rules(settings: &Settings, cores: f64) -> Rules {
    use tansyrouter::Effect as E;
    let m = &settings.front.settings;
    let function = |f: &tansy_settings::FunctionSpec| {
        let c = &m.classes[f.class];
        let effect = match c.effect {
            E::Safe => Effect::Safe,
            E::Keyed { window, .. } => Effect::Keyed(window),
            E::Unsafe => Effect::Unsafe,
        };
        (f.name.clone(), (effect, c.deadline))
    };
    Rules {
        functions: settings
            .front
            .functions
            .iter()
            .map(function)
            .collect::<BTreeMap<_, _>>(),
        list_read: LIST_READ,
        drain_grace: m.drain_grace,
        cold: (m.slow_start_from, m.slow_start_window, cores),
        fall: (m.overload_multiple, m.overload_window),
        ration: m.load_budget.map(|r| (r.free, r.arrival_share, r.period)),
        connect: m.connect_timeout,
        slack: SLACK,
    }
}
