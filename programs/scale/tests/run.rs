//! Runs the program as a process: complete measurements of a small fleet, invalid arguments, and interrupted runs.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout of every wait. No check depends on how soon something happens.
const TIMEOUT: Duration = Duration::from_secs(180);

fn start(arguments: &str) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-scale"));
    command
        .args(arguments.split_whitespace())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command.spawn().expect("the program starts")
}

/// A process as the kernel lists it.
struct ProcessStat {
    parent: u32,
    state: char,
    started_at: u64,
}

/// Reads `/proc/PID/stat`; `None` if the process does not exist.
fn process_stat(pid: u32) -> Option<ProcessStat> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    Some(ProcessStat {
        state: fields.first()?.chars().next()?,
        parent: fields.get(1)?.parse().ok()?,
        started_at: fields.get(19)?.parse().ok()?,
    })
}

/// The id and the start time of a process; the kernel may reuse the id.
type ProcessId = (u32, u64);

/// Returns the child processes of a process.
fn children(parent: u32) -> BTreeSet<ProcessId> {
    let entries = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let pids = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let child = |pid: u32| {
        let stat = process_stat(pid).filter(|stat| stat.parent == parent)?;
        Some((pid, stat.started_at))
    };
    pids.filter_map(child).collect()
}

fn is_running((pid, started_at): ProcessId) -> bool {
    process_stat(pid)
        .filter(|stat| stat.started_at == started_at)
        .is_some_and(|stat| stat.state != 'Z' && stat.state != 'X')
}

