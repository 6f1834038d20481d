//! A simulated process with its clock and disk, and the settings it would act on.

use super::event::Message;
use crate::fault::{Time, SECOND};
use crate::scale::WIDE_ID;
use std::net::{IpAddr, SocketAddr};
use tansy_agreement::log::{FleetState, Revision};
use tansy_consensus::PersistentState;
use tansy_fleet_node::FleetNode;

/// The address of the process with this index.
pub(crate) fn address_of(index: usize) -> SocketAddr {
    let octets = [10, (index >> 16) as u8, (index >> 8) as u8, index as u8];
    (octets, 7000).into()
}

/// The index of the process with this address. For an address of no process the index is out of range.
pub(super) fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[1..]
            .iter()
            .fold(0, |index, octet| index << 8 | usize::from(*octet)),
        IpAddr::V6(_) => usize::MAX,
    }
}

/// The node id of the process with this index; a wide id has the encoded size of a hash, as real node ids have.
pub(super) fn id_of(index: usize, wide: bool) -> u64 {
    (index as u64 + 1) | if wide { WIDE_ID } else { 0 }
}

/// The authority under which a front end acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Authority {
    /// The lease and the session are valid.
    Leased,
    /// Only the session is valid.
    SessionOnly,
    /// Neither is valid.
    Expired,
}

impl Authority {
    /// The phrase used in messages of the audit, which is followed by a revision.
    pub(super) fn label(self) -> &'static str {
        match self {
            Authority::Leased => "acts under lease and session on the rules",
            Authority::SessionOnly => "acts under its session alone on the rules",
            Authority::Expired => "acts without a session on the rules",
        }
    }
}

/// A process slot; the process in it may be stopped.
pub(crate) struct Process {
    /// The running node; `None` while the process is stopped.
    pub(crate) node: Option<FleetNode>,
    pub(crate) incarnation: u64,
    /// While the process is suspended, the messages that arrived since.
    pub(super) paused: Option<Vec<Message>>,
    /// The clock: local time is `clock_offset + clock_rate * true_time`.
    pub(super) clock_rate: f64,
    pub(super) clock_offset: Time,
    /// The deadline, in local time, for which a timer event is scheduled.
    pub(super) scheduled_deadline: Time,
    /// Total uptime, and the parts of it without a lease and without a session.
    pub(crate) uptime: Time,
    pub(crate) without_lease: Time,
    pub(crate) without_session: Time,
    /// The time up to which these totals are updated.
    pub(super) accounted: Time,
    /// The last time at which the lease was valid.
    pub(super) last_leased: Time,
    /// The incarnation and the number of applied entries at the last audit of the log.
    pub(super) audited: Option<(u64, u64)>,
    /// The time of the last start.
    pub(crate) started: Time,
    /// Whether the process has had a valid lease and session since the last start.
    pub(crate) joined: bool,
}

impl Process {
    /// A stopped process with a random clock whose rate deviates by at most `rate_bound`.
    pub(super) fn new(rng: &mut fastrand::Rng, incarnation: u64, rate_bound: f64) -> Process {
        Process {
            node: None,
            incarnation,
            paused: None,
            clock_rate: 1.0 + (rng.f64() * 2.0 - 1.0) * rate_bound,
            clock_offset: draw_clock_offset(rng),
            scheduled_deadline: Time::MAX,
            uptime: 0,
            without_lease: 0,
            without_session: 0,
            accounted: 0,
            last_leased: 0,
            audited: None,
            started: 0,
            joined: false,
        }
    }

    /// The local time at this true time.
    pub(crate) fn local_time(&self, now: Time) -> Time {
        self.clock_offset + (now as f64 * self.clock_rate) as Time
    }

    pub(crate) fn is_running(&self) -> bool {
        self.node.is_some() && self.paused.is_none()
    }

    /// Whether the lease and the session are valid.
    pub(crate) fn is_leased(&self, now: Time) -> bool {
        self.acting_state(now)
            .is_some_and(|(_, authority)| authority == Authority::Leased)
    }

    /// Whether the process runs and acts under its lease on a revision earlier than `revision`.
    pub(crate) fn is_behind(&self, now: Time, revision: Revision) -> bool {
        let leased_behind = |(state, authority): (&FleetState, Authority)| {
            authority == Authority::Leased && state.revision < revision
        };
        self.is_running() && self.acting_state(now).is_some_and(leased_behind)
    }

    /// The state that the process would act on now, and under which authority; `None` if it knows no state and therefore
    /// accepts no requests.
    pub(super) fn acting_state(&self, now: Time) -> Option<(&FleetState, Authority)> {
        let acting = self.node.as_ref()?.active_state(self.local_time(now));
        let authority = match (acting.lease_remaining > 0, acting.session_remaining > 0) {
            (true, true) => Authority::Leased,
            (false, true) => Authority::SessionOnly,
            (_, false) => Authority::Expired,
        };
        acting.state.map(|state| (state, authority))
    }

    /// Adds the time since the last call to the uptime totals.
    pub(super) fn account(&mut self, now: Time) {
        let span = now - self.accounted;
        self.accounted = now;
        if !self.is_running() {
            return;
        }
        self.uptime += span;
        match self.acting_state(now).map(|(_, authority)| authority) {
            Some(Authority::Leased) => self.last_leased = now,
            Some(Authority::SessionOnly) => self.without_lease += span,
            Some(Authority::Expired) | None => {
                self.without_lease += span;
                self.without_session += span;
            }
        }
    }
}

/// Draws the clock offset of a new process.
pub(super) fn draw_clock_offset(rng: &mut fastrand::Rng) -> Time {
    rng.i64(0..1000 * SECOND)
}

/// The disk of a voter candidate: persisted state, and written records that a crash may lose.
#[derive(Default)]
pub(crate) struct Disk {
    pub(super) persisted: PersistentState,
    /// Written records in order, each with the snapshot that replaces all earlier state if there is one.
    pub(super) written: Vec<(Vec<u8>, Option<Vec<u8>>)>,
    /// Number of records persisted while the process was suspended; it is notified of them when it resumes.
    pub(super) unacknowledged: usize,
}

impl Disk {
    /// Persists the oldest written record.
    pub(super) fn persist_next(&mut self) {
        if self.written.is_empty() {
            return;
        }
        match self.written.remove(0) {
            (_, Some(snapshot)) => {
                self.persisted = PersistentState {
                    snapshot: Some(snapshot),
                    records: Vec::new(),
                }
            }
            (record, None) => self.persisted.records.push(record),
        }
    }
}
