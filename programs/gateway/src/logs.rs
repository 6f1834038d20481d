//! Standard error as the place of logs. Whoever reads it may stop reading while it stays open; a line that would have to wait
//! for that is dropped and counted, since the thread that writes it is the one that serves.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Stderr, Write};
use std::sync::atomic::{AtomicU64, Ordering};

/// What a pipe takes without waiting once it says that it takes something (`PIPE_BUF`).
const PIECE: usize = 4096;
/// A question to the kernel is asked again so often if it is interrupted.
const INTERRUPTIONS: usize = 4;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes to standard error, and never waits for it.
#[derive(Debug)]
pub struct LossyStderr(Stderr);

impl LossyStderr {
    /// Standard error.
    pub fn new() -> LossyStderr {
        LossyStderr(io::stderr())
    }

    /// Whether a piece is taken without waiting.
    fn takes(&self) -> bool {
        let none = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        for _ in 0..INTERRUPTIONS {
            let mut asked = [PollFd::new(&self.0, PollFlags::OUT)];
            match poll(&mut asked, Some(&none)) {
                Err(rustix::io::Errno::INTR) => {}
                Err(_) => return false,
                Ok(_) => return asked[0].revents().contains(PollFlags::OUT),
            }
        }
        false
    }

    fn piece(&mut self, bytes: &[u8]) -> bool {
        self.takes() && self.0.write_all(bytes).is_ok()
    }
}

impl Default for LossyStderr {
    fn default() -> LossyStderr {
        LossyStderr::new()
    }
}

impl Write for LossyStderr {
    /// Takes a line whole, or drops the rest of it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0
            && !self.piece(
                format!("{dropped} lines of logs were dropped: nobody read them\n").as_bytes(),
            )
        {
            DROPPED.fetch_add(dropped + 1, Ordering::Relaxed);
            return Ok(line.len());
        }
        for piece in line.chunks(PIECE) {
            if !self.piece(piece) {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                break;
            }
        }
        Ok(line.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
