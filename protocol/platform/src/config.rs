//! The configuration file, as JSON.

use crate::endpoints::EndpointUpdates;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use tansy_conf::InstanceSettings;

/// What the machine allows.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Cores.
    #[serde(default)]
    pub cores: f64,
    /// Memory, MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

/// The whole file. Fields that are not known are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// The front end's name.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    #[serde(deserialize_with = "listen")]
    pub listen: SocketAddr,
    /// For random numbers: hex digits, new with each start.
    #[serde(default)]
    pub seed: String,
    /// What the machine allows.
    pub limits: Limits,
    /// Where the list of workers comes from.
    #[serde(deserialize_with = "coordinator")]
    pub coordinator: SocketAddr,
    /// The list so far.
    pub known: EndpointUpdates,
    /// The settings of this instance.
    pub settings: InstanceSettings,
}

fn address<'de, D: Deserializer<'de>>(from: D, key: &str) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(from)?;
    text.parse().map_err(|_| {
        serde::de::Error::custom(format!(
            "{key}: {text:?}; want an address as 127.0.0.1:4222"
        ))
    })
}
fn listen<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    address(from, "listen")
}
fn coordinator<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    address(from, "coordinator")
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON, or not of the file's form.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// A value of the settings makes no sense.
    #[error("settings.{0}")]
    Settings(#[from] tansy_conf::SettingsError),
}

impl Config {
    /// Reads the file's text.
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let config: Config = serde_json::from_str(text)?;
        tansy_conf::validate(&config.settings)?;
        Ok(config)
    }

    /// The seed as a number; what is no hex number counts by its bytes.
    pub fn seed(&self) -> u64 {
        let by_bytes = || {
            self.seed.bytes().fold(0u64, |hash, byte| {
                hash.wrapping_mul(31).wrapping_add(byte.into())
            })
        };
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| by_bytes())
    }
}
