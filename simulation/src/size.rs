//! A fleet at its size: what control costs a front end, a relay and a seat, and how long changes take.
//!
//! Two tiers play the same processes. In the **whole** one each finds the others by membership's letters and keeps a view of
//! its own, which takes memory with the square of the fleet. In the **hollow** one all are told who is there by one directory
//! that is true but late; leases, stays, logs, digests of workers that leave and the audit are the same. What membership's
//! letters would take is added there as measured in the whole tier ([`MEMBERSHIP`]).
//!
//! Counting begins once all act, and some time after; what the start took is told apart.

use crate::fault::{Time, SECOND};
use crate::fleet::{Event, Process, Simulation, SimulationOptions};
use crate::network::NetworkProfile;
use crate::scopes::scope_fields;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tansy_agreement::compatibility::Value;
use tansy_agreement::lease::Member;
use tansy_agreement::log::{ApplyOutcome, EntryRejection, LogEntry, Revision, Version};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_fleet_node::{Command, Directory, FleetEvent, MessageBody, RequestRejection};
use tansy_membership::{MembershipEvent, NodeId};

/// Who plays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Each finds the others itself.
    #[default]
    Whole,
    /// All are told who is there.
    Hollow,
}

/// Time after which the directory has one that began: the median of whole fleets of 100 and 300 in seven regions.
const SHOWN_AFTER: Time = SECOND * 35 / 100;
/// Time after which it has one no more that ended without a word, alike.
const HIDDEN_AFTER: Time = SECOND * 32 / 10;
/// Time between two looks of the model at the whole fleet.
const LOOK: Time = SECOND / 4;
/// All act for so long before anything is counted.
const SETTLED: Time = 10 * SECOND;
/// The whole fleet has to act after this time, beside the time in which it is started.
const START: Time = 180 * SECOND;
/// Processes that are started in a second.
const STARTS: i64 = 1000;
/// Functions that a front end is called for, mean; and in what time that is.
const HOLDS: usize = 4;
const CALLED: Time = 3 * SECOND;
/// Functions that are set up together, and the number from which on such requests count.
const FILLED: usize = 1500;
const FILLS: u64 = 1 << 32;
/// Changes one after the other are of functions so far apart; a prime.
const SPREAD: usize = 7919;
/// An operator asks again after a refusal, and where nobody answered.
const ASKED_AGAIN: Time = SECOND / 2;
const UNANSWERED: Time = 5 * SECOND;
/// Processes of a fleet like this count from the microseconds since 1970, and names are hashes: both take their bytes.
pub(crate) const SINCE: u64 = 1_796_000_000_000_000;
pub(crate) const WIDE: u64 = 1 << 63;

/// Messages and bytes of membership a front end a second, in and out, in a whole fleet in which nobody comes or goes: the
/// same at 100 and at 300 (8.1, and 1114 to 1119; three seeds each).
pub const MEMBERSHIP: (f64, f64) = (8.1, 1118.0);
/// What each process that ends and comes back in an hour adds: at 100 1.7 and 1.8 bytes, at 300 1.9 and 2.2 (600 an hour, two
/// seeds each); taken as the same at every size.
pub const MEMBERSHIP_AWAY: (f64, f64) = (0.011, 2.1);

/// How letters travel inside a region: over connections, so that none is lost or doubled.
pub const WAYS: NetworkProfile = NetworkProfile {
    shortest: SECOND / 5000,
    longest: SECOND * 3 / 1000,
    loss: 0.0,
    duplication: 0.0,
};

/// What befalls a fleet once all act.
#[derive(Clone, Debug)]
pub struct Size {
    /// Time that is counted.
    pub counted: Time,
    /// Regions, in which the front ends stand in turn; the seats are the first of these.
    pub regions: usize,
    /// Changes asked for in an hour.
    pub changes_hour: f64,
    /// One of so many is of a strict field; 0: none.
    pub strict_every: usize,
    /// Changes asked for at one moment beside these.
    pub burst: usize,
    /// Processes that end without a word in an hour, and are back after 2 to 10 s.
    pub away_hour: f64,
    /// Front ends that end without a word at the beginning, and for good.
    pub dead: usize,
    /// Regions that hear of no other; the last ones.
    pub cut_regions: usize,
    /// For so long, from a fifth of the time that is counted.
    pub cut: Time,
    /// Fields beside the few, two of each function.
    pub functions: usize,
    /// Changes are of single functions, of so many, by scope; 0: of versions.
    pub by_scope: usize,
    /// Changes come one after the other in even steps, and not at times drawn alike.
    pub evenly: bool,
    /// Share of the changes by scope that go to functions which a front end drawn alike is called for.
    pub held: f64,
    /// The same of functions which one of those that ended for good was called for.
    pub held_by_dead: f64,
    /// Front ends of one rack, which end at once and for good, at a fifth of the time that is counted.
    pub rack: usize,
    /// Of so many zones one ends at once then; 0: none.
    pub zone: usize,
    /// After this time the zone's front ends are back.
    pub zone_away: Time,
    /// The rack or the zone is that of the seat that leads; else one without seats.
    pub with_root: bool,
    /// Rolling restart from then on: the fleet in so many parts, each once the one before acts; 0: none.
    pub rolling: usize,
    /// A part that is restarted is away for so long.
    pub rolling_away: Time,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            counted: 60 * SECOND,
            regions: 1,
            changes_hour: 0.0,
            strict_every: 4,
            burst: 0,
            away_hour: 0.0,
            dead: 0,
            cut_regions: 0,
            cut: 0,
            functions: 0,
            by_scope: 0,
            evenly: false,
            held: 0.0,
            held_by_dead: 0.0,
            rack: 0,
            zone: 0,
            zone_away: 0,
            with_root: false,
            rolling: 0,
            rolling_away: 0,
        }
    }
}

/// A median and a 99th percentile, and of how many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// The largest.
    pub max: f64,
    /// How many were measured.
    pub count: u64,
}

