//! Functions that are agreed on one by one: set, removed, shown.

use crate::client::Client;
use crate::{print, seat, show, Arguments, Not, Wait, LOOK_EVERY};
use clap::Subcommand;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::{part, quote, Fields};
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopePhase, ScopeRecord, ScopeTransaction, ScopeUpdate};
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{of_scoped, pb, scope_request};
use tansy_settings::agree::{functions, label};

#[derive(Subcommand)]
pub(crate) enum Asked {
    /// Sets one function, and waits until that is in force.
    Set {
        /// Its name.
        name: String,
        /// Its class.
        #[arg(long)]
        class: String,
        /// Memory of one instance, as 100MB.
        #[arg(long)]
        memory: String,
        /// Calls that one instance runs at a time.
        #[arg(long)]
        lanes: Option<u32>,
        /// Usual time of a load, as 50ms.
        #[arg(long)]
        load_time: Option<String>,
        /// A version that is named to clients; may be given again.
        #[arg(long = "version")]
        versions: Vec<String>,
        #[command(flatten)]
        how: How,
    },
    /// Removes functions, together or not at all.
    Remove {
        /// Their names.
        #[arg(required = true)]
        names: Vec<String>,
        #[command(flatten)]
        how: How,
    },
    /// Sets all functions of a file, together or not at all.
    Apply {
        /// A file with `functions: {...}` as settings have it, and nothing else.
        file: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// What functions are, and where changes of them stand.
    Show {
        /// Their names.
        #[arg(required = true)]
        names: Vec<String>,
    },
}

#[derive(clap::Args)]
pub(crate) struct How {
    /// Why, for the seats' log.
    #[arg(long, default_value = "")]
    why: String,
    /// The revision that the change was made from: another one by now means that somebody else changed it.
    #[arg(long)]
    expect: Option<u64>,
    #[command(flatten)]
    wait: Wait,
}

/// A function as it is shown.
#[derive(Serialize)]
struct ScopeLine {
    name: String,
    /// The step in which it came in force; 0: there is no such function.
    revision: u64,
    is: &'static str,
    fields: Option<BTreeMap<String, String>>,
    /// While it changes; none: it is to be removed.
    next: Option<BTreeMap<String, String>>,
    /// Who holds it and is not known to have come as far.
    waits_for: Vec<String>,
}

fn texts(fields: &Fields) -> BTreeMap<String, String> {
    fields
        .iter()
        .map(|(name, v)| (name.clone(), v.to_string()))
        .collect()
}

impl ScopeLine {
    fn of(name: String, scoped: &ScopeRecord, waits_for: Vec<String>) -> ScopeLine {
        let is = match scoped.phase {
            ScopePhase::Joint { .. } => "changing",
            _ if scoped.fields.is_none() => "not there",
            ScopePhase::Settled => "in force",
            ScopePhase::Settling { .. } => "in force, settling",
            ScopePhase::Reverting { .. } => "in force, a change of it was given up",
        };
        let next = scoped.next().and_then(Option::as_ref).map(texts);
        let fields = scoped.fields.as_ref().map(texts);
        ScopeLine {
            name,
            revision: scoped.revision.0,
            is,
            fields,
            next,
            waits_for,
        }
    }

