//! What is agreed on.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tansy_canary::{Measurement, Verdict};

/// Front ends that a roll may have.
const FRONTS: usize = 10_000;
/// Processes that ended by themselves that are remembered.
const FALLEN: usize = 64;

/// A front end of a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// It keeps the agreed log.
    pub seat: bool,
}

/// What happens to a stage that is neither worse nor fine when its longest time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InconclusivePolicy {
    /// It waits for an operator.
    Hold,
    /// The change goes back.
    Back,
    /// The change goes on.
    Pass,
}

/// How a change is to go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// The stages, each with the front ends that it adds.
    pub stages: Vec<Vec<Target>>,
    /// Front ends of one zone that may be away at once.
    pub at_once: usize,
    /// Seconds that a stage lasts at least, and at most.
    pub least: u64,
    /// The same.
    pub longest: u64,
    /// Seconds within which a front end that was let go has to be back and ready.
    pub ready: u64,
    /// Seconds between two looks that are compared.
    pub slice: u64,
    /// The share of all calls' worth that may be lost to the change before it goes back whatever the evidence says.
    pub spend: f64,
    /// See `tansy_canary::Terms`.
    pub error: f64,
    /// The same.
    pub matters: f64,
    /// The same.
    pub accept: f64,
    /// The same.
    pub warm_up: u64,
    /// Megabytes that a front end may take.
    pub memory: u64,
    /// What happens to a stage without a verdict.
    pub undecided: InconclusivePolicy,
}

impl Default for RolloutPlan {
    fn default() -> RolloutPlan {
        RolloutPlan {
            stages: Vec::new(),
            at_once: 1,
            least: 60,
            longest: 1800,
            ready: 60,
            slice: 5,
            spend: 0.01,
            error: 0.01,
            matters: 0.01,
            accept: 0.03,
            warm_up: 10,
            memory: 1024,
            undecided: InconclusivePolicy::Hold,
        }
    }
}

impl RolloutPlan {
    /// What is wrong with it; none: nothing.
    pub fn wrong(&self) -> Option<String> {
        let names: Vec<&String> = self.stages.iter().flatten().map(|p| &p.name).collect();
        let each: BTreeSet<&String> = names.iter().copied().collect();
        let share = |x: f64| x > 0.0 && x < 1.0;
        if names.is_empty() || self.stages.iter().any(Vec::is_empty) {
            Some("a stage without front ends: want one name or more in each stage".into())
        } else if each.len() != names.len() {
            Some("a front end stands in the plan twice: want each name once".into())
        } else if names.len() > FRONTS {
            Some(format!("{} front ends: want {FRONTS} at most", names.len()))
        } else if self.at_once == 0 {
            Some(
                "at_once is 0: want 1 or more front ends of a zone that may be away at once".into(),
            )
        } else if self.slice == 0 || self.longest < self.least || self.ready == 0 {
            Some(
                "times: want a slice and a ready of 1 s or more, and a longest of no less than the least"
                    .into(),
            )
        } else if ![self.spend, self.error, self.matters, self.accept]
            .into_iter()
            .all(share)
        {
            Some("shares: want spend, error, matters and accept over 0 and under 1".into())
        } else {
            None
        }
    }

    /// The place of a name.
    pub fn place(&self, name: &str) -> Option<&Target> {
        self.stages.iter().flatten().find(|p| p.name == name)
    }

    /// The front ends of all stages up to this one.
    pub fn up_to(&self, stage: usize) -> impl Iterator<Item = &Target> {
        self.stages.iter().take(stage + 1).flatten()
    }
}

/// What changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutChange {
    /// The program.
    Program {
        /// What tells the new one from the old, such as its digest; a process tells it of itself.
        label: String,
        /// Where supervisors find it.
        path: String,
    },
    /// Settings.
    Settings,
}

/// Where a roll stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The stage's front ends are changed.
    Moving,
    /// The stage stands and is judged.
    Judging,
    /// All that changed are changed back.
    Back,
    /// Done: all are changed.
    Done,
    /// All are as they were.
    Stopped,
}

/// A process that ended by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Whose.
    pub name: String,
    /// Which of its processes.
    pub process: u64,
    /// How.
    pub sort: String,
    /// How often it did so lately.
    pub again: u32,
}

