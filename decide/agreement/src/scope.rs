//! Settings of functions that are agreed on one by one, beside the numbered versions.
//!
//! A **scope** is the settings of one function. The [`Catalog`] of the agreed log has all of them, with the step of each one's
//! last change and where a change of it stands; a change goes **joint**, then in **force** (or **back**), and is settled once
//! nobody with a live lease is behind that. What changed lately is remembered as [`Move`]s, so that whoever has a step of a
//! little while ago is told these alone.
//!
//! The log judges and applies (see [`crate::log`]); when a change is ready is the root's to say, who knows leases and holders.

use crate::log::{Refused, Step};
use crate::rule::{apart, joint, part, Fields, Rules, Schema, Touch, Value};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Scopes that the catalog holds at most.
pub const SCOPES: usize = 1 << 19;
/// Changes in a request, and in an entry, at most.
pub const CHANGES: usize = 4096;
/// Bytes of a request, and of an entry, at most, as [`ScopeRequest::weight`] counts them.
pub const REQUEST: usize = 256 << 10;
/// Bytes of a scope's name at most.
pub const NAME: usize = 256;
/// Bytes of a scope's fields at most.
pub const FIELDS: usize = 16 << 10;
/// Moves that are remembered at most.
pub const MOVES: usize = 4096;
/// Bytes of these at most.
pub const MOVES_BYTES: usize = 1 << 20;
/// Requests of which the outcome is remembered.
pub const REQUESTS: usize = 1024;

/// The number of a scope, by which the root knows who holds it. Two names may share one: they are then waited for together.
pub fn number(scope: &str) -> u64 {
    xxh3_64(scope.as_bytes())
}

/// Bytes that fields take, about.
fn weight(fields: &Option<Fields>) -> usize {
    fn value(v: &Value) -> usize {
        match v {
            Value::Text(t) => 8 + t.len(),
            Value::List(all) => 8 + all.iter().map(value).sum::<usize>(),
            _ => 8,
        }
    }
    fields
        .iter()
        .flatten()
        .map(|(k, v)| k.len() + value(v))
        .sum()
}

/// The change of one scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeChange {
    /// The function's name.
    pub scope: String,
    /// The revision that it was made from; the zeroth: there was none.
    pub base: Step,
    /// Its fields from then on, by their names under the function (`class`, `lanes`); none: it is removed.
    pub fields: Option<Fields>,
}

/// Changes of several scopes, which are taken together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeRequest {
    /// The asker's own id for it: told twice it is one. 0: it has none.
    pub id: u64,
    /// What changes; a scope at most once.
    pub changes: Vec<ScopeChange>,
    /// Why, for people.
    pub why: String,
}

impl ScopeRequest {
    /// Bytes that it takes, about.
    pub fn weight(&self) -> usize {
        let one = |c: &ScopeChange| c.scope.len() + 16 + weight(&c.fields);
        self.why.len() + 16 + self.changes.iter().map(one).sum::<usize>()
    }

    /// What is wrong with it wherever it is applied.
    fn wrong(&self) -> Option<Refused> {
        let too_many = |what, most| Some(Refused::TooMany { what, most });
        if self.changes.len() > CHANGES {
            return too_many("changes in a request", CHANGES);
        } else if self.weight() > REQUEST {
            return too_many("bytes in a request", REQUEST);
        }
        let mut names: Vec<&str> = self.changes.iter().map(|c| c.scope.as_str()).collect();
        names.sort_unstable();
        if let Some(twice) = names.windows(2).find(|w| w[0] == w[1]) {
            return Some(Refused::Twice {
                scope: twice[0].to_string(),
            });
        }
        self.changes.iter().find_map(|c| match c {
            _ if c.scope.is_empty() => Some(Refused::NoName),
            _ if c.scope.len() > NAME => too_many("bytes in a function's name", NAME),
            _ if weight(&c.fields) > FIELDS => too_many("bytes in a function's settings", FIELDS),
            _ => None,
        })
    }
}

/// Where the change of a scope stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// None is under way.
    #[default]
    Settled,
    /// The one before and the next may both be about.
    Joint {
        /// What is to be in force; none: it is removed.
        next: Option<Fields>,
        /// The step in which it went joint.
        since: Step,
    },
    /// In force, while some may be at the joint step still.
    Settling {
        /// The step in which it came in force.
        since: Step,
    },
    /// Given up, while some may be at the joint step still.
    Back {
        /// The step in which it was given up.
        since: Step,
    },
}

