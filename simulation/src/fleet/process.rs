//! A simulated process with its clock, its disk, and what it would act on.

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

/// The index of the process with this address; out of range for an address of no process.
pub(super) fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[1..]
            .iter()
            .fold(0, |index, octet| index << 8 | usize::from(*octet)),
        IpAddr::V6(_) => usize::MAX,
    }
}

/// The node id of the process with this index; a wide one takes as many bytes as a name's hash.
pub(super) fn id_of(index: usize, wide: bool) -> u64 {
    (index as u64 + 1) | if wide { WIDE_ID } else { 0 }
}

/// By what a front end acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Authority {
    /// A live lease and a live session.
    Leased,
    /// A live session alone.
    SessionOnly,
    /// Neither.
    Expired,
}

impl Authority {
    /// What a front end does by it, in the audit's messages; a revision follows.
    pub(super) fn label(self) -> &'static str {
        match self {
            Authority::Leased => "acts under lease and session on the rules",
            Authority::SessionOnly => "acts under its session alone on the rules",
            Authority::Expired => "acts without a session on the rules",
        }
    }
}

/// A process, or the place of one.
pub(crate) struct Process {
    /// None: it is not started.
    pub(crate) node: Option<FleetNode>,
    pub(crate) incarnation: u64,
    /// While it stands still: the messages that arrived since.
    pub(super) paused: Option<Vec<Message>>,
    /// Its clock: local time is `clock_offset + clock_rate` times the true one.
    pub(super) clock_rate: f64,
    pub(super) clock_offset: Time,
    /// The deadline for which a timer is scheduled.
    pub(super) scheduled_deadline: Time,
    /// Time it was up, and of that without a lease and without a session.
    pub(crate) up: Time,
    pub(crate) without_lease: Time,
    pub(crate) without_session: Time,
    /// Until when these times are accounted for.
    pub(super) accounted: Time,
    /// When it last had a lease.
    pub(super) last_leased: Time,
    /// The incarnation, and the entries applied there, when its log was last audited.
    pub(super) audited: Option<(u64, u64)>,
    /// When it was started.
    pub(crate) started: Time,
    /// Whether it has had a lease and a session since.
    pub(crate) joined: bool,
}

impl Process {
    /// One that is not started, with a clock whose rate is off by at most `rate_bound`.
    pub(super) fn new(rng: &mut fastrand::Rng, incarnation: u64, rate_bound: f64) -> Process {
        Process {
            node: None,
            incarnation,
            paused: None,
            clock_rate: 1.0 + (rng.f64() * 2.0 - 1.0) * rate_bound,
            clock_offset: draw_clock_offset(rng),
            scheduled_deadline: Time::MAX,
            up: 0,
            without_lease: 0,
            without_session: 0,
            accounted: 0,
            last_leased: 0,
            audited: None,
            started: 0,
            joined: false,
        }
    }

    /// What its clock shows at this true time.
    pub(crate) fn local_time(&self, now: Time) -> Time {
        self.clock_offset + (now as f64 * self.clock_rate) as Time
    }

    pub(crate) fn is_running(&self) -> bool {
        self.node.is_some() && self.paused.is_none()
    }

    /// Whether it has a live lease and a live session.
    pub(crate) fn is_leased(&self, now: Time) -> bool {
        self.acting_state(now)
            .is_some_and(|(_, authority)| authority == Authority::Leased)
    }

    /// Whether it runs and acts by its lease on an earlier revision than this.
    pub(crate) fn is_behind(&self, now: Time, revision: Revision) -> bool {
        let leased_behind = |(state, authority): (&FleetState, Authority)| {
            authority == Authority::Leased && state.revision < revision
        };
        self.is_running() && self.acting_state(now).is_some_and(leased_behind)
    }

    /// What it would act on now, and by which authority; none: it knows no state, and takes no request.
    pub(super) fn acting_state(&self, now: Time) -> Option<(&FleetState, Authority)> {
        let acting = self.node.as_ref()?.active_state(self.local_time(now));
        let authority = match (acting.lease_remaining > 0, acting.session_remaining > 0) {
            (true, true) => Authority::Leased,
            (false, true) => Authority::SessionOnly,
            (_, false) => Authority::Expired,
        };
        acting.state.map(|state| (state, authority))
    }

    /// Adds the time since the last call to the times up, without a lease and without a session.
    pub(super) fn account(&mut self, now: Time) {
        let span = now - self.accounted;
        self.accounted = now;
        if !self.is_running() {
            return;
        }
        self.up += span;
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

/// Where the clock of a new process begins.
pub(super) fn draw_clock_offset(rng: &mut fastrand::Rng) -> Time {
    rng.i64(0..1000 * SECOND)
}

/// A candidate's disk: what is persisted, and what was written and may be lost.
#[derive(Default)]
pub(crate) struct Disk {
    pub(super) persisted: PersistentState,
    /// Records in their order; with a snapshot in place of all before, where the record is one.
    pub(super) written: Vec<(Vec<u8>, Option<Vec<u8>>)>,
    /// Records that were persisted while the process stood still: it is notified of them when it goes on.
    pub(super) unacknowledged: usize,
}

impl Disk {
    /// The first record that was written is persisted.
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
