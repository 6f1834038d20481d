//! What grows with the front ends of a fleet: membership, the view made of it, the roster and its stays.

use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use serde_json::json;
use std::net::SocketAddr;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::lease::{LeaseTiming, Member};
use tansy_agreement::lease_tree::LeaseTopology;
use tansy_agreement::log::{EntryRejection, Log, LogEntry, Revision, MAX_MEMBERS};
use tansy_agreement::session::{SessionRequest, SessionTable};
use tansy_membership::{GossipTiming, Membership, NodeId};

const FLEET: u64 = 7;
const SECOND: i64 = 1_000_000;
/// Front ends that join while it is measured what one costs.
const JOINS: usize = 200;
/// Virtual time of probes.
const PROBED: i64 = 30 * SECOND;
/// The seat's number.
const SEAT: u64 = 1;

fn at(n: usize) -> SocketAddr {
    let n = n as u32;
    SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7000))
}

/// A front end's number, spread as hashes of names are.
fn id(n: usize, seed: u64) -> u64 {
    fastrand::Rng::with_seed(seed ^ (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)).u64(2..)
}

fn name(n: usize, seed: u64) -> NodeId {
    NodeId::new(id(n, seed), 1, at(n))
}

/// One front end among others, each of which is there only for as long as it writes or answers.
struct Known {
    members: Membership,
    pace: GossipTiming,
    seed: u64,
    bytes: usize,
    datagrams: usize,
}

impl Known {
    fn new(size: usize, seed: u64) -> Known {
        let pace = GossipTiming {
            size: u32::try_from(size).unwrap_or(u32::MAX),
            ..GossipTiming::default()
        };
        let members = Membership::new(FLEET, NodeId::new(SEAT, 1, at(1 << 23)), pace, seed);
        Known {
            members,
            pace,
            seed,
            bytes: 0,
            datagrams: 0,
        }
    }

    fn other(&self, name: NodeId) -> Membership {
        Membership::new(FLEET, name, self.pace, self.seed)
    }

    /// Another one joins; how long that took here.
    fn joins(&mut self, now: i64, n: usize) -> Result<std::time::Duration, BenchError> {
        let mut other = self.other(name(n, self.seed));
        other.join(now, self.members.local().clone());
        let mut all = std::time::Duration::ZERO;
        for d in other.take_datagrams() {
            let (heard, took) = timed(|| self.members.on_datagram(now, &d.bytes));
            heard.map_err(|e| BenchError::failed("a datagram", e))?;
            all += took;
        }
        self.members.take_datagrams();
        Ok(all)
    }

    /// What it sends is answered by whom it is sent to.
    fn answered(&mut self, now: i64) -> Result<(), BenchError> {
        for d in self.members.take_datagrams() {
            (self.bytes, self.datagrams) = (self.bytes + d.bytes.len(), self.datagrams + 1);
            let mut other = self.other(d.to);
            // One that is asked by somebody it does not know yet answers all the same.
            let _ = other.on_datagram(now, &d.bytes);
            for back in other
                .take_datagrams()
                .into_iter()
                .filter(|b| b.to.id == SEAT)
            {
                let _ = self.members.on_datagram(now, &back.bytes);
            }
        }
        Ok(())
    }
}

/// Membership as one front end holds it.
pub fn members(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let grown = MemoryGrowth::begin();
    let mut known = Known::new(args.front_ends, args.seed);
    let mut joins = Distribution::default();
    let mut now = 0;
    let first = args
        .front_ends
        .saturating_sub(1 + JOINS.min(args.front_ends / 2));
    for n in 0..args.front_ends.saturating_sub(1) {
        now += 1000;
        let took = known.joins(now, n)?;
        if n >= first {
            joins.add(took);
        }
    }
    let up = known.members.take_events().len();
    output.count("members", known.members.all().count() + 1);
    output.figure("memory_mb", grown.mb());
    output.insert("join_us", joins.us());
    // Probes that are answered, and the news of all who joined, which are told on meanwhile.
    let (mut ticks, end) = (Distribution::default(), now + PROBED);
    while let Some(next) = known.members.next_deadline().filter(|t| *t <= end) {
        now = now.max(next);
        let (_, took) = timed(|| known.members.tick(now));
        ticks.add(took);
        known.answered(now)?;
    }
    let seconds = PROBED as f64 / 1e6;
    output.insert("tick_us", ticks.us());
    output.figure("datagrams_s", known.datagrams as f64 / seconds);
    output.figure("datagram_bytes_s", known.bytes as f64 / seconds);
    output.count("news", up + known.members.take_events().len());
    // What each piece of news makes a front end do: `Peer::spread`, with `Front::knows` and `View::parent`.
    let (mut view, mut compare, mut parent) = (
        Distribution::default(),
        Distribution::default(),
        Distribution::default(),
    );
    let before = MemoryGrowth::begin();
    let mut held = known.members.topology(SEAT);
    output.figure("view_mb", before.mb());
    let asks = id(0, args.seed);
    for n in 0..50 {
        let (now_seen, took) = timed(|| known.members.topology(SEAT));
        view.add(took);
        let (same, took) = timed(|| now_seen == held);
        compare.add(took);
        let (found, took) = timed(|| now_seen.parent(asks, n % 3));
        parent.add(took);
        if !same || found.is_none() {
            return Err(BenchError::failed(
                "the view",
                "it changed, or the front end isn't in it",
            ));
        }
        held = now_seen;
    }
    output.insert("view_us", view.us());
    output.insert("compare_us", compare.us());
    output.insert("parent_us", parent.us());
    output.figure("peak_mb", grown.peak_mb());
    Ok(())
}

