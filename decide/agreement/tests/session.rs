//! Random histories of sessions with one leader and three members. Guards against a member with a session that acts on
//! a revision from before the current change.

mod support;

use support::{is_detected, join, member, restarted, run_without_violation};
use tansy_agreement::compatibility::{Fields, Value};
use tansy_agreement::lease::{LeaseTiming, Member};
use tansy_agreement::log::{ApplyOutcome, EntryRejection, Log, LogEntry, Revision};
use tansy_agreement::session::{Session, SessionRequest, SessionTable};

const SPAN: i64 = 1_000_000;
const TIMING: LeaseTiming = LeaseTiming {
    span: SPAN,
    drift_ppm: 10_000,
};
const MEMBERS: u64 = 3;

/// An injected defect.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Defect {
    None,
    /// A member joins at the current revision while it acts on an earlier one.
    JoinsBehind,
    /// A member whose session has expired is removed from the table but not from the log's roster, with which a leader
    /// restarts.
    LeaveNotLogged,
}

struct FrontEnd {
    session: Session,
    member: Member,
    /// The revision that the member acts on.
    revision: Revision,
    /// The rate of the member's clock.
    rate: f64,
}

impl FrontEnd {
    fn local_time(&self, now: i64) -> i64 {
        (now as f64 * self.rate) as i64
    }
}

struct SessionHistory {
    rng: fastrand::Rng,
    defect: Defect,
    now: i64,
    log: Log,
    table: SessionTable,
    front_ends: Vec<FrontEnd>,
    /// The number of proposed versions.
    proposals: i64,
    /// The number of steps taken by strict changes.
    strict_steps: u64,
}

fn strict_fields(value: i64) -> Fields {
    Fields::from([("classes.a.group".to_string(), Value::Int(value))])
}

impl support::History for SessionHistory {
    type Defect = Defect;
    const STEPS: usize = 400;

    fn new(seed: u64, defect: Defect) -> SessionHistory {
        let mut rng = fastrand::Rng::with_seed(seed);
        let front_ends = (0..MEMBERS)
            .map(|id| {
                let member = member(id);
                FrontEnd {
                    session: Session::new(TIMING, member),
                    member,
                    revision: Revision(0),
                    rate: 0.99 + rng.f64() * 0.02,
                }
            })
            .collect();
        SessionHistory {
            rng,
            defect,
            now: 0,
            log: Log::new(strict_fields(0), []),
            table: SessionTable::new(TIMING, [], 0),
            front_ends,
            proposals: 0,
            strict_steps: 0,
        }
    }

    fn step(&mut self) {
        self.now += self.rng.i64(0..SPAN / 4);
        let index = self.rng.usize(0..self.front_ends.len());
        match self.rng.u32(0..12) {
            // The member learns the log's state and acts on it from now on.
            0..=2 => self.front_ends[index].revision = self.log.state().revision,
            3..=6 => self.request_session(index),
            7 => self.restart_member(index),
            // The leader restarts with the roster of its log.
            8 => {
                let roster = self.log.roster().map(|(member, _)| member);
                self.table = SessionTable::new(TIMING, roster, self.now);
            }
            9 => self.remove_expired_members(),
            _ => self.change_strict_field(),
        }
    }

    /// A member with a session acts on the current revision or the one before it.
    fn check(&self) -> Result<(), String> {
        let fleet = self.log.state().revision;
        for front_end in &self.front_ends {
            let local_time = front_end.local_time(self.now);
            let remaining = front_end.session.remaining(local_time);
            if remaining > 0 && front_end.revision.next() < fleet {
                return Err(format!(
                    "acts on revision {} under a session, while the fleet is at {}",
                    front_end.revision.0, fleet.0
                ));
            }
        }
        Ok(())
    }

    fn strict_changes(&self) -> u64 {
        self.strict_steps
    }
}

impl SessionHistory {
    /// A member requests a session. The grant is delayed or lost.
    fn request_session(&mut self, index: usize) {
        let front_end = &mut self.front_ends[index];
        let local_time = front_end.local_time(self.now);
        let request = front_end.session.request(local_time, front_end.revision);
        if !self.log.has_member(request.from) {
            self.join(request);
            return;
        }
        let Some(grant) = self.table.grant(self.now, request) else {
            return;
        };
        if self.rng.u32(0..5) > 0 {
            self.now += self.rng.i64(0..SPAN / 2);
            self.front_ends[index].session.on_grant(grant);
        }
    }

    fn join(&mut self, request: SessionRequest) {
        let revision = match self.defect {
            Defect::JoinsBehind => self.log.state().revision,
            _ => request.revision,
        };
        match self.log.apply(join(request.from, revision)) {
            Ok(_) => self.table.on_join(self.now, request.from, request.revision),
            Err(rejection) => assert_eq!(rejection, EntryRejection::Behind),
        }
    }

    /// A member crashes and restarts as a later process without any state.
    fn restart_member(&mut self, index: usize) {
        let front_end = &mut self.front_ends[index];
        front_end.member = restarted(front_end.member);
        front_end.session = Session::new(TIMING, front_end.member);
        front_end.revision = Revision(0);
    }

    fn remove_expired_members(&mut self) {
        for member in self.table.expired(self.now).collect::<Vec<_>>() {
            if self.defect != Defect::LeaveNotLogged {
                let outcome = self.log.apply(LogEntry::Leave { member });
                assert_eq!(
                    outcome.expect("a member may leave"),
                    ApplyOutcome::RosterUpdated
                );
            }
            self.table.remove(member);
        }
    }

    /// A change of a strict field takes a step if no member of the roster is behind.
    fn change_strict_field(&mut self) {
        let from = self.log.state().revision;
        if !self.table.all_at_least(from) {
            return;
        }
        if self.log.has_version_change() {
            let advance = LogEntry::Advance { from };
            self.log.apply(advance).expect("the change advances");
        } else {
            self.proposals += 1;
            let proposal = LogEntry::Propose {
                id: 0,
                base: self.log.state().in_force.version,
                fields: strict_fields(self.proposals),
                reason: String::new(),
            };
            self.log.apply(proposal).expect("the proposal is accepted");
        }
        self.strict_steps += 1;
    }
}

#[test]
fn no_member_with_a_session_is_left_behind() {
    let steps = run_without_violation::<SessionHistory>(0..4000, Defect::None);
    assert!(steps > 20_000, "strict changes took only {steps} steps");
}

#[test]
fn each_injected_defect_leaves_a_member_behind() {
    assert!(is_detected::<SessionHistory>(0..4000, Defect::JoinsBehind));
    assert!(is_detected::<SessionHistory>(
        0..4000,
        Defect::LeaveNotLogged
    ));
}
