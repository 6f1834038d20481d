//! The schema-dependent part of the agreement on settings between the front ends of a fleet.
//!
//! - [`compatibility_schema`]: how each field may differ between front ends. `tests/agreement.rs` checks that every field of
//!   the schema has a rule.
//! - [`parse_fields`], [`parse_version`]: the fields of a text, and those that are part of a settings version.
//! - [`effective_settings`]: the settings that a front end applies.
//! - [`to_text`]: converts fields to the text of settings.

mod compatibility;
mod effective;
mod flatten;
mod text;
mod version;

pub use compatibility::compatibility_schema;
pub use effective::{effective_settings, read_function, validate, with_defaults};
pub use text::{field_label, to_text};
pub use version::{parse_fields, parse_functions, parse_version, unknown_fields};

/// Whether each front end sets a field for itself. Versions do not contain such a field, and changes of it are not agreed on.
pub fn is_own_field(path: &str) -> bool {
    let front = path.strip_prefix("front.");
    let front_fields = ["listen", "http", "me", "zone", "seed", "tick"];
    path == "workers"
        || path == "zones"
        || path.starts_with("fleet.")
        || front.is_some_and(|field| front_fields.contains(&field))
}

/// Whether a front end applies a change of a field only when it restarts. These fields configure what is created at the start.
pub fn applies_at_start(path: &str) -> bool {
    let front_fields = [
        "connections",
        "streams",
        "message",
        "headers",
        "stream_window",
        "preface",
        "drain",
    ];
    path == "worker.stream_window"
        || path
            .strip_prefix("front.")
            .is_some_and(|field| front_fields.contains(&field))
}
