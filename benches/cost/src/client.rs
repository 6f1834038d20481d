//! The load: unary calls on a few connections, as many open as told, or so many a second whatever comes back.

use bytes::Bytes;
use calloop::EventLoop;
use hdrhistogram::Histogram;
use http::{Method, Request};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tansy_frames::grpc::{frame, Code};
use tansy_inference::inference as pb;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::{Limits, Link};
use tansy_net_sockets::Spawner;

/// Connections that the calls are spread over.
const CONNECTIONS: usize = 8;

/// What is asked for.
#[derive(Clone, Copy)]
pub struct Load {
    /// Calls open at once, at most.
    pub open: usize,
    /// Calls a second; none: as many as come back.
    pub rate: Option<u64>,
    /// For how long.
    pub span: Duration,
    /// Functions that are called in turn: `echo`, or `f0`, `f1` and so on.
    pub functions: usize,
}

/// What came of it.
pub struct Measured {
    pub served: u64,
    pub failed: u64,
    pub seconds: f64,
    latencies: Histogram<u64>,
}

impl Measured {
    /// A quantile of the latencies, microseconds.
    pub fn micros(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// One tensor of 64 numbers, as an answer.
pub fn answer() -> pb::ModelInferResponse {
    let raw: Vec<u8> = (0..64u32).flat_map(|n| (n as f32).to_le_bytes()).collect();
    pb::ModelInferResponse {
        model_name: "echo".into(),
        model_version: "1".into(),
        id: "1".into(),
        outputs: vec![pb::model_infer_response::InferOutputTensor {
            name: "y".into(),
            datatype: "FP32".into(),
            shape: vec![1, 64],
            ..Default::default()
        }],
        raw_output_contents: vec![raw.into()],
        ..Default::default()
    }
}

/// Framed requests of so many functions, `echo` if it is one.
fn requests(functions: usize) -> Rc<Vec<Bytes>> {
    let name = |n: usize| {
        if functions == 1 {
            "echo".to_string()
        } else {
            format!("f{n}")
        }
    };
    Rc::new((0..functions).map(|n| request(name(n))).collect())
}

fn request(function: String) -> Bytes {
    let a = answer();
    let input = pb::model_infer_request::InferInputTensor {
        name: "x".into(),
        datatype: "FP32".into(),
        shape: vec![1, 64],
        ..Default::default()
    };
    let message = pb::ModelInferRequest {
        model_name: function,
        id: a.id,
        inputs: vec![input],
        raw_input_contents: a.raw_output_contents,
        ..Default::default()
    };
    frame(&message.encode_to_vec())
}

async fn call(link: &Rc<Link>, body: Bytes) -> bool {
    let Ok(mut connection) = link.connection().await else {
        return false;
    };
    if poll_fn(|cx| connection.send.poll_ready(cx)).await.is_err() {
        return false;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() =
        http::Uri::from_static("http://bench/inference.GRPCInferenceService/ModelInfer");
    request
        .headers_mut()
        .insert("te", http::HeaderValue::from_static("trailers"));
    request.headers_mut().insert(
        "content-type",
        http::HeaderValue::from_static("application/grpc"),
    );
    let Ok(mut exchange) = Exchange::start(connection, request, body, true, 1 << 22) else {
        return false;
    };
    loop {
        if let ExchangeEvent::Ended(ending, _) = poll_fn(|cx| exchange.poll_event(cx)).await {
            return matches!(ending, Ending::Status(Code::Ok, _));
        }
    }
}

struct Run {
    served: Cell<u64>,
    failed: Cell<u64>,
    open: Cell<usize>,
    latencies: RefCell<Histogram<u64>>,
}

/// Calls served by all runs of this process so far.
pub static SERVED: AtomicU64 = AtomicU64::new(0);

pub fn run(target: SocketAddr, load: Load) -> Result<Measured, crate::Error> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let links: Vec<Rc<Link>> = (0..CONNECTIONS)
        .map(|_| Link::new(spawner.clone(), target, Limits::default()))
        .collect();
    let bodies = requests(load.functions);
    let run = Rc::new(Run {
        served: Cell::new(0),
        failed: Cell::new(0),
        open: Cell::new(0),
        latencies: RefCell::new(Histogram::new_with_bounds(1_000, 60_000_000_000, 3)?),
    });
    let start = Instant::now();
    let one = |n: usize, due: Instant| {
        let (run, link) = (run.clone(), links[n % CONNECTIONS].clone());
        let body = bodies[n % bodies.len()].clone();
        run.open.set(run.open.get() + 1);
        async move {
            let ok = call(&link, body).await;
            run.open.set(run.open.get() - 1);
            let count = if ok { &run.served } else { &run.failed };
            count.set(count.get() + 1);
            if ok {
                run.latencies
                    .borrow_mut()
                    .saturating_record(due.elapsed().as_nanos() as u64);
            }
        }
    };
    match load.rate {
        None => {
            for n in 0..load.open {
                let (run, link, bodies) =
                    (run.clone(), links[n % CONNECTIONS].clone(), bodies.clone());
                let mut next = n;
                spawner.spawn(async move {
                    while start.elapsed() < load.span {
                        let due = Instant::now();
                        // A step that goes through all functions, whatever the number of clients.
                        next = next.wrapping_add(7919);
                        let ok = call(&link, bodies[next % bodies.len()].clone()).await;
                        let count = if ok { &run.served } else { &run.failed };
                        count.set(count.get() + 1);
                        if ok {
                            SERVED.fetch_add(1, Ordering::Relaxed);
                            run.latencies
                                .borrow_mut()
                                .saturating_record(due.elapsed().as_nanos() as u64);
                        }
                    }
                });
            }
            while start.elapsed() < load.span + Duration::from_millis(200) {
                event_loop.dispatch(Some(Duration::from_millis(10)), &mut ())?;
            }
        }
        Some(rate) => {
            let (total, mut sent) = (rate * load.span.as_secs(), 0u64);
            while sent < total || run.open.get() > 0 && start.elapsed() < load.span * 2 {
                // A call counts from the moment at which it was due, not from when it could be sent.
                let due = start + Duration::from_nanos(1_000_000_000 * sent / rate);
                if sent < total && due <= Instant::now() && run.open.get() < load.open {
                    spawner.spawn(one(sent as usize, due));
                    sent += 1;
                    continue;
                }
                let wait = if sent < total {
                    due.saturating_duration_since(Instant::now())
                } else {
                    Duration::from_millis(5)
                };
                event_loop.dispatch(Some(wait), &mut ())?;
            }
        }
    }
    let seconds = load.span.as_secs_f64();
    let latencies = run.latencies.borrow().clone();
    Ok(Measured {
        served: run.served.get(),
        failed: run.failed.get(),
        seconds,
        latencies,
    })
}

/// Starts so many calls that are not answered, and reads a figure while they are held.
pub fn hold(target: SocketAddr, calls: usize, read: impl Fn() -> f64) -> Result<f64, crate::Error> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let links: Vec<Rc<Link>> = (0..CONNECTIONS)
        .map(|_| Link::new(spawner.clone(), target, Limits::default()))
        .collect();
    let body = request("echo".into());
    for n in 0..calls {
        let (link, body) = (links[n % CONNECTIONS].clone(), body.clone());
        spawner.spawn(async move {
            call(&link, body).await;
        });
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        event_loop.dispatch(Some(Duration::from_millis(50)), &mut ())?;
    }
    Ok(read())
}
