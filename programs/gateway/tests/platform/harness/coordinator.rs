//! A coordinator on threads of its own, whose replies the test writes.

use super::http::read_head;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// A coordinator that hands each poll's target to the test, which answers it with whole bytes.
pub struct Coordinator {
    /// Where it listens.
    pub address: SocketAddr,
    /// The polls that the test has not taken yet, each with its connection.
    pub polls: Receiver<(String, TcpStream)>,
}

impl Coordinator {
    /// Starts one.
    pub fn start() -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, polls) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || hand_over_polls(&socket, &sender));
            }
        });
        Coordinator { address, polls }
    }

    /// The next poll.
    pub fn next_poll(&self) -> (String, TcpStream) {
        self.polls
            .recv_timeout(Duration::from_secs(10))
            .expect("a poll")
    }
}

/// Hands the polls of one connection to the test until either side ends it.
fn hand_over_polls(socket: &TcpStream, sender: &Sender<(String, TcpStream)>) {
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

/// An event that changes a worker's state, as the body of a reply.
pub fn worker_event(index: u64, id: &str, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"index":{index},"updates":[{{"index":{index},"endpoints":{{"full":false,"servers":[
        {{"id":"{id}","addr":"{address}","zone":"a","kind":"k","state":"{state}"}}]}}}}]}}"#
    )
}
