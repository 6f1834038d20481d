//! Samples of the counters of all processes, and the rates between two samples.

use super::report::{mean, round, Report};
use super::Measurement;
use crate::fleet::shape::lease_granters;
use crate::hollow::protocol::HollowCounters;
use crate::system::{self, CpuTicks};
use crate::Error;
use std::collections::BTreeMap;
use std::time::Duration;
use tansy_fleet_wire::pb;
use tansy_net_sockets::clock;

/// Timeout for real front ends to answer a request for their counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(10);
/// CPU use in percent, of the machine or of a single-threaded process, above which measured times are unreliable.
const SATURATED_PERCENT: f64 = 80.0;

/// The counters of all processes at one time.
pub(super) struct Sample {
    /// The time of the sample, in microseconds of the machine's clock.
    at: i64,
    /// By index of the real front end.
    real: BTreeMap<usize, RealSample>,
    /// By process of hollow front ends.
    hollow: Vec<HollowCounters>,
    machine_cpu: CpuTicks,
    loopback_bytes: u64,
}

/// Counters of a real front end.
struct RealSample {
    pid: u32,
    cpu_seconds: f64,
    traffic: pb::TrafficCounters,
}

/// CPU use and traffic per second of a real front end between two samples.
struct RealRates {
    pid: u32,
    cpu_percent: f64,
    messages: f64,
    bytes: f64,
}

/// CPU use and traffic per second of all hollow front ends together between two samples.
#[derive(Default)]
struct HollowRates {
    messages: f64,
    bytes: f64,
    cpu_percent: f64,
    /// CPU use of the busiest process.
    busiest_percent: f64,
}

/// Messages of all front ends between two samples.
#[derive(Default)]
struct MessageTotals {
    received: u64,
    sent: u64,
    dropped: u64,
}

/// The rates and totals between two samples.
struct Window {
    seconds: f64,
    /// By index of the real front end; contains only those that ran in the whole window.
    real: BTreeMap<usize, RealRates>,
    hollow: HollowRates,
    totals: MessageTotals,
    /// Number of hollow front ends that ran at the end of the window.
    hollow_alive: usize,
}

impl Window {
    fn between(before: &Sample, after: &Sample) -> Window {
        let mut window = Window {
            seconds: (after.at - before.at) as f64 / 1e6,
            real: BTreeMap::new(),
            hollow: HollowRates::default(),
            totals: MessageTotals::default(),
            hollow_alive: after.hollow.iter().map(|process| process.alive).sum(),
        };
        for (index, after) in &after.real {
            // The counters of a process that was started in the window began at 0.
            let before = before.real.get(index);
            if let Some(before) = before.filter(|before| before.pid == after.pid) {
                window.add_real(*index, before, after);
            }
        }
        for (before, after) in before.hollow.iter().zip(&after.hollow) {
            window.add_hollow(before, after);
        }
        window
    }

    fn add_real(&mut self, index: usize, before: &RealSample, after: &RealSample) {
        let growth = |counter: fn(&pb::TrafficCounters) -> u64| {
            counter(&after.traffic).saturating_sub(counter(&before.traffic))
        };
        let received = growth(|traffic| traffic.received);
        let sent = growth(|traffic| traffic.sent);
        let bytes = growth(|traffic| traffic.received_bytes) + growth(|traffic| traffic.sent_bytes);
        self.totals.received += received;
        self.totals.sent += sent;
        self.totals.dropped += growth(|traffic| traffic.dropped);
        let cpu_seconds = after.cpu_seconds - before.cpu_seconds;
        let rates = RealRates {
            pid: after.pid,
            cpu_percent: cpu_seconds / self.seconds * 100.0,
            messages: (received + sent) as f64 / self.seconds,
            bytes: bytes as f64 / self.seconds,
        };
        self.real.insert(index, rates);
    }

