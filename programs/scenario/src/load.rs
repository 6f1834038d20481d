//! The clients of a day: so many calls a second, some cancelled, some read slowly.

use bytes::Bytes;
use calloop::EventLoop;
use hdrhistogram::Histogram;
use http::{HeaderValue, Method, Request};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};
use tansy_frames::grpc::{format_timeout, frame, Code};
use tansy_inference::inference as pb;
use tansy_net_grpc::exchange::{Ending, Exchange, ExchangeEvent};
use tansy_net_grpc::link::{Limits, Link};
use tansy_net_sockets::Spawner;

/// What the clients are.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where the front ends are.
    pub fronts: Vec<SocketAddr>,
    /// Functions and what their clients give them, microseconds (0: nothing is said): the first are asked for most often.
    pub functions: Vec<(String, i64)>,
    /// Milliseconds of work of a call.
    pub work: RangeInclusive<i64>,
    /// Calls a second.
    pub rate: u64,
    /// Seconds.
    pub seconds: f64,
    /// Of all random choices.
    pub seed: u64,
    /// The calls' ids begin with this.
    pub prefix: &'static str,
    /// Calls are of one answer, read at once and never cancelled; functions are asked for equally often.
    pub plain: bool,
    /// No call is begun once this is set.
    pub until: Option<Arc<AtomicBool>>,
}

/// What the clients saw.
#[derive(Debug)]
pub struct Seen {
    /// Calls begun.
    pub begun: u64,
    /// Answered in full.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Cancelled by plan.
    pub cancelled: u64,
    /// No connection, or it was lost.
    pub lost: u64,
    /// Microseconds until the last piece, of served calls.
    pub latency: Histogram<u64>,
    /// Microseconds until the first piece, of served streams.
    pub first: Histogram<u64>,
}

impl Seen {
    fn nothing() -> Result<Seen, hdrhistogram::CreationError> {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3);
        let (latency, first) = (histogram()?, histogram()?);
        Ok(Seen {
            begun: 0,
            served: 0,
            refused: 0,
            failed: 0,
            cancelled: 0,
            lost: 0,
            latency,
            first,
        })
    }
}

/// Front ends that a client asks at most, one after the other, while it reaches none.
const TRIES: usize = 4;
/// The code of a RST_STREAM for a stream that was not looked at.
const REFUSED_STREAM: u32 = 7;
/// Connections of each front end.
const CONNECTIONS: usize = 4;
const CALL: &str = "http://day/inference.GRPCInferenceService/ModelInfer";
const STREAM: &str = "http://day/inference.GRPCInferenceService/ModelStreamInfer";

struct Counts {
    open: Cell<u64>,
    seen: RefCell<Seen>,
}

#[derive(Clone, Copy, PartialEq)]
enum Ended {
    Served,
    Refused,
    Failed,
    Cancelled,
    Lost,
    /// No connection could be had: nothing was sent.
    NotSent,
}

/// Runs the clients on this thread; `told` gets the part of the day that has passed, again and again.
pub fn run(plan: &Plan, told: &mpsc::Sender<f64>) -> Result<Seen, crate::cast::Error> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let link = |n: usize| {
        Link::new(
            spawner.clone(),
            plan.fronts[n / CONNECTIONS],
            Limits::default(),
        )
    };
    let links: Vec<Rc<Link>> = (0..plan.fronts.len() * CONNECTIONS).map(link).collect();
    let seen = Seen::nothing()?;
    let counts = Rc::new(Counts {
        open: Cell::new(0),
        seen: RefCell::new(seen),
    });
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let (start, mut total) = (Instant::now(), (plan.rate as f64 * plan.seconds) as u64);
    let (mut sent, mut announced) = (0u64, 0);
    let mut seconds = plan.seconds;
    while sent < total || counts.open.get() > 0 && start.elapsed().as_secs_f64() < seconds + 5.0 {
        if sent < total
            && plan
                .until
                .as_ref()
                .is_some_and(|u| u.load(Ordering::Relaxed))
        {
            (total, seconds) = (sent, start.elapsed().as_secs_f64());
        }
        let due = start + Duration::from_nanos(1_000_000_000 * sent / plan.rate);
        if sent < total && due <= Instant::now() {
            let call = one(
                spawner.clone(),
                counts.clone(),
                &links,
                plan,
                sent,
                &mut rng,
            );
            spawner.spawn(call);
            sent += 1;
            continue;
        }
        let passed = (start.elapsed().as_secs_f64() / plan.seconds * 1000.0) as u64;
        if passed > announced {
            announced = passed;
            // The script may have ended.
            let _ = told.send(passed as f64 / 1000.0);
        }
        let wait = if sent < total {
            due.saturating_duration_since(Instant::now())
        } else {
            Duration::from_millis(2)
        };
        event_loop.dispatch(Some(wait), &mut ())?;
    }
    let left = counts.open.get();
    drop(event_loop);
    let mut seen = counts.seen.replace(Seen::nothing()?);
    seen.begun = sent;
    seen.lost += left;
    Ok(seen)
}

