//! Settings of functions that are agreed on one by one, each a scope: the catalog at a voter, a front end's subscriptions, and
//! the leader's table of them.

mod catalog;
mod subscription_table;
mod subscriptions;

pub(crate) use catalog::{catalog, catalog_file};
pub(crate) use subscription_table::subscription_table;
pub(crate) use subscriptions::scope_subscriptions;

use crate::inputs;
use tansy_agreement::compatibility::Fields;

/// Changes that are requested within one minute at the most.
const BURST: usize = 500;

/// What a scope holds of a function: the four fields of [`inputs::version_fields`].
fn scope_fields(lanes: i64) -> Fields {
    let version = inputs::version_fields(&["one".to_string()]);
    let changed = inputs::with_lanes(&version, "one", lanes);
    changed
        .iter()
        .filter_map(|(path, value)| {
            let field = path.strip_prefix("functions.one.")?;
            Some((field.to_string(), value.clone()))
        })
        .collect()
}
