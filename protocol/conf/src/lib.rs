//! The settings of an instance, in the one form that the simulator's first message and the platform's configuration
//! share, read into the router's. Nothing is decided here: what is absent takes the wire page's defaults.
//!
//! - [`InstanceSettings`]: the settings as JSON.
//! - [`validate`]: the first value that makes no sense, as a [`SettingsError`].
//! - [`router_settings`]: the router's settings. [`load_report`]: a worker's load report.

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
