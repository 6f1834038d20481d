//! Whole rolls in virtual time: front ends that count calls, a change that may harm, whoever steers, and the verdict.
//!
//! What the verdict sees is drawn, not simulated call by call: each front end gets calls at a rate of its own (uneven, some
//! several times the mean), loses a share of its own, which wanders, more in bad moments that a zone shares, and counts them
//! as a process does. The steering and the verdict are the product's own code. With a plan's times this plays a roll of half an
//! hour in some milliseconds, so that error rates can be counted.

use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Binomial, Distribution, LogNormal, Normal};
use serde::Serialize;
use std::collections::BTreeMap;
use tansy_canary::{FrontEndReport, RequestCounters};
use tansy_rollout::{
    FrontEndObservation, InconclusivePolicy, Rollout, RolloutChange, RolloutController,
    RolloutEntry, RolloutPhase, RolloutPlan, Target, SECOND,
};

/// What the change does to a front end that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Harm {
    /// Nothing.
    None,
    /// It loses this share more.
    All(f64),
    /// The same, in one class alone.
    Class(f64),
    /// The same, in one zone alone.
    Zone(f64),
    /// The same, from two minutes after its start.
    Late(f64),
    /// So many more answers in a hundred are slow.
    Slow(f64),
    /// It refuses this share at once, answers the rest faster, and what it refuses falls to its old siblings.
    Shed(f64),
    /// It takes a megabyte more each so many seconds.
    Leak(f64),
    /// Nothing; but a zone is lost for a minute in the middle of the first judgement.
    ZoneLost,
    /// Nothing; but traffic doubles in the middle of it.
    Doubles,
}

/// How it is decided whether the change does worse.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Rule {
    /// The product's own.
    Verdict,
    /// Plain: over a stage, the new side's loss is over the old side's by a fixed share.
    Threshold(f64),
    /// Plain: the new side's loss is over its own loss before, by a fixed share.
    OwnPast(f64),
}

/// What is played.
#[derive(Clone, Debug, Serialize)]
pub struct Play {
    /// Front ends.
    pub fronts: usize,
    /// Zones.
    pub zones: usize,
    /// Calls a second at a front end of mean traffic.
    pub rate: f64,
    /// The share that is usually lost.
    pub loss: f64,
    /// The change.
    pub harm: Harm,
    /// The rule.
    pub rule: Rule,
    /// Seconds that a stage lasts at least, and at most.
    pub least: u64,
    /// The same.
    pub longest: u64,
}

impl Default for Play {
    fn default() -> Play {
        Play {
            fronts: 30,
            zones: 3,
            rate: 40.0,
            loss: 0.02,
            harm: Harm::None,
            rule: Rule::Verdict,
            least: 120,
            longest: 600,
        }
    }
}

/// How a roll went.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Its end: `done`, `stopped` or `undecided`.
    pub end: String,
    /// Why.
    pub why: String,
    /// The stage in which it ended, from 1.
    pub stage: usize,
    /// Seconds from its beginning to its verdict.
    pub seconds: u64,
    /// Calls that met the new side.
    pub exposed: f64,
    /// All calls meanwhile.
    pub calls: f64,
}

const CLASSES: [&str; 2] = ["read", "pay"];

/// Milliseconds of answers, and the share of those that took no longer one listed before; the rest take 10 ms.
const LATENCIES: [(u64, f64); 5] = [
    (SLOWEST, 0.005),
    (160, 0.015),
    (80, 0.06),
    (40, 0.13),
    (20, 0.4),
];
const SLOWEST: u64 = 320;

struct One {
    name: String,
    zone: usize,
    rate: f64,
    loss: f64,
    new: bool,
    away: i64,
    since: i64,
    incarnation: u64,
    memory: f64,
    tallies: BTreeMap<String, RequestCounters>,
}

