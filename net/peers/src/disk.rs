//! A seat's file on a thread of its own.

use calloop::channel::{channel, Channel};
use std::path::Path;
use std::sync::mpsc;
use tansy_state::seat::{Held, Records};
use tansy_state::store::Error;

/// What became of a record.
pub type Done = Result<(), String>;

/// The file; records go in one after another, and what became of each comes out on the loop.
pub struct Disk {
    records: mpsc::Sender<(Vec<u8>, Option<Vec<u8>>)>,
}

impl Disk {
    /// Opens the file, or makes it; what it holds, and where what became of records comes out.
    pub fn open(path: &Path) -> Result<(Disk, Held, Channel<Done>), Error> {
        let (mut file, held) = Records::open(path)?;
        let (records, received) = mpsc::channel::<(Vec<u8>, Option<Vec<u8>>)>();
        let (told, done) = channel();
        // It ends with the sender, or with the first failure: what became of that is known when the file is read again.
        std::thread::spawn(move || {
            while let Ok((record, whole)) = received.recv() {
                let held = file.hold(record, whole.as_deref()).map_err(|e| e.to_string());
                let failed = held.is_err();
                if told.send(held).is_err() || failed {
                    return;
                }
            }
        });
        Ok((Disk { records }, held, done))
    }

    /// Has a record held. False: the thread is gone.
    pub fn hold(&self, record: Vec<u8>, whole: Option<Vec<u8>>) -> bool {
        self.records.send((record, whole)).is_ok()
    }
}
