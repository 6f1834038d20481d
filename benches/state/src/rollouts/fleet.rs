//! Simulated front ends that answer a rollout controller.

use super::{plan, NEW_LABEL, RESTART_TIME};
use crate::inputs::CALLS_PER_SECOND;
use prost::Message;
use std::collections::BTreeMap;
use tansy_fleet_wire::{decode_counters, pb};
use tansy_rollout::{FrontEndObservation, Target, Time, SECOND};

/// Number of distinct latencies that a front end reports for each class.
const LATENCIES_PER_CLASS: u64 = 40;
/// Mean share of failed calls, varied by up to 10% at random.
const FAILURE_SHARE: f64 = 0.001;
/// Uptime of the front ends when the rollout begins.
const INITIAL_UPTIME: Time = 3600 * SECOND;
/// Memory that a front end reports.
const MEMORY_BYTES: u64 = 30_000_000;

/// The state of a front end that its replies are made from.
pub(super) struct FrontEnd {
    target: Target,
    pub is_new: bool,
    pub is_ready: bool,
    started: Time,
    restarts_at: Option<Time>,
}

impl FrontEnd {
    fn new(target: Target) -> FrontEnd {
        FrontEnd {
            target,
            is_new: false,
            is_ready: true,
            started: -INITIAL_UPTIME,
            restarts_at: None,
        }
    }

    /// The encoded reply with the front end's counters.
    fn reply(&self, now: Time, classes: usize, rng: &mut fastrand::Rng) -> Vec<u8> {
        let uptime = now - self.started;
        let calls = CALLS_PER_SECOND * uptime as f64 / 1e6 / classes as f64;
        let classes = (0..classes).map(|class| class_counters(class, calls, rng));
        let label = if self.is_new { NEW_LABEL } else { "old" };
        let reply = pb::CountsReply {
            name: self.target.name.clone(),
            zone: self.target.zone.clone(),
            incarnation: self.started.unsigned_abs(),
            uptime,
            ready: self.is_ready,
            label: label.into(),
            memory_bytes: MEMORY_BYTES,
            classes: classes.collect(),
            is_voter: self.target.is_voter,
            ..Default::default()
        };
        reply.encode_to_vec()
    }
}

fn class_counters(class: usize, calls: f64, rng: &mut fastrand::Rng) -> pb::ClassCounters {
    let failed = (calls * FAILURE_SHARE * (0.9 + 0.2 * rng.f64())) as u64;
    let served = calls as u64 - failed.min(calls as u64);
    let by_latency = served / LATENCIES_PER_CLASS;
    let latencies: Vec<u64> = (1..=LATENCIES_PER_CLASS)
        .map(|nth| 4_000 + nth * nth * 100)
        .collect();
    pb::ClassCounters {
        class: format!("class-{class}"),
        requests: calls as u64,
        served: by_latency * LATENCIES_PER_CLASS,
        failed,
        value_requested: calls,
        value_served: calls - failed as f64,
        latency_counts: vec![by_latency; latencies.len()],
        latencies,
        ..Default::default()
    }
}

/// All front ends of the fleet.
pub(super) struct RolloutFleet {
    front_ends: Vec<FrontEnd>,
    indices: BTreeMap<String, usize>,
    classes: usize,
    rng: fastrand::Rng,
}

impl RolloutFleet {
    /// Creates front ends that run the old program and have been up for [`INITIAL_UPTIME`].
    pub fn new(front_ends: usize, classes: usize, seed: u64) -> RolloutFleet {
        let targets = plan(front_ends).stages.into_iter().flatten();
        let front_ends: Vec<FrontEnd> = targets.map(FrontEnd::new).collect();
        let indices = front_ends
            .iter()
            .enumerate()
            .map(|(index, front_end)| (front_end.target.name.clone(), index))
            .collect();
        RolloutFleet {
            front_ends,
            indices,
            classes,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the front end with this name.
    pub fn get(&self, name: &str) -> Option<&FrontEnd> {
        let index = self.indices.get(name)?;
        self.front_ends.get(*index)
    }

    /// Restarts a front end with the new program.
    pub fn restart(&mut self, name: &str, now: Time) {
        let index = self.indices.get(name);
        if let Some(front_end) = index.and_then(|index| self.front_ends.get_mut(*index)) {
            front_end.is_ready = false;
            front_end.restarts_at = Some(now + RESTART_TIME);
        }
    }

    /// Completes the restarts that are due by `now`.
    pub fn pass_time(&mut self, now: Time) {
        for front_end in &mut self.front_ends {
            let restarted = front_end.restarts_at.take_if(|at| *at <= now);
            if let Some(started) = restarted {
                front_end.is_ready = true;
                front_end.is_new = true;
                front_end.started = started;
            }
        }
    }

    /// The encoded replies of the ready front ends.
    pub fn replies(&mut self, now: Time) -> Vec<Vec<u8>> {
        let (classes, rng) = (self.classes, &mut self.rng);
        let ready = self.front_ends.iter().filter(|f| f.is_ready);
        ready
            .map(|front_end| front_end.reply(now, classes, rng))
            .collect()
    }
}

/// Decodes replies as the controller does.
pub(super) fn observe(replies: &[Vec<u8>]) -> Vec<FrontEndObservation> {
    let observation = |bytes: &Vec<u8>| {
        let reply = pb::CountsReply::decode(bytes.as_slice()).ok()?;
        let is_new = reply.label == NEW_LABEL;
        decode_counters(reply, is_new).ok()
    };
    replies.iter().filter_map(observation).collect()
}
