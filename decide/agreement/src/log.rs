//! The agreed order of versions, and the steps by which one takes force.
//!
//! Entries come from wherever order is agreed on (one seat's durable log, or a majority of several seats) and are applied
//! in that order by everyone; the outcome depends on nothing else. A version goes through three steps:
//!
//! 1. **told**: every front end gets to know it and acts as before. Who loses its lease from here on knows what is
//!    contested.
//! 2. **joint**: both versions may be about; the stricter of the two holds, contested calls are refused.
//! 3. **in force**: it alone.
//!
//! [`Entry::Advance`] is entered only when no front end with a live lease is behind the step that it goes on from (see
//! [`crate::lease`]). The other entries need not wait: telling a version changes no rule, and giving one up leads from the
//! stricter of two back to one of them. One change goes on at a time: a proposal says the version that it starts from, and
//! is refused when that is not the latest.
//!
//! Beside the versions, functions are changed one by one ([`crate::scope`]): these entries take steps of the same count, so
//! that a lease is for both. What goes by the versions alone is judged by the last step that changed them.

use crate::lease::Member;
use crate::rule::{changes, joint, Change, Fields, Kind, Rules, Schema, Touch};
use crate::scope::{self, Catalog, Delta, Kept, Move, Moves, ScopeRequest};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use tansy_rollout::{Phase as Rolled, Roll, What};

/// A version of the settings; 1 is the first, 0 is none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// A step of the fleet; each is one more than the one before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Step(pub u64);

impl Step {
    /// The one after it.
    pub fn next(self) -> Step {
        Step(self.0.saturating_add(1))
    }
}

/// Where the change of a version stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Known to all, acted on by none.
    Told,
    /// Both may be about.
    Joint,
    /// It was given up after it had been joint; the one before is acted on alone again.
    Back,
}

/// One agreed entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A new version, to follow the latest.
    Propose {
        /// The proposer's own id for it: the same proposal told twice is one.
        id: u64,
        /// The version that it was made from.
        base: Version,
        /// All of its fields.
        fields: Fields,
        /// Why, for people.
        why: String,
    },
    /// The change goes on by a step, from this one.
    Advance {
        /// The step that all had reached.
        from: Step,
    },
    /// The change under way is given up.
    Abandon {
        /// The version that is given up.
        version: Version,
    },
    /// A front end's process is about to act: from here on changes of strict fields wait for it. Its processes before are
    /// over, since their name's address is taken by it.
    Join {
        /// Which.
        member: Member,
        /// Its name, for people.
        name: String,
        /// The step that it acts on: none before the last one of the versions, so that whoever is on the roster was waited
        /// for ever since. What functions it holds is not known, so that changes of any wait until it has told.
        at: Step,
    },
    /// It is known to act no more.
    Leave {
        /// Which.
        member: Member,
    },
    /// A front end is to keep the log in the place of another: it learns the log first.
    Seat {
        /// The new one.
        new: u64,
        /// Where it is reached.
        address: SocketAddr,
        /// The seat that it takes over.
        instead: u64,
    },
    /// It knows the log: from here on what is agreed on needs most of the seats with the old one and most with the new.
    Swap {
        /// The new one.
        new: u64,
        /// The old one.
        instead: u64,
    },
    /// The old one is a seat no more.
    Seated {
        /// The new one.
        new: u64,
    },
    /// It did not learn the log in time, or is not wanted any more.
    Unseat {
        /// The new one.
        new: u64,
    },
    /// A step of a change in stages.
    Roll {
        /// Which.
        entry: Box<tansy_rollout::Entry>,
        /// With the beginning of one of settings: all fields of the version that it tries.
        fields: Option<Fields>,
    },
    /// Settings of functions change: they go joint. Each request is taken as a whole or not at all.
    Change {
        /// In the order in which they were made.
        requests: Vec<ScopeRequest>,
    },
    /// Functions of which all have come as far.
    Carry {
        /// These come in force, joint since these steps.
        force: Vec<(String, Step)>,
        /// These may change again, in force or given up since these steps.
        settled: Vec<(String, Step)>,
    },
    /// Changes of functions are given up.
    Return {
        /// Joint since these steps.
        scopes: Vec<(String, Step)>,
    },
}

