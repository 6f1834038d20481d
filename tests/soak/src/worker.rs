//! Workers: each loads functions, serves calls after some time, and now and then misses, fails, or answers twice.

use crate::error::SoakError;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tansy_resp::{Limits, Reader};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Bounds of what is read.
pub const BOUNDS: Limits = Limits {
    string: 64 * 1024,
    strings: 4,
};
/// Milliseconds that a call takes, at least and at most.
const CALL_MS: std::ops::Range<u64> = 3..40;
/// Milliseconds that a load takes.
const LOAD_MS: u64 = 30;
/// Of so many calls one is not simply served.
const IRREGULAR_ONE_IN: u32 = 25;
/// An irregular answer that is late comes after so long: most clients have gone by then.
const LATE_ANSWER: Duration = Duration::from_secs(3);

/// One array as bytes.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = Vec::new();
    tansy_resp::write_array(&mut bytes, words);
    bytes
}

/// The answer to one command, and when.
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

/// A call as the worker reads it.
#[derive(Clone, Copy)]
struct Call<'a> {
    id: &'a [u8],
    body: &'a [u8],
    /// How long it takes.
    takes: Duration,
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

/// Starts a worker on a port of its own.
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
    /// Answers the commands of one connection; answers may overtake each other.
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
        let mut reader = Reader::new(BOUNDS);
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
                    // Fails once the connection has ended.
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
        let takes = Duration::from_millis(random.u64(CALL_MS));
        let call = Call { id, body, takes };
        if !self.is_loaded(&function) {
            return Reply::after(Duration::ZERO, call.refused(b"404"));
        }
        if random.u32(0..IRREGULAR_ONE_IN) > 0 {
            return Reply::after(takes, call.served());
        }
        self.irregular_reply(call, &function, &mut random)
    }

    /// A call that fails, or whose answer is not the one that it should have.
    fn irregular_reply(
        &self,
        call: Call<'_>,
        function: &[u8],
        random: &mut fastrand::Rng,
    ) -> Reply {
        let Call { id, takes, .. } = call;
        match random.u32(0..7) {
            0 => {
                // It has been unloaded meanwhile.
                self.unload(function);
                Reply::after(Duration::ZERO, call.refused(b"404"))
            }
            1 => Reply::after(Duration::ZERO, call.refused(b"503")),
            2 => Reply::after(takes, call.refused(b"500")),
            3 => {
                let second = array(&[id, b"200", b"n=ready", b"another"]);
                Reply::after(takes, [call.served(), second].concat())
            }
            // What can't be read ends all that is open on its connection.
            4 => Reply::after(takes, [b"*4\r\n$16\r\nnoise", id].concat()),
            5 => {
                // An answer ahead, for an id that nobody sent.
                let ahead = array(&[b"0123456789abcdef", b"200", b"n=ready", b"ahead"]);
                Reply::after(takes, [ahead, call.served()].concat())
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

/// The value of a field in a list of fields.
pub fn field(fields: &[u8], name: &[u8]) -> Vec<u8> {
    let found = fields
        .split(|b| *b == b',')
        .find_map(|f| f.strip_prefix(name));
    found.unwrap_or(b"").to_vec()
}
