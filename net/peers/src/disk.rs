//! A seat's file on a thread of its own.

use calloop::channel::{channel, Channel};
use std::path::Path;
use std::sync::mpsc;
use tansy_agree::log::{Entry, Log};
use tansy_agree::rule::Fields;
use tansy_state::seat::{Error, Seat};

/// What became of an entry.
pub type Held = Result<(), String>;

/// The file; entries go in one after another, and what became of each comes out on the loop.
pub struct Disk {
    entries: mpsc::Sender<Entry>,
}

impl Disk {
    /// Opens the file, or makes it with these fields as the fleet's first version; the log that it holds, and where what
    /// became of entries comes out.
    pub fn open(path: &Path, first: Fields) -> Result<(Disk, Log, Channel<Held>), Error> {
        let mut seat = Seat::open(path, first)?;
        let log = seat.log().clone();
        let (entries, received) = mpsc::channel();
        let (told, held) = channel();
        // It ends with the sender.
        std::thread::spawn(move || {
            while let Ok(entry) = received.recv() {
                let done = seat.enter(entry).map(drop).map_err(|e| e.to_string());
                if told.send(done).is_err() {
                    return;
                }
            }
        });
        Ok((Disk { entries }, log, held))
    }

    /// Has an entry held. False: the thread is gone.
    pub fn hold(&self, entry: Entry) -> bool {
        self.entries.send(entry).is_ok()
    }
}
