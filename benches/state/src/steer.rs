//! Whoever steers a roll: what a look at the fleet costs by the front ends that answer, and how long a roll lasts, in virtual
//! time. Answers are the real letters, taken as a steerer takes them; a look is `tansy_rollout::Steer`'s own.

use crate::inputs::{CALLS_S, CLASSES};
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use prost::Message;
use std::collections::BTreeMap;
use tansy_fleet_wire::{of_counts, pb, roll_entry};
use tansy_rollout::{
    FrontEndObservation, Rollout, RolloutChange, RolloutController, RolloutEntry, RolloutPlan,
    RolloutRejection, Target, Time, SECOND,
};

/// Zones of the fleet.
const ZONES: usize = 17;
/// Seats of the fleet.
const SEATS: usize = 5;
/// Between two looks, as `tansy-fleet up` and `tansy-fleet steer` take them.
const ASK: Time = SECOND / 4;
/// From a front end's being let go to its being ready again.
const RESTART: Time = 5 * SECOND;
/// Shares of the fleet that are changed by the end of each stage, as `tansy-fleet roll begin` has them.
const STAGES: [f64; 3] = [0.1, 0.3, 1.0];
/// Distinct latencies that a class of a front end tells of.
const LATENCIES: usize = 40;
/// Looks of each sort that are timed.
const TIMED: usize = 8;
/// The label of the new program.
const NEW: &str = "new";
/// A roll that is not over by then is given up.
const GIVEN_UP: Time = 200_000 * SECOND;

/// The plan for so many front ends: all zones in turn, the seats last.
pub fn plan(front_ends: usize) -> RolloutPlan {
    let place = |n: usize| Target {
        name: format!("front-{n:05}"),
        zone: format!("zone-{}", n % ZONES),
        seat: n + SEATS >= front_ends,
    };
    let to = |share: f64| (share * front_ends as f64).ceil() as usize;
    let mut stages = Vec::new();
    let mut from = 0;
    for share in STAGES {
        let stage: Vec<Target> = (from..to(share)).map(place).collect();
        from = to(share).max(from);
        stages.extend(Some(stage).filter(|s| !s.is_empty()));
    }
    RolloutPlan {
        stages,
        ..RolloutPlan::default()
    }
}

fn begin(front_ends: usize) -> Result<Rollout, RolloutRejection> {
    let what = RolloutChange::Program {
        label: NEW.into(),
        path: "/programs/new".into(),
    };
    Rollout::begin(1, what, plan(front_ends), "measured".into())
}

/// One front end, as it answers.
struct Answering {
    name: String,
    zone: String,
    seat: bool,
    new: bool,
    ready: bool,
    since: Time,
    back: Option<Time>,
}

/// All front ends.
pub struct Fleet {
    all: Vec<Answering>,
    places: BTreeMap<String, usize>,
    classes: usize,
    rng: fastrand::Rng,
}

