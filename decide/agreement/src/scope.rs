//! Settings of functions that are agreed on one by one, beside the numbered versions.
//!
//! A **scope** is the settings of one function. The [`ScopeCatalog`] of the agreed log has all of them, with the step of each one's
//! last change and where a change of it stands; a change goes **joint**, then in **force** (or **back**), and is settled once
//! nobody with a live lease is behind that. What changed lately is remembered as [`ScopeUpdate`]s, so that whoever has a step of a
//! little while ago is told these alone.
//!
//! The log judges and applies (see [`crate::log`]); when a change is ready is the root's to say, who knows leases and holders.

use crate::compatibility::{
    joint_rules, part, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema, Value,
};
use crate::log::{EntryRejection, Revision};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Scopes that the catalog holds at most.
pub const MAX_SCOPES: usize = 1 << 19;
/// Changes in a request, and in an entry, at most.
pub const MAX_UPDATES_PER_TRANSACTION: usize = 4096;
/// Bytes of a request, and of an entry, at most, as [`ScopeTransaction::encoded_len`] counts them.
pub const MAX_TRANSACTION_BYTES: usize = 256 << 10;
/// Bytes of a scope's name at most.
pub const MAX_NAME_BYTES: usize = 256;
/// Bytes of a scope's fields at most.
pub const MAX_FIELDS_BYTES: usize = 16 << 10;
/// Moves that are remembered at most.
pub const MAX_HISTORY: usize = 4096;
/// Bytes of these at most.
pub const MAX_HISTORY_BYTES: usize = 1 << 20;
/// Requests of which the outcome is remembered.
pub const MAX_REMEMBERED_TRANSACTIONS: usize = 1024;

/// The number of a scope, by which the root knows who holds it. Two names may share one: they are then waited for together.
pub fn scope_number(scope: &str) -> u64 {
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
pub struct ScopeUpdate {
    /// The function's name.
    pub scope: String,
    /// The revision that it was made from; the zeroth: there was none.
    pub base: Revision,
    /// Its fields from then on, by their names under the function (`class`, `lanes`); none: it is removed.
    pub fields: Option<Fields>,
}

/// Changes of several scopes, which are taken together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeTransaction {
    /// The asker's own id for it: told twice it is one. 0: it has none.
    pub id: u64,
    /// What changes; a scope at most once.
    pub updates: Vec<ScopeUpdate>,
    /// Why, for people.
    pub reason: String,
}

impl ScopeTransaction {
    /// Bytes that it takes, about.
    pub fn encoded_len(&self) -> usize {
        let one = |c: &ScopeUpdate| c.scope.len() + 16 + weight(&c.fields);
        self.reason.len() + 16 + self.updates.iter().map(one).sum::<usize>()
    }

    /// What is wrong with it wherever it is applied.
    fn wrong(&self) -> Option<EntryRejection> {
        let too_many = |what, most| {
            Some(EntryRejection::TooMany {
                items: what,
                limit: most,
            })
        };
        if self.updates.len() > MAX_UPDATES_PER_TRANSACTION {
            return too_many("changes in a request", MAX_UPDATES_PER_TRANSACTION);
        } else if self.encoded_len() > MAX_TRANSACTION_BYTES {
            return too_many("bytes in a request", MAX_TRANSACTION_BYTES);
        }
        let mut names: Vec<&str> = self.updates.iter().map(|c| c.scope.as_str()).collect();
        names.sort_unstable();
        if let Some(twice) = names.windows(2).find(|w| w[0] == w[1]) {
            return Some(EntryRejection::DuplicateScope {
                scope: twice[0].to_string(),
            });
        }
        self.updates.iter().find_map(|c| match c {
            _ if c.scope.is_empty() => Some(EntryRejection::MissingName),
            _ if c.scope.len() > MAX_NAME_BYTES => {
                too_many("bytes in a function's name", MAX_NAME_BYTES)
            }
            _ if weight(&c.fields) > MAX_FIELDS_BYTES => {
                too_many("bytes in a function's settings", MAX_FIELDS_BYTES)
            }
            _ => None,
        })
    }
}

/// Where the change of a scope stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScopePhase {
    /// None is under way.
    #[default]
    Settled,
    /// The one before and the next may both be about.
    Joint {
        /// What is to be in force; none: it is removed.
        next: Option<Fields>,
        /// The step in which it went joint.
        since: Revision,
    },
    /// In force, while some may be at the joint step still.
    Settling {
        /// The step in which it came in force.
        since: Revision,
    },
    /// Given up, while some may be at the joint step still.
    Reverting {
        /// The step in which it was given up.
        since: Revision,
    },
}

