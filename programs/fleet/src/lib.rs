//! `tansy-fleet`: what operators ask of a fleet of front ends.

pub mod client;
pub mod processes;
pub mod report;
pub mod roll;
mod scope;
pub mod show;
pub mod up;
mod view;

use clap::{Parser, Subcommand};
use client::Client;
use serde::Serialize;
use show::{ChangeLine, FleetLine, FrontLine, VersionLine};
use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::{changes, Fields};
use tansy_agreement::log::VersionedSettings;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{of_settings, pb};
use tansy_net_fleet::client::RequestError;
use tansy_settings::agree::{agreement, filled, version};

/// Time between two looks at a change under way.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Asks a fleet of front ends for its status and its versions, and proposes others.
///
/// Exit codes: 0 done, 1 a front end could not be reached, 2 wrong arguments or settings, 3 refused, 4 not in force in the
/// time that was waited, 5 proposed and given up.
#[derive(Parser)]
#[command(name = "tansy-fleet", version)]
struct Arguments {
    /// Any front end of the fleet, by the address at which its siblings reach it.
    #[arg(
        long,
        global = true,
        env = "TANSY_FLEET",
        default_value = "127.0.0.1:7001"
    )]
    at: SocketAddr,
    /// Print one JSON value.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Who is in the fleet, what each acts on, and what a change under way waits for.
    Status,
    /// Proposes the settings of a file as the next version, and waits until it is in force.
    Propose {
        /// The settings file; a front end's own fields in it are left out.
        file: PathBuf,
        /// The version that the change was made from: another one in force by now means that somebody else changed it.
        #[arg(long)]
        expect: Option<u64>,
        /// Why, for those who read the history.
        #[arg(long, default_value = "")]
        why: String,
        /// Only show what would change.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// Proposes an earlier version's settings again.
    Revert {
        /// Which.
        version: u64,
        /// Only show what would change.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        wait: Wait,
    },
    /// The versions that the seat remembers.
    History,
    /// What differs between two versions.
    Diff {
        /// From this.
        old: u64,
        /// To this.
        new: u64,
    },
    /// Gives up the change under way.
    Abandon,
    /// Says that a front end acts no more, so that nothing waits for it. Only for one that is surely dead.
    Dismiss {
        /// Its name.
        name: String,
    },
    /// Who keeps the agreed log, and who of them leads.
    Seats,
    /// Keeps the front ends of this machine as processes, and steers rolls where nobody else does, until SIGTERM or SIGINT.
    Up {
        /// The machine's file (TOML).
        #[arg(long)]
        fleet: PathBuf,
        /// What is logged: error, warn, info, debug.
        #[arg(long, default_value = "info")]
        log: String,
    },
    /// Steers rolls where nobody else does, without front ends of its own.
    Steer {
        /// Its name among all that may steer.
        #[arg(long)]
        name: String,
    },
    /// A change of the program or of settings in stages.
    Roll {
        #[command(subcommand)]
        asked: roll::Asked,
    },
    /// Functions that are agreed on one by one, beside the versions.
    Scope {
        #[command(subcommand)]
        asked: scope::Asked,
    },
    /// Makes a front end a seat in the place of another, dead or alive, and waits until it is. It has to run with `--state`.
    Seat {
        /// The name of the one that is to become a seat.
        new: String,
        /// The name of the seat that it takes over.
        #[arg(long)]
        instead: String,
        /// Seconds to wait until it is a seat; 0: not at all.
        #[arg(long, default_value_t = 40.0)]
        wait: f64,
    },
}

#[derive(clap::Args)]
struct Wait {
    /// Seconds to wait until it is in force; 0: not at all.
    #[arg(long, default_value_t = 15.0)]
    wait: f64,
    /// The proposal's id: asked again with the same one, it is the same proposal.
    #[arg(long)]
    id: Option<u64>,
}

/// Why it was not done.
enum Not {
    Reached(String),
    Right(String),
    Taken(String),
    InTime(String),
    Kept(String),
}

impl From<RequestError> for Not {
    fn from(e: RequestError) -> Not {
        match e {
            RequestError::Unreachable(why) => Not::Reached(why),
            RequestError::Rejected(..) => Not::Taken(e.to_string()),
        }
    }
}

impl Not {
    fn code(&self) -> u8 {
        match self {
            Not::Reached(_) => 1,
            Not::Right(_) => 2,
            Not::Taken(_) => 3,
            Not::InTime(_) => 4,
            Not::Kept(_) => 5,
        }
    }
    fn why(&self) -> &str {
        match self {
            Not::Reached(w) | Not::Right(w) | Not::Taken(w) | Not::InTime(w) | Not::Kept(w) => w,
        }
    }
}

