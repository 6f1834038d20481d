//! Concrete values as the program's own types, with the checks that span several fields.

use crate::record::{address, index_of, texts, RecordReader};
use crate::types::{Fleet, Function, Gateway, Settings, Voter, WorkerLine};
use crate::value::{Kind, Node, Scalar};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansy_dispatch::{DispatchConfig, FunctionSpec, WorkerRecord};
use tansy_syntax::Diagnostic;
use tansyrouter as router;

fn class(
    record: RecordReader<'_>,
    name: &str,
    errors: &mut Vec<Diagnostic>,
) -> Option<router::Class> {
    let window = record.int("window")?;
    let group = match record.text("group")? {
        "zone" => router::Group::Zone,
        "cell" => router::Group::Cell,
        _ => router::Group::All,
    };
    let effect = match record.text("effect")? {
        "keyed" => router::Effect::Keyed { group, window },
        "unsafe" => router::Effect::Unsafe,
        _ => router::Effect::Safe,
    };
    if matches!(effect, router::Effect::Keyed { .. }) && window <= 0 {
        errors.push(record.error(
            "window",
            &format!("classes.{name}.window"),
            "a keyed class without a window".to_string(),
            "want how long its workers drop repeats, as window: 30s",
        ));
    }
    if record.int("aim")? > record.int("deadline")? {
        errors.push(record.error(
            "aim",
            &format!("classes.{name}.aim"),
            "the aim is after the deadline".to_string(),
            "want an aim of at most the deadline",
        ));
    }
    Some(router::Class {
        latency_objective: record.int("aim")?,
        objective_per_work: record.number("aim_stretch")?,
        deadline: record.int("deadline")?,
        effect,
        priority_weight: record.number("worth")?,
        late_weight: record.number("late_worth")?,
        streamed: record.flag("streamed")?,
    })
}

fn function(
    name: &str,
    record: RecordReader<'_>,
    classes: &[String],
    errors: &mut Vec<Diagnostic>,
) -> Option<FunctionSpec> {
    let path = format!("functions.{name}.class");
    if record.text("class") == Some("") {
        let help = format!("want one of {}", classes.join(", "));
        errors.push(record.error("class", &path, "no class is named".into(), &help));
        return None;
    }
    Some(FunctionSpec {
        name: name.to_string(),
        class: index_of(record, "class", &path, classes, 0, errors)?,
        lanes: u32::try_from(record.int("lanes")?).ok()?,
        memory_mb: record.int("memory")? as f64 / 1e6,
        load_time: record.int("load_time"),
        versions: texts(record.list("versions")?),
    })
}

/// Reads a function that is agreed on by itself.
pub(crate) fn one_function(node: &Node, errors: &mut Vec<Diagnostic>) -> Option<Function> {
    let record = RecordReader::of(node)?;
    let class = record.text("class")?;
    if class.is_empty() {
        let help = "want the name of a class, as class: \"chat\"";
        errors.push(record.error("class", "class", "no class is named".into(), help));
    }
    Some(Function {
        class: class.to_string(),
        lanes: u32::try_from(record.int("lanes")?).ok()?,
        memory_mb: record.int("memory")? as f64 / 1e6,
        load_time: record.int("load_time"),
        versions: texts(record.list("versions")?),
    })
}

/// Reads a list of workers; a worker that names no zone is in `home_zone`.
pub(crate) fn worker_list(
    node: &Node,
    zones: &[String],
    home_zone: usize,
    errors: &mut Vec<Diagnostic>,
) -> Option<Vec<WorkerLine>> {
    let all = RecordReader::of(node)?;
    let mut workers: Vec<WorkerLine> = Vec::new();
    let mut names = BTreeSet::new();
    for (index, item) in all.list("workers")?.iter().enumerate() {
        let record = RecordReader::of(item)?;
        let path = |field: &str| format!("workers[{index}].{field}");
        let name = record.text("name")?;
        if !names.insert(name) {
            let what = format!("a second worker named {name:?}");
            let help = "want a name of its own for each";
            errors.push(record.error("name", &path("name"), what, help));
        }
        let address = address(record, "address", &path("address"), errors);
        let zone = index_of(record, "zone", &path("zone"), zones, home_zone, errors);
        if let (Some(address), Some(zone)) = (address, zone) {
            workers.push(worker(record, name, address, zone)?);
        }
    }
    Some(workers)
}

fn worker(
    record: RecordReader<'_>,
    name: &str,
    address: SocketAddr,
    zone: usize,
) -> Option<WorkerLine> {
    let listed = WorkerRecord {
        name: name.to_string(),
        kind: usize::try_from(record.int("kind")?).ok()?,
        cell: u64::try_from(record.int("cell")?).ok()?,
        zone,
        state: match record.text("state")? {
            "ready" => 0,
            "draining" => 1,
            _ => 2,
        },
        age: record.int("started"),
        relative_size: record.number("share")?,
    };
    Some(WorkerLine {
        listed,
        address,
        incarnation: u64::try_from(record.int("incarnation")?).ok()?,
    })
}

