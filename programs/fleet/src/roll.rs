//! Changes in stages: begun, looked at, paused, aborted.

use crate::processes::label;
use crate::up::look_at;
use crate::{seat, show, Arguments, Client, Not};
use clap::Subcommand;
use ratatui::crossterm::event;
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tansy_agreement::log::{Version, VersionedSettings};
use tansy_fleet_wire::pb::enter_request::Entry as Enter;
use tansy_fleet_wire::{of_roll, roll_entry};
use tansy_rollout::{
    InconclusivePolicy, Rollout, RolloutChange, RolloutEntry, RolloutPhase, RolloutPlan, Target,
};
use tansy_settings::agree::version;

/// Time for an answer.
const WITHIN: Duration = Duration::from_secs(2);
/// Between two looks of `--watch`.
const WATCH: Duration = Duration::from_secs(1);

/// What is asked of rolls.
#[derive(Subcommand)]
pub enum Asked {
    /// Begins a change. It goes on by itself, steered by whichever supervisor or `tansy-fleet steer` is there.
    Begin {
        /// The new program's file, at the same place on every machine.
        #[arg(
            long,
            required_unless_present = "settings",
            conflicts_with = "settings"
        )]
        program: Option<PathBuf>,
        /// The new settings' file.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// How it is to go (TOML); what is left out takes its default.
        #[arg(long)]
        plan: Option<PathBuf>,
        /// Shares of the fleet that are changed by the end of each stage.
        #[arg(long, value_delimiter = ',', default_value = "0.1,0.3,1")]
        stages: Vec<f64>,
        /// Why, for those who read it later.
        #[arg(long, default_value = "")]
        why: String,
        /// The roll's own number: asked again with the same one, it is the same roll.
        #[arg(long)]
        id: Option<u64>,
        /// Only show the plan.
        #[arg(long)]
        dry_run: bool,
    },
    /// Where it stands: stages, old against new, what it waits for.
    Status {
        /// Again and again, until it is over.
        #[arg(long)]
        watch: bool,
    },
    /// Nothing further is changed. What goes back goes on.
    Pause {
        /// Why.
        #[arg(long, default_value = "an operator's word")]
        why: String,
    },
    /// On with it.
    Resume,
    /// It goes back.
    Abort {
        /// Why.
        #[arg(long, default_value = "an operator's word")]
        why: String,
    },
    /// Writes one page (HTML) on the last roll: what changed, stage by stage, old against new.
    Report {
        /// Where to.
        #[arg(long)]
        out: PathBuf,
    },
}

/// The file of a plan: what is left out takes the default.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    at_once: Option<usize>,
    least: Option<u64>,
    longest: Option<u64>,
    ready: Option<u64>,
    slice: Option<u64>,
    spend: Option<f64>,
    error: Option<f64>,
    matters: Option<f64>,
    accept: Option<f64>,
    warm_up: Option<u64>,
    memory: Option<u64>,
    undecided: Option<InconclusivePolicy>,
}

fn plan(path: Option<&Path>) -> Result<RolloutPlan, Not> {
    let Some(path) = path else {
        return Ok(RolloutPlan::default());
    };
    let told = |e: String| Not::Right(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| told(e.to_string()))?;
    let f: PlanFile = toml::from_str(&text).map_err(|e| told(e.to_string()))?;
    let d = RolloutPlan::default();
    Ok(RolloutPlan {
        at_once: f.at_once.unwrap_or(d.at_once),
        least: f.least.unwrap_or(d.least),
        longest: f.longest.unwrap_or(d.longest),
        ready: f.ready.unwrap_or(d.ready),
        slice: f.slice.unwrap_or(d.slice),
        spend: f.spend.unwrap_or(d.spend),
        error: f.error.unwrap_or(d.error),
        matters: f.matters.unwrap_or(d.matters),
        accept: f.accept.unwrap_or(d.accept),
        warm_up: f.warm_up.unwrap_or(d.warm_up),
        memory: f.memory.unwrap_or(d.memory),
        undecided: f.undecided.unwrap_or(d.undecided),
        stages: d.stages,
    })
}

/// Stages by shares: front ends of all zones in turn, those that keep no log first, so that no stage takes more of one zone
/// than of another.
pub fn stages(places: Vec<Target>, shares: &[f64]) -> Result<Vec<Vec<Target>>, String> {
    let rising =
        shares.windows(2).all(|w| w[0] < w[1]) && shares.iter().all(|s| *s > 0.0 && *s <= 1.0);
    if !rising || shares.is_empty() {
        return Err(format!(
            "--stages {shares:?}: want shares over 0 and up to 1, each more than the one before"
        ));
    }
    let mut zones: BTreeMap<String, VecDeque<Target>> = BTreeMap::new();
    let (mut others, seats): (Vec<Target>, Vec<Target>) = places.into_iter().partition(|p| !p.seat);
    others.extend(seats);
    let all = others.len();
    others
        .into_iter()
        .for_each(|p| zones.entry(p.zone.clone()).or_default().push_back(p));
    let mut turn = Vec::new();
    while zones.values().any(|z| !z.is_empty()) {
        turn.extend(zones.values_mut().filter_map(VecDeque::pop_front));
    }
    let mut turn = turn.into_iter();
    let (mut done, mut stages) = (0, Vec::new());
    for share in shares {
        let to = ((share * all as f64).ceil() as usize).clamp(done + 1, all.max(done + 1));
        let stage: Vec<Target> = turn.by_ref().take(to - done).collect();
        done = to;
        if !stage.is_empty() {
            stages.push(stage);
        }
    }
    Ok(stages)
}

