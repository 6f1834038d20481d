//! Serving limits of a front end: connections, requests per connection and timeouts.

use std::time::Duration;
use tansy_platform::RequestSchema;

/// Serving limits derived from the configuration.
#[derive(Clone, Debug)]
pub struct ServingLimits {
    /// Validates requests: known classes and the bounds of their parameters.
    pub request_schema: RequestSchema,
    /// Whether workers report the number of calls that ran concurrently with an answered one.
    pub reports_concurrency: bool,
    /// Maximum number of open requests on one connection to a worker.
    pub streams_per_connection: usize,
    /// Time limit for establishing a connection, and for the rest of an answer that has started to arrive.
    pub connect_timeout: Duration,
    /// Workers close connections that have been idle for this long.
    pub idle_timeout: Duration,
    /// Maximum number of client connections.
    pub max_client_connections: usize,
    /// Maximum number of connections to workers.
    pub max_worker_connections: usize,
    /// Of these, the maximum number for load requests and probes.
    pub max_control_connections: usize,
}

/// Descriptors reserved for other uses: the event loop, the listener, logs, the coordinator poll, reloads of the
/// configuration, and accepted connections that await the close of an evicted one.
const RESERVED_DESCRIPTORS: usize = 40;

impl ServingLimits {
    /// Derives the limits from the configuration and the process's descriptor limit. Two thirds of the unreserved
    /// descriptors go to clients, one third to workers.
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
            max_control_connections: (available / 6).max(1),
        }
    }

    /// Connections that have been idle for longer are not reused: the worker may be closing them.
    pub fn max_reuse_idle(&self) -> Duration {
        self.idle_timeout * 3 / 4
    }
}