impl Quantiles {
    fn of(ms: &[u64]) -> Option<Quantiles> {
        let mut h = Histogram::<u64>::new_with_bounds(1, 36_000_000, 3).ok()?;
        ms.iter().for_each(|ms| h.saturating_record(*ms));
        let at = |q| h.value_at_quantile(q) as f64;
        (!ms.is_empty()).then(|| Quantiles {
            p50: at(0.5),
            p99: at(0.99),
            max: at(1.0),
            count: ms.len() as u64,
        })
    }
}

/// One side of a cut, while it lasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Side {
    /// Its front ends.
    pub front_ends: usize,
    /// Share of their time without a live lease.
    pub lease_lost: f64,
    /// Share of it without a live stay.
    pub stay_lost: f64,
}

/// What was counted while regions were cut off.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Cut {
    /// Those that hear the seats.
    pub main: Side,
    /// Those that do not.
    pub cut: Side,
    /// Changes of plain fields asked for meanwhile.
    pub plain_asked: u64,
    /// Of these in force before the cut was over.
    pub plain_in_force: u64,
    /// Changes of strict fields asked for meanwhile.
    pub strict_asked: u64,
    /// Of these in force before the cut was over.
    pub strict_in_force: u64,
    /// From the end of the cut until all act again with lease and stay, milliseconds.
    pub healed_ms: Option<u64>,
}

/// What was counted from the moment on at which a rack or a zone ended, or a rolling restart began.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Loss {
    /// Front ends that ended, each counted once.
    pub front_ends: usize,
    /// Seats among them.
    pub seats: usize,
    /// From that moment until all that run act with lease and stay, and nobody is still to come back, milliseconds. Where
    /// nobody comes back a lease's length at least: so long those live that were granted before.
    pub again_ms: Option<u64>,
    /// Until then, share of front ends' time up without a live lease.
    pub lease_lost: f64,
    /// Share of it without a live stay.
    pub stay_lost: f64,
    /// Changes asked for until then.
    pub changes_asked: u64,
    /// Changes in force by then, of those asked for until then.
    pub changes_in_force: u64,
}

/// Strict changes by scope of functions that one of those was called for who ended for good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DeadHeld {
    /// Asked for.
    pub asked: u64,
    /// In force at the end.
    pub in_force: u64,
    /// Given up by the seat.
    pub given_up: u64,
    /// From the first ask to force at all that can be reached.
    pub in_force_ms: Option<Quantiles>,
}

/// What a run measured. Rates are means over the time counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Simulated time, seconds, the start included.
    pub virtual_seconds: f64,
    /// Until all acted, seconds.
    pub start_seconds: f64,
    /// Members in a front end's view, at the end.
    pub view_members: f64,
    /// Bytes of letters, in and out, a front end that is no seat a second, membership's included.
    pub control_bytes_s: f64,
    /// Messages alike.
    pub control_messages_s: f64,
    /// The front end that is no seat with the most bytes.
    pub relay_bytes_s: f64,
    /// Messages of the one with the most.
    pub relay_messages_s: f64,
    /// Of control, membership's; in the hollow tier [`MEMBERSHIP`].
    pub membership_bytes_s: f64,
    /// Messages alike.
    pub membership_messages_s: f64,
    /// The busiest seat.
    pub seat_bytes_s: f64,
    /// Messages alike.
    pub seat_messages_s: f64,
    /// From the first ask to force at all that can be reached, all changes.
    pub in_force_ms: Option<Quantiles>,
    /// Of fields that may be two things at once.
    pub plain_in_force_ms: Option<Quantiles>,
    /// Of strict fields.
    pub strict_in_force_ms: Option<Quantiles>,
    /// The same of changes of single functions.
    pub scope_in_force_ms: Option<Quantiles>,
    /// Functions that a front end holds, at the end; mean.
    pub holds: f64,
    /// Changes asked for.
    pub changes_asked: u64,
    /// In force at the end.
    pub changes_in_force: u64,
    /// By scope, of functions that a front end was called for.
    pub changes_of_held: u64,
    /// Given up by the seat.
    pub changes_given_up: u64,
    /// Refused since another went on or too many waited, each ask again counted.
    pub changes_refused: u64,
    /// Neither at the end.
    pub changes_open: u64,
    /// From a process's start to its first lease and stay, in the start of all.
    pub start_join_ms: Option<Quantiles>,
    /// The same of those that come back.
    pub join_ms: Option<Quantiles>,
    /// From the end of a process for good to its end on the roster, when strict changes wait for it no more.
    pub freed_ms: Option<Quantiles>,
    /// From a process's start to its news at another; whole tier.
    pub view_up_ms: Option<Quantiles>,
    /// From its end to the news of that at another; whole tier.
    pub view_down_ms: Option<Quantiles>,
    /// Share of front ends' time up without a live lease.
    pub lease_lost: f64,
    /// Share of it without a live stay.
    pub stay_lost: f64,
    /// While regions were cut off.
    pub cut: Option<Cut>,
    /// From the end of a rack or a zone, or the beginning of a rolling restart.
    pub loss: Option<Loss>,
    /// Strict changes that may wait for a dead holder.
    pub dead_held: Option<DeadHeld>,
    /// Events played.
    pub events: u64,
    /// What broke the audit, or was not reached.
    pub notes: Vec<String>,
    /// Nothing broke and all was reached.
    pub ok: bool,
}

/// The directories of the hollow tier: one for all that hear each other.
pub(crate) struct Shared {
    shown: Vec<Option<NodeId>>,
    due: VecDeque<(Time, usize, NodeId, bool)>,
    sides: Vec<Arc<Directory>>,
    /// The cut as it is told of: none, or that of some time ago.
    split: bool,
}

impl Shared {
    pub(crate) fn new(fronts: usize) -> Shared {
        let sides = vec![Arc::default()];
        Shared {
            shown: vec![None; fronts],
            due: VecDeque::new(),
            sides,
            split: false,
        }
    }

