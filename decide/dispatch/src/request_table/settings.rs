//! Changes of the settings, applied between two inputs.
//!
//! The class of a call stays the same for all its attempts: while calls of a changed class are open, the new version of the
//! class gets an index of its own in the settings of the router. Limits of workers, control requests and attempts apply to
//! all calls from the moment of the change. What is known about workers is kept.

use super::Dispatcher;
use crate::config::{ConfigError, ConflictingScopes, DispatchConfig, EffectiveConfig};
use crate::message::Call;
use crate::names::name_hash;
use std::collections::BTreeSet;
use tansyrouter::{Class, Effect, FunctionId, Micros, Time};

/// Settings that take effect at a later time, when a lease expires.
#[derive(Debug)]
pub(super) struct ScheduledSettings {
    at: Time,
    /// Boxed because a configuration is large.
    settings: Box<EffectiveConfig>,
}

/// The classes of the router under a version of the settings.
struct ClassLayout {
    classes: Vec<Class>,
    names: Vec<String>,
    /// For each class of the settings, its index in the router.
    indices: Vec<usize>,
}

impl ClassLayout {
    /// Keeps the indices of classes that open calls use and of classes that the settings do not change. Gives each other
    /// class an unused index.
    fn new(
        config: &DispatchConfig,
        mut classes: Vec<Class>,
        mut names: Vec<String>,
        open: BTreeSet<usize>,
    ) -> ClassLayout {
        let declared = || config.classes.iter().zip(&config.settings.classes);
        let unchanged = |(name, class): (&String, &Class)| {
            (0..classes.len()).find(|i| names[*i] == *name && classes[*i] == *class)
        };
        let mut indices: Vec<Option<usize>> = declared().map(unchanged).collect();
        let mut used: BTreeSet<usize> = open
            .into_iter()
            .chain(indices.iter().flatten().copied())
            .collect();
        for (index, (name, class)) in indices.iter_mut().zip(declared()) {
            if index.is_some() {
                continue;
            }
            // Prefers the index of a class of the same name, whose learned service times are the best estimate.
            let mut free: Vec<usize> = (0..classes.len()).filter(|i| !used.contains(i)).collect();
            free.sort_by_key(|i| names[*i] != *name);
            let at = free.first().copied().unwrap_or(classes.len());
            if at == classes.len() {
                classes.push(class.clone());
                names.push(name.clone());
            } else {
                classes[at] = class.clone();
                names[at] = name.clone();
            }
            used.insert(at);
            *index = Some(at);
        }
        ClassLayout {
            classes,
            names,
            indices: indices.into_iter().flatten().collect(),
        }
    }
}

impl Dispatcher {
    /// Applies a configuration now, and each of `scheduled`, sorted by time, at its time. On an error nothing changes.
    pub fn apply_settings(
        &mut self,
        now: Time,
        effective: EffectiveConfig,
        scheduled: Vec<(Time, EffectiveConfig)>,
    ) -> Result<(), ConfigError> {
        effective.config.check()?;
        for (_, after) in &scheduled {
            after.config.check()?;
        }
        self.now = self.now.max(now);
        self.replace_settings(effective);
        self.scheduled = scheduled
            .into_iter()
            .map(|(at, after)| ScheduledSettings {
                at,
                settings: Box::new(after),
            })
            .collect();
        self.apply_due_settings();
        Ok(())
    }

    /// Postpones the scheduled settings to these times, one for each, because the settings in force stay valid for longer.
    /// A time earlier than the scheduled one has no effect. Returns false and changes nothing if some of the scheduled
    /// settings are already in force.
    pub fn extend_expiry(&mut self, now: Time, expiries: &[Time]) -> bool {
        self.now = self.now.max(now);
        self.apply_due_settings();
        let none_applied = expiries.len() == self.scheduled.len();
        if none_applied {
            for (scheduled, expiry) in self.scheduled.iter_mut().zip(expiries) {
                scheduled.at = scheduled.at.max(*expiry);
            }
        }
        none_applied
    }

    /// When the settings in force expire, if ever.
    pub fn next_expiry(&self) -> Option<Time> {
        self.scheduled.front().map(|scheduled| scheduled.at)
    }

