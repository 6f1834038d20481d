//! The protocol of a stand-in worker.

use crate::fault::Faults;
use crate::machine::{Entry, Machine, Met, Profile};
use base64::Engine as _;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};
use tansy_frames::grpc::{frame, Code};
use tansy_inference::inference as pb;
use tansy_inference::names;
use tansy_inference::orca::OrcaLoadReport;
use tansy_inference::scan;
use tansy_net_grpc::server::{
    poll_write, respond_trailers_only, respond_unary as unary, response_headers, status_trailers,
    Limits, RequestMessages, Server,
};
use tansy_net_grpc::status_server;
use tansy_net_sockets::{within, Spawner};

/// A stand-in worker on a listener.
pub struct Standin {
    spawner: Spawner,
    address: SocketAddr,
    /// What goes wrong at it.
    pub faults: Faults,
    machine: RefCell<Machine>,
    server: RefCell<Option<Rc<Server>>>,
    epoch: Instant,
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, Waker>>,
    running: RefCell<HashMap<u64, u32>>,
    keeper: RefCell<Option<Waker>>,
    changed: Cell<bool>,
    life: Cell<u64>,
    /// Calls that ran to their end, or that began to.
    pub ran: Cell<u64>,
}

/// How a call left the machine: told when its task ends, also when that is dropped.
struct Visit {
    standin: Rc<Standin>,
    call: u64,
    function: String,
    running: bool,
    life: u64,
}

impl Drop for Visit {
    fn drop(&mut self) {
        let s = &self.standin;
        s.waiting.borrow_mut().remove(&self.call);
        let started = s.running.borrow_mut().remove(&self.call).is_some();
        // What ran before a restart took no lane of what came after.
        if self.life == s.life.get() {
            let now = s.now();
            s.machine
                .borrow_mut()
                .leave(self.call, &self.function, self.running || started, now);
            s.wake();
        }
    }
}