/// The plan of a play: one front end of each zone, then a tenth, a third, all.
pub fn plan(play: &Play) -> RolloutPlan {
    let place = |n: usize| Target {
        name: format!("f{n}"),
        zone: format!("z{}", n % play.zones),
        seat: n < 3,
    };
    let ends = [play.zones, play.fronts / 5, play.fronts / 2, play.fronts];
    let mut from = 0;
    let stages = ends.into_iter().filter_map(|to| {
        let stage: Vec<Target> = (from..to.max(from)).map(place).collect();
        from = to.max(from);
        (!stage.is_empty()).then_some(stage)
    });
    RolloutPlan {
        stages: stages.collect(),
        least: play.least,
        longest: play.longest,
        undecided: InconclusivePolicy::Pass,
        spend: 0.5,
        ..RolloutPlan::default()
    }
}

/// Plays one roll.
pub fn run(play: &Play, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = plan(play);
    let spread = LogNormal::new(0.0, 0.6).expect("a spread");
    let own = LogNormal::new(0.0, 0.3).expect("a spread");
    let mut all: Vec<One> = (0..play.fronts)
        .map(|n| One {
            name: format!("f{n}"),
            zone: n % play.zones,
            rate: play.rate * spread.sample(&mut rng),
            loss: play.loss * own.sample(&mut rng),
            new: false,
            away: 0,
            since: -1000,
            incarnation: 1,
            memory: 20.0,
            tallies: CLASSES
                .iter()
                .map(|c| (c.to_string(), RequestCounters::default()))
                .collect(),
        })
        .collect();
    let mut weather = vec![0.0_f64; play.zones];
    let mut roll = Rollout::begin(
        1,
        RolloutChange::Program {
            label: "new".into(),
            path: "new".into(),
        },
        plan,
        "a play".into(),
    )
    .expect("a plan");
    let mut steer = RolloutController::new("s".into());
    let mut out = Outcome::default();
    let mut plain = Plain::default();
    let (mut judged, mut seconds) = (None, 0);
    while !roll.over() && seconds < 20_000 {
        seconds += 1;
        let now = seconds as i64;
        let lost_zone = match (play.harm, judged) {
            (Harm::ZoneLost, Some(at)) => (30..90).contains(&(now - at)).then_some(0),
            _ => None,
        };
        let doubled = match (play.harm, judged) {
            (Harm::Doubles, Some(at)) if now - at >= 30 => 2.0,
            _ => 1.0,
        };
        // Bad moments that a zone shares: they come and go over some seconds.
        let shock = Normal::new(0.0, 0.004).expect("a spread");
        weather
            .iter_mut()
            .for_each(|w| *w = 0.9 * *w + shock.sample(&mut rng));
        let shed: Vec<f64> = (0..play.zones)
            .map(|z| match play.harm {
                Harm::Shed(s) => {
                    let of = |new: bool| {
                        all.iter()
                            .filter(|f| f.zone == z && f.new == new)
                            .map(|f| f.rate)
                            .sum::<f64>()
                    };
                    s * of(true) / of(false).max(1.0)
                }
                _ => 0.0,
            })
            .collect();
        for f in all.iter_mut() {
            if f.away > 0 {
                f.away -= 1;
                if f.away == 0 {
                    (f.since, f.incarnation) = (now, f.incarnation + 1);
                    f.tallies
                        .values_mut()
                        .for_each(|t| *t = RequestCounters::default());
                }
                continue;
            }
            for (c, class) in CLASSES.iter().enumerate() {
                let part = [0.8, 0.2][c];
                let mean = f.rate * part * doubled * (1.0 + if f.new { 0.0 } else { shed[f.zone] });
                let n = poisson(&mut rng, mean);
                // Calls that a crowded front end gets more than it can bear are lost a little more.
                let mut loss = f.loss + weather[f.zone].max(-f.loss) + 0.1 * (doubled - 1.0) * 0.2;
                if lost_zone == Some(f.zone) {
                    loss = 0.7;
                }
                // A fresh one knows nothing for some seconds.
                let fresh = now - f.since < 5;
                loss += if fresh { 0.3 } else { 0.0 };
                let mut refused = 0.0;
                let mut slow = 0.0;
                if f.new {
                    let late = now - f.since >= 120;
                    loss += match play.harm {
                        Harm::All(x) => x,
                        Harm::Class(x) if c == 1 => x,
                        Harm::Zone(x) if f.zone == 0 => x,
                        Harm::Late(x) if late => x,
                        _ => 0.0,
                    };
                    match play.harm {
                        Harm::Slow(x) => slow += x,
                        Harm::Shed(x) => refused = x,
                        Harm::Leak(every) => f.memory += part / every,
                        _ => {}
                    }
                }
                // What falls to the old ones makes them lose too.
                loss += if f.new { 0.0 } else { 0.3 * shed[f.zone] };
                let loss = loss.clamp(0.0, 1.0);
                let turned = binomial(&mut rng, n, refused);
                let lost = binomial(&mut rng, n - turned, loss);
                let served = n - turned - lost;
                let t = f.tallies.get_mut(*class).expect("a class");
                (t.requested, t.served, t.rejected) =
                    (t.requested + n, t.served + served, t.rejected + turned);
                (t.failed, t.wanted, t.worth) = (
                    t.failed + lost,
                    t.wanted + n as f64,
                    t.worth + served as f64,
                );
                let mut left = served;
                for (ms, share) in LATENCIES {
                    let of = binomial(
                        &mut rng,
                        left,
                        share + if ms == SLOWEST { slow } else { 0.0 },
                    );
                    let _ = t.latency.record_n(ms * 1000, of);
                    left -= of;
                }
                let _ = t.latency.record_n(10_000, left);
                out.calls += n as f64;
                out.exposed += if f.new { n as f64 } else { 0.0 };
            }
        }
        let fronts: Vec<FrontEndObservation> = all
            .iter()
            .map(|f| FrontEndObservation {
                ready: f.away == 0,
                report: FrontEndReport {
                    name: f.name.clone(),
                    zone: format!("z{}", f.zone),
                    new: f.new,
                    incarnation: f.incarnation,
                    up: (now - f.since) as f64,
                    classes: f.tallies.clone(),
                    memory: f.memory,
                    guarded: 0,
                },
            })
            .collect();
        // Several entries may follow each other in a second.
        for _ in 0..4 {
            let Some(mut entry) = steer.poll(now * SECOND, &roll, &fronts) else {
                break;
            };
            if play.rule != Rule::Verdict {
                let Some(other) = plain.entry(play, &roll, &fronts, now, entry) else {
                    continue;
                };
                entry = other;
            }
            if let RolloutEntry::Let { name, .. } = &entry {
                if let Some(f) = all.iter_mut().find(|f| f.name == *name) {
                    (f.new, f.away) = (roll.phase != RolloutPhase::Back, 3);
                }
            }
            let _ = roll.apply(entry);
        }
        if roll.phase == RolloutPhase::Judging && judged.is_none() {
            judged = Some(now);
        }
        if roll.phase == RolloutPhase::Back {
            break;
        }
    }
    out.stage = roll.stage + 1;
    out.seconds = seconds;
    out.end = match roll.phase {
        RolloutPhase::Done => "done",
        RolloutPhase::Back | RolloutPhase::Stopped => "stopped",
        _ => "undecided",
    }
    .into();
    out.why = roll.why.clone();
    out
}

