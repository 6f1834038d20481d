//! The settings as the program's own types.

use std::net::SocketAddr;
use tansy_dispatch::DispatchConfig;

/// The settings of the gateway around the dispatcher.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Address of the gRPC port.
    pub listen: SocketAddr,
    /// Address of the HTTP/1.1 side port.
    pub http: SocketAddr,
    /// Time for open calls at a shutdown, microseconds.
    pub drain_timeout: i64,
    /// Connections of clients at once.
    pub max_connections: usize,
    /// Streams of one connection.
    pub max_streams: u32,
    /// Bytes of one message.
    pub max_message_bytes: usize,
    /// Bytes of one request's headers.
    pub max_header_bytes: u32,
    /// Bytes unread for one of a client's streams.
    pub stream_window: u32,
    /// Bytes unread for one of a worker's streams.
    pub worker_window: u32,
    /// Time to send a connection's preface, microseconds.
    pub preface_timeout: i64,
    /// The metadata key of a call's class.
    pub class_key: String,
    /// The metadata key of its tenant.
    pub tenant_key: String,
    /// The metadata key of its work.
    pub work_key: String,
}

/// A worker as the settings or the file of workers name it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredWorker {
    /// What the dispatcher knows of it.
    pub record: tansy_dispatch::WorkerRecord,
    /// Its address.
    pub address: SocketAddr,
    /// Larger for a later process of the same worker.
    pub incarnation: u64,
}

/// A voter: a front end that keeps the agreed log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Its name.
    pub name: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// The fleet that a front end is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Its name.
    pub name: String,
    /// The front end's name in it.
    pub node_name: String,
    /// Where its peers reach it.
    pub listen: SocketAddr,
    /// The voters.
    pub voters: Vec<Voter>,
    /// The file of the agreed log; absent: it keeps none.
    pub state_file: Option<std::path::PathBuf>,
    /// The longest time for which two front ends may contradict each other, microseconds.
    pub max_divergence: i64,
    /// How long a front end that is cut off goes on with strict fields (its session), microseconds; changes of them wait for it.
    pub session: i64,
    /// Bound on the error of any clock's rate, parts in a million.
    pub clock_drift_ppm: i64,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Of the dispatcher and its router.
    pub dispatch: DispatchConfig,
    /// Of the gateway around it.
    pub gateway: GatewaySettings,
    /// Workers that stand in the settings themselves.
    pub workers: Vec<ConfiguredWorker>,
    /// The fleet, if it is in one.
    pub fleet: Option<FleetSettings>,
}

/// A function that is agreed on by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionSettings {
    /// Its class, by name.
    pub class: String,
    /// Calls that one instance serves at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, microseconds, if known.
    pub load_time: Option<i64>,
    /// The versions that clients are shown.
    pub versions: Vec<String>,
}
