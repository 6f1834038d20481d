//! Compares a gateway in a fleet with a standalone gateway: call latency, memory and idle CPU.

use crate::arguments::Arguments;
use crate::error::{system_error, BenchError};
use crate::load::{self, median, Load, Measurement};
use crate::process::MeasuredProcess;
use crate::programs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tansy_test_support::address::ReservedAddress;

/// Time limit for the measured front end to join the fleet and serve a call.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Interval over which idle CPU is measured.
const IDLE_INTERVAL: Duration = Duration::from_secs(10);
/// Seconds to wait until a fleet is idle, plus one for each `MEMBERS_PER_SETTLE_SECOND` front ends.
const SETTLE_SECONDS: u64 = 3;
const MEMBERS_PER_SETTLE_SECOND: u64 = 50;
/// Duration of the load that probes whether calls are served.
const PROBE_DURATION: Duration = Duration::from_millis(50);

/// Numbers of the voter and of the measured front end.
const VOTER: usize = 0;
const MEASURED: usize = 1;
/// The voter and the measured front end.
const MIN_MEMBERS: usize = 2;

/// Measures idle cost and latency of a front end in a fleet of `members`, and of a standalone gateway.
pub fn run(arguments: &Arguments, members: usize, rounds: usize) -> Result<(), BenchError> {
    let fleet = Fleet::start(arguments, members)?;
    fleet.wait_until_ready()?;
    let settle = SETTLE_SECONDS + members as u64 / MEMBERS_PER_SETTLE_SECOND;
    std::thread::sleep(Duration::from_secs(settle));
    fleet.print_idle_cost(members);
    fleet.print_latencies(arguments, rounds)
}

/// A fleet and a standalone gateway that share the same workers.
struct Fleet {
    /// The measured front end.
    member: MeasuredProcess,
    standalone: MeasuredProcess,
    voter: MeasuredProcess,
    _others: Vec<MeasuredProcess>,
    _workers: [MeasuredProcess; 2],
    _folder: TemporaryFolder,
    _addresses: Vec<ReservedAddress>,
}

impl Fleet {
    fn start(arguments: &Arguments, members: usize) -> Result<Fleet, BenchError> {
        let members = members.max(MIN_MEMBERS);
        let folder = TemporaryFolder::create()?;
        let workers = programs::worker_pair(&[])?;
        let addresses = (0..members)
            .map(reserve_address)
            .collect::<Result<Vec<_>, _>>()?;
        let files = SettingsFiles::write(&folder.0, &workers, addresses[VOTER].address())?;
        let start_member = |number: usize| {
            let extra_arguments = member_arguments(number, addresses[number].address(), &folder.0);
            programs::gateway_with_settings(arguments, &files.member, "off", &extra_arguments)
        };
        let standalone = programs::gateway_with_settings(arguments, &files.standalone, "off", &[])?;
        let voter = start_member(VOTER)?;
        let others = (MEASURED + 1..members)
            .map(start_member)
            .collect::<Result<Vec<_>, _>>()?;
        let member = start_member(MEASURED)?;
        Ok(Fleet {
            member,
            standalone,
            voter,
            _others: others,
            _workers: workers,
            _folder: folder,
            _addresses: addresses,
        })
    }

    /// Waits until the measured front end serves a call, which requires a lease.
    fn wait_until_ready(&self) -> Result<(), BenchError> {
        let start = Instant::now();
        let probe = Load::closed(1, PROBE_DURATION);
        while load::run(self.member.address(), probe).map_or(0, |measured| measured.served) == 0 {
            if start.elapsed() > READY_LIMIT {
                return Err(BenchError::FleetNotReady);
            }
        }
        Ok(())
    }

