//! Looks in, verdicts out.

use crate::evidence::{Estimate, Observation, Prior, SequentialTest};
use crate::tally::{FrontEndReport, RequestCounters};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a verdict rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnalysisParameters {
    /// The probability with which a change that changes nothing may be called worse, at all looks of this judge together.
    pub error: f64,
    /// The least loss of service that matters, as a share of what the calls are worth.
    pub least: f64,
    /// A loss up to this much may stay hidden for the new side to be fine.
    pub accept: f64,
    /// Seconds for which a fresh front end knows too little to be judged.
    pub warm_up: f64,
    /// A slice in which the old side lost this much more than before is one of trouble that both share.
    pub trouble: f64,
    /// Megabytes that a front end may take.
    pub memory: f64,
    /// Seconds ahead for which memory that grows is foreseen.
    pub horizon: f64,
}

impl Default for AnalysisParameters {
    fn default() -> AnalysisParameters {
        AnalysisParameters {
            error: 0.01,
            least: 0.01,
            accept: 0.03,
            warm_up: 10.0,
            trouble: 0.1,
            memory: 1024.0,
            horizon: 3600.0,
        }
    }
}

/// One difference that was looked at.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Which: `service`, `service class NAME`, `service zone NAME`, `slow`, `refused`, `spill`.
    pub what: String,
    /// Shares of the old and the new side over all slices, as they were.
    pub old: f64,
    /// The same.
    pub new: f64,
    /// The loss: new less old, less what was there before.
    pub loss: f64,
    /// Half of its interval.
    pub half: f64,
    /// The loss since it would have begun most likely.
    pub lately: f64,
    /// Slices.
    pub slices: usize,
}

/// What is said of the new side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It does worse.
    Worse {
        /// Why, in words.
        why: String,
    },
    /// A loss that matters would have been seen.
    Fine,
    /// Not known yet.
    Open {
        /// What it would take, in words.
        needs: String,
        /// Slices like those so far, about; none: it can't be said.
        slices: Option<usize>,
    },
    /// Both sides are in trouble: nothing is blamed on either.
    Held {
        /// For how many slices in a row.
        slices: usize,
    },
}

/// A front end's process that ended though nobody had asked it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplannedExit {
    /// Whose.
    pub name: String,
    /// How: two of one sort are no accident.
    pub kind: String,
}

/// What two looks at a front end differ by.
#[derive(Clone, Debug)]
struct Part {
    name: String,
    zone: String,
    classes: BTreeMap<String, RequestCounters>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    asked: f64,
    wanted: f64,
    worth: f64,
    refused: f64,
    served: f64,
    slow: f64,
}

impl Sum {
    fn add(&mut self, t: &RequestCounters, slow_over: Option<u64>) {
        self.asked += t.requested as f64;
        self.wanted += t.wanted;
        self.worth += t.worth;
        self.refused += t.rejected as f64;
        self.served += t.served as f64;
        self.slow += slow_over.map_or(0.0, |o| t.slower(o) as f64);
    }
}

/// What is compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Metric {
    Service,
    Class(String),
    Zone(String),
    Slow,
    Refused,
    Spill,
}

impl Metric {
    fn name(&self) -> String {
        match self {
            Metric::Service => "service".into(),
            Metric::Class(c) => format!("service class {c}"),
            Metric::Zone(z) => format!("service zone {z}"),
            Metric::Slow => "slow".into(),
            Metric::Refused => "refused".into(),
            Metric::Spill => "spill".into(),
        }
    }

    fn covers(&self, zone: &str, class: &str) -> bool {
        match self {
            Metric::Class(c) => c == class,
            Metric::Zone(z) => z == zone,
            _ => true,
        }
    }

    /// Of a cell: cases, and the share of them that is lost.
    fn share(&self, s: &Sum) -> (f64, f64) {
        match self {
            Metric::Slow => (s.served, s.slow / s.served.max(1.0)),
            Metric::Refused => (s.asked, s.refused / s.asked.max(1.0)),
            _ => (s.asked, 1.0 - s.worth / s.wanted.max(1e-9)),
        }
    }
}

type Cells = BTreeMap<(String, String), [Sum; 2]>;

