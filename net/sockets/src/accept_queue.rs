//! The kernel's queue of connections that a listener has not accepted yet.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::net::{IpAddr, SocketAddr};

/// Maximum number of connections in the queue of a listener; the kernel may limit it further.
pub const BACKLOG: i32 = 4096;
/// Maximum number of queued connections: the kernel admits one more than the backlog.
pub const MAX_LENGTH: usize = BACKLOG as usize + 1;

/// The kernel's tables of TCP sockets. Listening sockets come first.
const TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];
/// Maximum number of bytes read of a table, enough for some hundred listening sockets.
const MAX_TABLE_BYTES: u64 = 64 * 1024;
/// The state of listening sockets in the tables.
const LISTENING: &str = "0A";

/// Returns the number of connections in the accept queue of the listener at `address`; none if the kernel does not tell.
pub fn length(address: SocketAddr) -> Option<usize> {
    let file = File::open(TABLES[usize::from(address.is_ipv6())]).ok()?;
    let name = socket_name(address);
    let lines = BufReader::new(file.take(MAX_TABLE_BYTES)).lines();
    // The first line has the names of the columns.
    let entries = lines.map_while(Result::ok).skip(1);
    let mut listeners = entries
        .map_while(|line| Entry::parse(&line))
        .take_while(|entry| entry.state == LISTENING);
    let entry = listeners.find(|entry| entry.local_address == name)?;
    Some(entry.receive_queue)
}

/// A socket in a table.
struct Entry {
    local_address: String,
    state: String,
    /// For a listening socket, the length of its accept queue.
    receive_queue: usize,
}

impl Entry {
    /// Parses a line: its number, the local and the remote address, the state, and the lengths of the queues as
    /// `tx_queue:rx_queue`.
    fn parse(line: &str) -> Option<Entry> {
        let mut columns = line.split_whitespace().skip(1);
        let local_address = columns.next()?.to_string();
        let state = columns.nth(1)?.to_string();
        let (_, receive_queue) = columns.next()?.split_once(':')?;
        Some(Entry {
            local_address,
            state,
            receive_queue: usize::from_str_radix(receive_queue, 16).ok()?,
        })
    }
}

/// A socket's address as it stands in the tables.
fn socket_name(address: SocketAddr) -> String {
    let word = |bytes: [u8; 4]| format!("{:08X}", u32::from_ne_bytes(bytes));
    let host: String = match address.ip() {
        IpAddr::V4(ip) => word(ip.octets()),
        IpAddr::V6(ip) => {
            let octets = ip.octets();
            let words = octets.chunks_exact(4);
            let words = words.filter_map(|bytes| bytes.try_into().ok());
            words.map(word).collect()
        }
    };
    format!("{host}:{:04X}", address.port())
}
