//! The program as a process: a small run from its start to its line, wrong arguments, and runs that are ended early.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// No check rests on how soon something happens, only on that it does; this is far beyond.
const LONG: Duration = Duration::from_secs(180);

fn start(arguments: &str) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansy-scale"));
    command
        .args(arguments.split_whitespace())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command.spawn().expect("it starts")
}

/// What a process is, as the kernel has it: its parent, its state and when it began; none: there is none.
fn look(pid: u32) -> Option<(u32, char, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let all: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    Some((
        all.get(1)?.parse().ok()?,
        all.first()?.chars().next()?,
        all.get(19)?.parse().ok()?,
    ))
}

/// Processes that this one started, each with when it began: a number may be given again.
fn children(of: u32) -> BTreeSet<(u32, u64)> {
    let all = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let pids = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    let child = |pid: u32| look(pid).filter(|l| l.0 == of).map(|l| (pid, l.2));
    pids.filter_map(child).collect()
}

fn lives((pid, began): (u32, u64)) -> bool {
    look(pid).is_some_and(|(_, state, at)| at == began && state != 'Z' && state != 'X')
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !done() {
        assert!(Instant::now() < end, "{what}: not within {LONG:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Its exit code, output and errors once all processes that it had have ended, and these; some may be known before.
fn finish(
    mut child: Child,
    mut seen: BTreeSet<(u32, u64)>,
) -> (Option<i32>, String, String, BTreeSet<(u32, u64)>) {
    let pid = child.id();
    until("the run", || {
        seen.extend(children(pid));
        child.try_wait().expect("it is known").is_some()
    });
    // One that is left would hold the pipes open.
    until("its processes' end", || !seen.iter().any(|p| lives(*p)));
    let (mut out, mut err) = (String::new(), String::new());
    child
        .stdout
        .take()
        .expect("output")
        .read_to_string(&mut out)
        .expect("text");
    child
        .stderr
        .take()
        .expect("errors")
        .read_to_string(&mut err)
        .expect("text");
    (child.wait().expect("it ended").code(), out, err, seen)
}

fn line(out: &str) -> serde_json::Value {
    let last = out.lines().last().unwrap_or_default();
    serde_json::from_str(last).unwrap_or_else(|e| panic!("{e}: {out:?}"))
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn a_small_fleet_is_measured_and_no_process_is_left() {
    let a = "run --front-ends 12 --real 3 --seats 1 --seed 7 --seconds 5 --settle 2 --stay 4 --changes-hour 1440 --json";
    let (code, out, err, seen) = finish(start(a), BTreeSet::new());
    let line = line(&out);
    assert_eq!((code, &line["ok"]), (Some(0), &true.into()), "{line} {err}");
    let given = [
        ("front_ends", 12),
        ("real", 3),
        ("hollow", 9),
        ("seed", 7),
        ("seconds", 5),
        ("stay_s", 4),
    ];
    for (name, n) in given {
        assert_eq!(line[name], n, "{name}");
    }
    let measured = [
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
    ];
    for name in measured {
        assert!(line[name].as_f64() > Some(0.0), "{name}: {line}");
    }
    for name in ["control_cpu", "seat_cpu", "hollow_cpu"] {
        assert!(line[name].as_f64() >= Some(0.0), "{name}: {line}");
    }
    for name in [
        "in_force_ms",
        "strict_in_force_ms",
        "join_ms",
        "join_real_ms",
    ] {
        let (half, most) = (line[name]["p50"].as_f64(), line[name]["p99"].as_f64());
        assert!(half > Some(0.0) && most >= half, "{name}: {line}");
    }
    assert_eq!(
        (&line["changes_in_force"], &line["changes_not"]),
        (&9.into(), &0.into()),
        "{line}"
    );
    assert_eq!(
        (&line["view_members"], &line["joins"]),
        (&11.into(), &5.into()),
        "{line}"
    );
    // Nobody is away while it is counted: what is sent is taken, but for what is on its way when it is looked.
    let (taken, sent) = (
        line["letters_taken"].as_f64(),
        line["letters_sent"].as_f64(),
    );
    let (taken, sent) = (taken.expect("a number"), sent.expect("a number"));
    assert!(
        sent > 100.0 && (taken - sent).abs() / sent < 0.05,
        "{taken} taken of {sent} sent"
    );
    // 3 real ones and 3 processes of hollow ones, all ended by now.
    assert!(seen.len() >= 6, "{seen:?}");
}

#[test]
fn functions_change_one_by_one_and_a_dead_front_end_holds_up_only_what_it_held() {
    let a = "run --front-ends 12 --real 3 --seats 1 --seed 7 --seconds 4 --settle 1 --stay 20 --scopes 40 --changes-hour 1800 \
             --dead 1 --burst 8 --json";
    let (code, out, err, _) = finish(start(a), BTreeSet::new());
    let line = line(&out);
    assert_eq!((code, &line["ok"]), (Some(0), &true.into()), "{line} {err}");
    assert_eq!(
        (&line["scopes"], &line["functions"]),
        (&40.into(), &1.into()),
        "{line}"
    );
    assert_eq!(
        (&line["changes_in_force"], &line["changes_not"]),
        (&9.into(), &0.into()),
        "{line}"
    );
    let burst = &line["burst_in_force"];
    assert_eq!(
        (&burst["in_force"], &burst["refused"]),
        (&8.into(), &0.into()),
        "{line}"
    );
    // Of 40 functions each hollow one calls 10.
    assert_eq!(line["holds"], 10.0, "{line}");
    // The seat still had the one that the dead one held as it was, after others were in force.
    assert!(line["others_before"].as_u64() > Some(0), "{line}");
    for name in ["freed_ms", "set_s"] {
        assert!(line[name].as_f64() > Some(0.0), "{name}: {line}");
    }
    for name in [
        "others_ms",
        "free_in_force_ms",
        "joint_in_force_ms",
        "strict_in_force_ms",
    ] {
        assert!(line[name]["p50"].as_f64() > Some(0.0), "{name}: {line}");
    }
}

#[test]
fn a_run_that_is_ended_early_leaves_no_process() {
    for signal in [Signal::INT, Signal::TERM, Signal::KILL] {
        let child = start("run --front-ends 12 --real 3 --json");
        // 3 real ones, and 3 processes of hollow ones.
        until("its processes", || children(child.id()).len() >= 6);
        let before = children(child.id());
        kill_process(Pid::from_child(&child), signal).expect("it runs");
        let folder = std::env::temp_dir().join(format!("tansy-scale-{}", child.id()));
        let (code, out, ..) = finish(child, before);
        if signal != Signal::KILL {
            let line = line(&out);
            assert_eq!((code, &line["ok"]), (Some(1), &false.into()), "{line}");
            assert!(line["notes"].to_string().contains("interrupted"), "{line}");
            assert!(!folder.exists(), "{}", folder.display());
        }
        // One that is killed at once can't.
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one table or one history, read from top to bottom"
)]
fn wrong_arguments_get_one_line() {
    let all = [
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
    for (arguments, says) in all {
        let (code, out, err, _) = finish(start(arguments), BTreeSet::new());
        assert_eq!(
            (code, out.as_str(), err.lines().count()),
            (Some(2), "", 1),
            "{arguments}: {err}"
        );
        assert!(err.contains(says), "{arguments}: {err}");
    }
}