/// Slices from before the change that are kept.
const BEFORE: usize = 120;
/// Looks at memory that are kept of each front end.
const MEMORY: usize = 240;
/// Looks at memory that a trend needs.
const TREND: usize = 12;
/// Megabytes of growth that are no trend yet.
const GROWTH: f64 = 8.0;
/// Cells of classes and zones that get a metric of their own.
const METRICS: usize = 24;

/// Judges one stage: these front ends are its new side, all others the old one.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    terms: AnalysisParameters,
    new: BTreeSet<String>,
    last: BTreeMap<String, FrontEndReport>,
    before: Vec<Vec<Part>>,
    /// By class, microseconds: one in a hundred answers took longer before.
    slow_over: BTreeMap<String, u64>,
    evidence: BTreeMap<Metric, (SequentialTest, Prior, [f64; 4])>,
    judging: bool,
    /// Loss of the old side before.
    usual: Option<f64>,
    held: usize,
    deaths: [BTreeMap<String, BTreeSet<String>>; 2],
    guarded: BTreeMap<String, u64>,
    memory: BTreeMap<String, Vec<(f64, f64)>>,
    stopped: Option<String>,
}

impl CanaryAnalysis {
    /// One that has seen nothing.
    pub fn new(terms: AnalysisParameters, new: impl IntoIterator<Item = String>) -> CanaryAnalysis {
        CanaryAnalysis {
            terms,
            new: new.into_iter().collect(),
            last: BTreeMap::new(),
            before: Vec::new(),
            slow_over: BTreeMap::new(),
            evidence: BTreeMap::new(),
            judging: false,
            usual: None,
            held: 0,
            deaths: Default::default(),
            guarded: BTreeMap::new(),
            memory: BTreeMap::new(),
            stopped: None,
        }
    }

    /// The next stage: a larger new side. What was seen before the change is kept; evidence begins anew, with this error.
    pub fn next(&mut self, new: impl IntoIterator<Item = String>, error: f64) {
        self.new = new.into_iter().collect();
        self.terms.error = error;
        (self.judging, self.held, self.stopped) = (false, 0, None);
        self.evidence.clear();
        self.deaths = Default::default();
        self.guarded.clear();
        self.memory.clear();
    }

    /// Takes a look at all front ends. `judging`: the new side is in place; until then it is only learnt what is usual.
    pub fn observe(&mut self, reports: &[FrontEndReport], judging: bool) {
        let parts: Vec<Part> = reports.iter().filter_map(|r| self.part(r)).collect();
        let was_new = self.last.values().any(|r| r.new);
        self.last = reports
            .iter()
            .map(|r| (r.name.clone(), r.clone()))
            .collect();
        let any_new = reports.iter().any(|r| r.new);
        if !judging {
            // What is usual is what was there before anything had changed.
            if !any_new && !was_new && !parts.is_empty() {
                self.learn(parts);
            }
            return;
        }
        if !self.judging {
            self.judging = true;
            self.begin();
        }
        for r in reports.iter().filter(|r| r.new) {
            let known = self.guarded.entry(r.name.clone()).or_insert(0);
            if r.guarded > *known {
                *known = r.guarded;
                self.stop(format!("a guard of {} held something back", r.name));
            }
        }
        for r in reports {
            if r.new && r.memory > self.terms.memory {
                self.stop(format!(
                    "{} takes {:.0} MB, over its limit of {:.0}",
                    r.name, r.memory, self.terms.memory
                ));
            }
            if r.up >= self.terms.warm_up {
                let all = self
                    .memory
                    .entry(format!("{} {}", r.name, r.incarnation))
                    .or_default();
                all.push((r.up, r.memory));
                if all.len() > MEMORY {
                    all.remove(0);
                }
            }
        }
        self.compare(&parts);
        self.growth(reports);
    }

    /// A process ended by itself.
    pub fn on_unplanned_exit(&mut self, death: UnplannedExit) {
        let side = usize::from(self.new.contains(&death.name));
        self.deaths[side]
            .entry(death.kind.clone())
            .or_default()
            .insert(death.name.clone());
        let of = |side: usize| self.deaths[side].get(&death.kind).map_or(0, BTreeSet::len);
        let (old, new) = (of(0), of(1));
        let (olds, news) = (
            self.last.len().saturating_sub(self.new.len()),
            self.new.len(),
        );
        // Two of one sort are no accident, unless old ones die of it as often.
        let shared = old as f64 / olds.max(1) as f64 >= 0.5 * new as f64 / news.max(1) as f64;
        if side == 1 && new >= 2 && !(old > 0 && shared) {
            self.stop(format!(
                "{new} of the new side ended by themselves: {}",
                death.kind
            ));
        }
    }

