//! The list of workers: its text, the ledger's part, and those that leave.

use crate::inputs::{self, listed, worker};
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use std::fmt::Write;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Schema;
use tansy_agreement::endpoints::{
    DrainTable, Endpoint, EndpointRecord as Told, EndpointState, MAX_DRAINS,
};
use tansy_agreement::lease::LeaseTiming;
use tansy_dispatch::{Dispatcher, Input};
use tansy_fleet_node::{FleetNode, FleetNodeConfig, Leader, MessageBody};
use tansy_fleet_wire::encode_message;
use tansy_membership::{GossipTiming, NodeId};
use tansy_platform::{EndpointList, EndpointUpdates};
use tansyrouter::{Time, SECOND};

fn at(n: usize) -> SocketAddr {
    let n = n as u32;
    SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 8001))
}

fn incarnation(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(1_700_000_000_000_000..1_900_000_000_000_000)
}

/// The file of a list of workers.
pub fn text(instances: usize, seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut out = String::from("workers: [\n");
    for n in 0..instances {
        let (name, at, inc) = (worker(n), at(n), incarnation(&mut rng));
        let _ = writeln!(
            out,
            "    {{name: \"{name}\", address: \"{at}\", cell: {}, incarnation: {inc}}},",
            n / 100
        );
    }
    out + "]\n"
}

/// The file, read as the gateway reads it.
pub fn list(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let text = text(args.instances, args.seed);
    let zones = ["local".to_string()];
    let grown = MemoryGrowth::begin();
    let (read, took) = timed(|| tansy_settings::workers("workers.cue", &text, &zones, 0));
    let lines = read.map_err(|e| BenchError::failed("the list", e))?;
    output.count("file_bytes", text.len());
    output.figure("read_ms", ms(took));
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    output.count("lines", lines.len());
    output.figure(
        "line_bytes",
        text.len() as f64 / args.instances.max(1) as f64,
    );
    output.figure(
        "peak_line_bytes",
        grown.peak_mb() * 1e6 / args.instances.max(1) as f64,
    );
    Ok(())
}

fn bad(e: tansy_dispatch::ConfigError) -> BenchError {
    BenchError::failed("the ledger's settings", e)
}

/// The list as the ledger and the module hold it.
pub fn ledger(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let whole = |skip: usize| Input::Workers {
        full: true,
        workers: (0..args.instances)
            .filter(|n| *n != skip)
            .map(listed)
            .collect(),
    };
    let mut front = Dispatcher::new(inputs::config(&names, args.front_ends, args.seed), Time(0))
        .map_err(bad)?;
    let mut out = Vec::new();
    let inputs = [
        whole(usize::MAX),
        whole(usize::MAX),
        whole(args.seed as usize % args.instances.max(1)),
    ];
    let grown = MemoryGrowth::begin();
    for (n, (input, what)) in inputs
        .into_iter()
        .zip(["first_ms", "again_ms", "one_gone_ms"])
        .enumerate()
    {
        let (_, took) = timed(|| front.step(Time(n as i64), input, &mut out));
        output.figure(what, ms(took));
    }
    let one = Input::Workers {
        full: false,
        workers: vec![listed(args.seed as usize % args.instances.max(1))],
    };
    let (_, took) = timed(|| front.step(Time(4), one, &mut out));
    output.figure("one_comes_ms", ms(took));
    let (mut ticks, mut now) = (Distribution::default(), 0);
    for _ in 0..200 {
        now += 20_000;
        let (_, took) = timed(|| front.step(Time(now), Input::Tick, &mut out));
        ticks.add(took);
    }
    output.insert("tick_us", ticks.us());
    output.count("ready", front.ready_workers());
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    output.figure(
        "instance_bytes",
        grown.mb() * 1e6 / args.instances.max(1) as f64,
    );
    Ok(())
}