    fn add_hollow(&mut self, before: &HollowCounters, after: &HollowCounters) {
        let received = after.received - before.received;
        let sent = after.sent - before.sent;
        let received_bytes = after.received_bytes - before.received_bytes;
        let sent_bytes = after.sent_bytes - before.sent_bytes;
        self.totals.received += received;
        self.totals.sent += sent;
        self.totals.dropped += after.dropped - before.dropped;
        let cpu_percent = (after.cpu_seconds - before.cpu_seconds) / self.seconds * 100.0;
        let rates = &mut self.hollow;
        rates.messages += (received + sent) as f64 / self.seconds;
        rates.bytes += (received_bytes + sent_bytes) as f64 / self.seconds;
        rates.cpu_percent += cpu_percent;
        rates.busiest_percent = rates.busiest_percent.max(cpu_percent);
    }

    /// Returns a mean over all front ends that are not voters, or `None` if all are.
    fn mean_of_non_voters(
        &self,
        hollow_sum: f64,
        voters: usize,
        rate: fn(&RealRates) -> f64,
    ) -> Option<f64> {
        let real: Vec<f64> = self.non_voters(voters).map(rate).collect();
        let count = self.hollow_alive + real.len();
        (count > 0).then(|| round((hollow_sum + real.iter().sum::<f64>()) / count as f64))
    }

    fn non_voters(&self, voters: usize) -> impl Iterator<Item = &RealRates> {
        let real = self.real.iter();
        real.filter(move |(index, _)| **index >= voters)
            .map(|(_, rates)| rates)
    }

    fn mean_of_hollow(&self, sum: f64) -> Option<f64> {
        (self.hollow_alive > 0).then(|| round(sum / self.hollow_alive as f64))
    }
}

impl Measurement {
    /// Reads the counters of all processes.
    pub(super) fn sample(&mut self) -> Result<Sample, Error> {
        let hollow = self.fleet.hollow_counters()?;
        let running = self.fleet.running_real();
        let addresses: Vec<_> = running.iter().map(|front_end| front_end.address).collect();
        let replies = self.fleet.client.counts(&addresses, COUNTERS_TIMEOUT);
        let mut real = BTreeMap::new();
        for (front_end, reply) in running.into_iter().zip(replies) {
            let (address, pid) = (front_end.address, front_end.pid);
            let reply = reply.map_err(|source| Error::Counters { address, source })?;
            let sample = RealSample {
                pid,
                cpu_seconds: system::cpu_seconds(pid).unwrap_or(0.0),
                traffic: reply.traffic.unwrap_or_default(),
            };
            real.insert(front_end.index, sample);
        }
        let machine_cpu = system::machine_cpu().ok_or(Error::KernelCounters("/proc/stat"))?;
        let loopback_bytes =
            system::loopback_bytes().ok_or(Error::KernelCounters("/proc/net/dev"))?;
        Ok(Sample {
            at: clock::now(),
            real,
            hollow,
            machine_cpu,
            loopback_bytes,
        })
    }

    /// Reports the cost of the fleet between two samples.
    pub(super) fn report_window(&mut self, report: &mut Report, before: &Sample, after: &Sample) {
        let window = Window::between(before, after);
        // A change in progress makes this fail, but only after the leader's address is updated.
        let _ = self.fleet.refresh_leader();
        self.report_non_voters(report, &window);
        self.report_real(report, &window);
        self.report_hollow(report, &window);
        self.report_leader(report, &window);
        self.report_loopback(report, &window, before, after);
        let mean_of_samples = |counter: fn(&HollowCounters) -> usize| {
            let hollow = before.hollow.iter().chain(&after.hollow);
            hollow.map(counter).sum::<usize>() as f64 / 2.0
        };
        let without_lease = mean_of_samples(|process| process.without_lease);
        let without_session = mean_of_samples(|process| process.without_session);
        report.put("without_lease", without_lease);
        report.put("without_stay", without_session);
        report.put("letters_taken", window.totals.received);
        report.put("letters_sent", window.totals.sent);
        report.put("letters_dropped", window.totals.dropped);
        let ticks = after.machine_cpu.total - before.machine_cpu.total;
        let busy = after.machine_cpu.busy - before.machine_cpu.busy;
        let machine = busy as f64 / ticks.max(1) as f64 * 100.0;
        let busiest = window.hollow.busiest_percent;
        report.put("machine_cpu", round(machine));
        report.put("cores", system::cores());
        let is_saturated = machine > SATURATED_PERCENT || busiest > SATURATED_PERCENT;
        report.put("saturated", is_saturated);
    }

