//! Streams to calls and attempts, and the rules judged on them.

use crate::record::{Entry, Link, Mark, What};
use crate::wire::{Direction, Seen};
use prost::Message;
use std::collections::BTreeMap;
use tansy_inference::inference as pb;

/// What a repeat of a class's call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Safe,
    /// Dropped by all workers within so many microseconds.
    Keyed(i64),
    /// It acts twice.
    Unsafe,
}

/// The rules' figures, all in microseconds.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By function: its class's effect and deadline.
    pub functions: BTreeMap<String, (Effect, i64)>,
    /// A list is read so long after it was changed, at most.
    pub list_read: i64,
    /// After being told, nothing new goes to a worker that leaves.
    pub drain_grace: i64,
    /// A fresh worker's capacity: share at first, time until all of it, cores.
    pub cold: (f64, i64, f64),
    /// It falls when sent more than this multiple of its capacity over this time.
    pub fall: (f64, i64),
    /// Load orders: so many, and so many for each call taken, in any such time.
    pub ration: Option<(f64, f64, i64)>,
    /// An order may leave so long after it was given: its connection has to be made first.
    pub connect: i64,
    /// A relay's clock and a peer's may differ by so much.
    pub slack: i64,
}

/// A breach.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule's number; 0: two attempts open at once.
    pub rule: u8,
    /// When.
    pub at: i64,
    /// The call's id, or the worker.
    pub what: String,
    /// In words.
    pub why: String,
}

/// How a call ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// An answer.
    Served,
    /// A refusal.
    Refused,
    /// A failure.
    Failed,
    /// The client left before.
    Left,
    /// Its front end was killed.
    Killed,
    /// None of these.
    Open,
}

/// What an audit found.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Calls started.
    pub started: usize,
    /// By how they ended.
    pub ends: BTreeMap<End, usize>,
    /// Attempts sent to workers.
    pub attempts: usize,
    /// Attempts beyond each call's first.
    pub repeats: usize,
    /// Orders to load.
    pub loads: usize,
    /// Breaches, by time.
    pub breaches: Vec<Breach>,
}

#[derive(Clone, Debug)]
struct Attempt {
    front: usize,
    worker: usize,
    from: i64,
    to: Option<i64>,
    never_ran: bool,
    headers: bool,
    work: i64,
    timeout: Option<i64>,
}

struct Call {
    front: usize,
    at: i64,
    function: String,
    due: i64,
    end: End,
    ended: Option<i64>,
    finals: usize,
    left: Option<i64>,
    attempts: Vec<Attempt>,
}

#[derive(Default)]
struct Stream {
    path: String,
    timeout: Option<i64>,
    ids: Vec<String>,
    answered: bool,
    began: i64,
    order: bool,
    closed: bool,
}

struct Connection {
    link: Link,
    opened: i64,
    up: Direction,
    down: Direction,
    streams: BTreeMap<u32, Stream>,
}

/// What became of one call.
#[derive(Clone, Debug)]
pub struct History {
    /// Its id.
    pub id: String,
    /// The front end that its client asked.
    pub front: usize,
    /// When it reached that.
    pub at: i64,
    /// Its function.
    pub function: String,
    /// How it ended.
    pub end: End,
    /// Each attempt: when it left, the time that the worker was given, and whether it is known not to have run.
    pub attempts: Vec<(i64, Option<i64>, bool)>,
}

/// Judges a record.
pub fn audit(entries: &[Entry], rules: &Rules) -> Audit {
    judge(entries, rules).0
}

