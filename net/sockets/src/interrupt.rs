//! Sources of the event loop whose reads a signal may interrupt.
//!
//! The loop library returns an error of one source to whoever turns the loop, and drops the other events of that turn.
//! Sockets are reported by edges, so what is dropped is never reported again. An interrupted read is therefore no error
//! here: the source is readable still, and is reported in the next turn.

use calloop::{EventSource, Poll, PostAction, Readiness, Token, TokenFactory};
use std::error::Error;
use std::io;

/// A source whose interrupted reads are no errors.
pub struct IgnoreInterrupts<S>(pub S);

/// Whether an error, or what caused it, says that a call was interrupted, or that there was nothing to read after all.
pub fn is_interruption(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(current) = cause {
        let kind = current.downcast_ref::<io::Error>().map(io::Error::kind);
        let kind = kind.or_else(|| {
            let errno = current.downcast_ref::<rustix::io::Errno>();
            errno.map(|errno| errno.kind())
        });
        if matches!(
            kind,
            Some(io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock)
        ) {
            return true;
        }
        cause = current.source();
    }
    // Errors of other libraries' own kinds are known by the system's text alone.
    let text = error.to_string();
    text.contains("EINTR") || text.contains("Interrupted system call")
}

impl<S: EventSource> EventSource for IgnoreInterrupts<S>
where
    S::Error: Error + 'static,
{
    type Event = S::Event;
    type Metadata = S::Metadata;
    type Ret = S::Ret;
    type Error = S::Error;

    fn process_events<F>(
        &mut self,
        readiness: Readiness,
        token: Token,
        callback: F,
    ) -> Result<PostAction, Self::Error>
    where
        F: FnMut(Self::Event, &mut Self::Metadata) -> Self::Ret,
    {
        match self.0.process_events(readiness, token, callback) {
            Err(error) if is_interruption(&error) => Ok(PostAction::Continue),
            outcome => outcome,
        }
    }

    fn register(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.0.register(poll, tokens)
    }
    fn reregister(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.0.reregister(poll, tokens)
    }
    fn unregister(&mut self, poll: &mut Poll) -> calloop::Result<()> {
        self.0.unregister(poll)
    }

    const NEEDS_EXTRA_LIFECYCLE_EVENTS: bool = S::NEEDS_EXTRA_LIFECYCLE_EVENTS;
}
