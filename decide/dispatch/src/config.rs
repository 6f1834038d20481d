//! The configuration of a dispatcher.

use crate::message::FunctionShape;
use crate::names::{NameCollision, NameTable};
use std::collections::BTreeSet;
use tansyrouter::{InvalidSettings, Micros, Router, Settings, Time};
use thiserror::Error;

/// A function that may be called.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionSpec {
    /// The name, `model_name` on the wire.
    pub name: String,
    /// Index of the class of calls that name none.
    pub class: usize,
    /// Number of calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Expected duration of a load, microseconds, if known.
    pub load_time: Option<Micros>,
    /// The versions reported to clients.
    pub versions: Vec<String>,
}

impl FunctionSpec {
    /// Its resource requirements.
    pub fn shape(&self) -> FunctionShape {
        FunctionShape {
            lanes: self.lanes,
            memory_mb: self.memory_mb,
            load_time: self.load_time,
        }
    }
}

/// The configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Settings of the router.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Functions that may be called.
    pub functions: Vec<FunctionSpec>,
    /// Upper limit of the budget of a call, microseconds, whatever its client states.
    pub max_call_time: Micros,
    /// Seed of the random numbers of the router.
    pub seed: u64,
}

/// Scopes whose calls are refused, because two versions of the settings may be in force for them at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConflictingScopes {
    /// All calls.
    pub all: bool,
    /// Calls of these classes, by name.
    pub classes: BTreeSet<String>,
    /// Calls of these tenants, by name.
    pub tenants: BTreeSet<String>,
    /// Calls of these functions, by name.
    pub functions: BTreeSet<String>,
    /// Calls that name a class, tenant or function that the settings do not define, but a version that is not known here
    /// may define.
    pub unknown_names: bool,
    /// Approximate duration of the conflict, microseconds; clients are advised to retry after it.
    pub retry_after: Micros,
}

/// A configuration, and the scopes in which it conflicts with another version.
#[derive(Clone, Debug)]
pub struct EffectiveConfig {
    /// The configuration.
    pub config: DispatchConfig,
    /// Scopes whose calls are refused.
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
    /// Checks whether a dispatcher can be created with this configuration or switch to it.
    pub fn check(&self) -> Result<(), ConfigError> {
        Router::new(self.settings.clone(), self.seed, Time(0)).map_err(ConfigError::Router)?;
        if self.classes.len() != self.settings.classes.len() {
            return Err(ConfigError::ClassNames);
        }
        let mut names = NameTable::default();
        for spec in &self.functions {
            if spec.class >= self.settings.classes.len() {
                return Err(ConfigError::UnknownClass(spec.name.clone()));
            }
            names
                .intern(&spec.name)
                .map_err(ConfigError::NameCollision)?;
        }
        Ok(())
    }
}

/// The reason why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The router rejects the settings.
    #[error(transparent)]
    Router(InvalidSettings),
    /// The names of two functions have the same id.
    #[error(transparent)]
    NameCollision(NameCollision),
    /// A function names a class that does not exist.
    #[error("function {0:?} names a class that does not exist")]
    UnknownClass(String),
    /// The number of class names differs from the number of classes.
    #[error("the number of class names differs from the number of classes")]
    ClassNames,
}
