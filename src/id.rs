//! Identifiers of requests, workers and functions.

/// A client request. Unique for the lifetime of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A worker. It has the same identifier at every front end and keeps it when its process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WorkerId(pub u64);

/// A function that is loaded on demand. It has the same identifier at every front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FunctionId(pub u64);
