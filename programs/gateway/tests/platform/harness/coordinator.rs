//! A coordinator that runs on its own threads and whose replies are written by the test.

use super::http::read_head;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// A coordinator that passes each poll to the test, which writes the reply to the poll's connection.
pub struct Coordinator {
    /// The coordinator's address.
    pub address: SocketAddr,
    /// The targets of the polls that the test has not received yet, each with its connection.
    pub polls: Receiver<(String, TcpStream)>,
}

impl Coordinator {
    /// Starts a coordinator.
    pub fn start() -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, polls) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || forward_polls(&socket, &sender));
            }
        });
        Coordinator { address, polls }
    }

    /// Waits for the next poll.
    pub fn next_poll(&self) -> (String, TcpStream) {
        self.polls
            .recv_timeout(Duration::from_secs(10))
            .expect("a poll")
    }
}

/// Passes the polls of one connection to the test until either side closes it.
fn forward_polls(socket: &TcpStream, sender: &Sender<(String, TcpStream)>) {
    while let Some(head) = read_head(socket) {
        let target = head.split(' ').nth(1).unwrap_or("").to_string();
        let Ok(clone) = socket.try_clone() else {
            return;
        };
        if sender.send((target, clone)).is_err() {
            return;
        }
    }
}

/// The body of a reply with an event that sets a worker's state.
pub fn worker_event(index: u64, id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"index":{index},"updates":[{{"index":{index},"endpoints":{{"full":false,"servers":[
        {{"id":"{id}","addr":"{address}","zone":"a","kind":"k","state":"{state}"}}]}}}}]}}"#
    )
}
