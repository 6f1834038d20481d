//! Validates the JSON settings.

use crate::error::SettingsError;
use crate::schema::{Class, InstanceSettings};

/// The greatest number that any setting accepts.
const MAX_NUMBER: f64 = 1e9;

/// Checks all values of the settings and returns the first invalid one.
pub fn validate(settings: &InstanceSettings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    for index in 0..settings.classes.len() {
        validate_class(&settings.classes, index)?;
    }
    validate_counts(settings)?;
    validate_numbers(settings)
}

fn at_least(key: &str, value: f64, least: f64) -> Result<(), SettingsError> {
    if (least..=MAX_NUMBER).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        key: key.to_string(),
        value,
        least,
        most: MAX_NUMBER,
    })
}

fn positive(key: &str, value: f64) -> Result<(), SettingsError> {
    if value > 0.0 && value <= MAX_NUMBER {
        return Ok(());
    }
    Err(SettingsError::NotPositive {
        key: key.to_string(),
        value,
        most: MAX_NUMBER,
    })
}

fn validate_class(classes: &[Class], index: usize) -> Result<(), SettingsError> {
    let class = &classes[index];
    let key = |name: &str| format!("classes[{index}].{name}");
    let is_taken = classes[..index]
        .iter()
        .any(|before| before.name == class.name);
    if class.name.is_empty() || is_taken {
        return Err(SettingsError::DuplicateName {
            key: key("name"),
            name: class.name.clone(),
        });
    }
    positive(&key("aim_s"), class.aim_s)?;
    positive(&key("deadline_s"), class.deadline_s)?;
    at_least(&key("repeat_window_s"), class.repeat_window_s, 0.0)?;
    at_least(&key("aim_stretch"), class.aim_stretch, 0.0)?;
    if !["", "all", "zone", "cell"].contains(&class.group.as_str()) {
        return Err(SettingsError::UnknownGroup {
            key: key("group"),
            group: class.group.clone(),
        });
    }
    Ok(())
}

fn validate_counts(settings: &InstanceSettings) -> Result<(), SettingsError> {
    let limits = &settings.policy_limits;
    let max_attempts = limits.max_attempts.map(|count| count as usize);
    let counts = [
        ("siblings", Some(settings.siblings)),
        ("policy_limits.max_attempts", max_attempts),
        ("policy_limits.multiplex", limits.multiplex),
        ("policy_limits.most_held", limits.most_held),
    ];
    match counts.iter().find(|(_, count)| *count == Some(0)) {
        Some((key, _)) => Err(SettingsError::ZeroCount { key }),
        None => Ok(()),
    }
}

fn validate_numbers(settings: &InstanceSettings) -> Result<(), SettingsError> {
    let limits = &settings.policy_limits;
    let rules = &settings.rules;
    let specifics = &settings.specifics;
    let numbers = [
        ("policy_limits.connect_timeout_s", limits.connect_timeout_s),
        ("policy_limits.keepalive_s", limits.keepalive_s),
        ("policy_limits.max_retry_after_s", limits.max_retry_after_s),
        ("rules.answer_slack_s", rules.answer_slack_s),
        ("rules.ask_within_s", rules.ask_within_s),
        ("rules.cold_from", rules.cold_from),
        ("rules.drain_grace_s", rules.drain_grace_s),
        ("rules.fall_multiple", rules.fall_multiple),
        ("rules.fall_s", rules.fall_s),
        ("rules.warm_up_s", rules.warm_up_s),
        ("specifics.idle_life_s", specifics.idle_life_s),
        ("specifics.load_free", specifics.load_free),
        ("specifics.load_part", specifics.load_part),
        ("specifics.load_period_s", specifics.load_period_s),
        ("specifics.load_wait_s", specifics.load_wait_s),
        ("tick_s", settings.tick_s),
    ];
    numbers
        .iter()
        .try_for_each(|(key, value)| at_least(key, *value, 0.0))
}
