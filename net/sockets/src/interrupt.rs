//! Event sources whose reads may be interrupted by a signal.
//!
//! calloop returns an error of one source from `dispatch`, and drops the remaining events of that iteration of the event
//! loop. Sockets are registered edge-triggered, so a dropped event is never reported again. An interrupted read is
//! therefore ignored here; the source stays readable and is reported in the next iteration.

use calloop::{EventSource, Poll, PostAction, Readiness, Token, TokenFactory};
use std::error::Error;
use std::io;

/// An event source that ignores errors from interrupted reads.
pub struct IgnoreInterrupts<S>(pub S);

/// Whether an error or one of its sources is `EINTR` or `EWOULDBLOCK`.
pub fn is_interrupted_or_would_block(error: &(dyn Error + 'static)) -> bool {
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
    // Some libraries wrap the system error so that only its text is accessible.
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
            Err(error) if is_interrupted_or_would_block(&error) => Ok(PostAction::Continue),
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
