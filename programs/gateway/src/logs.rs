//! Log output to standard error that never blocks.
//!
//! A reader of standard error may keep it open and stop reading. Logging runs on the thread of the event loop, so a line that
//! can't be written immediately is dropped and counted.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Stderr, Write};
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes that a writable pipe accepts without blocking (`PIPE_BUF`).
const CHUNK_BYTES: usize = 4096;
/// Number of attempts at a poll that signals interrupt.
const MAX_POLL_ATTEMPTS: usize = 4;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// A writer to standard error that drops lines instead of blocking.
#[derive(Debug)]
pub struct LossyStderr(Stderr);

impl LossyStderr {
    /// Creates a writer to this process's standard error.
    pub fn new() -> LossyStderr {
        LossyStderr(io::stderr())
    }

    /// Whether standard error accepts a chunk without blocking.
    fn is_writable(&self) -> bool {
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        for _ in 0..MAX_POLL_ATTEMPTS {
            let mut descriptors = [PollFd::new(&self.0, PollFlags::OUT)];
            match poll(&mut descriptors, Some(&no_wait)) {
                Err(rustix::io::Errno::INTR) => {}
                Err(_) => return false,
                Ok(_) => return descriptors[0].revents().contains(PollFlags::OUT),
            }
        }
        false
    }

    fn write_chunk(&mut self, bytes: &[u8]) -> bool {
        self.is_writable() && self.0.write_all(bytes).is_ok()
    }

    fn write_notice(&mut self, dropped: u64) -> bool {
        let notice = format!("{dropped} lines of logs were dropped: nobody read them\n");
        self.write_chunk(notice.as_bytes())
    }
}

impl Default for LossyStderr {
    fn default() -> LossyStderr {
        LossyStderr::new()
    }
}

impl Write for LossyStderr {
    /// Writes a line, or as much of it as standard error accepts, and drops the rest.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 && !self.write_notice(dropped) {
            DROPPED_LINES.fetch_add(dropped + 1, Ordering::Relaxed);
            return Ok(line.len());
        }
        for chunk in line.chunks(CHUNK_BYTES) {
            if !self.write_chunk(chunk) {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                break;
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