/// Runs what is asked.
pub(crate) fn run(a: &Arguments, client: &mut Client, asked: &Asked) -> Result<(), Not> {
    match asked {
        Asked::Begin {
            program,
            settings,
            plan: file,
            stages: shares,
            why,
            id,
            dry_run,
        } => {
            let mut plan = plan(file.as_deref())?;
            plan.stages = stages(places(a, client)?, shares).map_err(Not::Right)?;
            if let Some(wrong) = plan.wrong() {
                return Err(Not::Right(format!("the plan: {wrong}")));
            }
            let (what, fields) = match (program, settings) {
                (Some(path), _) => {
                    let told = |e: std::io::Error| Not::Right(format!("{}: {e}", path.display()));
                    let path = path.canonicalize().map_err(told)?;
                    let label = label(&path).map_err(told)?;
                    (
                        RolloutChange::Program {
                            label,
                            path: path.display().to_string(),
                        },
                        None,
                    )
                }
                (None, Some(path)) => {
                    let name = path.display().to_string();
                    let text = std::fs::read_to_string(path)
                        .map_err(|e| Not::Right(format!("{name}: {e}")))?;
                    let fields = version(&name, &text).map_err(|e| Not::Right(e.to_string()))?;
                    let why = why.clone();
                    (
                        RolloutChange::Settings,
                        Some(VersionedSettings {
                            version: Version(0),
                            fields,
                            reason: why,
                            id: 0,
                        }),
                    )
                }
                (None, None) => return Err(Not::Right("want --program or --settings".into())),
            };
            if *dry_run {
                show(a, &plan, || plain_plan(&plan));
                return Ok(());
            }
            let id = id.unwrap_or_else(|| fastrand::u64(1..1 << 53));
            let leader = seat(client, a.at)?;
            let entry = RolloutEntry::Begin {
                id,
                what,
                plan,
                why: why.clone(),
            };
            client.enter(leader, Enter::Roll(roll_entry(&entry, fields.as_ref())))?;
            crate::say(
                a,
                &format!("roll {id} has begun; `tansy-fleet roll status --watch` shows it"),
            );
            Ok(())
        }
        Asked::Status { watch: false } => {
            let roll = last(a, client)?;
            show(a, &roll, || plain(&roll));
            Ok(())
        }
        Asked::Status { watch: true } => {
            let terminal = !a.json && std::io::stdout().is_terminal();
            let roll = if terminal {
                in_terminal(a, client)?
            } else {
                in_lines(a, client)?
            };
            if terminal {
                show(a, &roll, || plain(&roll));
            }
            if roll.phase == RolloutPhase::Stopped {
                Err(Not::Kept(roll.why))
            } else {
                Ok(())
            }
        }
        Asked::Pause { why } => step(
            a,
            client,
            |id| RolloutEntry::Pause {
                id,
                why: why.clone(),
            },
            "is paused",
        ),
        Asked::Resume => step(a, client, |id| RolloutEntry::Resume { id }, "goes on"),
        Asked::Abort { why } => step(
            a,
            client,
            |id| RolloutEntry::Abort {
                id,
                why: why.clone(),
            },
            "goes back",
        ),
        Asked::Report { out } => {
            let roll = last(a, client)?;
            let page = crate::report::page(&roll).map_err(Not::Right)?;
            std::fs::write(out, page).map_err(|e| Not::Right(format!("{}: {e}", out.display())))?;
            crate::say(
                a,
                &format!("{} holds the report of roll {}", out.display(), roll.id),
            );
            Ok(())
        }
    }
}

/// Prints a roll again and again until it is over.
fn in_lines(a: &Arguments, client: &mut Client) -> Result<Rollout, Not> {
    loop {
        let roll = last(a, client)?;
        show(a, &roll, || plain(&roll));
        if roll.over() {
            return Ok(roll);
        }
        client.wait(WATCH);
    }
}

/// Draws it until it is over, or `q` or Ctrl-C is pressed.
fn in_terminal(a: &Arguments, client: &mut Client) -> Result<Rollout, Not> {
    let mut roll = last(a, client)?;
    let drawn = ratatui::run(|terminal| -> std::io::Result<()> {
        while !roll.over() {
            terminal.draw(|frame| crate::view::draw(frame, &roll))?;
            if event::poll(WATCH)? {
                if let event::Event::Key(key) = event::read()? {
                    let control = key.modifiers.contains(event::KeyModifiers::CONTROL);
                    if key.code == event::KeyCode::Char('q')
                        || control && key.code == event::KeyCode::Char('c')
                    {
                        return Ok(());
                    }
                }
            }
            // The seat that leads may be away for a moment.
            if let Ok(now) = last(a, client) {
                roll = now;
            }
        }
        Ok(())
    });
    drawn.map_err(|e| Not::Reached(format!("the terminal: {e}")))?;
    Ok(roll)
}