    /// The same front end ended by itself again.
    pub fn on_crash_loop(&mut self, name: &str, kind: &str) {
        if self.new.contains(name) {
            self.stop(format!("{name} ends again and again: {kind}"));
        }
    }

    /// Something that needs no statistics.
    pub fn stop(&mut self, why: String) {
        self.stopped.get_or_insert(why);
    }

    /// What is said by now.
    pub fn verdict(&self) -> Verdict {
        if let Some(why) = &self.stopped {
            return Verdict::Worse { why: why.clone() };
        }
        let each = self.each();
        for (metric, e, _) in self.estimates() {
            let least = self.least(metric);
            if e.ratio >= 1.0 / each && e.lately >= least {
                let (loss, half) = (e.lately * 100.0, e.half * 100.0);
                let why = format!(
                    "{}: {loss:.1} points worse (over the stage {:.1}, give or take {half:.1})",
                    metric.name(),
                    e.mean * 100.0
                );
                return Verdict::Worse { why };
            }
        }
        if self.held > 0 {
            return Verdict::Held { slices: self.held };
        }
        let Some((evidence, before, _)) = self.evidence.get(&Metric::Service) else {
            let needs = if self.new.len() >= self.last.len() && !self.last.is_empty() {
                return Verdict::Fine;
            } else {
                "calls of one class in one zone at both sides".into()
            };
            return Verdict::Open {
                needs,
                slices: None,
            };
        };
        let e = evidence.estimate(before, self.terms.least, each);
        if e.mean + e.half <= self.terms.accept {
            return Verdict::Fine;
        }
        let room = self.terms.accept - e.mean.max(0.0);
        let slices = evidence.needs(before, self.terms.least, each, room);
        let needs = match slices {
            Some(n) => format!(
                "a loss of up to {:.1} points may be hidden, {:.1} are accepted: about {n} slices more like these",
                (e.mean + e.half) * 100.0,
                self.terms.accept * 100.0
            ),
            None => format!(
                "a loss of up to {:.1} points may be hidden, {:.1} are accepted: more calls a slice, or more front ends in the stage",
                (e.mean + e.half) * 100.0,
                self.terms.accept * 100.0
            ),
        };
        Verdict::Open { needs, slices }
    }

    /// All that is compared, as it stands.
    pub fn measurements(&self) -> Vec<Measurement> {
        let one = |(metric, e, sums): (&Metric, Estimate, [f64; 4])| {
            let [old, of_old, new, of_new] = sums;
            Measurement {
                what: metric.name(),
                old: old / of_old.max(1.0),
                new: new / of_new.max(1.0),
                loss: e.mean,
                // A share can't be lost more than once.
                half: e.half.min(1.0),
                lately: e.lately,
                slices: e.slices,
            }
        };
        self.estimates().map(one).collect()
    }

    /// The error that one metric may make: all share what there is.
    fn each(&self) -> f64 {
        self.terms.error / self.evidence.len().max(1) as f64
    }

    fn least(&self, metric: &Metric) -> f64 {
        match metric {
            Metric::Class(_) | Metric::Zone(_) => 2.0 * self.terms.least,
            _ => self.terms.least,
        }
    }

    fn estimates(&self) -> impl Iterator<Item = (&Metric, Estimate, [f64; 4])> {
        let each = self.each();
        self.evidence
            .iter()
            .map(move |(m, (e, b, sums))| (m, e.estimate(b, self.terms.least, each), *sums))
    }

    /// What came since the last look, if the process is the same and knows enough.
    fn part(&self, r: &FrontEndReport) -> Option<Part> {
        let last = self
            .last
            .get(&r.name)
            .filter(|l| l.incarnation == r.incarnation)?;
        // A fresh one of either side says nothing yet: that it was restarted is not what is judged.
        if last.up < self.terms.warm_up {
            return None;
        }
        let none = RequestCounters::default();
        let since = |(class, t): (&String, &RequestCounters)| {
            (
                class.clone(),
                t.since(last.classes.get(class).unwrap_or(&none)),
            )
        };
        let classes = r.classes.iter().map(since).collect();
        Some(Part {
            name: r.name.clone(),
            zone: r.zone.clone(),
            classes,
        })
    }

