//! Fleets in virtual time: members find each other, detect killed members, accept restarted ones, and reject foreign
//! datagrams.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use tansy_agreement::lease_tree::LeaseTopology;
use tansy_membership::{
    GossipTiming, Membership, MembershipEvent, NodeId, RejectedDatagram, FORMAT_VERSION,
    MAX_DATAGRAM_BYTES,
};

const SECOND: i64 = 1_000_000;

struct Fleet {
    now: i64,
    rng: fastrand::Rng,
    members: Vec<Option<Membership>>,
    incarnations: Vec<u64>,
    queue: BinaryHeap<Reverse<(i64, u64)>>,
    datagrams: BTreeMap<u64, (usize, Vec<u8>)>,
    count: u64,
    loss_rate: f64,
    /// Directed links on which all datagrams are lost.
    blocked_links: BTreeSet<(usize, usize)>,
    sent: u64,
    downs: Vec<(i64, usize, NodeId)>,
}

fn node(index: usize, incarnation: u64) -> NodeId {
    NodeId::new(
        index as u64,
        incarnation,
        ([10, 0, 0, index as u8], 7000).into(),
    )
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            members: Vec::new(),
            incarnations: vec![0; size],
            queue: BinaryHeap::new(),
            datagrams: BTreeMap::new(),
            count: 0,
            loss_rate: 0.02,
            blocked_links: BTreeSet::new(),
            sent: 0,
            downs: Vec::new(),
        };
        fleet.members.resize_with(size, || None);
        (0..size).for_each(|index| fleet.start(index));
        fleet
    }

    /// Starts a new process, which joins through up to two random members.
    fn start(&mut self, index: usize) {
        self.incarnations[index] += 1;
        let seed = self.rng.u64(..);
        let mut member = Membership::new(
            77,
            node(index, self.incarnations[index]),
            GossipTiming::default(),
            seed,
        );
        for _ in 0..2 {
            let other = self.rng.usize(0..self.members.len());
            if other != index {
                member.join(self.now, node(other, self.incarnations[other].max(1)));
            }
        }
        self.members[index] = Some(member);
        self.carry_out(index);
    }

    fn carry_out(&mut self, index: usize) {
        let Some(member) = &mut self.members[index] else {
            return;
        };
        for datagram in member.take_datagrams() {
            self.sent += 1;
            let to = datagram.to.id as usize;
            if self.rng.f64() < self.loss_rate || self.blocked_links.contains(&(index, to)) {
                continue;
            }
            self.count += 1;
            self.queue
                .push(Reverse((self.now + self.rng.i64(200..20_000), self.count)));
            self.datagrams.insert(self.count, (to, datagram.bytes));
        }
        for event in member.take_events() {
            if let MembershipEvent::Down(node) = event {
                self.downs.push((self.now, index, node));
            }
        }
        // The view that is maintained from notifications equals the protocol's own.
        let up = member
            .other_members()
            .map(|node| node.id)
            .chain([member.local().id]);
        assert_eq!(member.topology(0), LeaseTopology::new(0, up));
        assert_eq!(member.other_member_count(), member.other_members().count());
        assert!(member
            .other_members()
            .all(|node| member.address(node.id) == Some(node.address)));
    }

    fn run(&mut self, span: i64) {
        let end = self.now + span;
        loop {
            let delivery = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick = self
                .members
                .iter()
                .flatten()
                .filter_map(Membership::next_deadline)
                .min();
            let Some(at) = delivery
                .into_iter()
                .chain(tick)
                .min()
                .filter(|at| *at <= end)
            else {
                break;
            };
            self.now = at.max(self.now);
            while let Some(Reverse((_, number))) = self
                .queue
                .peek()
                .copied()
                .filter(|next| next.0 .0 <= self.now)
            {
                self.queue.pop();
                let (to, bytes) = self.datagrams.remove(&number).expect("a datagram");
                if let Some(member) = &mut self.members[to] {
                    let _ = member.on_datagram(self.now, &bytes);
                    self.carry_out(to);
                }
            }
            for index in 0..self.members.len() {
                if let Some(member) = self.members[index]
                    .as_mut()
                    .filter(|m| m.next_deadline().is_some_and(|t| t <= self.now))
                {
                    member.tick(self.now);
                    self.carry_out(index);
                }
            }
        }
        self.now = end;
    }

    /// Whether the view of every running member consists of exactly the running processes.
    fn has_converged(&self) -> bool {
        let running: BTreeSet<(u64, u64)> = self
            .members
            .iter()
            .flatten()
            .map(|m| (m.local().id, m.local().incarnation))
            .collect();
        self.members.iter().flatten().all(|member| {
            let known = member
                .other_members()
                .chain([member.local()])
                .map(|node| (node.id, node.incarnation));
            known.collect::<BTreeSet<_>>() == running
        })
    }

    /// Runs until all views have converged, and returns how long that took.
    fn run_until_converged(&mut self, within: i64) -> i64 {
        let since = self.now;
        while !self.has_converged() {
            assert!(
                self.now - since < within,
                "views have not converged after {} s",
                within / SECOND
            );
            self.run(SECOND / 10);
        }
        self.now - since
    }
}