    /// Reports means over all front ends that are not voters.
    fn report_non_voters(&self, report: &mut Report, window: &Window) {
        let voters = self.fleet.shape.voters;
        let bytes = window.mean_of_non_voters(window.hollow.bytes, voters, |rates| rates.bytes);
        let messages =
            window.mean_of_non_voters(window.hollow.messages, voters, |rates| rates.messages);
        report.put("control_bytes_s", bytes);
        report.put("control_messages_s", messages);
    }

    /// Reports means over real front ends that are not voters, separately for those that grant leases and the others.
    fn report_real(&self, report: &mut Report, window: &Window) {
        let voters = self.fleet.shape.voters;
        let grants = lease_granters(self.fleet.names(), self.fleet.leader());
        let mean_where = |grants_leases: bool, rate: fn(&RealRates) -> f64| {
            let real = window.real.iter();
            let real = real.filter(|(index, _)| **index >= voters);
            let real = real.filter(|(index, _)| grants[**index] == grants_leases);
            mean(real.map(|(_, rates)| rate(rates)))
        };
        report.put("real_bytes_s", mean_where(false, |rates| rates.bytes));
        report.put("real_messages_s", mean_where(false, |rates| rates.messages));
        report.put("relay_bytes_s", mean_where(true, |rates| rates.bytes));
        report.put("relay_messages_s", mean_where(true, |rates| rates.messages));
        report.put("control_cpu", mean_where(false, |rates| rates.cpu_percent));
        report.put("relay_cpu", mean_where(true, |rates| rates.cpu_percent));
        let pids = || window.non_voters(voters).map(|rates| rates.pid);
        let memory = pids().filter_map(system::memory_mb);
        let sockets = pids().filter_map(system::sockets);
        report.put("memory_mb", mean(memory));
        report.put("connections", mean(sockets.map(|count| count as f64)));
    }

    /// Reports means over hollow front ends.
    fn report_hollow(&self, report: &mut Report, window: &Window) {
        let cpu = window.mean_of_hollow(window.hollow.cpu_percent);
        let pids = self.fleet.hollow_pids().into_iter();
        let memory: f64 = pids.filter_map(system::memory_mb).sum();
        report.put("hollow_cpu", cpu);
        let busiest = round(window.hollow.busiest_percent);
        report.put("hollow_process_cpu", busiest);
        report.put("hollow_memory_mb", window.mean_of_hollow(memory));
    }

    fn report_leader(&self, report: &mut Report, window: &Window) {
        let leader = window.real.get(&self.fleet.leader());
        let rate = |rate: fn(&RealRates) -> f64| leader.map(|rates| round(rate(rates)));
        report.put("seat_messages_s", rate(|rates| rates.messages));
        report.put("seat_bytes_s", rate(|rates| rates.bytes));
        report.put("seat_cpu", rate(|rates| rates.cpu_percent));
        let memory = leader.and_then(|rates| system::memory_mb(rates.pid));
        report.put("seat_memory_mb", memory.map(round));
        let sockets = leader.and_then(|rates| system::sockets(rates.pid));
        report.put("seat_connections", sockets);
    }

    /// Reports the bytes on the loopback device for each front end. Null for fleets with hollow front ends, which use connections
    /// differently from real ones.
    fn report_loopback(
        &self,
        report: &mut Report,
        window: &Window,
        before: &Sample,
        after: &Sample,
    ) {
        let bytes = (after.loopback_bytes - before.loopback_bytes) as f64;
        let per_front_end = bytes / window.seconds / after.real.len().max(1) as f64;
        let has_no_hollow = self.fleet.shape.hollow() == 0;
        let wire = has_no_hollow.then(|| round(per_front_end));
        report.put("wire_bytes_s", wire);
    }
}
