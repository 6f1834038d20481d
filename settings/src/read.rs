//! Concrete values into the program's own types, and the checks that span several fields.

use crate::value::{Kind, Node, Record, Scalar};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansy_dispatch::{DispatchConfig, FunctionSpec};
use tansy_syntax::Diagnostic;
use tansyrouter as module;

/// What of the settings is not the ledger's.
#[derive(Clone, Debug)]
pub struct Gateway {
    /// Address of the gRPC port.
    pub listen: SocketAddr,
    /// Address of the HTTP/1.1 side port.
    pub http: SocketAddr,
    /// What is held at a shutdown may take so long, microseconds.
    pub drain: i64,
    /// Connections of clients at once.
    pub connections: usize,
    /// Streams of one connection.
    pub streams: u32,
    /// Bytes of one message.
    pub message: usize,
    /// Bytes of one request's headers.
    pub headers: u32,
    /// Bytes unread for one of a client's streams.
    pub stream_window: u32,
    /// Bytes unread for one of a worker's streams.
    pub worker_window: u32,
    /// Time to send a connection's preface, microseconds.
    pub preface: i64,
    /// Where a call tells its class.
    pub class_key: String,
    /// Where it tells its tenant.
    pub tenant_key: String,
    /// Where it tells its work.
    pub work_key: String,
}

/// One line of a list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerLine {
    /// For the ledger.
    pub listed: tansy_dispatch::WorkerRecord,
    /// Where it is.
    pub address: SocketAddr,
    /// Which process of it; a later one is larger.
    pub incarnation: u64,
}

/// A front end that keeps the agreed log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Its name.
    pub name: String,
    /// Where its siblings reach it.
    pub address: SocketAddr,
}

/// The fleet that a front end is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its name.
    pub name: String,
    /// The front end's name in it.
    pub me: String,
    /// Where siblings reach it.
    pub listen: SocketAddr,
    /// Who keeps the agreed log.
    pub seats: Vec<Seat>,
    /// A seat's file; none: it keeps no log.
    pub state: Option<std::path::PathBuf>,
    /// No two front ends contradict each other for longer, microseconds.
    pub within: i64,
    /// How long a front end that is cut off goes on with strict fields, microseconds; changes of them wait for it.
    pub stay: i64,
    /// Bound on the error of any clock's rate, parts in a million.
    pub clock_ppm: i64,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The ledger's and the module's.
    pub front: DispatchConfig,
    /// The rest.
    pub gateway: Gateway,
    /// Workers that stand in the settings themselves.
    pub workers: Vec<WorkerLine>,
    /// The fleet, if it is in one.
    pub fleet: Option<Fleet>,
}

/// Reads fields of a concrete record; the schema has made sure of names and types.
#[derive(Clone, Copy)]
struct Fields<'a> {
    record: &'a Record,
    node: &'a Node,
}

impl<'a> Fields<'a> {
    fn of(node: &'a Node) -> Option<Fields<'a>> {
        match &node.kind {
            Kind::Record(record) => Some(Fields { record, node }),
            _ => None,
        }
    }
    fn node(self, name: &str) -> Option<&'a Node> {
        self.record.fields.get(name).map(|f| &f.node)
    }
    fn inner(self, name: &str) -> Option<Fields<'a>> {
        self.node(name).and_then(Fields::of)
    }
    fn scalar(self, name: &str) -> Option<&'a Scalar> {
        match &self.node(name)?.kind {
            Kind::Scalar(s) => Some(s),
            _ => None,
        }
    }
    /// A whole number, duration (microseconds) or size (bytes).
    fn int(self, name: &str) -> Option<i64> {
        match self.scalar(name)? {
            Scalar::Int(n) | Scalar::Duration(n) | Scalar::Size(n) => Some(*n),
            _ => None,
        }
    }
    fn number(self, name: &str) -> Option<f64> {
        match self.scalar(name)? {
            Scalar::Int(n) => Some(*n as f64),
            Scalar::Float(x) => Some(*x),
            _ => None,
        }
    }
    fn text(self, name: &str) -> Option<&'a str> {
        match self.scalar(name)? {
            Scalar::Text(t) => Some(t),
            _ => None,
        }
    }
    fn flag(self, name: &str) -> Option<bool> {
        match self.scalar(name)? {
            Scalar::Bool(b) => Some(*b),
            _ => None,
        }
    }
    fn list(self, name: &str) -> Option<&'a [Node]> {
        match &self.node(name)?.kind {
            Kind::List(items, _) => Some(items),
            _ => None,
        }
    }
    fn records(self, name: &str) -> Option<Vec<(&'a str, Fields<'a>)>> {
        let inner = self.inner(name)?;
        inner
            .record
            .fields
            .iter()
            .map(|(n, f)| Some((n.as_str(), Fields::of(&f.node)?)))
            .collect()
    }
    fn wrong(self, name: &str, path: &str, what: String, help: &str) -> Diagnostic {
        let span = self.node(name).unwrap_or(self.node).span;
        Diagnostic::new(span, what).at(path).help(help)
    }
}

