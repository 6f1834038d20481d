//! State that grows with the members of a fleet: membership as one front end knows it, and the lease tree built from it.

use crate::measure::{timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{inputs, Args, BenchError};
use std::time::Duration;
use tansy_agreement::lease_tree::LeaseTopology;
use tansy_membership::{GossipTiming, Membership, NodeId};
use tansyrouter::{Micros, SECOND};

const FLEET: u64 = 7;
/// Number of joins that are timed: the last ones.
const MEASURED_JOINS: usize = 200;
/// Virtual time between two joins.
const JOIN_INTERVAL: Micros = 1000;
/// Virtual time for which probes run.
const PROBE_PERIOD: Micros = 30 * SECOND;
/// Identifier of the leader, which is the measured front end.
pub(crate) const LEADER: u64 = 1;
/// Address number of the measured front end, higher than those of the others.
const LOCAL_ADDRESS: usize = 1 << 23;
/// Number of lease trees built from the same membership.
const TOPOLOGIES: u32 = 50;
/// Number of front ends whose path to the leader is looked up.
const LOOKUPS: usize = 200;
/// Upper bound for the length of a path to the leader.
const MAX_LINKS: u32 = 64;

fn node(number: usize, seed: u64) -> NodeId {
    let address = inputs::address(number, inputs::FLEET_PORT);
    NodeId::new(inputs::member_id(number, seed), 1, address)
}

/// The membership of the measured front end. Other front ends are simulated only while they send or answer a datagram.
struct LocalMembership {
    membership: Membership,
    timing: GossipTiming,
    seed: u64,
    sent_bytes: usize,
    sent_datagrams: usize,
}

impl LocalMembership {
    fn new(size: usize, seed: u64) -> LocalMembership {
        let timing = GossipTiming {
            expected_members: u32::try_from(size).unwrap_or(u32::MAX),
            ..GossipTiming::default()
        };
        let address = inputs::address(LOCAL_ADDRESS, inputs::FLEET_PORT);
        let local = NodeId::new(LEADER, 1, address);
        LocalMembership {
            membership: Membership::new(FLEET, local, timing, seed),
            timing,
            seed,
            sent_bytes: 0,
            sent_datagrams: 0,
        }
    }

    fn other(&self, node: NodeId) -> Membership {
        Membership::new(FLEET, node, self.timing, self.seed)
    }

    /// Joins another front end; returns the time that the measured one spent.
    fn join(&mut self, now: Micros, number: usize) -> Result<Duration, BenchError> {
        let mut other = self.other(node(number, self.seed));
        other.join(now, self.membership.local().clone());
        let mut total = Duration::ZERO;
        for datagram in other.take_datagrams() {
            let (read, took) = timed(|| self.membership.on_datagram(now, &datagram.bytes));
            read.map_err(|e| BenchError::failed("reading a datagram", e))?;
            total += took;
        }
        self.membership.take_datagrams();
        Ok(total)
    }

    /// Delivers the datagrams that the measured front end sent, and the answers to them.
    fn exchange_datagrams(&mut self, now: Micros) {
        for datagram in self.membership.take_datagrams() {
            self.sent_bytes += datagram.bytes.len();
            self.sent_datagrams += 1;
            let mut other = self.other(datagram.to);
            // A receiver that does not know the sender returns an error, but still answers.
            let _ = other.on_datagram(now, &datagram.bytes);
            let answers = other.take_datagrams().into_iter();
            for answer in answers.filter(|answer| answer.to.id == LEADER) {
                let _ = self.membership.on_datagram(now, &answer.bytes);
            }
        }
    }

    /// Joins all other front ends in turn; returns the times of the last joins and the final virtual time.
    fn join_all(&mut self, front_ends: usize) -> Result<(Distribution, Micros), BenchError> {
        let others = front_ends.saturating_sub(1);
        let measured = MEASURED_JOINS.min(front_ends / 2);
        let first_measured = front_ends.saturating_sub(1 + measured);
        let mut times = Distribution::default();
        let mut now = 0;
        for number in 0..others {
            now += JOIN_INTERVAL;
            let took = self.join(now, number)?;
            if number >= first_measured {
                times.add(took);
            }
        }
        Ok((times, now))
    }

    /// Runs answered probes, which also spread membership events; returns the times of timer ticks.
    fn probe(&mut self, mut now: Micros) -> Distribution {
        let mut times = Distribution::default();
        let end = now + PROBE_PERIOD;
        while let Some(due) = self.membership.next_deadline().filter(|due| *due <= end) {
            now = now.max(due);
            let ((), took) = timed(|| self.membership.tick(now));
            times.add(took);
            self.exchange_datagrams(now);
        }
        times
    }
}

/// Measures joins, probes and lease trees of one front end's membership.
pub fn membership(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let growth = MemoryGrowth::begin();
    let mut local = LocalMembership::new(args.front_ends, args.seed);
    let (join_times, now) = local.join_all(args.front_ends)?;
    let joined = local.membership.take_events().len();
    output.count("members", local.membership.other_members().count() + 1);
    output.figure("memory_mb", growth.mb());
    output.insert("join_us", join_times.us());
    let timer_times = local.probe(now);
    let seconds = PROBE_PERIOD as f64 / 1e6;
    output.insert("tick_us", timer_times.us());
    output.figure("datagrams_s", local.sent_datagrams as f64 / seconds);
    output.figure("datagram_bytes_s", local.sent_bytes as f64 / seconds);
    let events = joined + local.membership.take_events().len();
    output.count("news", events);
    add_topologies(&local.membership, args.seed, output)?;
    output.figure("peak_mb", growth.peak_mb());
    Ok(())
}

/// Times the work of each membership event: building the lease tree, comparing it, and finding the granting member.
fn add_topologies(
    membership: &Membership,
    seed: u64,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let mut make_times = Distribution::default();
    let mut compare_times = Distribution::default();
    let mut parent_times = Distribution::default();
    let growth = MemoryGrowth::begin();
    let mut current = membership.topology(LEADER);
    output.figure("view_mb", growth.mb());
    let front_end = inputs::member_id(0, seed);
    for nth in 0..TOPOLOGIES {
        let (next, took) = timed(|| membership.topology(LEADER));
        make_times.add(took);
        let (is_same, took) = timed(|| next == current);
        compare_times.add(took);
        let (parent, took) = timed(|| next.ancestor(front_end, nth % 3));
        parent_times.add(took);
        if !is_same || parent.is_none() {
            return Err(BenchError::failed(
                "lease tree",
                "the tree changed, or does not contain the front end",
            ));
        }
        current = next;
    }
    output.insert("view_us", make_times.us());
    output.insert("compare_us", compare_times.us());
    output.insert("parent_us", parent_times.us());
    Ok(())
}

/// Number of links from a front end to the leader, each of which a new revision traverses.
fn links_to_leader(topology: &LeaseTopology, front_end: u64) -> usize {
    let leads_elsewhere = |choice: &u32| topology.ancestor(front_end, *choice) != Some(LEADER);
    (0..MAX_LINKS).take_while(leads_elsewhere).count() + 1
}

/// Measures [`LeaseTopology`] alone, built from a given list of front ends.
pub fn lease_topology(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let front_ends: Vec<u64> = (0..args.front_ends)
        .map(|number| inputs::member_id(number, args.seed))
        .collect();
    let make = || LeaseTopology::new(LEADER, front_ends.iter().copied());
    let growth = MemoryGrowth::begin();
    let topology = make();
    output.figure("memory_mb", growth.mb());
    let mut make_times = Distribution::default();
    let mut parent_times = Distribution::default();
    let mut max_links = 0;
    for front_end in front_ends.iter().take(LOOKUPS) {
        let (made, took) = timed(make);
        make_times.add(took);
        let (_, took) = timed(|| made.ancestor(*front_end, 0));
        parent_times.add(took);
        max_links = max_links.max(links_to_leader(&made, *front_end));
    }
    output.insert("view_us", make_times.us());
    output.insert("parent_us", parent_times.us());
    output.count("links", max_links);
    drop(topology);
    Ok(())
}
