//! The configuration file, as JSON.

use crate::list::Updates;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use tansy_conf::Conf;

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
    /// Where the list comes from.
    #[serde(deserialize_with = "coordinator")]
    pub coordinator: SocketAddr,
    /// The list so far.
    pub known: Updates,
    /// The settings of this instance.
    pub settings: Conf,
}

fn address<'de, D: Deserializer<'de>>(from: D, key: &str) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(from)?;
    let wrong = |_| {
        serde::de::Error::custom(format!(
            "{key}: {text:?}; want an address as 127.0.0.1:4222"
        ))
    };
    text.parse().map_err(wrong)
}
fn listen<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    address(from, "listen")
}
fn coordinator<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    address(from, "coordinator")
}

/// A configuration that can't be used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadConfig(pub String);

impl std::fmt::Display for BadConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for BadConfig {}

impl Config {
    /// Reads the file's text.
    pub fn read(text: &str) -> Result<Config, BadConfig> {
        let config: Config = serde_json::from_str(text).map_err(|e| BadConfig(e.to_string()))?;
        tansy_conf::check(&config.settings).map_err(|e| BadConfig(format!("settings.{e}")))?;
        Ok(config)
    }

    /// The seed as a number; what is no hex number counts by its bytes.
    pub fn seed(&self) -> u64 {
        let bytes = || {
            self.seed
                .bytes()
                .fold(0u64, |h, b| h.wrapping_mul(31).wrapping_add(b.into()))
        };
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| bytes())
    }
}
