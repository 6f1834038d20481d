//! The start of the measurement, the events of the scenario, and requested changes.

use super::measurement::{DeadMember, RequestedChange, ScaleEvent, Traffic};
use super::ScaleScenario;
use crate::fault::{Time, SECOND};
use crate::fleet::{Event, Simulation};
use tansy_agreement::compatibility::Value;
use tansy_agreement::log::LogEntry;

/// Time after which an operator repeats an unanswered request.
const RESPONSE_TIMEOUT: Time = 5 * SECOND;

impl ScaleScenario {
    fn hours(&self) -> f64 {
        self.measured_span as f64 / (3600 * SECOND) as f64
    }

    /// The times at which changes are requested, in ascending order.
    fn change_times(&self, rng: &mut fastrand::Rng, now: Time) -> Vec<Time> {
        let count = (self.changes_per_hour * self.hours()).round() as usize;
        let mut times: Vec<Time> = (0..count)
            .map(|_| now + rng.i64(0..self.measured_span * 4 / 5 + 1))
            .collect();
        times.extend(std::iter::repeat_n(
            now + self.measured_span * 3 / 10,
            self.burst,
        ));
        if self.even_steps && self.changes_per_hour > 0.0 {
            let step = 3600.0 * SECOND as f64 / self.changes_per_hour;
            let count = (self.measured_span as f64 * 0.8 / step) as usize;
            times = (0..count)
                .map(|index| now + (step * (index as f64 + 0.5)) as Time)
                .collect();
        }
        times.sort_unstable();
        times
    }

    /// Whether a change is of a strict field. The first change of each cycle is plain, unless all changes are strict.
    fn is_strict(&self, change: usize) -> bool {
        self.strict_every > 0 && change % self.strict_every == self.strict_every / 2
    }
}

impl Simulation<'_> {
    /// Begins the measurement and schedules the events of the scenario.
    pub(super) fn begin_measurement(&mut self) {
        let now = self.now;
        self.account_all();
        for process in &mut self.processes {
            process.uptime = 0;
            process.without_lease = 0;
            process.without_session = 0;
        }
        let Some(scale) = &mut self.scale else {
            return;
        };
        let scenario = scale.scenario.clone();
        scale.measurement_start = Some(now);
        scale.end = now + scenario.measured_span;
        scale.traffic.fill(Traffic::default());
        let mut events = self.draw_changes(&scenario);
        let mut non_voters: Vec<usize> = (self.options.voters..self.options.front_ends).collect();
        self.rng.shuffle(&mut non_voters);
        events.extend(self.crash_permanently(&mut non_voters, scenario.permanent_crashes));
        events.extend(self.draw_restarts(&scenario, &non_voters));
        let fifth = now + scenario.measured_span / 5;
        if scenario.partitioned_regions > 0 && scenario.partition_span > 0 {
            let until = fifth + scenario.partition_span;
            self.network
                .partition_regions(scenario.partitioned_regions, fifth, until);
            events.push((fifth, Event::Scale(ScaleEvent::PartitionBegins)));
            events.push((until, Event::Scale(ScaleEvent::PartitionEnds)));
        }
        if scenario.rack_size > 0 || scenario.zones > 0 || scenario.rolling_batches > 0 {
            events.push((fifth, Event::Scale(ScaleEvent::FailureBegins)));
        }
        for (at, event) in events {
            self.schedule(at, event);
        }
    }

    fn draw_changes(&mut self, scenario: &ScaleScenario) -> Vec<(Time, Event)> {
        let times = scenario.change_times(&mut self.rng, self.now);
        let Some(scale) = &mut self.scale else {
            return Vec::new();
        };
        let mut events = Vec::new();
        for (index, requested) in times.into_iter().enumerate() {
            scale.changes.push(RequestedChange {
                is_strict: scenario.is_strict(index),
                requested,
                version: None,
                is_over: false,
                attempts: 0,
                scope: None,
                waits_for_dead: false,
            });
            let event = ScaleEvent::RequestChange {
                change: index,
                attempt: 0,
            };
            events.push((requested, Event::Scale(event)));
        }
        events
    }

    /// Schedules the permanent crash of the first `count` of these front ends and removes them from the list.
    fn crash_permanently(
        &mut self,
        non_voters: &mut Vec<usize>,
        count: usize,
    ) -> Vec<(Time, Event)> {
        let now = self.now;
        let mut events = Vec::new();
        for process in non_voters.drain(..count.min(non_voters.len())) {
            let member = self.member(process);
            if let Some(scale) = &mut self.scale {
                let dead = member.map(|member| DeadMember { member, ended: now });
                scale.dead_on_roster.extend(dead);
                scale.dead_front_ends.push(process);
            }
            events.push((now, Event::Stop { process }));
        }
        events
    }

    /// Draws crashes of front ends that restart some seconds later.
    fn draw_restarts(
        &mut self,
        scenario: &ScaleScenario,
        non_voters: &[usize],
    ) -> Vec<(Time, Event)> {
        let mut events = Vec::new();
        if non_voters.is_empty() {
            return events;
        }
        let count = (scenario.restarts_per_hour * scenario.hours()).round() as usize;
        for _ in 0..count {
            let at = self.now + self.rng.i64(0..scenario.measured_span * 9 / 10 + 1);
            let process = non_voters[self.rng.usize(0..non_voters.len())];
            let back = at + self.rng.i64(2 * SECOND..10 * SECOND);
            events.push((at, Event::Stop { process }));
            events.push((back, Event::Start { process }));
        }
        events
    }

    /// Requests a change from the leader, unless it was answered or requested again since.
    pub(super) fn request_change(&mut self, index: usize, attempt: u64) {
        let Some(scale) = &mut self.scale else {
            return;
        };
        let change = &mut scale.changes[index];
        if change.attempts != attempt || change.version.is_some() || change.is_over {
            return;
        }
        let is_first_request = attempt == 0 && scale.healing_since.is_none();
        if let (Some(partition), true) = (&mut scale.partition, is_first_request) {
            if change.is_strict {
                partition.strict_requested += 1;
            } else {
                partition.plain_requested += 1;
            }
        }
        change.attempts += 1;
        let needs_scope = change.scope.is_none();
        let is_strict = change.is_strict;
        // An unanswered request is repeated with the same id, which makes it idempotent.
        let event = ScaleEvent::RequestChange {
            change: index,
            attempt: change.attempts,
        };
        self.schedule(self.now + RESPONSE_TIMEOUT, Event::Scale(event));
        if self.scopes.is_none() {
            return self.request_version(index, is_strict);
        }
        if needs_scope {
            self.draw_changed_scope(index);
        }
        let leader = self.leader().map(|(leader, _)| leader);
        if let (Some(leader), Some(transaction)) = (leader, self.scope_transaction(index)) {
            let id = transaction.id;
            let transactions = vec![transaction];
            self.request(leader, id, LogEntry::UpdateScopes { transactions });
        }
    }

    /// Requests a version with one changed field from the leader.
    fn request_version(&mut self, index: usize, is_strict: bool) {
        let Some((leader, state)) = self.leader() else {
            return;
        };
        let (path, value) = if is_strict {
            ("classes.chat.group", Value::Text(format!("group-{index}")))
        } else {
            ("front.siblings", Value::Int(1000 + index as i64))
        };
        let mut fields = state.in_force.fields.clone();
        fields.insert(path.into(), value);
        let id = index as u64 + 1;
        let entry = LogEntry::Propose {
            id,
            base: state.latest(),
            fields,
            reason: "a change".into(),
        };
        self.request(leader, id, entry);
    }
}
