//! What workers bear of front ends: connections are those opened less those closed, each order counts once at one worker, a
//! seed says what happens.

use std::collections::BTreeMap;
use tansy_bench_state::connections::{Connections, Keeping};
use tansy_bench_state::workers::{Got, Play, ASKED, LOADED, PROBED, UNLOADED};
use tansy_bench_state::{measure_in_process, Args, Measurement};
use tansyrouter::{Micros, SECOND};

fn args(front_ends: usize, miss: bool, seed: u64) -> Args {
    let (functions, instances) = (front_ends * 340 / 15, front_ends * 1_300 / 15);
    Args {
        front_ends,
        functions,
        instances,
        miss,
        seed,
        ..Args::of(Measurement::WorkerLoad)
    }
}

/// What a slow reader of the same openings and ends would count: every moment at which a connection could close is looked
/// at, and every connection there is.
#[derive(Default)]
struct Plain {
    /// By number: front end, worker, streams, last use.
    all: BTreeMap<u64, (usize, usize, u32, Micros)>,
    opened: u64,
    closed: u64,
}

impl Plain {
    fn pass(&mut self, now: Micros, idle: Option<Micros>) {
        let before = self.all.len();
        self.all
            .retain(|_, c| c.2 > 0 || idle.is_none_or(|idle| c.3 + idle > now));
        self.closed += (before - self.all.len()) as u64;
    }
}

#[test]
fn connections_are_those_opened_less_those_closed() {
    let ways = [
        (None, u32::MAX),
        (Some(50), 1),
        (Some(200), 3),
        (Some(1), 2),
    ];
    for (idle, streams) in ways {
        let keeping = Keeping { idle, streams };
        let (mut counted, mut plain) = (Connections::new(4, keeping), Plain::default());
        let mut rng = fastrand::Rng::with_seed(7);
        let mut open: Vec<(usize, usize, u64)> = Vec::new();
        let mut now = 0;
        for _ in 0..5_000 {
            now += rng.i64(0..20);
            plain.pass(now, idle);
            if open.len() < 12 && rng.bool() {
                let (front, worker) = (rng.usize(..5), rng.usize(..4));
                let room = |c: &&(usize, usize, u32, Micros)| {
                    (c.0, c.1) == (front, worker) && c.2 < streams
                };
                let had_room = plain.all.values().any(|c| room(&c));
                let (serial, new) = counted.begin(now, front, worker);
                assert_eq!(new, !had_room, "a new one only where none has room");
                plain.opened += u64::from(new);
                let c = plain.all.entry(serial).or_insert((front, worker, 0, now));
                assert_eq!(
                    (c.0, c.1),
                    (front, worker),
                    "a connection leads to one worker"
                );
                (c.2, c.3) = (c.2 + 1, now);
                assert!(
                    c.2 <= streams,
                    "{} streams on a connection that takes {streams}",
                    c.2
                );
                open.push((front, worker, serial));
            } else if !open.is_empty() {
                let (front, worker, serial) = open.swap_remove(rng.usize(..open.len()));
                counted.end(now, front, worker, serial);
                let c = plain.all.get_mut(&serial).expect("one that is used stands");
                (c.2, c.3) = (c.2 - 1, now);
            }
            counted.pass(now);
            plain.pass(now, idle);
            let standing = plain.all.len() as u64;
            assert_eq!(
                counted.counts(),
                (plain.opened, plain.closed, standing),
                "{keeping:?} at {now}"
            );
            let mut each = [0; 4];
            plain.all.values().for_each(|c| each[c.1] += 1);
            assert_eq!(counted.standing(), each, "{keeping:?} at {now}");
        }
        assert!(
            plain.opened > 10 && (idle.is_none() || plain.closed > 10),
            "{keeping:?}: nothing happened"
        );
    }
}

#[test]
fn connections_on_average_are_their_time_over_all_time() {
    let mut c = Connections::new(
        2,
        Keeping {
            idle: Some(100),
            streams: 1,
        },
    );
    let (early, _) = c.begin(0, 0, 0);
    c.measure(50);
    // It stands over what is measured from its start to 200 and 100 more, and one at the other worker from 150 on.
    c.end(200, 0, 0, early);
    let (_, new) = c.begin(350, 1, 1);
    assert!(new);
    let (mean, most, opened_s) = c.seen(450);
    assert_eq!((mean, most), ((250.0 + 100.0) / 400.0 / 2.0, 1));
    assert_eq!(opened_s, 1.0 / 400e-6 / 2.0);
    // An end that is told twice, or of a connection that never was, changes nothing.
    c.end(450, 0, 0, early);
    c.end(450, 0, 1, 99);
    assert_eq!(c.counts(), (2, 1, 1));
}

