//! Performs the steps of the script.

use super::cluster::Cluster;
use super::script::ScriptStep;
use crate::audit::record_marks;
use crate::error::ScenarioError;
use rustix::process::Signal;
use tansy_audit::{Link, Mark};

impl Cluster {
    /// Performs a step; proposals are left to the operator.
    pub fn perform(&mut self, step: ScriptStep) -> Result<(), ScenarioError> {
        match step {
            ScriptStep::Propose => Ok(()),
            ScriptStep::Kill(front) => self.kill(front),
            ScriptStep::Restart(front) => self.restart(front),
            ScriptStep::Stop(front) => self.stop(front),
            ScriptStep::Resume(front) => self.resume(front),
            ScriptStep::SetLinkPaused(from, to, paused) => self.set_link_paused(from, to, paused),
            ScriptStep::Drain(front, worker) => self.drain(front, worker),
            ScriptStep::EndDrain(worker) => self.end_drain(worker),
        }
    }

    fn kill(&mut self, front: usize) -> Result<(), ScenarioError> {
        let Some(mut gateway) = self.gateways[front].take() else {
            return Ok(());
        };
        gateway.kill();
        self.killed += 1;
        self.drains.on_killed(front);
        self.mark(Mark::Killed { front })
    }

    fn restart(&mut self, front: usize) -> Result<(), ScenarioError> {
        if self.gateways[front].is_none() {
            let addresses = self.gateway_addresses[front];
            self.gateways[front] = Some(self.start_gateway(front, addresses)?);
            self.drains.on_disturbed(front);
        }
        Ok(())
    }

    fn stop(&mut self, front: usize) -> Result<(), ScenarioError> {
        let Some(gateway) = &self.gateways[front] else {
            return Ok(());
        };
        gateway.signal(Signal::STOP)?;
        self.drains.on_stopped(front);
        self.mark(Mark::Stopped { front })
    }

    fn resume(&mut self, front: usize) -> Result<(), ScenarioError> {
        let Some(gateway) = &self.gateways[front] else {
            return Ok(());
        };
        record_marks(
            &[Mark::Resumed { front }],
            |mark| self.mark(mark),
            || Ok(gateway.signal(Signal::CONT)?),
        )?;
        self.drains.on_resumed(front);
        Ok(())
    }

    fn set_link_paused(
        &mut self,
        from: usize,
        to: usize,
        paused: bool,
    ) -> Result<(), ScenarioError> {
        self.drains.on_disturbed(from);
        self.drains.on_disturbed(to);
        self.proxy.set_paused(Link::Peer { from, to }, paused)
    }

    fn drain(&mut self, front: usize, worker: usize) -> Result<(), ScenarioError> {
        self.endpoint_lists[front][worker].draining = Some(true);
        record_marks(
            &[Mark::Draining { front, worker }],
            |mark| self.mark(mark),
            || self.write_list(front),
        )?;
        self.drains.begin(worker);
        Ok(())
    }

    fn end_drain(&mut self, worker: usize) -> Result<(), ScenarioError> {
        self.drains.end(worker);
        for list in &mut self.endpoint_lists {
            let listed = &mut list[worker];
            listed.draining = Some(false);
            listed.incarnation = listed.incarnation.map(|incarnation| incarnation + 1);
        }
        // The first front end that reads its list notifies its peers before their lists are written: all are marked first.
        let front_ends = 0..self.endpoint_lists.len();
        let marks: Vec<Mark> = front_ends
            .clone()
            .map(|front| Mark::DrainEnded { front, worker })
            .collect();
        record_marks(
            &marks,
            |mark| self.mark(mark),
            || {
                front_ends
                    .clone()
                    .try_for_each(|front| self.write_list(front))
            },
        )
    }

    /// Records marks for the front ends that must know of a drain from now on.
    pub fn mark_known_drains(&mut self) -> Result<(), ScenarioError> {
        let gateways = &self.gateways;
        let members = self.options.members();
        let running: Vec<usize> = members.filter(|front| gateways[*front].is_some()).collect();
        let marks = self.drains.new_marks(&running);
        marks.into_iter().try_for_each(|mark| self.mark(mark))
    }
}
