//! Leases down a tree of many front ends, in virtual time: no member loses its lease while nothing fails.

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

/// Front ends from 1 on with the leader 1, each in one of some regions; all clocks run alike.
struct Tree {
    now: i64,
    nodes: Vec<LeaseNode<Revision>>,
    /// The time of a message between two regions.
    latency: Vec<Vec<i64>>,
    arrivals: BinaryHeap<Reverse<(i64, u64)>>,
    messages: BTreeMap<u64, Message>,
    count: u64,
    rng: fastrand::Rng,
}

impl Tree {
    /// All start within `starts`.
    #[allow(
        clippy::needless_range_loop,
        reason = "both halves of a table are filled at once"
    )]
    fn new(fronts: u64, regions: usize, starts: i64, seed: u64) -> Tree {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut latency = vec![vec![0; regions]; regions];
        for region in 0..regions {
            for other in 0..region {
                let delay = rng.i64(SECOND / 25..=SECOND * 2 / 25);
                (latency[region][other], latency[other][region]) = (delay, delay);
            }
        }
        let topology = LeaseTopology::new(1, 1..=fronts);
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
        let nodes = (1..=fronts).map(&mut node).collect();
        let (arrivals, messages) = (BinaryHeap::new(), BTreeMap::new());
        Tree {
            now: 0,
            nodes,
            latency,
            arrivals,
            messages,
            count: 0,
            rng,
        }
    }

    fn send(&mut self, from: u64, messages: Vec<(u64, LeaseMessage<Revision>)>) {
        for (to, message) in messages {
            let region = |id: u64| id as usize % self.latency.len();
            let delay = self.latency[region(from)][region(to)]
                + self.rng.i64(SECOND / 5000..=SECOND * 3 / 1000);
            self.count += 1;
            self.arrivals.push(Reverse((self.now + delay, self.count)));
            self.messages.insert(self.count, (from, to, message));
        }
    }

    /// Runs on until then, a hundredth of a second at a time; `observe` sees the tree after each. The leader's lease is
    /// extended ten times a second.
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
                    .expect("a message under way");
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
        // At most five links deep.
        let mut tree = Tree::new(5000, 7, 5 * SECOND, seed);
        tree.run_until(12 * SECOND, |_| {});
        let (mut observations, mut without) = (0, 0);
        tree.run_until(22 * SECOND, |tree| {
            observations += tree.nodes.len();
            without += tree.without_lease();
        });
        assert_eq!(
            without, 0,
            "seed {seed}: of {observations} observations of a front end"
        );
    }
}

/// Requests of a member four links below the leader, by the member that they go to, during some leases. Its own parent
/// grants a lease of length `own` to each, after a tenth of a second; no other member answers.
fn requests_by_granter(own: i64) -> BTreeMap<u64, usize> {
    let topology = LeaseTopology::new(1, 1..=700);
    let depth = |id| (0..9).find(|c| topology.ancestor(id, *c) == Some(1));
    let id = (2..=700)
        .find(|id| depth(*id) == Some(3))
        .expect("a member four links down");
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
            if Some(to) == parent && own > 0 {
                let state = (request.known < Revision(1)).then_some(Revision(1));
                let grant = LeaseGrant {
                    to: member,
                    seq: request.seq,
                    span: own,
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
fn a_member_without_lease_asks_all_between_it_and_the_leader_repeatedly() {
    // The leader has no room, and the own parent is silent, or grants a lease that has expired on arrival or lives for a
    // moment.
    for own in [0, SECOND / 100, SECOND / 5] {
        let requests = requests_by_granter(own);
        assert!(
            requests.len() == 4 && requests.values().all(|n| *n >= 8),
            "{own}: {requests:?}"
        );
    }
}