    fn print_idle_cost(&self, members: usize) {
        let measured = [&self.member, &self.voter, &self.standalone];
        let before = measured.map(MeasuredProcess::cpu_seconds);
        std::thread::sleep(IDLE_INTERVAL);
        let after = measured.map(MeasuredProcess::cpu_seconds);
        let percent =
            |index: usize| (after[index] - before[index]) / IDLE_INTERVAL.as_secs_f64() * 100.0;
        let [member_mb, voter_mb, standalone_mb] = measured.map(MeasuredProcess::memory_mb);
        println!(
            "{members} front ends at rest: CPU {:.2}% a front end, {:.2}% the seat, {:.2}% without a fleet; \
             memory {member_mb:.1}, {voter_mb:.1} and {standalone_mb:.1} MB",
            percent(0),
            percent(1),
            percent(2),
        );
    }

    fn print_latencies(&self, arguments: &Arguments, rounds: usize) -> Result<(), BenchError> {
        let load = Load::at_rate(arguments.rate, arguments.duration());
        let (mut with, mut without) = (Vec::new(), Vec::new());
        for round in 0..rounds + 1 {
            let standalone = load::run(self.standalone.address(), load)?;
            let member = load::run(self.member.address(), load)?;
            // The first round is a warm-up.
            if round > 0 {
                without.push(standalone);
                with.push(member);
            }
        }
        let (with_p50, with_p99) = (median_latency(&with, 0.5), median_latency(&with, 0.99));
        let (without_p50, without_p99) = (
            median_latency(&without, 0.5),
            median_latency(&without, 0.99),
        );
        println!(
            "latency at {}/s, medians of {rounds}: without p50 {without_p50:.0} us, p99 {without_p99:.0} us; \
             in the fleet p50 {with_p50:.0} us, p99 {with_p99:.0} us; {:.3} and {:.3} times",
            arguments.rate,
            with_p50 / without_p50,
            with_p99 / without_p99
        );
        Ok(())
    }
}

/// The median of a latency quantile over several measurements, in microseconds.
fn median_latency(measurements: &[Measurement], quantile: f64) -> f64 {
    let quantiles = measurements
        .iter()
        .map(|measured| measured.latency_micros(quantile));
    median(quantiles.collect())
}

/// Settings files of the standalone gateway and of the fleet's front ends.
struct SettingsFiles {
    standalone: PathBuf,
    member: PathBuf,
}

impl SettingsFiles {
    fn write(
        folder: &Path,
        workers: &[MeasuredProcess; 2],
        voter: SocketAddr,
    ) -> Result<SettingsFiles, BenchError> {
        let files = SettingsFiles {
            standalone: folder.join("alone.cue"),
            member: folder.join("fleet.cue"),
        };
        let standalone = programs::settings_text(
            &programs::function_names(1),
            programs::UNLIMITED_LANES,
            "max_held: 100000, streams: 100000",
            &workers.each_ref().map(MeasuredProcess::address),
        );
        let fleet = format!(
            "fleet: {{name: \"bench\", seats: [{{name: \"f{VOTER}\", address: \"{voter}\"}}]}}\n"
        );
        programs::write_file(&files.standalone, &standalone)?;
        programs::write_file(&files.member, &format!("{standalone}{fleet}"))?;
        Ok(files)
    }
}

/// Reserves an address for a front end. Two front ends share a loopback IP address, so that none runs out of ports.
fn reserve_address(number: usize) -> Result<ReservedAddress, BenchError> {
    let by_process = 1 + (std::process::id() % 250) as u8;
    let host = [127, by_process, (number >> 8) as u8, number as u8 | 1];
    ReservedAddress::on(host).map_err(system_error(format!(
        "reserving an address for front end {number}"
    )))
}

/// Arguments with which gateway `number` joins the fleet; the one numbered [`VOTER`] also stores a voter's state.
fn member_arguments(number: usize, address: SocketAddr, folder: &Path) -> Vec<String> {
    let name = format!("f{number}");
    let mut arguments = vec!["--name".into(), name, "--peers".into(), address.to_string()];
    if number == VOTER {
        let state = folder.join("voter.redb").display().to_string();
        arguments.extend(["--state".to_string(), state]);
    }
    arguments
}

/// A temporary folder, removed on drop.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn create() -> Result<TemporaryFolder, BenchError> {
        let name = format!("tansy-bench-fleet-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(system_error(path.display().to_string()))?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        // A leftover temporary folder is harmless.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