fn sums(got: &[(Got, bool)]) -> (u64, [u64; 4], u64) {
    let mut all = (0, [0; 4], 0);
    for (g, _) in got {
        (all.0, all.2) = (all.0 + g.calls, all.2 + g.loads);
        all.1
            .iter_mut()
            .zip(g.orders)
            .for_each(|(sum, n)| *sum += n);
    }
    all
}

#[test]
fn each_order_and_attempt_is_counted_once_at_one_worker() {
    for (miss, silent) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut play = Play::new(&args(12, miss, 3)).expect("a fleet");
        play.run(3 * SECOND);
        if silent {
            play.silence(3);
            play.run(6 * SECOND);
        }
        let (calls, orders, loads) = sums(&play.got());
        let accounts = play.accounts();
        let sum = |of: fn(&tansy_dispatch::Counters) -> u64| accounts.iter().map(of).sum::<u64>();
        let (orders_away, calls_away) = play.under_way();
        assert_eq!(
            sum(|a| a.attempts),
            calls + calls_away,
            "attempts, miss {miss}, silent {silent}"
        );
        let given =
            sum(|a| a.loads) + sum(|a| a.instance_queries) + sum(|a| a.unloads) + sum(|a| a.probes);
        assert_eq!(
            given,
            orders.iter().sum::<u64>() + orders_away,
            "orders, miss {miss}, silent {silent}"
        );
        if orders_away == 0 {
            let kinds = [
                sum(|a| a.loads),
                sum(|a| a.instance_queries),
                sum(|a| a.unloads),
                sum(|a| a.probes),
            ];
            let places = [LOADED, ASKED, UNLOADED, PROBED].map(|k| orders[k]);
            assert_eq!(
                kinds, places,
                "kinds of orders, miss {miss}, silent {silent}"
            );
        }
        assert!(
            calls > 1_000 && loads > 100,
            "{calls} calls and {loads} loads: nothing happened"
        );
        assert!(
            !silent || orders[PROBED] > 0,
            "silent workers were not probed"
        );
        // What is open by the front ends is open on connections, and no front end's count is off.
        let streams = play.streams();
        for link in play.links() {
            let (opened, closed, standing) = link.counts();
            assert_eq!(opened - closed, standing);
            assert_eq!(
                link.standing().iter().map(|n| u64::from(*n)).sum::<u64>(),
                standing
            );
            assert!(standing > 0);
        }
        assert!(streams > 0 && accounts.iter().all(|a| a.guard_rejections == 0));
    }
}

#[test]
fn a_connection_that_is_kept_is_one_of_each_pair_and_sites_keep_no_more_pairs() {
    let mut play = Play::new(&args(9, false, 2)).expect("a fleet");
    play.run(20 * SECOND);
    let workers = play.got().len();
    let kept = play.links()[0].standing();
    assert!(
        kept.iter().all(|n| *n <= 9),
        "more than one of a pair: {kept:?}"
    );
    assert_eq!(kept.len(), workers);
    assert_eq!(play.links()[0].counts().1, 0, "one that is kept was closed");
}

#[test]
fn a_seed_says_what_workers_bear() {
    let line = |seed| {
        let mut line = measure_in_process(&args(8, false, seed))
            .expect("a measurement")
            .json(true);
        // What the wall clock tells is another one each time.
        line.as_object_mut().expect("an object").remove("decide_us");
        line
    };
    let first = line(1);
    assert_eq!(first, line(1));
    assert_ne!(first["calls_s"], line(2)["calls_s"]);
    for field in ["connections", "connections_12s", "connections_20s"] {
        assert!(
            first[field]["mean"].as_f64().is_some_and(|n| n > 0.0),
            "{first}"
        );
    }
    assert!(
        first["cold_served"].as_u64().is_some_and(|n| n > 0),
        "{first}"
    );
    assert_eq!(first["unserved"], 0, "{first}");
}