impl Standin {
    /// Serves a listener. `warm`: it is taken as having run for long.
    pub fn start(
        spawner: Spawner,
        listener: TcpListener,
        profile: Profile,
        warm: bool,
    ) -> io::Result<Rc<Standin>> {
        let address = listener.local_addr()?;
        let standin = Rc::new(Standin {
            spawner: spawner.clone(),
            address,
            faults: Faults::default(),
            machine: RefCell::new(Machine::new(profile, 0, warm)),
            server: RefCell::new(None),
            epoch: Instant::now(),
            next: Cell::new(0),
            waiting: RefCell::new(HashMap::new()),
            running: RefCell::new(HashMap::new()),
            keeper: RefCell::new(None),
            changed: Cell::new(false),
            life: Cell::new(0),
            ran: Cell::new(0),
        });
        let inner = standin.clone();
        let handler = Rc::new(move |request, respond| {
            let task = serve(inner.clone(), request, respond);
            inner.spawner.spawn(task);
        });
        let server = Server::start(spawner.clone(), listener, Limits::default(), handler)?;
        *standin.server.borrow_mut() = Some(server);
        spawner.spawn(keep(standin.clone()));
        Ok(standin)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends all its connections at once.
    pub fn cut(&self) {
        if let Some(server) = &*self.server.borrow() {
            server.drop_connections();
        }
    }

    /// Tells its clients by GOAWAY to open no new stream on the connections that stand.
    pub fn shed(&self) {
        if let Some(server) = &*self.server.borrow() {
            server.drain_connections();
        }
    }

    /// Starts anew, empty and cold: connections end, instances are gone.
    pub fn restart(&self) {
        let profile = self.machine.borrow().profile().clone();
        self.life.set(self.life.get() + 1);
        *self.machine.borrow_mut() = Machine::new(profile, self.now(), false);
        self.cut();
    }

    /// Calls held, waiting or running.
    pub fn held(&self) -> usize {
        let (waiting, running, _) = self.machine.borrow().load_figures();
        waiting + running as usize
    }

    /// Whether it was pushed over while cold.
    pub fn fallen(&self) -> bool {
        self.machine.borrow().fallen()
    }

    /// Serves a control port: `GET /fault/WORD`, `/cut`, `/shed`, `/restart`, `/state`.
    pub fn control(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let inner = self.clone();
        let answers = Rc::new(move |path: &str| {
            let done = |()| ("200 OK", "done\n".to_string());
            match path {
                "/cut" => {
                    inner.cut();
                    done(())
                }
                "/shed" => {
                    inner.shed();
                    done(())
                }
                "/restart" => {
                    inner.restart();
                    done(())
                }
                "/state" => {
                    let (waiting, running, loads) = inner.machine.borrow().load_figures();
                    let (ran, fallen) = (inner.ran.get(), inner.fallen());
                    let text = format!(
                        "waiting={waiting} running={running} loads={loads} ran={ran} fallen={fallen}\n"
                    );
                    ("200 OK", text)
                }
                _ => match path
                    .strip_prefix("/fault/")
                    .map(|word| inner.faults.set(word))
                {
                    Some(Ok(())) => done(()),
                    Some(Err(why)) => ("400 Bad Request", format!("{why}\n")),
                    None => (
                        "404 Not Found",
                        "GET /fault/WORD, /cut, /shed, /restart or /state\n".into(),
                    ),
                },
            }
        });
        status_server::start(self.spawner.clone(), listener, answers)
    }

    fn now(&self) -> i64 {
        i64::try_from(self.epoch.elapsed().as_micros()).unwrap_or(i64::MAX)
    }

    /// Lets go on what may: calls that run now, and the keeper of the machine's timers.
    fn wake(&self) {
        self.let_run();
        self.changed.set(true);
        self.keeper
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    fn let_run(&self) {
        let started = self.machine.borrow_mut().started();
        for call in started {
            self.running.borrow_mut().insert(call, 0);
            if let Some(w) = self.waiting.borrow_mut().remove(&call) {
                w.wake();
            }
        }
    }

    fn report(&self) -> HeaderValue {
        let (machine, now) = (self.machine.borrow(), self.now());
        let (waiting, running, loads) = machine.load_figures();
        let part = machine.part(now) * machine.profile().cores;
        let named = [
            ("queued", waiting as f64),
            ("held", waiting as f64 + f64::from(running)),
            ("loads", loads as f64),
        ];
        let report = OrcaLoadReport {
            cpu_utilization: (f64::from(running) / part.max(0.01)).min(1.0),
            mem_utilization: machine.pinned(),
            named_metrics: named.into_iter().map(|(k, v)| (k.to_string(), v)).collect(),
            ..Default::default()
        };
        let text = base64::engine::general_purpose::STANDARD_NO_PAD.encode(report.encode_to_vec());
        HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static(""))
    }

    fn told(&self, code: Code, message: &str) -> HeaderMap {
        let mut map = status_trailers(code, message);
        map.insert(names::LOAD_REPORT, self.report());
        map
    }
}

/// Keeps the machine's timers.
async fn keep(standin: Rc<Standin>) {
    loop {
        let now = standin.now();
        standin.machine.borrow_mut().tick(now);
        standin.let_run();
        // Orders wait in the same table, above all calls.
        let orders = standin.machine.borrow_mut().orders();
        for (order, instances) in orders {
            standin.running.borrow_mut().insert(order, instances);
            if let Some(w) = standin.waiting.borrow_mut().remove(&order) {
                w.wake();
            }
        }
        let next = standin.machine.borrow().next();
        let span = next.map_or(3_600_000_000, |t| (t - now).max(0) + 100);
        let sleep = standin.spawner.sleep(Duration::from_micros(span as u64));
        let changed = poll_fn(|cx| {
            if standin.changed.replace(false) {
                return Poll::Ready(());
            }
            *standin.keeper.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        });
        within(sleep, changed).await;
    }
}

async fn serve(
    standin: Rc<Standin>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (parts, body) = request.into_parts();
    let method = parts
        .uri
        .path()
        .strip_prefix(names::SERVICE_PREFIX)
        .unwrap_or("")
        .to_string();
    let mut messages = RequestMessages::new(body, Limits::default().message_bytes);
    let mut first = None;
    let message = poll_fn(|cx| messages.poll_unary(&mut first, cx)).await;
    let Ok(Some(message)) = message else {
        return respond_trailers_only(
            &mut respond,
            status_trailers(Code::InvalidArgument, "no message"),
        );
    };
    let faults = &standin.faults;
    if let Some(code) = faults.reset.get() {
        return respond.send_reset(Reason::from(code));
    }
    if faults.refuse.get() {
        return respond.send_reset(Reason::REFUSED_STREAM);
    }
    if faults.silent.get() {
        // Until the other side lets go.
        return poll_fn(|cx| respond.poll_reset(cx).map(drop)).await;
    }
    if faults.hollow.get() {
        return unary(respond, &message, status_trailers(Code::Ok, ""));
    }
    if let Some(code) = faults.hollow_status.get() {
        let code = Code::parse(code.to_string().as_bytes());
        return respond_trailers_only(&mut respond, status_trailers(code, "as the fault says"));
    }
    if faults.boast.get() {
        return match method.as_str() {
            "RepositoryModelLoad" => {
                let mut map = standin.told(Code::Ok, "");
                map.insert(names::INSTANCE_COUNT, HeaderValue::from(1));
                unary(respond, &[], map);
            }
            "ServerReady" => unary(respond, &[8, 1], status_trailers(Code::Ok, "")),
            _ => {
                let mut map = status_trailers(Code::Unavailable, "not loaded here");
                map.insert(names::NEVER_RAN, HeaderValue::from_static("not-loaded"));
                respond_trailers_only(&mut respond, map)
            }
        };
    }
    match method.as_str() {
        "ModelInfer" | "ModelStreamInfer" => {
            infer(standin, method == "ModelInfer", message, respond).await
        }
        "RepositoryModelLoad" => load(standin, message, respond).await,
        "RepositoryModelUnload" => {
            let asked = pb::RepositoryModelUnloadRequest::decode(message).unwrap_or_default();
            let left = standin.machine.borrow_mut().unload(&asked.model_name);
            standin.wake();
            let mut map = standin.told(Code::Ok, "");
            map.insert(names::INSTANCE_COUNT, HeaderValue::from(left));
            unary(respond, &[], map);
        }
        "ServerReady" => {
            let answer = pb::ServerReadyResponse { ready: true }.encode_to_vec();
            let map = standin.told(Code::Ok, "");
            unary(respond, &answer, map);
        }
        "ServerLive" => {
            let answer = pb::ServerLiveResponse { live: true }.encode_to_vec();
            unary(respond, &answer, status_trailers(Code::Ok, ""));
        }
        _ => respond_trailers_only(
            &mut respond,
            status_trailers(Code::Unimplemented, "not of this stand-in"),
        ),
    }
}

async fn load(standin: Rc<Standin>, message: Bytes, mut respond: SendResponse<Bytes>) {
    use pb::model_repository_parameter::ParameterChoice;
    let asked = pb::RepositoryModelLoadRequest::decode(message).unwrap_or_default();
    let wanted = match asked
        .parameters
        .get(names::LOAD_INSTANCES)
        .and_then(|p| p.parameter_choice.clone())
    {
        Some(ParameterChoice::Int64Param(n)) => u32::try_from(n).unwrap_or(0),
        _ => 1,
    };
    let order = 1 << 63 | standin.next.replace(standin.next.get() + 1);
    let now = standin.now();
    let standing = standin
        .machine
        .borrow_mut()
        .order(order, &asked.model_name, wanted, now);
    standin.wake();
    let instances = match standing {
        Some(n) => n,
        None => {
            let done = poll_fn(|cx| {
                if let Some(n) = standin.running.borrow_mut().remove(&order) {
                    return Poll::Ready(Some(n));
                }
                standin
                    .waiting
                    .borrow_mut()
                    .insert(order, cx.waker().clone());
                respond.poll_reset(cx).map(|_| None)
            });
            let done = done.await;
            standin.waiting.borrow_mut().remove(&order);
            match done {
                Some(n) => n,
                None => return,
            }
        }
    };
    let mut map = standin.told(Code::Ok, "");
    map.insert(names::INSTANCE_COUNT, HeaderValue::from(instances));
    unary(respond, &[], map);
}

async fn infer(standin: Rc<Standin>, one: bool, message: Bytes, mut respond: SendResponse<Bytes>) {
    let read = match scan::InferRequest::parse(&message) {
        Ok(read) => read,
        Err(e) => {
            return respond_trailers_only(
                &mut respond,
                status_trailers(Code::InvalidArgument, &e.to_string()),
            )
        }
    };
    let number = |name: &str| read.parameter(name).and_then(|v| v.as_int());
    let pieces = number(names::RESPONSE_MESSAGES).map_or(1, |n| n.clamp(0, 100_000) as u32);
    let empty_final = read
        .parameter(names::EMPTY_FINAL_RESPONSE)
        .and_then(|v| v.as_bool())
        .unwrap_or(false);
    let function = read.model.to_string();
    let work = number(names::WORK_MS).map(|ms| ms.clamp(0, 3_600_000) * 1000);
    let work = work.unwrap_or_else(|| standin.machine.borrow().work(&function));
    let call = standin.next.replace(standin.next.get() + 1);
    let crowd = standin.machine.borrow().crowd(&function);
    let now = standin.now();
    let entry = standin
        .machine
        .borrow_mut()
        .arrive(call, &function, work, now);
    let promise = |value: &'static str, why: &str| {
        let mut map = standin.told(Code::Unavailable, why);
        map.insert(names::NEVER_RAN, HeaderValue::from_static(value));
        map
    };
    let (met, runs) = match entry {
        Entry::Run(met) => (met, true),
        Entry::Wait(met) => (met, false),
        Entry::NotLoaded => {
            return respond_trailers_only(&mut respond, promise("not-loaded", "not loaded here"))
        }
        Entry::TurnedAway => {
            return respond_trailers_only(&mut respond, promise("turned-away", "no room"))
        }
        Entry::Unknown => {
            let why = format!("no function {function:?} here");
            return respond_trailers_only(&mut respond, status_trailers(Code::NotFound, &why));
        }
    };
    let life = standin.life.get();
    let mut visit = Visit {
        standin: standin.clone(),
        call,
        function,
        running: runs,
        life,
    };
    standin.wake();
    if !runs {
        let began = poll_fn(|cx| {
            if standin.running.borrow().contains_key(&call) {
                return Poll::Ready(true);
            }
            standin
                .waiting
                .borrow_mut()
                .insert(call, cx.waker().clone());
            // What waits is dropped when its caller leaves; what runs goes on.
            respond.poll_reset(cx).map(|_| false)
        });
        if !began.await {
            return;
        }
        visit.running = true;
    }
    standin.ran.set(standin.ran.get() + 1);
    let faults = &standin.faults;
    if let Some(code) = faults.status.get() {
        let mut map = standin.told(
            Code::parse(code.to_string().as_bytes()),
            "as the fault says",
        );
        map.insert(names::CACHE_STATUS, HeaderValue::from_static("warm"));
        return respond_trailers_only(&mut respond, map);
    }
    if faults.lose.borrow().as_ref() == Some(&visit.function) {
        return respond.send_reset(Reason::INTERNAL_ERROR);
    }
    let response = answer(&message);
    let steps = if one { 1 } else { pieces };
    let span = standin.machine.borrow().stretched(work, standin.now()) as f64 * faults.slowness();
    let step = Duration::from_micros((span / f64::from(steps.max(1))) as u64);
    let mut send = if one {
        None
    } else {
        respond.send_response(response_headers(), false).ok()
    };
    for n in 0..steps {
        if !step.is_zero() {
            standin.spawner.sleep(step).await;
        }
        let silent = faults.silent.get() || faults.silent_after.get() == Some(n);
        if silent {
            // Until the other side lets go.
            match &mut send {
                Some(send) => poll_fn(|cx| send.poll_reset(cx).map(drop)).await,
                None => poll_fn(|cx| respond.poll_reset(cx).map(drop)).await,
            }
            return;
        }
        if faults.cut_after.get() == Some(n) {
            return standin.cut();
        }
        if let Some(send) = &mut send {
            let last = n + 1 == steps && !empty_final;
            let piece = if faults.corrupt.get() {
                Bytes::from_static(&[9, 0, 0, 0, 0])
            } else {
                piece(&response, last)
            };
            if !write(send, piece).await {
                break;
            }
        }
    }
    if faults.cut_after.get() == Some(steps) {
        // What was sent leaves first: only the trailers are lost.
        standin.spawner.sleep(Duration::from_millis(5)).await;
        return standin.cut();
    }
    let mut map = standin.told(Code::Ok, "");
    let word = match met {
        Met::Warm => "warm",
        Met::Began => "began-load",
        Met::Awaited => "awaited-load",
    };
    map.insert(names::CACHE_STATUS, HeaderValue::from_static(word));
    map.insert(names::CONCURRENT_CALLS, HeaderValue::from(crowd));
    let send = match send {
        Some(mut send) => {
            if empty_final || steps == 0 {
                let empty = pb::ModelInferResponse {
                    outputs: Vec::new(),
                    raw_output_contents: Vec::new(),
                    ..response
                };
                write(&mut send, piece(&empty, true)).await;
            }
            Some(send)
        }
        None => respond
            .send_response(response_headers(), false)
            .ok()
            .and_then(|mut send| {
                let bytes = frame(&response.encode_to_vec());
                let bytes = if faults.corrupt.get() {
                    Bytes::from_static(&[0, 0, 0, 0, 1, 0xff])
                } else {
                    bytes
                };
                if faults.twice.get() {
                    let _ = send.send_data(bytes.clone(), false);
                }
                send.send_data(bytes, false).ok().map(|()| send)
            }),
    };
    if let Some(mut send) = send {
        // Fails only if the other side has gone.
        let _ = if faults.no_trailers.get() {
            send.send_data(Bytes::new(), true)
        } else {
            send.send_trailers(map)
        };
    }
}

