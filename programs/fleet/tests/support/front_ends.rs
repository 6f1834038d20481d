//! Gateways of one fleet as processes.

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
/// The settings file of a fleet's front ends.
pub const SETTINGS_FILE: &str = "a.cue";
/// Time for a fleet to reach the state that a test waits for.
const STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Gateways of one fleet; all end with it.
pub struct Fleet {
    /// By index; none: it does not run.
    pub processes: Vec<Option<ServerProcess>>,
    addresses: Vec<ReservedAddress>,
    /// Its settings, and the state of its voters.
    pub folder: TestFolder,
}

impl Fleet {
    /// Starts a fleet of this name whose first front end is its voter.
    pub fn start(name: &str, size: u8, network: u8) -> Fleet {
        let mut fleet = Fleet {
            processes: (0..size).map(|_| None).collect(),
            addresses: reserve_addresses(network, size).expect("ports"),
            folder: TestFolder::new(&format!("fleet-{name}")).expect("a folder"),
        };
        let voter = fleet.address(0).to_string();
        let settings = SETTINGS.replace("NAME", name).replace("SEAT", &voter);
        fleet.write(SETTINGS_FILE, &settings);
        (0..fleet.processes.len()).for_each(|index| fleet.start_front_end(index));
        fleet
    }

    /// Where its siblings and operators reach a front end.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index].address()
    }

    /// Starts a front end that does not run.
    pub fn start_front_end(&mut self, index: usize) {
        self.start_front_end_with(index, |_| {});
    }

    /// Starts a front end by a command that the test has changed.
    pub fn start_front_end_with(&mut self, index: usize, configure: impl FnOnce(&mut Command)) {
        let settings = self.folder.file(SETTINGS_FILE);
        let (name, peers) = (format!("f{index}"), self.address(index));
        let mut command = front_end_command(&gateway(), &settings, &name, peers);
        configure(&mut command);
        // The last one may become a voter.
        if index == 0 || index + 1 == self.addresses.len() {
            let state = self.folder.file(&format!("seat{index}.redb"));
            command.arg("--state").arg(state);
        }
        let process = ServerProcess::start(&mut command).expect("a gateway");
        assert!(
            process.ready_line().contains(" peers="),
            "{:?}",
            process.ready_line()
        );
        self.processes[index] = Some(process);
    }

    /// Kills a front end that runs.
    pub fn kill(&mut self, index: usize) {
        self.processes[index] = None;
    }

    /// Asks the second front end: the exit code and the result.
    pub fn ask(&self, arguments: &[&str]) -> (i32, Value) {
        ask(self.address(1), arguments)
    }

    /// Until all that run may act and see each other.
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

    /// Until the fleet has so many front ends, all at this version.
    pub fn wait_for_version(&self, count: usize, version: u64) {
        self.wait_for_status(|status| {
            let front_ends = front_ends(status);
            front_ends.len() == count && front_ends.iter().all(|f| f["version"] == version)
        });
    }

    /// Until the status is as wanted.
    pub fn wait_for_status(&self, done: impl Fn(&Value) -> bool) {
        poll_until(STATUS_TIMEOUT, || {
            let (_, status) = self.ask(&["status"]);
            if done(&status) {
                Ok(())
            } else {
                Err(status)
            }
        });
    }

    /// Writes the fleet's settings with one text in the place of another: the file's path.
    pub fn write_changed(&self, name: &str, from: &str, to: &str) -> String {
        let text = self.settings();
        assert!(text.contains(from), "{from}");
        self.write(name, &text.replace(from, to))
    }

    /// The text of the fleet's settings.
    pub fn settings(&self) -> String {
        std::fs::read_to_string(self.folder.file(SETTINGS_FILE)).expect("a file")
    }

    /// Writes a file in the fleet's folder: its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.write(name, text).expect("a file");
        path.display().to_string()
    }
}