impl Standing {
    /// The step in which it came to stand so; none: it is settled.
    pub fn since(&self) -> Option<Step> {
        match self {
            Standing::Settled => None,
            Standing::Joint { since, .. }
            | Standing::Settling { since }
            | Standing::Back { since } => Some(*since),
        }
    }
}

/// A scope as the log has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scoped {
    /// The step in which its fields came in force; the zeroth: it never had any.
    pub revision: Step,
    /// In force, or in force until the change under way ends; none: there is no such function.
    pub fields: Option<Fields>,
    /// Where a change of it stands.
    pub standing: Standing,
}

/// What a front end does with calls of a function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Acts {
    /// The settings in use; none: there is no such function.
    pub fields: Option<Fields>,
    /// Whether its calls are refused meanwhile.
    pub refused: bool,
}

impl Scoped {
    /// The next fields, while both may be about.
    pub fn next(&self) -> Option<&Option<Fields>> {
        match &self.standing {
            Standing::Joint { next, .. } => Some(next),
            _ => None,
        }
    }

    /// Whether the change under way touches what must never be two things: whoever holds the scope is waited for. That a
    /// function is there or not is such a thing.
    pub fn strict(&self, schema: &Schema, scope: &str) -> bool {
        self.next()
            .is_some_and(|_| self.acts(schema, scope).refused)
    }

    /// What is acted on under a lease.
    pub fn acts(&self, schema: &Schema, scope: &str) -> Acts {
        match (&self.fields, self.next()) {
            (fields, None) => Acts {
                fields: fields.clone(),
                refused: false,
            },
            (Some(old), Some(Some(next))) => {
                let rules = joint(schema, &full(scope, old), &full(scope, next));
                Acts {
                    fields: Some(under(scope, &rules)),
                    refused: !rules.refused.is_empty(),
                }
            }
            (old, Some(next)) => Acts {
                fields: old.clone().or_else(|| next.clone()),
                refused: old.is_some() != next.is_some(),
            },
        }
    }

    /// What is acted on once the lease is out, while the stay lives: joint fields at what binds most.
    pub fn apart(&self, schema: &Schema, scope: &str) -> Acts {
        let Acts {
            fields: Some(fields),
            refused,
        } = self.acts(schema, scope)
        else {
            return self.acts(schema, scope);
        };
        let rules = apart(schema, Rules::of(&full(scope, &fields)));
        let function = |t: &Touch| matches!(t, Touch::Function(f) if f == scope);
        let refused = refused || rules.refused.iter().any(function);
        Acts {
            fields: Some(under(scope, &rules)),
            refused,
        }
    }

    /// Bytes that it takes, about.
    pub fn weight(&self) -> usize {
        32 + weight(&self.fields) + self.next().map_or(0, weight)
    }
}

/// The start of the paths of a scope's fields among all settings.
fn before(scope: &str) -> String {
    format!("functions.{}.", part(scope))
}

/// A scope's fields by their paths among all settings.
pub fn full(scope: &str, fields: &Fields) -> Fields {
    let before = before(scope);
    fields
        .iter()
        .map(|(field, v)| (format!("{before}{field}"), v.clone()))
        .collect()
}

/// Those of a scope among all, by their names under it.
fn under(scope: &str, rules: &Rules) -> Fields {
    let before = before(scope);
    let mine = rules
        .fields
        .range(before.clone()..)
        .take_while(|(path, _)| path.starts_with(&before));
    mine.map(|(path, v)| (path[before.len()..].to_string(), v.clone()))
        .collect()
}

/// Whether versions' fields name this function.
pub(crate) fn names(fields: &Fields, scope: &str) -> bool {
    let before = before(scope);
    fields
        .range(before.clone()..)
        .next()
        .is_some_and(|(path, _)| path.starts_with(&before))
}

/// A scope came to stand in another way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// In this step.
    pub step: Step,
    /// Which scope.
    pub scope: String,
    /// As it stands from then on.
    pub to: Scoped,
}