    /// A process began or ended. Of one that ended with a word the others hear as soon as of one that began.
    pub(crate) fn news(&mut self, now: Time, who: usize, name: NodeId, up: bool, word: bool) {
        let due = now
            + if up || word {
                SHOWN_AFTER
            } else {
                HIDDEN_AFTER
            };
        let at = self.due.partition_point(|d| d.0 <= due);
        self.due.insert(at, (due, who, name, up));
    }

    /// What a front end is told.
    pub(crate) fn directory(&self, net: &crate::network::Network, who: usize) -> Arc<Directory> {
        let side = if self.split { net.side(who) } else { 0 };
        self.sides.get(side).cloned().unwrap_or_default()
    }

    /// Takes up what is due by now. True: someone is to be told something else.
    fn look(&mut self, net: &crate::network::Network, now: Time) -> bool {
        let mut changed = false;
        while self.due.front().is_some_and(|d| d.0 <= now) {
            let Some((_, who, name, up)) = self.due.pop_front() else {
                break;
            };
            let here = self.shown[who].as_ref().map(|n| n.incarnation);
            if up && here.is_none_or(|i| i < name.incarnation) {
                self.shown[who] = Some(name);
                changed = true;
            } else if !up && here == Some(name.incarnation) {
                self.shown[who] = None;
                changed = true;
            }
        }
        let split = net.is_partitioned(now - HIDDEN_AFTER) && net.is_partitioned(now - SHOWN_AFTER);
        if !changed && split == self.split {
            return false;
        }
        self.split = split;
        let sides = if split { net.sides() } else { 1 };
        let of = |side: usize| {
            let there = self
                .shown
                .iter()
                .enumerate()
                .filter(|(n, _)| !split || net.side(*n) == side);
            Arc::new(Directory::new(there.filter_map(|(_, name)| name.clone())))
        };
        self.sides = (0..sides).map(of).collect();
        true
    }
}

/// A change that an operator wants.
struct Want {
    strict: bool,
    asked: Time,
    version: Option<Version>,
    over: bool,
    tries: u64,
    /// The function that it is of, where that is drawn; and whether one that ended for good was called for it.
    scope: Option<usize>,
    dead_held: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
    members: u64,
    members_bytes: u64,
}

/// What is counted in a run.
pub(crate) struct Scale {
    size: Size,
    /// When all acted, and when counting began.
    joined: Option<Time>,
    steady: Option<Time>,
    pub(crate) end: Time,
    traffic: Vec<Traffic>,
    wants: Vec<Want>,
    versions: BTreeMap<Version, usize>,
    plain: Vec<u64>,
    strict: Vec<u64>,
    /// Requests by which the functions were set up.
    fills: u64,
    start_join: Vec<u64>,
    join: Vec<u64>,
    freed: Vec<u64>,
    dead: Vec<(usize, Member, Time)>,
    ends: BTreeMap<u64, Time>,
    up_known: Vec<u64>,
    down_known: Vec<u64>,
    given_up: u64,
    refused: u64,
    /// Before the cut: time up, without a lease, without a stay, of each.
    before: Vec<(Time, Time, Time)>,
    cut: Option<Cut>,
    healing: Option<Time>,
    /// Those that ended for good.
    gone: Vec<usize>,
    loss: Option<Loss>,
    losing: Option<Losing>,
    dead_held: Vec<u64>,
    of_held: u64,
    pub(crate) events: u64,
    notes: Vec<String>,
}

/// A loss that is not yet made good.
struct Losing {
    since: Time,
    /// Not before this are all taken to act again.
    least: Time,
    /// At its beginning: time up, without a lease, without a stay, of all.
    before: (Time, Time, Time),
    /// Parts that are still to be restarted, the next one last; and the one that is being restarted.
    parts: Vec<Vec<usize>>,
    part: Vec<usize>,
}

/// What happens in a run of this kind.
#[derive(Clone, Debug)]
pub(crate) enum Happens {
    Look,
    Steady,
    Ask {
        want: usize,
        tries: u64,
    },
    CutBegins,
    CutEnds,
    /// A rack, a zone or a rolling restart.
    Loss,
    /// The functions that are changed by scope are set up.
    Fill,
    /// A front end is called for its few functions.
    Calls {
        who: usize,
        scopes: usize,
    },
}

impl Scale {
    pub(crate) fn new(size: Size, fronts: usize) -> Scale {
        Scale {
            size,
            joined: None,
            steady: None,
            end: Time::MAX,
            traffic: vec![Traffic::default(); fronts],
            wants: Vec::new(),
            versions: BTreeMap::new(),
            plain: Vec::new(),
            strict: Vec::new(),
            fills: 0,
            start_join: Vec::new(),
            join: Vec::new(),
            freed: Vec::new(),
            dead: Vec::new(),
            ends: BTreeMap::new(),
            up_known: Vec::new(),
            down_known: Vec::new(),
            given_up: 0,
            refused: 0,
            before: Vec::new(),
            cut: None,
            healing: None,
            gone: Vec::new(),
            loss: None,
            losing: None,
            dead_held: Vec::new(),
            of_held: 0,
            events: 0,
            notes: Vec::new(),
        }
    }

    /// Time in which the processes are started.
    pub(crate) fn starts(fronts: usize) -> Time {
        (fronts as i64 * SECOND / STARTS).max(SECOND / 2)
    }

    /// A letter was sent by, or came to, this front end.
    pub(crate) fn letter(&mut self, who: usize, body: &MessageBody, bytes: u64) {
        let t = &mut self.traffic[who];
        t.messages += 1;
        t.bytes += bytes;
        if matches!(body, MessageBody::Gossip(_)) {
            t.members += 1;
            t.members_bytes += bytes;
        }
    }

    /// One holds a lease and a stay for the first time.
    fn acts(&mut self, after: Time) {
        let all = if self.steady.is_some() {
            &mut self.join
        } else {
            &mut self.start_join
        };
        all.push((after / 1000) as u64);
    }

