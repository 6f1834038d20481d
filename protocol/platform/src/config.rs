//! The configuration file, in JSON.

use crate::endpoints::EndpointUpdates;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use tansy_conf::InstanceSettings;

/// The resources that the front end may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// The number of CPU cores.
    #[serde(default)]
    pub cores: f64,
    /// Memory, MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// The number of file descriptors.
    pub sockets: usize,
}

/// The unit of [`Limits::memory_mb`], bytes.
const MEGABYTE: f64 = 1_000_000.0;

impl Limits {
    /// The memory that the front end may use, in bytes; `None` if no limit is stated.
    pub fn memory_bytes(&self) -> Option<u64> {
        (self.memory_mb > 0.0).then_some((self.memory_mb * MEGABYTE) as u64)
    }
}

/// The configuration file. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The front end's name.
    #[serde(default)]
    pub name: String,
    /// The address to listen on for clients.
    #[serde(deserialize_with = "listen")]
    pub listen: SocketAddr,
    /// The seed of the random number generator: hex digits, different at each start.
    #[serde(default)]
    pub seed: String,
    /// The resources that the front end may use.
    pub limits: Limits,
    /// The address of the coordinator, which serves the worker list.
    #[serde(deserialize_with = "coordinator")]
    pub coordinator: SocketAddr,
    /// The worker list at the start.
    pub known: EndpointUpdates,
    /// The settings of this front end.
    pub settings: InstanceSettings,
}

fn address<'de, D: Deserializer<'de>>(from: D, key: &str) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(from)?;
    text.parse().map_err(|_| {
        serde::de::Error::custom(format!(
            "{key}: {text:?}; want an address such as 127.0.0.1:4222"
        ))
    })
}
fn listen<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    address(from, "listen")
}
fn coordinator<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    address(from, "coordinator")
}

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON, or lacks required fields.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// A value of the settings is invalid.
    #[error("settings.{0}")]
    Settings(#[from] tansy_conf::SettingsError),
}

impl Config {
    /// Parses and validates the text of the file.
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let config: Config = serde_json::from_str(text)?;
        tansy_conf::validate(&config.settings)?;
        Ok(config)
    }

    /// The seed as a number. A text that is not a hex number is hashed.
    pub fn seed(&self) -> u64 {
        let hash = || {
            self.seed.bytes().fold(0u64, |hash, byte| {
                hash.wrapping_mul(31).wrapping_add(byte.into())
            })
        };
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| hash())
    }
}