fn binomial(rng: &mut StdRng, n: u64, p: f64) -> u64 {
    Binomial::new(n, p.clamp(0.0, 1.0)).map_or(0, |b| b.sample(rng))
}

fn poisson(rng: &mut StdRng, mean: f64) -> u64 {
    rand_distr::Poisson::new(mean.max(1e-9))
        .map_or(0, |p: rand_distr::Poisson<f64>| p.sample(rng) as u64)
}

/// The plain rules: a stage is judged once, when its least time is over.
#[derive(Default)]
struct Plain {
    stage: Option<(usize, i64)>,
    began: BTreeMap<String, (f64, f64)>,
    before: Option<f64>,
}

impl Plain {
    fn entry(
        &mut self,
        play: &Play,
        roll: &Rollout,
        fronts: &[FrontEndObservation],
        now: i64,
        entry: RolloutEntry,
    ) -> Option<RolloutEntry> {
        let total = |r: &FrontEndReport| {
            r.classes
                .values()
                .fold((0.0, 0.0), |(a, b), t| (a + t.worth, b + t.wanted))
        };
        if self.before.is_none() {
            if let RolloutEntry::Let { .. } = entry {
                let all = fronts
                    .iter()
                    .map(|f| total(&f.report))
                    .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
                self.before = Some(1.0 - all.0 / all.1.max(1.0));
            }
        }
        if roll.phase != RolloutPhase::Judging {
            return Some(entry);
        }
        if self.stage.is_none_or(|s| s.0 != roll.stage) {
            self.stage = Some((roll.stage, now));
            self.began = fronts
                .iter()
                .map(|f| (f.report.name.clone(), total(&f.report)))
                .collect();
        }
        let since = self.stage.map_or(now, |s| s.1);
        let (at, fence) = (roll.at, roll.fence);
        if now - since < play.least as i64 {
            return matches!(entry, RolloutEntry::Beat { .. }).then_some(entry);
        }
        let loss = |new: bool| {
            let of = fronts.iter().filter(|f| f.report.new == new).map(|f| {
                let (a, b) = (
                    total(&f.report),
                    self.began.get(&f.report.name).copied().unwrap_or_default(),
                );
                (a.0 - b.0, a.1 - b.1)
            });
            let (worth, wanted) = of.fold((0.0, 0.0), |x, y| (x.0 + y.0, x.1 + y.1));
            (wanted > 0.0).then(|| 1.0 - worth / wanted)
        };
        let over = match play.rule {
            Rule::Threshold(x) => loss(true).zip(loss(false)).is_some_and(|(n, o)| n - o >= x),
            Rule::OwnPast(x) => loss(true).zip(self.before).is_some_and(|(n, b)| n - b >= x),
            Rule::Verdict => false,
        };
        let why = "the plain rule".to_string();
        Some(if over {
            RolloutEntry::Worse { at, fence, why }
        } else {
            RolloutEntry::Pass { at, fence, why }
        })
    }
}

