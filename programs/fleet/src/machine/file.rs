//! The file of a machine: its supervisor and its front ends.

use crate::error::read_file;
use crate::FleetError;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A machine's file (TOML).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MachineFile {
    /// The supervisor's name, unique in the fleet.
    pub(super) name: String,
    /// The program, until the fleet has another.
    pub(super) program: PathBuf,
    /// The folder of logs and programs.
    pub(super) folder: PathBuf,
    /// Front ends that are asked about the fleet, besides the machine's own.
    #[serde(default)]
    pub(super) at: Vec<SocketAddr>,
    /// The machine's front ends.
    #[serde(rename = "front")]
    pub(super) front_ends: Vec<FrontEnd>,
    /// Seconds from a start to ready.
    #[serde(default = "default_ready")]
    pub(super) ready: u64,
    /// Seconds from the request to end to the end.
    #[serde(default = "default_drain")]
    pub(super) drain: u64,
}

fn default_ready() -> u64 {
    30
}

fn default_drain() -> u64 {
    20
}

/// A front end of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FrontEnd {
    /// Its name.
    pub(super) name: String,
    /// Where other front ends reach it.
    pub(super) peers: SocketAddr,
    /// The program's arguments, besides `--name` and `--peers`.
    #[serde(default)]
    pub(super) arguments: Vec<String>,
}

impl FrontEnd {
    /// All arguments of its process.
    pub(super) fn command_line(&self) -> Vec<String> {
        let mut arguments = self.arguments.clone();
        arguments.extend([
            "--name".into(),
            self.name.clone(),
            "--peers".into(),
            self.peers.to_string(),
        ]);
        arguments
    }
}

/// Reads a machine's file. Relative paths in it start at its folder.
pub(super) fn read(path: &Path) -> Result<MachineFile, FleetError> {
    let text = read_file(path)?;
    let mut file: MachineFile =
        toml::from_str(&text).map_err(|error| FleetError::file(path, error))?;
    let names: BTreeSet<&String> = file.front_ends.iter().map(|own| &own.name).collect();
    if names.len() != file.front_ends.len() || names.is_empty() {
        return Err(FleetError::file(
            path,
            "want one front end or more, each with a name of its own",
        ));
    }
    let folder = path.parent().unwrap_or(Path::new("."));
    file.program = folder.join(&file.program);
    file.folder = folder.join(&file.folder);
    Ok(file)
}
