//! A configuration with one function for each effect, and one that streams.

use super::class;
use tansy_dispatch::{DispatchConfig, FunctionSpec};
use tansyrouter::{Class, DedupGroup, Effect, Settings, SECOND};

/// Names of the functions, and of their classes.
pub const NAMES: [&str; 4] = ["safe", "keyed", "unsafe", "stream"];

/// The configuration with these functions and the seed of its router.
pub fn config(seed: u64) -> DispatchConfig {
    let class = |effect, streamed| Class {
        streamed,
        ..class(effect, SECOND / 2, 2 * SECOND)
    };
    let keyed = Effect::Keyed {
        group: DedupGroup::All,
        window: 30 * SECOND,
    };
    let classes = vec![
        class(Effect::Safe, false),
        class(keyed, false),
        class(Effect::Unsafe, false),
        class(Effect::Safe, true),
    ];
    let function = |(class, name): (usize, &&str)| FunctionSpec {
        name: name.to_string(),
        class,
        lanes: 2,
        memory_mb: 100.0,
        load_time: Some(50_000),
        versions: vec![],
    };
    DispatchConfig {
        settings: Settings {
            classes,
            may_probe: true,
            drain_grace: SECOND / 2,
            ..Settings::default()
        },
        classes: NAMES.map(str::to_string).to_vec(),
        tenants: vec![],
        zones: vec!["z".into()],
        functions: NAMES.iter().enumerate().map(function).collect(),
        max_call_time: 60 * SECOND,
        seed,
    }
}