/// Judges a record, and tells what became of each call, in the order in which they came.
pub fn judge(entries: &[Entry], rules: &Rules) -> (Audit, Vec<History>) {
    let mut judge = Judge {
        rules,
        connections: BTreeMap::new(),
        calls: BTreeMap::new(),
        leaves: BTreeMap::new(),
        starts: Vec::new(),
        orders: Vec::new(),
        kills: Vec::new(),
        stops: Vec::new(),
        out: Audit::default(),
    };
    for e in entries {
        judge.entry(e);
    }
    let history = |(id, c): (&String, &Call)| History {
        id: id.clone(),
        front: c.front,
        at: c.at,
        function: c.function.clone(),
        end: c.end,
        attempts: c
            .attempts
            .iter()
            .map(|a| (a.from, a.timeout, a.never_ran))
            .collect(),
    };
    let mut calls: Vec<History> = judge.calls.iter().map(history).collect();
    calls.sort_by_key(|c| c.at);
    (judge.conclude(entries.last().map_or(0, |e| e.at)), calls)
}

struct Judge<'a> {
    rules: &'a Rules,
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<String, Call>,
    leaves: BTreeMap<(usize, usize), i64>,
    starts: Vec<(i64, usize)>,
    orders: Vec<(i64, usize)>,
    kills: Vec<(i64, usize)>,
    /// When a front end's process was stopped, and woken or killed.
    stops: Vec<(usize, i64, Option<i64>)>,
    out: Audit,
}

fn number(p: Option<&pb::InferParameter>) -> Option<i64> {
    use pb::infer_parameter::ParameterChoice::{Int64Param, Uint64Param};
    match p?.parameter_choice.as_ref()? {
        Int64Param(n) => Some(*n),
        Uint64Param(n) => i64::try_from(*n).ok(),
        _ => None,
    }
}

/// `grpc-timeout` in microseconds.
fn timeout(text: &str) -> Option<i64> {
    let (digits, unit) = text.split_at(text.len().checked_sub(1)?);
    let n: i64 = digits.parse().ok()?;
    Some(match unit {
        "H" => n.saturating_mul(3_600_000_000),
        "M" => n.saturating_mul(60_000_000),
        "S" => n.saturating_mul(1_000_000),
        "m" => n.saturating_mul(1000),
        "u" => n,
        "n" => n / 1000,
        _ => return None,
    })
}

fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    fields
        .iter()
        .find(|(k, _)| k == name)
        .map(|(_, v)| v.as_str())
}

