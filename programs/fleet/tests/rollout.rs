//! Rollouts of programs and settings by three supervisors with two front ends each. A rollout has to continue when its controller is
//! killed, and a program that does not start has to be rolled back.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use support::{ask, gateway};
use tansy_fleet::processes::supervised_processes;
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::fleet::{
    error_contains, front_ends, holds_lease_and_session, reserve_addresses, ANY_PORT,
};
use tansy_test_support::folder::TestFolder;
use tansy_test_support::process::ServerProcess;
use tansy_test_support::wait::poll_until;

const SETTINGS: &str = r#"
zones: ["a", "b", "c"]
classes: {
    chat: {aim: 1s, deadline: 2s}
    pay:  {aim: 1s, deadline: 2s, effect: "keyed", group: "zone", window: 30s}
}
functions: pay: {class: "pay", memory: 100MB}
front: {zone: "ZONE", drain: 1s}
fleet: {name: "NAME", seats: [{name: "f0", address: "SEAT"}]}
"#;
const PLAN: &str =
    "least = 1\nlongest = 2\nready = 20\nslice = 1\nwarm_up = 1\nundecided = \"pass\"\n";
/// The zone of each supervisor.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Front ends of the fleet, two for each supervisor.
const FRONT_ENDS: usize = 6;
/// Timeout for a rollout to reach the state that a test waits for.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(90);

/// A process of a front end, as reported by the kernel.
#[derive(Debug)]
struct FrontEndProcess {
    pid: u32,
    name: String,
    program: String,
}

/// Three supervisors with two front ends each. All are killed when it is dropped.
struct Deployment {
    supervisors: [Option<ServerProcess>; 3],
    addresses: Vec<ReservedAddress>,
    folder: TestFolder,
}

impl Deployment {
    fn start(name: &str, network: u8) -> Deployment {
        let mut deployment = Deployment {
            supervisors: [None, None, None],
            addresses: reserve_addresses(network, FRONT_ENDS as u8)
                .expect("addresses are reserved"),
            folder: TestFolder::new(&format!("rollout-{name}")).expect("a folder is created"),
        };
        deployment.copy_programs();
        deployment.write("plan.toml", PLAN);
        let voter = deployment.address(0).to_string();
        for (index, zone) in ZONES.into_iter().enumerate() {
            let settings = SETTINGS
                .replace("NAME", name)
                .replace("SEAT", &voter)
                .replace("ZONE", zone);
            deployment.write(&format!("{zone}.cue"), &settings);
            deployment.write(&format!("m{index}.toml"), &deployment.machine_file(index));
        }
        (0..ZONES.len()).for_each(|index| deployment.start_supervisor(index));
        deployment.wait_until("all front ends serve", |deployment| {
            deployment.programs_by_name().values().flatten().count() == FRONT_ENDS
                && deployment.acting_front_ends() == FRONT_ENDS
        });
        deployment
    }

    /// Copies the gateway twice, and appends a byte to the second copy so that it has another digest.
    fn copy_programs(&self) {
        std::fs::copy(gateway(), self.path("old")).expect("the program is copied");
        std::fs::copy(gateway(), self.path("new")).expect("the program is copied");
        let mut options = std::fs::OpenOptions::new();
        let new = options.append(true).open(self.path("new"));
        new.expect("the copy is opened")
            .write_all(b"\n")
            .expect("a byte is appended");
    }

    /// The machine file of a supervisor.
    fn machine_file(&self, index: usize) -> String {
        let mut file = format!(
            "name = \"m{index}\"\nprogram = \"old\"\nfolder = \"run{index}\"\nat = [\"{}\"]\n",
            self.address(0)
        );
        let settings = self.path(&format!("{}.cue", ZONES[index]));
        let settings = settings.display().to_string();
        let state = self.path("seat.redb").display().to_string();
        for front_end in [2 * index, 2 * index + 1] {
            let mut arguments = vec!["--settings", &settings, "--listen", ANY_PORT];
            arguments.extend(["--http", ANY_PORT, "--log", "error"]);
            if front_end == 0 {
                arguments.extend(["--state", &state]);
            }
            file += &format!(
                "[[front]]\nname = \"f{front_end}\"\npeers = \"{}\"\narguments = {arguments:?}\n",
                self.address(front_end)
            );
        }
        file
    }

