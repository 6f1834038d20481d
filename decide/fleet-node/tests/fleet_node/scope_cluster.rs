//! A cluster for tests that change scopes. After every event the settings that each front end with a session applies are
//! compared with the agreed ones: strict fields must be equal, and joint fields no less restrictive.

use crate::cluster::{latest_log, Cluster, Observer, Options};
use std::collections::BTreeMap;
use tansy_agreement::compatibility::{
    contradictions, AffectedCalls, Compatibility, EffectiveRules, ExpiredLeasePolicy, Fields,
    Restrictiveness, Schema, Value,
};
use tansy_agreement::log::{LogEntry, Revision};
use tansy_agreement::scope::{
    qualified_fields, ScopePhase, ScopeRecord, ScopeTransaction, ScopeUpdate,
};
use tansy_agreement::subscription::Admission;
use tansy_fleet_node::{FleetNode, MessageBody};

pub(crate) type ScopeCluster = Cluster<ScopeObserver>;

/// A subscribe reply with scopes that was delivered.
pub(crate) struct DeliveredReply {
    pub(crate) to: usize,
    /// Revision of the reply.
    pub(crate) revision: Revision,
    /// Revision that the receiver had reached.
    pub(crate) receiver_revision: Revision,
}

#[derive(Default)]
pub(crate) struct ScopeObserver {
    /// The latest agreed revision and record of each scope that is checked.
    agreed: BTreeMap<String, (Revision, ScopeRecord)>,
    pub(crate) replies: Vec<DeliveredReply>,
}

impl ScopeObserver {
    fn update(&mut self, nodes: &[Option<FleetNode>]) {
        let Some(log) = latest_log(nodes) else {
            return;
        };
        let revision = log.state().revision;
        for (name, known) in &mut self.agreed {
            if revision >= known.0 {
                let record = log.catalog().get(name).cloned();
                *known = (revision, record.unwrap_or_default());
            }
        }
    }

    fn check(&self, now: i64, index: usize, node: &FleetNode) {
        for (name, (revision, agreed)) in &self.agreed {
            let settings = node.effective_settings(now, name);
            let Some(settings) = settings.filter(|settings| !settings.rejected) else {
                continue;
            };
            let qualified = |fields: &Option<Fields>| {
                let fields = fields.as_ref();
                fields.map_or_else(Fields::new, |fields| qualified_fields(name, fields))
            };
            let contradictions = contradictions(
                &schema(),
                &qualified(&agreed.fields),
                &EffectiveRules::from_fields(&qualified(&settings.fields)),
            );
            let concerns_scope = |calls: &AffectedCalls| matches!(calls, AffectedCalls::Function(function) if function == name);
            // Without a lease the strictest value of a joint field applies, which contradicts no agreed value.
            assert!(
                !contradictions.iter().any(|(_, calls)| concerns_scope(calls)),
                "{now} us: f{index} applies {name} as {settings:?} at {:?}, agreed at {revision:?} is {agreed:?}",
                known_revision(now, Some(node))
            );
        }
    }
}

impl Observer for ScopeObserver {
    fn before_delivery(
        &mut self,
        now: i64,
        nodes: &[Option<FleetNode>],
        to: usize,
        body: &MessageBody,
    ) {
        if let MessageBody::SubscribeReply(reply) = body {
            if !reply.scopes.is_empty() {
                self.replies.push(DeliveredReply {
                    to,
                    revision: reply.revision,
                    receiver_revision: known_revision(now, nodes[to].as_ref()),
                });
            }
        }
    }

    fn after_event(&mut self, now: i64, nodes: &[Option<FleetNode>]) {
        self.update(nodes);
        for (index, node) in nodes.iter().enumerate() {
            if let Some(node) = node {
                self.check(now, index, node);
            }
        }
    }
}

fn known_revision(now: i64, node: Option<&FleetNode>) -> Revision {
    let state = node.and_then(|node| node.active_state(now).state);
    state.map_or(Revision(0), |state| state.revision)
}

fn schema() -> Schema {
    let smallest = || {
        Compatibility::Joint(
            Restrictiveness::Smallest,
            ExpiredLeasePolicy::Strictest(Value::Int(1)),
        )
    };
    Schema::new([
        ("worker.max_attempts", smallest()),
        ("functions.*.class", Compatibility::Strict),
        ("functions.*.lanes", smallest()),
        ("functions.*.memory", Compatibility::Free),
    ])
}

pub(crate) fn fields(class: &str, lanes: i64) -> Fields {
    let all = [
        ("class", Value::Text(class.into())),
        ("lanes", Value::Int(lanes)),
        ("memory", Value::Bytes(1 << 28)),
    ];
    all.into_iter()
        .map(|(path, value)| (path.to_string(), value))
        .collect()
}

pub(crate) fn change(scope: &str, base: Revision, fields: Option<Fields>) -> ScopeUpdate {
    ScopeUpdate {
        scope: scope.into(),
        base,
        fields,
    }
}

impl ScopeCluster {
    pub(crate) fn with_scopes(size: usize, voters: usize, seed: u64) -> ScopeCluster {
        let options = Options {
            size,
            voters,
            disks: voters,
            seed,
            schema,
            initial_fields: [("worker.max_attempts".to_string(), Value::Int(4))].into(),
            loss_percent: Some(0),
        };
        let mut cluster = Cluster::new(options, ScopeObserver::default());
        cluster.run(6.0);
        cluster
    }

    /// Runs until the condition holds, or until the time is up; returns whether it holds.
    pub(crate) fn run_until(&mut self, seconds: f64, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + (seconds * 1e6) as i64;
        while self.now < end && !holds(self) {
            self.run(0.002);
        }
        holds(self)
    }

    pub(crate) fn scope(&self, name: &str) -> ScopeRecord {
        self.log().catalog().get(name).cloned().unwrap_or_default()
    }

    pub(crate) fn update_scopes(&mut self, request: u64, updates: Vec<ScopeUpdate>) {
        let transaction = ScopeTransaction {
            id: request,
            updates,
            reason: "a test".into(),
        };
        let entry = LogEntry::UpdateScopes {
            transactions: vec![transaction],
        };
        self.request(request, entry);
    }

    /// Sets a scope and runs until the change has settled.
    pub(crate) fn set(&mut self, request: u64, scope: &str, fields: Option<Fields>) {
        let agreed = &mut self.observer.agreed;
        agreed.entry(scope.to_string()).or_default();
        let base = self.scope(scope).revision;
        self.update_scopes(request, vec![change(scope, base, fields.clone())]);
        let is_settled = |cluster: &ScopeCluster| {
            let record = cluster.scope(scope);
            record.fields == fields && record.phase == ScopePhase::Settled
        };
        assert!(
            self.run_until(10.0, is_settled),
            "{scope}: {:?} {:?}",
            self.scope(scope),
            self.answers.get(&request)
        );
    }

    pub(crate) fn admit(&mut self, index: usize, scope: &str) -> Option<Admission> {
        self.call(index, |node, now, commands| {
            Some(node.admit(now, scope, commands))
        })
    }

    /// Calls a function until its admission is decided, and returns the class of the admitted call.
    pub(crate) fn admitted_class(&mut self, index: usize, scope: &str) -> String {
        for _ in 0..250 {
            match self.admit(index, scope) {
                Some(Admission::Wait) => self.run(0.002),
                admission => return class(admission),
            }
        }
        "waits".into()
    }
}

pub(crate) fn class(admission: Option<Admission>) -> String {
    match admission {
        Some(Admission::Admit(fields)) => format!("{}", fields["class"]).replace('"', ""),
        other => format!("{other:?}"),
    }
}