/// How far a seat's replacement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Hand {
    /// The new one learns the log; it has no vote.
    Learning,
    /// Both have a vote.
    Both,
}

/// A seat's replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seating {
    /// The new one.
    pub new: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The seat that it takes over.
    pub instead: u64,
    /// How far it is.
    pub hand: Hand,
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The proposal was made from another version than the latest.
    Base {
        /// The latest.
        latest: Version,
    },
    /// Another change is under way.
    Busy {
        /// Its version.
        with: Version,
    },
    /// It changes no field.
    Same,
    /// The step was taken already, or there is none to take.
    Past,
    /// It is in force already, or was never under way.
    Over,
    /// A later process of its name has joined.
    Superseded,
    /// It joins from a step that is not the log's.
    Behind,
    /// More front ends than a fleet may have.
    Full,
    /// Another seat is being replaced.
    Seating,
    /// It is a seat already.
    IsSeat,
    /// It is no seat.
    NoSeat,
    /// No replacement stands at this step.
    NoSeating,
    /// Settings are tried in stages.
    Tried,
    /// The roll refuses it.
    Roll(tansy_rollout::Refused),
    /// A change of this function is under way.
    ScopeBusy {
        /// Which.
        scope: String,
    },
    /// The change of this function was made from another revision than its latest.
    ScopeBase {
        /// Which.
        scope: String,
        /// The latest; the zeroth: there is no such function.
        revision: Step,
    },
    /// A request names this function twice.
    Twice {
        /// Which.
        scope: String,
    },
    /// A request has a change without a function's name.
    NoName,
    /// This function stands among the versions' settings, and is to be changed on its own, or the other way round.
    Elsewhere {
        /// Which.
        scope: String,
    },
    /// More than may be.
    TooMany {
        /// Of what.
        what: &'static str,
        /// How many may be.
        most: usize,
    },
    /// A front end does not know, or has not said that it knows, settings of single functions.
    OldProgram {
        /// Its name.
        name: String,
    },
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Base { latest } => {
                write!(
                    f,
                    "made from a version that is not the latest, {}: look at it and propose again",
                    latest.0
                )
            }
            Refused::Busy { with } => {
                write!(f, "the change to version {} goes on: wait, or abandon it first", with.0)
            }
            Refused::Same => write!(f, "no field differs from the latest version"),
            Refused::Past => write!(f, "that step is taken already"),
            Refused::Over => write!(f, "that version is no change under way"),
            Refused::Behind => {
                write!(f, "it acts on a step that is past: it has to hear of the present one first")
            }
            Refused::Superseded => write!(f, "a later process of its name has joined"),
            Refused::Seating => write!(f, "another seat is being replaced: seats are replaced one at a time"),
            Refused::IsSeat => write!(f, "the one that is to take over is a seat already"),
            Refused::NoSeat => write!(f, "the one that is to be replaced is no seat"),
            Refused::Tried => {
                write!(f, "other settings are tried in stages: wait for the end of the roll, or abort it")
            }
            Refused::Roll(r) => write!(f, "{r}"),
            Refused::ScopeBusy { scope } => {
                write!(f, "a change of function {scope} goes on: ask again once it is settled")
            }
            Refused::ScopeBase { scope, revision } => write!(
                f,
                "made from a revision of function {scope} that is not its latest, {}: look at it and ask again",
                revision.0
            ),
            Refused::Twice { scope } => write!(f, "function {scope} is named twice: put its changes into one"),
            Refused::NoName => write!(f, "a change names no function: each needs a name"),
            Refused::Elsewhere { scope } => write!(
                f,
                "function {scope} stands in both the versions' settings and those of single functions: remove it from one first"
            ),
            Refused::TooMany { what, most } => write!(f, "too many {what}: at most {most}"),
            Refused::OldProgram { name } => write!(
                f,
                "front end {name} has not said that it knows settings of single functions: update its program, or ask again in a moment"
            ),
            Refused::NoSeating => write!(f, "no replacement of a seat is that far"),
            Refused::Full => {
                write!(f, "{MEMBERS} front ends are in the fleet already: dismiss those that are gone")
            }
        }
    }
}
impl std::error::Error for Refused {}

