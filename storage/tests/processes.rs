//! Seats as processes of their own that are killed: what one told before is there for the next.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use tansy_storage::store::Error;
use tansy_storage::voter_log::LogStorage;

const FILE: &str = "TANSY_STATE_TEST_FILE";

/// Not a test by itself: the process that the tests start. It tells each step once it is held, until it is killed.
#[test]
#[ignore = "started by the others, with a file"]
fn a_seat_that_tells_each_step() {
    let Some(path) = std::env::var_os(FILE) else {
        return;
    };
    let (mut records, held) = LogStorage::open(&PathBuf::from(path)).expect("a seat");
    for n in held.records.len() as u64 + 1.. {
        records
            .append(n.to_be_bytes().to_vec(), None)
            .expect("held");
        println!("held {n}");
    }
}

/// A process that ends with the value.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(path: &PathBuf) -> Running {
    let child = Command::new(std::env::current_exe().expect("this program"))
        .args([
            "a_seat_that_tells_each_step",
            "--exact",
            "--ignored",
            "--nocapture",
        ])
        .env(FILE, path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    Running(child.expect("a process"))
}

fn steps(child: &mut Running) -> impl Iterator<Item = u64> {
    let lines = BufReader::new(child.0.stdout.take().expect("its output")).lines();
    // The first line may stand behind what the test program says of itself.
    lines
        .map_while(Result::ok)
        .filter_map(|l| l.rsplit("held ").next()?.parse().ok())
}

struct File(PathBuf);

impl File {
    fn new(name: &str) -> File {
        File(std::env::temp_dir().join(format!("tansy-state-{}-{name}", std::process::id())))
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn a_seat_killed_at_any_step_has_all_that_it_told() {
    let file = File::new("killed");
    let mut rng = fastrand::Rng::with_seed(11);
    let mut told = 0;
    for round in 0..8 {
        let mut child = start(&file.0);
        let mut steps = steps(&mut child);
        for _ in 0..rng.usize(1..25) {
            let step = steps.next().expect("a step");
            assert_eq!(
                step,
                told + 1,
                "round {round}: no step is lost, none taken twice"
            );
            told = step;
        }
        // With SIGKILL, wherever it is by now; what it told meanwhile counts as well.
        child.0.kill().expect("it runs");
        told = steps.last().unwrap_or(told);
        drop(child);
        let (records, all) = LogStorage::open(&file.0).expect("the seat");
        drop(records);
        let held = all.records.len() as u64;
        let numbers = all
            .records
            .iter()
            .map(|r| u64::from_be_bytes(r[..].try_into().expect("a number")));
        assert!(
            numbers.eq(1..=held),
            "round {round}: each once, in its order"
        );
        assert!(
            held == told || held == told + 1,
            "round {round}: told {told}, held {held}"
        );
        told = held;
    }
}

#[test]
fn two_processes_never_have_one_seat() {
    let file = File::new("two");
    let mut child = start(&file.0);
    assert!(steps(&mut child).next().is_some());
    let second = LogStorage::open(&file.0);
    assert!(matches!(second, Err(Error::Used)), "{second:?}");
    drop(child);
    LogStorage::open(&file.0).expect("free again");
}
