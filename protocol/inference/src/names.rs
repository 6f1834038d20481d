//! Names on the wire: method paths, trailer keys and parameter names.

/// Path prefix of the methods of the service.
pub const SERVICE_PREFIX: &str = "/inference.GRPCInferenceService/";

/// Trailer: the cache status of the function's instance: `warm`, `began-load`, `awaited-load` or `load-failed`.
pub const CACHE_STATUS: &str = "tansy-instance";
/// Trailer: the number of calls of the same function at the worker when this call arrived, in decimal.
pub const CONCURRENT_CALLS: &str = "tansy-crowd";
/// Trailer: the worker guarantees that the call did not run and will not run: `not-loaded` or `turned-away`.
pub const NEVER_RAN: &str = "tansy-never-ran";
/// Trailer of a response to `RepositoryModelLoad`: the number of loaded instances, in decimal.
pub const INSTANCE_COUNT: &str = "tansy-instances";
/// Trailer: a load report, `xds.data.orca.v3.OrcaLoadReport`, in base64 like every `-bin` value.
pub const LOAD_REPORT: &str = "endpoint-load-metrics-bin";
/// Trailer of a refusal: milliseconds to wait before a retry; a negative value forbids retries (gRPC proposal A6).
pub const RETRY_PUSHBACK: &str = "grpc-retry-pushback-ms";

/// Response parameter: marks the last message of a streamed response, a bool.
pub const FINAL_RESPONSE: &str = "triton_final_response";
/// Request parameter: asks for an empty last message, a bool.
pub const EMPTY_FINAL_RESPONSE: &str = "triton_enable_empty_final_response";
/// Response parameter of a refusal on a stream: milliseconds to wait before a retry, an int64.
pub const RETRY_AFTER: &str = "retry_after_ms";
/// Request parameter: the timeout of the call, microseconds.
pub const TIMEOUT: &str = "timeout";
/// Parameter of `RepositoryModelLoad`: the number of instances to keep; 0 only queries the number of loaded instances.
pub const LOAD_INSTANCES: &str = "instances";
/// Request parameter for stand-in workers: the number of messages in the response.
pub const RESPONSE_MESSAGES: &str = "pieces";
/// Request parameter for stand-in workers: milliseconds of simulated work.
pub const WORK_MS: &str = "work_ms";
