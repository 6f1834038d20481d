//! Standard error as the output of logs, without ever blocking.
//!
//! Whoever reads standard error may stop reading while it stays open. The thread that logs is the one that serves, so that a
//! line that would have to wait is dropped and counted.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Stderr, Write};
use std::sync::atomic::{AtomicU64, Ordering};

/// What a pipe accepts without blocking once it is writable (`PIPE_BUF`).
const CHUNK: usize = 4096;
/// How often an interrupted poll is repeated.
const MAX_INTERRUPTIONS: usize = 4;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes to standard error, and never waits for it.
#[derive(Debug)]
pub struct LossyStderr(Stderr);

impl LossyStderr {
    /// Standard error.
    pub fn new() -> LossyStderr {
        LossyStderr(io::stderr())
    }

    /// Whether a chunk is accepted without blocking.
    fn is_writable(&self) -> bool {
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        for _ in 0..MAX_INTERRUPTIONS {
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
    /// Writes a whole line, or drops the rest of it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 && !self.write_notice(dropped) {
            DROPPED_LINES.fetch_add(dropped + 1, Ordering::Relaxed);
            return Ok(line.len());
        }
        for chunk in line.chunks(CHUNK) {
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