impl Fleet {
    /// So many that have run for a while.
    pub fn new(front_ends: usize, classes: usize, seed: u64) -> Fleet {
        let one = |p: Target| Answering {
            name: p.name,
            zone: p.zone,
            seat: p.seat,
            new: false,
            ready: true,
            since: -3600 * SECOND,
            back: None,
        };
        let all: Vec<Answering> = plan(front_ends)
            .stages
            .into_iter()
            .flatten()
            .map(one)
            .collect();
        let places = all
            .iter()
            .enumerate()
            .map(|(n, a)| (a.name.clone(), n))
            .collect();
        Fleet {
            all,
            places,
            classes,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// One is let go: it ends, and is back with the new program.
    fn let_go(&mut self, name: &str, now: Time) {
        let Some(a) = self.places.get(name).and_then(|n| self.all.get_mut(*n)) else {
            return;
        };
        (a.ready, a.back) = (false, Some(now + RESTART));
    }

    /// Time passes.
    fn pass(&mut self, now: Time) {
        for a in &mut self.all {
            if let Some(at) = a.back.take_if(|at| *at <= now) {
                (a.ready, a.new, a.since) = (true, true, at);
            }
        }
    }

    /// The answer of each, in bytes, as the program of a front end writes them.
    pub fn answers(&mut self, now: Time) -> Vec<Vec<u8>> {
        let (classes, rng) = (self.classes, &mut self.rng);
        let mut answer = |a: &Answering| {
            let up = now - a.since;
            let calls = CALLS_S * up as f64 / 1e6 / classes as f64;
            let mut class = |n: usize| {
                // A call in a thousand fails, more or less by chance.
                let lost = (calls * 0.001 * (0.9 + 0.2 * rng.f64())) as u64;
                let served = calls as u64 - lost.min(calls as u64);
                let each = served / LATENCIES as u64;
                let took: Vec<u64> = (1..=LATENCIES as u64)
                    .map(|l| 4_000 + l * l * 100)
                    .collect();
                pb::ClassCounters {
                    class: format!("class-{n}"),
                    asked: calls as u64,
                    served: each * LATENCIES as u64,
                    failed: lost,
                    wanted: calls,
                    worth: calls - lost as f64,
                    calls: vec![each; took.len()],
                    took,
                    ..Default::default()
                }
            };
            let reply = pb::CountsReply {
                name: a.name.clone(),
                zone: a.zone.clone(),
                incarnation: a.since.unsigned_abs(),
                up,
                ready: a.ready,
                label: if a.new { NEW.into() } else { "old".into() },
                memory: 30_000_000,
                classes: (0..classes).map(&mut class).collect(),
                seat: a.seat,
                ..Default::default()
            };
            reply.encode_to_vec()
        };
        self.all
            .iter()
            .filter(|a| a.ready)
            .map(&mut answer)
            .collect()
    }
}

/// Answers as a steerer takes them.
pub fn taken(answers: &[Vec<u8>]) -> Vec<FrontEndObservation> {
    let one = |bytes: &Vec<u8>| {
        let c = pb::CountsReply::decode(bytes.as_slice()).ok()?;
        let new = c.label == NEW;
        of_counts(c, new).ok()
    };
    answers.iter().filter_map(one).collect()
}

fn refused(why: &RolloutRejection, args: &Args, output: &mut OutputRecord) {
    output.count("refused", 1);
    output.add_note(format!(
        "a roll over {} front ends is refused: {why}",
        args.front_ends
    ));
}

/// What a look costs whoever steers, and what it holds.
pub fn steer(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let mut roll = match begin(args.front_ends) {
        Ok(roll) => roll,
        Err(why) => {
            refused(&why, args, output);
            return Ok(());
        }
    };
    output.count("refused", 0);
    output.count("classes", CLASSES);
    let mut fleet = Fleet::new(args.front_ends, CLASSES, args.seed);
    let first = fleet.answers(0);
    let bytes: usize = first.iter().map(Vec::len).sum();
    output.figure("answer_bytes", bytes as f64 / first.len().max(1) as f64);
    output.count("look_bytes", bytes);
    output.count("look_messages", 2 * first.len());
    output.figure("look_kb_s", bytes as f64 / 1e3 * (SECOND / ASK) as f64);
    drop(first);
    let grown = MemoryGrowth::begin();
    let mut steer = RolloutController::new("steerer".into());
    let (mut take, mut slices, mut moving) = (
        Distribution::default(),
        Distribution::default(),
        Distribution::default(),
    );
    let mut now = 0;
    let mut entries = Vec::new();
    // What is usual is learnt before the first one is let go: a look that compares every slice.
    let mut fronts = Vec::new();
    let slice = roll.plan.slice as Time * SECOND;
    while now < roll.plan.least as Time * SECOND {
        let answers = fleet.answers(now);
        let (all, took) = timed(|| taken(&answers));
        take.add(took);
        fronts = all;
        // A look that the fence is asked with does nothing else.
        let (entry, took) = timed(|| steer.poll(now, &roll, &fronts));
        if roll.fence > 0 {
            slices.add(took);
        }
        if let Some(entry) = entry {
            let let_go = matches!(entry, RolloutEntry::Let { .. });
            roll.apply(entry)
                .map_err(|e| BenchError::failed("a step of the roll", e))?;
            if let_go {
                break;
            }
        }
        now += slice;
    }
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    // Looks between: half of the last stage is changed, the others are let go one by one.
    now = roll.plan.least as Time * SECOND + slice;
    let half: Vec<String> = roll.plan.up_to(0).map(|p| p.name.clone()).collect();
    for name in half.iter().take(half.len() / 2) {
        let (at, fence) = (roll.at, roll.fence);
        if !roll.moving.contains(name) {
            let go = RolloutEntry::Let {
                at,
                fence,
                name: name.clone(),
            };
            roll.apply(go)
                .map_err(|e| BenchError::failed("a step of the roll", e))?;
        }
        let moved = RolloutEntry::Moved {
            at: roll.at,
            fence,
            name: name.clone(),
        };
        roll.apply(moved)
            .map_err(|e| BenchError::failed("a step of the roll", e))?;
        fleet.let_go(name, now - RESTART);
    }
    fleet.pass(now);
    fronts
        .iter_mut()
        .filter(|f| roll.moved.contains(&f.report.name))
        .for_each(|f| f.report.new = true);
    // The look that a slice begins with is one of the others.
    let _ = steer.poll(now, &roll, &fronts);
    for _ in 0..TIMED {
        now += ASK;
        let (entry, took) = timed(|| steer.poll(now, &roll, &fronts));
        moving.add(took);
        let Some(entry) = entry else { continue };
        entries.push(roll_entry(&entry, None).encode_to_vec().len());
        roll.apply(entry)
            .map_err(|e| BenchError::failed("a step of the roll", e))?;
    }
    output.insert("take_ms", take.ms());
    output.insert("slice_ms", slices.ms());
    output.insert("look_ms", moving.ms());
    output.figure(
        "step_bytes",
        entries.iter().sum::<usize>() as f64 / entries.len().max(1) as f64,
    );
    let (text, took) = timed(|| serde_json::to_string(&roll).unwrap_or_default());
    output.count("roll_bytes", text.len());
    output.figure("roll_encode_ms", ms(took));
    // All answers taken and one look between, four times a second.
    let each = take.mean_ms() + moving.mean_ms() + slices.mean_ms() * ASK as f64 / slice as f64;
    output.figure("steer_cpu", each / (ASK as f64 / 1e3) * 100.0);
    Ok(())
}

/// What a roll was like.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Played {
    /// Steps that were agreed on, beats aside.
    pub steps: u64,
    /// Beats.
    pub beats: u64,
    /// Front ends let go, and back.
    pub moved: (u64, u64),
    /// The most that were away at once.
    pub away: usize,
    /// Bytes of all entries.
    pub bytes: u64,
    /// Virtual time from its beginning to its end.
    pub took: Time,
    /// All front ends run the new program.
    pub done: bool,
}

/// Plays a roll from its beginning to its end.
pub fn play(front_ends: usize, seed: u64) -> Result<(Played, Rollout), RolloutRejection> {
    let mut roll = begin(front_ends)?;
    let mut fleet = Fleet::new(front_ends, 1, seed);
    let mut steer = RolloutController::new("steerer".into());
    let (mut now, mut played) = (0, Played::default());
    let slice = roll.plan.slice as Time * SECOND;
    let mut fronts = taken(&fleet.answers(0));
    let mut fresh = 0;
    while !roll.over() && now < GIVEN_UP {
        fleet.pass(now);
        if now >= fresh {
            // Counts matter where slices are compared; between them it matters who answers, and of which side it is.
            fronts = taken(&fleet.answers(now));
            fresh = now + slice;
        }
        for f in &mut fronts {
            let a = fleet
                .places
                .get(&f.report.name)
                .and_then(|n| fleet.all.get(*n));
            a.into_iter()
                .for_each(|a| (f.ready, f.report.new) = (a.ready, a.new));
        }
        if let Some(entry) = steer.poll(now, &roll, &fronts) {
            played.bytes += roll_entry(&entry, None).encode_to_vec().len() as u64;
            match &entry {
                RolloutEntry::Beat { .. } => played.beats += 1,
                RolloutEntry::Let { name, .. } => {
                    played.moved.0 += 1;
                    fleet.let_go(name, now);
                }
                RolloutEntry::Moved { .. } => played.moved.1 += 1,
                _ => {}
            }
            played.steps += u64::from(!matches!(entry, RolloutEntry::Beat { .. }));
            roll.apply(entry)?;
        }
        played.away = played.away.max(roll.moving.len());
        now += ASK;
    }
    (played.took, played.done) = (now, roll.phase == tansy_rollout::RolloutPhase::Done);
    Ok((played, roll))
}

/// How long a roll of a program lasts.
pub fn roll(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let (played, roll) = match play(args.front_ends, args.seed) {
        Ok(played) => played,
        Err(why @ RolloutRejection::Plan(_)) => {
            refused(&why, args, output);
            return Ok(());
        }
        Err(why) => return Err(BenchError::failed("a step of the roll", why)),
    };
    if !played.done {
        return Err(BenchError::failed(
            "the roll",
            format!("it is not done: {}", roll.why),
        ));
    }
    output.count("refused", 0);
    output.count("zones", ZONES);
    output.count("at_once", roll.plan.at_once);
    output.figure("restart_s", RESTART as f64 / 1e6);
    output.figure("roll_s", played.took as f64 / 1e6);
    output.count("steps", played.steps as usize);
    output.count("beats", played.beats as usize);
    output.count("away", played.away);
    output.figure(
        "step_bytes",
        played.bytes as f64 / (played.steps + played.beats).max(1) as f64,
    );
    output.count(
        "roll_bytes",
        serde_json::to_string(&roll).unwrap_or_default().len(),
    );
    Ok(())
}