/// Every input as an output of the same name, datatype, shape and contents.
fn answer(message: &Bytes) -> pb::ModelInferResponse {
    let asked = pb::ModelInferRequest::decode(message.clone()).unwrap_or_default();
    let output = |t: pb::model_infer_request::InferInputTensor| {
        pb::model_infer_response::InferOutputTensor {
            name: t.name,
            datatype: t.datatype,
            shape: t.shape,
            parameters: BTreeMap::new(),
            contents: t.contents,
        }
    };
    pb::ModelInferResponse {
        model_name: asked.model_name,
        model_version: if asked.model_version.is_empty() {
            "1".into()
        } else {
            asked.model_version
        },
        id: asked.id,
        parameters: BTreeMap::new(),
        outputs: asked.inputs.into_iter().map(output).collect(),
        raw_output_contents: asked.raw_input_contents,
    }
}

fn piece(response: &pb::ModelInferResponse, last: bool) -> Bytes {
    use pb::infer_parameter::ParameterChoice;
    let mut response = response.clone();
    let flag = pb::InferParameter {
        parameter_choice: Some(ParameterChoice::BoolParam(last)),
    };
    response
        .parameters
        .insert(names::FINAL_RESPONSE.into(), flag);
    let piece = pb::ModelStreamInferResponse {
        error_message: String::new(),
        infer_response: Some(response),
    };
    frame(&piece.encode_to_vec())
}

/// Sends as the other side takes it; false: it has gone.
async fn write(send: &mut SendStream<Bytes>, mut bytes: Bytes) -> bool {
    poll_fn(|cx| poll_write(send, &mut bytes, cx)).await.is_ok()
}
