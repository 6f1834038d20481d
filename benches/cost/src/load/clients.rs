//! The clients of a load, run on their own event loop.

use super::call::{call, framed_request};
use super::{Load, Measurement};
use crate::error::{system_error, BenchError};
use crate::programs::function_names;
use bytes::Bytes;
use calloop::EventLoop;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tansy_net_grpc::link::{Limits, Link};
use tansy_net_sockets::Spawner;

/// Connections that the calls are spread over.
const CONNECTIONS: usize = 8;
/// Stride through the functions: a prime, so that each client calls all of them.
const FUNCTION_STEP: usize = 7919;
/// Lowest and highest latency that the histogram distinguishes, in nanoseconds.
const LATENCY_BOUNDS: (u64, u64) = (1_000, 60_000_000_000);
/// Significant digits of the histogram.
const LATENCY_DIGITS: u8 = 3;
/// Time after the end of a closed loop to wait for open calls.
const DRAIN_PERIOD: Duration = Duration::from_millis(200);
/// Time to keep calls open before [`hold_calls`] reads its figure.
const HOLD_PERIOD: Duration = Duration::from_secs(3);

/// Calls served so far by all closed loops of this process.
pub static SERVED_CALLS: AtomicU64 = AtomicU64::new(0);

/// Puts a load on the server at `target` and returns the results.
pub fn run(target: SocketAddr, load: Load) -> Result<Measurement, BenchError> {
    let mut clients = Clients::new(target, &function_names(load.functions))?;
    match load.rate {
        None => clients.run_closed(load)?,
        Some(rate) => clients.run_at_rate(load, rate)?,
    }
    Ok(clients.results.measurement(load.duration))
}

/// Opens `calls` calls to a server that does not answer, and calls `read` while they are open.
pub fn hold_calls(
    target: SocketAddr,
    calls: usize,
    read: impl Fn() -> f64,
) -> Result<f64, BenchError> {
    let mut clients = Clients::new(target, &function_names(1))?;
    for index in 0..calls {
        let (link, body) = (clients.link(index), clients.body(index));
        clients.spawner.spawn(async move {
            call(&link, body).await;
        });
    }
    let start = Instant::now();
    while start.elapsed() < HOLD_PERIOD {
        clients.dispatch(Duration::from_millis(50))?;
    }
    Ok(read())
}

struct Clients {
    event_loop: EventLoop<'static, ()>,
    spawner: Spawner,
    links: Vec<Rc<Link>>,
    bodies: Rc<Vec<Bytes>>,
    results: Rc<Results>,
}

impl Clients {
    fn new(target: SocketAddr, functions: &[String]) -> Result<Clients, BenchError> {
        let event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
        let spawner = Spawner::new(event_loop.handle()).map_err(system_error("event loop"))?;
        let links = (0..CONNECTIONS)
            .map(|_| Link::new(spawner.clone(), target, Limits::default()))
            .collect();
        let bodies = functions.iter().cloned().map(framed_request).collect();
        Ok(Clients {
            event_loop,
            spawner,
            links,
            bodies: Rc::new(bodies),
            results: Rc::new(Results::new()?),
        })
    }

    fn link(&self, index: usize) -> Rc<Link> {
        self.links[index % CONNECTIONS].clone()
    }

    fn body(&self, index: usize) -> Bytes {
        self.bodies[index % self.bodies.len()].clone()
    }

    fn dispatch(&mut self, wait: Duration) -> Result<(), BenchError> {
        Ok(self.event_loop.dispatch(Some(wait), &mut ())?)
    }

    /// Keeps `load.open` calls open: each client sends its next call when the previous one has ended.
    fn run_closed(&mut self, load: Load) -> Result<(), BenchError> {
        let start = Instant::now();
        for index in 0..load.open {
            self.spawn_client(index, start, load.duration);
        }
        while start.elapsed() < load.duration + DRAIN_PERIOD {
            self.dispatch(Duration::from_millis(10))?;
        }
        Ok(())
    }

    fn spawn_client(&self, index: usize, start: Instant, duration: Duration) {
        let (results, link) = (self.results.clone(), self.link(index));
        let bodies = self.bodies.clone();
        let mut next = index;
        self.spawner.spawn(async move {
            while start.elapsed() < duration {
                let due = Instant::now();
                next = next.wrapping_add(FUNCTION_STEP);
                let served = call(&link, bodies[next % bodies.len()].clone()).await;
                results.record(served, due);
                if served {
                    SERVED_CALLS.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }

    /// Starts `rate` calls per second, and waits for the last of them up to twice the duration.
    fn run_at_rate(&mut self, load: Load, rate: u64) -> Result<(), BenchError> {
        let start = Instant::now();
        let total = rate * load.duration.as_secs();
        let mut sent = 0u64;
        while sent < total || self.results.open.get() > 0 && start.elapsed() < load.duration * 2 {
            // Latency counts from the scheduled time, so that delayed sends are included (no coordinated omission).
            let due = start + Duration::from_nanos(1_000_000_000 * sent / rate);
            let may_open = self.results.open.get() < load.open;
            if sent < total && due <= Instant::now() && may_open {
                self.spawn_call(sent as usize, due);
                sent += 1;
                continue;
            }
            let wait = if sent < total {
                due.saturating_duration_since(Instant::now())
            } else {
                Duration::from_millis(5)
            };
            self.dispatch(wait)?;
        }
        Ok(())
    }

    fn spawn_call(&self, index: usize, due: Instant) {
        let (results, link) = (self.results.clone(), self.link(index));
        let body = self.body(index);
        results.open.set(results.open.get() + 1);
        self.spawner.spawn(async move {
            let served = call(&link, body).await;
            results.open.set(results.open.get() - 1);
            results.record(served, due);
        });
    }
}

/// Outcomes and latencies of the calls so far.
struct Results {
    served: Cell<u64>,
    failed: Cell<u64>,
    /// Open calls of a fixed-rate load; not counted in a closed loop.
    open: Cell<usize>,
    latencies: RefCell<Histogram<u64>>,
}

impl Results {
    fn new() -> Result<Results, BenchError> {
        let (lowest, highest) = LATENCY_BOUNDS;
        let latencies = Histogram::new_with_bounds(lowest, highest, LATENCY_DIGITS)?;
        Ok(Results {
            served: Cell::new(0),
            failed: Cell::new(0),
            open: Cell::new(0),
            latencies: RefCell::new(latencies),
        })
    }

    fn record(&self, served: bool, due: Instant) {
        if !served {
            self.failed.set(self.failed.get() + 1);
            return;
        }
        self.served.set(self.served.get() + 1);
        let latency = due.elapsed().as_nanos() as u64;
        self.latencies.borrow_mut().saturating_record(latency);
    }

    fn measurement(&self, duration: Duration) -> Measurement {
        Measurement {
            served: self.served.get(),
            failed: self.failed.get(),
            duration,
            latencies: self.latencies.borrow().clone(),
        }
    }
}