fn texts(nodes: &[Node]) -> Vec<String> {
    let text = |n: &Node| match &n.kind {
        Kind::Scalar(Scalar::Text(t)) => Some(t.clone()),
        _ => None,
    };
    nodes.iter().filter_map(text).collect()
}

fn address(
    f: Fields<'_>,
    name: &str,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Option<SocketAddr> {
    let text = f.text(name)?;
    let read = text.parse::<SocketAddr>().ok();
    if read.is_none() {
        let help = "want an address and a port, as \"127.0.0.1:8001\" or \"[::1]:8001\"";
        errors.push(f.wrong(name, path, format!("{text:?} is no address"), help));
    }
    read
}

/// The place of a name in a list; an empty one is the first.
fn place(
    f: Fields<'_>,
    name: &str,
    path: &str,
    known: &[String],
    home: usize,
    errors: &mut Vec<Diagnostic>,
) -> Option<usize> {
    let text = f.text(name)?;
    if text.is_empty() {
        return Some(home);
    }
    let found = known.iter().position(|k| k == text);
    if found.is_none() {
        let help = format!("want one of {}", known.join(", "));
        errors.push(f.wrong(name, path, format!("{text:?} is not there"), &help));
    }
    found
}

fn class(f: Fields<'_>, name: &str, errors: &mut Vec<Diagnostic>) -> Option<module::Class> {
    let window = f.int("window")?;
    let group = match f.text("group")? {
        "zone" => module::Group::Zone,
        "cell" => module::Group::Cell,
        _ => module::Group::All,
    };
    let effect = match f.text("effect")? {
        "keyed" => module::Effect::Keyed { group, window },
        "unsafe" => module::Effect::Unsafe,
        _ => module::Effect::Safe,
    };
    let path = |field: &str| format!("classes.{name}.{field}");
    if matches!(effect, module::Effect::Keyed { .. }) && window <= 0 {
        let what = "a keyed class without a window".to_string();
        errors.push(f.wrong(
            "window",
            &path("window"),
            what,
            "want how long its workers drop repeats, as window: 30s",
        ));
    }
    if f.int("aim")? > f.int("deadline")? {
        let what = "the aim is after the deadline".to_string();
        errors.push(f.wrong(
            "aim",
            &path("aim"),
            what,
            "want an aim of at most the deadline",
        ));
    }
    Some(module::Class {
        aim: f.int("aim")?,
        aim_stretch: f.number("aim_stretch")?,
        deadline: f.int("deadline")?,
        effect,
        worth: f.number("worth")?,
        late_worth: f.number("late_worth")?,
        streamed: f.flag("streamed")?,
    })
}

fn function(
    name: &str,
    f: Fields<'_>,
    classes: &[String],
    errors: &mut Vec<Diagnostic>,
) -> Option<FunctionSpec> {
    let path = format!("functions.{name}.class");
    if f.text("class") == Some("") {
        let help = format!("want one of {}", classes.join(", "));
        errors.push(f.wrong("class", &path, "no class is named".into(), &help));
        return None;
    }
    Some(FunctionSpec {
        name: name.to_string(),
        class: place(f, "class", &path, classes, 0, errors)?,
        lanes: u32::try_from(f.int("lanes")?).ok()?,
        memory_mb: f.int("memory")? as f64 / 1e6,
        load_time: f.int("load_time"),
        versions: texts(f.list("versions")?),
    })
}

/// A function that is agreed on by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    /// Its class, by name.
    pub class: String,
    /// Calls that one instance runs at a time.
    pub lanes: u32,
    /// Memory of one instance, MB.
    pub memory_mb: f64,
    /// Usual time of a load, microseconds, if known.
    pub load_time: Option<i64>,
    /// The versions that are named to clients.
    pub versions: Vec<String>,
}

pub(crate) fn one_function(node: &Node, errors: &mut Vec<Diagnostic>) -> Option<Function> {
    let f = Fields::of(node)?;
    let class = f.text("class")?;
    if class.is_empty() {
        let help = "want the name of a class, as class: \"chat\"";
        errors.push(f.wrong("class", "class", "no class is named".into(), help));
    }
    Some(Function {
        class: class.to_string(),
        lanes: u32::try_from(f.int("lanes")?).ok()?,
        memory_mb: f.int("memory")? as f64 / 1e6,
        load_time: f.int("load_time"),
        versions: texts(f.list("versions")?),
    })
}

