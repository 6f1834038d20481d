//! The configuration file of a machine: its supervisor and its front ends.

use crate::error::read_file;
use crate::FleetError;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A machine's configuration file (TOML).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MachineFile {
    /// Name of the supervisor, unique in the fleet.
    pub(super) name: String,
    /// Path of the program to run until a rollout has changed the fleet's program.
    pub(super) program: PathBuf,
    /// Folder for logs and copies of programs.
    pub(super) folder: PathBuf,
    /// Fleet addresses of front ends that are asked for the fleet's state, besides the machine's own.
    #[serde(default, rename = "at")]
    pub(super) fleet_addresses: Vec<SocketAddr>,
    /// The machine's front ends.
    #[serde(rename = "front")]
    pub(super) front_ends: Vec<FrontEnd>,
    /// Seconds within which a started process has to be ready.
    #[serde(default = "default_ready_timeout", rename = "ready")]
    pub(super) ready_timeout_seconds: u64,
    /// Seconds within which a process has to exit after SIGTERM.
    #[serde(default = "default_drain_timeout", rename = "drain")]
    pub(super) drain_timeout_seconds: u64,
}

fn default_ready_timeout() -> u64 {
    30
}

fn default_drain_timeout() -> u64 {
    20
}

/// A front end of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FrontEnd {
    /// Name of the front end.
    pub(super) name: String,
    /// Fleet address at which other front ends reach it.
    #[serde(rename = "peers")]
    pub(super) peer_address: SocketAddr,
    /// Arguments of the program, besides `--name` and `--peers`.
    #[serde(default)]
    pub(super) arguments: Vec<String>,
}

impl FrontEnd {
    /// All arguments of the program.
    pub(super) fn command_line(&self) -> Vec<String> {
        let mut arguments = self.arguments.clone();
        arguments.extend([
            "--name".into(),
            self.name.clone(),
            "--peers".into(),
            self.peer_address.to_string(),
        ]);
        arguments
    }
}

/// Reads a machine's file. Relative paths in it are relative to the file's folder.
pub(super) fn read(path: &Path) -> Result<MachineFile, FleetError> {
    let text = read_file(path)?;
    let mut file: MachineFile =
        toml::from_str(&text).map_err(|error| FleetError::file(path, error))?;
    let names: BTreeSet<&String> = file.front_ends.iter().map(|own| &own.name).collect();
    if names.len() != file.front_ends.len() || names.is_empty() {
        return Err(FleetError::file(
            path,
            "at least one front end is required, and each needs a unique name",
        ));
    }
    let folder = path.parent().unwrap_or(Path::new("."));
    file.program = folder.join(&file.program);
    file.folder = folder.join(&file.folder);
    Ok(file)
}
