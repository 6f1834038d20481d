//! Workers: each loads functions, serves calls after some time, and now and then misses, fails, or answers twice.

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
/// Of so many calls one has another end than being served.
const ODD_IN: u32 = 25;

/// One array as bytes.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::new();
    tansy_resp::write_array(&mut out, words);
    out
}

/// The answer to one command, and when.
struct Reply {
    after: Duration,
    bytes: Vec<u8>,
}

struct Worker {
    loaded: Mutex<HashSet<Vec<u8>>>,
    random: Mutex<fastrand::Rng>,
}

/// Starts a worker on a port of its own.
pub async fn start(seed: u64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
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
    async fn serve(self: Arc<Self>, socket: TcpStream) {
        let (mut from, mut to) = socket.into_split();
        let (replies, mut ready) = mpsc::unbounded_channel::<Vec<u8>>();
        let writer = tokio::spawn(async move {
            while let Some(bytes) = ready.recv().await {
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        let mut reader = Reader::new(BOUNDS);
        let mut buffer = vec![0u8; 16 * 1024];
        while let Ok(n @ 1..) = from.read(&mut buffer).await {
            reader.push_bytes(&buffer[..n]);
            while let Ok(Some(words)) = reader.next_array() {
                let Some(reply) = self.reply(&words) else {
                    continue;
                };
                let replies = replies.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(reply.after).await;
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
            [b"there", tag] => Some(Reply {
                after: Duration::ZERO,
                bytes: array(&[tag, b"alive", b"-", b""]),
            }),
            [b"retire", function] => {
                self.loaded.lock().expect("not poisoned").remove(function);
                None
            }
            _ => None,
        }
    }

    fn call(&self, id: &[u8], fields: &[u8], body: &[u8]) -> Reply {
        let function = field(fields, b"asset=");
        let mut random = self.random.lock().expect("not poisoned");
        let after = Duration::from_millis(random.u64(CALL_MS));
        if !self
            .loaded
            .lock()
            .expect("not poisoned")
            .contains(&function)
        {
            return Reply {
                after: Duration::ZERO,
                bytes: array(&[id, b"404", b"-", b""]),
            };
        }
        if random.u32(0..ODD_IN) > 0 {
            return Reply {
                after,
                bytes: array(&[id, b"200", b"n=ready", body]),
            };
        }
        match random.u32(0..7) {
            0 => {
                // It has been unloaded meanwhile.
                self.loaded.lock().expect("not poisoned").remove(&function);
                Reply {
                    after: Duration::ZERO,
                    bytes: array(&[id, b"404", b"-", b""]),
                }
            }
            1 => Reply {
                after: Duration::ZERO,
                bytes: array(&[id, b"503", b"-", b""]),
            },
            2 => Reply {
                after,
                bytes: array(&[id, b"500", b"-", b""]),
            },
            3 => {
                // Two answers.
                let mut bytes = array(&[id, b"200", b"n=ready", body]);
                bytes.extend(array(&[id, b"200", b"n=ready", b"another"]));
                Reply { after, bytes }
            }
            // What can't be read ends all that is open on its connection.
            4 => Reply {
                after,
                bytes: b"*4\r\n$16\r\nnoise".iter().chain(id).copied().collect(),
            },
            5 => {
                // An answer ahead, for an id that nobody sent.
                let mut bytes = array(&[b"0123456789abcdef", b"200", b"n=ready", b"ahead"]);
                bytes.extend(array(&[id, b"200", b"n=ready", body]));
                Reply { after, bytes }
            }
            // Long after most clients have gone.
            _ => Reply {
                after: Duration::from_secs(3),
                bytes: array(&[id, b"200", b"n=ready", body]),
            },
        }
    }

    fn load(&self, tag: &[u8], fields: &[u8]) -> Reply {
        let function = field(fields, b"asset=");
        let asks = field(fields, b"replicas=") == b"0";
        let mut loaded = self.loaded.lock().expect("not poisoned");
        let stood = loaded.contains(&function);
        if !asks {
            loaded.insert(function);
        }
        let after = Duration::from_millis(if asks { 0 } else { LOAD_MS });
        let copies: &[u8] = if stood || !asks {
            b"replicas=1"
        } else {
            b"replicas=0"
        };
        Reply {
            after,
            bytes: array(&[tag, b"200", copies, b""]),
        }
    }
}

/// The value of a field in a list of fields.
pub fn field(fields: &[u8], name: &[u8]) -> Vec<u8> {
    let found = fields
        .split(|b| *b == b',')
        .find_map(|f| f.strip_prefix(name));
    found.unwrap_or(b"").to_vec()
}