impl Move {
    /// Bytes that it takes, about.
    pub fn weight(&self) -> usize {
        self.scope.len() + 16 + self.to.weight()
    }
}

/// The last moves: all that were after a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Moves {
    from: Step,
    all: VecDeque<Arc<Move>>,
    weight: usize,
}

impl Moves {
    /// None are known; there may have been any up to this step.
    pub fn after(from: Step) -> Moves {
        Moves {
            from,
            ..Moves::default()
        }
    }

    /// All moves after this step are there.
    pub fn from(&self) -> Step {
        self.from
    }

    /// Those after a step; none: some of them are forgotten.
    pub fn since(&self, step: Step) -> Option<impl Iterator<Item = &Arc<Move>>> {
        let first = self.all.partition_point(|m| m.step <= step);
        (step >= self.from).then(|| self.all.range(first..))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Bytes that they take, about.
    pub fn weight(&self) -> usize {
        self.weight
    }

    /// Takes later ones up. The steps of the oldest are forgotten whole.
    pub(crate) fn push(&mut self, moves: impl IntoIterator<Item = Arc<Move>>) {
        for m in moves {
            self.weight += m.weight();
            self.all.push_back(m);
        }
        while self.all.len() > MOVES || self.weight > MOVES_BYTES {
            let Some(oldest) = self.all.front().map(|m| m.step) else {
                return;
            };
            let gone = self.all.partition_point(|m| m.step == oldest);
            self.weight -= self.all.drain(..gone).map(|m| m.weight()).sum::<usize>();
            self.from = oldest;
        }
    }
}

impl Serialize for Moves {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let all: Vec<&Move> = self.all.iter().map(|m| &**m).collect();
        (self.from, all).serialize(to)
    }
}

impl<'de> Deserialize<'de> for Moves {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Moves, D::Error> {
        let (from, all) = <(Step, Vec<Move>)>::deserialize(from)?;
        let mut moves = Moves::after(from);
        moves.push(all.into_iter().map(Arc::new));
        Ok(moves)
    }
}

/// What whoever has one step is told to have a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The step that it has.
    pub from: Step,
    /// The step that it has then.
    pub to: Step,
    /// All moves between, in their order.
    pub moves: Vec<Arc<Move>>,
}

/// A request that was taken, and what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requested {
    /// Its id.
    pub id: u64,
    /// The step in which its scopes went joint.
    pub step: Step,
    /// Scopes that are joint still.
    pub joint: u32,
    /// Scopes that came in force.
    pub force: u32,
    /// Scopes whose change was given up.
    pub back: u32,
}

/// All scopes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    all: BTreeMap<String, Scoped>,
    /// Those that are not settled, with the request that they belong to.
    open: BTreeMap<String, u64>,
    requests: VecDeque<Requested>,
    /// The step of the first change.
    since: Option<Step>,
}

impl Catalog {
    /// The step in which a scope was changed first, if any ever was: from then on only those act that know of scopes.
    pub fn since(&self) -> Option<Step> {
        self.since
    }

    /// All of them, by name.
    pub fn all(&self) -> &BTreeMap<String, Scoped> {
        &self.all
    }

    /// One of them.
    pub fn get(&self, scope: &str) -> Option<&Scoped> {
        self.all.get(scope)
    }

    /// Those that are not settled.
    pub fn open(&self) -> impl Iterator<Item = (&str, &Scoped)> {
        self.open
            .keys()
            .filter_map(|name| self.all.get_key_value(name))
            .map(|(n, s)| (n.as_str(), s))
    }

    /// A request that was taken lately.
    pub fn requested(&self, id: u64) -> Option<&Requested> {
        self.requests.iter().find(|r| r.id == id && id != 0)
    }

