//! States of a front end under step-by-step control that several tests start from.

use super::client::{call, Client};
use super::configuration::configuration_at;
use super::manual::{ManualCoordinator, ManualFrontEnd, ManualWorker};
use super::until;
use super::worker::WorkerCommand;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// A front end with one worker and a coordinator that answers.
pub struct ManualSetup {
    pub front_end: ManualFrontEnd,
    pub coordinator: ManualCoordinator,
    pub worker: ManualWorker,
}

impl ManualSetup {
    /// Starts them; the front end's loop has not run.
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

/// A worker whose two lanes are taken by calls 1 and 2, and call 3 held behind them.
pub struct SaturatedWorker {
    pub front_end: ManualFrontEnd,
    pub worker: ManualWorker,
    /// Calls 1 and 2 as the worker has them.
    pub open_calls: [WorkerCommand; 2],
    /// Their clients.
    pub open_clients: Vec<Client>,
    /// The client of call 3.
    pub held_client: Client,
}

impl SaturatedWorker {
    /// Brings it about; with none the list stays as it is known.
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
        front_end.until("the third call is taken", |platform| {
            (platform.driver().table_sizes()[1] == 3).then_some(())
        });
        assert_eq!(worker.calls(3), 0, "it is held");
        SaturatedWorker {
            front_end,
            worker,
            open_calls,
            open_clients,
            held_client,
        }
    }
}

/// A call whose attempt waits for a connection that is not answered.
pub struct LateConnection {
    pub front_end: ManualFrontEnd,
    pub worker: ManualWorker,
    pub client: Client,
    /// It takes the place in the listener's queue.
    pub filler: TcpStream,
}

impl LateConnection {
    /// Brings it about; with none the list stays as it is known.
    pub fn start(coordinator: Option<SocketAddr>) -> LateConnection {
        let mut worker = ManualWorker::on_listener(listener_with_room_for_one());
        worker.loads_at_once = false;
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
        front_end.until("the attempt waits", |platform| {
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

/// A listener whose queue holds one connection. Once that is taken the next is not answered until the queue is free, and is
/// then tried again by the kernel a second after the first time.
pub fn listener_with_room_for_one() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    socket.into()
}

/// Accepts until a late connection has come up behind the one that was in its way; the loop does not run.
pub fn accept_late_connection(worker: &mut ManualWorker, connections: usize) {
    until("the late connection has come up", || {
        worker.accept();
        worker.connections() == connections
    });
}

/// Carries both out in the order asked for.
pub fn in_order(first_goes_first: bool, first: impl FnOnce(), second: impl FnOnce()) {
    if first_goes_first {
        first();
        second();
    } else {
        second();
        first();
    }
}