fn fleet(record: RecordReader<'_>, errors: &mut Vec<Diagnostic>) -> Option<Fleet> {
    let mut voters = Vec::new();
    for (index, item) in record.list("seats")?.iter().enumerate() {
        let voter = RecordReader::of(item)?;
        let path = format!("fleet.seats[{index}].address");
        let address = address(voter, "address", &path, errors);
        voters.push(Voter {
            name: voter.text("name")?.to_string(),
            address: address?,
        });
    }
    check_voters(record, &voters, errors);
    let listen = address(record, "listen", "fleet.listen", errors);
    let text = |name: &str| record.text(name).map(str::to_string);
    Some(Fleet {
        name: text("name")?,
        node_name: text("me")?,
        listen: listen?,
        voters,
        state: text("state")
            .filter(|state| !state.is_empty())
            .map(Into::into),
        max_divergence: record.int("within")?,
        session: record.int("stay")?,
        clock_ppm: record.int("clock_ppm")?,
    })
}

fn check_voters(record: RecordReader<'_>, voters: &[Voter], errors: &mut Vec<Diagnostic>) {
    let names: BTreeSet<&str> = voters.iter().map(|voter| voter.name.as_str()).collect();
    let addresses: BTreeSet<SocketAddr> = voters.iter().map(|voter| voter.address).collect();
    let each_once = names.len() == voters.len() && addresses.len() == voters.len();
    if ![1, 3, 5, 7].contains(&voters.len()) || !each_once {
        let what = format!(
            "{} seats, {} names, {} addresses",
            voters.len(),
            names.len(),
            addresses.len()
        );
        let help = "want 1, 3, 5 or 7 front ends that keep the agreed log, each once, as \
                    seats: [{name: \"a\", address: \"127.0.0.1:7001\"}]";
        errors.push(record.error("seats", "fleet.seats", what, help));
    }
}

/// The records of the settings that are read by several parts.
struct Sections<'a> {
    all: RecordReader<'a>,
    front: RecordReader<'a>,
    worker: RecordReader<'a>,
    prices: RecordReader<'a>,
    tenants: Vec<(&'a str, RecordReader<'a>)>,
}

/// Reads all settings. Each part reports its own errors; the first that can't be read at all ends the reading. Over 50 lines:
/// the parts stand in the order in which they report.
pub(crate) fn settings(node: &Node, errors: &mut Vec<Diagnostic>) -> Option<Settings> {
    let all = RecordReader::of(node)?;
    let front = all.inner("front")?;
    let worker = all.inner("worker")?;
    let prices = all.inner("prices")?;
    let zones = texts(all.list("zones")?);
    let classes = all.records("classes")?;
    let functions = all.records("functions")?;
    check_given(all, classes.is_empty(), functions.is_empty(), errors);
    let zone = index_of(front, "zone", "front.zone", &zones, 0, errors);
    check_number(front, errors)?;
    let class_names: Vec<String> = classes.iter().map(|(name, _)| name.to_string()).collect();
    let router_classes: Option<Vec<router::Class>> = classes
        .iter()
        .map(|(name, record)| class(*record, name, errors))
        .collect();
    let router_classes = router_classes?;
    let function_specs = functions
        .iter()
        .filter_map(|(name, record)| function(name, *record, &class_names, errors))
        .collect();
    let sections = Sections {
        all,
        front,
        worker,
        prices,
        tenants: all.records("tenants")?,
    };
    let listen = address(front, "listen", "front.listen", errors);
    let http = address(front, "http", "front.http", errors);
    let home_zone = zone.unwrap_or(0);
    let workers = worker_list(node, &zones, home_zone, errors)?;
    let settings = sections.router_settings(home_zone, router_classes)?;
    let gateway = sections.gateway(listen?, http?)?;
    let config = DispatchConfig {
        settings,
        classes: class_names,
        tenants: sections.tenant_names(),
        zones,
        functions: function_specs,
        max_call_time: front.int("longest")?,
        seed: u64::try_from(front.int("seed")?).ok()?,
    };
    let fleet = match all.inner("fleet") {
        Some(record) => Some(fleet(record, errors)?),
        None => None,
    };
    Some(Settings {
        front: config,
        gateway,
        workers,
        fleet,
    })
}

fn check_given(
    all: RecordReader<'_>,
    no_classes: bool,
    no_functions: bool,
    errors: &mut Vec<Diagnostic>,
) {
    if no_classes {
        let help = "want at least one class of calls";
        errors.push(all.error("classes", "classes", "no class is given".into(), help));
    }
    if no_functions {
        let help = "want at least one function";
        errors.push(all.error(
            "functions",
            "functions",
            "no function is given".into(),
            help,
        ));
    }
}

