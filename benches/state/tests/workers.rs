//! Load on workers: connection counts match a reference model, each control request is counted once, and the seed determines
//! the result.

use std::collections::BTreeMap;
use tansy_bench_state::connections::{
    ConnectionCounts, ConnectionPool, ConnectionUsage, KeepAlivePolicy,
};
use tansy_bench_state::workers::{ControlRequestKind, WorkerCounters, WorkerSimulation};
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

struct ReferenceConnection {
    front_end: usize,
    worker: usize,
    streams: u32,
    last_used: Micros,
}

/// A simple reference model of the pool, which checks every connection for its idle timeout at each step.
#[derive(Default)]
struct ReferencePool {
    connections: BTreeMap<u64, ReferenceConnection>,
    opened: u64,
    closed: u64,
}

impl ReferencePool {
    fn close_idle(&mut self, now: Micros, idle_timeout: Option<Micros>) {
        let before = self.connections.len();
        self.connections.retain(|_, connection| {
            connection.streams > 0
                || idle_timeout.is_none_or(|timeout| connection.last_used + timeout > now)
        });
        self.closed += (before - self.connections.len()) as u64;
    }

    fn has_room(&self, front_end: usize, worker: usize, max_streams: u32) -> bool {
        self.connections
            .values()
            .any(|c| (c.front_end, c.worker) == (front_end, worker) && c.streams < max_streams)
    }
}

/// A pool and its reference model, driven by the same operations.
struct ComparedPools {
    policy: KeepAlivePolicy,
    pool: ConnectionPool,
    reference: ReferencePool,
}

impl ComparedPools {
    fn new(workers: usize, policy: KeepAlivePolicy) -> ComparedPools {
        ComparedPools {
            policy,
            pool: ConnectionPool::new(workers, policy),
            reference: ReferencePool::default(),
        }
    }

    /// Begins a stream and returns its connection's identifier.
    fn begin_stream(&mut self, now: Micros, front_end: usize, worker: usize) -> u64 {
        let max_streams = self.policy.max_streams;
        let had_room = self.reference.has_room(front_end, worker, max_streams);
        let start = self.pool.begin_stream(now, front_end, worker);
        assert_eq!(
            start.is_new, !had_room,
            "a connection is opened only if no other has room"
        );
        self.reference.opened += u64::from(start.is_new);
        let connections = &mut self.reference.connections;
        let connection = connections
            .entry(start.connection)
            .or_insert(ReferenceConnection {
                front_end,
                worker,
                streams: 0,
                last_used: now,
            });
        assert_eq!(
            (connection.front_end, connection.worker),
            (front_end, worker),
            "a connection belongs to one front end and one worker"
        );
        connection.streams += 1;
        connection.last_used = now;
        assert!(
            connection.streams <= max_streams,
            "{} streams on a connection that takes {max_streams}",
            connection.streams
        );
        start.connection
    }

    fn end_stream(&mut self, now: Micros, front_end: usize, worker: usize, id: u64) {
        self.pool.end_stream(now, front_end, worker, id);
        let connections = &mut self.reference.connections;
        let connection = connections
            .get_mut(&id)
            .expect("a connection in use is open");
        connection.streams -= 1;
        connection.last_used = now;
    }

    fn assert_same(&mut self, now: Micros) {
        self.pool.close_idle(now);
        self.reference.close_idle(now, self.policy.idle_timeout);
        let expected = ConnectionCounts {
            opened: self.reference.opened,
            closed: self.reference.closed,
            open: self.reference.connections.len() as u64,
        };
        let policy = self.policy;
        assert_eq!(self.pool.counts(), expected, "{policy:?} at {now}");
        let mut by_worker = [0; 4];
        let connections = self.reference.connections.values();
        connections.for_each(|c| by_worker[c.worker] += 1);
        assert_eq!(self.pool.open_by_worker(), by_worker, "{policy:?} at {now}");
    }
}

#[test]
fn connection_counts_match_the_reference_model() {
    let policies = [
        (None, u32::MAX),
        (Some(50), 1),
        (Some(200), 3),
        (Some(1), 2),
    ];
    for (idle_timeout, max_streams) in policies {
        let policy = KeepAlivePolicy {
            idle_timeout,
            max_streams,
        };
        let mut pools = ComparedPools::new(4, policy);
        let mut rng = fastrand::Rng::with_seed(7);
        let mut open: Vec<(usize, usize, u64)> = Vec::new();
        let mut now = 0;
        for _ in 0..5_000 {
            now += rng.i64(0..20);
            pools.reference.close_idle(now, idle_timeout);
            if open.len() < 12 && rng.bool() {
                let (front_end, worker) = (rng.usize(..5), rng.usize(..4));
                let id = pools.begin_stream(now, front_end, worker);
                open.push((front_end, worker, id));
            } else if !open.is_empty() {
                let (front_end, worker, id) = open.swap_remove(rng.usize(..open.len()));
                pools.end_stream(now, front_end, worker, id);
            }
            pools.assert_same(now);
        }
        let reference = &pools.reference;
        assert!(
            reference.opened > 10 && (idle_timeout.is_none() || reference.closed > 10),
            "{policy:?}: too little activity"
        );
    }
}

