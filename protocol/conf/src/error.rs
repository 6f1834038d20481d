//! Settings that make no sense.

/// A value that makes no sense: its key, the value, and what would be right.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are no classes.
    #[error("classes: []; want one class at least")]
    NoClasses,
    /// A class without a name, or with another's.
    #[error("{key}: {name:?}; want a name of its own")]
    DuplicateName {
        /// The key.
        key: String,
        /// The name.
        name: String,
    },
    /// A number below its least value, or beyond any that could be meant.
    #[error("{key}: {value}; want a number from {least} to {most}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The number.
        value: f64,
        /// The least that is allowed.
        least: f64,
        /// The most that is allowed.
        most: f64,
    },
    /// A number that is not positive, or beyond any that could be meant.
    #[error("{key}: {value}; want a number above 0, up to {most}")]
    NotPositive {
        /// The key.
        key: String,
        /// The number.
        value: f64,
        /// The most that is allowed.
        most: f64,
    },
    /// A count of zero.
    #[error("{key}: 0; want 1 at least")]
    ZeroCount {
        /// The key.
        key: &'static str,
    },
    /// A group that there is not.
    #[error("{key}: {group:?}; want all, zone or cell")]
    UnknownGroup {
        /// The key.
        key: String,
        /// The group.
        group: String,
    },
    /// An effect that there is not.
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
