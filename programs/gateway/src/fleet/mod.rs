//! A gateway in a fleet: its dispatcher acts on what its lease and its session allow.
//!
//! - `applier`: gives the dispatcher the configuration that is in effect now, and those that follow once the lease and the
//!   session expire.
//! - `effective`: computes these configurations from the fleet's state.
//! - `lookup`: functions that are agreed on one by one.
//! - `counters`: the counters that operators and rollouts read.

mod applier;
mod counters;
mod effective;
mod lookup;

use crate::GatewayError;
use applier::ConfigApplier;
use lookup::ScopeLookup;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;
use tansy_agreement::compatibility::{escape_name, Fields};
use tansy_agreement::lease::LeaseTiming;
use tansy_agreement::log::{FleetState, VersionedSettings};
use tansy_fleet_node::{name_to_id, FleetNode, FleetNodeConfig};
use tansy_net_fleet::{FleetTransport, InvalidFields, TransportConfig};
use tansy_net_inference::Driver;
use tansy_net_sockets::Spawner;
use tansy_settings::{agreement, ConfiguredWorker, FleetSettings};

/// The share of a lease, in tenths, in the time within which no two front ends contradict each other.
const LEASE_TENTHS: i64 = 3;

/// The variable by which a supervisor passes the label of the program that a process runs.
pub const LABEL_VARIABLE: &str = "TANSY_LABEL";

/// A gateway's placement in a fleet, beside its settings.
#[derive(Debug, Default, Clone)]
pub struct FleetPlacement {
    /// All fields of its own file, with those that the command line overrides.
    pub own_fields: Fields,
    /// The first version of a new fleet: the fields that stand in the file.
    pub initial_version: Fields,
    /// Front ends and workers that are reached through another address than their own.
    pub proxies: HashMap<SocketAddr, SocketAddr>,
    /// Its zone.
    pub zone: String,
}

/// The configuration of the node of a process that starts now.
pub fn node_config(fleet: &FleetSettings, address: SocketAddr) -> FleetNodeConfig {
    // A later process of a name must have a larger incarnation; the wall clock does not go back by as much as a restart takes.
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
    let id = name_to_id(&fleet.node_name);
    let voters = fleet.voters.iter();
    let timing = |span| LeaseTiming {
        span,
        drift_ppm: fleet.clock_drift_ppm,
    };
    FleetNodeConfig {
        fleet: name_to_id(&fleet.name),
        name: fleet.node_name.clone(),
        node: tansy_membership::NodeId::new(id, incarnation, address),
        voters: voters
            .map(|voter| (name_to_id(&voter.name), voter.address))
            .collect(),
        lease: timing(fleet.max_divergence * LEASE_TENTHS / 10),
        session: timing(fleet.session),
        gossip: tansy_membership::GossipTiming::default(),
        schema: agreement::compatibility_schema(),
        seed: id ^ incarnation,
    }
}

/// A gateway's member of its fleet.
pub struct FleetMember {
    transport: Rc<FleetTransport>,
    applier: Rc<ConfigApplier>,
}

impl FleetMember {
    /// Its node on the network.
    pub fn transport(&self) -> &Rc<FleetTransport> {
        &self.transport
    }

    /// Applies a list of workers: the peers are notified of those that drain, and those that any peer saw drain do so here.
    pub fn update_workers(&self, workers: Vec<ConfiguredWorker>) {
        let records = workers.iter().map(applier::endpoint_record).collect();
        self.applier.set_workers(workers);
        self.transport.update_endpoints(records);
        self.transport
            .with_node(|node, _| self.applier.apply_workers(node));
    }
}

/// Starts the gateway's node. Until it has a lease and a session, the dispatcher acts on no version.
pub fn start(
    spawner: Spawner,
    driver: Rc<Driver>,
    listener: TcpListener,
    fleet: &FleetSettings,
    placement: &FleetPlacement,
) -> Result<FleetMember, GatewayError> {
    let node = node_config(fleet, listener.local_addr()?);
    let voter = voter_file(fleet)?.map(|path| (path, placement.initial_version.clone()));
    let applier = ConfigApplier::new(driver.clone(), fleet, placement, &node);
    let applier = Rc::new(applier);
    applier.apply_initial(&placement.initial_version)?;
    driver.enable_class_counters();
    let counted_driver = driver.clone();
    let zone = placement.zone.clone();
    let label = std::env::var(LABEL_VARIABLE).unwrap_or_default();
    let config = TransportConfig {
        node,
        fleet: fleet.name.clone(),
        voter,
        proxies: placement.proxies.clone(),
        carrier: None,
        check: Rc::new(check_version),
        check_function: Rc::new(check_function),
        counts: Rc::new(move || counters::counters(&counted_driver, &zone, &label)),
    };
    let state_applier = applier.clone();
    let apply_state =
        Rc::new(move |node: &FleetNode, now| state_applier.on_state_changed(node, now));
    let transport = FleetTransport::start(spawner, listener, config, apply_state)?;
    driver.set_directory(Rc::new(ScopeLookup::new(&transport)));
    Ok(FleetMember { transport, applier })
}

/// The file of the agreed log: a voter needs one, and any other front end that has one may become a voter.
fn voter_file(fleet: &FleetSettings) -> Result<Option<PathBuf>, GatewayError> {
    let is_voter = fleet
        .voters
        .iter()
        .any(|voter| voter.name == fleet.node_name);
    match &fleet.state_file {
        Some(path) => Ok(Some(path.clone())),
        None if is_voter => Err(GatewayError::NoStateFile {
            name: fleet.node_name.clone(),
        }),
        None => Ok(None),
    }
}

fn invalid_fields(errors: tansy_settings::Errors) -> InvalidFields {
    InvalidFields(errors.to_string())
}

fn check_version(fields: &Fields) -> Result<(), InvalidFields> {
    agreement::validate(fields).map_err(invalid_fields)
}

/// Whether a function's fields are valid, of a class that the settings in force and those under way have.
fn check_function(name: &str, fields: &Fields, state: &FleetState) -> Result<(), InvalidFields> {
    let function = agreement::read_function(name, fields).map_err(invalid_fields)?;
    let prefix = format!("classes.{}.", escape_name(&function.class));
    let has_class = |settings: &VersionedSettings| {
        let first = settings.fields.range(prefix.clone()..).next();
        first.is_some_and(|(path, _)| path.starts_with(&prefix))
    };
    let next = state.next.as_ref().map(|(next, _)| next);
    let versions = [Some(&state.in_force), next];
    match versions
        .into_iter()
        .flatten()
        .find(|version| !has_class(version))
    {
        None => Ok(()),
        Some(version) => Err(InvalidFields(format!(
            "functions.{name}.class: {:?} is not there: want a class of version {}",
            function.class, version.version.0
        ))),
    }
}