/// What whoever steers sees of a stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageObservation {
    /// The stage, from 0.
    pub stage: usize,
    /// For how long it has stood, seconds.
    pub stood: u64,
    /// What is compared.
    pub measured: Vec<Measurement>,
    /// What is said.
    pub verdict: Option<Verdict>,
}

/// One agreed step. `at`: the step that it goes on from. `fence`: of whoever steers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RolloutEntry {
    /// A change begins.
    Begin {
        /// The operator's own id for it: asked twice, it is one.
        id: u64,
        /// What changes.
        what: RolloutChange,
        /// How it is to go.
        plan: RolloutPlan,
        /// Why, for people.
        why: String,
    },
    /// Somebody steers from here on.
    Steer {
        /// One more than that of whoever did.
        fence: u64,
        /// Who.
        who: String,
    },
    /// Whoever steers is there.
    Beat {
        /// Its fence.
        fence: u64,
        /// What it sees by now, if there is more than at the last beat.
        seen: Option<Box<StageObservation>>,
    },
    /// This front end may be changed now, and be away for it.
    Let {
        /// The step.
        at: u64,
        /// The steerer's.
        fence: u64,
        /// Which.
        name: String,
    },
    /// It is back, where it should be.
    Moved {
        /// The step.
        at: u64,
        /// The steerer's.
        fence: u64,
        /// Which.
        name: String,
    },
    /// The stage stands.
    Judge {
        /// The step.
        at: u64,
        /// The steerer's.
        fence: u64,
    },
    /// The stage has passed.
    Pass {
        /// The step.
        at: u64,
        /// The steerer's.
        fence: u64,
        /// In words.
        why: String,
    },
    /// It does worse: the change goes back.
    Worse {
        /// The step.
        at: u64,
        /// The steerer's.
        fence: u64,
        /// In words.
        why: String,
    },
    /// A process ended by itself, as its supervisor saw.
    Fell(Crash),
    /// Nothing further is changed until [`RolloutEntry::Resume`]. What goes back goes on.
    Pause {
        /// Which roll.
        id: u64,
        /// In words.
        why: String,
    },
    /// On with it.
    Resume {
        /// Which roll.
        id: u64,
    },
    /// The change goes back.
    Abort {
        /// Which roll.
        id: u64,
        /// In words.
        why: String,
    },
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutRejection {
    /// Another roll goes on.
    Busy,
    /// It was begun before.
    Same,
    /// The plan is wrong.
    Plan(String),
    /// There is no such roll, or it is over.
    Over,
    /// That step is past.
    Past,
    /// Another steers by now.
    Fenced,
    /// Not now: too many are away, or this one is where it should be.
    NotNow,
}

impl std::fmt::Display for RolloutRejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RolloutRejection::Busy => write!(
                f,
                "another roll goes on: wait for its end, or abort it first"
            ),
            RolloutRejection::Same => write!(f, "this roll was begun before"),
            RolloutRejection::Plan(why) => write!(f, "the plan: {why}"),
            RolloutRejection::Over => write!(f, "no such roll goes on"),
            RolloutRejection::Past => write!(f, "the roll is past that step"),
            RolloutRejection::Fenced => write!(f, "another steers the roll by now"),
            RolloutRejection::NotNow => write!(f, "not at this step of the roll"),
        }
    }
}
impl std::error::Error for RolloutRejection {}

/// A change, as far as it is agreed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The operator's id for it.
    pub id: u64,
    /// Counts up with each step.
    pub at: u64,
    /// What changes.
    pub what: RolloutChange,
    /// How it is to go.
    pub plan: RolloutPlan,
    /// Where it stands.
    pub phase: RolloutPhase,
    /// The stage, from 0.
    pub stage: usize,
    /// Nothing further is changed.
    pub paused: bool,
    /// Of whoever steers; 0: nobody has.
    pub fence: u64,
    /// Who that is.
    pub steerer: String,
    /// Counts up while whoever steers is there.
    pub beat: u64,
    /// Those that may be away.
    pub moving: BTreeSet<String>,
    /// Those that are changed, and not let go to be changed back.
    pub moved: BTreeSet<String>,
    /// Judgements that were begun: each has a part of the error that may be made.
    pub judged: u32,
    /// Processes that ended by themselves in this stage.
    pub fallen: Vec<Crash>,
    /// Why it stands as it does.
    pub why: String,
    /// Its steps in words, the latest last.
    pub steps: Vec<String>,
    /// Each stage as it was seen last.
    pub seen: Vec<StageObservation>,
}

