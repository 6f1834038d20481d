//! The file in which a gateway of a test finds its workers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers files and their texts, so that no two are alike.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// A worker as the file lists it.
#[derive(Debug, Clone)]
pub struct ListedWorker {
    name: String,
    address: SocketAddr,
    state: &'static str,
}

impl ListedWorker {
    /// A worker that takes calls.
    pub fn ready(name: &str, address: SocketAddr) -> ListedWorker {
        ListedWorker {
            name: name.into(),
            address,
            state: "ready",
        }
    }

    /// A worker that ends its calls and takes no new ones.
    pub fn draining(name: &str, address: SocketAddr) -> ListedWorker {
        ListedWorker {
            state: "draining",
            ..ListedWorker::ready(name, address)
        }
    }
}

/// A file that lists workers. It is removed when the value is dropped.
pub struct WorkerListFile {
    path: PathBuf,
}

impl WorkerListFile {
    /// Writes a file of its own.
    pub fn write(workers: &[ListedWorker]) -> WorkerListFile {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("tansy-path-{}-{number}.cue", std::process::id());
        let path = std::env::temp_dir().join(name);
        let file = WorkerListFile { path };
        file.replace(workers);
        file
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the list as a whole: nobody reads half of it.
    pub fn replace(&self, workers: &[ListedWorker]) {
        let fresh = self.path.with_extension("new");
        std::fs::write(&fresh, text(workers))
            .and_then(|()| std::fs::rename(&fresh, &self.path))
            .expect("the list can be written");
    }
}

impl Drop for WorkerListFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn text(workers: &[ListedWorker]) -> String {
    let entry = |worker: &ListedWorker| {
        let (name, address, state) = (&worker.name, worker.address, worker.state);
        format!("{{name: \"{name}\", address: \"{address}\", state: \"{state}\"}}")
    };
    let entries: Vec<String> = workers.iter().map(entry).collect();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("workers: [{}] // {number}\n", entries.join(", "))
}
