//! The connections to one worker.

use crate::connection::{drive, Carries, Connection};
use crate::hub::Hub;
use crate::setup::Setup;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansy_dispatch::{AttemptOutcome, ResponseStage};
use tansy_platform::call::RequestId;

/// The connections to one worker.
pub struct Link {
    worker: String,
    address: SocketAddr,
    connections: RefCell<Vec<Rc<Connection>>>,
}

impl Link {
    /// Without a connection yet.
    pub fn new(worker: &str, address: SocketAddr) -> Rc<Link> {
        Rc::new(Link {
            worker: worker.to_string(),
            address,
            connections: RefCell::new(Vec::new()),
        })
    }

    /// A connection for one more attempt at a call, none of those it used before; made if there is none. None: no room.
    pub fn pick_for(
        self: &Rc<Self>,
        hub: &Rc<Hub>,
        id: &RequestId,
        used: &[u64],
    ) -> Option<Rc<Connection>> {
        self.pick(hub, Carries::Calls, |c| {
            !used.contains(&c.serial()) && !c.gave_up(id)
        })
    }
    /// A connection for one more order; made if there is none. None: no room.
    pub fn pick_for_order(self: &Rc<Self>, hub: &Rc<Hub>) -> Option<Rc<Connection>> {
        self.pick(hub, Carries::Orders, |_| true)
    }

    fn pick(
        self: &Rc<Self>,
        hub: &Rc<Hub>,
        carries: Carries,
        fits: impl Fn(&Connection) -> bool,
    ) -> Option<Rc<Connection>> {
        self.connections.borrow_mut().retain(|c| !c.ended());
        let fresh_for = fresh_for(&hub.setup);
        let takes = |c: &&Rc<Connection>| c.takes(carries, hub.setup.streams, fresh_for) && fits(c);
        if let Some(connection) = self.connections.borrow().iter().find(takes) {
            return Some(connection.clone());
        }
        if hub.worker_connections.get() >= hub.setup.workers && !hub.spare() {
            return None;
        }
        let connection = Rc::new(Connection::new(hub.next_serial(), &self.worker, carries));
        self.connections.borrow_mut().push(connection.clone());
        hub.worker_connections.set(hub.worker_connections.get() + 1);
        hub.spawner
            .spawn(drive(hub.clone(), self.address, connection.clone()));
        Some(connection)
    }

    /// Ends all connections at once.
    pub fn drop_now(&self) {
        self.connections.borrow().iter().for_each(|c| {
            c.abort(AttemptOutcome::ConnectionCut {
                stage: ResponseStage::Nothing,
            })
        });
    }
    /// The worker has left: its connections close once nothing is open on them.
    pub fn retire(&self) {
        self.connections.borrow().iter().for_each(|c| c.retire());
    }
    /// Closes an idle connection.
    pub fn spare(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.iter().find(|c| c.idle());
        idle.map(|c| c.abort(AttemptOutcome::NeverLeft)).is_some()
    }
    /// Closes what has been idle for long, and what stopped in the middle of an answer.
    pub fn look_over(&self, setup: &Setup) {
        for connection in self.connections.borrow().iter() {
            if connection.stopped_short(setup.connect_within) {
                connection.abort(AttemptOutcome::InvalidResponse {
                    stage: ResponseStage::Headers,
                });
            } else if connection.idle_for(fresh_for(setup)) {
                connection.retire();
            }
        }
    }
}

/// A connection that was idle for most of the time after which the worker closes it may be closing now.
fn fresh_for(setup: &Setup) -> Duration {
    setup.idle * 3 / 4
}
