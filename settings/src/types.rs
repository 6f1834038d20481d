//! The settings as Rust types.

use std::net::SocketAddr;
use tansy_dispatch::DispatchConfig;

/// The settings of the gateway around the dispatcher.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Address of the gRPC port.
    pub listen: SocketAddr,
    /// Address of the HTTP/1.1 side port.
    pub http: SocketAddr,
    /// Time to finish open calls at a shutdown, microseconds.
    pub drain_timeout: i64,
    /// Maximum number of client connections.
    pub max_connections: usize,
    /// Maximum number of concurrent streams of a connection.
    pub max_streams: u32,
    /// Maximum size of a message, bytes.
    pub max_message_bytes: usize,
    /// Maximum size of a request's headers, bytes.
    pub max_header_bytes: u32,
    /// HTTP/2 flow-control window of a client's stream, bytes.
    pub stream_window: u32,
    /// HTTP/2 flow-control window of a worker's stream, bytes.
    pub worker_window: u32,
    /// Time within which a client must send the connection preface, microseconds.
    pub preface_timeout: i64,
    /// Metadata key of a call's class.
    pub class_key: String,
    /// Metadata key of a call's tenant.
    pub tenant_key: String,
    /// Metadata key of a call's expected work.
    pub work_key: String,
}

/// A worker as the settings or the worker list file describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredWorker {
    /// The dispatcher's record of the worker.
    pub record: tansy_dispatch::WorkerRecord,
    /// The worker's address.
    pub address: SocketAddr,
    /// Incarnation of the worker, which is larger for a later process under the same name.
    pub incarnation: u64,
}

/// A voter: a front end that stores the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// The voter's name.
    pub name: String,
    /// The address at which peers reach the voter.
    pub address: SocketAddr,
}

/// A front end's settings of its fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// The fleet's name.
    pub name: String,
    /// The front end's name in the fleet.
    pub node_name: String,
    /// The address at which the front end listens for its peers.
    pub listen: SocketAddr,
    /// The voters.
    pub voters: Vec<Voter>,
    /// The file of the replicated log; `None` if the front end does not store the log.
    pub state_file: Option<std::path::PathBuf>,
    /// The longest time for which two front ends may contradict each other, microseconds.
    pub max_divergence: i64,
    /// Duration of a session, microseconds: a disconnected front end keeps using its strict fields for this time, and changes of
    /// strict fields wait for it.
    pub session: i64,
    /// Bound on the rate error of any front end's clock, parts per million.
    pub clock_drift_ppm: i64,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the dispatcher and its router.
    pub dispatch: DispatchConfig,
    /// Settings of the gateway around the dispatcher.
    pub gateway: GatewaySettings,
    /// Workers that the settings list.
    pub workers: Vec<ConfiguredWorker>,
    /// Settings of the fleet, if the front end is a member of one.
    pub fleet: Option<FleetSettings>,
}

/// A function whose settings a fleet agrees on separately from its other settings.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionSettings {
    /// Name of the function's class.
    pub class: String,
    /// Number of calls that one instance serves concurrently.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Typical duration of a load, microseconds, if known.
    pub load_time: Option<i64>,
    /// The versions that are reported to clients.
    pub versions: Vec<String>,
}
