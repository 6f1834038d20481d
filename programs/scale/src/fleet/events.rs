//! Waits for reports of child processes and applies them.

use super::process::{FrontEndEvent, InForce, ProcessEvent};
use super::{Join, TestFleet};
use crate::hollow::protocol::HollowEvent;
use crate::Error;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time between two checks for signals while no process reports anything.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the client's event loop may receive signals, per check.
const SIGNAL_POLL_TIMEOUT: Duration = Duration::from_micros(200);

impl TestFleet {
    /// Waits until all running front ends have joined.
    pub fn wait_until_all_joined(&mut self, end: Instant) -> Result<(), Error> {
        self.wait_until(end, "all front ends to join", |fleet| {
            fleet.joined.len() == fleet.running.len()
        })
    }

    /// Waits until a condition holds; fails at `end`.
    pub fn wait_until(
        &mut self,
        end: Instant,
        awaited: &'static str,
        condition: impl Fn(&TestFleet) -> bool,
    ) -> Result<(), Error> {
        while !condition(self) {
            if Instant::now() >= end {
                return Err(Error::Timeout {
                    awaited,
                    joined: self.joined.len(),
                    running: self.running.len(),
                });
            }
            self.poll_events(POLL_INTERVAL)?;
        }
        Ok(())
    }

    /// Handles reports for this time.
    pub fn run_for(&mut self, span: Duration) -> Result<(), Error> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let remaining = end.saturating_duration_since(Instant::now());
            self.poll_events(POLL_INTERVAL.min(remaining))?;
        }
        Ok(())
    }

    /// Waits up to `span` for a report, then handles it and all others that have arrived. Fails if the run can't go on.
    pub fn poll_events(&mut self, span: Duration) -> Result<(), Error> {
        let mut next = self.events.recv_timeout(span).ok();
        while let Some(event) = next {
            self.on_event(event);
            next = self.events.try_recv().ok();
        }
        self.client.wait(SIGNAL_POLL_TIMEOUT);
        if self.is_interrupted.load(Ordering::Relaxed) {
            return Err(Error::Interrupted);
        }
        self.failure.take().map_or(Ok(()), Err)
    }

    fn on_event(&mut self, event: ProcessEvent) {
        match event {
            ProcessEvent::Hollow { process, event } => self.on_hollow_event(process, event),
            ProcessEvent::HollowExited { process } => {
                self.failure.get_or_insert(Error::HollowExited(process));
            }
            ProcessEvent::Real {
                index,
                incarnation,
                at,
                event,
            } => self.on_front_end_event(index, incarnation, at, &event),
        }
    }

    fn on_hollow_event(&mut self, index: usize, event: HollowEvent) {
        let Some(process) = self.hollow.get_mut(index) else {
            return;
        };
        match event {
            HollowEvent::Ready(address) => process.address = Some(address),
            HollowEvent::InForce { version, at } => {
                process.in_force = InForce { version, since: at };
            }
            HollowEvent::Counted(counters) => process.counters = Some(counters),
            HollowEvent::Watching { id, subscribers } => {
                if let Some(watch) = self.watches.get_mut(&id) {
                    watch.subscribers.insert(index, subscribers);
                }
            }
            HollowEvent::Applied { id, position, at } => {
                if let Some(watch) = self.watches.get_mut(&id) {
                    watch.applied_at.insert((index, position), at);
                }
            }
            HollowEvent::StaleAdmission {
                front_end,
                function,
            } => {
                let name = self.names.get(front_end as usize).cloned();
                self.failure = Some(Error::StaleAdmission { name, function });
            }
            HollowEvent::Failed(reason) => self.failure = Some(Error::HollowFailed(reason)),
            HollowEvent::Joined {
                front_end,
                started_at,
                at,
            } => self.on_join(front_end, (at - started_at) as f64 / 1e3),
        }
    }

    fn on_front_end_event(
        &mut self,
        index: usize,
        incarnation: u64,
        at: i64,
        event: &FrontEndEvent,
    ) {
        let Some(front_end) = self.real.get_mut(index) else {
            return;
        };
        // Ignores late reports of a process that was killed or restarted since.
        if front_end.incarnation != incarnation || front_end.child.is_none() {
            return;
        }
        let join_ms = front_end.apply(event, at);
        if matches!(event, FrontEndEvent::Exited) {
            let exited = Error::FrontEndExited(self.names[index].clone());
            self.failure.get_or_insert(exited);
        }
        if let Some(ms) = join_ms {
            self.on_join(index as u32, ms);
        }
    }

    fn on_join(&mut self, front_end: u32, ms: f64) {
        self.joined.insert(front_end);
        self.joins.push(Join { front_end, ms });
    }
}