    fn learn(&mut self, parts: Vec<Part>) {
        self.before.push(parts);
        if self.before.len() > BEFORE {
            self.before.remove(0);
        }
    }

    /// The stage is in place: what the two sides differed by before anything had changed, and what is slow.
    fn begin(&mut self) {
        let mut classes: BTreeMap<String, RequestCounters> = BTreeMap::new();
        for part in self.before.iter().flatten() {
            for (class, t) in &part.classes {
                classes.entry(class.clone()).or_default().add(t);
            }
        }
        let p99 = |(c, t): (String, RequestCounters)| {
            (t.latency.len() >= 200).then(|| (c, t.latency.value_at_quantile(0.99)))
        };
        self.slow_over = classes.into_iter().filter_map(p99).collect();
        let (mut worth, mut wanted) = (0.0, 0.0);
        for t in self
            .before
            .iter()
            .flatten()
            .flat_map(|p| p.classes.values())
        {
            (worth, wanted) = (worth + t.worth, wanted + t.wanted);
        }
        self.usual = (wanted > 0.0).then(|| 1.0 - worth / wanted);
    }

    fn cells(&self, parts: &[Part]) -> Cells {
        let mut cells = Cells::new();
        for part in parts {
            // Where a front end stands by now counts: it may have been of the old side when this was seen.
            let side = usize::from(self.new.contains(&part.name));
            for (class, t) in &part.classes {
                let cell = cells.entry((part.zone.clone(), class.clone())).or_default();
                cell[side].add(t, self.slow_over.get(class).copied());
            }
        }
        cells
    }

    /// The difference of a slice, and shares of both sides.
    fn point(&self, metric: &Metric, cells: &Cells) -> Option<(Observation, [f64; 4])> {
        if *metric == Metric::Spill {
            return self.spill(cells);
        }
        let (mut x, mut v, mut weight) = (0.0, 0.0, 0.0);
        let mut sums = [0.0; 4];
        for ((zone, class), [old, new]) in cells {
            let ((n, p), (m, q)) = (metric.share(old), metric.share(new));
            if !metric.covers(zone, class) || n < 1.0 || m < 1.0 {
                continue;
            }
            let w = n * m / (n + m);
            let both = (p * n + q * m) / (n + m);
            x += w * (q - p);
            // Of so many cases none may have been lost by luck.
            let spread = (both * (1.0 - both)).max(0.0) + 0.5 / (n + m + 1.0);
            v += w * w * spread * (1.0 / n + 1.0 / m);
            weight += w;
            sums = [sums[0] + p * n, sums[1] + n, sums[2] + q * m, sums[3] + m];
        }
        let point = Observation {
            x: x / weight,
            v: v / (weight * weight),
        };
        (weight > 0.0).then_some((point, sums))
    }

    /// What old front ends lose in zones where new ones stand, beside old ones in zones where none does.
    fn spill(&self, cells: &Cells) -> Option<(Observation, [f64; 4])> {
        let of = self.last.values().filter(|r| self.new.contains(&r.name));
        let staged: BTreeSet<&String> = of.map(|r| &r.zone).collect();
        let mut all = [Sum::default(); 2];
        for ((zone, _), [old, _]) in cells {
            let s = &mut all[usize::from(staged.contains(zone))];
            (s.asked, s.wanted, s.worth) = (
                s.asked + old.asked,
                s.wanted + old.wanted,
                s.worth + old.worth,
            );
        }
        let [(n, p), (m, q)] = [
            Metric::Service.share(&all[0]),
            Metric::Service.share(&all[1]),
        ];
        if n < 1.0 || m < 1.0 {
            return None;
        }
        let both = (p * n + q * m) / (n + m);
        let spread = (both * (1.0 - both)).max(0.0) + 0.5 / (n + m + 1.0);
        Some((
            Observation {
                x: q - p,
                v: spread * (1.0 / n + 1.0 / m),
            },
            [p * n, n, q * m, m],
        ))
    }

