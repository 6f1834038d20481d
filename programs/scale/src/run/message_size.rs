//! Sizes of the messages that carry a version of the settings.

use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::{LeaseGrant, Member};
use tansy_agreement::lease_tree::LeaseMessage;
use tansy_agreement::log::{ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::ChangeHistory;
use tansy_fleet_node::{Leader, MessageBody};
use tansy_fleet_wire::encode_message;
use tansy_membership::NodeId;

/// Sizes in bytes of lease grants that carry a complete version.
pub(super) struct GrantBytes {
    /// With a version in force and no change in progress.
    pub(super) steady: usize,
    /// During a change to a version of the same size.
    pub(super) changing: usize,
}

impl GrantBytes {
    /// Encodes both messages to determine their sizes.
    pub(super) fn of(fields: &Fields) -> GrantBytes {
        let settings = VersionedSettings {
            version: Version(1),
            fields: fields.clone(),
            reason: String::new(),
            id: 1,
        };
        let next = Some((settings.clone(), ChangePhase::Joint));
        GrantBytes {
            steady: grant_bytes(settings.clone(), None),
            changing: grant_bytes(settings, next),
        }
    }
}

fn grant_bytes(
    in_force: VersionedSettings,
    next: Option<(VersionedSettings, ChangePhase)>,
) -> usize {
    let revision = Revision(1);
    let state = FleetState {
        revision,
        in_force,
        next,
        canary: None,
        versions_revision: revision,
        scopes_since: None,
        history: ChangeHistory::after(revision),
    };
    let to = Member {
        id: 1,
        incarnation: 1,
    };
    let grant = LeaseGrant {
        to,
        seq: 1,
        span: 1,
        revision,
        state: Some(state),
        delta: None,
    };
    let sender = NodeId::new(1, 1, ([127, 0, 0, 1], 1).into());
    let body = MessageBody::Lease(LeaseMessage::Grant(grant));
    encode_message(1, &sender, Leader::default(), body).len()
}