/// What an entry did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A version is told; its number.
    Told(Version),
    /// This proposal was applied before, as this version.
    Again(Version),
    /// A step was taken.
    Stepped(Step),
    /// Who may act is another set, or the same.
    Roster,
    /// Who keeps the log, or is about to, is another set.
    Seats,
    /// A change in stages went on.
    Roll,
    /// Requests for functions: those that are not among the refused went joint in this step, or did so before.
    Changed {
        /// Which step.
        step: Step,
        /// By their places in the entry.
        refused: Vec<(usize, Refused)>,
    },
}

/// A version with its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Its number.
    pub version: Version,
    /// Its fields.
    pub fields: Fields,
    /// Why it was proposed.
    pub why: String,
    /// The proposal's id.
    pub id: u64,
}

/// What all front ends act on: what a lease is for.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The fleet's step.
    pub step: Step,
    /// In force, or in force until the change under way ends.
    pub force: Settings,
    /// The change under way.
    pub next: Option<(Settings, Phase)>,
    /// Settings that some front ends try, in stages, beside the version in force.
    pub trial: Option<Box<Trial>>,
    /// The last step that changed any of these; those after it moved functions alone.
    #[serde(skip)]
    pub versions_at: Step,
    /// The step from which on functions are agreed on one by one, beside the versions; none: they never were.
    #[serde(skip)]
    pub scopes_since: Option<Step>,
    /// How functions moved lately.
    #[serde(skip)]
    pub moves: Moves,
}

/// Settings that are tried. Whoever tries them acts on their free fields and on the stricter of both versions' joint ones, so
/// that it contradicts nobody who acts on the version in force; strict fields can't differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// All of its fields.
    pub fields: Fields,
    /// The names of those who try them.
    pub names: BTreeSet<String>,
}

impl fmt::Debug for State {
    /// Where functions never were agreed on one by one, nothing is said of them.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let State {
            step,
            force,
            next,
            trial,
            ..
        } = self;
        let mut all = f.debug_struct("State");
        all.field("step", step)
            .field("force", force)
            .field("next", next)
            .field("trial", trial);
        if self.scopes_since.is_some() {
            all.field("versions_at", &self.versions_at);
            all.field("scopes_since", &self.scopes_since)
                .field("moves", &self.moves);
        }
        all.finish()
    }
}

impl State {
    /// The same without the moves of functions.
    pub fn bare(&self) -> State {
        let (force, next, trial) = (self.force.clone(), self.next.clone(), self.trial.clone());
        let (step, versions_at, moves) = (self.step, self.versions_at, Moves::after(self.step));
        State {
            step,
            force,
            next,
            trial,
            versions_at,
            scopes_since: self.scopes_since,
            moves,
        }
    }

    /// The moves of functions after a step; none: they are not all remembered.
    pub fn since(&self, from: Step) -> Option<Delta> {
        let moves = self
            .moves
            .since(from)
            .filter(|_| from <= self.step)?
            .cloned()
            .collect();
        Some(Delta {
            from,
            to: self.step,
            moves,
        })
    }

    /// Takes up moves of functions. False: some between are missing, and nothing is done.
    pub fn follow(&mut self, delta: &Delta) -> bool {
        if delta.from > self.step {
            return false;
        }
        if delta.to > self.step {
            let known = self.step;
            self.scopes_since = self
                .scopes_since
                .or_else(|| delta.moves.first().map(|m| m.step));
            self.moves
                .push(delta.moves.iter().filter(|m| m.step > known).cloned());
            self.step = delta.to;
        }
        true
    }

    /// The same as the front end of this name acts on it: one that tries settings is in their joint step.
    pub fn at(&self, name: &str) -> State {
        let tries = self
            .trial
            .as_ref()
            .filter(|t| self.next.is_none() && t.names.contains(name));
        let mut state = self.clone();
        state.next = state.next.or_else(|| {
            let version = self.force.version;
            let why = "tried in stages".to_string();
            tries.map(|t| {
                (
                    Settings {
                        version,
                        fields: t.fields.clone(),
                        why,
                        id: 0,
                    },
                    Phase::Joint,
                )
            })
        });
        state
    }

    /// The rules of this step.
    pub fn rules(&self, schema: &Schema) -> Rules {
        match &self.next {
            Some((next, Phase::Joint)) => joint(schema, &self.force.fields, &next.fields),
            _ => Rules::of(&self.force.fields),
        }
    }