    fn plain(&self) -> String {
        let fields = |all: &BTreeMap<String, String>| {
            let all: Vec<String> = all.iter().map(|(name, v)| format!("{name}: {v}")).collect();
            all.join(", ")
        };
        let mut line = format!("{}: {}, revision {}", self.name, self.is, self.revision);
        line += &self
            .fields
            .as_ref()
            .map_or(String::new(), |f| format!("\n    {}", fields(f)));
        line += &self
            .next
            .as_ref()
            .map_or(String::new(), |f| format!("\n    is to be {}", fields(f)));
        if !self.waits_for.is_empty() {
            line += &format!("\n    waits for {}", self.waits_for.join(", "));
        }
        line + "\n"
    }
}

pub(crate) fn run(a: &Arguments, client: &mut Client, asked: &Asked) -> Result<(), Not> {
    let read =
        |name: &str, text: &str| functions(name, text).map_err(|e| Not::Right(e.to_string()));
    match asked {
        Asked::Set {
            name,
            class,
            memory,
            lanes,
            load_time,
            versions,
            how,
        } => {
            let mut text = format!(
                "functions: {}: {{class: {}",
                label(&part(name)),
                quote(class)
            );
            text += &format!(", memory: {memory}");
            text += &lanes.map_or(String::new(), |n| format!(", lanes: {n}"));
            text += &load_time
                .as_ref()
                .map_or(String::new(), |t| format!(", load_time: {t}"));
            if !versions.is_empty() {
                let all: Vec<String> = versions.iter().map(|v| quote(v)).collect();
                text += &format!(", versions: [{}]", all.join(", "));
            }
            let all = read("the arguments", &(text + "}\n"))?;
            change(
                a,
                client,
                all.into_iter().map(|(n, f)| (n, Some(f))).collect(),
                how,
            )
        }
        Asked::Remove { names, how } => change(
            a,
            client,
            names.iter().map(|n| (n.clone(), None)).collect(),
            how,
        ),
        Asked::Apply { file, how } => {
            let path = file.display().to_string();
            let text =
                std::fs::read_to_string(file).map_err(|e| Not::Right(format!("{path}: {e}")))?;
            let all = read(&path, &text)?;
            if all.is_empty() {
                return Err(Not::Right(format!(
                    "{path}: no function is given: want functions: {{...}}"
                )));
            }
            change(
                a,
                client,
                all.into_iter().map(|(n, f)| (n, Some(f))).collect(),
                how,
            )
        }
        Asked::Show { names } => {
            let at = seat(client, a.at)?;
            let (known, waits) = known(client, at, names)?;
            let line = |(name, scoped): (&String, &Option<ScopeRecord>)| {
                let behind = waits.get(name).cloned().unwrap_or_default();
                ScopeLine::of(name.clone(), &scoped.clone().unwrap_or_default(), behind)
            };
            let lines: Vec<ScopeLine> = names.iter().zip(&known).map(line).collect();
            show(a, &lines, || lines.iter().map(ScopeLine::plain).collect());
            Ok(())
        }
    }
}

/// Those of a name that is not known by its number alone.
fn name(r: &pb::Rostered) -> String {
    let id = r.member.as_ref().map_or(0, |m| m.id);
    if r.name.is_empty() {
        format!("{id:x}")
    } else {
        r.name.clone()
    }
}

/// Whom functions that change wait for.
pub(crate) fn waiting(all: &[pb::Waiting]) -> BTreeMap<String, Vec<String>> {
    all.iter()
        .map(|w| (w.name.clone(), w.behind.iter().map(name).collect()))
        .collect()
}

type Known = (Vec<Option<ScopeRecord>>, BTreeMap<String, Vec<String>>);

fn known(client: &mut Client, seat: SocketAddr, names: &[String]) -> Result<Known, Not> {
    let asked = pb::FunctionsRequest {
        names: names.to_vec(),
        ..Default::default()
    };
    let reply = client.functions(seat, asked)?;
    let read = |n: pb::Named| n.scoped.map(of_scoped).transpose();
    let all: Result<Vec<_>, _> = reply.functions.into_iter().map(read).collect();
    let all = all.map_err(|e| Not::Reached(e.to_string()))?;
    if all.len() != names.len() {
        return Err(Not::Reached(format!(
            "{seat}: tells of {} functions, not {}",
            all.len(),
            names.len()
        )));
    }
    Ok((all, waiting(&reply.waits)))
}

fn change(
    a: &Arguments,
    client: &mut Client,
    wanted: BTreeMap<String, Option<Fields>>,
    how: &How,
) -> Result<(), Not> {
    let at = seat(client, a.at)?;
    let names: Vec<String> = wanted.keys().cloned().collect();
    let (known, _) = known(client, at, &names)?;
    let mut changes = Vec::new();
    for ((scope, fields), known) in wanted.into_iter().zip(known) {
        let base = known.as_ref().map_or(Revision(0), |k| k.revision);
        if let Some(wrong) = how.expect.filter(|e| *e != base.0) {
            return Err(Not::Taken(format!(
                "function {scope} is at revision {}, not {wrong}: look at `scope show` and make the change from that",
                base.0
            )));
        }
        changes.push(ScopeUpdate {
            scope,
            base,
            fields,
        });
    }
    let id = how.wait.id.unwrap_or_else(|| fastrand::u64(1..));
    let request = ScopeTransaction {
        id,
        updates: changes,
        reason: how.why.clone(),
    };
    let step = client
        .enter(at, Entry::Change(scope_request(&request)))?
        .step;
    let began = Instant::now();
    let limit = Duration::from_secs_f64(how.wait.wait.clamp(0.0, 86_400.0));
    let done = |is: &str| {
        let ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        let value = serde_json::json!({"step": step, "is": is, "ms": ms, "functions": names});
        show(a, &value, || format!("{} {is}", names.join(", ")));
    };
    if limit.is_zero() {
        done("asked for");
        return Ok(());
    }
    let mut waits = BTreeMap::new();
    while began.elapsed() < limit {
        let asked = pb::FunctionsRequest {
            id,
            ..Default::default()
        };
        if let Ok(reply) = client.functions(at, asked) {
            waits = waiting(&reply.waits);
            match reply.request {
                Some(r) if r.joint > 0 => {}
                Some(r) if r.back > 0 => {
                    return Err(Not::Kept(format!(
                        "{} of {} changes were given up; the seat's log says why",
                        r.back,
                        r.back + r.force
                    )))
                }
                Some(_) => {
                    done("in force");
                    return Ok(());
                }
                None => {}
            }
        }
        client.wait(LOOK_EVERY);
    }
    let mine = waits
        .into_iter()
        .filter(|(n, behind)| names.contains(n) && !behind.is_empty());
    let whom: Vec<String> = mine
        .map(|(n, behind)| format!("; {n} waits for {}", behind.join(", ")))
        .collect();
    if !a.json && !whom.is_empty() {
        print("start those that are waited for again, or dismiss those that are gone for good");
    }
    Err(Not::InTime(format!(
        "not in force after {limit:?}{}: `scope show` tells how far it is",
        whom.concat()
    )))
}