/// All front ends that are there.
fn places(a: &Arguments, client: &mut Client) -> Result<Vec<Target>, Not> {
    let s = client.status(a.at)?;
    let all: Vec<SocketAddr> = s
        .others
        .iter()
        .chain(&s.process)
        .filter_map(|p| p.address.parse().ok())
        .collect();
    let mut places: Vec<Target> = look_at(client, &all, |_| false)
        .into_iter()
        .map(|(f, seat)| Target {
            name: f.report.name,
            zone: f.report.zone,
            seat,
        })
        .collect();
    places.sort();
    if places.len() < all.len() {
        let why = format!(
            "{} of {} front ends answer: look at `status` first",
            places.len(),
            all.len()
        );
        return Err(Not::Reached(why));
    }
    Ok(places)
}

fn last(a: &Arguments, client: &mut Client) -> Result<Rollout, Not> {
    let leader = seat(client, a.at)?;
    let reply = client.rolls(&[leader], WITHIN).pop();
    let reply = reply.unwrap_or_else(|| {
        Err(tansy_net_fleet::client::RequestError::Unreachable(
            "no answer".into(),
        ))
    })?;
    let roll = of_roll(&reply.roll).map_err(|e| Not::Reached(e.to_string()))?;
    roll.ok_or_else(|| Not::Taken("there was no roll yet".into()))
}

fn step(
    a: &Arguments,
    client: &mut Client,
    make: impl FnOnce(u64) -> RolloutEntry,
    does: &str,
) -> Result<(), Not> {
    let roll = last(a, client)?;
    let leader = seat(client, a.at)?;
    client.enter(leader, Enter::Roll(roll_entry(&make(roll.id), None)))?;
    crate::say(a, &format!("roll {} {does}", roll.id));
    Ok(())
}

fn plain_plan(plan: &RolloutPlan) -> String {
    let mut lines = Vec::new();
    for (n, stage) in plan.stages.iter().enumerate() {
        let names: Vec<String> = stage
            .iter()
            .map(|p| format!("{} ({})", p.name, p.zone))
            .collect();
        lines.push(format!("stage {}: {}", n + 1, names.join(", ")));
    }
    lines.push(format!(
        "each from {} to {} s; {} of a zone away at once; stopped at a loss of {} points that is no luck",
        plan.least,
        plan.longest,
        plan.at_once,
        plan.matters * 100.0
    ));
    lines.join("\n")
}

/// What is printed of a roll, for people.
pub fn plain(roll: &Rollout) -> String {
    let what = match &roll.what {
        RolloutChange::Program { label, path } => {
            format!("program {path} ({})", label.get(..12).unwrap_or(label))
        }
        RolloutChange::Settings => "settings".to_string(),
    };
    let phase = match roll.phase {
        RolloutPhase::Moving => "changing front ends",
        RolloutPhase::Judging => "under judgement",
        RolloutPhase::Back => "going back",
        RolloutPhase::Done => "done",
        RolloutPhase::Stopped => "stopped: all are as they were",
    };
    let mut lines = vec![format!(
        "roll {} of {what}: stage {} of {}, {phase}{}",
        roll.id,
        roll.stage + 1,
        roll.plan.stages.len(),
        if roll.paused { ", paused" } else { "" }
    )];
    if !roll.why.is_empty() {
        lines.push(format!("  {}", roll.why));
    }
    lines.push(format!(
        "  changed {} of {}, on their way {}; steered by {}",
        roll.moved.len(),
        roll.plan.stages.iter().flatten().count(),
        if roll.moving.is_empty() {
            "none".to_string()
        } else {
            roll.moving.iter().cloned().collect::<Vec<_>>().join(", ")
        },
        if roll.steerer.is_empty() {
            "nobody yet: run `tansy-fleet up` or `steer`"
        } else {
            &roll.steerer
        }
    ));
    for seen in &roll.seen {
        lines.push(format!(
            "  stage {}, {} s, {}:",
            seen.stage + 1,
            seen.elapsed_seconds,
            crate::report::said(seen)
        ));
        for m in &seen.measurements {
            lines.push(format!(
                "    {:<24} old {:>7.3}%  new {:>7.3}%  loss {:>+7.3} +- {:.3} points ({} slices)",
                m.what,
                m.old * 100.0,
                m.new * 100.0,
                m.loss * 100.0,
                m.half * 100.0,
                m.slices
            ));
        }
    }
    let late = roll.steps.len().saturating_sub(8);
    lines.extend(roll.steps.iter().skip(late).map(|s| format!("  - {s}")));
    lines.join("\n")
}