    /// A version is in force at all that can be reached.
    pub(crate) fn in_force(&mut self, now: Time, version: Version) {
        if let Some(n) = self.versions.get(&version) {
            self.done(now, *n);
        }
    }

    /// A change of a single function was given up.
    pub(crate) fn given_up(&mut self, n: usize) {
        if let Some(want) = self.wants.get_mut(n) {
            self.given_up += u64::from(!std::mem::replace(&mut want.over, true));
        }
    }

    /// A change is in force at all that can be reached.
    pub(crate) fn done(&mut self, now: Time, n: usize) {
        let Some(want) = self.wants.get_mut(n) else {
            return;
        };
        want.over = true;
        let took = ((now - want.asked) / 1000) as u64;
        if want.strict {
            &mut self.strict
        } else {
            &mut self.plain
        }
        .push(took);
        if want.dead_held {
            self.dead_held.push(took);
        }
        if let (Some(loss), Some(losing)) = (&mut self.loss, &self.losing) {
            loss.changes_in_force += u64::from(want.asked >= losing.since);
        }
        let (asked, strict, begun) = (
            want.asked,
            want.strict,
            self.steady.unwrap_or(0) + self.size.counted / 5,
        );
        if let (Some(cut), true) = (
            self.cut.as_mut(),
            asked >= begun && now < begun + self.size.cut,
        ) {
            *if strict {
                &mut cut.strict_in_force
            } else {
                &mut cut.plain_in_force
            } += 1;
        }
    }
}