    fn address(&self, front_end: usize) -> SocketAddr {
        self.addresses[front_end].address()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.file(name)
    }

    fn write(&self, name: &str, text: &str) {
        self.folder.write(name, text).expect("the file is written");
    }

    fn start_supervisor(&mut self, index: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-fleet"));
        command
            .args(["up", "--log", "error", "--fleet"])
            .arg(self.path(&format!("m{index}.toml")));
        let process = ServerProcess::start(&mut command).expect("the supervisor starts");
        assert_eq!(process.ready_line().trim(), "ready fronts=2");
        self.supervisors[index] = Some(process);
    }

    fn kill_supervisor(&mut self, index: usize) {
        self.supervisors[index] = None;
    }

    fn processes(&self) -> Vec<FrontEndProcess> {
        let all = supervised_processes().into_iter();
        let own = all.filter(|process| process.folder.starts_with(self.folder.path()));
        own.map(|process| FrontEndProcess {
            pid: process.pid,
            name: process.name,
            program: process.program,
        })
        .collect()
    }

    /// The programs of each front end's processes, by its name.
    fn programs_by_name(&self) -> BTreeMap<String, Vec<String>> {
        let mut programs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for process in self.processes() {
            let of_front_end = programs.entry(process.name).or_default();
            of_front_end.push(process.program);
        }
        programs
    }

    fn ask(&self, arguments: &[&str]) -> (i32, Value) {
        ask(self.address(0), arguments)
    }

    fn acting_front_ends(&self) -> usize {
        let (_, status) = self.ask(&["status"]);
        front_ends(&status)
            .iter()
            .filter(|f| holds_lease_and_session(f))
            .count()
    }

    fn rollout(&self) -> Value {
        self.ask(&["roll", "status"]).1
    }

    /// Waits until a condition holds. No front end may have two processes meanwhile.
    fn wait_until(&self, description: &str, condition: impl Fn(&Deployment) -> bool) {
        poll_until(ROLLOUT_TIMEOUT, || {
            if condition(self) {
                return Ok(());
            }
            let programs = self.programs_by_name();
            let duplicates: Vec<_> = programs.iter().filter(|(_, all)| all.len() > 1).collect();
            assert!(duplicates.is_empty(), "{duplicates:?}");
            Err(format!("{description}: {programs:?} {}", self.rollout()))
        });
    }

    fn wait_for_phase(&self, phase: &str) {
        let description = format!("the rollout is {phase}");
        self.wait_until(&description, |d| d.rollout()["phase"] == phase);
    }

    /// Waits until the rollout has changed a front end.
    fn wait_for_first_change(&self) {
        self.wait_until("a front end is changed", |deployment| {
            let rollout = deployment.rollout();
            rollout["moved"].as_array().is_some_and(|m| !m.is_empty())
        });
    }

    fn all_run(&self, program: &str) -> bool {
        let label = tansy_fleet::processes::program_label(&self.path(program))
            .expect("the program is readable");
        let programs = self.programs_by_name();
        programs.len() == FRONT_ENDS && programs.values().all(|p| *p == [label.clone()])
    }

    fn begin(&self, change: &str, file: &str) -> (i32, Value) {
        let file = self.path(file).display().to_string();
        let plan = self.path("plan.toml").display().to_string();
        let stages = ["--plan", &plan, "--stages", "0.5,1"];
        self.ask(&[&["roll", "begin", change, &file], &stages[..]].concat())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.supervisors = [None, None, None];
        // Front ends outlive their supervisors.
        for process in self.processes() {
            let pid = i32::try_from(process.pid).ok().and_then(Pid::from_raw);
            let _ = pid.map(|pid| kill_process(pid, Signal::KILL));
        }
    }
}

/// Writes a program that exits at once.
fn write_failing_program(path: &Path) {
    use std::os::unix::fs::PermissionsExt;
    std::fs::write(path, "#!/bin/sh\nexit 7\n").expect("the program is written");
    let mut mode = std::fs::metadata(path)
        .expect("the program exists")
        .permissions();
    mode.set_mode(0o755);
    std::fs::set_permissions(path, mode).expect("the mode is set");
}

