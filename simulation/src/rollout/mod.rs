//! Simulation of staged rollouts of a change that may cause a regression.
//!
//! The rollout controller and the canary analysis are the production code. The request counters that they read are drawn
//! once a second from distributions instead of being simulated request by request: each front end has its own request rate
//! and loss, and losses that a zone shares vary over time. This makes it cheap to simulate enough rollouts to estimate the
//! error rates of the analysis.

mod fixed_rule;
mod front_ends;
mod options;
mod summary;

pub use options::{plan, DecisionRule, Regression, RolloutOptions};
pub use summary::{many, RolloutSummary};

use fixed_rule::FixedRule;
use front_ends::{FrontEnds, TrafficConditions};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::Serialize;
use tansy_rollout::{
    FrontEndObservation, Rollout, RolloutChange, RolloutController, RolloutEntry, RolloutPhase,
    SECOND,
};

/// A rollout that takes longer than this, in seconds, ends undecided.
const MAX_ROLLOUT_SECONDS: u64 = 20_000;

/// The result of a simulated rollout.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RolloutResult {
    /// The outcome: `done`, `stopped` or `undecided`.
    pub end: String,
    /// The reason recorded in the rollout.
    #[serde(rename = "why")]
    pub reason: String,
    /// The stage in which the rollout ended, counted from 1.
    pub stage: usize,
    /// Seconds from the start of the rollout to the decision.
    pub seconds: u64,
    /// Requests received by changed front ends.
    pub exposed: f64,
    /// Requests received by all front ends.
    #[serde(rename = "calls")]
    pub requests: f64,
}

/// Simulates one rollout.
pub fn run(options: &RolloutOptions, seed: u64) -> RolloutResult {
    let mut simulation = RolloutSimulation::new(options, seed);
    while !simulation.rollout.has_ended() && simulation.seconds < MAX_ROLLOUT_SECONDS {
        simulation.advance_one_second();
        if simulation.rollout.phase == RolloutPhase::RollingBack {
            break;
        }
    }
    simulation.into_result()
}

/// A rollout in progress.
struct RolloutSimulation<'a> {
    options: &'a RolloutOptions,
    rng: StdRng,
    front_ends: FrontEnds,
    rollout: Rollout,
    controller: RolloutController,
    fixed_rule: FixedRule,
    /// Seconds since the start of the rollout.
    seconds: u64,
    /// The second in which the analysis of the first stage began.
    first_analysed: Option<i64>,
    requests: f64,
    exposed: f64,
}

impl<'a> RolloutSimulation<'a> {
    fn new(options: &'a RolloutOptions, seed: u64) -> RolloutSimulation<'a> {
        let mut rng = StdRng::seed_from_u64(seed);
        let front_ends = FrontEnds::draw(options, &mut rng);
        let change = RolloutChange::Program {
            label: "new".into(),
            path: "new".into(),
        };
        RolloutSimulation {
            options,
            rng,
            front_ends,
            rollout: Rollout::begin(1, change, plan(options), "a play".into())
                .expect("the plan of the options is valid"),
            controller: RolloutController::new("s".into()),
            fixed_rule: FixedRule::default(),
            seconds: 0,
            first_analysed: None,
            requests: 0.0,
            exposed: 0.0,
        }
    }

    fn advance_one_second(&mut self) {
        self.seconds += 1;
        let now = self.seconds as i64;
        let conditions = self.conditions(now);
        for class_requests in self
            .front_ends
            .serve_one_second(&mut self.rng, now, &conditions)
        {
            self.requests += class_requests.requests as f64;
            self.exposed += if class_requests.changed {
                class_requests.requests as f64
            } else {
                0.0
            };
        }
        self.poll_controller(now);
        if self.rollout.phase == RolloutPhase::Analysing && self.first_analysed.is_none() {
            self.first_analysed = Some(now);
        }
    }

    /// The conditions that affect all traffic in this second.
    fn conditions(&self, now: i64) -> TrafficConditions {
        let since_analysed = self.first_analysed.map(|at| now - at);
        let zone_lost = self.options.regression == Regression::ZoneLost
            && since_analysed.is_some_and(|since| (30..90).contains(&since));
        let doubled = self.options.regression == Regression::Doubles
            && since_analysed.is_some_and(|since| since >= 30);
        TrafficConditions {
            regression: self.options.regression,
            lost_zone: zone_lost.then_some(0),
            load: if doubled { 2.0 } else { 1.0 },
        }
    }

    /// Applies the entries that the controller decides on, of which there may be several in one second.
    fn poll_controller(&mut self, now: i64) {
        let observations = self.front_ends.observations(now);
        for _ in 0..4 {
            let polled = self
                .controller
                .poll(now * SECOND, &self.rollout, &observations);
            let Some(entry) = polled else {
                break;
            };
            let Some(entry) = self.decide(&observations, now, entry) else {
                continue;
            };
            if let RolloutEntry::Release { name, .. } = &entry {
                let changed = self.rollout.phase != RolloutPhase::RollingBack;
                self.front_ends.restart(name, changed);
            }
            // A rejected entry has no effect, as in production.
            let _ = self.rollout.apply(entry);
        }
    }

    /// The controller's entry, replaced by that of the fixed rule if the options choose one.
    fn decide(
        &mut self,
        observations: &[FrontEndObservation],
        now: i64,
        entry: RolloutEntry,
    ) -> Option<RolloutEntry> {
        if self.options.rule == DecisionRule::Verdict {
            return Some(entry);
        }
        self.fixed_rule
            .entry(self.options, &self.rollout, observations, now, entry)
    }

    fn into_result(self) -> RolloutResult {
        let end = match self.rollout.phase {
            RolloutPhase::Completed => "done",
            RolloutPhase::RollingBack | RolloutPhase::RolledBack => "stopped",
            _ => "undecided",
        };
        RolloutResult {
            end: end.into(),
            reason: self.rollout.reason,
            stage: self.rollout.stage + 1,
            seconds: self.seconds,
            exposed: self.exposed,
            requests: self.requests,
        }
    }
}