/// Runs the program with its arguments, the first its name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let a = Arguments::parse_from(arguments);
    match run(&a) {
        Ok(()) => ExitCode::SUCCESS,
        Err(not) => {
            if a.json {
                print(&serde_json::json!({"error": not.why(), "code": not.code()}).to_string());
            } else {
                eprintln!("{}", not.why());
            }
            ExitCode::from(not.code())
        }
    }
}

fn run(a: &Arguments) -> Result<(), Not> {
    if let What::Up { fleet, log } = &a.what {
        let filter = tracing_subscriber::EnvFilter::try_new(log);
        let filter = filter.map_err(|e| Not::Right(format!("--log {log:?}: {e}")))?;
        let color = std::io::IsTerminal::is_terminal(&std::io::stderr());
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr)
            .with_ansi(color)
            .init();
        return up::run(fleet).map_err(Not::Right);
    }
    let mut client = Client::new().map_err(|e| Not::Reached(e.to_string()))?;
    match &a.what {
        What::Status => {
            let fleet = status(&mut client, a.at)?;
            show(a, &fleet, || fleet.plain());
            Ok(())
        }
        What::Propose {
            file,
            expect,
            why,
            dry_run,
            wait,
        } => {
            let path = file.display().to_string();
            let text =
                std::fs::read_to_string(file).map_err(|e| Not::Right(format!("{path}: {e}")))?;
            let fields = version(&path, &text).map_err(|e| Not::Right(e.to_string()))?;
            propose(a, &mut client, fields, *expect, why, *dry_run, wait)
        }
        What::Revert {
            version,
            dry_run,
            wait,
        } => {
            let (_, history) = history(&mut client, a.at)?;
            let found = find(&history, *version)?;
            let why = format!("back to version {version}: {}", found.reason);
            let fields = found.fields.clone();
            propose(a, &mut client, fields, None, &why, *dry_run, wait)
        }
        What::History => {
            let (reply, all) = history(&mut client, a.at)?;
            let lines: Vec<VersionLine> = all
                .iter()
                .map(|s| VersionLine::of(s, reply.force, reply.next))
                .collect();
            show(a, &lines, || {
                lines.iter().map(|l| l.plain() + "\n").collect()
            });
            Ok(())
        }
        What::Diff { old, new } => {
            let (_, all) = history(&mut client, a.at)?;
            let lines = differ(&find(&all, *old)?.fields, &find(&all, *new)?.fields)?;
            show(a, &lines, || {
                lines.iter().map(|l| l.plain() + "\n").collect()
            });
            Ok(())
        }
        What::Abandon => {
            let (reply, _) = history(&mut client, a.at)?;
            if reply.next == 0 {
                return Err(Not::Taken("no change is under way".into()));
            }
            let seat = seat(&mut client, a.at)?;
            client.enter(seat, Entry::Abandon(reply.next))?;
            say(a, &format!("version {} is given up", reply.next));
            Ok(())
        }
        What::Dismiss { name } => {
            let seat = seat(&mut client, a.at)?;
            client.enter(seat, Entry::Dismiss(name.clone()))?;
            say(a, &format!("{name} is on the roster no more"));
            Ok(())
        }
        What::Up { .. } => Ok(()),
        What::Steer { name } => up::steer(name, &[a.at]).map_err(Not::Reached),
        What::Roll { asked } => roll::run(a, &mut client, asked),
        What::Scope { asked } => scope::run(a, &mut client, asked),
        What::Seat { new, instead, wait } => replace(a, &mut client, new, instead, *wait),
        What::Seats => {
            // A seat knows who they are; others know those of their settings.
            let leader = seat(&mut client, a.at)?;
            let s = client.status(leader).or_else(|_| client.status(a.at))?;
            let at = s
                .seats
                .iter()
                .map(|a| address(a))
                .collect::<Result<Vec<_>, _>>()?;
            let answers = client.statuses(&at);
            let line =
                |(at, answer): (&SocketAddr, Result<pb::StatusReply, RequestError>)| match answer {
                    Ok(s) => FrontLine::of(&s),
                    Err(e) => FrontLine::silent(at.to_string(), e.to_string()),
                };
            let lines: Vec<FrontLine> = at.iter().zip(answers).map(line).collect();
            let plain = |l: &FrontLine| match &l.error {
                None => format!(
                    "{} at {}{}\n",
                    l.name,
                    l.address,
                    if l.seat { ", leads" } else { "" }
                ),
                Some(e) => format!("{}: {e}\n", l.address),
            };
            show(a, &lines, || lines.iter().map(plain).collect());
            Ok(())
        }
    }
}

