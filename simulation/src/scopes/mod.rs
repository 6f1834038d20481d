//! Settings of functions by scope in a simulated fleet: who requests and changes what, and the audit of it.
//!
//! Each front end is audited against the agreed catalog, at every revision of either. Under a lease it acts on the scope as
//! it is agreed on, or as it was one change before while that change is not settled; under its session alone on nothing that
//! contradicts what is in force. Two front ends that both do so never differ in a strict field.

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

/// The scopes of a run: what front ends request, what operators change, and what the audit knows.
pub(crate) struct Scopes {
    pub(crate) rng: fastrand::Rng,
    pub(crate) names: Vec<String>,
    /// By front end: the scopes it ever got a request for.
    requested: Vec<BTreeSet<usize>>,
    agreed: AgreedScopes,
    /// By front end: with what it was audited last.
    audited: Vec<Option<AuditKey>>,
    /// The catalogs of voters, by the number of entries applied.
    catalogs: BTreeMap<u64, ScopeCatalog>,
    /// Whether the catalogs of voters are compared with each other, and changes have to end.
    compares_catalogs: bool,
    /// What operators asked for, by request.
    transactions: BTreeMap<u64, ScopeTransaction>,
    /// Requests that were accepted, with their revision.
    accepted: BTreeMap<u64, Revision>,
    /// Changes that are in force since these revisions, but not everywhere yet.
    awaited: VecDeque<(Revision, usize)>,
    /// A front end that was behind them when last looked at.
    lagging: usize,
    /// Scopes that the leader was notified to be unsubscribed, by front end; for a planted defect.
    unsubscribed: BTreeMap<Member, BTreeSet<u64>>,
}

/// The number of a change, which its fields carry.
fn change_number(fields: &Option<Fields>) -> Option<i64> {
    match fields.as_ref()?.get("memory")? {
        Value::Bytes(number) => Some(*number),
        _ => None,
    }
}

/// The fields of a scope; `number` identifies the change that sets them.
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
    /// So many scopes, none of which is set up yet.
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

    /// Draws a scope; few of them are drawn often.
    pub(crate) fn draw_skewed(&mut self) -> usize {
        let index = self.rng.f64().powi(3) * self.names.len() as f64;
        (index as usize).min(self.names.len().saturating_sub(1))
    }

    /// The scopes without fields.
    pub(crate) fn missing(&self) -> impl Iterator<Item = String> + '_ {
        let is_missing = |name: &&String| self.agreed.fields(name).is_none();
        self.names.iter().filter(is_missing).cloned()
    }

    /// Whether no change is under way.
    pub(crate) fn is_settled(&self) -> bool {
        self.agreed.is_settled()
    }

    /// A scope's name, and its agreed record.
    pub(crate) fn record(&self, scope: usize) -> Option<(String, ScopeRecord)> {
        let name = self.names.get(scope)?;
        Some((name.clone(), self.agreed.record(name)))
    }

    /// The class in force of a scope.
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

    /// Records that a front end gets a request for a scope; its name.
    pub(crate) fn record_request(&mut self, front_end: usize, scope: usize) -> String {
        self.requested[front_end].insert(scope);
        self.names[scope].clone()
    }

    /// Draws one of these front ends, and one of the scopes it got requests for.
    pub(crate) fn draw_requested(&mut self, front_ends: &[usize]) -> Option<usize> {
        let drawn = self.rng.usize(0..front_ends.len().max(1));
        let requested = &self.requested[*front_ends.get(drawn)?];
        let index = self.rng.usize(0..requested.len().max(1));
        requested.iter().nth(index).copied()
    }

    /// Whether one of these front ends got a request for a scope.
    pub(crate) fn is_requested(&self, front_ends: &[usize], scope: usize) -> bool {
        front_ends
            .iter()
            .any(|front_end| self.requested[*front_end].contains(&scope))
    }
}