pub(crate) fn worker_list(
    node: &Node,
    zones: &[String],
    home: usize,
    errors: &mut Vec<Diagnostic>,
) -> Option<Vec<WorkerLine>> {
    let all = Fields::of(node)?;
    let mut out: Vec<WorkerLine> = Vec::new();
    let mut names = BTreeSet::new();
    for (n, item) in all.list("workers")?.iter().enumerate() {
        let f = Fields::of(item)?;
        let path = |field: &str| format!("workers[{n}].{field}");
        let name = f.text("name")?;
        if !names.insert(name) {
            let what = format!("a second worker named {name:?}");
            errors.push(f.wrong(
                "name",
                &path("name"),
                what,
                "want a name of its own for each",
            ));
        }
        let address = address(f, "address", &path("address"), errors);
        let zone = place(f, "zone", &path("zone"), zones, home, errors);
        let (Some(address), Some(zone)) = (address, zone) else {
            continue;
        };
        let listed = tansy_dispatch::WorkerRecord {
            name: name.to_string(),
            kind: usize::try_from(f.int("kind")?).ok()?,
            cell: u64::try_from(f.int("cell")?).ok()?,
            zone,
            state: match f.text("state")? {
                "ready" => 0,
                "draining" => 1,
                _ => 2,
            },
            age: f.int("started"),
            relative_size: f.number("share")?,
        };
        let incarnation = u64::try_from(f.int("incarnation")?).ok()?;
        out.push(WorkerLine {
            listed,
            address,
            incarnation,
        });
    }
    Some(out)
}

fn fleet(f: Fields<'_>, errors: &mut Vec<Diagnostic>) -> Option<Fleet> {
    let mut seats = Vec::new();
    for (n, item) in f.list("seats")?.iter().enumerate() {
        let seat = Fields::of(item)?;
        let address = address(
            seat,
            "address",
            &format!("fleet.seats[{n}].address"),
            errors,
        );
        seats.push(Seat {
            name: seat.text("name")?.to_string(),
            address: address?,
        });
    }
    let names: BTreeSet<&str> = seats.iter().map(|s| s.name.as_str()).collect();
    let addresses: BTreeSet<SocketAddr> = seats.iter().map(|s| s.address).collect();
    let each_once = names.len() == seats.len() && addresses.len() == seats.len();
    if ![1, 3, 5, 7].contains(&seats.len()) || !each_once {
        let what = format!(
            "{} seats, {} names, {} addresses",
            seats.len(),
            names.len(),
            addresses.len()
        );
        let help = "want 1, 3, 5 or 7 front ends that keep the agreed log, each once, as \
                    seats: [{name: \"a\", address: \"127.0.0.1:7001\"}]";
        errors.push(f.wrong("seats", "fleet.seats", what, help));
    }
    let listen = address(f, "listen", "fleet.listen", errors);
    let text = |name: &str| f.text(name).map(str::to_string);
    Some(Fleet {
        name: text("name")?,
        me: text("me")?,
        listen: listen?,
        seats,
        state: text("state").filter(|s| !s.is_empty()).map(Into::into),
        within: f.int("within")?,
        stay: f.int("stay")?,
        clock_ppm: f.int("clock_ppm")?,
    })
}

