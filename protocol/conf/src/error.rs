//! The errors of validating settings.

/// An invalid value: its key, the value, and what is allowed instead.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The settings define no class.
    #[error("classes: []; want one class at least")]
    NoClasses,
    /// A class without a name, or with the name of an earlier class.
    #[error("{key}: {name:?}; want a name of its own")]
    DuplicateName {
        /// The key.
        key: String,
        /// The name.
        name: String,
    },
    /// A number outside its range.
    #[error("{key}: {value}; want a number from {least} to {most}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The number.
        value: f64,
        /// The least allowed value.
        least: f64,
        /// The greatest allowed value.
        most: f64,
    },
    /// A number that is not positive, or too large.
    #[error("{key}: {value}; want a number above 0, up to {most}")]
    NotPositive {
        /// The key.
        key: String,
        /// The number.
        value: f64,
        /// The greatest allowed value.
        most: f64,
    },
    /// A count that must not be zero.
    #[error("{key}: 0; want 1 at least")]
    ZeroCount {
        /// The key.
        key: &'static str,
    },
    /// An unknown group.
    #[error("{key}: {group:?}; want all, zone or cell")]
    UnknownGroup {
        /// The key.
        key: String,
        /// The group.
        group: String,
    },
    /// An unknown effect.
    #[error(
        "class {class:?}: effect: {effect:?}; want read_like, idempotency_key or non_idempotent"
    )]
    UnknownEffect {
        /// The class's name.
        class: String,
        /// The effect.
        effect: String,
    },
}
