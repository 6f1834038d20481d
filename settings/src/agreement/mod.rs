//! The compatibility of each field of the schema between front ends of a fleet, and a text's fields in the form that agreement
//! works on.
//!
//! `tests/agreement.rs` walks the schema and checks that every field of it is listed here.
//!
//! - [`compatibility_schema`]: how each field may differ. [`parse_fields`], [`parse_version`]: the fields of a text and of its version.
//! - [`effective_settings`]: the settings that a front end acts on. [`to_text`]: fields as the text of settings.

mod compatibility;
mod effective;
mod flatten;
mod text;
mod version;

pub use compatibility::compatibility_schema;
pub use effective::{effective_settings, read_function, validate, with_defaults};
pub use text::{field_label, to_text};
pub use version::{parse_fields, parse_functions, parse_version, unknown_fields};

/// Whether a field is each front end's own: versions do not contain it, and no change of it is agreed on.
pub fn is_own_field(path: &str) -> bool {
    let front = path.strip_prefix("front.");
    let front_fields = ["listen", "http", "me", "zone", "seed", "tick"];
    path == "workers"
        || path == "zones"
        || path.starts_with("fleet.")
        || front.is_some_and(|field| front_fields.contains(&field))
}

/// Whether a front end applies a change of this field only when it starts: sizes of what it creates then.
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
