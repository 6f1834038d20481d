//! Three supervisors with two front ends each: a program changes in stages, also when whoever steers is killed; one that does
//! not start goes back; settings are tried and then in force. Judged by the processes that run.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::{ask, gateway};
use tansy_fleet::processes::kept;
use tansy_test_support::address::ReservedAddress;

const TEXT: &str = r#"
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

struct Rig {
    folder: PathBuf,
    peers: Vec<SocketAddr>,
    _reserved: Vec<ReservedAddress>,
    supervisors: Vec<Option<Child>>,
}

impl Rig {
    fn start(name: &str, host: u8) -> Rig {
        let folder = std::env::temp_dir().join(format!("tansy-roll-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let host_of = |n: usize| [127, host, (std::process::id() % 250) as u8, 1 + n as u8];
        let reserve = |n| ReservedAddress::on(host_of(n)).expect("a port");
        let reserved: Vec<ReservedAddress> = (0..6).map(reserve).collect();
        let peers: Vec<SocketAddr> = reserved.iter().map(ReservedAddress::address).collect();
        std::fs::copy(gateway(), folder.join("old")).expect("a copy");
        // The same program with a byte behind its end is another one by its digest.
        std::fs::copy(gateway(), folder.join("new")).expect("a copy");
        let mut new = std::fs::OpenOptions::new()
            .append(true)
            .open(folder.join("new"))
            .expect("a file");
        new.write_all(b"\n").expect("a byte");
        std::fs::write(folder.join("plan.toml"), PLAN).expect("a file");
        let mut rig = Rig {
            folder,
            peers,
            _reserved: reserved,
            supervisors: vec![None, None, None],
        };
        for n in 0..3 {
            let zone = ["a", "b", "c"][n];
            let text = TEXT
                .replace("NAME", name)
                .replace("SEAT", &rig.peers[0].to_string())
                .replace("ZONE", zone);
            std::fs::write(rig.path(&format!("{zone}.cue")), text).expect("a file");
            let mut file = format!(
                "name = \"m{n}\"\nprogram = \"old\"\nfolder = \"run{n}\"\nat = [\"{}\"]\n",
                rig.peers[0]
            );
            for f in [2 * n, 2 * n + 1] {
                let settings = rig.path(&format!("{zone}.cue")).display().to_string();
                let mut arguments = vec![
                    "--settings",
                    &settings,
                    "--listen",
                    "127.0.0.1:0",
                    "--http",
                    "127.0.0.1:0",
                    "--log",
                    "error",
                ];
                let state = rig.path("seat.redb").display().to_string();
                if f == 0 {
                    arguments.extend(["--state", &state]);
                }
                file += &format!(
                    "[[front]]\nname = \"f{f}\"\npeers = \"{}\"\narguments = {arguments:?}\n",
                    rig.peers[f]
                );
            }
            std::fs::write(rig.path(&format!("m{n}.toml")), file).expect("a file");
        }
        (0..3).for_each(|n| rig.up(n));
        rig.until("all serve", |r| {
            r.labels().values().flatten().count() == 6 && r.sees() == 6
        });
        rig
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn up(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-fleet"));
        command
            .args(["up", "--log", "error", "--fleet"])
            .arg(self.path(&format!("m{n}.toml")));
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("a supervisor");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("its output"))
            .read_line(&mut line)
            .expect("a line");
        self.supervisors[n] = Some(child);
        assert_eq!(line.trim(), "ready fronts=2");
    }

    fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.supervisors[n].take() {
            child.kill().expect("it runs");
            child.wait().expect("it ends");
        }
    }

    /// Processes of the rig's front ends: number, name, program; as the kernel has them.
    fn processes(&self) -> Vec<(u32, String, String)> {
        let all = kept()
            .into_iter()
            .filter(|k| k.folder.starts_with(&self.folder));
        all.map(|k| (k.pid, k.name, k.program)).collect()
    }

    /// By name: the programs of its processes.
    fn labels(&self) -> BTreeMap<String, Vec<String>> {
        let mut all: BTreeMap<String, Vec<String>> = BTreeMap::new();
        self.processes()
            .into_iter()
            .for_each(|(_, name, label)| all.entry(name).or_default().push(label));
        all
    }

    fn ask(&self, arguments: &[&str]) -> (i32, serde_json::Value) {
        ask(self.peers[0], arguments)
    }

    fn sees(&self) -> usize {
        let (_, status) = self.ask(&["status"]);
        let may = |f: &&serde_json::Value| {
            f["stay_s"].as_i64() > Some(0) && f["lease_ms"].as_i64() > Some(0)
        };
        status["fronts"]
            .as_array()
            .map_or(0, |all| all.iter().filter(may).count())
    }

    fn roll(&self) -> serde_json::Value {
        self.ask(&["roll", "status"]).1
    }

    /// Until it is so; never two processes under one name meanwhile.
    fn until(&self, what: &str, done: impl Fn(&Rig) -> bool) {
        let end = Instant::now() + Duration::from_secs(90);
        while !done(self) {
            let twice: Vec<_> = self
                .labels()
                .into_iter()
                .filter(|(_, all)| all.len() > 1)
                .collect();
            assert!(twice.is_empty(), "{twice:?}");
            assert!(
                Instant::now() < end,
                "{what}: {:?} {}",
                self.labels(),
                self.roll()
            );
        }
    }

    fn label(&self, program: &str) -> String {
        tansy_fleet::processes::label(&self.path(program)).expect("a program")
    }

    fn all_run(&self, program: &str) -> bool {
        let label = self.label(program);
        let all = self.labels();
        all.len() == 6 && all.values().all(|l| *l == [label.clone()])
    }

    fn begin(&self, what: &str, file: &str) -> (i32, serde_json::Value) {
        let (file, plan) = (
            self.path(file).display().to_string(),
            self.path("plan.toml").display().to_string(),
        );
        self.ask(&[
            "roll", "begin", what, &file, "--plan", &plan, "--stages", "0.5,1",
        ])
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        (0..3).for_each(|n| {
            if let Some(mut child) = self.supervisors[n].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        });
        for (pid, ..) in self.processes() {
            let raw = i32::try_from(pid).ok().and_then(Pid::from_raw);
            let _ = raw.map(|p| kill_process(p, Signal::KILL));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn a_program_changes_in_stages_though_its_supervisors_are_killed_and_one_that_does_not_start_goes_back(
) {
    let mut rig = Rig::start("program", 111);
    assert!(rig.all_run("old"));
    let (code, said) = rig.begin("--program", "new");
    assert_eq!(code, 0, "{said}");
    let (code, said) = rig.begin("--program", "new");
    assert_eq!(code, 3, "a second one waits: {said}");
    // Whoever steers is killed once the first front ends are changed, and comes back later: its front ends live on.
    rig.until("one is changed", |r| {
        r.roll()["moved"].as_array().is_some_and(|m| !m.is_empty())
    });
    let steerer = rig.roll()["steerer"].as_str().unwrap_or("").to_string();
    let n = steerer
        .trim_start_matches('m')
        .parse::<usize>()
        .expect("a supervisor");
    let before: Vec<_> = rig.processes();
    rig.kill(n);
    assert_eq!(
        rig.processes().len(),
        before.len(),
        "front ends outlive their supervisor"
    );
    rig.up(n);
    rig.until("it is done", |r| r.roll()["phase"] == "done");
    rig.until("all run it", |r| r.all_run("new"));
    assert!(
        rig.roll()["fence"].as_u64() > Some(1),
        "another took over, or the same anew: {}",
        rig.roll()
    );
    // One that does not start.
    std::fs::write(rig.path("bad"), "#!/bin/sh\nexit 7\n").expect("a file");
    let mut mode = std::fs::metadata(rig.path("bad"))
        .expect("a file")
        .permissions();
    std::os::unix::fs::PermissionsExt::set_mode(&mut mode, 0o755);
    std::fs::set_permissions(rig.path("bad"), mode).expect("its mode");
    let (code, said) = rig.begin("--program", "bad");
    assert_eq!(code, 0, "{said}");
    rig.until("it goes back", |r| r.roll()["phase"] == "stopped");
    rig.until("all run what they ran", |r| r.all_run("new"));
    let steps = rig.roll()["steps"].to_string();
    assert!(steps.contains("exit code 7"), "{steps}");
    let page = rig.path("report.html").display().to_string();
    assert_eq!(rig.ask(&["rollout", "report", "--out", &page]).0, 0);
    let page = std::fs::read_to_string(page).expect("a page");
    assert!(page.contains("exit code 7") && page.contains("</html>"));
}

#[test]
fn settings_are_tried_in_stages_and_strict_ones_are_not() {
    let rig = Rig::start("settings", 112);
    let text = std::fs::read_to_string(rig.path("a.cue")).expect("a file");
    std::fs::write(
        rig.path("strict.cue"),
        text.replace("group: \"zone\"", "group: \"cell\""),
    )
    .expect("a file");
    std::fs::write(
        rig.path("free.cue"),
        text.replace("window: 30s", "window: 20s"),
    )
    .expect("a file");
    let (code, said) = rig.begin("--settings", "strict.cue");
    assert_eq!(code, 3, "{said}");
    assert!(
        said["error"]
            .as_str()
            .is_some_and(|e| e.contains("classes.pay.group")),
        "{said}"
    );
    let (code, said) = rig.begin("--settings", "free.cue");
    assert_eq!(code, 0, "{said}");
    let (code, said) = rig.ask(&[
        "propose",
        &rig.path("strict.cue").display().to_string(),
        "--wait",
        "0",
    ]);
    assert_eq!(code, 3, "other settings are tried: {said}");
    rig.until("it is done", |r| r.roll()["phase"] == "done");
    rig.until("it is in force", |r| {
        let (_, status) = r.ask(&["status"]);
        let fronts = status["fronts"].as_array().cloned().unwrap_or_default();
        fronts.len() == 6
            && fronts
                .iter()
                .all(|f| f["version"].as_u64() == Some(2) && f["next"].is_null())
    });
    // And one that is aborted changes nothing.
    std::fs::write(
        rig.path("other.cue"),
        text.replace("window: 30s", "window: 10s"),
    )
    .expect("a file");
    assert_eq!(rig.begin("--settings", "other.cue").0, 0);
    rig.until("some try it", |r| {
        r.roll()["moved"].as_array().is_some_and(|m| !m.is_empty())
    });
    assert_eq!(rig.ask(&["rollout", "abort", "--why", "a test"]).0, 0);
    rig.until("it goes back", |r| r.roll()["phase"] == "stopped");
    let (_, history) = rig.ask(&["history"]);
    assert_eq!(history.as_array().map(Vec::len), Some(2), "{history}");
}
