//! What a front is made of.

use crate::names::{NameCollision, NameTable};
use std::collections::BTreeSet;
use tansyrouter as module;
use tansyrouter::Span;

/// A function that may be called.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionSpec {
    /// Its name on the wire: `model_name`.
    pub name: String,
    /// Its class's place in the settings, for calls that name none.
    pub class: usize,
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, if known.
    pub load_time: Option<Span>,
    /// The versions that are named to clients.
    pub versions: Vec<String>,
}

/// What a front is made of.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// The module's settings.
    pub settings: module::Settings,
    /// Names of the classes, in the settings' order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the settings' order.
    pub tenants: Vec<String>,
    /// Names of the zones; a zone's number is its place.
    pub zones: Vec<String>,
    /// The functions.
    pub functions: Vec<FunctionSpec>,
    /// A call may not take longer than this, whatever its client says.
    pub max_call_time: Span,
    /// Seed of the module's random numbers.
    pub seed: u64,
}

/// Calls that are refused, whatever their time, because front ends can't know that they agree on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConflictingScopes {
    /// All.
    pub all: bool,
    /// Those of these classes, by name.
    pub classes: BTreeSet<String>,
    /// Those of these tenants.
    pub tenants: BTreeSet<String>,
    /// Those of these functions.
    pub functions: BTreeSet<String>,
    /// Those that name a class, tenant or function that the settings don't know: a version that can't be known may.
    pub unknown_names: bool,
    /// Advice to their clients: about so long until it is known, microseconds.
    pub retry_after: Span,
}

/// What calls are taken by: settings, and what of them is contested.
#[derive(Clone, Debug)]
pub struct EffectiveConfig {
    /// The settings.
    pub config: DispatchConfig,
    /// Calls that are refused meanwhile.
    pub conflicting: ConflictingScopes,
}

impl From<DispatchConfig> for EffectiveConfig {
    fn from(config: DispatchConfig) -> EffectiveConfig {
        EffectiveConfig {
            config,
            conflicting: ConflictingScopes::default(),
        }
    }
}

impl DispatchConfig {
    /// Whether a front can be made of it, or go over to it.
    pub fn check(&self) -> Result<(), ConfigError> {
        module::Router::new(self.settings.clone(), self.seed, module::Time(0))
            .map_err(ConfigError::Router)?;
        if self.classes.len() != self.settings.classes.len() {
            return Err(ConfigError::ClassNames);
        }
        let mut names = NameTable::default();
        for f in &self.functions {
            if f.class >= self.settings.classes.len() {
                return Err(ConfigError::UnknownClass(f.name.clone()));
            }
            names.intern(&f.name).map_err(ConfigError::NameCollision)?;
        }
        Ok(())
    }
}

/// Settings that can't make a front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// The module won't take them.
    Router(module::BadSettings),
    /// Two functions share a number.
    NameCollision(NameCollision),
    /// A function names a class that is not there.
    UnknownClass(String),
    /// There are not as many names of classes as classes.
    ClassNames,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Router(e) => e.fmt(f),
            ConfigError::NameCollision(e) => e.fmt(f),
            ConfigError::ClassNames => write!(
                f,
                "as many names of classes are wanted as there are classes"
            ),
            ConfigError::UnknownClass(name) => {
                write!(f, "function {name:?} names a class that is not there")
            }
        }
    }
}
impl std::error::Error for ConfigError {}
