//! The bounds that a front end serves by.

use std::time::Duration;
use tansy_platform::Shapes;

/// Bounds that the configuration gives.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Classes and bounds of requests.
    pub shapes: Shapes,
    /// Answers tell of other calls.
    pub crowd: bool,
    /// Requests on one connection of a worker.
    pub streams: usize,
    /// A connection not made by then has failed.
    pub connect_within: Duration,
    /// A worker closes a connection that was idle for so long.
    pub idle: Duration,
    /// Connections of clients at once.
    pub clients: usize,
    /// Connections to workers at once.
    pub workers: usize,
}

/// Descriptors that are neither clients' nor workers': the loop's own, the listener, logs, the poll, the
/// configuration when it is read again, and connections that are accepted before those they replace are closed.
const RESERVED: usize = 40;

impl Setup {
    /// From the configuration and the descriptors that this process may have; those beyond the reserved go to clients and
    /// workers, two to one.
    pub fn new(config: &tansy_platform::Config, descriptors: usize) -> Setup {
        let conf = &config.settings;
        let span = |s: f64, least: f64| Duration::from_secs_f64(s.clamp(least, 3600.0));
        let free = config
            .limits
            .sockets
            .min(descriptors)
            .saturating_sub(RESERVED)
            .max(16);
        Setup {
            shapes: Shapes::new(conf),
            crowd: conf.specifics.tells_crowd,
            streams: conf.policy_limits.multiplex.unwrap_or(1).max(1),
            connect_within: span(conf.policy_limits.connect_timeout_s, 0.02),
            idle: span(conf.policy_limits.keepalive_s, 0.5),
            clients: free * 2 / 3,
            workers: free / 3,
        }
    }
}