/// Many rolls together.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// What was played.
    pub play: Play,
    /// Rolls.
    pub rolls: u64,
    /// Share stopped.
    pub stopped: f64,
    /// Of those stopped: share in each stage.
    pub stages: Vec<f64>,
    /// Of those stopped: seconds to the verdict, median and 90th of 100.
    pub seconds: [u64; 2],
    /// Of those stopped: median share of all calls of that time that met the new side.
    pub exposed: f64,
    /// Of those done: median seconds.
    pub done_seconds: u64,
    /// Reasons, by the first word, and how often.
    pub why: BTreeMap<String, u64>,
}

/// Plays seeds from `from` on so many threads; the outcome does not depend on their number.
pub fn many(play: &Play, from: u64, rolls: u64, threads: usize) -> Summary {
    let mut all: Vec<(u64, Outcome)> =
        crate::spread(from, rolls, threads, |seed| (seed, run(play, seed)));
    all.sort_by_key(|o| o.0);
    let stopped: Vec<&Outcome> = all
        .iter()
        .map(|o| &o.1)
        .filter(|o| o.end == "stopped")
        .collect();
    let at = |mut v: Vec<u64>, q: f64| {
        v.sort();
        v.get(((v.len() as f64 - 1.0) * q).round().max(0.0) as usize)
            .copied()
            .unwrap_or(0)
    };
    let n = stopped.len().max(1) as f64;
    let stages = (1..=4)
        .map(|s| stopped.iter().filter(|o| o.stage == s).count() as f64 / n)
        .collect();
    let times: Vec<u64> = stopped.iter().map(|o| o.seconds).collect();
    let exposed = stopped
        .iter()
        .map(|o| (1e6 * o.exposed / o.calls.max(1.0)) as u64)
        .collect();
    let done = all
        .iter()
        .map(|o| &o.1)
        .filter(|o| o.end == "done")
        .map(|o| o.seconds)
        .collect();
    let mut why = BTreeMap::new();
    for o in &stopped {
        let word = o.why.split(':').next().unwrap_or("").to_string();
        *why.entry(word).or_insert(0) += 1;
    }
    Summary {
        play: play.clone(),
        rolls,
        stopped: stopped.len() as f64 / rolls.max(1) as f64,
        stages,
        seconds: [at(times.clone(), 0.5), at(times, 0.9)],
        exposed: at(exposed, 0.5) as f64 / 1e6,
        done_seconds: at(done, 0.5),
        why,
    }
}