/// [`LeaseTopology`] alone, of names that are at hand.
pub fn view(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names: Vec<u64> = (0..args.front_ends).map(|n| id(n, args.seed)).collect();
    let grown = MemoryGrowth::begin();
    let kept = LeaseTopology::new(SEAT, names.iter().copied());
    output.figure("memory_mb", grown.mb());
    let (mut make, mut parent, mut depth) = (Distribution::default(), Distribution::default(), 0);
    for name in names.iter().take(200) {
        let (made, took) = timed(|| LeaseTopology::new(SEAT, names.iter().copied()));
        make.add(took);
        let (_, took) = timed(|| made.parent(*name, 0));
        parent.add(took);
        let links = (0..64)
            .take_while(|choice| made.parent(*name, *choice) != Some(SEAT))
            .count()
            + 1;
        depth = depth.max(links);
    }
    output.insert("view_us", make.us());
    output.insert("parent_us", parent.us());
    // Links from a front end to the seat, each of which a step takes.
    output.count("links", depth);
    drop(kept);
    Ok(())
}

/// The roster of the log, and the stays that a seat gives.
pub fn roster(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let member = |n: usize| Member {
        id: id(n, args.seed),
        incarnation: 1,
    };
    let stays = LeaseTiming {
        span: 3600 * SECOND,
        drift_ppm: 1000,
    };
    let grown = MemoryGrowth::begin();
    let mut log = Log::new(Fields::new(), [(SEAT, at(0))]);
    let (mut joins, mut refused) = (Distribution::default(), 0);
    for n in 0..args.front_ends {
        let entry = LogEntry::Join {
            member: member(n),
            name: format!("front-end-{n}"),
            revision: Revision(1),
        };
        let (joined, took) = timed(|| log.apply(entry));
        joins.add(took);
        match joined {
            Ok(_) => {}
            Err(EntryRejection::TooManyMembers) => refused += 1,
            Err(e) => return Err(BenchError::failed("a front end that joins", e)),
        }
    }
    output.figure("memory_mb", grown.mb());
    output.count("rostered", log.roster().count());
    output.count("not_rostered", refused);
    output.count("most_front_ends", MAX_MEMBERS);
    if refused > 0 {
        output.add_note(format!(
            "{}: {refused} front ends are not on it",
            EntryRejection::TooManyMembers
        ));
    }
    output.insert("apply_us", joins.us());
    let (bytes, took) = timed(|| postcard::to_stdvec(&log).map_or(0, |b| b.len()));
    output.count("log_bytes", bytes);
    // The log is encoded again after every 32 entries.
    output.figure("encode_ms", ms(took));
    let before = MemoryGrowth::begin();
    let roster: Vec<Member> = log.roster().map(|(m, _)| m).collect();
    let mut register = SessionTable::new(stays, roster.iter().copied(), 0);
    output.figure("register_mb", before.mb());
    let (mut grants, mut looks, mut rejoins) = (
        Distribution::default(),
        Distribution::default(),
        Distribution::default(),
    );
    for (n, from) in roster.iter().enumerate() {
        let ask = SessionRequest {
            from: *from,
            seq: 1,
            revision: Revision(1),
            supports_scopes: true,
        };
        let (granted, took) = timed(|| register.grant(n as i64, ask));
        grants.add(took);
        if granted.is_none() {
            return Err(BenchError::failed("a stay", "one on the roster got none"));
        }
    }
    for n in 0..200 {
        // What the seat looks at every 50 ms.
        let (_, took) = timed(|| {
            (
                register.expired(n).count(),
                register.all_at_least(Revision(1)),
            )
        });
        looks.add(took);
    }
    for from in roster.iter().take(200) {
        let later = Member {
            incarnation: 2,
            ..*from
        };
        let (_, took) = timed(|| register.on_join(1, later, Revision(1)));
        rejoins.add(took);
    }
    output.insert("grant_us", grants.us());
    output.insert("look_us", looks.us());
    output.insert("joined_us", rejoins.us());
    output.insert("peak_mb", json!(grown.peak_mb().round()));
    Ok(())
}
