//! Links to the other front ends, with a limit on the messages in flight to each.

use crate::client::{send_request, RequestError};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansy_agreement::lease::Time;
use tansy_net_grpc::link::{Limits, Link};
use tansy_net_sockets::{clock, Spawner};

/// The most messages in flight to one front end; further ones are dropped, as a network drops them.
const MAX_IN_FLIGHT: usize = 64;
/// Time after which sending a message is abandoned, since the message would be outdated.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unused link is closed, microseconds.
const IDLE_TIMEOUT: Time = 60_000_000;
/// The shortest time between two log lines about a front end that rejects messages, microseconds.
const LOG_INTERVAL: Time = 10_000_000;

/// A link to one front end.
struct PeerLink {
    link: Rc<Link>,
    in_flight: Cell<usize>,
    /// When a rejection was last logged.
    rejection_logged: Cell<Option<Time>>,
    last_used: Cell<Time>,
}

/// The links to other front ends, by the front ends' own addresses.
pub(crate) struct PeerLinks {
    spawner: Spawner,
    /// Addresses to connect to instead of a front end's own address, by that address.
    proxies: HashMap<SocketAddr, SocketAddr>,
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
}

impl PeerLinks {
    pub(crate) fn new(spawner: Spawner, proxies: HashMap<SocketAddr, SocketAddr>) -> PeerLinks {
        PeerLinks {
            spawner,
            proxies,
            links: RefCell::new(HashMap::new()),
        }
    }

    /// Sends a message. Returns false if the message was dropped because too many are in flight.
    pub(crate) fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> bool {
        let peer = self.link(to);
        if peer.in_flight.get() >= MAX_IN_FLIGHT {
            return false;
        }
        peer.in_flight.set(peer.in_flight.get() + 1);
        peer.last_used.set(clock::now());
        let spawner = self.spawner.clone();
        self.spawner.spawn(async move {
            if let Err(error) =
                send_request(&spawner, &peer.link, "Tell", &bytes, MESSAGE_TIMEOUT).await
            {
                peer.log_failure(to, &error);
            }
            peer.in_flight.set(peer.in_flight.get() - 1);
        });
        true
    }

    fn link(&self, to: SocketAddr) -> Rc<PeerLink> {
        let open = || {
            let address = self.proxies.get(&to).copied().unwrap_or(to);
            Rc::new(PeerLink {
                link: Link::new(self.spawner.clone(), address, Limits::default()),
                in_flight: Cell::new(0),
                rejection_logged: Cell::new(None),
                last_used: Cell::new(0),
            })
        };
        let mut links = self.links.borrow_mut();
        links.entry(to).or_insert_with(open).clone()
    }

    /// Whether no message is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        let links = self.links.borrow();
        links.values().all(|peer| peer.in_flight.get() == 0)
    }

    /// Closes links that have been unused for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&self) {
        let now = clock::now();
        self.links.borrow_mut().retain(|_, peer| {
            let used = peer.in_flight.get() > 0 || now - peer.last_used.get() < IDLE_TIMEOUT;
            if !used {
                peer.link.retire();
            }
            used
        });
    }

    /// Drops all links immediately, with the messages in flight.
    pub(crate) fn drop_all(&self) {
        let mut links = self.links.borrow_mut();
        links
            .drain()
            .for_each(|(_, peer)| peer.link.drop_connection());
    }
}

impl PeerLink {
    fn log_failure(&self, to: SocketAddr, error: &RequestError) {
        tracing::debug!(%to, %error, "message not delivered");
        let now = clock::now();
        let logged = self.rejection_logged.get();
        let recently = logged.is_some_and(|at| now - at < LOG_INTERVAL);
        if matches!(error, RequestError::Rejected(..)) && !recently {
            self.rejection_logged.set(Some(now));
            tracing::warn!(%to, %error, "peer rejects messages");
        }
    }
}
