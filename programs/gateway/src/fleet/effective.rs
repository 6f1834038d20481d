//! The dispatcher's configurations that follow from the fleet's state, by what a front end holds.

use crate::GatewayError;
use std::collections::BTreeSet;
use tansy_agreement::compatibility::{
    rules_after_expiry, rules_without_lease, AffectedCalls, EffectiveRules, Fields, Schema,
};
use tansy_agreement::log::{ChangePhase, FleetState};
use tansy_dispatch::{ConflictingScopes, EffectiveConfig};
use tansy_net_inference::{Driver, MetadataKeys};
use tansy_settings::agreement;

/// What a front end holds of the leader.
#[derive(Clone, Copy)]
pub(super) enum Authority {
    /// A lease and a session.
    LeaseAndSession,
    /// A session alone: the lease has expired.
    SessionOnly,
    /// Neither.
    Expired,
}

/// A configuration for each authority.
#[derive(Clone)]
pub(super) struct ConfigSet {
    leased: EffectiveConfig,
    without_lease: EffectiveConfig,
    expired: EffectiveConfig,
    pub(super) names: MetadataKeys,
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

/// Computes configurations of the fleet's state and the front end's own fields.
pub(super) struct ConfigBuilder {
    pub(super) name: String,
    pub(super) own: Fields,
    pub(super) schema: Schema,
    /// When a rejected call may be repeated, about.
    pub(super) retry_after: i64,
}

impl ConfigBuilder {
    /// The configuration before any state is known: the most restrictive one.
    pub(super) fn initial(
        &self,
        first: &Fields,
    ) -> Result<(EffectiveConfig, MetadataKeys), GatewayError> {
        let (filled, _) = agreement::with_defaults(first)?;
        self.config(&rules_after_expiry(&self.schema, &filled))
    }

    /// The configurations of a state; the driver's dispatcher values calls by its settings in force.
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
        // Front ends of a canary are valued by the settings in force, as the others are.
        let in_force = agreement::effective_settings(&self.own, &filled.in_force.fields)?.dispatch;
        let classes = in_force.classes.into_iter();
        driver.set_valuation_classes(classes.zip(in_force.settings.classes).collect());
        let mut rules = filled.rules(&self.schema);
        rules.rejected.extend(unknown);
        let (leased, names) = self.config(&rules)?;
        let (without_lease, _) = self.config(&rules_without_lease(&self.schema, rules))?;
        let expired = rules_after_expiry(&self.schema, &filled.in_force.fields);
        let (expired, _) = self.config(&expired)?;
        Ok(ConfigSet {
            leased,
            without_lease,
            expired,
            names,
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
                AffectedCalls::Class(name) => add(&mut conflicting.classes, name),
                AffectedCalls::Tenant(name) => add(&mut conflicting.tenants, name),
                AffectedCalls::Function(name) => add(&mut conflicting.functions, name),
            }
        }
        let gateway = settings.gateway;
        let names = MetadataKeys {
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
            names,
        ))
    }
}

fn add(names: &mut BTreeSet<String>, name: &str) {
    names.insert(name.to_string());
}
