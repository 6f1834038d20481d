//! gRPC over HTTP/2 on a calloop loop, one thread: listeners and server streams, links to servers and exchanges on
//! them. What has truly left or reached a socket is watched by its frame headers (`tansy_frames::tap`).

pub mod exchange;
pub mod io;
pub mod link;
pub mod server;
pub mod side;

use calloop::futures::Scheduler;
use calloop::timer::TimeoutFuture;
use calloop::LoopHandle;
use std::future::Future;
use std::time::Duration;

/// Starts tasks on the loop.
#[derive(Clone)]
pub struct Spawner {
    handle: LoopHandle<'static, ()>,
    scheduler: Scheduler<()>,
}

impl Spawner {
    /// A spawner for a loop; its executor is inserted there.
    pub fn new(handle: LoopHandle<'static, ()>) -> std::io::Result<Spawner> {
        let (executor, scheduler) = calloop::futures::executor::<()>().map_err(std::io::Error::other)?;
        let inserted = handle.insert_source(executor, |(), _, _| {});
        inserted.map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok(Spawner { handle, scheduler })
    }
    /// Runs a task on the loop until it ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        // The one error is a loop that has ended, and with it all tasks.
        let _ = self.scheduler.schedule(task);
    }
    /// Ends after so long.
    pub fn sleep(&self, span: Duration) -> TimeoutFuture {
        TimeoutFuture::from_duration(&self.handle, span)
    }
    /// The loop.
    pub fn handle(&self) -> &LoopHandle<'static, ()> {
        &self.handle
    }
}

/// Ends with `Some` of the future's output, or `None` if `limit` ends first.
pub async fn within<F: Future>(limit: impl Future<Output = ()>, future: F) -> Option<F::Output> {
    let (mut limit, mut future) = (Box::pin(limit), Box::pin(future));
    std::future::poll_fn(move |cx| {
        if let std::task::Poll::Ready(out) = future.as_mut().poll(cx) {
            return std::task::Poll::Ready(Some(out));
        }
        limit.as_mut().poll(cx).map(|()| None)
    })
    .await
}
