//! The worker list file of a test's gateway.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The next number for a file name or for the comment in a file, so that no two are equal.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// A worker's entry in the file.
#[derive(Debug, Clone)]
pub struct ListedWorker {
    name: String,
    address: SocketAddr,
    state: &'static str,
}

impl ListedWorker {
    /// An entry for a worker that takes calls.
    pub fn ready(name: &str, address: SocketAddr) -> ListedWorker {
        ListedWorker {
            name: name.into(),
            address,
            state: "ready",
        }
    }

    /// An entry for a worker that finishes its calls and takes no new ones.
    pub fn draining(name: &str, address: SocketAddr) -> ListedWorker {
        ListedWorker {
            state: "draining",
            ..ListedWorker::ready(name, address)
        }
    }
}

/// A worker list file, removed when the value is dropped.
pub struct WorkerListFile {
    path: PathBuf,
}

impl WorkerListFile {
    /// Writes a new file.
    pub fn write(workers: &[ListedWorker]) -> WorkerListFile {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("tansy-path-{}-{number}.cue", std::process::id());
        let path = std::env::temp_dir().join(name);
        let file = WorkerListFile { path };
        file.replace(workers);
        file
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the file atomically, so that no reader sees half of it.
    pub fn replace(&self, workers: &[ListedWorker]) {
        let temporary = self.path.with_extension("new");
        std::fs::write(&temporary, text(workers))
            .and_then(|()| std::fs::rename(&temporary, &self.path))
            .expect("the worker list is written");
    }
}

impl Drop for WorkerListFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The text of the file. A unique comment makes every text differ from the one before.
fn text(workers: &[ListedWorker]) -> String {
    let entry = |worker: &ListedWorker| {
        let (name, address, state) = (&worker.name, worker.address, worker.state);
        format!("{{name: \"{name}\", address: \"{address}\", state: \"{state}\"}}")
    };
    let entries: Vec<String> = workers.iter().map(entry).collect();
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("workers: [{}] // {number}\n", entries.join(", "))
}
