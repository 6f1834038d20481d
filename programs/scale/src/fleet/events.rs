//! Waiting for what child processes report.

use super::process::{FrontEndEvent, InForce, ProcessEvent};
use super::{Join, TestFleet};
use crate::hollow::protocol::HollowEvent;
use crate::Error;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How often signals are checked for while nothing is reported.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the event loop on which signals arrive.
const SIGNAL_POLL: Duration = Duration::from_micros(200);

impl TestFleet {
    /// Waits until all front ends that run act.
    pub fn wait_until_all_joined(&mut self, end: Instant) -> Result<(), Error> {
        self.wait_until(end, "all front ends to act", |fleet| {
            fleet.joined.len() == fleet.running.len()
        })
    }

    /// Waits until a condition holds, at most until this time.
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

    /// Lets this time pass while reports are handled.
    pub fn run_for(&mut self, span: Duration) -> Result<(), Error> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let remaining = end.saturating_duration_since(Instant::now());
            self.poll_events(POLL_INTERVAL.min(remaining))?;
        }
        Ok(())
    }

    /// Handles all reports that are there, or the first one within this time and those that are there by then.
    pub fn poll_events(&mut self, span: Duration) -> Result<(), Error> {
        let mut next = self.events.recv_timeout(span).ok();
        while let Some(event) = next {
            self.on_event(event);
            next = self.events.try_recv().ok();
        }
        self.client.wait(SIGNAL_POLL);
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
        // Reports of a process that was killed, or replaced since, are late.
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
