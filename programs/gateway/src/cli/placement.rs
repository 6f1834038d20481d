//! The placement in a fleet, from the arguments and the settings.

use super::arguments::Arguments;
use super::error::UsageError;
use crate::fleet::FleetPlacement;
use tansy_agreement::compatibility::{Fields, Value};
use tansy_settings::{agreement, FleetSettings, Settings};

/// The text of the settings and the name of their file.
pub(super) struct SettingsSource {
    pub(super) name: String,
    pub(super) text: String,
}

/// The placement in the fleet that the settings name, if they name one. Arguments override the settings.
pub(super) fn placement(
    arguments: &Arguments,
    source: &SettingsSource,
    settings: &mut Settings,
) -> Result<Option<FleetPlacement>, UsageError> {
    let Some(fleet) = &mut settings.fleet else {
        let needs_fleet = arguments.name.is_some()
            || arguments.peers.is_some()
            || arguments.state.is_some()
            || !arguments.via.is_empty();
        return if needs_fleet {
            Err(UsageError::NoFleet)
        } else {
            Ok(None)
        };
    };
    if arguments.record.is_some() {
        return Err(UsageError::RecordInFleet);
    }
    override_fleet(arguments, fleet);
    check_fleet(fleet)?;
    let own_fields = own_fields(source, settings)?;
    let zone = match own_fields.get("front.zone") {
        Some(Value::Text(zone)) => zone.clone(),
        _ => String::new(),
    };
    Ok(Some(FleetPlacement {
        own_fields,
        initial_version: agreement::parse_version(&source.name, &source.text)?,
        proxies: arguments.via.iter().copied().collect(),
        zone,
    }))
}

fn override_fleet(arguments: &Arguments, fleet: &mut FleetSettings) {
    if let Some(name) = &arguments.name {
        fleet.node_name = name.clone();
    }
    if let Some(peers) = arguments.peers {
        fleet.listen = peers;
    }
    if let Some(state) = &arguments.state {
        fleet.state_file = Some(state.clone());
    }
}

fn check_fleet(fleet: &FleetSettings) -> Result<(), UsageError> {
    if fleet.node_name.is_empty() {
        return Err(UsageError::NoName);
    }
    let mismatch = fleet
        .voters
        .iter()
        .find(|voter| voter.name == fleet.node_name && voter.address != fleet.listen);
    match mismatch {
        Some(voter) => Err(UsageError::VoterAddress {
            listen: fleet.listen,
            name: voter.name.clone(),
            address: voter.address,
        }),
        None => Ok(()),
    }
}

/// All fields of the settings' text, with the values of the arguments that override them.
fn own_fields(source: &SettingsSource, settings: &Settings) -> Result<Fields, UsageError> {
    let mut own = agreement::parse_fields(&source.name, &source.text)?;
    let index = i64::try_from(settings.dispatch.settings.front_end_index).unwrap_or(i64::MAX);
    let listen = settings.gateway.listen.to_string();
    let http = settings.gateway.http.to_string();
    own.insert("front.me".into(), Value::Int(index));
    own.insert("front.listen".into(), Value::Text(listen));
    own.insert("front.http".into(), Value::Text(http));
    Ok(own)
}
