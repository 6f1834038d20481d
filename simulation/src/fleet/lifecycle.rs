//! Starting, stopping, suspending and resuming processes.

use super::process::{address_of, draw_clock_offset, id_of};
use super::{settings, InjectedDefect, Simulation};
use tansy_agreement::compatibility::Compatibility;
use tansy_agreement::lease::LeaseTiming;
use tansy_fleet_node::{FleetNode, FleetNodeConfig, RecoveredState};
use tansy_membership::{GossipTiming, NodeId};

impl Simulation<'_> {
    /// Starts a process with the state on its disk, unless it is already running.
    pub(super) fn start(&mut self, index: usize) {
        if self.processes[index].node.is_some() {
            return;
        }
        let seed = self.rng.u64(..);
        let process = &mut self.processes[index];
        process.incarnation += 1;
        process.accounted = self.now;
        process.started = self.now;
        process.joined = false;
        // Monotonic clocks restart at an arbitrary value.
        process.clock_offset = draw_clock_offset(&mut self.rng);
        let local_now = process.local_time(self.now);
        let functions = self
            .options
            .scale
            .as_ref()
            .map_or(0, |scenario| scenario.functions);
        let recovered = self.disks.get(index).map(|disk| RecoveredState {
            persistent: disk.persisted.clone(),
            initial_fields: settings::initial_fields(functions),
        });
        match FleetNode::new(self.node_config(index, seed), recovered, local_now) {
            Ok(mut node) => {
                if let Some(directories) = &mut self.directories {
                    node.update_members(directories.directory(&self.network, index));
                    directories.on_start(self.now, index, node.config().node.clone());
                }
                self.processes[index].node = Some(node);
            }
            Err(error) => return self.report_violation(index, error.to_string()),
        }
        self.step_node(index, FleetNode::tick);
    }

    fn node_config(&self, index: usize, seed: u64) -> FleetNodeConfig {
        let options = self.options;
        let wide = options.scale.is_some();
        let incarnation = self.processes[index].incarnation;
        FleetNodeConfig {
            fleet: 1,
            name: format!("f{index}"),
            node: NodeId::new(id_of(index, wide), incarnation, address_of(index)),
            voters: (0..options.voters)
                .map(|voter| (id_of(voter, wide), address_of(voter)))
                .collect(),
            lease: options.lease,
            session: LeaseTiming {
                span: options.session,
                ..options.lease
            },
            gossip: GossipTiming {
                expected_members: options.front_ends as u32,
                ..GossipTiming::default()
            },
            schema: if index < self.disks.len() {
                settings::schema_with(self.strict_compatibility())
            } else {
                settings::schema()
            },
            seed,
        }
    }

    /// The compatibility that candidates assign to strict fields.
    fn strict_compatibility(&self) -> Compatibility {
        if self.options.has_defect(InjectedDefect::IgnoredRoster) {
            Compatibility::Free
        } else {
            Compatibility::Strict
        }
    }

    /// Stops a process; `notified` tells whether it notified the others first.
    pub(super) fn stop(&mut self, index: usize, notified: bool) {
        self.account(index);
        self.on_process_end(index, notified);
        let process = &mut self.processes[index];
        process.node = None;
        process.paused = None;
        process.scheduled_deadline = crate::fault::Time::MAX;
        if let Some(disk) = self.disks.get_mut(index) {
            // A random prefix of the unpersisted records survives the crash.
            let survives = self.rng.usize(0..=disk.written.len());
            for _ in 0..survives {
                disk.persist_next();
            }
            disk.written.clear();
            disk.unacknowledged = 0;
        }
    }

    /// Suspends a process; no effect if it is already suspended.
    pub(super) fn pause(&mut self, index: usize) {
        self.account(index);
        let process = &mut self.processes[index];
        if process.node.is_none() {
            process.paused = None;
        } else {
            process.paused.get_or_insert_default();
        }
    }

    /// Resumes a process: it first handles the records persisted meanwhile, then the queued messages.
    pub(super) fn resume(&mut self, index: usize) {
        let messages = self.processes[index].paused.take().unwrap_or_default();
        let disk = self.disks.get_mut(index);
        let persisted = disk.map_or(0, |disk| std::mem::take(&mut disk.unacknowledged));
        for _ in 0..persisted {
            self.acknowledge_persisted(index);
        }
        for message in messages {
            self.receive(index, message);
        }
        self.step_node(index, FleetNode::tick);
    }

    /// Persists the next record of a process and notifies it. The disk keeps writing while the process is suspended; the
    /// notification is then deferred until it resumes.
    pub(super) fn on_persisted(&mut self, index: usize, incarnation: u64) {
        let process = &self.processes[index];
        if process.incarnation != incarnation || process.node.is_none() {
            return;
        }
        self.disks[index].persist_next();
        if self.options.has_defect(InjectedDefect::UnpersistedSends) {
            return;
        }
        if self.processes[index].is_running() {
            self.acknowledge_persisted(index);
        } else {
            self.disks[index].unacknowledged += 1;
        }
    }

    fn acknowledge_persisted(&mut self, index: usize) {
        self.step_node(index, |node, now, commands| {
            node.on_persisted(now, Ok(()), commands)
        });
    }

    /// Updates the uptime totals of a process.
    pub(crate) fn account(&mut self, index: usize) {
        let now = self.now;
        self.processes[index].account(now);
    }
}