impl ScopePhase {
    /// The step in which it came to stand so; none: it is settled.
    pub fn since(&self) -> Option<Revision> {
        match self {
            ScopePhase::Settled => None,
            ScopePhase::Joint { since, .. }
            | ScopePhase::Settling { since }
            | ScopePhase::Reverting { since } => Some(*since),
        }
    }
}

/// A scope as the log has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeRecord {
    /// The step in which its fields came in force; the zeroth: it never had any.
    pub revision: Revision,
    /// In force, or in force until the change under way ends; none: there is no such function.
    pub fields: Option<Fields>,
    /// Where a change of it stands.
    pub phase: ScopePhase,
}

/// What a front end does with calls of a function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EffectiveSettings {
    /// The settings in use; none: there is no such function.
    pub fields: Option<Fields>,
    /// Whether its calls are refused meanwhile.
    pub rejected: bool,
}

impl ScopeRecord {
    /// The next fields, while both may be about.
    pub fn next(&self) -> Option<&Option<Fields>> {
        match &self.phase {
            ScopePhase::Joint { next, .. } => Some(next),
            _ => None,
        }
    }

    /// Whether the change under way touches what must never be two things: whoever holds the scope is waited for. That a
    /// function is there or not is such a thing.
    pub fn strict(&self, schema: &Schema, scope: &str) -> bool {
        self.next()
            .is_some_and(|_| self.effective(schema, scope).rejected)
    }

    /// What is acted on under a lease.
    pub fn effective(&self, schema: &Schema, scope: &str) -> EffectiveSettings {
        match (&self.fields, self.next()) {
            (fields, None) => EffectiveSettings {
                fields: fields.clone(),
                rejected: false,
            },
            (Some(old), Some(Some(next))) => {
                let rules = joint_rules(
                    schema,
                    &qualified_fields(scope, old),
                    &qualified_fields(scope, next),
                );
                EffectiveSettings {
                    fields: Some(under(scope, &rules)),
                    rejected: !rules.rejected.is_empty(),
                }
            }
            (old, Some(next)) => EffectiveSettings {
                fields: old.clone().or_else(|| next.clone()),
                rejected: old.is_some() != next.is_some(),
            },
        }
    }

    /// What is acted on once the lease is out, while the stay lives: joint fields at what binds most.
    pub fn effective_without_lease(&self, schema: &Schema, scope: &str) -> EffectiveSettings {
        let EffectiveSettings {
            fields: Some(fields),
            rejected: refused,
        } = self.effective(schema, scope)
        else {
            return self.effective(schema, scope);
        };
        let rules = rules_without_lease(
            schema,
            EffectiveRules::from_fields(&qualified_fields(scope, &fields)),
        );
        let function = |t: &AffectedCalls| matches!(t, AffectedCalls::Function(f) if f == scope);
        let refused = refused || rules.rejected.iter().any(function);
        EffectiveSettings {
            fields: Some(under(scope, &rules)),
            rejected: refused,
        }
    }

    /// Bytes that it takes, about.
    pub fn memory_bytes(&self) -> usize {
        32 + weight(&self.fields) + self.next().map_or(0, weight)
    }
}

/// The start of the paths of a scope's fields among all settings.
fn before(scope: &str) -> String {
    format!("functions.{}.", part(scope))
}

/// A scope's fields by their paths among all settings.
pub fn qualified_fields(scope: &str, fields: &Fields) -> Fields {
    let before = before(scope);
    fields
        .iter()
        .map(|(field, v)| (format!("{before}{field}"), v.clone()))
        .collect()
}

/// Those of a scope among all, by their names under it.
fn under(scope: &str, rules: &EffectiveRules) -> Fields {
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
pub struct ScopeChange {
    /// In this step.
    pub revision: Revision,
    /// Which scope.
    pub scope: String,
    /// As it stands from then on.
    pub record: ScopeRecord,
}

impl ScopeChange {
    /// Bytes that it takes, about.
    pub fn memory_bytes(&self) -> usize {
        self.scope.len() + 16 + self.record.memory_bytes()
    }
}

/// The last moves: all that were after a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeHistory {
    from: Revision,
    all: VecDeque<Arc<ScopeChange>>,
    memory_bytes: usize,
}

