//! Fleets of members in virtual time: they find each other, lose who is killed, take in who comes back, and are not upset
//! by what is not theirs.

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
    all: Vec<Option<Membership>>,
    incarnations: Vec<u64>,
    mail: BinaryHeap<Reverse<(i64, u64)>>,
    letters: BTreeMap<u64, (usize, Vec<u8>)>,
    count: u64,
    lost: f64,
    /// Pairs between which nothing passes, by direction.
    cut: BTreeSet<(usize, usize)>,
    sent: u64,
    downs: Vec<(i64, usize, NodeId)>,
}

fn name(n: usize, incarnation: u64) -> NodeId {
    NodeId::new(n as u64, incarnation, ([10, 0, 0, n as u8], 7000).into())
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            all: Vec::new(),
            incarnations: vec![0; size],
            mail: BinaryHeap::new(),
            letters: BTreeMap::new(),
            count: 0,
            lost: 0.02,
            cut: BTreeSet::new(),
            sent: 0,
            downs: Vec::new(),
        };
        fleet.all.resize_with(size, || None);
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    /// A new process, which knows where two others should be.
    fn start(&mut self, n: usize) {
        self.incarnations[n] += 1;
        let seed = self.rng.u64(..);
        let mut m = Membership::new(
            77,
            name(n, self.incarnations[n]),
            GossipTiming::default(),
            seed,
        );
        for _ in 0..2 {
            let other = self.rng.usize(0..self.all.len());
            if other != n {
                m.join(self.now, name(other, self.incarnations[other].max(1)));
            }
        }
        self.all[n] = Some(m);
        self.post(n);
    }

    fn post(&mut self, n: usize) {
        let Some(m) = &mut self.all[n] else { return };
        for d in m.take_datagrams() {
            self.sent += 1;
            let to = d.to.id as usize;
            if self.rng.f64() < self.lost || self.cut.contains(&(n, to)) {
                continue;
            }
            self.count += 1;
            self.mail
                .push(Reverse((self.now + self.rng.i64(200..20_000), self.count)));
            self.letters.insert(self.count, (to, d.bytes));
        }
        for news in m.take_events() {
            if let MembershipEvent::Down(name) = news {
                self.downs.push((self.now, n, name));
            }
        }
        // What is kept as news come is what is there.
        let there = m.all().map(|n| n.id).chain([m.local().id]);
        assert_eq!(m.topology(0), LeaseTopology::new(0, there));
        assert_eq!(m.count(), m.all().count());
        assert!(m.all().all(|n| m.address(n.id) == Some(n.address)));
    }

    fn run(&mut self, span: i64) {
        let end = self.now + span;
        loop {
            let mail = self.mail.peek().map(|Reverse((at, _))| *at);
            let ticks = self
                .all
                .iter()
                .flatten()
                .filter_map(Membership::next_deadline)
                .min();
            let Some(at) = mail.into_iter().chain(ticks).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = at.max(self.now);
            while let Some(Reverse((_, number))) =
                self.mail.peek().copied().filter(|m| m.0 .0 <= self.now)
            {
                self.mail.pop();
                let (to, bytes) = self.letters.remove(&number).expect("a letter");
                if let Some(m) = &mut self.all[to] {
                    let _ = m.on_datagram(self.now, &bytes);
                    self.post(to);
                }
            }
            for n in 0..self.all.len() {
                if let Some(m) = self.all[n]
                    .as_mut()
                    .filter(|m| m.next_deadline().is_some_and(|t| t <= self.now))
                {
                    m.tick(self.now);
                    self.post(n);
                }
            }
        }
        self.now = end;
    }

    /// Whether all that run see exactly those that run, in their last processes.
    fn agrees(&self) -> bool {
        let there: BTreeSet<(u64, u64)> = self
            .all
            .iter()
            .flatten()
            .map(|m| (m.local().id, m.local().incarnation))
            .collect();
        self.all.iter().flatten().all(|m| {
            let seen = m.all().chain([m.local()]).map(|n| (n.id, n.incarnation));
            seen.collect::<BTreeSet<_>>() == there
        })
    }

    fn until_agreed(&mut self, within: i64) -> i64 {
        let since = self.now;
        while !self.agrees() {
            assert!(
                self.now - since < within,
                "not agreed after {} s",
                within / SECOND
            );
            self.run(SECOND / 10);
        }
        self.now - since
    }
}

