//! Limits of connections, and the metadata keys of calls.

use std::net::SocketAddr;
use tansy_dispatch::WorkerRecord;
use tansy_net_grpc::link::Limits as LinkLimits;
use tansy_net_grpc::server::Limits;

/// The metadata keys, and request parameters of the same names, that state a call's class, tenant and work estimate.
#[derive(Clone, Debug)]
pub struct MetadataKeys {
    /// The key whose value is the name of the call's class.
    pub class: String,
    /// The key whose value is the name of the call's tenant.
    pub tenant: String,
    /// The key whose value is the estimated work, milliseconds.
    pub work_ms: String,
}

impl Default for MetadataKeys {
    fn default() -> MetadataKeys {
        MetadataKeys {
            class: "tansy-class".into(),
            tenant: "tansy-tenant".into(),
            work_ms: "tansy-work-ms".into(),
        }
    }
}

/// A worker and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEndpoint {
    /// The worker's entry in the worker list.
    pub record: WorkerRecord,
    /// The address that attempts and control requests connect to.
    pub address: SocketAddr,
}

/// Limits of a front end's connections, and the metadata keys of its calls.
#[derive(Clone, Debug, Default)]
pub struct DriverOptions {
    /// Limits of client connections.
    pub clients: Limits,
    /// Limits of worker connections.
    pub workers: LinkLimits,
    /// The metadata keys at start; [`Driver::apply_settings`](crate::Driver::apply_settings) replaces them.
    pub keys: MetadataKeys,
}