impl ChangeHistory {
    /// None are known; there may have been any up to this step.
    pub fn after(from: Revision) -> ChangeHistory {
        ChangeHistory {
            from,
            ..ChangeHistory::default()
        }
    }

    /// All moves after this step are there.
    pub fn from(&self) -> Revision {
        self.from
    }

    /// Those after a step; none: some of them are forgotten.
    pub fn since(&self, step: Revision) -> Option<impl Iterator<Item = &Arc<ScopeChange>>> {
        let first = self.all.partition_point(|m| m.revision <= step);
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
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Takes later ones up. The steps of the oldest are forgotten whole.
    pub(crate) fn push(&mut self, moves: impl IntoIterator<Item = Arc<ScopeChange>>) {
        for m in moves {
            self.memory_bytes += m.memory_bytes();
            self.all.push_back(m);
        }
        while self.all.len() > MAX_HISTORY || self.memory_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.all.front().map(|m| m.revision) else {
                return;
            };
            let gone = self.all.partition_point(|m| m.revision == oldest);
            self.memory_bytes -= self
                .all
                .drain(..gone)
                .map(|m| m.memory_bytes())
                .sum::<usize>();
            self.from = oldest;
        }
    }
}

impl Serialize for ChangeHistory {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let all: Vec<&ScopeChange> = self.all.iter().map(|m| &**m).collect();
        (self.from, all).serialize(to)
    }
}

impl<'de> Deserialize<'de> for ChangeHistory {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<ChangeHistory, D::Error> {
        let (from, all) = <(Revision, Vec<ScopeChange>)>::deserialize(from)?;
        let mut moves = ChangeHistory::after(from);
        moves.push(all.into_iter().map(Arc::new));
        Ok(moves)
    }
}

/// What whoever has one step is told to have a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateDelta {
    /// The step that it has.
    pub from: Revision,
    /// The step that it has then.
    pub to: Revision,
    /// All moves between, in their order.
    pub changes: Vec<Arc<ScopeChange>>,
}

/// A request that was taken, and what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Its id.
    pub id: u64,
    /// The step in which its scopes went joint.
    pub revision: Revision,
    /// Scopes that are joint still.
    pub joint: u32,
    /// Scopes that came in force.
    pub in_force: u32,
    /// Scopes whose change was given up.
    pub reverted: u32,
}

/// All scopes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopeCatalog {
    all: BTreeMap<String, ScopeRecord>,
    /// Those that are not settled, with the request that they belong to.
    open: BTreeMap<String, u64>,
    requests: VecDeque<TransactionResult>,
    /// The step of the first change.
    since: Option<Revision>,
}

impl ScopeCatalog {
    /// The step in which a scope was changed first, if any ever was: from then on only those act that know of scopes.
    pub fn since(&self) -> Option<Revision> {
        self.since
    }

    /// All of them, by name.
    pub fn all(&self) -> &BTreeMap<String, ScopeRecord> {
        &self.all
    }

    /// One of them.
    pub fn get(&self, scope: &str) -> Option<&ScopeRecord> {
        self.all.get(scope)
    }

    /// Those that are not settled.
    pub fn open(&self) -> impl Iterator<Item = (&str, &ScopeRecord)> {
        self.open
            .keys()
            .filter_map(|name| self.all.get_key_value(name))
            .map(|(n, s)| (n.as_str(), s))
    }

    /// A request that was taken lately.
    pub fn transaction_result(&self, id: u64) -> Option<&TransactionResult> {
        self.requests.iter().find(|r| r.id == id && id != 0)
    }

    /// What a request would do. `elsewhere`: whether a function stands in the versions.
    pub(crate) fn validate(
        &self,
        request: &ScopeTransaction,
        elsewhere: impl Fn(&str) -> bool,
    ) -> Result<Option<Revision>, EntryRejection> {
        if let Some(known) = self.transaction_result(request.id) {
            return Ok(Some(known.revision));
        }
        if let Some(wrong) = request.wrong() {
            return Err(wrong);
        }
        let mut new = 0;
        let mut differs = false;
        for c in &request.updates {
            let scope = || c.scope.clone();
            if elsewhere(&c.scope) {
                return Err(EntryRejection::DefinedElsewhere { scope: scope() });
            }
            let known = self.get(&c.scope);
            if known.is_some_and(|k| k.phase != ScopePhase::Settled) {
                return Err(EntryRejection::ScopeChangeInProgress { scope: scope() });
            }
            let revision = known.map_or(Revision(0), |k| k.revision);
            if revision != c.base {
                return Err(EntryRejection::StaleScopeBase {
                    scope: scope(),
                    revision,
                });
            }
            differs |= known.map_or(&None, |k| &k.fields) != &c.fields;
            new += usize::from(known.is_none());
        }
        if !differs {
            return Err(EntryRejection::NoChange);
        } else if self.all.len() + new > MAX_SCOPES {
            return Err(EntryRejection::TooMany {
                items: "functions in the catalog",
                limit: MAX_SCOPES,
            });
        }
        Ok(None)
    }

