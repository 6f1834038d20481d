//! Leases down a tree of many front ends, in virtual time: who has one keeps it while nothing fails.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use tansy_agreement::lease::{LeaseGrant, LeaseTiming, Member};
use tansy_agreement::lease_tree::{LeaseMessage, LeaseNode, LeaseTopology};
use tansy_agreement::log::Revision;

const SECOND: i64 = 1_000_000;
const TERMS: LeaseTiming = LeaseTiming {
    span: 5 * SECOND,
    drift_ppm: 1_000,
};

type Letter = (u64, u64, LeaseMessage<Revision>);

/// Front ends 1 and on under the seat 1, each in one of some regions, its clock as the others'.
struct Tree {
    now: i64,
    all: Vec<LeaseNode<Revision>>,
    /// Time of the way between two regions.
    between: Vec<Vec<i64>>,
    mail: BinaryHeap<Reverse<(i64, u64)>>,
    letters: BTreeMap<u64, Letter>,
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
        let mut between = vec![vec![0; regions]; regions];
        for a in 0..regions {
            for b in 0..a {
                let way = rng.i64(SECOND / 25..=SECOND * 2 / 25);
                (between[a][b], between[b][a]) = (way, way);
            }
        }
        let view = LeaseTopology::new(1, 1..=fronts);
        let mut one = |id| {
            let me = Member { id, incarnation: 1 };
            match id {
                1 => LeaseNode::leader(TERMS, me, view.clone(), Revision(1), TERMS.span, 0),
                _ => LeaseNode::new(TERMS, me, view.clone(), rng.i64(0..starts)),
            }
        };
        let all = (1..=fronts).map(&mut one).collect();
        let (mail, letters) = (BinaryHeap::new(), BTreeMap::new());
        Tree {
            now: 0,
            all,
            between,
            mail,
            letters,
            count: 0,
            rng,
        }
    }

    fn post(&mut self, from: u64, letters: Vec<(u64, LeaseMessage<Revision>)>) {
        for (to, message) in letters {
            let region = |id: u64| id as usize % self.between.len();
            let way = self.between[region(from)][region(to)]
                + self.rng.i64(SECOND / 5000..=SECOND * 3 / 1000);
            self.count += 1;
            self.mail.push(Reverse((self.now + way, self.count)));
            self.letters.insert(self.count, (from, to, message));
        }
    }

    /// Plays on until then, a hundredth of a second at a time; `look` sees the tree after each. The seat's right is
    /// extended ten times a second.
    fn until(&mut self, then: i64, mut look: impl FnMut(&Tree)) {
        while self.now < then {
            self.now += SECOND / 100;
            if self.now % (SECOND / 10) == 0 {
                let mut out = Vec::new();
                self.all[0].extend_leader_lease(self.now, self.now + TERMS.span, &mut out);
                self.post(1, out);
            }
            while let Some(Reverse((at, n))) =
                self.mail.peek().copied().filter(|m| m.0 .0 <= self.now)
            {
                self.mail.pop();
                let (from, to, message) = self.letters.remove(&n).expect("a letter under way");
                let mut out = Vec::new();
                self.all[to as usize - 1].on_message(at, from, message, &mut out);
                self.post(to, out);
            }
            for id in 1..=self.all.len() as u64 {
                let mut out = Vec::new();
                self.all[id as usize - 1].tick(self.now, &mut out);
                self.post(id, out);
            }
            look(self);
        }
    }

    fn without(&self) -> usize {
        self.all
            .iter()
            .filter(|f| f.remaining(self.now) == 0)
            .count()
    }
}

#[test]
fn nobody_loses_a_lease_while_nothing_fails() {
    for seed in 1..=3 {
        // Five links deep at the most.
        let mut tree = Tree::new(5000, 7, 5 * SECOND, seed);
        tree.until(12 * SECOND, |_| {});
        let (mut looks, mut without) = (0, 0);
        tree.until(22 * SECOND, |tree| {
            looks += tree.all.len();
            without += tree.without();
        });
        assert_eq!(without, 0, "seed {seed}: of {looks} looks at a front end");
    }
}

/// Asks of one that stands four links under the seat, by whom it asks, in some lease's lengths. Its own parent answers each
/// with so much, after a tenth of a second; nobody else does.
fn asked(own: i64) -> BTreeMap<u64, usize> {
    let view = LeaseTopology::new(1, 1..=700);
    let depth = |id| (0..9).find(|c| view.parent(id, *c) == Some(1));
    let id = (2..=700)
        .find(|id| depth(*id) == Some(3))
        .expect("one four links down");
    let (me, parent) = (Member { id, incarnation: 1 }, view.parent(id, 0));
    let mut front: LeaseNode<Revision> = LeaseNode::new(TERMS, me, view, 0);
    let mut asked = BTreeMap::new();
    for n in 0..60 {
        let (mut out, now) = (Vec::new(), n * TERMS.span / 4);
        front.tick(now, &mut out);
        for (to, message) in out {
            let LeaseMessage::Request(ask) = message else {
                continue;
            };
            *asked.entry(to).or_insert(0) += 1;
            if Some(to) == parent && own > 0 {
                let state = (ask.known < Revision(1)).then_some(Revision(1));
                let grant = LeaseGrant {
                    to: me,
                    seq: ask.seq,
                    span: own,
                    revision: Revision(1),
                    state,
                    delta: None,
                };
                front.on_message(
                    now + SECOND / 10,
                    to,
                    LeaseMessage::Grant(grant),
                    &mut Vec::new(),
                );
            }
        }
    }
    asked
}

#[test]
fn whoever_has_no_lease_asks_all_between_it_and_the_seat_again_and_again() {
    // The seat has no room, and the own parent is silent, or grants what is over when it comes, or lives for a moment.
    for own in [0, SECOND / 100, SECOND / 5] {
        let asked = asked(own);
        assert!(
            asked.len() == 4 && asked.values().all(|n| *n >= 8),
            "{own}: {asked:?}"
        );
    }
}