    /// The latest version, whether in force or not.
    pub fn latest(&self) -> Version {
        self.next
            .as_ref()
            .map_or(self.force.version, |(n, _)| n.version)
    }

    /// What the change under way touches in a way that is felt.
    pub fn contested(&self, schema: &Schema) -> Vec<Change> {
        let next = self.next.as_ref().map(|(n, _)| &n.fields);
        let all = next.map_or_else(Vec::new, |n| changes(schema, &self.force.fields, n));
        all.into_iter().filter(|c| c.kind != Kind::Free).collect()
    }
}

/// Versions that are remembered for `history` and `revert`.
pub const KEPT: usize = 256;
/// Names that the roster holds at most.
pub const MEMBERS: usize = 1 << 15;

/// The outcome of all entries so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Log {
    #[serde(deserialize_with = "of_versions")]
    state: State,
    given: Version,
    past: VecDeque<Settings>,
    /// Who may act by a stay: by name, the process and the name in words.
    roster: BTreeMap<u64, (u64, String)>,
    /// Who keeps the log, and where each is reached.
    seats: BTreeMap<u64, SocketAddr>,
    seating: Option<Seating>,
    /// The last change in stages, over or not.
    roll: Option<Roll>,
    /// What that tries, if it is one of settings.
    tried: Option<Fields>,
    /// The program that all are to run, by its label and where it is found; none: whatever they were started with.
    program: Option<(String, String)>,
    /// Functions that are changed one by one. It is held apart ([`Log::kept`]), so that a log from before there were any is
    /// read as it was.
    #[serde(skip)]
    catalog: Catalog,
}

/// A state without functions: all of its steps were of versions.
fn of_versions<'de, D: Deserializer<'de>>(from: D) -> Result<State, D::Error> {
    let mut state = State::deserialize(from)?;
    // Nor is any move forgotten.
    (state.versions_at, state.moves) = (state.step, Moves::default());
    Ok(state)
}

impl Log {
    /// A fleet that begins with these fields as its first version, and these seats.
    pub fn new(fields: Fields, seats: impl IntoIterator<Item = (u64, SocketAddr)>) -> Log {
        let force = Settings {
            version: Version(1),
            fields,
            why: "the first".into(),
            id: 0,
        };
        let past = VecDeque::from([force.clone()]);
        let (step, moves) = (Step(1), Moves::default());
        let state = State {
            step,
            force,
            next: None,
            trial: None,
            versions_at: step,
            scopes_since: None,
            moves,
        };
        let seats = seats.into_iter().collect();
        Log {
            state,
            given: Version(1),
            past,
            roster: BTreeMap::new(),
            seats,
            seating: None,
            roll: None,
            tried: None,
            program: None,
            catalog: Catalog::default(),
        }
    }