/// Checks the front end's number among its siblings.
fn check_number(front: RecordReader<'_>, errors: &mut Vec<Diagnostic>) -> Option<()> {
    let number = front.int("me")?;
    let siblings = front.int("siblings")?;
    if number >= siblings {
        let what = format!("front end {number} of {siblings}");
        let help = "want a number below siblings, from 0";
        errors.push(front.error("me", "front.me", what, help));
    }
    Some(())
}

impl Sections<'_> {
    fn tenant_names(&self) -> Vec<String> {
        let names = self.tenants.iter().map(|(name, _)| name.to_string());
        names.collect()
    }

    fn tenants(&self) -> Option<Vec<router::Tenant>> {
        let tenant = |(_, record): &(&str, RecordReader<'_>)| {
            Some(router::Tenant {
                quota_per_s: record.number("quota_per_s")?,
                fraction: record.number("fraction")?,
            })
        };
        self.tenants.iter().map(tenant).collect()
    }

    /// The bound of load requests, if one is set.
    fn ration(&self) -> Option<Option<router::LoadBudget>> {
        let Some(record) = self.worker.inner("ration") else {
            return Some(None);
        };
        Some(Some(router::LoadBudget {
            free: record.number("free")?,
            arrival_share: record.number("part")?,
            period: record.int("period")?,
        }))
    }

    fn kind_memory_mb(&self) -> Option<Vec<f64>> {
        let megabytes = |node: &Node| match node.kind {
            Kind::Scalar(Scalar::Size(bytes)) => Some(bytes as f64 / 1e6),
            _ => None,
        };
        let kinds = self.worker.list("kind_memory")?.iter();
        Some(kinds.filter_map(megabytes).collect())
    }

    /// The router's settings. Over 50 lines, since it is one field a line.
    fn router_settings(
        &self,
        zone: usize,
        classes: Vec<router::Class>,
    ) -> Option<router::Settings> {
        let Sections {
            all,
            front,
            worker,
            prices,
            ..
        } = *self;
        Some(router::Settings {
            front_end: usize::try_from(front.int("me")?).ok()?,
            front_ends: usize::try_from(front.int("siblings")?).ok()?,
            zone,
            classes,
            tenants: self.tenants()?,
            over_quota_weight: all.number("over_quota_worth")?,
            weight_by_work: all.flag("worth_by_work")?,
            list_pushed: front.flag("list_pushed")?,
            max_list_poll_interval: front.int("ask_within")?,
            max_retry_after: front.int("max_stay_away")?,
            answer_slack: front.int("answer_slack")?,
            tick: front.int("tick")?,
            may_cancel: worker.flag("may_cancel")?,
            may_probe: worker.flag("may_probe")?,
            may_load: worker.flag("may_order")?,
            // Never: no call has two attempts open at once.
            may_hedge: false,
            max_attempts: u32::try_from(worker.int("max_attempts")?).ok()?,
            max_open_requests: usize::try_from(front.int("max_held")?).ok()?,
            connect_timeout: worker.int("connect_timeout")?,
            miss_policy: match worker.text("when_absent")? {
                "miss" => router::MissPolicy::Miss,
                _ => router::MissPolicy::Load,
            },
            idle_life: worker.int("idle_life")?,
            load_timeout: worker.int("order_timeout")?,
            load_budget: self.ration()?,
            reports_warm: worker.flag("tells_warm")?,
            reports_concurrency: worker.flag("tells_crowd")?,
            reports: match worker.text("reports")? {
                "pulled" => router::Reports::Pulled,
                "absent" => router::Reports::Absent,
                _ => router::Reports::Attached,
            },
            kind_memory_mb: self.kind_memory_mb()?,
            cross_zone_price: prices.number("cross_zone")?,
            fetch_price: prices.number("fetch")?,
            idle_price: prices.number("idle")?,
            probe_price: prices.number("probe")?,
            slow_start_from: worker.number("cold_from")?,
            slow_start_window: worker.int("warm_up")?,
            overload_multiple: worker.number("fall_multiple")?,
            overload_window: worker.int("fall_after")?,
            drain_grace: worker.int("drain_grace")?,
        })
    }

    fn gateway(&self, listen: SocketAddr, http: SocketAddr) -> Option<Gateway> {
        let front = self.front;
        Some(Gateway {
            listen,
            http,
            drain: front.int("drain")?,
            connections: usize::try_from(front.int("connections")?).ok()?,
            streams: u32::try_from(front.int("streams")?).ok()?,
            message: usize::try_from(front.int("message")?).ok()?,
            headers: u32::try_from(front.int("headers")?).ok()?,
            stream_window: u32::try_from(front.int("stream_window")?).ok()?,
            worker_window: u32::try_from(self.worker.int("stream_window")?).ok()?,
            preface: front.int("preface")?,
            class_key: front.text("class_key")?.to_ascii_lowercase(),
            tenant_key: front.text("tenant_key")?.to_ascii_lowercase(),
            work_key: front.text("work_key")?.to_ascii_lowercase(),
        })
    }
}