#[test]
fn a_fleet_finds_itself_loses_the_killed_and_takes_in_the_returned() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(30, seed);
        fleet.until_agreed(60 * SECOND);
        for n in 0..8 {
            fleet.all[3 * n] = None;
        }
        fleet.until_agreed(60 * SECOND);
        for n in 0..8 {
            fleet.start(3 * n);
        }
        fleet.until_agreed(60 * SECOND);
    }
}

#[test]
fn one_that_comes_back_at_once_takes_the_place_of_the_process_before() {
    let mut fleet = Fleet::new(12, 5);
    fleet.until_agreed(60 * SECOND);
    fleet.all[4] = None;
    fleet.start(4);
    fleet.until_agreed(30 * SECOND);
    let last = fleet.incarnations[4];
    assert!(fleet
        .all
        .iter()
        .flatten()
        .all(|m| m.all().all(|n| n.id != 4 || n.incarnation == last)));
}

#[test]
fn a_link_that_works_one_way_or_not_at_all_takes_nobody_out() {
    let mut fleet = Fleet::new(10, 9);
    fleet.until_agreed(60 * SECOND);
    // 0 is not heard by 1 and 2; 3 and 4 don't hear each other: all are reached through others.
    fleet.cut = BTreeSet::from([(0, 1), (0, 2), (3, 4), (4, 3)]);
    fleet.downs.clear();
    fleet.run(60 * SECOND);
    assert_eq!(fleet.downs.len(), 0, "{:?}", fleet.downs);
    assert!(fleet.agrees());
}

#[test]
fn both_sides_of_a_split_find_each_other_again() {
    let mut fleet = Fleet::new(12, 3);
    fleet.until_agreed(60 * SECOND);
    fleet.cut = (0..5)
        .flat_map(|a| (5..12).flat_map(move |b| [(a, b), (b, a)]))
        .collect();
    fleet.run(20 * SECOND);
    assert!(
        fleet.all[0]
            .as_ref()
            .expect("it runs")
            .all()
            .all(|n| n.id < 5),
        "the others are down here"
    );
    fleet.cut.clear();
    fleet.until_agreed(150 * SECOND);
}

#[test]
fn who_leaves_is_gone_at_once_and_what_a_member_sends_does_not_grow_with_the_fleet() {
    let rate = |size: usize| {
        let mut fleet = Fleet::new(size, 21);
        fleet.until_agreed(90 * SECOND);
        let (sent, since) = (fleet.sent, fleet.now);
        fleet.run(20 * SECOND);
        let rate = (fleet.sent - sent) as f64 / ((fleet.now - since) as f64 / 1e6) / size as f64;
        let now = fleet.now;
        fleet.all[1].as_mut().expect("it runs").leave(now);
        fleet.post(1);
        fleet.all[1] = None;
        fleet.until_agreed(10 * SECOND);
        rate
    };
    let (small, large) = (rate(8), rate(80));
    assert!(
        large < 1.5 * small,
        "{small} and {large} datagrams a member a second"
    );
}

#[test]
fn what_is_not_the_fleets_is_thrown_away_with_its_reason() {
    let mut a = Membership::new(1, name(1, 1), GossipTiming::default(), 1);
    let mut b = Membership::new(2, name(2, 1), GossipTiming::default(), 2);
    b.join(0, name(1, 1));
    let datagram = b.take_datagrams().remove(0).bytes;
    assert_eq!(
        a.on_datagram(0, &datagram),
        Err(RejectedDatagram::OtherFleet)
    );
    let mut later = datagram.clone();
    later[0] = FORMAT_VERSION + 1;
    assert_eq!(
        a.on_datagram(0, &later),
        Err(RejectedDatagram::UnknownFormat(FORMAT_VERSION + 1))
    );
    assert_eq!(
        a.on_datagram(0, &vec![FORMAT_VERSION; MAX_DATAGRAM_BYTES + 1]),
        Err(RejectedDatagram::Malformed)
    );
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let mut noise = datagram.clone();
        noise[1..9].copy_from_slice(&1u64.to_be_bytes());
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(9..noise.len());
            noise[at] = rng.u8(..);
        }
        noise.truncate(rng.usize(0..=noise.len()));
        let _ = a.on_datagram(0, &noise);
        a.take_datagrams();
    }
    assert!(a.all().count() < 20_000);
}
