//! Voter processes that are killed: the next process recovers all acknowledged records.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use tansy_storage::store::Error;
use tansy_storage::voter_log::LogStorage;

const FILE: &str = "TANSY_STATE_TEST_FILE";

/// The process that the other tests start. It appends records and acknowledges each on its output, until it is killed.
#[test]
#[ignore = "started by the other tests with a state file"]
fn voter_process() {
    let Some(path) = std::env::var_os(FILE) else {
        return;
    };
    let (mut log, recovered) = LogStorage::open(&PathBuf::from(path)).expect("a log");
    for number in recovered.records.len() as u64 + 1.. {
        log.append(number.to_be_bytes().to_vec(), None)
            .expect("stored");
        println!("stored {number}");
    }
}

/// A process that is killed when the value is dropped.
struct VoterProcess(Child);

impl Drop for VoterProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(path: &PathBuf) -> VoterProcess {
    let child = Command::new(std::env::current_exe().expect("this program"))
        .args(["voter_process", "--exact", "--ignored", "--nocapture"])
        .env(FILE, path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    VoterProcess(child.expect("a process"))
}

fn acknowledged(child: &mut VoterProcess) -> impl Iterator<Item = u64> {
    let lines = BufReader::new(child.0.stdout.take().expect("its output")).lines();
    // The first acknowledgement may share a line with output of the test harness.
    lines
        .map_while(Result::ok)
        .filter_map(|l| l.rsplit("stored ").next()?.parse().ok())
}

struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str) -> TempFile {
        TempFile(std::env::temp_dir().join(format!("tansy-state-{}-{name}", std::process::id())))
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn a_killed_voter_recovers_all_that_it_acknowledged() {
    let file = TempFile::new("killed");
    let mut rng = fastrand::Rng::with_seed(11);
    let mut acknowledged_count = 0;
    for round in 0..8 {
        let mut child = start(&file.0);
        let mut acknowledgements = acknowledged(&mut child);
        for _ in 0..rng.usize(1..25) {
            let number = acknowledgements.next().expect("an acknowledgement");
            assert_eq!(
                number,
                acknowledged_count + 1,
                "round {round}: no record is lost, none is stored twice"
            );
            acknowledged_count = number;
        }
        // SIGKILL at an arbitrary point. Acknowledgements sent before it took effect count as well.
        child.0.kill().expect("the process runs");
        acknowledged_count = acknowledgements.last().unwrap_or(acknowledged_count);
        drop(child);
        let (log, all) = LogStorage::open(&file.0).expect("the log");
        drop(log);
        let recovered = all.records.len() as u64;
        let numbers = all
            .records
            .iter()
            .map(|r| u64::from_be_bytes(r[..].try_into().expect("a number")));
        assert!(
            numbers.eq(1..=recovered),
            "round {round}: each record once, in order"
        );
        assert!(
            recovered == acknowledged_count || recovered == acknowledged_count + 1,
            "round {round}: acknowledged {acknowledged_count}, recovered {recovered}"
        );
        acknowledged_count = recovered;
    }
}

#[test]
fn two_processes_never_open_one_log() {
    let file = TempFile::new("two");
    let mut child = start(&file.0);
    assert!(acknowledged(&mut child).next().is_some());
    let second = LogStorage::open(&file.0);
    assert!(matches!(second, Err(Error::InUse)), "{second:?}");
    drop(child);
    LogStorage::open(&file.0).expect("the log is no longer in use");
}