impl Simulation<'_> {
    pub(crate) fn size_begins(&mut self) {
        if self.scale.is_some() || self.shared.is_some() {
            self.schedule(LOOK, Event::Scale(Happens::Look));
        }
    }

    /// What a front end's peer wants told: answers to an operator, and news.
    pub(crate) fn told_of(&mut self, who: usize, command: &Command) {
        let now = self.now;
        let Some(scale) = &mut self.scale else { return };
        match command {
            Command::Respond { request, outcome } if *request > 0 => {
                let n = *request as usize - 1;
                let Some(want) = scale.wants.get_mut(n) else {
                    return;
                };
                let again = match outcome {
                    Ok(ApplyOutcome::Announced(v) | ApplyOutcome::Duplicate(v)) => {
                        want.version = Some(*v);
                        scale.versions.insert(*v, n);
                        return;
                    }
                    Ok(ApplyOutcome::ScopesChanged {
                        rejected: refused, ..
                    }) if refused.is_empty() => {
                        // It has no number of its own; that it was taken is all that is known.
                        want.version = Some(Version(0));
                        return;
                    }
                    Ok(_) => return,
                    Err(
                        RequestRejection::Log(
                            EntryRejection::ChangeInProgress { .. }
                            | EntryRejection::StaleBase { .. }
                            | EntryRejection::ScopeChangeInProgress { .. }
                            | EntryRejection::StaleScopeBase { .. },
                        )
                        | RequestRejection::Busy,
                    ) => {
                        scale.refused += u64::from(want.version.is_none());
                        ASKED_AGAIN
                    }
                    Err(_) => ASKED_AGAIN,
                };
                want.tries += 1;
                let tries = want.tries;
                let wait = again + self.rng.i64(0..ASKED_AGAIN);
                self.schedule(now + wait, Event::Scale(Happens::Ask { want: n, tries }));
            }
            Command::Notify(FleetEvent::ChangeAbandoned { version, .. }) => {
                if let Some(n) = scale
                    .versions
                    .get(&Version(*version))
                    .filter(|_| who < self.options.voters)
                {
                    scale.given_up +=
                        u64::from(!std::mem::replace(&mut scale.wants[*n].over, true));
                }
            }
            Command::Notify(FleetEvent::Membership(news)) if scale.steady.is_some() => match news {
                MembershipEvent::Up(name) => {
                    let born = (name.id & !WIDE) as usize - 1;
                    let (born, since) = (self.processes[born].started, scale.steady.unwrap_or(0));
                    if born > since {
                        scale.up_known.push(((now - born) / 1000) as u64);
                    }
                }
                MembershipEvent::Down(name) => {
                    if let Some(at) = scale.ends.get(&name.id) {
                        scale.down_known.push(((now - at) / 1000) as u64);
                    }
                }
            },
            _ => {}
        }
    }

    /// Carries out what befalls a fleet.
    pub(crate) fn happens(&mut self, what: Happens) {
        match what {
            Happens::Look => self.look(),
            Happens::Steady => self.steady(),
            Happens::Ask { want, tries } => self.ask_change(want, tries),
            Happens::Fill => self.fill(),
            Happens::Calls { who, scopes } => self.scope_calls(who, scopes),
            Happens::CutBegins => {
                self.account_all();
                let before = self
                    .processes
                    .iter()
                    .map(|p| (p.up, p.without_lease, p.without_session))
                    .collect();
                if let Some(scale) = &mut self.scale {
                    (scale.before, scale.cut) = (before, Some(Cut::default()));
                }
            }
            Happens::CutEnds => {
                self.account_all();
                let Some(scale) = &mut self.scale else { return };
                let side = |cut: bool| {
                    let there = |n: &usize| (self.network.side(*n) > 0) == cut;
                    let (mut up, mut out, mut stayless, mut many) = (0, 0, 0, 0);
                    for n in (0..self.processes.len()).filter(there) {
                        let (p, b) = (&self.processes[n], scale.before[n]);
                        (up, out, stayless) = (
                            up + p.up - b.0,
                            out + p.without_lease - b.1,
                            stayless + p.without_session - b.2,
                        );
                        many += 1;
                    }
                    let part = |t: Time| t as f64 / up.max(1) as f64;
                    Side {
                        front_ends: many,
                        lease_lost: part(out),
                        stay_lost: part(stayless),
                    }
                };
                if let Some(cut) = &mut scale.cut {
                    (cut.main, cut.cut) = (side(false), side(true));
                }
                scale.healing = Some(self.now);
            }
            Happens::Loss => self.lose(),
        }
    }

    /// The time up, without a lease and without a stay of all, by now.
    fn accounts(&mut self) -> (Time, Time, Time) {
        self.account_all();
        self.processes.iter().fold((0, 0, 0), |sum, p| {
            (
                sum.0 + p.up,
                sum.1 + p.without_lease,
                sum.2 + p.without_session,
            )
        })
    }

    /// Those of a rack or of a zone, which stand in one region: the first there, seats left out but for the one that leads.
    fn together(&self, many: usize, with_root: bool) -> Vec<usize> {
        let root = self.leader().map(|r| r.0).filter(|_| with_root);
        let last = (self.processes.len() - 1).min(self.network.regions() - 1);
        let region = self.network.region(root.unwrap_or(last));
        let others = (self.options.voters..self.processes.len())
            .filter(|n| self.network.region(*n) == region);
        root.into_iter().chain(others).take(many).collect()
    }

    /// A rack or a zone ends, or a rolling restart begins.
    fn lose(&mut self) {
        let before = self.accounts();
        let (now, fronts, span) = (self.now, self.processes.len(), self.options.lease.span);
        let Some(size) = self.scale.as_ref().map(|s| s.size.clone()) else {
            return;
        };
        let mut parts = Vec::new();
        let mut least = now;
        let ended = if size.rolling > 0 {
            let live = |n: &usize| self.processes[*n].node.is_some();
            let part = |n| (n..fronts).step_by(size.rolling).filter(live).collect();
            parts = (0..size.rolling).rev().map(part).collect();
            (0..fronts).filter(live).collect()
        } else if let Some(many) = fronts.checked_div(size.zone) {
            least = now + size.zone_away;
            self.together(many, size.with_root)
        } else {
            least = now + span;
            self.together(size.rack, size.with_root)
        };
        let named: Vec<(usize, Member)> = ended
            .iter()
            .filter_map(|n| Some((*n, self.processes[*n].node.as_ref()?.setup().node.member())))
            .collect();
        let seats = ended.iter().filter(|n| **n < self.options.voters).count();
        let Some(scale) = &mut self.scale else { return };
        scale.loss = Some(Loss {
            front_ends: ended.len(),
            seats,
            ..Loss::default()
        });
        scale.losing = Some(Losing {
            since: now,
            least,
            before,
            parts,
            part: Vec::new(),
        });
        if size.rolling > 0 {
            return;
        }
        if size.zone == 0 {
            scale
                .dead
                .extend(named.into_iter().map(|(who, member)| (who, member, now)));
            scale.gone.extend(&ended);
        }
        for who in ended {
            self.schedule(now, Event::Stop { process: who });
            if size.zone > 0 {
                let at = now + size.zone_away + self.rng.i64(0..SECOND);
                self.schedule(at, Event::Start { process: who });
            }
        }
    }

    /// Goes on with a rolling restart, and looks whether all act again.
    fn regain(&mut self) {
        let now = self.now;
        let Some(losing) = self.scale.as_mut().and_then(|s| s.losing.as_mut()) else {
            return;
        };
        if losing
            .part
            .iter()
            .any(|who| !self.processes[*who].is_running() || !self.processes[*who].joined)
        {
            return;
        }
        if let Some(part) = losing.parts.pop() {
            losing.part = part.clone();
            let away = self.scale.as_ref().map_or(0, |s| s.size.rolling_away);
            for who in part {
                self.schedule(now, Event::Leave { process: who });
                let at = now + away + self.rng.i64(0..SECOND);
                self.schedule(at, Event::Start { process: who });
            }
            return;
        }
        let back = self.scale.as_ref().is_some_and(|s| {
            let there = |(n, p): (usize, &Process)| p.is_running() || s.gone.contains(&n);
            s.losing.as_ref().is_some_and(|l| now > l.least)
                && self.processes.iter().enumerate().all(there)
        });
        if back
            && self
                .processes
                .iter()
                .filter(|p| p.is_running())
                .all(|p| p.is_leased(now))
        {
            self.regained(true);
        }
    }

    /// All act again, or the run is over.
    fn regained(&mut self, again: bool) {
        let now = self.now;
        let (up, out, stayless) = self.accounts();
        let Some(scale) = &mut self.scale else { return };
        let (Some(loss), Some(l)) = (&mut scale.loss, &scale.losing) else {
            return;
        };
        loss.again_ms = again.then_some(((now - l.since) / 1000) as u64);
        let part = |t: Time| t as f64 / (up - l.before.0).max(1) as f64;
        (loss.lease_lost, loss.stay_lost) = (part(out - l.before.1), part(stayless - l.before.2));
        loss.changes_asked = scale
            .wants
            .iter()
            .filter(|w| l.since <= w.asked && w.asked <= now)
            .count() as u64;
        if again {
            scale.losing = None;
        }
    }

    /// A process holds a lease and a stay for the first time.
    pub(crate) fn acts(&mut self, who: usize) {
        let after = self.now - self.processes[who].started;
        let Some(scale) = &mut self.scale else { return };
        scale.acts(after);
        let called = scale.steady.is_some() && (scale.size.zone > 0 || scale.size.rolling > 0);
        if let (Some(s), true) = (&mut self.scopes, called) {
            // One that is back is called for a few functions again.
            let (at, scopes) = (
                self.now + s.rng.i64(0..CALLED),
                1 + s.rng.usize(0..2 * HOLDS - 1),
            );
            self.schedule(at, Event::Scale(Happens::Calls { who, scopes }));
        }
    }

    fn look(&mut self) {
        let now = self.now;
        self.schedule(now + LOOK, Event::Scale(Happens::Look));
        if let Some(shared) = &mut self.shared {
            if shared.look(&self.network, now) {
                for (who, p) in self.processes.iter_mut().enumerate() {
                    if let Some(peer) = &mut p.node {
                        peer.update_members(shared.directory(&self.network, who));
                    }
                }
            }
        }
        self.regain();
        let Some(scale) = &mut self.scale else { return };
        let whole = || {
            self.processes
                .iter()
                .filter(|p| p.is_running())
                .all(|p| p.is_leased(now))
        };
        if scale.joined.is_none() {
            let started = now > Scale::starts(self.options.front_ends);
            let late = now > Scale::starts(self.options.front_ends) + START;
            if started && (late || self.processes.iter().all(|p| p.joined)) {
                scale.joined = Some(now);
                if late {
                    let lack = self.processes.iter().filter(|p| !p.joined).count();
                    scale.notes.push(format!(
                        "{lack} front ends did not act {} s after the start",
                        now / SECOND
                    ));
                }
                let by_scope = scale.size.by_scope > 0;
                let (after, next) = if by_scope {
                    (0, Happens::Fill)
                } else {
                    (SETTLED, Happens::Steady)
                };
                self.schedule(now + after, Event::Scale(next));
                return;
            }
        }
        if let (Some(since), true) = (scale.healing, scale.healing.is_some() && whole()) {
            if let Some(cut) = &mut scale.cut {
                cut.healed_ms = Some(((now - since) / 1000) as u64);
            }
            scale.healing = None;
        }
        if !scale.dead.is_empty() {
            let leads = self.processes[..self.disks.len()]
                .iter()
                .find_map(|p| p.node.as_ref()?.log());
            if let Some(log) = leads {
                let freed = scale.dead.extract_if(.., |d| !log.has_member(d.1));
                scale
                    .freed
                    .extend(freed.map(|d| ((now - d.2) / 1000) as u64));
            }
        }
    }

    /// Sets up the functions that are changed by scope; then each front end is called for a few, and counting begins.
    fn fill(&mut self) {
        let now = self.now;
        let (Some(s), Some(scale)) = (&mut self.scopes, &mut self.scale) else {
            return;
        };
        let joined = scale.joined.unwrap_or(now);
        let missing: Vec<String> = s.missing().take(FILLED).collect();
        let late = now - joined > START;
        if late {
            scale.notes.push(format!(
                "functions were not set up {} s after all acted",
                START / SECOND
            ));
        }
        if late || s.is_settled() && missing.is_empty() {
            let mut one = |who| {
                (
                    now + s.rng.i64(0..CALLED),
                    who,
                    1 + s.rng.usize(0..2 * HOLDS - 1),
                )
            };
            let calls: Vec<(Time, usize, usize)> =
                (0..self.options.front_ends).map(&mut one).collect();
            for (at, who, scopes) in calls {
                self.schedule(at, Event::Scale(Happens::Calls { who, scopes }));
            }
            return self.schedule(now + SETTLED, Event::Scale(Happens::Steady));
        }
        let settled = s.is_settled();
        scale.fills += u64::from(settled);
        let id = FILLS + scale.fills;
        self.schedule(now + SECOND / 2, Event::Scale(Happens::Fill));
        if !settled {
            return;
        }
        let new = |scope| ScopeUpdate {
            scope,
            base: Revision(0),
            fields: Some(scope_fields("chat", None, 0)),
        };
        let changes = missing.into_iter().map(new).collect();
        let entry = LogEntry::UpdateScopes {
            transactions: vec![ScopeTransaction {
                id,
                updates: changes,
                reason: "a beginning".into(),
            }],
        };
        if let Some((root, _)) = self.leader() {
            self.step_node(root, |p, now, out| p.request(now, 0, entry, out));
        }
    }

    /// A front end is called for a few functions, those with little numbers most often.
    fn scope_calls(&mut self, who: usize, scopes: usize) {
        for _ in 0..scopes {
            let Some(s) = &mut self.scopes else { return };
            let scope = s.draw_skewed();
            let name = s.record_request(who, scope);
            self.step_node(who, |p, now, out| {
                p.admit(now, &name, out);
            });
        }
    }

    /// Draws the function that a change is of, where a share of them goes to what is held.
    fn draw_scope(&mut self, n: usize) {
        let (Some(s), Some(scale)) = (&mut self.scopes, &mut self.scale) else {
            return;
        };
        let (held, by_dead) = (scale.size.held, scale.size.held_by_dead);
        let spread = n.wrapping_mul(SPREAD) % s.names.len().max(1);
        let mut drawn = spread;
        if held + by_dead > 0.0 {
            let share = s.rng.f64();
            let from = if share < by_dead {
                scale.gone.clone()
            } else {
                (0..self.processes.len()).collect()
            };
            if share < held + by_dead {
                drawn = s.draw_requested(&from).unwrap_or(spread);
            }
        }
        let want = &mut scale.wants[n];
        want.scope = Some(drawn);
        want.dead_held = want.strict && s.is_requested(&scale.gone, drawn);
        scale.of_held +=
            u64::from(s.is_requested(&(0..self.processes.len()).collect::<Vec<_>>(), drawn));
    }

    /// The change of a single function that an operator asks for.
    fn change_of(&self, n: usize, strict: bool) -> Option<ScopeTransaction> {
        let s = self.scopes.as_ref()?;
        let (scope, known) = s.record(self.scale.as_ref()?.wants.get(n)?.scope?)?;
        let class = if strict {
            format!("class-{n}")
        } else {
            s.class(&scope)
        };
        let next = scope_fields(&class, None, n as i64 + 1);
        let changes = vec![ScopeUpdate {
            scope,
            base: known.revision,
            fields: Some(next),
        }];
        Some(ScopeTransaction {
            id: n as u64 + 1,
            updates: changes,
            reason: "a change".into(),
        })
    }

    /// Counting begins, and what is to happen is planned.
    fn steady(&mut self) {
        let now = self.now;
        for who in 0..self.processes.len() {
            self.account(who);
            let p = &mut self.processes[who];
            (p.up, p.without_lease, p.without_session) = (0, 0, 0);
        }
        let Some(scale) = &mut self.scale else { return };
        let size = scale.size.clone();
        (scale.steady, scale.end) = (Some(now), now + size.counted);
        scale.traffic.fill(Traffic::default());
        let (fronts, seats) = (self.options.front_ends, self.options.voters);
        let mut planned = Vec::new();
        let hours = size.counted as f64 / (3600 * SECOND) as f64;
        let asked = (size.changes_hour * hours).round() as usize;
        let mut times: Vec<Time> = (0..asked)
            .map(|_| now + self.rng.i64(0..size.counted * 4 / 5 + 1))
            .collect();
        times.extend(std::iter::repeat_n(now + size.counted * 3 / 10, size.burst));
        if size.evenly && size.changes_hour > 0.0 {
            let apart = 3600.0 * SECOND as f64 / size.changes_hour;
            let many = (size.counted as f64 * 0.8 / apart) as usize;
            times = (0..many)
                .map(|n| now + (apart * (n as f64 + 0.5)) as Time)
                .collect();
        }
        times.sort_unstable();
        for (n, at) in times.into_iter().enumerate() {
            // The first is plain: nothing yet waits for a strict one.
            let strict = size.strict_every > 0 && n % size.strict_every == size.strict_every / 2;
            let (scope, dead_held) = (None, false);
            scale.wants.push(Want {
                strict,
                asked: at,
                version: None,
                over: false,
                tries: 0,
                scope,
                dead_held,
            });
            planned.push((at, Event::Scale(Happens::Ask { want: n, tries: 0 })));
        }
        let mut others: Vec<usize> = (seats..fronts).collect();
        self.rng.shuffle(&mut others);
        for who in others.drain(..size.dead.min(others.len())) {
            let name = self.processes[who]
                .node
                .as_ref()
                .map(|p| p.setup().node.member());
            scale.dead.extend(name.map(|m| (who, m, now)));
            scale.gone.push(who);
            planned.push((now, Event::Stop { process: who }));
        }
        let away = (size.away_hour * hours).round() as usize;
        for _ in 0..if others.is_empty() { 0 } else { away } {
            let at = now + self.rng.i64(0..size.counted * 9 / 10 + 1);
            let who = others[self.rng.usize(0..others.len())];
            planned.push((at, Event::Stop { process: who }));
            planned.push((
                at + self.rng.i64(2 * SECOND..10 * SECOND),
                Event::Start { process: who },
            ));
        }
        if size.cut_regions > 0 && size.cut > 0 {
            let from = now + size.counted / 5;
            self.network
                .partition_regions(size.cut_regions, from, from + size.cut);
            planned.push((from, Event::Scale(Happens::CutBegins)));
            planned.push((from + size.cut, Event::Scale(Happens::CutEnds)));
        }
        if size.rack > 0 || size.zone > 0 || size.rolling > 0 {
            planned.push((now + size.counted / 5, Event::Scale(Happens::Loss)));
        }
        planned
            .into_iter()
            .for_each(|(at, event)| self.schedule(at, event));
    }

    /// An operator asks the seat that leads for a change.
    fn ask_change(&mut self, n: usize, tries: u64) {
        let now = self.now;
        let Some(scale) = &mut self.scale else { return };
        let cut = scale
            .cut
            .as_mut()
            .filter(|_| tries == 0 && scale.healing.is_none());
        let want = &mut scale.wants[n];
        if want.tries != tries || want.version.is_some() || want.over {
            return;
        }
        if let Some(cut) = cut {
            *if want.strict {
                &mut cut.strict_asked
            } else {
                &mut cut.plain_asked
            } += 1;
        }
        want.tries += 1;
        let (strict, tries) = (want.strict, want.tries);
        // It is asked for again if no answer comes; the same id makes it one change.
        self.schedule(
            now + UNANSWERED,
            Event::Scale(Happens::Ask { want: n, tries }),
        );
        if self.scopes.is_some() {
            if self
                .scale
                .as_ref()
                .is_some_and(|s| s.wants[n].scope.is_none())
            {
                self.draw_scope(n);
            }
            let (Some((root, _)), Some(request)) = (self.leader(), self.change_of(n, strict))
            else {
                return;
            };
            let id = request.id;
            let entry = LogEntry::UpdateScopes {
                transactions: vec![request],
            };
            return self.step_node(root, |p, now, out| p.request(now, id, entry, out));
        }
        let Some((root, state)) = self.leader() else {
            return;
        };
        let mut fields = state.in_force.fields.clone();
        let (path, value) = match strict {
            true => ("classes.chat.group", Value::Text(format!("group-{n}"))),
            false => ("front.siblings", Value::Int(1000 + n as i64)),
        };
        fields.insert(path.into(), value);
        let (base, id) = (state.latest(), n as u64 + 1);
        let entry = LogEntry::Propose {
            id,
            base,
            fields,
            reason: "a change".into(),
        };
        self.step_node(root, |p, now, out| p.request(now, id, entry, out));
    }

    pub(crate) fn ended(&mut self, who: usize, word: bool) {
        let Some(name) = self.processes[who]
            .node
            .as_ref()
            .map(|p| p.setup().node.clone())
        else {
            return;
        };
        if let Some(scale) = &mut self.scale {
            scale.ends.insert(name.id, self.now);
        }
        if let Some(shared) = &mut self.shared {
            shared.news(self.now, who, name, false, word);
        }
    }

    /// What was measured, at the end of a run.
    pub(crate) fn report(mut self) -> Report {
        self.account_all();
        self.regained(false);
        let seats = self.options.voters;
        let Some(scale) = self.scale.take() else {
            return Report::default();
        };
        let counted = (self.now - scale.steady.unwrap_or(self.now)).max(1) as f64 / SECOND as f64;
        let hollow = self.options.tier == Tier::Hollow;
        let away = scale.size.away_hour;
        let added = (
            MEMBERSHIP.0 + MEMBERSHIP_AWAY.0 * away,
            MEMBERSHIP.1 + MEMBERSHIP_AWAY.1 * away,
        );
        let added = if hollow { added } else { (0.0, 0.0) };
        let others = &scale.traffic[seats.min(scale.traffic.len())..];
        // One that was away for good takes no part in the mean.
        let lives: Vec<&Traffic> = others
            .iter()
            .zip(&self.processes[seats..])
            .filter(|(_, p)| p.node.is_some())
            .map(|x| x.0)
            .collect();
        let mean = |of: fn(&Traffic) -> u64| {
            lives.iter().map(|t| of(t)).sum::<u64>() as f64 / lives.len().max(1) as f64 / counted
        };
        let most = |all: &[Traffic], of: fn(&Traffic) -> u64| {
            all.iter().map(of).max().unwrap_or(0) as f64 / counted
        };
        let at_seats = &scale.traffic[..seats.min(scale.traffic.len())];
        let up: Time = self.processes.iter().map(|p| p.up).sum();
        let part = |t: Time| t as f64 / up.max(1) as f64;
        let known: usize = self
            .processes
            .iter()
            .filter_map(|p| p.node.as_ref())
            .map(|p| p.others().count())
            .sum();
        let running = self
            .processes
            .iter()
            .filter(|p| p.node.is_some())
            .count()
            .max(1);
        let held: usize = self
            .processes
            .iter()
            .filter_map(|p| p.node.as_ref())
            .map(|p| p.subscription_count())
            .sum();
        let over = scale.wants.iter().filter(|w| w.over).count() as u64;
        let in_force = (scale.plain.len() + scale.strict.len()) as u64;
        let all: Vec<u64> = scale.plain.iter().chain(&scale.strict).copied().collect();
        let mut notes = scale.notes;
        if hollow {
            notes.push(
                "membership's letters are added as measured in the whole tier, not played".into(),
            );
        }
        let open = scale.wants.len() as u64 - over;
        if open > 0 {
            notes.push(format!(
                "{open} changes neither in force nor given up at the end"
            ));
        }
        if !scale.dead.is_empty() {
            notes.push(format!(
                "{} of the dead still on the roster at the end",
                scale.dead.len()
            ));
        }
        if scale.healing.is_some() {
            notes.push("not all act again after the cut".into());
        }
        if let Some(l) = &scale.losing {
            let parts = match l.parts.len() {
                0 => String::new(),
                n => format!(", {n} parts not yet restarted"),
            };
            notes.push(format!("not all act again at the end{parts}"));
        }
        let strict_held = || scale.wants.iter().filter(|w| w.dead_held);
        let dead_held = DeadHeld {
            asked: strict_held().count() as u64,
            in_force: scale.dead_held.len() as u64,
            given_up: strict_held().filter(|w| w.over).count() as u64
                - scale.dead_held.len() as u64,
            in_force_ms: Quantiles::of(&scale.dead_held),
        };
        let broken = !self.result.violations.is_empty();
        notes.extend(std::mem::take(&mut self.result.violations));
        let ok = !broken
            && scale.steady.is_some()
            && scale.healing.is_none()
            && scale.losing.is_none()
            && scale.start_join.len() >= self.processes.len();
        Report {
            seed: self.result.seed,
            virtual_seconds: self.now as f64 / SECOND as f64,
            start_seconds: scale.joined.unwrap_or(self.now) as f64 / SECOND as f64,
            view_members: known as f64 / running as f64 + 1.0,
            control_bytes_s: mean(|t| t.bytes) + added.1,
            control_messages_s: mean(|t| t.messages) + added.0,
            relay_bytes_s: most(others, |t| t.bytes) + added.1,
            relay_messages_s: most(others, |t| t.messages) + added.0,
            membership_bytes_s: mean(|t| t.members_bytes) + added.1,
            membership_messages_s: mean(|t| t.members) + added.0,
            seat_bytes_s: most(at_seats, |t| t.bytes) + added.1,
            seat_messages_s: most(at_seats, |t| t.messages) + added.0,
            in_force_ms: Quantiles::of(&all),
            plain_in_force_ms: Quantiles::of(&scale.plain),
            strict_in_force_ms: Quantiles::of(&scale.strict),
            scope_in_force_ms: Quantiles::of(&all).filter(|_| scale.size.by_scope > 0),
            holds: held as f64 / running as f64,
            changes_asked: scale.wants.len() as u64,
            changes_in_force: in_force,
            changes_of_held: scale.of_held,
            changes_given_up: scale.given_up,
            changes_refused: scale.refused,
            changes_open: open,
            start_join_ms: Quantiles::of(&scale.start_join),
            join_ms: Quantiles::of(&scale.join),
            freed_ms: Quantiles::of(&scale.freed),
            view_up_ms: Quantiles::of(&scale.up_known),
            view_down_ms: Quantiles::of(&scale.down_known),
            lease_lost: part(self.processes.iter().map(|p| p.without_lease).sum()),
            stay_lost: part(self.processes.iter().map(|p| p.without_session).sum()),
            cut: scale.cut,
            loss: scale.loss,
            dead_held: (scale.size.by_scope > 0 && !scale.gone.is_empty()).then_some(dead_held),
            events: scale.events,
            notes,
            ok,
        }
    }
}

/// Plays one fleet; [`SimulationOptions::size`] has to be there.
pub fn run(play: &SimulationOptions, seed: u64) -> Report {
    let mut simulation = Simulation::new(play, seed, &[]);
    simulation.play();
    simulation.report()
}

/// Plays seeds `from` to `from + seeds` on so many threads, in their order. With each what it took, seconds.
pub fn many(play: &SimulationOptions, from: u64, seeds: u64, threads: usize) -> Vec<(Report, f64)> {
    let one = |seed| {
        let begun = std::time::Instant::now();
        let report = run(play, seed);
        (report, begun.elapsed().as_secs_f64())
    };
    let mut all = crate::spread(from, seeds, threads, one);
    all.sort_by_key(|r| r.0.seed);
    all
}