    /// A request that was judged well: its scopes go joint in this step. What changes nothing is left as it is.
    pub(crate) fn change(
        &mut self,
        step: Revision,
        request: ScopeTransaction,
        moves: &mut Vec<Arc<ScopeChange>>,
    ) {
        self.since.get_or_insert(step);
        let mut joint = 0;
        for c in request.updates {
            if self.all.get(&c.scope).map_or(&None, |k| &k.fields) == &c.fields {
                continue;
            }
            joint += 1;
            let known = self.all.entry(c.scope.clone()).or_default();
            known.phase = ScopePhase::Joint {
                next: c.fields,
                since: step,
            };
            moves.push(Arc::new(ScopeChange {
                revision: step,
                scope: c.scope.clone(),
                record: known.clone(),
            }));
            self.open.insert(c.scope, request.id);
        }
        if request.id != 0 {
            self.requests.push_back(TransactionResult {
                id: request.id,
                revision: step,
                joint,
                in_force: 0,
                reverted: 0,
            });
            if self.requests.len() > MAX_REMEMBERED_TRANSACTIONS {
                self.requests.pop_front();
            }
        }
    }

    /// Those that are joint since these steps come in force in this one, or go back.
    pub(crate) fn end(
        &mut self,
        step: Revision,
        scopes: Vec<(String, Revision)>,
        back: bool,
        moves: &mut Vec<Arc<ScopeChange>>,
    ) {
        for (scope, was) in scopes {
            let Some(known) = self.all.get_mut(&scope) else {
                continue;
            };
            if !matches!(known.phase, ScopePhase::Joint { since, .. } if since == was) {
                continue;
            }
            if let ScopePhase::Joint { next, .. } = std::mem::take(&mut known.phase) {
                if back {
                    known.phase = ScopePhase::Reverting { since: step };
                } else {
                    (known.fields, known.revision) = (next, step);
                    known.phase = ScopePhase::Settling { since: step };
                }
            }
            let id = self.open.get(&scope).copied().filter(|id| *id != 0);
            if let Some(r) = self.requests.iter_mut().find(|r| Some(r.id) == id) {
                r.joint = r.joint.saturating_sub(1);
                *(if back {
                    &mut r.reverted
                } else {
                    &mut r.in_force
                }) += 1;
            }
            moves.push(Arc::new(ScopeChange {
                revision: step,
                scope,
                record: known.clone(),
            }));
        }
    }

    /// Nobody is at the joint step any more: they may change again. True: some were to be.
    pub(crate) fn settle(&mut self, scopes: &[(String, Revision)]) -> bool {
        let mut any = false;
        for (scope, was) in scopes {
            let Some(known) = self.all.get_mut(scope) else {
                continue;
            };
            let over = matches!(known.phase, ScopePhase::Settling { since } | ScopePhase::Reverting { since } if since == *was);
            if !over {
                continue;
            }
            any = true;
            known.phase = ScopePhase::Settled;
            // One that is not there needs no place.
            if known.fields.is_none() {
                self.all.remove(scope);
            }
            self.open.remove(scope);
        }
        any
    }

    /// Whether it would do anything to end or settle these.
    pub(crate) fn stands(&self, scopes: &[(String, Revision)], joint: bool) -> bool {
        let since = |s: &ScopeRecord| s.phase.since().filter(|_| s.next().is_some() == joint);
        scopes
            .iter()
            .any(|(name, was)| self.get(name).and_then(since) == Some(*was))
    }
}

/// What a log holds of scopes, apart from the rest, which programs from before there were any read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogSnapshot {
    pub(crate) catalog: ScopeCatalog,
    pub(crate) versions_at: Revision,
    pub(crate) moves: ChangeHistory,
}
