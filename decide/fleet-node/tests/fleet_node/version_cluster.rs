//! A cluster for tests that change versions of the settings.

use crate::cluster::{Cluster, Options};
use tansy_agreement::compatibility::{
    Compatibility, ExpiredLeasePolicy, Fields, Restrictiveness, Schema, Value,
};
use tansy_agreement::log::{LogEntry, Version};
use tansy_fleet_node::FleetNode;

pub(crate) type VersionCluster = Cluster<()>;

pub(crate) fn fields(group: &str, attempts: i64) -> Fields {
    let all = [
        ("classes.pay.group", Value::Text(group.into())),
        ("worker.max_attempts", Value::Int(attempts)),
    ];
    all.into_iter()
        .map(|(path, value)| (path.to_string(), value))
        .collect()
}

fn schema() -> Schema {
    let smallest = Compatibility::Joint(
        Restrictiveness::Smallest,
        ExpiredLeasePolicy::Strictest(Value::Int(1)),
    );
    Schema::new([
        ("worker.max_attempts", smallest),
        ("classes.*.group", Compatibility::Strict),
    ])
}

impl VersionCluster {
    /// A cluster whose only voter is front end 0.
    pub(crate) fn with_one_voter(size: usize) -> VersionCluster {
        VersionCluster::with_voters(size, 1)
    }

    pub(crate) fn with_voters(size: usize, voters: usize) -> VersionCluster {
        VersionCluster::with_disks(size, voters, voters)
    }

    pub(crate) fn with_disks(size: usize, voters: usize, disks: usize) -> VersionCluster {
        let options = Options {
            size,
            voters,
            disks,
            seed: size as u64,
            schema,
            initial_fields: fields("zone", 4),
            loss_percent: None,
        };
        Cluster::new(options, ())
    }

    pub(crate) fn propose(&mut self, request: u64, base: u64, fields: Fields) {
        let entry = LogEntry::Propose {
            id: request,
            base: Version(base),
            fields,
            reason: "a test".into(),
        };
        self.request(request, entry);
    }

    /// The version in force at each front end; `None` if the front end is not active or a version is being introduced.
    pub(crate) fn versions_in_force(&self) -> Vec<Option<u64>> {
        let version = |node: &Option<FleetNode>| {
            let active = node.as_ref()?.active_state(self.now);
            let state = active
                .state
                .filter(|_| active.lease_remaining > 0 && active.session_remaining > 0)?;
            Some(state.in_force.version.0).filter(|_| state.next.is_none())
        };
        self.nodes.iter().map(version).collect()
    }
}
