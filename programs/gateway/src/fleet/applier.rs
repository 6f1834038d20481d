//! Applies the configurations and workers that the node currently allows to the dispatcher.

use super::effective::{Authority, ConfigBuilder, ConfigSet};
use super::FleetPlacement;
use crate::GatewayError;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::endpoints::{Endpoint, EndpointRecord, EndpointState};
use tansy_agreement::lease::Time;
use tansy_agreement::log::FleetState;
use tansy_dispatch::{ConflictingScopes, EffectiveConfig, WorkerState};
use tansy_fleet_node::{FleetNode, FleetNodeConfig};
use tansy_net_inference::{Driver, WorkerEndpoint};
use tansy_settings::{ConfiguredWorker, FleetSettings};

/// The state that the dispatcher's configuration was computed for.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Applied {
    revision: u64,
    lease: bool,
    session: bool,
}

/// The configurations of a revision, or the error for which they can't be computed.
struct ComputedConfigs {
    revision: u64,
    result: Result<ConfigSet, Rc<GatewayError>>,
}

pub(super) struct ConfigApplier {
    driver: Rc<Driver>,
    builder: ConfigBuilder,
    applied: Cell<Option<Applied>>,
    computed: RefCell<Option<ComputedConfigs>>,
    /// The addresses through which workers are reached, by the workers' own addresses.
    proxies: HashMap<SocketAddr, SocketAddr>,
    /// The last worker list that was read.
    workers: RefCell<Vec<ConfiguredWorker>>,
    /// The node's number of changes to draining workers when the workers were last applied.
    drain_changes: Cell<u64>,
    /// The node's number of changes to functions when pending calls were last resolved.
    scope_changes: Cell<u64>,
}

impl ConfigApplier {
    pub(super) fn new(
        driver: Rc<Driver>,
        fleet: &FleetSettings,
        placement: &FleetPlacement,
        node: &FleetNodeConfig,
    ) -> ConfigApplier {
        ConfigApplier {
            driver,
            builder: ConfigBuilder {
                name: fleet.node_name.clone(),
                own: placement.own_fields.clone(),
                schema: node.schema.clone(),
                retry_after: node.lease.span,
            },
            applied: Cell::new(None),
            computed: RefCell::new(None),
            proxies: placement.proxies.clone(),
            workers: RefCell::new(Vec::new()),
            drain_changes: Cell::new(0),
            scope_changes: Cell::new(0),
        }
    }

    /// Applies the configuration that is used until the node knows a state of the fleet.
    pub(super) fn apply_initial(&self, initial_version: &Fields) -> Result<(), GatewayError> {
        let (config, keys) = self.builder.initial(initial_version)?;
        Ok(self.driver.apply_settings(config, keys, Vec::new())?)
    }

    /// Applies the node's state after it may have changed, and resolves pending calls if it has. Returns the error for which
    /// the state can't be applied, if any.
    pub(super) fn on_state_changed(&self, node: &FleetNode, now: Time) -> Option<String> {
        let applied_before = self.applied.get();
        let error = self.apply(node, now);
        let scope_changes = node.admission_changes();
        let changed = self.scope_changes.replace(scope_changes) != scope_changes
            || self.applied.get() != applied_before;
        if changed
            && self
                .driver
                .with_dispatcher(|dispatcher| dispatcher.pending_calls())
                > 0
        {
            // Runs as a task of its own, since the node is borrowed here and each lookup queries it again.
            let driver = self.driver.clone();
            self.driver
                .spawner
                .spawn(async move { driver.resolve_pending() });
        }
        error
    }

    /// Applies the state that the node may act on. Returns the error for which it can't be applied, if any.
    fn apply(&self, node: &FleetNode, now: Time) -> Option<String> {
        if node.drain_changes() != self.drain_changes.get() {
            self.apply_workers(node);
        }
        let active = node.active_state(now);
        let state = active.state?;
        let applied = Applied {
            revision: state.revision.0,
            lease: active.lease_remaining > 0,
            session: active.session_remaining > 0,
        };
        let expiries = expiries(applied, active.lease_remaining, active.session_remaining);
        let remaining: Vec<i64> = expiries.iter().map(|(remaining, _)| *remaining).collect();
        if self.applied.get() == Some(applied) && self.driver.extend_expiry(&remaining) {
            return self.error();
        }
        match self.configs(state) {
            Some(configs) => self.adopt(applied, &configs, expiries),
            None => self.reject_all(),
        }
        self.error()
    }

