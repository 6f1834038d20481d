//! Workers: each loads functions and serves calls with a random delay; some calls miss, fail, or get an irregular answer.

use crate::error::SoakError;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tansy_resp::{Limits, Reader};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Limits of the RESP arrays that are read.
pub const RESP_LIMITS: Limits = Limits {
    string: 64 * 1024,
    strings: 4,
};
/// Duration of a call, milliseconds.
const CALL_MS: std::ops::Range<u64> = 3..40;
/// Duration of a load, milliseconds.
const LOAD_MS: u64 = 30;
/// On average one call in this many has an irregular answer.
const IRREGULAR_ONE_IN: u32 = 25;
/// Delay of a late answer; most clients have stopped waiting by then.
const LATE_ANSWER: Duration = Duration::from_secs(3);

/// The bytes of a RESP array.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    tansy_resp::write_array(&mut bytes, words);
    bytes
}

/// The answer to a command, and the delay before it is sent.
struct Reply {
    after: Duration,
    bytes: Vec<u8>,
}

impl Reply {
    fn after(after: Duration, bytes: Vec<u8>) -> Reply {
        Reply { after, bytes }
    }

    fn at_once(words: &[&[u8]]) -> Reply {
        Reply::after(Duration::ZERO, array(words))
    }
}

/// A call to a worker.
#[derive(Clone, Copy)]
struct Call<'a> {
    id: &'a [u8],
    body: &'a [u8],
    duration: Duration,
}

impl Call<'_> {
    fn served(&self) -> Vec<u8> {
        array(&[self.id, b"200", b"n=ready", self.body])
    }

    fn refused(&self, status: &[u8]) -> Vec<u8> {
        array(&[self.id, status, b"-", b""])
    }
}

struct Worker {
    loaded: Mutex<HashSet<Vec<u8>>>,
    random: Mutex<fastrand::Rng>,
}

/// Starts a worker and returns its address; the kernel chooses the port.
pub async fn start(seed: u64) -> Result<SocketAddr, SoakError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await;
    let listener = listener.map_err(SoakError::listen("a worker", any))?;
    let address = listener.local_addr();
    let address = address.map_err(SoakError::listen("a worker", any))?;
    let random = Mutex::new(fastrand::Rng::with_seed(seed));
    let worker = Arc::new(Worker {
        loaded: Mutex::default(),
        random,
    });
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(worker.clone().serve(socket));
        }
    });
    Ok(address)
}

impl Worker {
    /// Answers the commands of a connection, each after its delay, so that answers may be out of order.
    async fn serve(self: Arc<Self>, socket: TcpStream) {
        let (mut from_peer, mut to_peer) = socket.into_split();
        let (replies, mut due) = mpsc::unbounded_channel::<Vec<u8>>();
        let writer = tokio::spawn(async move {
            while let Some(bytes) = due.recv().await {
                if to_peer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        let mut reader = Reader::new(RESP_LIMITS);
        let mut buffer = vec![0u8; 16 * 1024];
        while let Ok(length @ 1..) = from_peer.read(&mut buffer).await {
            reader.push_bytes(&buffer[..length]);
            while let Ok(Some(words)) = reader.next_array() {
                let Some(reply) = self.reply(&words) else {
                    continue;
                };
                let replies = replies.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(reply.after).await;
                    // Fails if the connection has ended.
                    let _ = replies.send(reply.bytes);
                });
            }
        }
        writer.abort();
    }

    fn reply(&self, words: &[&[u8]]) -> Option<Reply> {
        match *words {
            [b"fire", id, fields, body] => Some(self.call(id, fields, body)),
            [b"provision", tag, fields] => Some(self.load(tag, fields)),
            [b"there", tag] => Some(Reply::at_once(&[tag, b"alive", b"-", b""])),
            [b"retire", function] => {
                self.unload(function);
                None
            }
            _ => None,
        }
    }

    fn call(&self, id: &[u8], fields: &[u8], body: &[u8]) -> Reply {
        let function = field(fields, b"asset=");
        let mut random = self.random.lock().expect("not poisoned");
        let duration = Duration::from_millis(random.u64(CALL_MS));
        let call = Call { id, body, duration };
        if !self.is_loaded(&function) {
            return Reply::after(Duration::ZERO, call.refused(b"404"));
        }
        if random.u32(0..IRREGULAR_ONE_IN) > 0 {
            return Reply::after(duration, call.served());
        }
        self.irregular_reply(call, &function, &mut random)
    }

    /// The reply to a call that fails, or whose answer is late or violates the protocol.
    fn irregular_reply(
        &self,
        call: Call<'_>,
        function: &[u8],
        random: &mut fastrand::Rng,
    ) -> Reply {
        let Call { id, duration, .. } = call;
        match random.u32(0..7) {
            0 => {
                // As if the function had been unloaded in the meantime.
                self.unload(function);
                Reply::after(Duration::ZERO, call.refused(b"404"))
            }
            1 => Reply::after(Duration::ZERO, call.refused(b"503")),
            2 => Reply::after(duration, call.refused(b"500")),
            3 => {
                let second = array(&[id, b"200", b"n=ready", b"another"]);
                Reply::after(duration, [call.served(), second].concat())
            }
            // Malformed RESP ends all calls on the connection.
            4 => Reply::after(duration, [b"*4\r\n$16\r\nnoise", id].concat()),
            5 => {
                // An answer to an unknown id, before the right one.
                let unknown = array(&[b"0123456789abcdef", b"200", b"n=ready", b"ahead"]);
                Reply::after(duration, [unknown, call.served()].concat())
            }
            _ => Reply::after(LATE_ANSWER, call.served()),
        }
    }

    fn load(&self, tag: &[u8], fields: &[u8]) -> Reply {
        let function = field(fields, b"asset=");
        let is_query = field(fields, b"replicas=") == b"0";
        let mut loaded = self.loaded.lock().expect("not poisoned");
        let was_loaded = loaded.contains(&function);
        if !is_query {
            loaded.insert(function);
        }
        let after = Duration::from_millis(if is_query { 0 } else { LOAD_MS });
        let copies: &[u8] = if was_loaded || !is_query {
            b"replicas=1"
        } else {
            b"replicas=0"
        };
        Reply::after(after, array(&[tag, b"200", copies, b""]))
    }

    fn is_loaded(&self, function: &[u8]) -> bool {
        self.loaded.lock().expect("not poisoned").contains(function)
    }

    fn unload(&self, function: &[u8]) {
        self.loaded.lock().expect("not poisoned").remove(function);
    }
}

/// The value of a field in a comma-separated list, or an empty value. `name` ends with `=`.
pub fn field(fields: &[u8], name: &[u8]) -> Vec<u8> {
    let found = fields
        .split(|b| *b == b',')
        .find_map(|f| f.strip_prefix(name));
    found.unwrap_or(b"").to_vec()
}