    /// The configuration in force as it was given to [`Dispatcher::apply_settings`], with its own order of classes.
    pub fn applied_config(&self) -> DispatchConfig {
        let mut config = self.config.clone();
        let class = |index: &usize| config.settings.classes[*index].clone();
        let classes = self.class_indices.iter().map(class).collect();
        config.settings.classes = classes;
        for spec in &mut config.functions {
            let own = self.class_indices.iter().position(|i| *i == spec.class);
            spec.class = own.unwrap_or(0);
        }
        config
    }

    /// Scopes in which versions of the settings conflict now.
    pub fn conflicting(&self) -> &ConflictingScopes {
        &self.conflicting
    }

    /// The index of a class for [`Call::class`], by name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        let own = self.config.classes.iter().position(|c| c == name)?;
        self.class_indices.get(own).copied()
    }

    /// The effect of running a call of this class twice; the class is an index as in [`Call::class`].
    pub fn class_effect(&self, class: usize) -> Effect {
        self.config
            .settings
            .classes
            .get(class)
            .map_or(Effect::Unsafe, |class| class.effect)
    }

    /// The index of a tenant for [`Call::tenant`], by name.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.config.tenants.iter().position(|t| t == name)
    }

    /// Applies the scheduled settings that are due.
    pub(super) fn apply_due_settings(&mut self) {
        while self.scheduled.front().is_some_and(|s| s.at <= self.now) {
            if let Some(scheduled) = self.scheduled.pop_front() {
                self.replace_settings(*scheduled.settings);
            }
        }
    }

    fn replace_settings(&mut self, effective: EffectiveConfig) {
        let EffectiveConfig {
            mut config,
            conflicting,
        } = effective;
        let open: BTreeSet<usize> = self.calls.values().map(|call| call.class).collect();
        let classes = self.config.settings.classes.clone();
        let layout = ClassLayout::new(&config, classes, self.class_names.clone(), open);
        config.settings.classes = layout.classes;
        if let Err(error) = self.router.update_settings(config.settings.clone()) {
            debug_assert!(false, "checked settings are rejected: {error}");
            self.counters.guard_rejections += 1;
            return;
        }
        self.replace_functions(&mut config, &layout.indices);
        self.config = config;
        self.class_indices = layout.indices;
        self.class_names = layout.names;
        self.conflicting = conflicting;
    }

    /// Replaces the functions by those of a configuration, and translates their classes to indices of the router. Functions
    /// that the configuration omits become learned functions, so that their open calls can end.
    fn replace_functions(&mut self, config: &mut DispatchConfig, indices: &[usize]) {
        for spec in &mut config.functions {
            spec.class = indices.get(spec.class).copied().unwrap_or(0);
            // The id may still belong to the name of an omitted function. This function then stays unknown until that name
            // is removed and settings are applied again.
            let Ok(id) = self.function_names.intern(&spec.name) else {
                continue;
            };
            self.learned_functions.remove(&FunctionId(id));
            self.function_specs.insert(FunctionId(id), spec.clone());
        }
        let named = |name: &str| config.functions.iter().any(|spec| spec.name == name);
        let previous = std::mem::take(&mut self.config.functions);
        for spec in previous.iter().filter(|spec| !named(&spec.name)) {
            let id = FunctionId(name_hash(&spec.name));
            self.function_specs.remove(&id);
            self.learned_functions.insert(id);
        }
    }

    /// Retry advice if the call must be refused because versions of the settings conflict on it.
    pub(super) fn conflict_advice(&self, call: &Call, class: usize) -> Option<Micros> {
        let scopes = &self.conflicting;
        let class = self.class_names.get(class);
        let tenant = self.config.tenants.get(call.tenant);
        let conflicts = scopes.all
            || class.is_some_and(|name| scopes.classes.contains(name))
            || tenant.is_some_and(|name| scopes.tenants.contains(name))
            || scopes.functions.contains(&call.function)
            || scopes.unknown_names && call.unknown_names;
        conflicts.then(|| self.conflict_retry_after())
    }
}
