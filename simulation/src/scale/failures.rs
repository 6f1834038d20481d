//! Large failures in a run at scale: partitioned regions, the crash of a rack or zone, and rolling restarts.

use super::measurement::{milliseconds, AccountedTime, DeadMember, OngoingFailure};
use super::{FailureReport, PartitionReport, PartitionSide, ScaleScenario};
use crate::fault::{Time, SECOND};
use crate::fleet::{Event, Process, Simulation};
use tansy_agreement::lease::Member;

/// Which processes the crash of a rack or zone, or a rolling restart, is to end, and when the fleet may count as recovered.
struct FailurePlan {
    /// Indices of all processes to be ended.
    to_end: Vec<usize>,
    /// The fleet does not count as recovered before this time.
    earliest_recovery: Time,
    /// The batches of a rolling restart in reverse order.
    batches: Vec<Vec<usize>>,
}

/// The uptime of a process, and the parts of it without a valid lease or session.
fn accounted(process: &Process) -> AccountedTime {
    AccountedTime {
        uptime: process.uptime,
        without_lease: process.without_lease,
        without_session: process.without_session,
    }
}

impl Simulation<'_> {
    /// The uptime totals over all processes.
    pub(super) fn accounted_total(&mut self) -> AccountedTime {
        self.account_all();
        self.processes
            .iter()
            .map(accounted)
            .fold(AccountedTime::default(), AccountedTime::plus)
    }

    /// Begins the measurement of a partition.
    pub(super) fn begin_partition(&mut self) {
        self.account_all();
        if let Some(scale) = &mut self.scale {
            scale.before_partition = self.processes.iter().map(accounted).collect();
            scale.partition = Some(PartitionReport::default());
        }
    }

    /// Reports both sides of the partition that has ended: the regions that stayed connected, and the isolated ones.
    pub(super) fn end_partition(&mut self) {
        self.account_all();
        let [main, cut] = [false, true].map(|is_cut| self.partition_side(is_cut));
        let Some(scale) = &mut self.scale else {
            return;
        };
        if let Some(partition) = &mut scale.partition {
            partition.main = main;
            partition.cut = cut;
        }
        scale.healing_since = Some(self.now);
    }

    /// What one side lost since the partition began: the isolated regions if `is_cut` is set, otherwise the regions that stay connected.
    fn partition_side(&self, is_cut: bool) -> PartitionSide {
        let Some(scale) = &self.scale else {
            return PartitionSide::default();
        };
        let sides = self
            .processes
            .iter()
            .zip(&scale.before_partition)
            .enumerate();
        let lost: Vec<AccountedTime> = sides
            .filter(|(index, _)| (self.network.side(*index) > 0) == is_cut)
            .map(|(_, (process, before))| accounted(process).minus(*before))
            .collect();
        let total = lost
            .iter()
            .copied()
            .fold(AccountedTime::default(), AccountedTime::plus);
        PartitionSide {
            front_ends: lost.len(),
            lease_lost: total.lease_lost(),
            session_lost: total.session_lost(),
        }
    }

    /// Chooses the front ends of a rack or zone, at most `count` of one region. With `with_leader` they are the leader and the first
    /// `count - 1` non-voters of its region; otherwise, or if there is no leader, the first `count` non-voters of the last region.
    fn colocated(&self, count: usize, with_leader: bool) -> Vec<usize> {
        let leader = self
            .leader()
            .map(|(index, _)| index)
            .filter(|_| with_leader);
        // A process of the last region; region `r` contains process `r`, if the fleet has that many.
        let last_region_process = (self.processes.len() - 1).min(self.network.regions() - 1);
        let region = self.network.region(leader.unwrap_or(last_region_process));
        let others = (self.options.voters..self.processes.len())
            .filter(|index| self.network.region(*index) == region);
        leader.into_iter().chain(others).take(count).collect()
    }

    /// Plans a rolling restart if the scenario has one, otherwise the crash of a zone or, without zones, of a rack.
    fn plan_failure(&self, scenario: &ScaleScenario) -> FailurePlan {
        let front_ends = self.processes.len();
        if scenario.rolling_batches > 0 {
            let is_started = |index: &usize| self.processes[*index].node.is_some();
            let batch = |first| {
                (first..front_ends)
                    .step_by(scenario.rolling_batches)
                    .filter(is_started)
                    .collect()
            };
            return FailurePlan {
                to_end: (0..front_ends).filter(is_started).collect(),
                earliest_recovery: self.now,
                batches: (0..scenario.rolling_batches).rev().map(batch).collect(),
            };
        }
        let (count, earliest_recovery) = match front_ends.checked_div(scenario.zones) {
            Some(zone) => (zone, self.now + scenario.zone_downtime),
            None => (scenario.rack_size, self.now + self.options.lease.span),
        };
        FailurePlan {
            to_end: self.colocated(count, scenario.with_leader),
            earliest_recovery,
            batches: Vec::new(),
        }
    }

    /// Begins the crash of a rack or zone, or a rolling restart.
    pub(super) fn begin_failure(&mut self) {
        let accounted_before = self.accounted_total();
        let now = self.now;
        let Some(scenario) = self.scale.as_ref().map(|scale| scale.scenario.clone()) else {
            return;
        };
        let plan = self.plan_failure(&scenario);
        let members: Vec<Member> = plan
            .to_end
            .iter()
            .filter_map(|index| self.member(*index))
            .collect();
        let voters = self.options.voters;
        let Some(scale) = &mut self.scale else {
            return;
        };
        scale.failure = Some(FailureReport {
            front_ends: plan.to_end.len(),
            voters: plan.to_end.iter().filter(|index| **index < voters).count(),
            ..FailureReport::default()
        });
        scale.ongoing_failure = Some(OngoingFailure {
            since: now,
            earliest_recovery: plan.earliest_recovery,
            accounted_before,
            remaining_batches: plan.batches,
            current_batch: Vec::new(),
        });
        if scenario.rolling_batches > 0 {
            return;
        }
        if scenario.zones == 0 {
            let dead = members
                .into_iter()
                .map(|member| DeadMember { member, ended: now });
            scale.dead_on_roster.extend(dead);
            scale.dead_front_ends.extend(&plan.to_end);
        }
        for process in plan.to_end {
            self.schedule(now, Event::Stop { process });
            if scenario.zones > 0 {
                let at = now + scenario.zone_downtime + self.rng.i64(0..SECOND);
                self.schedule(at, Event::Start { process });
            }
        }
    }

    /// The member identity of a running process.
    pub(super) fn member(&self, index: usize) -> Option<Member> {
        Some(self.processes[index].node.as_ref()?.config().node.member())
    }

    /// Advances a rolling restart and checks whether the fleet has recovered.
    pub(super) fn advance_failure(&mut self) {
        let Some(scale) = &mut self.scale else {
            return;
        };
        let Some(failure) = &mut scale.ongoing_failure else {
            return;
        };
        let is_back = |process: &Process| process.is_running() && process.joined;
        if !failure
            .current_batch
            .iter()
            .all(|index| is_back(&self.processes[*index]))
        {
            return;
        }
        if let Some(batch) = failure.remaining_batches.pop() {
            failure.current_batch = batch.clone();
            let downtime = scale.scenario.rolling_downtime;
            return self.restart_batch(batch, downtime);
        }
        let is_due = self.now > failure.earliest_recovery;
        let permanently_dead = &scale.dead_front_ends;
        let mut processes = self.processes.iter().enumerate();
        let all_back =
            processes.all(|(index, p)| p.is_running() || permanently_dead.contains(&index));
        if is_due && all_back && self.all_leased() {
            self.report_failure(true);
        }
    }

    /// Shuts down the processes of a batch, and restarts each after `downtime` and up to one second more.
    fn restart_batch(&mut self, batch: Vec<usize>, downtime: Time) {
        for process in batch {
            self.schedule(self.now, Event::Leave { process });
            let at = self.now + downtime + self.rng.i64(0..SECOND);
            self.schedule(at, Event::Start { process });
        }
    }

    /// Completes the report of a failure when the fleet has recovered or the run ends.
    pub(super) fn report_failure(&mut self, recovered: bool) {
        let now = self.now;
        let total = self.accounted_total();
        let Some(scale) = &mut self.scale else {
            return;
        };
        let (Some(report), Some(failure)) = (&mut scale.failure, &scale.ongoing_failure) else {
            return;
        };
        let lost = total.minus(failure.accounted_before);
        report.recovered_ms = recovered.then_some(milliseconds(now - failure.since));
        report.lease_lost = lost.lease_lost();
        report.session_lost = lost.session_lost();
        let requested = scale.changes.iter().map(|change| change.requested);
        let within = requested.filter(|at| failure.since <= *at && *at <= now);
        report.changes_requested = within.count() as u64;
        if recovered {
            scale.ongoing_failure = None;
        }
    }
}