#[test]
fn mean_connections_are_weighted_by_time() {
    let policy = KeepAlivePolicy {
        idle_timeout: Some(100),
        max_streams: 1,
    };
    let mut pool = ConnectionPool::new(2, policy);
    let early = pool.begin_stream(0, 0, 0).connection;
    pool.start_measurement(50);
    // The first connection is open from the start of the measurement at 50 until 300, the second from 350 to the end at
    // 450.
    pool.end_stream(200, 0, 0, early);
    assert!(pool.begin_stream(350, 1, 1).is_new);
    let expected = ConnectionUsage {
        mean: (250.0 + 100.0) / 400.0 / 2.0,
        max: 1,
        opened_per_s: 1.0 / 400e-6 / 2.0,
    };
    assert_eq!(pool.usage(450), expected);
    // Ending a stream twice, or on an unknown connection, has no effect.
    pool.end_stream(450, 0, 0, early);
    pool.end_stream(450, 0, 1, 99);
    let counts = ConnectionCounts {
        opened: 2,
        closed: 1,
        open: 1,
    };
    assert_eq!(pool.counts(), counts);
}

/// The counters of all workers together.
fn sum(counters: &[WorkerCounters]) -> WorkerCounters {
    let mut sum = WorkerCounters::default();
    for worker in counters {
        sum.attempts += worker.attempts;
        sum.loads += worker.loads;
        for (total, count) in sum.control_requests.iter_mut().zip(worker.control_requests) {
            *total += count;
        }
    }
    sum
}

/// Asserts that opened minus closed connections equals open ones, in total and summed over workers.
fn assert_consistent(pool: &ConnectionPool) {
    let counts = pool.counts();
    assert_eq!(counts.opened - counts.closed, counts.open);
    let by_worker = pool.open_by_worker();
    assert_eq!(
        by_worker.iter().map(|open| u64::from(*open)).sum::<u64>(),
        counts.open
    );
    assert!(counts.open > 0);
}

#[test]
fn each_control_request_and_attempt_is_counted_once_at_one_worker() {
    for (miss, silent) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut simulation =
            WorkerSimulation::new(&args(12, miss, 3)).expect("the simulation starts");
        simulation.run(3 * SECOND);
        if silent {
            simulation.silence(3);
            simulation.run(6 * SECOND);
        }
        let received = sum(&simulation.worker_counters());
        let counters = simulation.dispatcher_counters();
        let sent =
            |count: fn(&tansy_dispatch::Counters) -> u64| counters.iter().map(count).sum::<u64>();
        let (requests_in_flight, attempts_in_flight) = simulation.in_flight();
        assert_eq!(
            sent(|c| c.attempts),
            received.attempts + attempts_in_flight,
            "attempts, miss {miss}, silent {silent}"
        );
        let sent_by_kind = [
            sent(|c| c.loads),
            sent(|c| c.instance_queries),
            sent(|c| c.unloads),
            sent(|c| c.probes),
        ];
        assert_eq!(
            sent_by_kind.iter().sum::<u64>(),
            received.control_requests.iter().sum::<u64>() + requests_in_flight,
            "control requests, miss {miss}, silent {silent}"
        );
        if requests_in_flight == 0 {
            let kinds = [
                ControlRequestKind::Load,
                ControlRequestKind::Query,
                ControlRequestKind::Unload,
                ControlRequestKind::Probe,
            ];
            assert_eq!(
                sent_by_kind,
                kinds.map(|kind| received.control_requests[kind as usize]),
                "kinds of control requests, miss {miss}, silent {silent}"
            );
        }
        let (attempts, loads) = (received.attempts, received.loads);
        assert!(
            attempts > 1_000 && loads > 100,
            "{attempts} attempts and {loads} loads: too little activity"
        );
        assert!(
            !silent || received.control_requests[ControlRequestKind::Probe as usize] > 0,
            "silent workers were not probed"
        );
        // Connections are counted consistently, and no guard rejected an action of a router.
        simulation.connections().iter().for_each(assert_consistent);
        assert!(simulation.open_streams() > 0 && counters.iter().all(|c| c.guard_rejections == 0));
    }
}

#[test]
fn kept_connections_are_at_most_one_per_front_end_and_worker() {
    let mut simulation = WorkerSimulation::new(&args(9, false, 2)).expect("the simulation starts");
    simulation.run(20 * SECOND);
    let workers = simulation.worker_counters().len();
    let keep_all = &simulation.connections()[0];
    let open = keep_all.open_by_worker();
    assert!(
        open.iter().all(|count| *count <= 9),
        "more than one connection per front end: {open:?}"
    );
    assert_eq!(open.len(), workers);
    assert_eq!(keep_all.counts().closed, 0, "a kept connection was closed");
}

#[test]
fn a_seed_determines_the_load_on_workers() {
    let line = |seed| {
        let mut line = measure_in_process(&args(8, false, seed))
            .expect("the measurement succeeds")
            .json(true);
        // Wall times differ between runs.
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
