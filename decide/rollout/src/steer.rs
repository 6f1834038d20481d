//! Whoever steers.

use crate::roll::{
    InconclusivePolicy, Rollout, RolloutChange, RolloutEntry, RolloutPhase, StageObservation,
};
use crate::{Time, SECOND};
use std::collections::BTreeMap;
use tansy_canary::{AnalysisParameters, CanaryAnalysis, FrontEndReport, UnplannedExit, Verdict};

/// Whoever steers tells that it is there so often.
const BEAT: Time = SECOND;
/// One that has not for so long is taken over from.
const SILENT: Time = 4 * SECOND;

/// A front end, as it is seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FrontEndObservation {
    /// It answers and may act.
    pub ready: bool,
    /// What it counted. `report.new`: it is on the new side.
    pub report: FrontEndReport,
}

/// One that may steer. Several may look at once; what one of them enters counts.
#[derive(Clone, Debug)]
pub struct RolloutController {
    me: String,
    judge: Option<(u64, CanaryAnalysis)>,
    /// The fence under which it steers; it was granted by the log.
    fence: Option<u64>,
    /// When it asked for it.
    asked: Time,
    /// Since when it learns what is usual.
    learns: Option<Time>,
    /// Of whoever steers: fence and beat, and since when they are what they are.
    seen: Option<((u64, u64), Time)>,
    /// When each was let go, as seen here.
    let_go: BTreeMap<String, Time>,
    judging: Option<(u64, Time)>,
    next_slice: Time,
    next_beat: Time,
    told: usize,
    /// Worth lost to the change, and all that was asked for.
    spent: (f64, f64),
    last: Option<Verdict>,
    /// What the next beat tells.
    news: Option<StageObservation>,
}

impl RolloutController {
    /// One of this name.
    pub fn new(me: String) -> RolloutController {
        RolloutController {
            me,
            judge: None,
            fence: None,
            asked: Time::MIN,
            learns: None,
            seen: None,
            let_go: BTreeMap::new(),
            judging: None,
            next_slice: Time::MIN,
            next_beat: Time::MIN,
            told: 0,
            spent: (0.0, 0.0),
            last: None,
            news: None,
        }
    }

    /// The next step, if there is one to take.
    pub fn poll(
        &mut self,
        now: Time,
        roll: &Rollout,
        fronts: &[FrontEndObservation],
    ) -> Option<RolloutEntry> {
        if roll.over() {
            *self = RolloutController::new(std::mem::take(&mut self.me));
            return None;
        }
        let key = (roll.fence, roll.beat);
        if self.seen.is_none_or(|s| s.0 != key) {
            self.seen = Some((key, now));
        }
        if roll.steerer != self.me || self.fence != Some(roll.fence) {
            // One that was started again under its name is another one: it has seen nothing.
            if self.fence.is_some_and(|f| f < roll.fence) {
                (self.fence, self.judge, self.judging) = (None, None, None);
                self.let_go.clear();
            }
            let silent = roll.fence == 0 || self.seen.is_some_and(|s| now - s.1 >= SILENT);
            let waits = self.fence == Some(roll.fence + 1) && now.saturating_sub(self.asked) < BEAT;
            if waits || !silent {
                return None;
            }
            (self.fence, self.asked) = (Some(roll.fence + 1), now);
            return Some(RolloutEntry::Steer {
                fence: roll.fence + 1,
                who: self.me.clone(),
            });
        }
        self.watch(now, roll, fronts);
        let step = match roll.phase {
            RolloutPhase::Moving | RolloutPhase::Back => self.moves(now, roll, fronts),
            RolloutPhase::Judging => self.judges(now, roll),
            RolloutPhase::Done | RolloutPhase::Stopped => None,
        };
        if step.is_some() && (self.news.is_none() || roll.phase != RolloutPhase::Judging) {
            return step;
        }
        // What a stage is judged by is told before its verdict.
        let tells = step.is_some();
        (tells || now >= self.next_beat).then(|| {
            self.next_beat = now + BEAT;
            RolloutEntry::Beat {
                fence: roll.fence,
                seen: self.news.take().map(Box::new),
            }
        })
    }

