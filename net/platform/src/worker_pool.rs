//! The connections to one worker.

use crate::limits::ServingLimits;
use crate::worker_connection::{ConnectionRole, WorkerConnection};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tansy_dispatch::{AttemptOutcome, ResponseStage};

/// The connections to one worker.
pub struct WorkerPool {
    worker: String,
    address: SocketAddr,
    connections: RefCell<Vec<Rc<WorkerConnection>>>,
}

impl WorkerPool {
    /// Without a connection yet.
    pub fn new(worker: &str, address: SocketAddr) -> Rc<WorkerPool> {
        Rc::new(WorkerPool {
            worker: worker.to_string(),
            address,
            connections: RefCell::new(Vec::new()),
        })
    }

    /// Where the worker is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A connection that takes one more request of this role, and that the caller can use. Connections that have ended
    /// are dropped.
    pub fn find(
        &self,
        role: ConnectionRole,
        limits: &ServingLimits,
        is_usable: impl Fn(&WorkerConnection) -> bool,
    ) -> Option<Rc<WorkerConnection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.has_ended());
        let reuse_within = limits.reuse_within();
        let connection = connections.iter().find(|connection| {
            connection.accepts(role, limits.streams_per_connection, reuse_within)
                && is_usable(connection)
        });
        connection.cloned()
    }

    /// Adds a connection, which is still to be established.
    pub fn add(&self, serial: u64, role: ConnectionRole) -> Rc<WorkerConnection> {
        let connection = Rc::new(WorkerConnection::new(serial, &self.worker, role));
        self.connections.borrow_mut().push(connection.clone());
        connection
    }

    /// Ends all connections at once.
    pub fn abort_all(&self) {
        self.connections.borrow().iter().for_each(|connection| {
            connection.abort(AttemptOutcome::ConnectionCut {
                stage: ResponseStage::Nothing,
            })
        });
    }
    /// The worker has left: its connections close once nothing is open on them.
    pub fn retire(&self) {
        let connections = self.connections.borrow();
        connections
            .iter()
            .for_each(|connection| connection.retire());
    }
    /// Closes an idle connection; false: there is none.
    pub fn close_idle_connection(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.iter().find(|connection| connection.is_idle());
        idle.map(|connection| connection.abort(AttemptOutcome::NeverLeft))
            .is_some()
    }
    /// Closes what has been idle for long, and what stopped in the middle of an answer.
    pub fn maintain(&self, limits: &ServingLimits) {
        for connection in self.connections.borrow().iter() {
            if connection.is_stalled(limits.connect_timeout) {
                connection.abort(AttemptOutcome::InvalidResponse {
                    stage: ResponseStage::Headers,
                });
            } else if connection.is_idle_for(limits.reuse_within()) {
                connection.retire();
            }
        }
    }
}
