//! Initial states of a manually run front end that several tests share.

use super::client::{call, Client};
use super::configuration::configuration_at;
use super::manual::{ManualCoordinator, ManualFrontEnd, ManualWorker};
use super::until;
use super::worker::WorkerCommand;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// A front end with one worker and a coordinator.
pub struct ManualSetup {
    pub front_end: ManualFrontEnd,
    pub coordinator: ManualCoordinator,
    pub worker: ManualWorker,
}

impl ManualSetup {
    /// Starts all three, without running the front end's event loop.
    pub fn start() -> ManualSetup {
        let (coordinator, worker) = (ManualCoordinator::start(), ManualWorker::start());
        let configuration = PlatformConfiguration {
            coordinator: coordinator.address,
            ..configuration_at(&[worker.address])
        };
        ManualSetup {
            front_end: ManualFrontEnd::start(&configuration),
            coordinator,
            worker,
        }
    }
}

/// A worker whose two lanes are occupied by calls 1 and 2, while call 3 waits in the front end.
pub struct SaturatedWorker {
    pub front_end: ManualFrontEnd,
    pub worker: ManualWorker,
    /// The commands of calls 1 and 2 that the worker received.
    pub open_calls: [WorkerCommand; 2],
    /// The clients of calls 1 and 2.
    pub open_clients: Vec<Client>,
    /// The client of call 3.
    pub held_client: Client,
}

impl SaturatedWorker {
    /// Creates the state. Without a coordinator the endpoint list does not change.
    pub fn start(coordinator: Option<SocketAddr>) -> SaturatedWorker {
        let mut worker = ManualWorker::start();
        let mut configuration = configuration_at(&[worker.address]);
        configuration.coordinator = coordinator.unwrap_or(configuration.coordinator);
        let mut front_end = ManualFrontEnd::start(&configuration);
        let open_clients = vec![front_end.send(&call(1)), front_end.send(&call(2))];
        let open_calls = [
            front_end.next_command(&mut worker, "fire"),
            front_end.next_command(&mut worker, "fire"),
        ];
        let held_client = front_end.send(&call(3));
        front_end.until("the third call is accepted", |platform| {
            (platform.driver().table_sizes()[1] == 3).then_some(())
        });
        assert_eq!(worker.calls(3), 0, "the third call is not sent");
        SaturatedWorker {
            front_end,
            worker,
            open_calls,
            open_clients,
            held_client,
        }
    }
}

/// A call whose attempt waits for a connection that the worker's kernel does not accept yet.
pub struct LateConnection {
    pub front_end: ManualFrontEnd,
    pub worker: ManualWorker,
    pub client: Client,
    /// A connection that fills the listener's queue.
    pub filler: TcpStream,
}

impl LateConnection {
    /// Creates the state. Without a coordinator the endpoint list does not change.
    pub fn start(coordinator: Option<SocketAddr>) -> LateConnection {
        let mut worker = ManualWorker::on_listener(listener_with_queue_of_one());
        worker.loads_immediately = false;
        let mut configuration = PlatformConfiguration {
            connect_timeout_s: 5.0,
            ..configuration_at(&[worker.address])
        };
        configuration.coordinator = coordinator.unwrap_or(configuration.coordinator);
        let mut front_end = ManualFrontEnd::start(&configuration);
        let client = front_end.send(&call(1).with_timeout_ms(2000));
        let load = front_end.next_command(&mut worker, "provision");
        let filler = TcpStream::connect(worker.address).unwrap();
        worker.answer(&load, "200", "replicas=1");
        front_end.until("the attempt waits for a connection", |platform| {
            (platform.driver().worker_connections() == 2).then_some(())
        });
        front_end.run_for(Duration::from_millis(20));
        LateConnection {
            front_end,
            worker,
            client,
            filler,
        }
    }
}

/// A listener whose queue holds one connection. While the queue is full, the kernel does not answer further connection attempts.
/// The client's kernel retries them after one second.
pub fn listener_with_queue_of_one() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    socket.into()
}

/// Accepts connections until the late one has been established, without running the event loop.
pub fn accept_late_connection(worker: &mut ManualWorker, connections: usize) {
    until("the late connection is established", || {
        worker.accept();
        worker.connections() == connections
    });
}

/// Runs both functions, `first` before `second` if `in_given_order` is set, and in reverse order otherwise.
pub fn in_order(in_given_order: bool, first: impl FnOnce(), second: impl FnOnce()) {
    if in_given_order {
        first();
        second();
    } else {
        second();
        first();
    }
}
