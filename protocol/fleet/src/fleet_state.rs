//! Encodes and decodes versions of the settings and the fleet's state.

use crate::values::{bounded_text, decode_fields, encode_fields};
use crate::{pb, DecodeError};
use tansy_agreement::log::{Canary, ChangePhase, FleetState, Revision, Version, VersionedSettings};
use tansy_agreement::scope::ChangeHistory;

/// Encodes a version of the settings.
pub fn encode_settings(settings: &VersionedSettings) -> pb::Settings {
    pb::Settings {
        version: settings.version.0,
        fields: encode_fields(&settings.fields),
        reason: settings.reason.clone(),
        id: settings.id,
    }
}

/// Decodes a version of the settings.
pub fn decode_settings(settings: pb::Settings) -> Result<VersionedSettings, DecodeError> {
    let fields = decode_fields(settings.fields)?;
    Ok(VersionedSettings {
        version: Version(settings.version),
        fields,
        reason: bounded_text(settings.reason, "reason")?,
        id: settings.id,
    })
}

/// Encodes the state that a front end acts on.
pub fn encode_state(state: &FleetState) -> pb::State {
    let next = state.next.as_ref();
    // Omitted if it equals the revision; programs that do not support scopes ignore it.
    let versions_revision = if state.versions_revision == state.revision {
        0
    } else {
        state.versions_revision.0
    };
    pb::State {
        revision: state.revision.0,
        in_force: Some(encode_settings(&state.in_force)),
        next: next.map(|(next, _)| encode_settings(next)),
        phase: encode_phase(next.map(|(_, phase)| phase)) as i32,
        canary: state.canary.as_ref().map(|canary| pb::Canary {
            fields: encode_fields(&canary.fields),
            members: canary.members.iter().cloned().collect(),
        }),
        versions_revision,
        scopes_since: state.scopes_since.map_or(0, |since| since.0),
    }
}

fn encode_phase(phase: Option<&ChangePhase>) -> pb::Phase {
    match phase {
        None => pb::Phase::None,
        Some(ChangePhase::Announced) => pb::Phase::Notified,
        Some(ChangePhase::Joint) => pb::Phase::Joint,
        Some(ChangePhase::RolledBack) => pb::Phase::Reverting,
    }
}

fn decode_phase(phase: i32) -> Result<Option<ChangePhase>, DecodeError> {
    match pb::Phase::try_from(phase) {
        Ok(pb::Phase::None) => Ok(None),
        Ok(pb::Phase::Notified) => Ok(Some(ChangePhase::Announced)),
        Ok(pb::Phase::Joint) => Ok(Some(ChangePhase::Joint)),
        Ok(pb::Phase::Reverting) => Ok(Some(ChangePhase::RolledBack)),
        Err(_) => Err(DecodeError::MissingPart("phase")),
    }
}

fn decode_canary(canary: pb::Canary) -> Result<Box<Canary>, DecodeError> {
    let members = canary.members.into_iter();
    let members = members.map(|name| bounded_text(name, "name"));
    let members = members.collect::<Result<_, _>>()?;
    Ok(Box::new(Canary {
        fields: decode_fields(canary.fields)?,
        members,
    }))
}

/// Decodes the state that a front end acts on.
pub fn decode_state(state: pb::State) -> Result<FleetState, DecodeError> {
    let phase = decode_phase(state.phase)?;
    let in_force = state.in_force;
    let in_force = decode_settings(in_force.ok_or(DecodeError::MissingPart("version in force"))?)?;
    let next = match (state.next, phase) {
        (Some(next), Some(phase)) => Some((decode_settings(next)?, phase)),
        (None, None) => None,
        _ => return Err(DecodeError::MissingPart("version in progress")),
    };
    let revision = Revision(state.revision);
    let versions_revision = match state.versions_revision {
        0 => revision,
        versions_revision => Revision(versions_revision),
    };
    if versions_revision > revision {
        return Err(DecodeError::MissingPart("revision of the versions"));
    }
    let scopes_since = Some(Revision(state.scopes_since)).filter(|since| since.0 != 0);
    Ok(FleetState {
        revision,
        in_force,
        next,
        canary: state.canary.map(decode_canary).transpose()?,
        versions_revision,
        scopes_since,
        history: ChangeHistory::after(revision),
    })
}
