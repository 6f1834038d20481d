//! Names on the wire: method paths, trailer keys, parameters.

/// Path prefix of the service's methods.
pub const SERVICE_PREFIX: &str = "/inference.GRPCInferenceService/";

/// Trailer: whether the call found an instance of its function loaded: `warm`, `began-load`, `awaited-load` or `load-failed`.
pub const CACHE_STATUS: &str = "tansy-instance";
/// Trailer: calls of the same function at the worker when this one came, a decimal number.
pub const CONCURRENT_CALLS: &str = "tansy-crowd";
/// Trailer: the worker's promise that this call did not run and will not: `not-loaded` or `turned-away`.
pub const NEVER_RAN: &str = "tansy-never-ran";
/// Trailer of an answer to `RepositoryModelLoad`: instances that are loaded, a decimal number.
pub const INSTANCE_COUNT: &str = "tansy-instances";
/// Trailer: a load report, `xds.data.orca.v3.OrcaLoadReport`, base64 as every `-bin` key.
pub const LOAD_REPORT: &str = "endpoint-load-metrics-bin";
/// Trailer of a refusal: milliseconds to wait before another try; negative: do not (gRPC retry design, A6).
pub const RETRY_PUSHBACK: &str = "grpc-retry-pushback-ms";

/// Parameter of the last message of a streamed answer, a bool.
pub const FINAL_RESPONSE: &str = "triton_final_response";
/// Request parameter: an empty last message is wanted, a bool.
pub const EMPTY_FINAL_RESPONSE: &str = "triton_enable_empty_final_response";
/// Parameter of a refusal on a stream: milliseconds to wait before another try, an int64.
pub const RETRY_AFTER: &str = "retry_after_ms";
/// Request parameter: microseconds that the client gives this call.
pub const TIMEOUT: &str = "timeout";
/// Parameter of `RepositoryModelLoad`: instances to keep; 0 only asks how many there are.
pub const LOAD_INSTANCES: &str = "instances";
/// Request parameter understood by stand-in workers: messages of the answer.
pub const RESPONSE_MESSAGES: &str = "pieces";
/// Request parameter understood by stand-in workers: milliseconds of work.
pub const WORK_MS: &str = "work_ms";
