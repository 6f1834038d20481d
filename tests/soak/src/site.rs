//! The configuration that a front end is started with.

use std::net::SocketAddr;
use std::time::Duration;

/// Seconds after which a worker closes a connection that carried nothing.
pub const KEEPALIVE_S: f64 = 3.0;
/// Workers drop the repeats of a keyed request for so long.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(1);
/// The longest deadline of any class, milliseconds.
pub const LONGEST_DEADLINE_MS: u64 = 2000;

/// One worker as the list tells of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Where front ends reach it.
    pub address: SocketAddr,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: &'static str,
    /// Unix millisecond of its start; 0: long ago.
    pub started_ms: u64,
}

impl Server {
    /// Its line in an event.
    pub fn line(&self) -> String {
        let Server {
            id,
            address,
            state,
            started_ms,
        } = self;
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"a","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":{started_ms}}}"#
        )
    }
}

/// What a configuration is made from.
#[derive(Clone, Debug)]
pub struct Site {
    /// Where the front end listens.
    pub listen: SocketAddr,
    /// Its coordinator.
    pub coordinator: SocketAddr,
    /// The workers as of its start.
    pub servers: Vec<Server>,
    /// A connection to a worker that is not up by then has failed.
    pub connect_timeout_s: f64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// For its random numbers.
    pub seed: u64,
    /// How many front ends there are.
    pub siblings: usize,
    /// Its number among them.
    pub me: usize,
}

impl Site {
    /// The configuration's text.
    pub fn text(&self) -> String {
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","aim_s":0.8,"deadline_s":2.0,"effect":"{effect}","late_worth":0.1,"gain":1}}"#
            )
        };
        let servers = self
            .servers
            .iter()
            .map(Server::line)
            .collect::<Vec<_>>()
            .join(",");
        format!(
            r#"{{"name":"n{}","listen":"{}","seed":"{:016x}",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{}}},"coordinator":"{}",
            "known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"version":1,"full":true,"servers":[{servers}]}}}}]}},
            "settings":{{"me":{},"siblings":{},"zones":["a"],"machine_types":["k"],"classes":[{},{},{}],
            "policy_limits":{{"cancel":true,"connect_timeout_s":{},"keepalive_s":{KEEPALIVE_S},"max_attempts":4,"multiplex":16}},
            "rules":{{"answer_slack_s":0.05,"drain_grace_s":0.25,"cold_from":0.3,"fall_multiple":4,"fall_s":3,"warm_up_s":5}},
            "specifics":{{"idle_life_s":10,"kind_memory_mb":[4000],"load_wait_s":4,"orders":true,"says_warm":true,
            "tells_crowd":true,"when_absent":"miss"}},"telemetry":{{"fields":["load_share"],"how":"piggyback"}},
            "tick_s":0.001}}}}"#,
            self.me,
            self.listen,
            self.seed,
            self.sockets,
            self.coordinator,
            self.me,
            self.siblings,
            class("safe", "read_like"),
            class("once", "non_idempotent"),
            class("keyed", "idempotency_key").replace(
                "\"gain\"",
                &format!(
                    "\"repeat_window_s\":{},\"group\":\"all\",\"gain\"",
                    REPEAT_WINDOW.as_secs()
                )
            ),
            self.connect_timeout_s,
        )
    }
}
