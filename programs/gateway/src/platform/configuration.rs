//! The platform's configuration file, which is read at the start and again on SIGHUP.

use super::error::ConfigurationError;
use super::START_RETRY_TIME;
use std::io;
use std::path::Path;
use tansy_net_sockets::socket::retry;
use tansy_platform::Config;

/// Reads the configuration.
///
/// # Errors
/// If the file can't be read or its content is invalid.
pub fn read(path: &Path) -> Result<Config, ConfigurationError> {
    parse(path, std::fs::read_to_string(path))
}

/// Reads the configuration at the start, with retries for failures such as a temporary lack of descriptors.
///
/// # Errors
/// If the file still can't be read after the retries, or its content is invalid.
pub fn read_at_start(path: &Path) -> Result<Config, ConfigurationError> {
    let text = retry(START_RETRY_TIME, "the configuration", || {
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
