//! The settings of a front end, in the JSON form that the simulator's first message and the platform's configuration share,
//! and their conversion to the router's settings. Absent fields take the defaults of that form.
//!
//! - [`InstanceSettings`]: the settings as JSON.
//! - [`validate()`]: reports the first invalid value as a [`SettingsError`].
//! - [`router_settings`]: converts to the router's settings. [`load_report`]: reads a worker's load report.

mod convert;
mod error;
mod schema;
mod validate;

pub use convert::{load_report, micros, router_settings, KEYED_EFFECT};
pub use error::SettingsError;
pub use schema::{
    Class, InstanceSettings, PolicyLimits, Prices, RuleSettings, ServiceSettings, Telemetry, Tenant,
};
pub use validate::validate;
