//! The configuration file of the platform, read at the start and again at SIGHUP.

use super::error::ConfigurationError;
use super::START_WITHIN;
use std::io;
use std::path::Path;
use tansy_net_sockets::socket::retry;
use tansy_platform::Config;

/// Reads the configuration.
///
/// # Errors
/// The file that can't be read, or what is wrong in it.
pub fn read(path: &Path) -> Result<Config, ConfigurationError> {
    parse(path, std::fs::read_to_string(path))
}

/// Reads the configuration at the start, when no descriptor may be left for a moment.
///
/// # Errors
/// As [`read`], after retries of some seconds.
pub fn read_at_start(path: &Path) -> Result<Config, ConfigurationError> {
    let text = retry(START_WITHIN, "the configuration", || {
        std::fs::read_to_string(path)
    });
    parse(path, text)
}

fn parse(path: &Path, text: io::Result<String>) -> Result<Config, ConfigurationError> {
    let text = text.map_err(|source| ConfigurationError::File {
        path: path.to_path_buf(),
        source,
    })?;
    Config::read(&text).map_err(|source| ConfigurationError::Invalid {
        path: path.to_path_buf(),
        source,
    })
}