fn replace(
    a: &Arguments,
    client: &mut Client,
    new: &str,
    instead: &str,
    wait: f64,
) -> Result<(), Not> {
    let leader = seat(client, a.at)?;
    client.enter(
        leader,
        Entry::Seat(pb::Seat {
            new: new.to_string(),
            instead: instead.to_string(),
        }),
    )?;
    let end = Instant::now() + Duration::from_secs_f64(wait.clamp(0.0, 86_400.0));
    let (mut last, mut learns) = (leader, true);
    while Instant::now() < end {
        // Who is replaced and leads hands over, so that another may have to be asked.
        last = seat(client, a.at)
            .or_else(|_| seat(client, last))
            .unwrap_or(last);
        match client.status(last) {
            Ok(s) if s.keeps_log => match s.seating {
                Some(seating) => learns = !seating.votes,
                None if s.seats.iter().any(|at| Some(at) == front(&s, new).as_ref()) => {
                    say(a, &format!("{new} is a seat, {instead} is none any more"));
                    return Ok(());
                }
                None => {
                    return Err(Not::Kept(format!(
                        "{new} did not become a seat: was it started with --state?"
                    )))
                }
            },
            _ => {}
        }
        client.wait(LOOK_EVERY);
    }
    if wait <= 0.0 {
        say(
            a,
            &format!("{new} is to become a seat instead of {instead}"),
        );
        return Ok(());
    }
    let what = if learns {
        "still learns the log"
    } else {
        "is a seat, and so is still the other"
    };
    Err(Not::InTime(format!(
        "{new} {what} after {wait} s: `seats` tells how far it is"
    )))
}

/// Where the front end of a name is reached, by one that knows all.
fn front(s: &pb::StatusReply, name: &str) -> Option<String> {
    let id = tansy_fleet_node::number(name);
    let all = s.others.iter().chain(&s.process);
    all.filter(|p| p.id == id).map(|p| p.address.clone()).next()
}