pub(crate) fn settings(node: &Node, errors: &mut Vec<Diagnostic>) -> Option<Settings> {
    let all = Fields::of(node)?;
    let (front, worker, prices) = (
        all.inner("front")?,
        all.inner("worker")?,
        all.inner("prices")?,
    );
    let zones = texts(all.list("zones")?);
    let classes = all.records("classes")?;
    let class_names: Vec<String> = classes.iter().map(|(n, _)| n.to_string()).collect();
    let functions = all.records("functions")?;
    if classes.is_empty() {
        errors.push(all.wrong(
            "classes",
            "classes",
            "no class is given".into(),
            "want at least one class of calls",
        ));
    }
    if functions.is_empty() {
        errors.push(all.wrong(
            "functions",
            "functions",
            "no function is given".into(),
            "want at least one function",
        ));
    }
    let zone = place(front, "zone", "front.zone", &zones, 0, errors);
    let (me, siblings) = (front.int("me")?, front.int("siblings")?);
    if me >= siblings {
        let what = format!("front end {me} of {siblings}");
        errors.push(front.wrong(
            "me",
            "front.me",
            what,
            "want a number below siblings, from 0",
        ));
    }
    let mut module_classes = Vec::new();
    for (name, f) in &classes {
        module_classes.push(class(*f, name, errors)?);
    }
    let mut specs = Vec::new();
    for (name, f) in &functions {
        specs.extend(function(name, *f, &class_names, errors));
    }
    let tenants = all.records("tenants")?;
    let tenant = |(_, f): &(&str, Fields<'_>)| {
        Some(module::Tenant {
            quota_per_s: f.number("quota_per_s")?,
            fraction: f.number("fraction")?,
        })
    };
    let listen = address(front, "listen", "front.listen", errors);
    let http = address(front, "http", "front.http", errors);
    let workers = worker_list(node, &zones, zone.unwrap_or(0), errors)?;
    let ration = worker.inner("ration").map(|r| {
        Some(module::Ration {
            free: r.number("free")?,
            part: r.number("part")?,
            period: r.int("period")?,
        })
    });
    let kinds = |n: &Node| match n.kind {
        Kind::Scalar(Scalar::Size(b)) => Some(b as f64 / 1e6),
        _ => None,
    };
    let settings = module::Settings {
        me: usize::try_from(me).ok()?,
        siblings: usize::try_from(siblings).ok()?,
        zone: zone.unwrap_or(0),
        classes: module_classes,
        tenants: tenants.iter().map(tenant).collect::<Option<_>>()?,
        over_quota_worth: all.number("over_quota_worth")?,
        worth_by_work: all.flag("worth_by_work")?,
        list_pushed: front.flag("list_pushed")?,
        ask_within: front.int("ask_within")?,
        max_stay_away: front.int("max_stay_away")?,
        answer_slack: front.int("answer_slack")?,
        tick: front.int("tick")?,
        may_cancel: worker.flag("may_cancel")?,
        may_probe: worker.flag("may_probe")?,
        may_order: worker.flag("may_order")?,
        // Never: no call has two attempts open at once.
        may_double: false,
        max_attempts: u32::try_from(worker.int("max_attempts")?).ok()?,
        max_held: usize::try_from(front.int("max_held")?).ok()?,
        connect_timeout: worker.int("connect_timeout")?,
        when_absent: match worker.text("when_absent")? {
            "miss" => module::WhenAbsent::Miss,
            _ => module::WhenAbsent::Load,
        },
        idle_life: worker.int("idle_life")?,
        order_timeout: worker.int("order_timeout")?,
        ration: match ration {
            Some(r) => Some(r?),
            None => None,
        },
        tells_warm: worker.flag("tells_warm")?,
        tells_crowd: worker.flag("tells_crowd")?,
        reports: match worker.text("reports")? {
            "pulled" => module::Reports::Pulled,
            "absent" => module::Reports::Absent,
            _ => module::Reports::Attached,
        },
        kind_memory_mb: worker
            .list("kind_memory")?
            .iter()
            .filter_map(kinds)
            .collect(),
        cross_zone_price: prices.number("cross_zone")?,
        fetch_price: prices.number("fetch")?,
        idle_price: prices.number("idle")?,
        probe_price: prices.number("probe")?,
        cold_from: worker.number("cold_from")?,
        warm_up: worker.int("warm_up")?,
        fall_multiple: worker.number("fall_multiple")?,
        fall_after: worker.int("fall_after")?,
        drain_grace: worker.int("drain_grace")?,
    };
    let gateway = Gateway {
        listen: listen?,
        http: http?,
        drain: front.int("drain")?,
        connections: usize::try_from(front.int("connections")?).ok()?,
        streams: u32::try_from(front.int("streams")?).ok()?,
        message: usize::try_from(front.int("message")?).ok()?,
        headers: u32::try_from(front.int("headers")?).ok()?,
        stream_window: u32::try_from(front.int("stream_window")?).ok()?,
        worker_window: u32::try_from(worker.int("stream_window")?).ok()?,
        preface: front.int("preface")?,
        class_key: front.text("class_key")?.to_ascii_lowercase(),
        tenant_key: front.text("tenant_key")?.to_ascii_lowercase(),
        work_key: front.text("work_key")?.to_ascii_lowercase(),
    };
    let front = DispatchConfig {
        settings,
        classes: class_names,
        tenants: tenants.iter().map(|(n, _)| n.to_string()).collect(),
        zones,
        functions: specs,
        max_call_time: front.int("longest")?,
        seed: u64::try_from(front.int("seed")?).ok()?,
    };
    let fleet = match all.inner("fleet") {
        Some(f) => Some(fleet(f, errors)?),
        None => None,
    };
    Some(Settings {
        front,
        gateway,
        workers,
        fleet,
    })
}