#[test]
fn a_program_rollout_survives_its_controller_and_one_that_does_not_start_is_rolled_back() {
    let mut deployment = Deployment::start("program", 111);
    assert!(deployment.all_run("old"));
    let (code, reply) = deployment.begin("--program", "new");
    assert_eq!(code, 0, "{reply}");
    let (code, reply) = deployment.begin("--program", "new");
    assert_eq!(code, 3, "a second rollout is rejected: {reply}");
    // The controller is killed once the first front ends are changed, and restarted. Its front ends keep running.
    deployment.wait_for_first_change();
    let controller = deployment.rollout()["steerer"]
        .as_str()
        .unwrap_or("")
        .to_string();
    let index = controller
        .trim_start_matches('m')
        .parse::<usize>()
        .expect("the controller is a supervisor");
    let before = deployment.processes();
    deployment.kill_supervisor(index);
    assert_eq!(
        deployment.processes().len(),
        before.len(),
        "front ends outlive their supervisor"
    );
    deployment.start_supervisor(index);
    deployment.wait_for_phase("done");
    deployment.wait_until("all run the new program", |d| d.all_run("new"));
    assert!(
        deployment.rollout()["fence"].as_u64() > Some(1),
        "another controller, or the restarted one, took over: {}",
        deployment.rollout()
    );
    // A program that does not start is rolled back.
    write_failing_program(&deployment.path("bad"));
    let (code, reply) = deployment.begin("--program", "bad");
    assert_eq!(code, 0, "{reply}");
    deployment.wait_for_phase("stopped");
    deployment.wait_until("all run the former program", |d| d.all_run("new"));
    let steps = deployment.rollout()["steps"].to_string();
    assert!(steps.contains("exit code 7"), "{steps}");
    let page = deployment.path("report.html").display().to_string();
    assert_eq!(deployment.ask(&["rollout", "report", "--out", &page]).0, 0);
    let page = std::fs::read_to_string(page).expect("the report is readable");
    assert!(page.contains("exit code 7") && page.contains("</html>"));
}

#[test]
fn settings_are_rolled_out_in_stages_unless_a_change_is_strict() {
    let deployment = Deployment::start("settings", 112);
    let text = std::fs::read_to_string(deployment.path("a.cue")).expect("the file is readable");
    deployment.write(
        "strict.cue",
        &text.replace("group: \"zone\"", "group: \"cell\""),
    );
    deployment.write("free.cue", &text.replace("window: 30s", "window: 20s"));
    let (code, reply) = deployment.begin("--settings", "strict.cue");
    assert_eq!(code, 3, "{reply}");
    assert!(error_contains(&reply, "classes.pay.group"), "{reply}");
    let (code, reply) = deployment.begin("--settings", "free.cue");
    assert_eq!(code, 0, "{reply}");
    let (code, reply) = deployment.ask(&[
        "propose",
        &deployment.path("strict.cue").display().to_string(),
        "--wait",
        "0",
    ]);
    assert_eq!(code, 3, "a rollout of settings is in progress: {reply}");
    deployment.wait_for_phase("done");
    deployment.wait_until("the settings are in force", |deployment| {
        let (_, status) = deployment.ask(&["status"]);
        let front_ends = front_ends(&status);
        let is_done = |f: &Value| f["version"] == 2 && f["next"].is_null();
        front_ends.len() == FRONT_ENDS && front_ends.iter().all(is_done)
    });
    // An aborted rollout does not change the version in force.
    deployment.write("other.cue", &text.replace("window: 30s", "window: 10s"));
    assert_eq!(deployment.begin("--settings", "other.cue").0, 0);
    deployment.wait_for_first_change();
    assert_eq!(
        deployment.ask(&["rollout", "abort", "--why", "a test"]).0,
        0
    );
    deployment.wait_for_phase("stopped");
    let (_, history) = deployment.ask(&["history"]);
    assert_eq!(history.as_array().map(Vec::len), Some(2), "{history}");
}