#[test]
fn members_find_each_other_remove_killed_members_and_accept_restarted_ones() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(30, seed);
        fleet.run_until_converged(60 * SECOND);
        for killed in 0..8 {
            fleet.members[3 * killed] = None;
        }
        fleet.run_until_converged(60 * SECOND);
        for killed in 0..8 {
            fleet.start(3 * killed);
        }
        fleet.run_until_converged(60 * SECOND);
    }
}

#[test]
fn a_process_restarted_at_once_replaces_its_predecessor() {
    let mut fleet = Fleet::new(12, 5);
    fleet.run_until_converged(60 * SECOND);
    fleet.members[4] = None;
    fleet.start(4);
    fleet.run_until_converged(30 * SECOND);
    let last = fleet.incarnations[4];
    assert!(fleet.members.iter().flatten().all(|m| m
        .other_members()
        .all(|n| n.id != 4 || n.incarnation == last)));
}

#[test]
fn a_link_blocked_in_one_or_both_directions_takes_no_member_down() {
    let mut fleet = Fleet::new(10, 9);
    fleet.run_until_converged(60 * SECOND);
    // All members can still be probed indirectly.
    fleet.blocked_links = BTreeSet::from([(0, 1), (0, 2), (3, 4), (4, 3)]);
    fleet.downs.clear();
    fleet.run(60 * SECOND);
    assert_eq!(fleet.downs.len(), 0, "{:?}", fleet.downs);
    assert!(fleet.has_converged());
}

#[test]
fn both_sides_of_a_partition_find_each_other_again() {
    let mut fleet = Fleet::new(12, 3);
    fleet.run_until_converged(60 * SECOND);
    fleet.blocked_links = (0..5)
        .flat_map(|a| (5..12).flat_map(move |b| [(a, b), (b, a)]))
        .collect();
    fleet.run(20 * SECOND);
    assert!(
        fleet.members[0]
            .as_ref()
            .expect("the member runs")
            .other_members()
            .all(|n| n.id < 5),
        "members of the other side are declared down"
    );
    fleet.blocked_links.clear();
    fleet.run_until_converged(150 * SECOND);
}

#[test]
fn a_member_that_leaves_is_removed_quickly_and_traffic_per_member_does_not_grow_with_the_fleet() {
    let rate = |size: usize| {
        let mut fleet = Fleet::new(size, 21);
        fleet.run_until_converged(90 * SECOND);
        let (sent, since) = (fleet.sent, fleet.now);
        fleet.run(20 * SECOND);
        let rate = (fleet.sent - sent) as f64 / ((fleet.now - since) as f64 / 1e6) / size as f64;
        let now = fleet.now;
        fleet.members[1]
            .as_mut()
            .expect("the member runs")
            .leave(now);
        fleet.carry_out(1);
        fleet.members[1] = None;
        fleet.run_until_converged(10 * SECOND);
        rate
    };
    let (small, large) = (rate(8), rate(80));
    assert!(
        large < 1.5 * small,
        "{small} and {large} datagrams per member per second"
    );
}

#[test]
fn foreign_and_malformed_datagrams_are_rejected_with_a_reason() {
    let mut member = Membership::new(1, node(1, 1), GossipTiming::default(), 1);
    let mut foreign = Membership::new(2, node(2, 1), GossipTiming::default(), 2);
    foreign.join(0, node(1, 1));
    let datagram = foreign.take_datagrams().remove(0).bytes;
    assert_eq!(
        member.on_datagram(0, &datagram),
        Err(RejectedDatagram::OtherFleet)
    );
    let mut later = datagram.clone();
    later[0] = FORMAT_VERSION + 1;
    assert_eq!(
        member.on_datagram(0, &later),
        Err(RejectedDatagram::UnknownFormat(FORMAT_VERSION + 1))
    );
    assert_eq!(
        member.on_datagram(0, &vec![FORMAT_VERSION; MAX_DATAGRAM_BYTES + 1]),
        Err(RejectedDatagram::Malformed)
    );
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        // The datagram belongs to the member's fleet, but its payload is corrupted.
        let mut noise = datagram.clone();
        noise[1..9].copy_from_slice(&1u64.to_be_bytes());
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(9..noise.len());
            noise[at] = rng.u8(..);
        }
        noise.truncate(rng.usize(0..=noise.len()));
        let _ = member.on_datagram(0, &noise);
        member.take_datagrams();
    }
    assert!(member.other_members().count() < 20_000);
}
