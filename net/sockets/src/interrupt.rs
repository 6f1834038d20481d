//! Sources of the event loop whose reads a signal may interrupt.
//!
//! The loop library gives an error of one source to whoever turns the loop, and drops the other events of that turn. Sockets
//! are told of by edges, so what is dropped is never told again. An interrupted read is therefore no error here: the source
//! is readable still, and is told of in the next turn.

use calloop::{EventSource, Poll, PostAction, Readiness, Token, TokenFactory};
use std::error::Error;
use std::io;

/// A source that bears interrupted reads.
pub struct Uninterrupted<S>(pub S);

/// Whether an error, or what caused it, says that a call was interrupted, or that there was nothing to read after all.
pub fn interrupted(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(e) = cause {
        let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
        let kind = kind.or_else(|| e.downcast_ref::<rustix::io::Errno>().map(|e| e.kind()));
        if matches!(
            kind,
            Some(io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock)
        ) {
            return true;
        }
        cause = e.source();
    }
    // Errors of other libraries' own kinds are known by the system's text alone.
    let text = error.to_string();
    text.contains("EINTR") || text.contains("Interrupted system call")
}

impl<S: EventSource> EventSource for Uninterrupted<S> {
    type Event = S::Event;
    type Metadata = S::Metadata;
    type Ret = S::Ret;
    type Error = Box<dyn Error + Sync + Send>;

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
            Ok(action) => Ok(action),
            Err(error) => {
                let error: Box<dyn Error + Sync + Send> = error.into();
                if interrupted(error.as_ref()) {
                    return Ok(PostAction::Continue);
                }
                Err(error)
            }
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