/// The list as the platform's coordinator tells it.
pub fn platform(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let mut text =
        String::from(r#"{"index":1,"updates":[{"index":1,"endpoints":{"full":true,"servers":["#);
    for n in 0..args.instances {
        let comma = if n > 0 { "," } else { "" };
        let (id, at) = (worker(n), at(n));
        let _ = write!(
            text,
            r#"{comma}{{"id":"{id}","addr":"{at}","zone":"local","state":"Ready"}}"#
        );
    }
    text.push_str("]}}]}");
    let grown = MemoryGrowth::begin();
    let (read, took) = timed(|| serde_json::from_str::<EndpointUpdates>(&text));
    output.figure("read_ms", ms(took));
    let updates = read.map_err(|e| BenchError::failed("the reply", e))?;
    let mut list = EndpointList::new(vec!["local".into()], Vec::new());
    let (changes, took) = timed(|| list.apply(&updates, 0.0));
    output.figure("take_ms", ms(took));
    output.count("file_bytes", text.len());
    output.count("lines", changes.iter().map(|c| c.1.len()).sum());
    output.figure("memory_mb", grown.mb());
    output.figure("peak_mb", grown.peak_mb());
    Ok(())
}

fn leaves(n: usize, rng: &mut fastrand::Rng) -> Told {
    let worker = Endpoint {
        name: worker(n),
        address: at(n).to_string(),
    };
    Told {
        endpoint: worker,
        incarnation: incarnation(rng),
        state: EndpointState::Gone,
    }
}

/// Workers that leave, as every front end remembers them for a day, and the exchange of what another one lacks.
pub fn leaving(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let lines: Vec<Told> = (0..args.instances).map(|n| leaves(n, &mut rng)).collect();
    let grown = MemoryGrowth::begin();
    let mut leaving = DrainTable::default();
    let (new, took) = timed(|| leaving.merge(0, lines.iter().cloned()));
    output.figure("memory_mb", grown.mb());
    output.figure("hear_ms", ms(took));
    output.count("remembered", leaving.records().count());
    output.count("most_remembered", MAX_DRAINS);
    output.count("forgotten", lines.len() - new.len());
    let told = || leaving.records().collect();
    let me = NodeId::new(1, 1, at(0));
    let of = |body| encode_message(7, &me, Leader { term: 1, id: 1 }, body).len();
    output.count("letter_bytes", of(MessageBody::Drains(told(), false)));
    output.count("digest_bytes", of(MessageBody::DrainDigest(7)));
    drop(leaving);
    // A front end hears of them one by one, and makes a digest of all after each.
    let setup = FleetNodeConfig {
        fleet: 7,
        name: "a".into(),
        node: me.clone(),
        voters: vec![(2, at(1))],
        lease: LeaseTiming {
            span: SECOND / 2,
            drift_ppm: 1000,
        },
        session: LeaseTiming {
            span: 3600 * SECOND,
            drift_ppm: 1000,
        },
        gossip: GossipTiming::default(),
        schema: Schema::default(),
        seed: args.seed,
    };
    let mut peer =
        FleetNode::new(setup, None, 0).map_err(|e| BenchError::failed("a front end", e))?;
    let mut out = Vec::new();
    let (first, rest) = lines.split_at(lines.len().saturating_sub(100));
    peer.update_endpoints(0, first.to_vec(), &mut out);
    let mut one = Distribution::default();
    for told in rest {
        let (_, took) = timed(|| peer.update_endpoints(1, vec![told.clone()], &mut out));
        one.add(took);
    }
    output.insert("one_us", one.us());
    // The list as it is read again and again, each line of which says what was told already.
    let (_, took) = timed(|| peer.update_endpoints(2, lines.clone(), &mut out));
    output.figure("again_ms", ms(took));
    if lines.len() > MAX_DRAINS {
        output.add_note(format!(
            "{} of the workers that leave are not remembered",
            lines.len() - MAX_DRAINS
        ));
    }
    Ok(())
}
