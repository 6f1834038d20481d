//! Observations in a run at scale: responses and events of nodes, joins and stops of processes, and periodic checks.

use super::measurement::{milliseconds, ScaleEvent};
use super::{start_time, CHECK_INTERVAL, SETTLE_TIME, START_LIMIT, WIDE_ID};
use crate::fault::{Time, SECOND};
use crate::fleet::{Event, Simulation};
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Version};
use tansy_fleet_node::{Command, FleetEvent, RequestRejection};
use tansy_membership::MembershipEvent;

/// Minimum delay before an operator repeats a rejected request; the maximum is twice as long.
const MIN_RETRY_DELAY: Time = SECOND / 2;

/// The meaning of a response for a requested change.
enum ChangeResponse {
    Announced(Version),
    /// Accepted as a scope change, which has no version.
    Accepted,
    /// Rejected because of another pending change or too many waiting requests.
    Busy,
    Failed,
    /// A response that does not concern the change.
    Unrelated,
}

impl ChangeResponse {
    fn of(outcome: &Result<ApplyOutcome, RequestRejection>) -> ChangeResponse {
        match outcome {
            Ok(ApplyOutcome::Announced(version) | ApplyOutcome::Duplicate(version)) => {
                ChangeResponse::Announced(*version)
            }
            Ok(ApplyOutcome::ScopesChanged { rejected, .. }) if rejected.is_empty() => {
                ChangeResponse::Accepted
            }
            Ok(_) => ChangeResponse::Unrelated,
            Err(
                RequestRejection::Log(
                    EntryRejection::ChangeInProgress { .. }
                    | EntryRejection::StaleBase { .. }
                    | EntryRejection::ScopeChangeInProgress { .. }
                    | EntryRejection::StaleScopeBase { .. },
                )
                | RequestRejection::Busy,
            ) => ChangeResponse::Busy,
            Err(_) => ChangeResponse::Failed,
        }
    }
}

