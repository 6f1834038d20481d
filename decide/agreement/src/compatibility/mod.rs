//! How a change of a settings field may take effect while members act on two versions of it.
//!
//! A [`Schema`] assigns each field its [`Compatibility`]. [`joint_rules`], [`rules_without_lease`] and
//! [`rules_after_expiry`] derive from it the rules that a front end acts on.

mod rules;
mod schema;
mod value;

pub use rules::{
    changed_fields, contradictions, joint_rules, rules_after_expiry, rules_without_lease,
    EffectiveRules, FieldChange,
};
pub use schema::{
    AffectedCalls, CallAttributes, Compatibility, ExpiredLeasePolicy, Restrictiveness, Schema,
};
pub use value::{escape_name, quote, unescape_name, Value};

use std::collections::BTreeMap;

/// Fields of the settings by their path, such as `classes.chat.window`. Names within a path are escaped by
/// [`escape_name`].
pub type Fields = BTreeMap<String, Value>;
