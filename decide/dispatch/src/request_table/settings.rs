//! The settings' versions: taken up between two inputs, held to for the whole of a call.
//!
//! A call is decided by one version from its arrival to its end, over all its attempts: a class that a version changes gets
//! a place of its own in the module's settings while calls of the old one are open. What bounds workers and orders, and
//! how many attempts a call may have, holds for all from the moment of the change. Beliefs about workers stay.

use super::*;
use crate::config::{ConflictingScopes, EffectiveConfig};

/// What comes when a lease runs out.
#[derive(Debug)]
pub(super) struct End {
    at: Time,
    after: Box<EffectiveConfig>,
}

impl Dispatcher {
    /// Takes calls by these terms from now on, and by each of `ends` from its moment on, whoever hears of it or not; they
    /// are in their order. On an error nothing changes.
    pub fn apply_settings(
        &mut self,
        now: Time,
        terms: EffectiveConfig,
        ends: Vec<(Time, EffectiveConfig)>,
    ) -> Result<(), ConfigError> {
        terms.config.check()?;
        for (_, after) in &ends {
            after.config.check()?;
        }
        self.now = self.now.max(now);
        self.switch(terms);
        self.ends = ends
            .into_iter()
            .map(|(at, after)| End {
                at,
                after: Box::new(after),
            })
            .collect();
        self.lapse();
        Ok(())
    }

    /// The terms hold for longer: until these moments, one for each end. False: some have passed, and nothing changes.
    pub fn extend_expiry(&mut self, now: Time, ends: &[Time]) -> bool {
        self.now = self.now.max(now);
        self.lapse();
        let all = ends.len() == self.ends.len();
        if all {
            self.ends
                .iter_mut()
                .zip(ends)
                .for_each(|(e, at)| e.at = e.at.max(*at));
        }
        all
    }

    /// When the terms end, if they do.
    pub fn next_expiry(&self) -> Option<Time> {
        self.ends.front().map(|e| e.at)
    }

    /// The settings that it acts by, as [`Dispatcher::apply_settings`] took them: with their own list of classes.
    pub fn applied_config(&self) -> DispatchConfig {
        let mut config = self.config.clone();
        let of = |place: &usize| config.settings.classes[*place].clone();
        let classes = self.places.iter().map(of).collect();
        config.settings.classes = classes;
        let place = |class: usize| self.places.iter().position(|p| *p == class).unwrap_or(0);
        config
            .functions
            .iter_mut()
            .for_each(|f| f.class = place(f.class));
        config
    }

    /// What is contested now.
    pub fn conflicting(&self) -> &ConflictingScopes {
        &self.conflicting
    }

    /// A class's number in a [`Call`], by its name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        let place = self.config.classes.iter().position(|c| c == name)?;
        self.places.get(place).copied()
    }

    /// What running a call of this class twice would do; the class as in a [`Call`].
    pub fn class_effect(&self, class: usize) -> Effect {
        self.config
            .settings
            .classes
            .get(class)
            .map_or(Effect::Unsafe, |c| c.effect)
    }

    /// A tenant's number in a [`Call`], by its name.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.config.tenants.iter().position(|t| t == name)
    }

    /// Goes over to what comes after a lease, once that is out.
    pub(super) fn lapse(&mut self) {
        while self.ends.front().is_some_and(|e| e.at <= self.now) {
            self.ends
                .pop_front()
                .into_iter()
                .for_each(|end| self.switch(*end.after));
        }
    }

    fn switch(&mut self, terms: EffectiveConfig) {
        let EffectiveConfig {
            mut config,
            conflicting,
        } = terms;
        let (mut classes, mut names) = (
            self.config.settings.classes.clone(),
            self.class_names.clone(),
        );
        let open: BTreeSet<usize> = self.calls.values().map(|c| c.class).collect();
        let wanted = || config.classes.iter().zip(&config.settings.classes);
        let same = |(name, class): (&String, &module::Class)| {
            (0..classes.len()).find(|n| names[*n] == *name && classes[*n] == *class)
        };
        let mut places: Vec<Option<usize>> = wanted().map(same).collect();
        let mut taken: BTreeSet<usize> = open
            .into_iter()
            .chain(places.iter().flatten().copied())
            .collect();
        for (place, (name, class)) in places.iter_mut().zip(wanted()) {
            if place.is_some() {
                continue;
            }
            // One of its own name first: what is known of its service times is the best guess.
            let mut free: Vec<usize> = (0..classes.len()).filter(|n| !taken.contains(n)).collect();
            free.sort_by_key(|n| names[*n] != *name);
            let at = free.first().copied().unwrap_or(classes.len());
            if at == classes.len() {
                classes.push(class.clone());
                names.push(name.clone());
            } else {
                (classes[at], names[at]) = (class.clone(), name.clone());
            }
            taken.insert(at);
            *place = Some(at);
        }
        let places: Vec<usize> = places.into_iter().flatten().collect();
        config.settings.classes = classes;
        if let Err(e) = self.router.change(config.settings.clone()) {
            debug_assert!(false, "settings that were checked: {e}");
            self.counters.guard_rejections += 1;
            return;
        }
        let before = std::mem::take(&mut self.config.functions);
        for f in &mut config.functions {
            f.class = places.get(f.class).copied().unwrap_or(0);
            // A name whose number another holds, that is about to be forgotten, is known once that is.
            let Ok(id) = self.functions.intern(&f.name) else {
                continue;
            };
            self.learned.remove(&FunctionId(id));
            self.specs.insert(FunctionId(id), f.clone());
        }
        for f in before
            .iter()
            .filter(|f| !config.functions.iter().any(|g| g.name == f.name))
        {
            let id = FunctionId(crate::names::name_hash(&f.name));
            self.specs.remove(&id);
            self.learned.insert(id, self.now);
        }
        (self.config, self.places, self.class_names, self.conflicting) =
            (config, places, names, conflicting);
    }

    /// Whether a call is refused because front ends may not agree on it; with the advice to its client.
    pub(super) fn contests(&self, call: &Call, class: usize) -> Option<Span> {
        let c = &self.conflicting;
        let class = self.class_names.get(class);
        let tenant = self.config.tenants.get(call.tenant);
        let named = class.is_some_and(|n| c.classes.contains(n))
            || tenant.is_some_and(|n| c.tenants.contains(n))
            || c.functions.contains(&call.function)
            || c.unknown_names && call.unknown_names;
        (c.all || named).then(|| c.retry_after.min(self.config.settings.max_stay_away))
    }
}
