//! Leases in a tree of many front ends, simulated in virtual time. Guards against members that lose their lease
//! although nothing fails, and against requests that never reach a granter with a lease.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use tansy_agreement::lease::{LeaseGrant, LeaseTiming, Member};
use tansy_agreement::lease_tree::{LeaseMessage, LeaseNode, LeaseTopology};
use tansy_agreement::log::Revision;

const SECOND: i64 = 1_000_000;
const TIMING: LeaseTiming = LeaseTiming {
    span: 5 * SECOND,
    drift_ppm: 1_000,
};

type Message = (u64, u64, LeaseMessage<Revision>);

/// Front ends numbered from 1, of which 1 is the leader, spread over regions. Their clocks agree.
struct Tree {
    now: i64,
    nodes: Vec<LeaseNode<Revision>>,
    /// The latency of a message between two regions.
    latency: Vec<Vec<i64>>,
    arrivals: BinaryHeap<Reverse<(i64, u64)>>,
    messages: BTreeMap<u64, Message>,
    last_message: u64,
    rng: fastrand::Rng,
}

impl Tree {
    /// Each node sends its first request within `starts`.
    #[allow(
        clippy::needless_range_loop,
        reason = "the matrix is symmetric, so two entries are filled at once"
    )]
    fn new(front_ends: u64, regions: usize, starts: i64, seed: u64) -> Tree {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut latency = vec![vec![0; regions]; regions];
        for region in 0..regions {
            for other in 0..region {
                let delay = rng.i64(SECOND / 25..=SECOND * 2 / 25);
                (latency[region][other], latency[other][region]) = (delay, delay);
            }
        }
        let topology = LeaseTopology::new(1, 1..=front_ends);
        let mut node = |id| {
            let member = Member { id, incarnation: 1 };
            match id {
                1 => LeaseNode::leader(
                    TIMING,
                    member,
                    topology.clone(),
                    Revision(1),
                    TIMING.span,
                    0,
                ),
                _ => LeaseNode::new(TIMING, member, topology.clone(), rng.i64(0..starts)),
            }
        };
        let nodes = (1..=front_ends).map(&mut node).collect();
        let (arrivals, messages) = (BinaryHeap::new(), BTreeMap::new());
        Tree {
            now: 0,
            nodes,
            latency,
            arrivals,
            messages,
            last_message: 0,
            rng,
        }
    }

    fn send(&mut self, from: u64, messages: Vec<(u64, LeaseMessage<Revision>)>) {
        for (to, message) in messages {
            let region = |id: u64| id as usize % self.latency.len();
            let delay = self.latency[region(from)][region(to)]
                + self.rng.i64(SECOND / 5000..=SECOND * 3 / 1000);
            self.last_message += 1;
            self.arrivals
                .push(Reverse((self.now + delay, self.last_message)));
            self.messages.insert(self.last_message, (from, to, message));
        }
    }

    /// Runs until `end` in steps of 10 ms, and calls `observe` after each step. The leader's lease is extended every
    /// 100 ms.
    fn run_until(&mut self, end: i64, mut observe: impl FnMut(&Tree)) {
        while self.now < end {
            self.now += SECOND / 100;
            if self.now % (SECOND / 10) == 0 {
                let mut out = Vec::new();
                self.nodes[0].extend_leader_lease(self.now, self.now + TIMING.span, &mut out);
                self.send(1, out);
            }
            while let Some(Reverse((at, message_number))) =
                self.arrivals.peek().copied().filter(|m| m.0 .0 <= self.now)
            {
                self.arrivals.pop();
                let (from, to, message) = self
                    .messages
                    .remove(&message_number)
                    .expect("the message is in transit");
                let mut out = Vec::new();
                self.nodes[to as usize - 1].on_message(at, from, message, &mut out);
                self.send(to, out);
            }
            for id in 1..=self.nodes.len() as u64 {
                let mut out = Vec::new();
                self.nodes[id as usize - 1].tick(self.now, &mut out);
                self.send(id, out);
            }
            observe(self);
        }
    }

    fn without_lease(&self) -> usize {
        self.nodes
            .iter()
            .filter(|f| f.remaining(self.now) == 0)
            .count()
    }
}

#[test]
fn no_member_loses_its_lease_while_nothing_fails() {
    for seed in 1..=3 {
        // The tree is at most five links deep.
        let mut tree = Tree::new(5000, 7, 5 * SECOND, seed);
        tree.run_until(12 * SECOND, |_| {});
        let (mut observations, mut without_lease) = (0, 0);
        tree.run_until(22 * SECOND, |tree| {
            observations += tree.nodes.len();
            without_lease += tree.without_lease();
        });
        assert_eq!(
            without_lease, 0,
            "seed {seed}: front ends without a lease in {observations} observations"
        );
    }
}

/// Counts the requests that a member four links below the leader sends during 15 lease spans, by their receiver. The
/// member's parent answers each request after 100 ms with a lease of length `span`, or not at all if that is zero; no
/// other member answers.
fn requests_by_granter(span: i64) -> BTreeMap<u64, usize> {
    let topology = LeaseTopology::new(1, 1..=700);
    let leader_level = |id| (0..9).find(|level| topology.ancestor(id, *level) == Some(1));
    let id = (2..=700)
        .find(|id| leader_level(*id) == Some(3))
        .expect("a member four links below the leader");
    let (member, parent) = (Member { id, incarnation: 1 }, topology.ancestor(id, 0));
    let mut node: LeaseNode<Revision> = LeaseNode::new(TIMING, member, topology, 0);
    let mut requests = BTreeMap::new();
    for quarter in 0..60 {
        let (mut out, now) = (Vec::new(), quarter * TIMING.span / 4);
        node.tick(now, &mut out);
        for (to, message) in out {
            let LeaseMessage::Request(request) = message else {
                continue;
            };
            *requests.entry(to).or_insert(0) += 1;
            if Some(to) == parent && span > 0 {
                let state = (request.known < Revision(1)).then_some(Revision(1));
                let grant = LeaseGrant {
                    to: member,
                    seq: request.seq,
                    span,
                    revision: Revision(1),
                    state,
                    delta: None,
                };
                node.on_message(
                    now + SECOND / 10,
                    to,
                    LeaseMessage::Grant(grant),
                    &mut Vec::new(),
                );
            }
        }
    }
    requests
}

#[test]
fn a_member_without_a_lease_keeps_requesting_from_every_ancestor() {
    // No granter above the parent answers. The parent doesn't answer either, or grants a lease that has expired on
    // arrival or expires shortly after it.
    for span in [0, SECOND / 100, SECOND / 5] {
        let requests = requests_by_granter(span);
        assert!(
            requests.len() == 4 && requests.values().all(|n| *n >= 8),
            "span {span}: {requests:?}"
        );
    }
}
