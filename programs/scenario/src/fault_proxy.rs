//! Runs the fault proxy on a separate thread.

use crate::error::ScenarioError;
use calloop::EventLoop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;
use tansy_audit::{Entry, Link, Mark};
use tansy_net_sockets::Spawner;
use tansy_standin_relay::FaultProxy;

/// Maximum time between two checks of the job queue.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

type Job = Box<dyn FnOnce(&Rc<FaultProxy>) + Send>;

/// Handle of a fault proxy that runs on a separate thread. The thread exits when the handle is dropped.
pub struct FaultProxyThread(mpsc::Sender<Job>);

impl FaultProxyThread {
    /// Starts a proxy without routes.
    pub fn start() -> FaultProxyThread {
        let (jobs, queue) = mpsc::channel::<Job>();
        std::thread::spawn(move || run(&queue));
        FaultProxyThread(jobs)
    }

    /// Runs a function on the proxy's thread and returns its result.
    fn run_on_proxy_thread<T: Send + 'static>(
        &self,
        job: impl FnOnce(&Rc<FaultProxy>) -> T + Send + 'static,
    ) -> Result<T, ScenarioError> {
        let (sender, result) = mpsc::channel();
        let job: Job = Box::new(move |proxy| drop(sender.send(job(proxy))));
        self.0.send(job).map_err(|_| ScenarioError::ProxyEnded)?;
        result.recv().map_err(|_| ScenarioError::ProxyEnded)
    }

    /// Opens a listener whose connections are forwarded to `target`; returns the listener's address.
    ///
    /// # Errors
    /// The proxy's thread has exited, or the listener can't be opened.
    pub fn route(&self, link: Link, target: SocketAddr) -> Result<SocketAddr, ScenarioError> {
        Ok(self.run_on_proxy_thread(move |proxy| proxy.route(link, target))??)
    }

    /// Closes all connections of a route.
    ///
    /// # Errors
    /// The proxy's thread has exited.
    pub fn cut(&self, link: Link) -> Result<(), ScenarioError> {
        self.run_on_proxy_thread(move |proxy| proxy.cut(link))
    }

    /// Pauses or resumes a route in both directions.
    ///
    /// # Errors
    /// The proxy's thread has exited.
    pub fn set_paused(&self, link: Link, paused: bool) -> Result<(), ScenarioError> {
        self.run_on_proxy_thread(move |proxy| proxy.set_paused(link, paused))
    }

    /// Records an event that is not visible in the traffic.
    ///
    /// # Errors
    /// The proxy's thread has exited.
    pub fn mark(&self, mark: Mark) -> Result<(), ScenarioError> {
        self.run_on_proxy_thread(move |proxy| proxy.mark(mark))
    }

    /// Records such an event at an earlier time: `at` is in microseconds since the recording began.
    ///
    /// # Errors
    /// The proxy's thread has exited.
    pub fn mark_at(&self, at: i64, mark: Mark) -> Result<(), ScenarioError> {
        self.run_on_proxy_thread(move |proxy| proxy.mark_at(at, mark))
    }

    /// Microseconds since the recording began.
    ///
    /// # Errors
    /// The proxy's thread has exited.
    pub fn now(&self) -> Result<i64, ScenarioError> {
        self.run_on_proxy_thread(|proxy| proxy.now())
    }

    /// Removes and returns the recorded entries, sorted by time.
    ///
    /// # Errors
    /// The proxy's thread has exited.
    pub fn take_entries(&self) -> Result<Vec<Entry>, ScenarioError> {
        let mut entries = self.run_on_proxy_thread(|proxy| proxy.take_entries())?;
        entries.sort_by_key(|entry| entry.at);
        Ok(entries)
    }
}

/// Runs the proxy until the handle is dropped.
fn run(queue: &mpsc::Receiver<Job>) {
    let Ok(mut event_loop) = EventLoop::<'static, ()>::try_new() else {
        return;
    };
    let Ok(spawner) = Spawner::new(event_loop.handle()) else {
        return;
    };
    let proxy = FaultProxy::new(spawner);
    while event_loop.dispatch(Some(POLL_INTERVAL), &mut ()).is_ok() {
        loop {
            match queue.try_recv() {
                Ok(job) => job(&proxy),
                Err(mpsc::TryRecvError::Empty) => break,
                Err(mpsc::TryRecvError::Disconnected) => return,
            }
        }
    }
}