impl Rollout {
    /// One that begins.
    pub fn begin(
        id: u64,
        what: RolloutChange,
        plan: RolloutPlan,
        why: String,
    ) -> Result<Rollout, RolloutRejection> {
        if let Some(wrong) = plan.wrong() {
            return Err(RolloutRejection::Plan(wrong));
        }
        let steps = vec![format!("begun: {why}")];
        Ok(Rollout {
            id,
            at: 1,
            what,
            plan,
            phase: RolloutPhase::Moving,
            stage: 0,
            paused: false,
            fence: 0,
            steerer: String::new(),
            beat: 0,
            moving: BTreeSet::new(),
            moved: BTreeSet::new(),
            judged: 0,
            fallen: Vec::new(),
            why,
            steps,
            seen: Vec::new(),
        })
    }

    /// Whether it is over.
    pub fn over(&self) -> bool {
        matches!(self.phase, RolloutPhase::Done | RolloutPhase::Stopped)
    }

    /// Whether this front end is to be on the new side.
    pub fn new_side(&self, name: &str) -> bool {
        match self.phase {
            RolloutPhase::Done => true,
            RolloutPhase::Stopped => false,
            // One that was let go to be changed back is in neither any more.
            RolloutPhase::Back => self.moved.contains(name),
            RolloutPhase::Moving | RolloutPhase::Judging => {
                self.moved.contains(name) || self.moving.contains(name)
            }
        }
    }

    /// Whether this one may be let go now.
    pub fn may(&self, name: &str) -> bool {
        let Some(place) = self.plan.place(name) else {
            return false;
        };
        let wanted = match self.phase {
            RolloutPhase::Moving => {
                !self.paused
                    && !self.moved.contains(name)
                    && self.plan.up_to(self.stage).any(|p| p.name == name)
            }
            RolloutPhase::Back => self.moved.contains(name),
            RolloutPhase::Judging | RolloutPhase::Done | RolloutPhase::Stopped => false,
        };
        let away = || self.moving.iter().filter_map(|n| self.plan.place(n));
        let settings = self.what == RolloutChange::Settings;
        let room = settings || away().filter(|p| p.zone == place.zone).count() < self.plan.at_once;
        let seats = settings || !place.seat || !away().any(|p| p.seat);
        wanted && room && seats && !self.moving.contains(name)
    }

    /// Whether all of the stage stand where they should.
    pub fn in_place(&self) -> bool {
        self.moving.is_empty()
            && self
                .plan
                .up_to(self.stage)
                .all(|p| self.moved.contains(&p.name))
    }

    /// What the entry would do: refused, or something.
    pub fn judge(&self, entry: &RolloutEntry) -> Result<(), RolloutRejection> {
        let step = |at: u64, fence: u64| match (at == self.at, fence == self.fence) {
            _ if self.over() => Err(RolloutRejection::Over),
            (_, false) => Err(RolloutRejection::Fenced),
            (false, _) => Err(RolloutRejection::Past),
            _ => Ok(()),
        };
        let when = |right: bool| {
            if right {
                Ok(())
            } else {
                Err(RolloutRejection::NotNow)
            }
        };
        match entry {
            RolloutEntry::Begin { .. } if !self.over() => Err(RolloutRejection::Busy),
            RolloutEntry::Begin { plan, .. } => plan
                .wrong()
                .map_or(Ok(()), |w| Err(RolloutRejection::Plan(w))),
            _ if self.over() => Err(RolloutRejection::Over),
            RolloutEntry::Steer { fence, .. } => {
                if *fence == self.fence + 1 {
                    Ok(())
                } else {
                    Err(RolloutRejection::Fenced)
                }
            }
            RolloutEntry::Beat { fence, .. } => {
                if *fence == self.fence {
                    Ok(())
                } else {
                    Err(RolloutRejection::Fenced)
                }
            }
            RolloutEntry::Let { at, fence, name } => step(*at, *fence).and(when(self.may(name))),
            RolloutEntry::Moved { at, fence, name } => {
                step(*at, *fence).and(when(self.moving.contains(name)))
            }
            RolloutEntry::Judge { at, fence } => {
                step(*at, *fence).and(when(self.phase == RolloutPhase::Moving && self.in_place()))
            }
            RolloutEntry::Pass { at, fence, .. } => {
                step(*at, *fence).and(when(self.phase == RolloutPhase::Judging && !self.paused))
            }
            RolloutEntry::Worse { at, fence, .. } => {
                step(*at, *fence).and(when(self.phase != RolloutPhase::Back))
            }
            RolloutEntry::Fell(fallen) => {
                when(self.plan.place(&fallen.name).is_some() && !self.fallen.contains(fallen))
            }
            RolloutEntry::Pause { id, .. }
            | RolloutEntry::Resume { id }
            | RolloutEntry::Abort { id, .. }
                if *id != self.id =>
            {
                Err(RolloutRejection::Over)
            }
            RolloutEntry::Pause { .. } => when(!self.paused),
            RolloutEntry::Resume { .. } => when(self.paused),
            RolloutEntry::Abort { .. } => when(self.phase != RolloutPhase::Back),
        }
    }