/// One client's call, all its choices made by the seed.
fn one(
    spawner: Spawner,
    counts: Rc<Counts>,
    links: &[Rc<Link>],
    plan: &Plan,
    n: u64,
    rng: &mut fastrand::Rng,
) -> impl std::future::Future<Output = ()> + 'static {
    // A client that reaches nobody asks the next front end.
    let first = rng.usize(..links.len());
    let others: Vec<Rc<Link>> = (0..TRIES)
        .map(|n| links[(first + n * (CONNECTIONS + 1)) % links.len()].clone())
        .collect();
    // Some functions are asked for more often than others.
    let place = (rng.f64() * if plan.plain { 1.0 } else { rng.f64() } * plan.functions.len() as f64)
        as usize;
    let (function, budget) = plan.functions[place.min(plan.functions.len() - 1)].clone();
    let stream = !plan.plain && rng.f64() < 0.7;
    let pieces = if stream { rng.i64(1..=5) } else { 1 };
    let work = rng.i64(plan.work.clone());
    let cancel =
        (!plan.plain && rng.f64() < 0.05).then(|| Duration::from_micros(rng.u64(200..40_000)));
    let slow = (!plan.plain && rng.f64() < 0.02).then(|| Duration::from_millis(rng.u64(5..60)));
    let integer = |n| pb::InferParameter {
        parameter_choice: Some(pb::infer_parameter::ParameterChoice::Int64Param(n)),
    };
    let input = pb::model_infer_request::InferInputTensor {
        name: "x".into(),
        datatype: "INT64".into(),
        shape: vec![1],
        contents: Some(pb::InferTensorContents {
            int64_contents: vec![n as i64],
            ..Default::default()
        }),
        ..Default::default()
    };
    let message = pb::ModelInferRequest {
        model_name: function,
        id: format!("{}-{n}", plan.prefix),
        parameters: BTreeMap::from([
            ("pieces".to_string(), integer(pieces)),
            ("work_ms".to_string(), integer(work)),
            // Without one, the class's deadline holds.
            ("timeout".to_string(), integer(budget.max(0))),
        ]),
        inputs: vec![input],
        ..Default::default()
    };
    let body = frame(&message.encode_to_vec());
    async move {
        counts.open.set(counts.open.get() + 1);
        let began = Instant::now();
        let mut first = None;
        let call = async {
            let mut ended = Ended::NotSent;
            for link in &others {
                ended = exchange(
                    &spawner,
                    link,
                    body.clone(),
                    stream,
                    budget,
                    slow,
                    &mut first,
                )
                .await;
                if ended != Ended::NotSent {
                    break;
                }
            }
            ended
        };
        let ended = match cancel {
            Some(after) => tansy_net_sockets::within(spawner.sleep(after), call)
                .await
                .unwrap_or(Ended::Cancelled),
            None => call.await,
        };
        counts.open.set(counts.open.get() - 1);
        let mut s = counts.seen.borrow_mut();
        match ended {
            Ended::Served => {
                s.served += 1;
                s.latency
                    .saturating_record(began.elapsed().as_micros() as u64);
                if let Some(first) = first {
                    s.first.saturating_record(first);
                }
            }
            Ended::Refused => s.refused += 1,
            Ended::Failed => s.failed += 1,
            Ended::Cancelled => s.cancelled += 1,
            Ended::Lost | Ended::NotSent => s.lost += 1,
        }
    }
}

async fn exchange(
    spawner: &Spawner,
    link: &Rc<Link>,
    body: Bytes,
    stream: bool,
    budget: i64,
    slow: Option<Duration>,
    first: &mut Option<u64>,
) -> Ended {
    let began = Instant::now();
    let Ok(mut connection) = link.connection().await else {
        return Ended::NotSent;
    };
    if poll_fn(|cx| connection.send.poll_ready(cx)).await.is_err() {
        return Ended::NotSent;
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(if stream { STREAM } else { CALL });
    let headers = request.headers_mut();
    headers.insert("te", HeaderValue::from_static("trailers"));
    headers.insert("content-type", HeaderValue::from_static("application/grpc"));
    if !stream && budget > 0 {
        if let Ok(value) = HeaderValue::from_str(&format_timeout(budget)) {
            headers.insert("grpc-timeout", value);
        }
    }
    let Ok(mut exchange) = Exchange::start(connection, request, body, !stream, 1 << 20) else {
        return Ended::NotSent;
    };
    let mut ended = None;
    loop {
        match poll_fn(|cx| exchange.poll_event(cx)).await {
            ExchangeEvent::Message(bytes) => {
                first.get_or_insert(began.elapsed().as_micros() as u64);
                if stream {
                    let m = pb::ModelStreamInferResponse::decode(bytes).unwrap_or_default();
                    ended = match m.error_message.as_str() {
                        "" => Some(Ended::Served),
                        e if e.starts_with("refused:") => Some(Ended::Refused),
                        _ => Some(Ended::Failed),
                    };
                }
                if let Some(span) = slow {
                    spawner.sleep(span).await;
                }
                exchange.release_capacity();
            }
            ExchangeEvent::Ended(ending, _) => {
                return match ending {
                    Ending::Status(Code::Ok, _) if stream => ended.unwrap_or(Ended::Failed),
                    Ending::Status(Code::Ok, _) => Ended::Served,
                    Ending::Status(Code::Unavailable, _) => Ended::Refused,
                    Ending::Status(..) => Ended::Failed,
                    // The server says that it has not looked at it.
                    Ending::GoawayBelow | Ending::NeverLeft | Ending::Reset(REFUSED_STREAM) => {
                        Ended::NotSent
                    }
                    _ => Ended::Lost,
                };
            }
        }
    }
}