    fn compare(&mut self, parts: &[Part]) {
        let cells = self.cells(parts);
        let loss = |side: usize| {
            let sum = |of: fn(&Sum) -> f64| cells.values().map(|c| of(&c[side])).sum::<f64>();
            let (worth, wanted) = (sum(|s| s.worth), sum(|s| s.wanted));
            (wanted > 0.0).then(|| 1.0 - worth / wanted)
        };
        // Once all are changed there are no others: what was usual is all there is to compare with.
        let trouble = self
            .usual
            .zip(loss(0).or(loss(1)))
            .is_some_and(|(usual, now)| now - usual >= self.terms.trouble);
        if trouble {
            self.held += 1;
            return;
        }
        self.held = 0;
        let mut metrics = vec![
            Metric::Service,
            Metric::Slow,
            Metric::Refused,
            Metric::Spill,
        ];
        let classes: BTreeSet<&String> = cells.keys().map(|(_, c)| c).collect();
        let zones: BTreeSet<&String> = cells.keys().map(|(z, _)| z).collect();
        if classes.len() > 1 {
            metrics.extend(classes.into_iter().cloned().map(Metric::Class));
        }
        if zones.len() > 1 {
            metrics.extend(zones.into_iter().cloned().map(Metric::Zone));
        }
        for metric in metrics {
            let Some((point, sums)) = self.point(&metric, &cells) else {
                continue;
            };
            if !self.evidence.contains_key(&metric) {
                if self.evidence.len() >= METRICS {
                    continue;
                }
                let was = |p: &Vec<Part>| self.point(&metric, &self.cells(p)).map(|p| p.0);
                let points: Vec<Observation> = self.before.iter().filter_map(was).collect();
                let before = match Prior::of(&points) {
                    b if b.variance.is_finite() => b,
                    b => Prior {
                        variance: self.apart(&metric),
                        ..b
                    },
                };
                self.evidence.insert(
                    metric.clone(),
                    (SequentialTest::default(), before, [0.0; 4]),
                );
            }
            if let Some((evidence, _, all)) = self.evidence.get_mut(&metric) {
                evidence.add(point);
                all.iter_mut().zip(sums).for_each(|(a, s)| *a += s);
            }
        }
    }

    /// Where nothing was seen before: how far the means of so many front ends may lie apart, by how far old ones do.
    fn apart(&self, metric: &Metric) -> f64 {
        let share = |r: &FrontEndReport| {
            let mut sum = Sum::default();
            r.classes
                .iter()
                .filter(|(c, _)| metric.covers(&r.zone, c))
                .for_each(|(_, t)| sum.add(t, None));
            Some(metric.share(&sum))
                .filter(|s| s.0 >= 50.0)
                .map(|s| s.1)
        };
        let old: Vec<f64> = self
            .last
            .values()
            .filter(|r| !self.new.contains(&r.name))
            .filter_map(share)
            .collect();
        if old.len() < 3 {
            return f64::INFINITY;
        }
        let n = old.len() as f64;
        let mean = old.iter().sum::<f64>() / n;
        let variance = old.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
        variance * (1.0 / n + 1.0 / self.new.len().max(1) as f64)
    }

    /// Memory that grows on the new side and not on the old, and will be over the limit within the horizon.
    fn growth(&mut self, reports: &[FrontEndReport]) {
        let slope = |r: &FrontEndReport| {
            let all = self
                .memory
                .get(&format!("{} {}", r.name, r.incarnation))
                .filter(|a| a.len() >= TREND)?;
            // Whatever it took at first is no trend.
            let late = &all[all.len() / 3..];
            let (first, last) = (late.first()?, late.last()?);
            let n = late.len() as f64;
            let (t, m) = late
                .iter()
                .fold((0.0, 0.0), |(t, m), p| (t + p.0 / n, m + p.1 / n));
            let (mut up, mut down) = (0.0, 0.0);
            late.iter()
                .for_each(|p| (up, down) = (up + (p.0 - t) * (p.1 - m), down + (p.0 - t).powi(2)));
            Some((up / down.max(1e-9), last.1 - first.1, last.1))
        };
        let old = reports
            .iter()
            .filter(|r| !r.new)
            .filter_map(slope)
            .map(|s| s.0)
            .fold(0.0, f64::max);
        let new = reports.iter().filter(|r| r.new).find_map(|r| {
            let (slope, grown, now) = slope(r)?;
            let over = now + slope * self.terms.horizon > self.terms.memory;
            (over && grown >= GROWTH && slope > 3.0 * old).then(|| {
                format!(
                    "{} grows by {:.1} MB a minute, the old side by {:.1} at most",
                    r.name,
                    slope * 60.0,
                    old * 60.0
                )
            })
        });
        if let Some(why) = new {
            self.stop(why);
        }
    }
}