    /// Applies an entry. The outcome depends on the entries alone.
    pub fn apply(&mut self, entry: RolloutEntry) -> Result<(), RolloutRejection> {
        self.judge(&entry)?;
        if !matches!(entry, RolloutEntry::Beat { .. }) {
            self.at += 1;
        }
        match entry {
            RolloutEntry::Begin {
                id,
                what,
                plan,
                why,
            } => *self = Rollout::begin(id, what, plan, why)?,
            RolloutEntry::Steer { fence, who } => {
                self.say(format!("{who} steers"));
                (self.fence, self.steerer) = (fence, who);
                // What was seen of a stage is gone with whoever saw it.
                if self.phase == RolloutPhase::Judging {
                    self.judged = self.judged.saturating_add(1);
                }
            }
            RolloutEntry::Beat { seen, .. } => {
                self.beat += 1;
                if let Some(seen) = seen {
                    self.seen.retain(|s| s.stage < seen.stage);
                    self.seen.push(*seen);
                }
            }
            RolloutEntry::Let { name, .. } => {
                self.moved.remove(&name);
                self.moving.insert(name);
            }
            RolloutEntry::Moved { name, .. } => {
                self.moving.remove(&name);
                match self.phase {
                    RolloutPhase::Back => {
                        if self.moving.is_empty() && self.moved.is_empty() {
                            self.phase = RolloutPhase::Stopped;
                            self.say("all are as they were".into());
                        }
                    }
                    _ => {
                        self.moved.insert(name);
                    }
                }
            }
            RolloutEntry::Judge { .. } => {
                self.phase = RolloutPhase::Judging;
                self.judged = self.judged.saturating_add(1);
                self.say(format!("stage {} stands", self.stage + 1));
            }
            RolloutEntry::Pass { why, .. } => {
                self.say(format!("stage {} passed: {why}", self.stage + 1));
                self.why = why;
                self.fallen.clear();
                if self.stage + 1 < self.plan.stages.len() {
                    (self.stage, self.phase) = (self.stage + 1, RolloutPhase::Moving);
                } else {
                    self.phase = RolloutPhase::Done;
                }
            }
            RolloutEntry::Worse { why, .. } => self.back(why),
            RolloutEntry::Abort { why, .. } => self.back(format!("by hand: {why}")),
            RolloutEntry::Fell(fallen) => {
                self.say(format!("{} ended by itself: {}", fallen.name, fallen.sort));
                self.fallen.push(fallen);
                if self.fallen.len() > FALLEN {
                    self.fallen.remove(0);
                }
            }
            RolloutEntry::Pause { why, .. } => {
                self.say(format!("paused: {why}"));
                (self.paused, self.why) = (true, why);
            }
            RolloutEntry::Resume { .. } => {
                self.say("goes on".into());
                self.paused = false;
            }
        }
        Ok(())
    }

    /// All that changed, or may have, is changed back.
    fn back(&mut self, why: String) {
        self.say(format!("goes back: {why}"));
        self.why = why;
        // One that was on its way may be on either side: it is let go again, to be brought back.
        let moving = std::mem::take(&mut self.moving);
        self.moved.extend(moving);
        self.phase = if self.moved.is_empty() {
            RolloutPhase::Stopped
        } else {
            RolloutPhase::Back
        };
        self.paused = false;
    }

    fn say(&mut self, text: String) {
        self.steps.push(text);
        if self.steps.len() > 4 * FALLEN {
            self.steps.remove(0);
        }
    }
}