impl Simulation<'_> {
    /// Schedules the first periodic check, if the run needs checks.
    pub(crate) fn schedule_checks(&mut self) {
        if self.scale.is_some() || self.directories.is_some() {
            self.schedule(CHECK_INTERVAL, Event::Scale(ScaleEvent::Check));
        }
    }

    /// Handles an event of a run at scale.
    pub(crate) fn on_scale_event(&mut self, event: ScaleEvent) {
        match event {
            ScaleEvent::Check => self.check_fleet(),
            ScaleEvent::Begin => self.begin_measurement(),
            ScaleEvent::RequestChange { change, attempt } => self.request_change(change, attempt),
            ScaleEvent::SetUpScopes => self.set_up_scopes(),
            ScaleEvent::Requests { process, scopes } => self.request_skewed(process, scopes),
            ScaleEvent::PartitionBegins => self.begin_partition(),
            ScaleEvent::PartitionEnds => self.end_partition(),
            ScaleEvent::FailureBegins => self.begin_failure(),
        }
    }

    /// Processes the responses of a node to operators, and its events.
    pub(crate) fn on_scale_command(&mut self, index: usize, command: &Command) {
        let Some(scale) = &mut self.scale else {
            return;
        };
        match command {
            Command::Respond { request, outcome } if *request > 0 => {
                let change = *request as usize - 1;
                self.on_change_response(change, ChangeResponse::of(outcome));
            }
            Command::Notify(FleetEvent::ChangeAbandoned { version, .. })
                if index < self.options.voters =>
            {
                if let Some(change) = scale.versions.get(&Version(*version)).copied() {
                    scale.on_abandoned(change);
                }
            }
            Command::Notify(FleetEvent::Membership(event)) => self.on_membership_event(event),
            _ => {}
        }
    }

    fn on_change_response(&mut self, index: usize, response: ChangeResponse) {
        let Some(scale) = &mut self.scale else {
            return;
        };
        let Some(change) = scale.changes.get_mut(index) else {
            return;
        };
        match response {
            ChangeResponse::Announced(version) => {
                change.version = Some(version);
                scale.versions.insert(version, index);
                return;
            }
            ChangeResponse::Accepted => {
                // Scope changes have no version; version 0 marks the change as accepted.
                change.version = Some(Version(0));
                return;
            }
            ChangeResponse::Unrelated => return,
            ChangeResponse::Busy => scale.rejected += u64::from(change.version.is_none()),
            ChangeResponse::Failed => {}
        }
        change.attempts += 1;
        let event = ScaleEvent::RequestChange {
            change: index,
            attempt: change.attempts,
        };
        let wait = MIN_RETRY_DELAY + self.rng.i64(0..MIN_RETRY_DELAY);
        self.schedule(self.now + wait, Event::Scale(event));
    }

    /// Measures how long gossip takes to detect a process, once the measurement has begun.
    fn on_membership_event(&mut self, event: &MembershipEvent) {
        let Some(scale) = &mut self.scale else {
            return;
        };
        let Some(began) = scale.measurement_start else {
            return;
        };
        match event {
            MembershipEvent::Up(node) => {
                let process = &self.processes[(node.id & !WIDE_ID) as usize - 1];
                if process.started > began {
                    let duration = milliseconds(self.now - process.started);
                    scale.durations.detected_up.push(duration);
                }
            }
            MembershipEvent::Down(node) => {
                if let Some(ended) = scale.ended.get(&node.id) {
                    let duration = milliseconds(self.now - ended);
                    scale.durations.detected_down.push(duration);
                }
            }
        }
    }

    /// Handles the first lease and session of a process since its start.
    pub(crate) fn on_join(&mut self, index: usize) {
        let after = self.now - self.processes[index].started;
        let Some(scale) = &mut self.scale else {
            return;
        };
        scale.record_join(after);
        let scenario = &scale.scenario;
        let restarted = scale.measurement_start.is_some()
            && (scenario.zones > 0 || scenario.rolling_batches > 0);
        if restarted {
            self.schedule_requests(index);
        }
    }

    /// Handles the end of a process; `notified` tells whether it notified the others.
    pub(crate) fn on_process_end(&mut self, index: usize, notified: bool) {
        let Some(node) = self.processes[index].node.as_ref() else {
            return;
        };
        let node = node.config().node.clone();
        if let Some(scale) = &mut self.scale {
            scale.ended.insert(node.id, self.now);
        }
        if let Some(directories) = &mut self.directories {
            directories.on_end(self.now, index, node, notified);
        }
    }

    /// Performs a periodic check of the fleet.
    fn check_fleet(&mut self) {
        let next = self.now + CHECK_INTERVAL;
        self.schedule(next, Event::Scale(ScaleEvent::Check));
        self.update_directories();
        self.advance_failure();
        if self.check_joined() {
            return;
        }
        self.check_healed();
        self.check_freed();
    }

    fn update_directories(&mut self) {
        let Some(directories) = &mut self.directories else {
            return;
        };
        if !directories.update(&self.network, self.now) {
            return;
        }
        for (index, process) in self.processes.iter_mut().enumerate() {
            if let Some(node) = &mut process.node {
                node.update_members(directories.directory(&self.network, index));
            }
        }
    }

    /// Detects that all front ends have joined or that the time limit has passed; returns whether this happened just now.
    fn check_joined(&mut self) -> bool {
        let now = self.now;
        let started_at = start_time(self.options.front_ends);
        let Some(scale) = &mut self.scale else {
            return false;
        };
        let is_late = now > started_at + START_LIMIT;
        let all_joined = || self.processes.iter().all(|process| process.joined);
        if scale.all_joined_at.is_some() || now <= started_at || !(is_late || all_joined()) {
            return false;
        }
        scale.all_joined_at = Some(now);
        if is_late {
            let missing = self.processes.iter().filter(|p| !p.joined).count();
            scale.notes.push(format!(
                "{missing} front ends did not act {} s after the start",
                now / SECOND
            ));
        }
        let (after, next) = if scale.scenario.scoped_functions > 0 {
            (0, ScaleEvent::SetUpScopes)
        } else {
            (SETTLE_TIME, ScaleEvent::Begin)
        };
        self.schedule(now + after, Event::Scale(next));
        true
    }

    /// Whether all running processes have a lease and a session.
    pub(super) fn all_leased(&self) -> bool {
        let mut running = self.processes.iter().filter(|p| p.is_running());
        running.all(|process| process.is_leased(self.now))
    }

    /// Measures the time from the end of a partition until all front ends have recovered.
    fn check_healed(&mut self) {
        let healing = self.scale.as_ref().and_then(|scale| scale.healing_since);
        let Some(since) = healing.filter(|_| self.all_leased()) else {
            return;
        };
        let Some(scale) = &mut self.scale else {
            return;
        };
        if let Some(partition) = &mut scale.partition {
            partition.healed_ms = Some(milliseconds(self.now - since));
        }
        scale.healing_since = None;
    }

    /// Measures the time until permanently crashed front ends are removed from the roster.
    fn check_freed(&mut self) {
        let Some(scale) = &mut self.scale else {
            return;
        };
        if scale.dead_on_roster.is_empty() {
            return;
        }
        let leader_log = self.processes[..self.disks.len()]
            .iter()
            .find_map(|process| process.node.as_ref()?.log());
        if let Some(log) = leader_log {
            let freed = scale
                .dead_on_roster
                .extract_if(.., |dead| !log.has_member(dead.member));
            let durations = freed.map(|dead| milliseconds(self.now - dead.ended));
            scale.durations.freed.extend(durations);
        }
    }
}
