//! The table of drained workers that every front end keeps for a day, and the messages that synchronize it.

use crate::endpoint_lists::{incarnation, worker_address};
use crate::inputs;
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use tansy_agreement::compatibility::Schema;
use tansy_agreement::endpoints::{DrainTable, Endpoint, EndpointRecord, EndpointState, MAX_DRAINS};
use tansy_agreement::lease::LeaseTiming;
use tansy_fleet_node::{FleetNode, FleetNodeConfig, Leader, MessageBody};
use tansy_fleet_wire::encode_message;
use tansy_membership::{GossipTiming, NodeId};
use tansyrouter::SECOND;

const FLEET: u64 = 7;
/// Number of workers, the last ones, whose departure is reported individually.
const SINGLE_UPDATES: usize = 100;

fn departed_worker(number: usize, rng: &mut fastrand::Rng) -> EndpointRecord {
    EndpointRecord {
        endpoint: Endpoint {
            name: inputs::worker_name(number),
            address: worker_address(number).to_string(),
        },
        incarnation: incarnation(rng),
        state: EndpointState::Gone,
    }
}

fn local_node() -> NodeId {
    NodeId::new(1, 1, worker_address(0))
}

/// Measures the table in memory, and the messages that front ends exchange to synchronize it.
fn add_table(records: &[EndpointRecord], output: &mut OutputRecord) {
    let growth = MemoryGrowth::begin();
    let mut table = DrainTable::default();
    let (new, took) = timed(|| table.merge(0, records.iter().cloned()));
    output.figure("memory_mb", growth.mb());
    output.figure("hear_ms", ms(took));
    output.count("remembered", table.records().count());
    output.count("most_remembered", MAX_DRAINS);
    output.count("forgotten", records.len() - new.len());
    let leader = Leader { term: 1, id: 1 };
    let bytes = |body| encode_message(FLEET, &local_node(), leader, body).len();
    let drains = MessageBody::Drains(table.records().collect(), false);
    output.count("letter_bytes", bytes(drains));
    output.count("digest_bytes", bytes(MessageBody::DrainDigest(7)));
}

fn fleet_node(seed: u64) -> Result<FleetNode, BenchError> {
    let config = FleetNodeConfig {
        fleet: FLEET,
        name: "a".into(),
        node: local_node(),
        voters: vec![(2, worker_address(1))],
        lease: LeaseTiming {
            span: SECOND / 2,
            drift_ppm: inputs::DRIFT_PPM,
        },
        session: inputs::session_timing(),
        gossip: GossipTiming::default(),
        schema: Schema::default(),
        seed,
    };
    FleetNode::new(config, None, 0).map_err(|e| BenchError::failed("a front end", e))
}

/// Times a front end's updates: each of the last records individually, then the full list again.
fn add_updates(
    records: &[EndpointRecord],
    seed: u64,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let mut node = fleet_node(seed)?;
    let mut outputs = Vec::new();
    let (first, last) = records.split_at(records.len().saturating_sub(SINGLE_UPDATES));
    node.update_endpoints(0, first.to_vec(), &mut outputs);
    let mut times = Distribution::default();
    for record in last {
        let (_, took) = timed(|| node.update_endpoints(1, vec![record.clone()], &mut outputs));
        times.add(took);
    }
    output.insert("one_us", times.us());
    let (_, took) = timed(|| node.update_endpoints(2, records.to_vec(), &mut outputs));
    output.figure("again_ms", ms(took));
    Ok(())
}

/// Measures the table of drained workers and a front end's work for each departure.
pub fn drain_table(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let records: Vec<EndpointRecord> = (0..args.instances)
        .map(|number| departed_worker(number, &mut rng))
        .collect();
    add_table(&records, output);
    add_updates(&records, args.seed, output)?;
    if records.len() > MAX_DRAINS {
        output.add_note(format!(
            "{} of the workers that leave are not remembered",
            records.len() - MAX_DRAINS
        ));
    }
    Ok(())
}
