//! Sockets, tasks and time-outs on a calloop loop, all on one thread: what every protocol of the project builds on.
//!
//! - [`socket`]: TCP sockets on the loop, and errors of the machine that pass. [`timers`]: time-outs.
//! - [`interrupt`]: sources whose reads a signal may interrupt. [`lag`]: whether the loop was stalled. [`clock`]: clocks.

pub mod clock;
pub mod interrupt;
pub mod lag;
pub mod socket;
pub mod timers;

use crate::interrupt::IgnoreInterrupts;
use crate::timers::{Sleep, Timers};
use calloop::futures::Scheduler;
use calloop::LoopHandle;
use std::future::Future;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The system's error behind one of the loop library.
pub fn io_error(error: calloop::Error) -> std::io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        other => std::io::Error::other(other),
    }
}

/// Starts tasks on the loop.
#[derive(Clone)]
pub struct Spawner {
    handle: LoopHandle<'static, ()>,
    scheduler: Scheduler<()>,
    timers: Rc<Timers>,
}

impl Spawner {
    /// A spawner for a loop; its executor is inserted there.
    pub fn new(handle: LoopHandle<'static, ()>) -> std::io::Result<Spawner> {
        let (executor, scheduler) = calloop::futures::executor::<()>().map_err(io_error)?;
        let inserted = handle.insert_source(IgnoreInterrupts(executor), |(), _, _| {});
        inserted.map_err(|e| std::io::Error::other(e.to_string()))?;
        let timers = Timers::new(handle.clone())?;
        Ok(Spawner {
            handle,
            scheduler,
            timers,
        })
    }
    /// Runs a task on the loop until it ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        // The one error is a loop that has ended, and with it all tasks.
        let _ = self.scheduler.schedule(task);
    }
    /// Ends after so long.
    pub fn sleep(&self, span: Duration) -> Sleep {
        self.timers.sleep(span)
    }
    /// Its time-outs.
    pub fn timers(&self) -> &Rc<Timers> {
        &self.timers
    }
    /// The loop.
    pub fn handle(&self) -> &LoopHandle<'static, ()> {
        &self.handle
    }
}

/// Lets the tasks that are ready now run first, once. A connection's driver waits so for the streams that have more to
/// send, and what they send leaves in one system call.
pub struct Yield(bool);

impl Yield {
    /// For one driver.
    pub fn new() -> Yield {
        Yield(false)
    }
    /// Pending every other time, with a wake at the end of the queue.
    pub fn poll(&mut self, cx: &Context<'_>) -> Poll<()> {
        self.0 = !self.0;
        if self.0 {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

impl Default for Yield {
    fn default() -> Yield {
        Yield::new()
    }
}

/// Ends with `Some` of the future's output, or `None` if `limit` ends first.
pub async fn within<F: Future>(limit: impl Future<Output = ()>, future: F) -> Option<F::Output> {
    let (mut limit, mut future) = (Box::pin(limit), Box::pin(future));
    std::future::poll_fn(move |cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(output));
        }
        limit.as_mut().poll(cx).map(|()| None)
    })
    .await
}