    /// The configurations of a state, computed once for each revision; `None` if they can't be computed.
    fn configs(&self, state: &FleetState) -> Option<ConfigSet> {
        let revision = state.revision.0;
        let computed = self.computed.borrow().as_ref().map(|known| known.revision);
        if computed != Some(revision) {
            let result = self.builder.config_set(state, &self.driver);
            if let Err(error) = &result {
                tracing::error!(revision, %error, "settings in force can't be applied here: all calls are rejected");
            }
            self.set_computed(revision, result);
        }
        let computed = self.computed.borrow();
        computed.as_ref()?.result.as_ref().ok().cloned()
    }

    fn set_computed(&self, revision: u64, result: Result<ConfigSet, GatewayError>) {
        *self.computed.borrow_mut() = Some(ComputedConfigs {
            revision,
            result: result.map_err(Rc::new),
        });
    }

    /// Applies the configuration in effect to the dispatcher, and the ones that replace it when the lease and the session
    /// expire.
    fn adopt(&self, applied: Applied, configs: &ConfigSet, expiries: Vec<(i64, Authority)>) {
        let authority = match (applied.lease, applied.session) {
            (true, true) => Authority::LeaseAndSession,
            (false, true) => Authority::SessionOnly,
            (_, false) => Authority::Expired,
        };
        let following = expiries
            .into_iter()
            .map(|(remaining, authority)| (remaining, configs.of(authority).clone()));
        let adopted = self.driver.apply_settings(
            configs.of(authority).clone(),
            configs.keys.clone(),
            following.collect(),
        );
        self.applied.set(Some(applied));
        if let Err(error) = adopted {
            self.set_computed(applied.revision, Err(error.into()));
            self.reject_all();
        }
    }

    /// The error for which the state can't be applied, if any.
    fn error(&self) -> Option<String> {
        let computed = self.computed.borrow();
        let error = computed.as_ref()?.result.as_ref().err()?;
        Some(error.to_string())
    }

    /// Makes the dispatcher reject all calls, for a state that can't be applied.
    fn reject_all(&self) {
        let config = self
            .driver
            .with_dispatcher(|dispatcher| dispatcher.applied_config());
        let conflicting = ConflictingScopes {
            all: true,
            retry_after: self.builder.retry_after,
            ..ConflictingScopes::default()
        };
        let config = EffectiveConfig {
            config,
            conflicting,
        };
        let keys = self.driver.metadata_keys();
        // Can't fail, since the dispatcher has accepted this configuration before.
        let _ = self
            .driver
            .apply_settings(config, (*keys).clone(), Vec::new());
        self.applied.set(None);
    }

    /// Stores the workers of the list, which [`Self::apply_workers`] applies.
    pub(super) fn set_workers(&self, workers: Vec<ConfiguredWorker>) {
        *self.workers.borrow_mut() = workers;
    }

    /// Applies the workers to the dispatcher. A worker's state combines the list with what other front ends have reported.
    pub(super) fn apply_workers(&self, node: &FleetNode) {
        self.drain_changes.set(node.drain_changes());
        let worker = |configured: &ConfiguredWorker| {
            let endpoint = endpoint_record(configured);
            let state =
                node.drains()
                    .state_of(&endpoint.endpoint, endpoint.incarnation, endpoint.state);
            let mut record = configured.record.clone();
            record.state = match state {
                EndpointState::Ready => WorkerState::Ready,
                EndpointState::Draining => WorkerState::Draining,
                EndpointState::Gone => WorkerState::Gone,
            };
            let proxy = self.proxies.get(&configured.address);
            WorkerEndpoint {
                record,
                address: proxy.copied().unwrap_or(configured.address),
            }
        };
        let workers: Vec<WorkerEndpoint> = self.workers.borrow().iter().map(worker).collect();
        if !workers.is_empty() {
            self.driver.set_workers(workers);
        }
    }
}

/// The times after which the authority changes, each with the authority that follows, in order. A lease that would outlast the
/// session ends with the session.
fn expiries(applied: Applied, lease: i64, session: i64) -> Vec<(i64, Authority)> {
    let mut expiries = Vec::new();
    if applied.lease && applied.session && lease < session {
        expiries.push((lease, Authority::SessionOnly));
    }
    if applied.session {
        expiries.push((session, Authority::Expired));
    }
    expiries
}

/// Converts a worker of the list to the node's form.
pub(super) fn endpoint_record(worker: &ConfiguredWorker) -> EndpointRecord {
    let state = match worker.record.state {
        WorkerState::Ready => EndpointState::Ready,
        WorkerState::Draining => EndpointState::Draining,
        WorkerState::Gone => EndpointState::Gone,
    };
    EndpointRecord {
        endpoint: Endpoint {
            name: worker.record.name.clone(),
            address: worker.address.to_string(),
        },
        incarnation: worker.incarnation,
        state,
    }
}
