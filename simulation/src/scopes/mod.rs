//! Settings of functions by scope in a simulated fleet: workload, injected defects and audit.
//!
//! Each front end is audited against the agreed catalog whenever either changes. Under a lease, a front end may act on the
//! agreed record of a scope, or on the previous one while the change is not settled. With only a valid session, it must not
//! act on settings that contradict those in force. Two front ends that keep these rules never differ in a strict field.

mod agreed;
mod audit;
mod defects;
mod workload;

pub(crate) use defects::REPLY_DELAY;

use agreed::{AgreedScopes, AuditKey};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::Member;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopeCatalog, ScopeRecord, ScopeTransaction};

/// The scopes of a run: requests of front ends, changes by operators, and the state of the audit.
pub(crate) struct Scopes {
    pub(crate) rng: fastrand::Rng,
    pub(crate) names: Vec<String>,
    /// By front end: the scopes for which it has received a request.
    requested: Vec<BTreeSet<usize>>,
    agreed: AgreedScopes,
    /// By front end: the inputs of its last audit.
    audited: Vec<Option<AuditKey>>,
    /// The catalogs of the voters, by number of applied entries.
    catalogs: BTreeMap<u64, ScopeCatalog>,
    /// Whether the audit compares the catalogs of the voters and requires all changes to end.
    compares_catalogs: bool,
    /// The transactions that operators requested, by request id.
    transactions: BTreeMap<u64, ScopeTransaction>,
    /// The accepted requests, with their revisions.
    accepted: BTreeMap<u64, Revision>,
    /// Changes that some front ends do not act on yet, by the revision that put them into force.
    awaited: VecDeque<(Revision, usize)>,
    /// A front end that was behind the first of these changes at the last check.
    lagging: usize,
    /// The scopes that each front end has unsubscribed; used by an injected defect.
    unsubscribed: BTreeMap<Member, BTreeSet<u64>>,
}

/// The number of a change, encoded in the `memory` field.
fn change_number(fields: &Option<Fields>) -> Option<i64> {
    match fields.as_ref()?.get("memory")? {
        Value::Bytes(number) => Some(*number),
        _ => None,
    }
}

/// The fields of a scope; `number` identifies the change that sets them and is stored in the `memory` field.
pub(crate) fn scope_fields(class: &str, lanes: Option<i64>, number: i64) -> Fields {
    let mut fields = vec![
        ("class", Value::Text(class.into())),
        ("memory", Value::Bytes(number)),
    ];
    fields.extend(lanes.map(|lanes| ("lanes", Value::Int(lanes))));
    fields
        .into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

impl Scopes {
    /// Creates the state for `scopes` scopes, none of which has fields yet.
    pub(crate) fn new(
        scopes: usize,
        front_ends: usize,
        seed: u64,
        compares_catalogs: bool,
    ) -> Scopes {
        Scopes {
            rng: fastrand::Rng::with_seed(seed ^ 0x5c09e),
            names: (0..scopes).map(|number| format!("s{number:06}")).collect(),
            requested: vec![BTreeSet::new(); front_ends],
            agreed: AgreedScopes::default(),
            audited: vec![None; front_ends],
            catalogs: BTreeMap::new(),
            compares_catalogs,
            transactions: BTreeMap::new(),
            accepted: BTreeMap::new(),
            awaited: VecDeque::new(),
            lagging: 0,
            unsubscribed: BTreeMap::new(),
        }
    }

    /// Draws a scope with a skewed distribution that favours low indices.
    pub(crate) fn draw_skewed(&mut self) -> usize {
        let index = self.rng.f64().powi(3) * self.names.len() as f64;
        (index as usize).min(self.names.len().saturating_sub(1))
    }

    /// The names of the scopes that have no fields in force.
    pub(crate) fn missing(&self) -> impl Iterator<Item = String> + '_ {
        let is_missing = |name: &&String| self.agreed.fields(name).is_none();
        self.names.iter().filter(is_missing).cloned()
    }

    /// Whether no change is pending.
    pub(crate) fn is_settled(&self) -> bool {
        self.agreed.is_settled()
    }

    /// The name of a scope and its agreed record.
    pub(crate) fn record(&self, scope: usize) -> Option<(String, ScopeRecord)> {
        let name = self.names.get(scope)?;
        Some((name.clone(), self.agreed.record(name)))
    }

    /// The class of a scope that is in force, or the default class.
    pub(crate) fn class(&self, scope: &str) -> String {
        match self
            .agreed
            .fields(scope)
            .and_then(|fields| fields.get("class"))
        {
            Some(Value::Text(class)) => class.clone(),
            _ => "chat".into(),
        }
    }

    /// Records that a front end receives a request for a scope, and returns the scope's name.
    pub(crate) fn record_request(&mut self, front_end: usize, scope: usize) -> String {
        self.requested[front_end].insert(scope);
        self.names[scope].clone()
    }

    /// Draws one of these front ends, and then one of the scopes for which it has received requests.
    pub(crate) fn draw_requested(&mut self, front_ends: &[usize]) -> Option<usize> {
        let drawn = self.rng.usize(0..front_ends.len().max(1));
        let requested = &self.requested[*front_ends.get(drawn)?];
        let index = self.rng.usize(0..requested.len().max(1));
        requested.iter().nth(index).copied()
    }

    /// Whether any of these front ends has received a request for a scope.
    pub(crate) fn is_requested(&self, front_ends: &[usize], scope: usize) -> bool {
        front_ends
            .iter()
            .any(|front_end| self.requested[*front_end].contains(&scope))
    }
}
