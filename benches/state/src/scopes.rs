//! Settings scopes, one per function: the catalog at a voter, a front end's subscriptions, and the leader's subscription
//! table.

mod catalog;
mod subscription_table;
mod subscriptions;

pub(crate) use catalog::{catalog, catalog_file};
pub(crate) use subscription_table::subscription_table;
pub(crate) use subscriptions::scope_subscriptions;

use crate::inputs;
use tansy_agreement::compatibility::Fields;

/// Maximum number of changes requested within one minute.
const BURST: usize = 500;

/// The fields of a function's scope: the four that [`inputs::version_fields`] has for each function.
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
