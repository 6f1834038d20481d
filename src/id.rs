//! Identifiers of requests, workers and functions.

/// A client request. Unique for the life of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A worker: the same number at every front end, and after a restart of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WorkerId(pub u64);

/// A function that is loaded on demand: the same number at every front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FunctionId(pub u64);
