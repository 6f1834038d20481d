//! Bounds and names of a front end that are not the dispatcher's.

use std::net::SocketAddr;
use tansy_dispatch::WorkerRecord;
use tansy_net_grpc::link::Limits as LinkLimits;
use tansy_net_grpc::server::Limits;

/// Metadata keys, and request parameters of the same names, by which a call states what it is.
#[derive(Clone, Debug)]
pub struct MetadataKeys {
    /// The class, by name.
    pub class: String,
    /// The tenant, by name.
    pub tenant: String,
    /// An estimate of the work, milliseconds.
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

/// A worker and where it is.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEndpoint {
    /// Its entry in the list.
    pub record: WorkerRecord,
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds and names of a front end.
#[derive(Clone, Debug, Default)]
pub struct DriverOptions {
    /// Bounds of clients' connections.
    pub clients: Limits,
    /// Bounds of workers' connections.
    pub workers: LinkLimits,
    /// By which keys calls state what they are.
    pub keys: MetadataKeys,
}