    fn terms(roll: &Rollout) -> AnalysisParameters {
        let p = &roll.plan;
        AnalysisParameters {
            error: RolloutController::error(roll),
            least: p.matters,
            accept: p.accept,
            warm_up: p.warm_up as f64,
            memory: p.memory as f64,
            ..AnalysisParameters::default()
        }
    }

    /// The part of the plan's error that this judgement has: of all that may ever be begun the parts add up to the whole.
    fn error(roll: &Rollout) -> f64 {
        let n = f64::from(roll.judged.max(1));
        roll.plan.error * 6.0 / (std::f64::consts::PI * std::f64::consts::PI * n * n)
    }

    /// Gives the judge what is seen.
    fn watch(&mut self, now: Time, roll: &Rollout, fronts: &[FrontEndObservation]) {
        let names = || roll.plan.up_to(roll.stage).map(|p| p.name.clone());
        if self.judge.is_none() {
            self.judge = Some((
                u64::from(roll.judged),
                CanaryAnalysis::new(RolloutController::terms(roll), names()),
            ));
            self.told = 0;
        }
        let judging = roll.phase == RolloutPhase::Judging;
        let Some((judged, judge)) = &mut self.judge else {
            return;
        };
        if judging && *judged != u64::from(roll.judged) {
            *judged = u64::from(roll.judged);
            judge.next(names(), RolloutController::error(roll));
            self.told = 0;
        }
        if !judging {
            self.judging = None;
        } else if self.judging.is_none_or(|j| j.0 != u64::from(roll.judged)) {
            self.judging = Some((u64::from(roll.judged), now));
        }
        for f in roll.fallen.iter().skip(self.told) {
            judge.on_unplanned_exit(UnplannedExit {
                name: f.name.clone(),
                sort: f.sort.clone(),
            });
            if f.again >= 3 {
                judge.on_crash_loop(&f.name, &f.sort);
            }
        }
        self.told = roll.fallen.len();
        if now < self.next_slice {
            return;
        }
        self.next_slice = now + roll.plan.slice as Time * SECOND;
        let reports: Vec<FrontEndReport> = fronts.iter().map(|f| f.report.clone()).collect();
        judge.observe(&reports, judging);
        if judging {
            let stood = self.judging.map_or(0, |j| ((now - j.1) / SECOND) as u64);
            let verdict = Some(judge.verdict());
            self.news = Some(StageObservation {
                stage: roll.stage,
                stood,
                measured: judge.measurements(),
                verdict,
            });
            let all: f64 = fronts
                .iter()
                .flat_map(|f| f.report.classes.values())
                .map(|t| t.wanted)
                .sum();
            let side: f64 = fronts
                .iter()
                .filter(|f| f.report.new)
                .flat_map(|f| f.report.classes.values())
                .map(|t| t.wanted)
                .sum();
            let lost = judge
                .measurements()
                .iter()
                .find(|m| m.what == "service")
                .map_or(0.0, |m| (m.loss - m.half).max(0.0));
            self.spent = (lost * side, all);
        }
    }

