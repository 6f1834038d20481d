//! Starts a node on a listener: its storage, its server and its timers.

use crate::config::{ApplyState, StartError, TransportConfig};
use crate::service;
use crate::transport::FleetTransport;
use crate::voter_storage::{PersistResult, VoterStorage};
use calloop::channel::{Channel, Event};
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::MAX_MEMBERS;
use tansy_consensus::PersistentState;
use tansy_fleet_node::RecoveredState;
use tansy_net_grpc::server::{Limits, Server};
use tansy_net_sockets::interrupt::IgnoreInterrupts;
use tansy_net_sockets::socket::descriptor_limit;
use tansy_net_sockets::Spawner;

/// Connections of peers and operators that are accepted regardless of the descriptor limit.
const MIN_CONNECTIONS: usize = 2048;

/// Limits of connections from peers and operators.
///
/// Every front end connects to the leader, and the leader to every front end. A node therefore accepts as many connections as
/// the roster may have members, up to half of its descriptors. A front end whose connection is not accepted gets no session
/// and never becomes active.
fn limits() -> Limits {
    Limits {
        connections: (descriptor_limit() / 2).clamp(MIN_CONNECTIONS, MAX_MEMBERS),
        streams: 256,
        header_bytes: 8 * 1024,
        stream_window: 64 * 1024,
        message_bytes: tansy_fleet_wire::MAX_MESSAGE_BYTES,
        preface_timeout: Duration::from_secs(5),
    }
}

impl FleetTransport {
    /// Starts a node on a listener. Peers must be able to reach the listener's address.
    pub fn start(
        spawner: Spawner,
        listener: TcpListener,
        mut config: TransportConfig,
        apply_state: ApplyState,
    ) -> Result<Rc<FleetTransport>, StartError> {
        config.node.node.address = listener.local_addr()?;
        let fleet = config.node.fleet;
        let voter = config.voter.take();
        let path = voter.as_ref().map(|(path, _)| path.clone());
        let voter = voter.map(open_voter).transpose()?;
        let (storage, recovered, results) = match voter {
            Some(voter) => (
                Some(voter.storage),
                Some(voter.recovered),
                Some(voter.results),
            ),
            None => (None, None, None),
        };
        let transport =
            FleetTransport::new(spawner.clone(), config, storage, recovered, apply_state);
        let transport = Rc::new(transport.map_err(|source| StartError::Corrupt {
            path: path.unwrap_or_default(),
            source,
        })?);
        if let Some(results) = results {
            watch_storage(&spawner, results, transport.clone())?;
        }
        let handler = service::handler(transport.clone(), fleet);
        let server = Server::start(spawner.clone(), listener, limits(), handler)?;
        transport.set_server(server);
        spawner.spawn(transport.clone().run_timers());
        Ok(transport)
    }
}

/// An opened voter storage, the state recovered from it, and the channel of results.
struct OpenVoter {
    storage: VoterStorage,
    recovered: RecoveredState,
    results: Channel<PersistResult>,
}

fn open_voter((path, initial_fields): (PathBuf, Fields)) -> Result<OpenVoter, StartError> {
    let opened = VoterStorage::open(&path);
    let (storage, recovered, results) =
        opened.map_err(|source| StartError::Storage { path, source })?;
    let persistent = PersistentState {
        snapshot: recovered.snapshot,
        records: recovered.records,
    };
    Ok(OpenVoter {
        storage,
        recovered: RecoveredState {
            persistent,
            initial_fields,
        },
        results,
    })
}

fn watch_storage(
    spawner: &Spawner,
    results: Channel<PersistResult>,
    transport: Rc<FleetTransport>,
) -> Result<(), StartError> {
    let source = IgnoreInterrupts(results);
    let inserted = spawner.handle().insert_source(source, move |event, _, ()| {
        if let Event::Msg(result) = event {
            transport.on_persisted(result);
        }
    });
    inserted.map_err(|error| io::Error::other(error.to_string()))?;
    Ok(())
}