impl Judge<'_> {
    fn breach(&mut self, rule: u8, at: i64, what: impl Into<String>, why: impl Into<String>) {
        self.out.breaches.push(Breach {
            rule,
            at,
            what: what.into(),
            why: why.into(),
        });
    }

    fn entry(&mut self, e: &Entry) {
        match &e.what {
            What::Open(Link::Peer { .. }) => {}
            What::Open(link) => {
                let (up, down) = (Direction::new(true), Direction::new(false));
                let c = Connection {
                    link: *link,
                    opened: e.at,
                    up,
                    down,
                    streams: BTreeMap::new(),
                };
                self.connections.insert(e.connection, c);
            }
            What::Bytes(from_client, bytes) => {
                let Some(c) = self.connections.get_mut(&e.connection) else {
                    return;
                };
                let seen = if *from_client {
                    c.up.take(bytes)
                } else {
                    c.down.take(bytes)
                };
                let link = c.link;
                for (stream, seen) in seen {
                    self.seen(e.at, e.connection, link, *from_client, stream, seen);
                }
            }
            What::Close(by) => {
                let Some(c) = self.connections.remove(&e.connection) else {
                    return;
                };
                if matches!(c.link, Link::Client { .. }) && *by != Some(true) {
                    // A front end that drops its clients still owes them their answers.
                    return;
                }
                let open = c.streams.into_iter().filter(|(_, s)| !s.closed);
                for (_, s) in open.collect::<Vec<_>>() {
                    self.closed(e.at, c.link, &s, None);
                }
            }
            What::Mark(mark) => match *mark {
                Mark::Leaves { front, worker } => {
                    self.leaves.insert((front, worker), e.at);
                }
                Mark::Returns { front, worker } => {
                    self.leaves.remove(&(front, worker));
                }
                Mark::Started { worker } => self.starts.push((e.at, worker)),
                Mark::Fell { worker } => self.breach(
                    4,
                    e.at,
                    format!("worker {worker}"),
                    "fell over: sent more than a cold worker bears",
                ),
                Mark::Killed { front } => {
                    self.woken(front, e.at);
                    self.kills.push((e.at, front));
                    let held = self
                        .calls
                        .values_mut()
                        .filter(|c| c.front == front && c.end == End::Open);
                    held.for_each(|c| (c.end, c.ended) = (End::Killed, Some(e.at)));
                }
                Mark::Stopped { front } => self.stops.push((front, e.at, None)),
                Mark::Woken { front } => self.woken(front, e.at),
                Mark::Proposed { .. } | Mark::InForce { .. } => {}
            },
        }
    }

    fn seen(
        &mut self,
        at: i64,
        connection: u64,
        link: Link,
        from_client: bool,
        stream: u32,
        seen: Seen,
    ) {
        let Some(c) = self.connections.get_mut(&connection) else {
            return;
        };
        if let Seen::Goaway(last) = seen {
            if !from_client {
                let above: Vec<u32> = c.streams.range(last + 1..).map(|(n, _)| *n).collect();
                for n in above {
                    if let Some(s) = c.streams.remove(&n).filter(|s| !s.closed) {
                        self.closed(at, link, &s, Some(true));
                        return self.seen(
                            at,
                            connection,
                            link,
                            from_client,
                            stream,
                            Seen::Goaway(last),
                        );
                    }
                }
            }
            return;
        }
        let mut s = c.streams.remove(&stream).unwrap_or_default();
        match (link, seen) {
            (_, Seen::Headers(fields)) if from_client => {
                s.path = field(&fields, ":path")
                    .unwrap_or("")
                    .rsplit('/')
                    .next()
                    .unwrap_or("")
                    .to_string();
                s.timeout = field(&fields, "grpc-timeout").and_then(timeout);
                s.began = at;
            }
            (Link::Client { front }, Seen::Message(m)) if from_client => {
                let opened = c.opened;
                self.called(at, front, opened, &mut s, &m);
            }
            (Link::Worker { front, worker }, Seen::Message(m)) if from_client => {
                self.sent(at, front, worker, &mut s, &m);
            }
            (Link::Client { .. }, Seen::Message(m)) if s.path == "ModelStreamInfer" => {
                self.piece(at, &m)
            }
            (Link::Worker { .. }, Seen::Message(_)) => self.answering(&s),
            (Link::Client { .. }, Seen::Headers(fields)) => {
                if let (Some(status), "ModelInfer") =
                    (field(&fields, "grpc-status"), s.path.as_str())
                {
                    let end = match status {
                        "0" => End::Served,
                        "14" => End::Refused,
                        _ => End::Failed,
                    };
                    s.answered = true;
                    for id in s.ids.clone() {
                        self.answered(at, &id, end);
                    }
                }
            }
            (Link::Worker { .. }, Seen::Headers(fields)) => match field(&fields, "grpc-status") {
                Some(status) => {
                    let promised = field(&fields, "tansy-never-ran").is_some() && status != "0";
                    s.closed = true;
                    self.closed(at, link, &s, Some(promised));
                }
                None => self.answering(&s),
            },
            (Link::Client { .. }, Seen::Reset(_)) if from_client => {
                s.closed = true;
                self.closed(at, link, &s, None);
            }
            (Link::Worker { .. }, Seen::Reset(code)) if !s.closed => {
                s.closed = true;
                let refused = !from_client && code == 7 && !self.has_headers(&s);
                self.closed(at, link, &s, refused.then_some(true));
            }
            _ => {}
        }
        if let Some(c) = self.connections.get_mut(&connection) {
            c.streams.insert(stream, s);
        }
    }

    fn woken(&mut self, front: usize, at: i64) {
        let open = self
            .stops
            .iter_mut()
            .filter(|s| s.0 == front && s.2.is_none());
        open.for_each(|s| s.2 = Some(at));
    }

    /// Whether its front end's process was stopped in the call's time: it can't have kept that.
    fn stopped(&self, c: &Call) -> bool {
        self.stops
            .iter()
            .any(|s| s.0 == c.front && s.1 <= c.due && s.2.is_none_or(|to| to >= c.at))
    }

    fn has_headers(&self, s: &Stream) -> bool {
        let attempt = |id: &String| {
            self.calls
                .get(id)
                .and_then(|c| c.attempts.iter().rfind(|a| a.from >= s.began))
        };
        s.ids.iter().filter_map(attempt).any(|a| a.headers)
    }

    fn answering(&mut self, s: &Stream) {
        for id in &s.ids {
            if let Some(a) = self
                .calls
                .get_mut(id)
                .and_then(|c| c.attempts.iter_mut().rfind(|a| a.from >= s.began))
            {
                a.headers = true;
            }
        }
    }

    /// A call has reached its front end.
    fn called(&mut self, at: i64, front: usize, opened: i64, s: &mut Stream, message: &[u8]) {
        if s.path != "ModelInfer" && s.path != "ModelStreamInfer" {
            return;
        }
        let Ok(m) = pb::ModelInferRequest::decode(message) else {
            return;
        };
        let Some((_, deadline)) = self.rules.functions.get(&m.model_name).copied() else {
            return;
        };
        let own = number(m.parameters.get("timeout")).filter(|_| s.path == "ModelStreamInfer");
        let told = [own, s.timeout]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(deadline);
        s.ids.push(m.id.clone());
        self.out.started += 1;
        // What was written to a process that was killed meanwhile reached nobody.
        let killed = self.kills.iter().any(|(t, f)| *f == front && *t >= opened);
        let call = Call {
            front,
            at,
            function: m.model_name,
            due: at + told,
            end: if killed { End::Killed } else { End::Open },
            ended: killed.then_some(at),
            finals: 0,
            left: None,
            attempts: Vec::new(),
        };
        if self.calls.insert(m.id.clone(), call).is_some() {
            self.breach(
                1,
                at,
                m.id,
                "the driver used an id twice: the record can't be judged",
            );
        }
    }

    /// An attempt or an order has left for a worker.
    fn sent(&mut self, at: i64, front: usize, worker: usize, s: &mut Stream, message: &[u8]) {
        let infer = s.path == "ModelInfer" || s.path == "ModelStreamInfer";
        let late = self.leaves.get(&(front, worker)).is_some_and(|told| {
            at > told + self.rules.list_read + self.rules.drain_grace + self.rules.slack
        });
        if s.path == "RepositoryModelLoad" {
            use pb::model_repository_parameter::ParameterChoice::Int64Param;
            let m = pb::RepositoryModelLoadRequest::decode(message).unwrap_or_default();
            let n = m
                .parameters
                .get("instances")
                .and_then(|p| p.parameter_choice.clone());
            s.order = true;
            if n != Some(Int64Param(0)) {
                self.orders.push((at, front));
                self.out.loads += 1;
                if late {
                    self.breach(
                        3,
                        at,
                        format!("worker {worker}"),
                        "a load order after the grace of its leaving",
                    );
                }
            }
        }
        if !infer {
            return;
        }
        let Ok(m) = pb::ModelInferRequest::decode(message) else {
            return;
        };
        self.out.attempts += 1;
        if late {
            self.breach(
                3,
                at,
                m.id.clone(),
                format!("an attempt at worker {worker} after the grace of its leaving"),
            );
        }
        let work = number(m.parameters.get("work_ms")).unwrap_or(0) * 1000;
        let slack = self.rules.slack;
        let Some(c) = self.calls.get_mut(&m.id) else {
            return self.breach(
                1,
                at,
                m.id,
                "an attempt of a call that no client has started",
            );
        };
        let effect = self
            .rules
            .functions
            .get(&c.function)
            .map_or(Effect::Unsafe, |f| f.0);
        let mut found: Vec<(u8, String)> = Vec::new();
        if c.ended.is_some_and(|t| at > t + slack) && c.end != End::Killed {
            found.push((1, "an attempt after the final answer".into()));
        }
        let ran: Vec<i64> = c
            .attempts
            .iter()
            .filter(|a| !a.never_ran)
            .map(|a| a.from)
            .collect();
        match (effect, ran.first()) {
            (Effect::Unsafe, Some(_)) => {
                found.push((
                    2,
                    "a further attempt of an unsafe call that may have run".into(),
                ));
            }
            (Effect::Keyed(window), Some(first)) if at > first + window => {
                found.push((
                    2,
                    "a further attempt of a keyed call after its window".into(),
                ));
            }
            _ => {}
        }
        self.out.repeats += usize::from(!c.attempts.is_empty());
        let timeout = s.timeout;
        let attempt = Attempt {
            front,
            worker,
            from: at,
            to: None,
            never_ran: false,
            headers: false,
            work,
            timeout,
        };
        c.attempts.push(attempt);
        s.ids = vec![m.id.clone()];
        for (rule, why) in found {
            self.breach(rule, at, m.id.clone(), why);
        }
    }

    /// A stream has closed: an attempt has ended, or a client has left. `proof`: it never ran.
    fn closed(&mut self, at: i64, link: Link, s: &Stream, proof: Option<bool>) {
        for id in &s.ids {
            let Some(c) = self.calls.get_mut(id) else {
                continue;
            };
            match link {
                Link::Client { .. } if !s.answered => {
                    if c.end == End::Open {
                        (c.end, c.left) = (End::Left, Some(at));
                        c.ended = Some(at);
                    }
                }
                Link::Client { .. } | Link::Peer { .. } => {}
                Link::Worker { front, worker } => {
                    let open = c.attempts.iter_mut().rfind(|a| {
                        a.to.is_none()
                            && a.front == front
                            && a.worker == worker
                            && a.from >= s.began
                    });
                    if let Some(a) = open {
                        a.to = Some(at);
                        a.never_ran = proof == Some(true) && !a.headers;
                    }
                }
            }
        }
    }

    /// A piece for a client on a stream.
    fn piece(&mut self, at: i64, message: &[u8]) {
        use pb::infer_parameter::ParameterChoice::BoolParam;
        let Ok(m) = pb::ModelStreamInferResponse::decode(message) else {
            return self.breach(1, at, "", "a piece that is no message");
        };
        let r = m.infer_response.unwrap_or_default();
        let last = r
            .parameters
            .get("triton_final_response")
            .and_then(|p| p.parameter_choice.clone());
        let end = match m.error_message.as_str() {
            "" => End::Served,
            e if e.starts_with("refused:") => End::Refused,
            _ => End::Failed,
        };
        if let Some(c) = self.calls.get(&r.id) {
            if matches!(c.end, End::Served | End::Refused | End::Failed) {
                return self.breach(1, at, r.id, "a piece after the final answer");
            }
        }
        if last == Some(BoolParam(true)) {
            self.answered(at, &r.id, end);
        }
    }

    /// A final answer has reached a client.
    fn answered(&mut self, at: i64, id: &str, end: End) {
        let slack = self.rules.slack;
        let excused = self.calls.get(id).is_some_and(|c| self.stopped(c));
        let Some(c) = self.calls.get_mut(id) else {
            return self.breach(1, at, id, "an answer to a call that was never started");
        };
        c.finals += 1;
        let mut found: Vec<(u8, String)> = Vec::new();
        if c.finals > 1 {
            found.push((1, "a second final answer".into()));
        }
        if at > c.due + slack && c.end == End::Open && !excused {
            found.push((
                1,
                format!(
                    "its final answer comes {} us after its client's time",
                    at - c.due
                ),
            ));
        }
        let effect = self
            .rules
            .functions
            .get(&c.function)
            .map_or(Effect::Unsafe, |f| f.0);
        if end == End::Refused
            && effect == Effect::Unsafe
            && c.attempts.iter().any(|a| !a.never_ran)
        {
            found.push((2, "a refusal of an unsafe call that may have run".into()));
        }
        if c.end == End::Open {
            (c.end, c.ended) = (end, Some(at));
        }
        for (rule, why) in found {
            self.breach(rule, at, id, why);
        }
    }

    fn conclude(mut self, end: i64) -> Audit {
        let mut found: Vec<Breach> = Vec::new();
        for (id, c) in &self.calls {
            *self.out.ends.entry(c.end).or_default() += 1;
            if c.end == End::Open && end > c.due + self.rules.slack && !self.stopped(c) {
                let why = "no final answer within its client's time".to_string();
                found.push(Breach {
                    rule: 1,
                    at: c.due,
                    what: id.clone(),
                    why,
                });
            }
        }
        // The relay reads two connections in no order of its own, so ends and beginnings are compared at the end.
        for (id, c) in &self.calls {
            for (n, next) in c.attempts.iter().enumerate() {
                let open = |a: &&Attempt| a.to.is_none_or(|t| t > next.from + self.rules.slack);
                if let Some(open) = c.attempts[..n].iter().find(open) {
                    let why = format!(
                        "an attempt at worker {} while the one at worker {} is open",
                        next.worker, open.worker
                    );
                    found.push(Breach {
                        rule: 0,
                        at: next.from,
                        what: id.clone(),
                        why,
                    });
                }
            }
        }
        for (started, worker) in &self.starts {
            found.extend(self.cold(*started, *worker));
        }
        found.extend(self.rationed());
        self.out.breaches.extend(found);
        self.out.breaches.sort_by_key(|b| b.at);
        self.out
    }

    /// Rule 4: work sent to a worker that has just started, by all front ends, against what it can do.
    fn cold(&self, started: i64, worker: usize) -> Option<Breach> {
        let ((from, warm, cores), (multiple, span)) = (self.rules.cold, self.rules.fall);
        let all = self.calls.values().flat_map(|c| &c.attempts);
        let mut sent: Vec<(i64, i64)> = all
            .filter(|a| a.worker == worker && a.from >= started && a.from < started + warm)
            .map(|a| (a.from, a.work))
            .collect();
        sent.sort();
        for (n, (at, _)) in sent.iter().enumerate() {
            if at - started < span {
                continue;
            }
            let work: i64 = sent[..=n]
                .iter()
                .filter(|(t, _)| at - t <= span)
                .map(|(_, w)| w)
                .sum();
            let part = (from + (1.0 - from) * (at - started) as f64 / warm as f64).min(1.0);
            let able = multiple * part * cores * span as f64;
            if work as f64 > able {
                let why = format!(
                    "{work} us of work in {span} us, over {multiple} times what it can do ({able:.0} us)"
                );
                return Some(Breach {
                    rule: 4,
                    at: *at,
                    what: format!("worker {worker}"),
                    why,
                });
            }
        }
        None
    }

    /// Rule 5: orders to load against calls taken, by front end, in every window that ends with an order.
    fn rationed(&self) -> Vec<Breach> {
        let Some((free, part, span)) = self.rules.ration else {
            return Vec::new();
        };
        let mut out = Vec::new();
        for (n, (at, front)) in self.orders.iter().enumerate() {
            // One that was killed comes back as another, with nothing given and nothing taken.
            let born = self
                .kills
                .iter()
                .filter(|(t, f)| f == front && t <= at)
                .map(|(t, _)| *t)
                .max()
                .unwrap_or(0);
            // Given in two windows, they may leave within one: what is sure to be of one window is counted.
            let within = |t: i64| t >= born && t <= *at && at - t < span - self.rules.connect;
            let given = self.orders[..=n]
                .iter()
                .filter(|(t, f)| f == front && within(*t))
                .count() as f64;
            // A call that came just before the window's edge at the relay may have come just after it at the front end.
            let near = |t: i64| t >= born && t <= *at && at - t < span + self.rules.slack;
            let taken = self
                .calls
                .values()
                .filter(|c| c.front == *front && near(c.at))
                .count() as f64;
            if given > free + part * taken {
                let why = format!("{given} orders to load for {taken} calls taken");
                out.push(Breach {
                    rule: 5,
                    at: *at,
                    what: format!("front end {front}"),
                    why,
                });
            }
        }
        out
    }
}
