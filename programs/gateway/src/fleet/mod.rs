//! A gateway as a member of a fleet. Its lease and its session determine which settings its dispatcher may apply.
//!
//! - `applier`: applies the current configuration to the dispatcher, with those that replace it when the lease and the session
//!   expire.
//! - `effective`: computes these configurations from the fleet's state.
//! - `lookup`: looks up functions whose settings the fleet agrees on one by one.
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

/// The duration of a lease, in tenths of the longest time for which two front ends may contradict each other.
const LEASE_TENTHS: i64 = 3;

/// The environment variable in which a supervisor passes the label of the program version that a process runs.
pub const LABEL_VARIABLE: &str = "TANSY_LABEL";

/// The part of a gateway's fleet membership that is not in its fleet settings.
#[derive(Debug, Default, Clone)]
pub struct FleetPlacement {
    /// All fields of its settings file, with the values that the command line overrides.
    pub own_fields: Fields,
    /// The version with which a new fleet starts: the fields that are written in the file.
    pub initial_version: Fields,
    /// The addresses through which front ends and workers are reached, by their own addresses.
    pub proxies: HashMap<SocketAddr, SocketAddr>,
    /// Its zone.
    pub zone: String,
}

/// The configuration of the fleet node of a process that starts now.
pub fn node_config(fleet: &FleetSettings, address: SocketAddr) -> FleetNodeConfig {
    // A restarted process must have a larger incarnation than its predecessor. This assumes that the wall clock is not set back
    // by more than the time that a restart takes.
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

/// A gateway's membership in its fleet.
pub struct FleetMember {
    transport: Rc<FleetTransport>,
    applier: Rc<ConfigApplier>,
}

impl FleetMember {
    /// The node's network transport.
    pub fn transport(&self) -> &Rc<FleetTransport> {
        &self.transport
    }

    /// Applies a list of workers. Peers are notified of the workers that drain, and workers that a peer has reported as draining
    /// drain here too.
    pub fn update_workers(&self, workers: Vec<ConfiguredWorker>) {
        let records = workers.iter().map(applier::endpoint_record).collect();
        self.applier.set_workers(workers);
        self.transport.update_endpoints(records);
        self.transport
            .with_node(|node, _| self.applier.apply_workers(node));
    }
}

/// Starts the gateway's node. Until it has a lease and a session, the dispatcher applies no version of the settings.
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
        validate_version: Rc::new(check_version),
        validate_function: Rc::new(check_function),
        read_counters: Rc::new(move || counters::counters(&counted_driver, &zone, &label)),
    };
    let state_applier = applier.clone();
    let apply_state =
        Rc::new(move |node: &FleetNode, now| state_applier.on_state_changed(node, now));
    let transport = FleetTransport::start(spawner, listener, config, apply_state)?;
    driver.set_directory(Rc::new(ScopeLookup::new(&transport)));
    Ok(FleetMember { transport, applier })
}

/// The file of the replicated log. A voter needs one; any other front end that has one may become a voter.
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

/// Checks that a function's fields are valid, and that its class exists both in the settings in force and in the next settings.
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
            "functions.{name}.class: {:?} does not exist: expected a class of version {}",
            function.class, version.version.0
        ))),
    }
}
