//! A TCP proxy between a gateway and its workers, inside the gateway's process, that delays answers or refuses connections.

use std::ffi::OsString;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

/// The gateway's option that replaces a worker's address: `--via WORKER=ADDRESS`.
const VIA_OPTION: &str = "--via";
/// Maximum number of bytes of one read.
const CHUNK_BYTES: usize = 64 * 1024;

type Delay = Arc<dyn Fn() -> Option<Duration> + Send + Sync>;
type Refusal = Arc<dyn Fn() -> bool + Send + Sync>;

/// The faults of proxied connections; the functions are called again for each decision.
#[derive(Clone)]
pub(super) struct ConnectionFaults {
    /// Delay of data from workers, if any.
    delay: Delay,
    /// Whether connections are refused, and open ones closed, at present.
    refuses: Refusal,
}

impl ConnectionFaults {
    pub fn delay(delay: impl Fn() -> Option<Duration> + Send + Sync + 'static) -> ConnectionFaults {
        ConnectionFaults {
            delay: Arc::new(delay),
            refuses: Arc::new(|| false),
        }
    }

    pub fn refusal(refuses: impl Fn() -> bool + Send + Sync + 'static) -> ConnectionFaults {
        ConnectionFaults {
            delay: Arc::new(|| None),
            refuses: Arc::new(refuses),
        }
    }
}

/// Inserts a proxy for each `--via` address in a gateway's arguments. An argument that can't be parsed or proxied stays unchanged.
pub(super) fn route_through_proxies(arguments: &mut [OsString], faults: ConnectionFaults) {
    for index in 1..arguments.len() {
        if arguments[index - 1] != VIA_OPTION {
            continue;
        }
        let text = arguments[index].to_string_lossy().into_owned();
        let Some((worker, target)) = text.split_once('=') else {
            continue;
        };
        let Ok(target) = target.parse::<SocketAddr>() else {
            continue;
        };
        if let Ok(address) = start_proxy(target, faults.clone()) {
            arguments[index] = format!("{worker}={address}").into();
        }
    }
}

/// Starts a proxy for one target; returns its address.
fn start_proxy(target: SocketAddr, faults: ConnectionFaults) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let faults = faults.clone();
            std::thread::spawn(move || forward(&client, target, &faults));
        }
    });
    Ok(address)
}

/// Forwards one connection in both directions until one side closes it.
fn forward(client: &TcpStream, target: SocketAddr, faults: &ConnectionFaults) {
    if (faults.refuses)() {
        return;
    }
    let Ok(worker) = TcpStream::connect(target) else {
        return;
    };
    // Failure only delays small messages.
    let _ = (client.set_nodelay(true), worker.set_nodelay(true));
    let (Ok(from), Ok(to)) = (client.try_clone(), worker.try_clone()) else {
        return;
    };
    let refuses = faults.refuses.clone();
    std::thread::spawn(move || copy_one_way(&from, &to, |_| None, &refuses));
    let due = |arrived| (faults.delay)().map(|delay| arrived + delay);
    copy_one_way(&worker, client, due, &faults.refuses);
}

/// Copies one direction; data is forwarded no earlier than `due` of its arrival time.
fn copy_one_way(
    mut from: &TcpStream,
    mut to: &TcpStream,
    due: impl Fn(Instant) -> Option<Instant> + Send,
    refuses: &Refusal,
) {
    // Delays count from the arrival time, so that delayed chunks, which are sent in order, don't add up their delays.
    let (sender, queue) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::scope(|scope| {
        scope.spawn(move || {
            while let Ok((arrived, bytes)) = queue.recv() {
                let delay = due(arrived).map(|due| due.saturating_duration_since(Instant::now()));
                std::thread::sleep(delay.unwrap_or(Duration::ZERO));
                if refuses() || to.write_all(&bytes).is_err() {
                    break;
                }
            }
            // Fails if the peer has closed the connection.
            let _ = to.shutdown(Shutdown::Both);
        });
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(length) = from.read(&mut buffer) {
            let chunk = (Instant::now(), buffer[..length].to_vec());
            if length == 0 || sender.send(chunk).is_err() {
                break;
            }
        }
        drop(sender);
    });
    let _ = from.shutdown(Shutdown::Both);
}