    fn moves(
        &mut self,
        now: Time,
        roll: &Rollout,
        fronts: &[FrontEndObservation],
    ) -> Option<RolloutEntry> {
        let (at, fence) = (roll.at, roll.fence);
        let front = |name: &str| fronts.iter().find(|f| f.report.name == name);
        self.let_go.retain(|n, _| roll.moving.contains(n));
        for name in &roll.moving {
            let since = *self.let_go.entry(name.clone()).or_insert(now);
            let wanted = roll.phase != RolloutPhase::Back;
            if front(name).is_some_and(|f| f.ready && f.report.new == wanted) {
                return Some(RolloutEntry::Moved {
                    at,
                    fence,
                    name: name.clone(),
                });
            }
            if wanted && now - since >= roll.plan.ready as Time * SECOND {
                let why = format!(
                    "{name} was not ready {} s after it was let go",
                    roll.plan.ready
                );
                return Some(RolloutEntry::Worse { at, fence, why });
            }
        }
        // Whoever changes a process is not to take a zone's last one: one that is away counts.
        let away = |zone: &str, but: &str| {
            let there = |p: &&crate::roll::Target| p.zone == zone && p.name != but;
            let places = roll.plan.stages.iter().flatten().filter(there);
            places
                .filter(|p| {
                    !roll.moving.contains(&p.name) && !front(&p.name).is_some_and(|f| f.ready)
                })
                .count()
        };
        let room = |name: &str| {
            let Some(place) = roll.plan.place(name) else {
                return false;
            };
            let moving = roll.moving.iter().filter_map(|n| roll.plan.place(n));
            let of_zone = moving.filter(|p| p.zone == place.zone).count();
            let down = !front(name).is_some_and(|f| f.ready);
            roll.what == RolloutChange::Settings
                || down
                || of_zone + away(&place.zone, name) < roll.plan.at_once
        };
        let stage: Vec<&str> = match roll.phase {
            RolloutPhase::Back => roll.moved.iter().map(String::as_str).collect(),
            _ => roll
                .plan
                .up_to(roll.stage)
                .map(|p| p.name.as_str())
                .collect(),
        };
        if let Some(name) = stage.iter().find(|n| roll.may(n) && room(n)) {
            // Time to learn what is usual, before the first one.
            let learnt = roll.phase == RolloutPhase::Back || self.learnt(now, roll);
            return learnt.then(|| RolloutEntry::Let {
                at,
                fence,
                name: name.to_string(),
            });
        }
        (roll.phase == RolloutPhase::Moving && roll.in_place() && !roll.paused)
            .then_some(RolloutEntry::Judge { at, fence })
    }

    /// Whether whoever steers has seen for long enough what is usual.
    fn learnt(&mut self, now: Time, roll: &Rollout) -> bool {
        let first = roll.moved.is_empty() && roll.moving.is_empty() && roll.stage == 0;
        let since = *self.learns.get_or_insert(now);
        !first || now - since >= roll.plan.least as Time * SECOND
    }

    fn judges(&mut self, now: Time, roll: &Rollout) -> Option<RolloutEntry> {
        let (at, fence) = (roll.at, roll.fence);
        let since = self.judging.map_or(now, |j| j.1);
        let stood = (now - since) / SECOND;
        let verdict = self.judge.as_ref()?.1.verdict();
        self.last = Some(verdict.clone());
        let (least, longest) = (roll.plan.least as Time, roll.plan.longest as Time);
        if let Verdict::Worse { why } = verdict {
            return Some(RolloutEntry::Worse { at, fence, why });
        }
        let (lost, all) = self.spent;
        if all > 0.0 && lost / all >= roll.plan.spend {
            let why = format!(
                "{:.2}% of all calls' worth is lost to it, {:.2}% may be",
                lost / all * 100.0,
                roll.plan.spend * 100.0
            );
            return Some(RolloutEntry::Worse { at, fence, why });
        }
        if roll.paused || stood < least {
            return None;
        }
        match verdict {
            Verdict::Fine => Some(RolloutEntry::Pass {
                at,
                fence,
                why: "no worse than its siblings".into(),
            }),
            Verdict::Worse { .. } => None,
            Verdict::Open { .. } | Verdict::Held { .. } if stood < longest => None,
            Verdict::Held { slices } => {
                let why = format!(
                    "both sides were in trouble for {slices} slices: nobody can tell whose it is"
                );
                Some(RolloutEntry::Worse { at, fence, why })
            }
            Verdict::Open { needs, .. } => Some(match roll.plan.undecided {
                InconclusivePolicy::Hold => RolloutEntry::Pause {
                    id: roll.id,
                    why: format!("no verdict after {stood} s: {needs}"),
                },
                InconclusivePolicy::Back => RolloutEntry::Worse {
                    at,
                    fence,
                    why: format!("no verdict after {stood} s: {needs}"),
                },
                InconclusivePolicy::Pass => RolloutEntry::Pass {
                    at,
                    fence,
                    why: format!("no verdict after {stood} s: {needs}"),
                },
            }),
        }
    }
}
