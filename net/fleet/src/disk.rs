//! A seat's file on a thread of its own. A disk that fails for a while is tried again until it takes what it was given: the
//! seat sees one that is slow, and tells nothing of a record before that is held.

use calloop::channel::{channel, Channel};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use tansy_storage::store::Error;
use tansy_storage::voter_log::{RecoveredRecords, RetryingLogStorage};

/// Between two tries, the first time; it doubles, ...
const PAUSE: Duration = Duration::from_millis(20);
/// ... up to this.
const MOST_PAUSE: Duration = Duration::from_secs(1);
/// Between two lines on a disk that goes on failing.
const TELL_EVERY: Duration = Duration::from_secs(10);

/// What became of a record.
pub type Done = Result<(), String>;

/// A record, and the whole that takes the place of all before it.
type Entry = (Vec<u8>, Option<Vec<u8>>);

/// The file; records go in one after another, and what became of each comes out on the loop.
pub struct Disk {
    records: mpsc::Sender<Entry>,
    /// Nobody waits for it any more.
    ended: Arc<AtomicBool>,
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

impl Disk {
    /// Opens the file, or makes it; what it holds, and where what became of records comes out.
    pub fn open(path: &Path) -> Result<(Disk, RecoveredRecords, Channel<Done>), Error> {
        let (file, held) = RetryingLogStorage::open(path)?;
        let (disk, done) = Disk::start(file);
        Ok((disk, held, done))
    }

    /// On a file that is open.
    pub fn start(mut file: RetryingLogStorage) -> (Disk, Channel<Done>) {
        let (records, received) = mpsc::channel::<Entry>();
        let (told, done) = channel();
        let ended = Arc::new(AtomicBool::new(false));
        let stop = ended.clone();
        // It ends with the sender, or with an error that does not pass: what became of that is known when the file is read
        // again.
        std::thread::spawn(move || {
            while let Ok(entry) = received.recv() {
                let held = hold(&mut file, &entry, &stop).map_err(|e| e.to_string());
                let failed = held.is_err();
                if told.send(held).is_err() || failed {
                    return;
                }
            }
        });
        (Disk { records, ended }, done)
    }

    /// Has a record held. False: the thread is gone.
    pub fn hold(&self, record: Vec<u8>, whole: Option<Vec<u8>>) -> bool {
        self.records.send((record, whole)).is_ok()
    }
}

/// Tries until the record is held, the error is one that does not pass, or nobody waits for it.
fn hold(
    file: &mut RetryingLogStorage,
    (record, whole): &Entry,
    stop: &AtomicBool,
) -> Result<(), Error> {
    let began = Instant::now();
    let mut pause = PAUSE;
    let mut next_line = began;
    loop {
        match file.append(record, whole.as_deref()) {
            Err(e) if e.may_pass() && !stop.load(Ordering::SeqCst) => {
                if Instant::now() >= next_line {
                    next_line = Instant::now() + TELL_EVERY;
                    tracing::warn!(error = %e, "the seat's disk takes no entry; it is tried again");
                }
                std::thread::sleep(pause);
                pause = (pause * 2).min(MOST_PAUSE);
            }
            done => {
                if pause > PAUSE && done.is_ok() {
                    tracing::info!(after = ?began.elapsed(), "the seat's disk takes entries again");
                }
                return done;
            }
        }
    }
}
