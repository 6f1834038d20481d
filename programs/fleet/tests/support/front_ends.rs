//! A fleet of gateway processes.

use crate::support::{ask, gateway};
use serde_json::Value;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::fleet::{
    front_end_command, front_ends, holds_lease_and_session, reserve_addresses,
};
use tansy_test_support::folder::TestFolder;
use tansy_test_support::process::ServerProcess;
use tansy_test_support::wait::poll_until;

const SETTINGS: &str = r#"
classes: {
    chat: {aim: 1s, deadline: 2s}
    pay:  {aim: 1s, deadline: 2s, effect: "keyed", group: "zone", window: 30s}
}
functions: pay: {class: "pay", memory: 100MB}
fleet: {name: "NAME", seats: [{name: "f0", address: "SEAT"}]}
"#;
/// Name of the settings file of a fleet's front ends.
pub const SETTINGS_FILE: &str = "a.cue";
/// Timeout for a fleet to reach the state that a test waits for.
const STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Gateways of one fleet. They are killed when it is dropped.
pub struct Fleet {
    /// Processes by front-end index; `None` if it does not run.
    pub processes: Vec<Option<ServerProcess>>,
    addresses: Vec<ReservedAddress>,
    /// Folder for the settings and the state of voters.
    pub folder: TestFolder,
}

impl Fleet {
    /// Starts a fleet with this name. Its first front end is the only voter.
    pub fn start(name: &str, size: u8, network: u8) -> Fleet {
        let mut fleet = Fleet {
            processes: (0..size).map(|_| None).collect(),
            addresses: reserve_addresses(network, size).expect("addresses are reserved"),
            folder: TestFolder::new(&format!("fleet-{name}")).expect("a folder is created"),
        };
        let voter = fleet.address(0).to_string();
        let settings = SETTINGS.replace("NAME", name).replace("SEAT", &voter);
        fleet.write(SETTINGS_FILE, &settings);
        (0..fleet.processes.len()).for_each(|index| fleet.start_front_end(index));
        fleet
    }

    /// Fleet address of a front end.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index].address()
    }

    /// Starts a front end that does not run.
    pub fn start_front_end(&mut self, index: usize) {
        self.start_front_end_with(index, |_| {});
    }

    /// Starts a front end that does not run, with changes to its command.
    pub fn start_front_end_with(&mut self, index: usize, configure: impl FnOnce(&mut Command)) {
        let settings = self.folder.file(SETTINGS_FILE);
        let (name, peers) = (format!("f{index}"), self.address(index));
        let mut command = front_end_command(&gateway(), &settings, &name, peers);
        configure(&mut command);
        // A test may make the last front end a voter, which needs a state file.
        if index == 0 || index + 1 == self.addresses.len() {
            let state = self.folder.file(&format!("seat{index}.redb"));
            command.arg("--state").arg(state);
        }
        let process = ServerProcess::start(&mut command).expect("the gateway starts");
        assert!(
            process.ready_line().contains(" peers="),
            "{:?}",
            process.ready_line()
        );
        self.processes[index] = Some(process);
    }

    /// Kills a front end.
    pub fn kill(&mut self, index: usize) {
        self.processes[index] = None;
    }

    /// Runs `tansy-fleet --json` against the second front end and returns its exit code and output.
    pub fn ask(&self, arguments: &[&str]) -> (i32, Value) {
        ask(self.address(1), arguments)
    }

    /// Waits until all running front ends may act and see each other.
    pub fn wait_until_connected(&self) {
        let running = self.processes.iter().flatten().count();
        let connected = |front_end: &Value| {
            holds_lease_and_session(front_end)
                && front_end["sees"].as_u64() == Some(running as u64 - 1)
        };
        self.wait_for_status(|status| {
            let front_ends = front_ends(status);
            front_ends.len() == running && front_ends.iter().all(connected)
        });
    }

    /// Waits until the fleet has this many front ends, all at this version.
    pub fn wait_for_version(&self, count: usize, version: u64) {
        self.wait_for_status(|status| {
            let front_ends = front_ends(status);
            front_ends.len() == count && front_ends.iter().all(|f| f["version"] == version)
        });
    }

    /// Waits until the fleet's status meets a condition.
    pub fn wait_for_status(&self, condition: impl Fn(&Value) -> bool) {
        poll_until(STATUS_TIMEOUT, || {
            let (_, status) = self.ask(&["status"]);
            if condition(&status) {
                Ok(())
            } else {
                Err(status)
            }
        });
    }

    /// Writes a copy of the fleet's settings with `from` replaced by `to`, and returns its path.
    pub fn write_changed(&self, name: &str, from: &str, to: &str) -> String {
        let text = self.settings();
        assert!(text.contains(from), "{from}");
        self.write(name, &text.replace(from, to))
    }

    /// Returns the text of the fleet's settings.
    pub fn settings(&self) -> String {
        std::fs::read_to_string(self.folder.file(SETTINGS_FILE))
            .expect("the settings file is readable")
    }

    /// Writes a file into the fleet's folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.write(name, text).expect("the file is written");
        path.display().to_string()
    }
}
