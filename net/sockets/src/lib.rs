//! Sockets, tasks and timeouts on a single-threaded calloop event loop.
//!
//! - [`socket`]: TCP sockets and classification of socket errors. [`timers`]: timeouts.
//! - [`accept_queue`]: the length of a listener's accept queue.
//! - [`interrupt`]: event sources that tolerate signals. [`lag`]: detection of event loop stalls. [`clock`]: clocks.

pub mod accept_queue;
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

/// Converts an error of calloop to the I/O error that caused it.
pub fn io_error(error: calloop::Error) -> std::io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        other => std::io::Error::other(other),
    }
}

/// Spawns tasks on the event loop.
#[derive(Clone)]
pub struct Spawner {
    handle: LoopHandle<'static, ()>,
    scheduler: Scheduler<()>,
    timers: Rc<Timers>,
}

impl Spawner {
    /// Creates a spawner, and inserts its executor and the timer behind its timeouts into the event loop.
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
    /// Schedules a task to run on the event loop. A task that has not completed is dropped with the event loop.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        // Scheduling fails only after the event loop has dropped the executor, and all tasks with it.
        let _ = self.scheduler.schedule(task);
    }
    /// Returns a future that completes after `span`.
    pub fn sleep(&self, span: Duration) -> Sleep {
        self.timers.sleep(span)
    }
    /// The timeouts of the event loop.
    pub fn timers(&self) -> &Rc<Timers> {
        &self.timers
    }
    /// The handle of the event loop.
    pub fn handle(&self) -> &LoopHandle<'static, ()> {
        &self.handle
    }
}

/// Lets the other ready tasks run before a task continues. The task that drives a connection yields so that the
/// connection's streams queue their data first, and one system call sends the data of all streams.
pub struct Yield(bool);

impl Yield {
    /// Creates a yield for one task.
    pub fn new() -> Yield {
        Yield(false)
    }
    /// Alternates between `Pending` and `Ready`, starting with `Pending`. Before it returns `Pending`, it schedules the
    /// task behind those that are already ready.
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

/// Resolves to the future's output, or to `None` if `limit` completes first.
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