fn wait_until(awaited: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{awaited}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A run whose processes have all exited.
struct FinishedRun {
    code: Option<i32>,
    stdout: String,
    stderr: String,
    /// The child processes of the run.
    children: BTreeSet<ProcessId>,
}

impl FinishedRun {
    /// Waits until a run and all its child processes have exited, including those that are already known.
    fn wait_for(mut run: Child, mut known_children: BTreeSet<ProcessId>) -> FinishedRun {
        let pid = run.id();
        wait_until("the end of the run", || {
            known_children.extend(children(pid));
            run.try_wait().expect("the status is known").is_some()
        });
        // A child process that is left over would keep the pipes open.
        wait_until("the end of the child processes", || {
            !known_children.iter().any(|child| is_running(*child))
        });
        FinishedRun {
            stdout: read_all(run.stdout.take()),
            stderr: read_all(run.stderr.take()),
            code: run.wait().expect("the run has exited").code(),
            children: known_children,
        }
    }

    /// Parses the JSON line.
    fn report(&self) -> Value {
        let last = self.stdout.lines().last().unwrap_or_default();
        serde_json::from_str(last).unwrap_or_else(|error| panic!("{error}: {:?}", self.stdout))
    }

    /// Parses the JSON line, and checks that the run succeeded.
    fn successful_report(&self) -> Value {
        let report = self.report();
        assert_eq!(
            (self.code, &report["ok"]),
            (Some(0), &true.into()),
            "{report} {}",
            self.stderr
        );
        report
    }
}

fn read_all(pipe: Option<impl Read>) -> String {
    let mut text = String::new();
    let mut pipe = pipe.expect("the output is piped");
    pipe.read_to_string(&mut text).expect("the output is text");
    text
}

fn assert_positive(report: &Value, names: &[&str]) {
    for name in names {
        assert!(report[name].as_f64() > Some(0.0), "{name}: {report}");
    }
}

/// Checks that the median is above 0 and the 99th percentile not below it.
fn assert_quantiles(report: &Value, names: &[&str]) {
    for name in names {
        let (median, p99) = (report[name]["p50"].as_f64(), report[name]["p99"].as_f64());
        assert!(median > Some(0.0) && p99 >= median, "{name}: {report}");
    }
}

/// Checks that messages that are sent are received, except for those in transit at the samples. Requires that no front end is restarted
/// in the measured window.
fn assert_sent_is_received(report: &Value) {
    let received = report["letters_taken"].as_f64().expect("a number");
    let sent = report["letters_sent"].as_f64().expect("a number");
    assert!(
        sent > 100.0 && (received - sent).abs() / sent < 0.05,
        "{received} received of {sent} sent"
    );
}

#[test]
fn measures_a_small_fleet_and_leaves_no_process() {
    let arguments =
        "run --front-ends 12 --real 3 --seats 1 --seed 7 --seconds 5 --settle 2 --stay 4 --changes-hour 1440 --json";
    let run = FinishedRun::wait_for(start(arguments), BTreeSet::new());
    let report = run.successful_report();
    let given = [
        ("front_ends", 12),
        ("real", 3),
        ("hollow", 9),
        ("seed", 7),
        ("seconds", 5),
        ("stay_s", 4),
    ];
    for (name, value) in given {
        assert_eq!(report[name], value, "{name}");
    }
    assert_costs(&report);
    assert_quantiles(
        &report,
        &[
            "in_force_ms",
            "strict_in_force_ms",
            "join_ms",
            "join_real_ms",
        ],
    );
    assert_eq!(
        (&report["changes_in_force"], &report["changes_not"]),
        (&9.into(), &0.into()),
        "{report}"
    );
    assert_eq!(
        (&report["view_members"], &report["joins"]),
        (&11.into(), &5.into()),
        "{report}"
    );
    assert_sent_is_received(&report);
    // 3 real front ends and 3 processes of hollow ones.
    assert!(run.children.len() >= 6, "{:?}", run.children);
}

/// Checks that the cost of the settled fleet was measured.
fn assert_costs(report: &Value) {
    assert_positive(
        report,
        &[
            "control_bytes_s",
            "control_messages_s",
            "memory_mb",
            "seat_memory_mb",
            "hollow_memory_mb",
            "seat_messages_s",
            "seat_bytes_s",
            "connections",
            "freed_ms",
            "letter_bytes",
            "machine_cpu",
        ],
    );
    for name in ["control_cpu", "seat_cpu", "hollow_cpu"] {
        assert!(report[name].as_f64() >= Some(0.0), "{name}: {report}");
    }
}

#[test]
fn a_dead_front_end_blocks_only_functions_to_which_it_subscribed() {
    let arguments = "run --front-ends 12 --real 3 --seats 1 --seed 7 --seconds 4 --settle 1 --stay 20 --scopes 40 --changes-hour 1800 \
             --dead 1 --burst 8 --json";
    let run = FinishedRun::wait_for(start(arguments), BTreeSet::new());
    let report = run.successful_report();
    assert_eq!(
        (&report["scopes"], &report["functions"]),
        (&40.into(), &1.into()),
        "{report}"
    );
    assert_eq!(
        (&report["changes_in_force"], &report["changes_not"]),
        (&9.into(), &0.into()),
        "{report}"
    );
    let burst = &report["burst_in_force"];
    assert_eq!(
        (&burst["in_force"], &burst["refused"]),
        (&8.into(), &0.into()),
        "{report}"
    );
    // Each hollow front end calls 10 of the 40 functions.
    assert_eq!(report["holds"], 10.0, "{report}");
    // Other functions were changed while the dead front end blocked the one to which it had subscribed.
    assert!(report["others_before"].as_u64() > Some(0), "{report}");
    assert_positive(&report, &["freed_ms", "set_s"]);
    for name in [
        "others_ms",
        "free_in_force_ms",
        "joint_in_force_ms",
        "strict_in_force_ms",
    ] {
        assert!(report[name]["p50"].as_f64() > Some(0.0), "{name}: {report}");
    }
}

#[test]
fn an_interrupted_run_leaves_no_process() {
    for signal in [Signal::INT, Signal::TERM, Signal::KILL] {
        let child = start("run --front-ends 12 --real 3 --json");
        // 3 real front ends and 3 processes of hollow ones.
        wait_until("the child processes", || children(child.id()).len() >= 6);
        let known_children = children(child.id());
        kill_process(Pid::from_child(&child), signal).expect("the program runs");
        let folder = std::env::temp_dir().join(format!("tansy-scale-{}", child.id()));
        let run = FinishedRun::wait_for(child, known_children);
        if signal != Signal::KILL {
            let report = run.report();
            assert_eq!(
                (run.code, &report["ok"]),
                (Some(1), &false.into()),
                "{report}"
            );
            let notes = report["notes"].to_string();
            assert!(notes.contains("interrupted"), "{report}");
            assert!(!folder.exists(), "{}", folder.display());
        }
        // A run that is ended by SIGKILL can't remove its folder.
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Invalid arguments, and a part of the error message for each.
const INVALID_ARGUMENTS: &[(&str, &str)] = &[
    (
        "run --front-ends 1 --real 1",
        "--front-ends 1: want at least 2",
    ),
    (
        "run --front-ends 70000 --real 1",
        "--front-ends 70000: want at most 65000",
    ),
    ("run --front-ends 4 --real 5", "--real 5: want 1 to 4"),
    ("run --front-ends 4 --real 0", "--real 0: want 1 to 4"),
    (
        "run --front-ends 4 --real 2 --seats 3",
        "--seats 3: want 1, 3, 5 or 7, at most the 2",
    ),
    (
        "run --front-ends 4 --real 4 --seats 2",
        "--seats 2: want 1, 3, 5 or 7",
    ),
    (
        "run --front-ends 9 --real 3 --seconds 0",
        "--seconds 0: want 1 to 86400",
    ),
    (
        "run --front-ends 9 --real 3 --functions 0",
        "--functions 0: want 1 to 1000000",
    ),
    (
        "run --front-ends 9 --real 3 --stay 0",
        "--stay 0: want 1 to 604800 s",
    ),
    (
        "run --front-ends 9 --real 3 --settle 9999",
        "--settle 9999: want at most 3600 s",
    ),
    (
        "run --front-ends 9 --real 3 --dead 4",
        "--dead 4: want at most 3",
    ),
    (
        "run --front-ends 9 --real 3 --scopes 1",
        "--scopes 1: want 2 to 100000",
    ),
    (
        "run --front-ends 9 --real 3 --scopes 50 --burst 51",
        "--burst 51: want at most 50",
    ),
    (
        "run --front-ends 9 --real 3 --functions 500 --burst 201",
        "--burst 201: want at most 200",
    ),
    (
        "run --front-ends many --real 3",
        "'many' for '--front-ends <FRONT_ENDS>'",
    ),
    ("run --front-ends 9", "--real <REAL>"),
    ("measure", "'measure'"),
    ("run --front-ends 60000 --real 3", "would take about"),
    (
        "run --front-ends 400 --real 400",
        "in 400 processes: want at most",
    ),
];

#[test]
fn invalid_arguments_are_reported_in_one_line() {
    for (arguments, expected) in INVALID_ARGUMENTS {
        let run = FinishedRun::wait_for(start(arguments), BTreeSet::new());
        let stderr = &run.stderr;
        assert_eq!(
            (run.code, run.stdout.as_str(), stderr.lines().count()),
            (Some(2), "", 1),
            "{arguments}: {stderr}"
        );
        assert!(stderr.contains(expected), "{arguments}: {stderr}");
    }
}
