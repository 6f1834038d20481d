//! Tests that a voter accepts a connection from every front end of a large fleet.

use calloop::EventLoop;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tansy_agreement::compatibility::Schema;
use tansy_agreement::lease::LeaseTiming;
use tansy_membership::{GossipTiming, NodeId};
use tansy_net_fleet::{FleetTransport, TransportConfig};
use tansy_net_sockets::Spawner;

/// More front ends than the number of connections that a node accepts regardless of its descriptors.
const FRONT_ENDS: usize = 2048 + 256;
/// Fails a connection that hangs; the test checks no timing.
const TIMEOUT: Duration = Duration::from_secs(60);
/// The HTTP/2 client preface and an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
/// The type of SETTINGS frames.
const SETTINGS: u8 = 4;

/// Runs a node on this listener until `stopped` is set.
fn serve(listener: TcpListener, stopped: &AtomicBool) {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new().expect("a loop");
    let spawner = Spawner::new(event_loop.handle()).expect("a spawner");
    let address = listener.local_addr().expect("an address");
    let timing = LeaseTiming {
        span: 600_000,
        drift_ppm: 1000,
    };
    let node = tansy_fleet_node::FleetNodeConfig {
        fleet: 1,
        name: "a".into(),
        node: NodeId::new(1, 1, address),
        voters: vec![(1, address)],
        lease: timing,
        session: timing,
        gossip: GossipTiming::default(),
        schema: Schema::default(),
        seed: 1,
    };
    let config = TransportConfig {
        node,
        fleet: "test".into(),
        voter: None,
        proxies: Default::default(),
        carrier: None,
        validate_version: Rc::new(|_| Ok(())),
        validate_function: Rc::new(|_, _, _| Ok(())),
        read_counters: Rc::new(Default::default),
    };
    let _transport =
        FleetTransport::start(spawner, listener, config, Rc::new(|_, _| None)).expect("a node");
    while !stopped.load(Ordering::Relaxed) {
        event_loop
            .dispatch(Some(Duration::from_millis(20)), &mut ())
            .expect("the loop runs");
    }
}

/// Opens a connection as a front end does, and waits for the node's SETTINGS frame.
fn connect(to: SocketAddr) -> Result<TcpStream, std::io::Error> {
    let mut socket = TcpStream::connect(to)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.write_all(PREFACE)?;
    let mut head = [0; 9];
    socket.read_exact(&mut head)?;
    assert_eq!(head[3], SETTINGS, "{head:?}");
    Ok(socket)
}

#[test]
fn a_voter_accepts_connections_of_more_than_two_thousand_front_ends() {
    // Both ends of each connection are in this process, and a node uses up to half of its descriptors.
    let limit = getrlimit(Resource::Nofile);
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: limit.maximum,
            ..limit
        },
    )
    .expect("the limit is raised");
    let least = 2 * FRONT_ENDS as u64 + 100;
    assert!(
        limit.maximum.is_none_or(|n| n >= least),
        "want {least} descriptors, {limit:?} are allowed"
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let stopped = Arc::new(AtomicBool::new(false));
    let server_stopped = stopped.clone();
    let server = std::thread::spawn(move || serve(listener, &server_stopped));
    let mut connections = Vec::new();
    for number in 0..FRONT_ENDS {
        connections.push(
            connect(address)
                .unwrap_or_else(|error| panic!("front end {number} of {FRONT_ENDS}: {error}")),
        );
    }
    stopped.store(true, Ordering::Relaxed);
    server.join().expect("the server ends");
}
