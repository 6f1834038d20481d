//! The connections to one worker.

use crate::limits::ServingLimits;
use crate::worker_connection::{ConnectionRole, WorkerConnection};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tansy_dispatch::{AttemptOutcome, ResponseStage};

/// The open connections to one worker.
pub struct WorkerPool {
    worker: String,
    address: SocketAddr,
    connections: RefCell<Vec<Rc<WorkerConnection>>>,
}

impl WorkerPool {
    /// Creates an empty pool.
    pub fn new(worker: &str, address: SocketAddr) -> Rc<WorkerPool> {
        Rc::new(WorkerPool {
            worker: worker.to_string(),
            address,
            connections: RefCell::new(Vec::new()),
        })
    }

    /// The worker's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a connection of this role that accepts another request and satisfies `is_usable`. Removes ended
    /// connections.
    pub fn find(
        &self,
        role: ConnectionRole,
        limits: &ServingLimits,
        is_usable: impl Fn(&WorkerConnection) -> bool,
    ) -> Option<Rc<WorkerConnection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.has_ended());
        let max_reuse_idle = limits.max_reuse_idle();
        let connection = connections.iter().find(|connection| {
            connection.accepts(role, limits.streams_per_connection, max_reuse_idle)
                && is_usable(connection)
        });
        connection.cloned()
    }

    /// Adds a connection that is not established yet.
    pub fn add(&self, serial: u64, role: ConnectionRole) -> Rc<WorkerConnection> {
        let connection = Rc::new(WorkerConnection::new(serial, &self.worker, role));
        self.connections.borrow_mut().push(connection.clone());
        connection
    }

    /// Aborts all connections.
    pub fn abort_all(&self) {
        self.connections.borrow().iter().for_each(|connection| {
            connection.abort(AttemptOutcome::ConnectionCut {
                stage: ResponseStage::Nothing,
            })
        });
    }
    /// Closes each connection once its open requests have ended; used for a worker that has left the list.
    pub fn retire(&self) {
        let connections = self.connections.borrow();
        connections
            .iter()
            .for_each(|connection| connection.retire());
    }
    /// The number of connections of this role that have not ended.
    pub fn count(&self, role: ConnectionRole) -> usize {
        let connections = self.connections.borrow();
        let open = connections
            .iter()
            .filter(|connection| connection.role() == role && !connection.has_ended());
        open.count()
    }
    /// Closes an idle connection of this role. Returns false if there is none.
    pub fn close_idle_connection(&self, role: ConnectionRole) -> bool {
        let connections = self.connections.borrow();
        let idle = connections
            .iter()
            .find(|connection| connection.role() == role && connection.is_idle());
        idle.map(|connection| connection.abort(AttemptOutcome::NeverLeft))
            .is_some()
    }
    /// Retires connections that have been idle for too long, and aborts those that stalled in the middle of an
    /// answer.
    pub fn maintain(&self, limits: &ServingLimits) {
        for connection in self.connections.borrow().iter() {
            if connection.is_stalled(limits.connect_timeout) {
                connection.abort(AttemptOutcome::InvalidResponse {
                    stage: ResponseStage::Headers,
                });
            } else if connection.is_idle_for(limits.max_reuse_idle()) {
                connection.retire();
            }
        }
    }
}
