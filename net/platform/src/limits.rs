//! The limits that a front end serves by: connections, streams and time-outs.

use std::time::Duration;
use tansy_platform::RequestSchema;

/// Limits taken from the configuration.
#[derive(Clone, Debug)]
pub struct ServingLimits {
    /// The form of a valid request: classes and their bounds.
    pub request_schema: RequestSchema,
    /// Whether workers report how many other calls ran beside an answered one.
    pub reports_concurrency: bool,
    /// Requests open at once on one connection to a worker.
    pub streams_per_connection: usize,
    /// A connection that is not established by then has failed; an answer that stalls for so long has as well.
    pub connect_timeout: Duration,
    /// A worker closes a connection that was idle for so long.
    pub idle_timeout: Duration,
    /// Connections of clients at once.
    pub max_client_connections: usize,
    /// Connections to workers at once.
    pub max_worker_connections: usize,
}

/// Descriptors that are neither clients' nor workers': the loop's own, the listener, logs, the poll, the
/// configuration when it is read again, and connections that are accepted before those they replace are closed.
const RESERVED_DESCRIPTORS: usize = 40;

impl ServingLimits {
    /// From the configuration and the descriptors that this process may open; those beyond the reserved ones go to
    /// clients and workers, two to one.
    pub fn new(config: &tansy_platform::Config, descriptors: usize) -> ServingLimits {
        let settings = &config.settings;
        let timeout =
            |seconds: f64, least: f64| Duration::from_secs_f64(seconds.clamp(least, 3600.0));
        let available = config
            .limits
            .sockets
            .min(descriptors)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(16);
        ServingLimits {
            request_schema: RequestSchema::new(settings),
            reports_concurrency: settings.specifics.tells_crowd,
            streams_per_connection: settings.policy_limits.multiplex.unwrap_or(1).max(1),
            connect_timeout: timeout(settings.policy_limits.connect_timeout_s, 0.02),
            idle_timeout: timeout(settings.policy_limits.keepalive_s, 0.5),
            max_client_connections: available * 2 / 3,
            max_worker_connections: available / 3,
        }
    }

    /// A connection that was idle for most of the time after which the worker closes it may be closing now: it takes
    /// nothing new after this.
    pub fn reuse_within(&self) -> Duration {
        self.idle_timeout * 3 / 4
    }
}