fn print(text: &str) {
    // A reader that goes away is no reason to fail.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}

fn show<T: Serialize + ?Sized>(a: &Arguments, value: &T, plain: impl FnOnce() -> String) {
    match a.json {
        true => print(&serde_json::to_string(value).unwrap_or_default()),
        false => print(&plain()),
    }
}

fn say(a: &Arguments, text: &str) {
    show(a, &serde_json::json!({ "done": text }), || text.to_string());
}

fn address(text: &str) -> Result<SocketAddr, Not> {
    text.parse()
        .map_err(|_| Not::Reached(format!("{text:?} is no address")))
}

fn seat(client: &mut Client, at: SocketAddr) -> Result<SocketAddr, Not> {
    let s = client.status(at)?;
    address(&s.seat)
}

fn history(
    client: &mut Client,
    at: SocketAddr,
) -> Result<(pb::HistoryReply, Vec<VersionedSettings>), Not> {
    let seat = seat(client, at)?;
    let reply = client.history(seat)?;
    let read = |s: &pb::Settings| of_settings(s.clone()).map_err(|e| Not::Reached(e.to_string()));
    let all = reply.versions.iter().map(read).collect::<Result<_, _>>()?;
    Ok((reply, all))
}

fn find(all: &[VersionedSettings], version: u64) -> Result<&VersionedSettings, Not> {
    let found = all.iter().find(|s| s.version.0 == version);
    let range = (
        all.first().map_or(0, |s| s.version.0),
        all.last().map_or(0, |s| s.version.0),
    );
    found.ok_or_else(|| {
        Not::Right(format!(
            "version {version} is not remembered: want one from {} to {}",
            range.0, range.1
        ))
    })
}

fn differ(old: &Fields, new: &Fields) -> Result<Vec<ChangeLine>, Not> {
    let fill = |f: &Fields| {
        filled(f)
            .map(|f| f.0)
            .map_err(|e| Not::Right(e.to_string()))
    };
    Ok(changes(&agreement(), &fill(old)?, &fill(new)?)
        .iter()
        .map(ChangeLine::of)
        .collect())
}

fn status(client: &mut Client, at: SocketAddr) -> Result<FleetLine, Not> {
    let first = client.status(at)?;
    let others: Vec<SocketAddr> = first
        .others
        .iter()
        .filter_map(|p| p.address.parse().ok())
        .collect();
    let answers = client.statuses(&others);
    let mut fronts = vec![FrontLine::of(&first)];
    let mut of_seat = Some(first.clone()).filter(|s| s.keeps_log);
    for (address, answer) in others.iter().zip(answers) {
        match answer {
            Ok(s) => {
                fronts.push(FrontLine::of(&s));
                of_seat = of_seat.or(Some(s).filter(|s| s.keeps_log));
            }
            Err(e) => fronts.push(FrontLine::silent(address.to_string(), e.to_string())),
        }
    }
    fronts.sort_by(|a, b| a.name.cmp(&b.name));
    let roster = of_seat
        .as_ref()
        .map(|s| s.roster.clone())
        .unwrap_or_default();
    let name = |m: &pb::Member| {
        let found = roster
            .iter()
            .find(|r| r.member.as_ref().is_some_and(|x| x.id == m.id));
        found.map_or_else(|| format!("{:x}", m.id), |r| r.name.clone())
    };
    let seen = |r: &&pb::Rostered| !fronts.iter().any(|f| f.name == r.name);
    Ok(FleetLine {
        fleet: first.fleet.clone(),
        seat: first.seat.clone(),
        away: roster.iter().filter(seen).map(|r| r.name.clone()).collect(),
        contested: of_seat
            .as_ref()
            .unwrap_or(&first)
            .contested
            .iter()
            .map(|c| c.calls.clone())
            .collect(),
        waits_for: of_seat
            .as_ref()
            .map(|s| s.waits_for.iter().map(&name).collect())
            .unwrap_or_default(),
        waits_for_leases: of_seat.as_ref().is_some_and(|s| s.waits_for_leases),
        changing: of_seat
            .as_ref()
            .map(|s| scope::waiting(&s.changing))
            .unwrap_or_default(),
        fronts,
    })
}

fn propose(
    a: &Arguments,
    client: &mut Client,
    fields: Fields,
    expect: Option<u64>,
    why: &str,
    dry_run: bool,
    wait: &Wait,
) -> Result<(), Not> {
    let seat = seat(client, a.at)?;
    let (reply, all) = history(client, a.at)?;
    let base = find(&all, reply.force)?;
    if let Some(wrong) = expect.filter(|e| *e != reply.force) {
        let force = reply.force;
        return Err(Not::Taken(format!(
            "version {force} is in force, not {wrong}: look at `diff {wrong} {force}` and make the change from that"
        )));
    }
    let lines = differ(&base.fields, &fields)?;
    if !a.json {
        lines.iter().for_each(|l| print(&l.plain()));
    }
    if dry_run {
        if a.json {
            show(a, &lines, String::new);
        }
        return Ok(());
    }
    let id = wait.id.unwrap_or_else(|| fastrand::u64(1..));
    let proposal = VersionedSettings {
        version: base.version,
        fields,
        reason: why.to_string(),
        id,
    };
    let entered = client.enter(seat, Entry::Propose(tansy_fleet_wire::settings(&proposal)))?;
    let version = entered.version;
    let began = Instant::now();
    let limit = Duration::from_secs_f64(wait.wait.clamp(0.0, 86_400.0));
    let done = |is: &str| {
        let text = format!("version {version} is {is}");
        let ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        show(
            a,
            &serde_json::json!({"version": version, "is": is, "ms": ms, "changes": lines}),
            || text,
        );
    };
    if limit.is_zero() {
        done("proposed");
        return Ok(());
    }
    while began.elapsed() < limit {
        if let Ok(s) = client.status(seat) {
            let f = FrontLine::of(&s);
            match &f.next {
                None if f.version >= version => {
                    done("in force");
                    return Ok(());
                }
                None => {
                    return Err(Not::Kept(format!(
                        "version {version} was given up; {} is in force; the seat's log says why",
                        f.version
                    )))
                }
                Some(_) => {}
            }
        }
        client.wait(LOOK_EVERY);
    }
    let waits = status(client, a.at)
        .map(|f| f.waits_for.join(", "))
        .unwrap_or_default();
    let whom = if waits.is_empty() {
        String::new()
    } else {
        format!("; it waits for {waits}")
    };
    Err(Not::InTime(format!(
        "version {version} is not in force after {limit:?}{whom}: `status` tells how far it is"
    )))
}