    /// Functions that are changed one by one.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// What is to be held of functions beside what the log itself is held as; none: there never were any.
    pub fn kept(&self) -> Option<impl Serialize + '_> {
        let State {
            versions_at, moves, ..
        } = &self.state;
        // In the order of the fields of `Kept`.
        self.catalog
            .since()
            .map(|_| (&self.catalog, versions_at, moves))
    }

    /// The same log with what was held of functions.
    pub fn with(mut self, kept: Kept) -> Log {
        self.catalog = kept.catalog;
        self.state.scopes_since = self.catalog.since();
        (self.state.versions_at, self.state.moves) = (kept.versions_at, kept.moves);
        self
    }

    /// The last change in stages, over or not.
    pub fn roll(&self) -> Option<&Roll> {
        self.roll.as_ref()
    }

    /// The program that all are to run once no roll says otherwise: its label, and where it is found.
    pub fn program(&self) -> Option<(&str, &str)> {
        self.program
            .as_ref()
            .map(|(label, path)| (label.as_str(), path.as_str()))
    }

    /// Who keeps the log, and where each is reached.
    pub fn seats(&self) -> &BTreeMap<u64, SocketAddr> {
        &self.seats
    }

    /// The replacement of a seat under way.
    pub fn seating(&self) -> Option<Seating> {
        self.seating
    }

    /// What is to be acted on.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Versions so far, the oldest first, given up ones among them.
    pub fn history(&self) -> impl Iterator<Item = &Settings> {
        self.past.iter()
    }

    /// Who may act by a stay, with the names in words.
    pub fn roster(&self) -> impl Iterator<Item = (Member, &str)> {
        self.roster.iter().map(|(id, (incarnation, name))| {
            (
                Member {
                    id: *id,
                    incarnation: *incarnation,
                },
                name.as_str(),
            )
        })
    }

    /// Whether this process is on the roster.
    pub fn lists(&self, member: Member) -> bool {
        self.roster
            .get(&member.id)
            .is_some_and(|(incarnation, _)| *incarnation == member.incarnation)
    }

    /// Whether the change under way touches a strict field: it then waits for all on the roster.
    pub fn strict(&self, schema: &Schema) -> bool {
        self.state
            .contested(schema)
            .iter()
            .any(|c| c.kind == Kind::Strict)
    }

    /// Whether the change under way has a step to take, once all have reached the one before it.
    pub fn unsettled(&self) -> bool {
        self.state.next.is_some()
    }

    /// What an entry would do, without doing it: refused, nothing since this proposal was applied before as a version, or
    /// something.
    pub fn judge(&self, entry: &Entry) -> Result<Option<Version>, Refused> {
        let next = self.state.next.as_ref();
        let refused = match *entry {
            Entry::Propose {
                id,
                base,
                ref fields,
                ..
            } => {
                if let Some(known) = self.past.iter().find(|s| s.id == id && id != 0) {
                    return Ok(Some(known.version));
                }
                let latest = self.state.force.version;
                match next {
                    _ if self.elsewhere(fields).is_some() => self.elsewhere(fields),
                    _ if self.trying() => Some(Refused::Tried),
                    Some((next, _)) => Some(Refused::Busy { with: next.version }),
                    None if base != latest => Some(Refused::Base { latest }),
                    None => (*fields == self.state.force.fields).then_some(Refused::Same),
                }
            }
            Entry::Advance { from } => {
                (from != self.state.versions_at || next.is_none()).then_some(Refused::Past)
            }
            Entry::Abandon { version } => {
                let there =
                    next.is_some_and(|(n, phase)| n.version == version && *phase != Phase::Back);
                (!there).then_some(Refused::Over)
            }
            Entry::Join { at, .. } if at < self.state.versions_at || at > self.state.step => {
                Some(Refused::Behind)
            }
            Entry::Join { member, .. } => match self.roster.get(&member.id) {
                Some((known, _)) => (*known > member.incarnation).then_some(Refused::Superseded),
                None => (self.roster.len() >= MEMBERS).then_some(Refused::Full),
            },
            Entry::Leave { .. } => None,
            Entry::Seat { .. } if self.seating.is_some() => Some(Refused::Seating),
            Entry::Seat { new, .. } if self.seats.contains_key(&new) => Some(Refused::IsSeat),
            Entry::Seat { instead, .. } => {
                (!self.seats.contains_key(&instead)).then_some(Refused::NoSeat)
            }
            Entry::Swap { new, instead } => {
                let at = self
                    .at(new, Hand::Learning)
                    .is_some_and(|s| s.instead == instead);
                (!at).then_some(Refused::NoSeating)
            }
            Entry::Seated { new } => self
                .at(new, Hand::Both)
                .is_none()
                .then_some(Refused::NoSeating),
            Entry::Unseat { new } => self
                .at(new, Hand::Learning)
                .is_none()
                .then_some(Refused::NoSeating),
            Entry::Roll {
                ref entry,
                ref fields,
            } => self.judge_roll(entry, fields.as_ref()),
            // Each of its requests has an outcome of its own.
            Entry::Change { ref requests } => requests.is_empty().then_some(Refused::Same),
            Entry::Carry {
                ref force,
                ref settled,
            } => {
                let any = self.catalog.stands(force, true) || self.catalog.stands(settled, false);
                (!any).then_some(Refused::Past)
            }
            Entry::Return { ref scopes } => {
                (!self.catalog.stands(scopes, true)).then_some(Refused::Past)
            }
        };
        refused.map_or(Ok(None), Err)
    }

    /// What a request for functions would do: refused, nothing since it went joint before in that step, or something.
    pub fn judge_request(&self, request: &ScopeRequest) -> Result<Option<Step>, Refused> {
        let versions = [
            Some(&self.state.force.fields),
            self.state.next.as_ref().map(|(n, _)| &n.fields),
        ];
        let tried = self.tried.as_ref().filter(|_| self.trying());
        let versions: Vec<&Fields> = versions.into_iter().chain([tried]).flatten().collect();
        self.catalog.judge(request, |scope| {
            versions.iter().any(|fields| scope::names(fields, scope))
        })
    }

    /// A function of the catalog that these fields of a version name.
    fn elsewhere(&self, fields: &Fields) -> Option<Refused> {
        // There is none in a catalog that no change ever went into.
        self.catalog.since()?;
        let functions = fields
            .range("functions.".to_string()..)
            .take_while(|(p, _)| p.starts_with("functions."));
        let names = functions.filter_map(|(path, _)| match Touch::of(path) {
            Touch::Function(name) => Some(name),
            _ => None,
        });
        let mut named = names.filter(|name| self.catalog.get(name).is_some());
        named.next().map(|scope| Refused::Elsewhere { scope })
    }

    /// A step that changes the versions, or who tries one.
    fn step(&mut self) {
        self.state.step = self.state.step.next();
        self.state.versions_at = self.state.step;
    }

    /// A step that moves functions, if it moves any.
    fn moved(&mut self, moves: Vec<Arc<Move>>) -> Step {
        if !moves.is_empty() {
            self.state.step = self.state.step.next();
            self.state.scopes_since = self.catalog.since();
            self.state.moves.push(moves);
        }
        self.state.step
    }

    /// Whether settings are tried in stages.
    fn trying(&self) -> bool {
        self.roll
            .as_ref()
            .is_some_and(|r| !r.over() && r.what == What::Settings)
    }

    fn judge_roll(&self, entry: &tansy_rollout::Entry, fields: Option<&Fields>) -> Option<Refused> {
        use tansy_rollout::{Entry as Step, Refused as No};
        let Step::Begin { id, what, plan, .. } = entry else {
            let judged = self.roll.as_ref().map_or(Err(No::Over), |r| r.judge(entry));
            return judged.err().map(Refused::Roll);
        };
        match &self.roll {
            Some(r) if r.id == *id => return Some(Refused::Roll(No::Same)),
            Some(r) if !r.over() => return Some(Refused::Roll(No::Busy)),
            _ => {}
        }
        if let Some(wrong) = plan.wrong() {
            return Some(Refused::Roll(No::Plan(wrong)));
        }
        match (&self.state.next, fields) {
            _ if *what != What::Settings => None,
            (_, Some(f)) if self.elsewhere(f).is_some() => self.elsewhere(f),
            (Some((next, _)), _) => Some(Refused::Busy { with: next.version }),
            (None, Some(f)) if *f != self.state.force.fields => None,
            (None, _) => Some(Refused::Same),
        }
    }

    /// What follows of a step of a roll: who tries settings; what is in force, or about to be, once it is done.
    fn rolled(&mut self) {
        let Some(roll) = &self.roll else { return };
        let done = roll.phase == Rolled::Done;
        if let (What::Program { label, path }, true) = (&roll.what, done) {
            self.program = Some((label.clone(), path.clone()));
        }
        let trial = match (&self.tried, roll.what == What::Settings && !roll.over()) {
            (Some(fields), true) => {
                let names = roll.plan.stages.iter().flatten().map(|p| &p.name);
                let names: BTreeSet<String> = names.filter(|n| roll.new_side(n)).cloned().collect();
                (!names.is_empty()).then(|| {
                    Box::new(Trial {
                        fields: fields.clone(),
                        names,
                    })
                })
            }
            _ => None,
        };
        let (id, why) = (roll.id, roll.why.clone());
        if let (Some(fields), true) = (self.tried.take_if(|_| roll.over()), done) {
            self.state.trial = None;
            self.tell(id, fields, why);
        } else if self.state.trial != trial {
            self.state.trial = trial;
            self.step();
        }
    }

    /// A version is told.
    fn tell(&mut self, id: u64, fields: Fields, why: String) -> Applied {
        self.given = Version(self.given.0 + 1);
        let next = Settings {
            version: self.given,
            fields,
            why,
            id,
        };
        self.past.push_back(next.clone());
        if self.past.len() > KEPT {
            self.past.pop_front();
        }
        self.state.next = Some((next, Phase::Told));
        self.step();
        Applied::Told(self.given)
    }

    /// The replacement of a seat, if it is this one and so far.
    fn at(&self, new: u64, hand: Hand) -> Option<Seating> {
        self.seating.filter(|s| (s.new, s.hand) == (new, hand))
    }

    /// Applies one entry. What it returns depends on the entries alone, so that every seat finds the same.
    pub fn apply(&mut self, entry: Entry) -> Result<Applied, Refused> {
        if let Some(known) = self.judge(&entry)? {
            return Ok(Applied::Again(known));
        }
        Ok(match entry {
            Entry::Propose {
                id, fields, why, ..
            } => self.tell(id, fields, why),
            Entry::Advance { .. } => {
                match self.state.next.take() {
                    Some((next, Phase::Told)) => self.state.next = Some((next, Phase::Joint)),
                    Some((next, Phase::Joint)) => self.state.force = next,
                    Some((_, Phase::Back)) | None => {}
                }
                self.step();
                Applied::Stepped(self.state.step)
            }
            Entry::Abandon { .. } => {
                // From told on nobody acts on it yet; from joint on all have to be back before another change may begin.
                let joint = self
                    .state
                    .next
                    .take()
                    .filter(|(_, phase)| *phase == Phase::Joint);
                self.state.next = joint.map(|(next, _)| (next, Phase::Back));
                self.step();
                Applied::Stepped(self.state.step)
            }
            Entry::Join { member, name, .. } => {
                self.roster.insert(member.id, (member.incarnation, name));
                Applied::Roster
            }
            Entry::Leave { member } => {
                if self.lists(member) {
                    self.roster.remove(&member.id);
                }
                Applied::Roster
            }
            Entry::Seat {
                new,
                address,
                instead,
            } => {
                self.seating = Some(Seating {
                    new,
                    address,
                    instead,
                    hand: Hand::Learning,
                });
                Applied::Seats
            }
            Entry::Swap { new, .. } => {
                self.seating.iter_mut().for_each(|s| s.hand = Hand::Both);
                self.seats.extend(self.seating.map(|s| (new, s.address)));
                Applied::Seats
            }
            Entry::Seated { .. } => {
                if let Some(seating) = self.seating.take() {
                    self.seats.remove(&seating.instead);
                }
                Applied::Seats
            }
            Entry::Unseat { .. } => {
                self.seating = None;
                Applied::Seats
            }
            Entry::Roll { entry, fields } => {
                match (*entry, &mut self.roll) {
                    (
                        tansy_rollout::Entry::Begin {
                            id,
                            what,
                            plan,
                            why,
                        },
                        roll,
                    ) => {
                        self.tried = fields.filter(|_| what == What::Settings);
                        *roll = Some(Roll::begin(id, what, plan, why).map_err(Refused::Roll)?);
                    }
                    (entry, Some(roll)) => roll.apply(entry).map_err(Refused::Roll)?,
                    (_, None) => {}
                }
                self.rolled();
                Applied::Roll
            }
            Entry::Change { requests } => {
                let (mut at, mut moves, mut refused) =
                    (self.state.step.next(), Vec::new(), Vec::new());
                for (n, request) in requests.into_iter().enumerate() {
                    match self.judge_request(&request) {
                        Ok(None) => self.catalog.change(at, request, &mut moves),
                        Ok(Some(_)) => {}
                        Err(why) => refused.push((n, why)),
                    }
                }
                at = self.moved(moves);
                Applied::Changed { step: at, refused }
            }
            Entry::Carry { force, settled } => {
                let mut moves = Vec::new();
                self.catalog.settle(&settled);
                self.catalog
                    .end(self.state.step.next(), force, false, &mut moves);
                Applied::Stepped(self.moved(moves))
            }
            Entry::Return { scopes } => {
                let mut moves = Vec::new();
                self.catalog
                    .end(self.state.step.next(), scopes, true, &mut moves);
                Applied::Stepped(self.moved(moves))
            }
        })
    }
}
