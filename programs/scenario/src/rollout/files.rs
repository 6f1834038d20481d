//! Files of the scenario: the settings of each zone, both programs, the endpoint list, and the supervisors' configurations.

use super::options::ScenarioOptions;
use super::{zone_of, VOTERS, ZONES};
use crate::defect::append_defect_marker;
use crate::endpoint_list::{self, ListedWorker};
use crate::error::ScenarioError;
use crate::fleet::{voter_list, without_fleet};
use std::fs::Permissions;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

const SETTINGS_TEMPLATE: &str = include_str!("settings.cue");
/// File mode of the programs.
const PROGRAM_MODE: u32 = 0o755;
/// Supervisors' timeout for a front end to become ready.
const READY_SECONDS: u32 = 20;
/// Supervisors' timeout for a front end to drain.
const DRAIN_SECONDS: u32 = 8;

/// The temporary folder of a run.
pub(super) struct ScenarioFolder(PathBuf);

impl ScenarioFolder {
    pub fn create(seed: u64) -> Result<ScenarioFolder, ScenarioError> {
        let name = format!("tansy-scenario-roll-{}-{seed}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(ScenarioError::file(&path))?;
        let path = path.canonicalize().map_err(ScenarioError::file(&path))?;
        Ok(ScenarioFolder(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Path of the settings of a zone's front ends.
    pub fn settings(&self, zone: usize) -> PathBuf {
        self.0.join(format!("{}.cue", ZONES[zone]))
    }

    /// Path of the settings of a zone's workers, which belong to no fleet.
    pub fn settings_without_fleet(&self, zone: usize) -> PathBuf {
        self.0.join(format!("without-fleet-{}.cue", ZONES[zone]))
    }

    pub fn endpoint_list(&self) -> PathBuf {
        self.0.join("list.cue")
    }

    pub fn voter_state(&self, front: usize) -> PathBuf {
        self.0.join(format!("seat-{front}.redb"))
    }

    /// Path of the configuration of a zone's supervisor.
    pub fn supervisor_config(&self, zone: usize) -> PathBuf {
        self.0.join(format!("machine-{}.toml", ZONES[zone]))
    }

    pub fn supervisor_log(&self, zone: usize) -> PathBuf {
        self.0.join(format!("{}.log", ZONES[zone]))
    }

    /// Path of the program to roll out.
    pub fn new_program(&self) -> PathBuf {
        self.0.join("new")
    }

    fn old_program(&self) -> PathBuf {
        self.0.join("old")
    }

    pub fn write_settings(
        &self,
        options: &ScenarioOptions,
        peers: &[SocketAddr],
    ) -> Result<(), ScenarioError> {
        for (zone, name) in ZONES.iter().enumerate() {
            let text = SETTINGS_TEMPLATE
                .replace("ZONE", name)
                .replace("SIBLINGS", &options.front_ends.to_string())
                .replace("SEATS", &voter_list(peers, VOTERS));
            write(&self.settings(zone), &text)?;
            write(&self.settings_without_fleet(zone), without_fleet(&text))?;
        }
        Ok(())
    }

    /// Writes the old program and the new one, whose marker names its defect.
    pub fn write_programs(&self, options: &ScenarioOptions) -> Result<(), ScenarioError> {
        let this_program = std::env::current_exe()?;
        let old_source = options.old_program.as_ref().unwrap_or(&this_program);
        self.write_program(&self.old_program(), old_source, "")?;
        self.write_program(&self.new_program(), &this_program, options.defect.name())
    }

    fn write_program(&self, path: &Path, source: &Path, defect: &str) -> Result<(), ScenarioError> {
        let program = std::fs::read(source).map_err(ScenarioError::file(source))?;
        write(path, append_defect_marker(&program, defect))?;
        std::fs::set_permissions(path, Permissions::from_mode(PROGRAM_MODE))
            .map_err(ScenarioError::file(path))
    }

    pub fn write_endpoint_list(&self, workers: &[SocketAddr]) -> Result<(), ScenarioError> {
        let workers: Vec<ListedWorker> = workers
            .iter()
            .enumerate()
            .map(|(worker, address)| ListedWorker::new(*address, ZONES[zone_of(worker)]))
            .collect();
        write(&self.endpoint_list(), endpoint_list::text(&workers))
    }

    /// Writes the configuration of a zone's supervisor.
    pub fn write_supervisor_config(
        &self,
        zone: usize,
        voters: &[SocketAddr],
        front_ends: &[SupervisedFrontEnd],
    ) -> Result<(), ScenarioError> {
        let name = ZONES[zone];
        let voters: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
        let mut text = format!(
            "name = \"{name}\"\nprogram = \"old\"\nfolder = \"run-{name}\"\nat = [{}]\nready = {READY_SECONDS}\ndrain = {DRAIN_SECONDS}\n",
            voters.join(", ")
        );
        for front_end in front_ends {
            text += &front_end.text();
        }
        write(&self.supervisor_config(zone), text)
    }
}

/// A front end in a supervisor's configuration.
pub(super) struct SupervisedFrontEnd {
    pub index: usize,
    /// Address where it listens for its peers.
    pub peer_address: SocketAddr,
    /// Command line arguments.
    pub arguments: Vec<String>,
}

impl SupervisedFrontEnd {
    fn text(&self) -> String {
        // Without special characters in the arguments, the debug format of the list is valid TOML.
        format!(
            "[[front]]\nname = \"f{}\"\npeers = \"{}\"\narguments = {:?}\n",
            self.index, self.peer_address, self.arguments
        )
    }
}

fn write(path: &Path, content: impl AsRef<[u8]>) -> Result<(), ScenarioError> {
    std::fs::write(path, content).map_err(ScenarioError::file(path))
}
