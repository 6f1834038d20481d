//! Computes the dispatcher's configurations from the fleet's state, one for each combination of lease and session.

use crate::GatewayError;
use std::collections::BTreeSet;
use tansy_agreement::compatibility::{
    rules_after_expiry, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema,
};
use tansy_agreement::log::{ChangePhase, FleetState};
use tansy_dispatch::{ConflictingScopes, EffectiveConfig};
use tansy_net_inference::{Driver, MetadataKeys};
use tansy_settings::agreement;

/// The grants from the leader that a front end holds.
#[derive(Clone, Copy)]
pub(super) enum Authority {
    /// A lease and a session.
    LeaseAndSession,
    /// Only a session: the lease has expired.
    SessionOnly,
    /// Neither a lease nor a session.
    Expired,
}

/// A configuration for each authority.
#[derive(Clone)]
pub(super) struct ConfigSet {
    leased: EffectiveConfig,
    without_lease: EffectiveConfig,
    expired: EffectiveConfig,
    pub(super) keys: MetadataKeys,
}

impl ConfigSet {
    pub(super) fn of(&self, authority: Authority) -> &EffectiveConfig {
        match authority {
            Authority::LeaseAndSession => &self.leased,
            Authority::SessionOnly => &self.without_lease,
            Authority::Expired => &self.expired,
        }
    }
}

/// Computes configurations from the fleet's state and the front end's own fields.
pub(super) struct ConfigBuilder {
    pub(super) name: String,
    pub(super) own: Fields,
    pub(super) schema: Schema,
    /// Approximate time after which a rejected call may be retried, microseconds.
    pub(super) retry_after: i64,
}

impl ConfigBuilder {
    /// The configuration that applies until a state of the fleet is known, which is the most restrictive one.
    pub(super) fn initial(
        &self,
        initial_version: &Fields,
    ) -> Result<(EffectiveConfig, MetadataKeys), GatewayError> {
        let (filled, _) = agreement::with_defaults(initial_version)?;
        self.config(&rules_after_expiry(&self.schema, &filled))
    }

    /// The configurations of a state. Also sets the classes by which the driver values calls to those of the settings in force.
    pub(super) fn config_set(
        &self,
        state: &FleetState,
        driver: &Driver,
    ) -> Result<ConfigSet, GatewayError> {
        let state = &state.for_member(&self.name);
        let (in_force, mut unknown) = agreement::with_defaults(&state.in_force.fields)?;
        let mut filled = state.clone();
        filled.in_force.fields = in_force;
        if let Some((next, phase)) = &mut filled.next {
            let (fields, unknown_next) = agreement::with_defaults(&next.fields)?;
            next.fields = fields;
            if *phase == ChangePhase::Joint {
                unknown.extend(unknown_next);
            }
        }
        // Front ends with canary settings value calls by the settings in force too, so that their counters are comparable with
        // those of the other front ends.
        let in_force = agreement::effective_settings(&self.own, &filled.in_force.fields)?.dispatch;
        let classes = in_force.classes.into_iter();
        driver.set_valuation_classes(classes.zip(in_force.settings.classes).collect());
        let mut rules = filled.rules(&self.schema);
        rules.rejected.extend(unknown);
        let (leased, keys) = self.config(&rules)?;
        let (without_lease, _) = self.config(&rules_without_lease(&self.schema, rules))?;
        let expired = rules_after_expiry(&self.schema, &filled.in_force.fields);
        let (expired, _) = self.config(&expired)?;
        Ok(ConfigSet {
            leased,
            without_lease,
            expired,
            keys,
        })
    }

    fn config(
        &self,
        rules: &EffectiveRules,
    ) -> Result<(EffectiveConfig, MetadataKeys), GatewayError> {
        let settings = agreement::effective_settings(&self.own, &rules.fields)?;
        let mut conflicting = ConflictingScopes {
            unknown_names: rules.rejects_unknown_names,
            retry_after: self.retry_after,
            ..ConflictingScopes::default()
        };
        for affected in &rules.rejected {
            match affected {
                AffectedCalls::All => conflicting.all = true,
                AffectedCalls::Class(name) => insert(&mut conflicting.classes, name),
                AffectedCalls::Tenant(name) => insert(&mut conflicting.tenants, name),
                AffectedCalls::Function(name) => insert(&mut conflicting.functions, name),
            }
        }
        let gateway = settings.gateway;
        let keys = MetadataKeys {
            class: gateway.class_key,
            tenant: gateway.tenant_key,
            work_ms: gateway.work_key,
        };
        let config = settings.dispatch;
        Ok((
            EffectiveConfig {
                config,
                conflicting,
            },
            keys,
        ))
    }
}

fn insert(names: &mut BTreeSet<String>, name: &str) {
    names.insert(name.to_string());
}