    /// What a request would do. `elsewhere`: whether a function stands in the versions.
    pub(crate) fn judge(
        &self,
        request: &ScopeRequest,
        elsewhere: impl Fn(&str) -> bool,
    ) -> Result<Option<Step>, Refused> {
        if let Some(known) = self.requested(request.id) {
            return Ok(Some(known.step));
        }
        if let Some(wrong) = request.wrong() {
            return Err(wrong);
        }
        let mut new = 0;
        let mut differs = false;
        for c in &request.changes {
            let scope = || c.scope.clone();
            if elsewhere(&c.scope) {
                return Err(Refused::Elsewhere { scope: scope() });
            }
            let known = self.get(&c.scope);
            if known.is_some_and(|k| k.standing != Standing::Settled) {
                return Err(Refused::ScopeBusy { scope: scope() });
            }
            let revision = known.map_or(Step(0), |k| k.revision);
            if revision != c.base {
                return Err(Refused::ScopeBase {
                    scope: scope(),
                    revision,
                });
            }
            differs |= known.map_or(&None, |k| &k.fields) != &c.fields;
            new += usize::from(known.is_none());
        }
        if !differs {
            return Err(Refused::Same);
        } else if self.all.len() + new > SCOPES {
            return Err(Refused::TooMany {
                what: "functions in the catalog",
                most: SCOPES,
            });
        }
        Ok(None)
    }

    /// A request that was judged well: its scopes go joint in this step. What changes nothing is left as it is.
    pub(crate) fn change(&mut self, step: Step, request: ScopeRequest, moves: &mut Vec<Arc<Move>>) {
        self.since.get_or_insert(step);
        let mut joint = 0;
        for c in request.changes {
            if self.all.get(&c.scope).map_or(&None, |k| &k.fields) == &c.fields {
                continue;
            }
            joint += 1;
            let known = self.all.entry(c.scope.clone()).or_default();
            known.standing = Standing::Joint {
                next: c.fields,
                since: step,
            };
            moves.push(Arc::new(Move {
                step,
                scope: c.scope.clone(),
                to: known.clone(),
            }));
            self.open.insert(c.scope, request.id);
        }
        if request.id != 0 {
            self.requests.push_back(Requested {
                id: request.id,
                step,
                joint,
                force: 0,
                back: 0,
            });
            if self.requests.len() > REQUESTS {
                self.requests.pop_front();
            }
        }
    }

    /// Those that are joint since these steps come in force in this one, or go back.
    pub(crate) fn end(
        &mut self,
        step: Step,
        scopes: Vec<(String, Step)>,
        back: bool,
        moves: &mut Vec<Arc<Move>>,
    ) {
        for (scope, was) in scopes {
            let Some(known) = self.all.get_mut(&scope) else {
                continue;
            };
            if !matches!(known.standing, Standing::Joint { since, .. } if since == was) {
                continue;
            }
            if let Standing::Joint { next, .. } = std::mem::take(&mut known.standing) {
                if back {
                    known.standing = Standing::Back { since: step };
                } else {
                    (known.fields, known.revision) = (next, step);
                    known.standing = Standing::Settling { since: step };
                }
            }
            let id = self.open.get(&scope).copied().filter(|id| *id != 0);
            if let Some(r) = self.requests.iter_mut().find(|r| Some(r.id) == id) {
                r.joint = r.joint.saturating_sub(1);
                *(if back { &mut r.back } else { &mut r.force }) += 1;
            }
            moves.push(Arc::new(Move {
                step,
                scope,
                to: known.clone(),
            }));
        }
    }

    /// Nobody is at the joint step any more: they may change again. True: some were to be.
    pub(crate) fn settle(&mut self, scopes: &[(String, Step)]) -> bool {
        let mut any = false;
        for (scope, was) in scopes {
            let Some(known) = self.all.get_mut(scope) else {
                continue;
            };
            let over = matches!(known.standing, Standing::Settling { since } | Standing::Back { since } if since == *was);
            if !over {
                continue;
            }
            any = true;
            known.standing = Standing::Settled;
            // One that is not there needs no place.
            if known.fields.is_none() {
                self.all.remove(scope);
            }
            self.open.remove(scope);
        }
        any
    }

    /// Whether it would do anything to end or settle these.
    pub(crate) fn stands(&self, scopes: &[(String, Step)], joint: bool) -> bool {
        let since = |s: &Scoped| s.standing.since().filter(|_| s.next().is_some() == joint);
        scopes
            .iter()
            .any(|(name, was)| self.get(name).and_then(since) == Some(*was))
    }
}

/// What a log holds of scopes, apart from the rest, which programs from before there were any read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub(crate) catalog: Catalog,
    pub(crate) versions_at: Step,
    pub(crate) moves: Moves,
}
