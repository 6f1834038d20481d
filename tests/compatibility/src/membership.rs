//! Membership datagrams: two front ends discover each other, probe each other, and one leaves.

use tansy_membership::{GossipTiming, Membership, NodeId};

/// The fleet id in the datagrams.
pub const FLEET: u64 = 77;

/// The node id of a front end's process.
pub fn node_id(id: u64) -> NodeId {
    NodeId::new(id, 3, ([10, 0, 0, id as u8], 7000).into())
}

/// A front end that knows no others yet, with a fixed seed.
pub fn member(id: u64) -> Membership {
    Membership::new(FLEET, node_id(id), GossipTiming::default(), id)
}

/// All datagrams in order, each with its sender and receiver, for example `1-to-2`.
pub fn datagrams() -> Vec<(String, Vec<u8>)> {
    let mut all = [member(1), member(2)];
    let mut sent = Vec::new();
    all[0].join(0, node_id(2));
    deliver(&mut all, 0, &mut sent);
    // Long enough for three probes in each direction.
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
