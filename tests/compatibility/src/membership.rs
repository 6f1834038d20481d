//! Datagrams of membership: two front ends get to know each other, look at each other, and one leaves.

use tansy_membership::{GossipTiming, Membership, NodeId};

/// The fleet's number in the datagrams.
pub const FLEET: u64 = 77;

/// A front end's process.
pub fn name(id: u64) -> NodeId {
    NodeId::new(id, 3, ([10, 0, 0, id as u8], 7000).into())
}

/// One that knows nobody; its random choices are seeded.
pub fn member(id: u64) -> Membership {
    Membership::new(FLEET, name(id), GossipTiming::default(), id)
}

/// All datagrams in their order, each with who sends and who takes it: `1-to-2`.
pub fn conversation() -> Vec<(String, Vec<u8>)> {
    let mut all = [member(1), member(2)];
    let mut sent = Vec::new();
    all[0].join(0, name(2));
    deliver(&mut all, 0, &mut sent);
    // Three looks of each at the other.
    for now in (0..=1_500_000).step_by(50_000) {
        all.iter_mut().for_each(|m| m.tick(now));
        deliver(&mut all, now, &mut sent);
    }
    all[0].leave(1_600_000);
    deliver(&mut all, 1_600_000, &mut sent);
    sent
}

fn deliver(all: &mut [Membership; 2], now: i64, sent: &mut Vec<(String, Vec<u8>)>) {
    loop {
        let before = sent.len();
        for from in 0..2 {
            for datagram in all[from].take_datagrams() {
                let to = datagram.to.id as usize;
                sent.push((format!("{}-to-{to}", from + 1), datagram.bytes.clone()));
                all[to - 1]
                    .on_datagram(now, &datagram.bytes)
                    .expect("a datagram");
            }
        }
        if sent.len() == before {
            return;
        }
    }
}
