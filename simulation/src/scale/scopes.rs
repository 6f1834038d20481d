//! Functions that are changed by scope in a run at scale: how they are set up, requested and changed.

use super::measurement::{RequestedChange, ScaleEvent};
use super::{SETTLE_TIME, START_LIMIT};
use crate::fault::{Time, SECOND};
use crate::fleet::{Event, Simulation};
use crate::scopes::scope_fields;
use tansy_agreement::log::{LogEntry, Revision};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};

/// Functions that a front end gets requests for, mean.
const MEAN_REQUESTED_FUNCTIONS: usize = 4;
/// The time in which it gets them.
const REQUEST_WINDOW: Time = 3 * SECOND;
/// Functions that are set up together.
const SETUP_BATCH: usize = 1500;
/// The number from which on requests that set functions up count.
const FIRST_SETUP_REQUEST_ID: u64 = 1 << 32;
/// Changes one after the other are of functions so far apart; a prime.
const SCOPE_STRIDE: usize = 7919;

fn draw_requests(rng: &mut fastrand::Rng, now: Time) -> (Time, usize) {
    let at = now + rng.i64(0..REQUEST_WINDOW);
    let scopes = 1 + rng.usize(0..2 * MEAN_REQUESTED_FUNCTIONS - 1);
    (at, scopes)
}

impl Simulation<'_> {
    /// Schedules requests for a few functions at a front end.
    pub(super) fn schedule_requests(&mut self, process: usize) {
        let Some(state) = &mut self.scopes else {
            return;
        };
        let (at, scopes) = draw_requests(&mut state.rng, self.now);
        self.schedule(at, Event::Scale(ScaleEvent::Requests { process, scopes }));
    }

    /// Sets up the functions that are changed by scope; then each front end gets requests for a few, and measurement
    /// begins.
    pub(super) fn set_up_scopes(&mut self) {
        let now = self.now;
        let (Some(scopes), Some(scale)) = (&mut self.scopes, &mut self.scale) else {
            return;
        };
        let missing: Vec<String> = scopes.missing().take(SETUP_BATCH).collect();
        let is_settled = scopes.is_settled();
        let is_late = now - scale.all_joined_at.unwrap_or(now) > START_LIMIT;
        if is_late {
            scale.notes.push(format!(
                "functions were not set up {} s after all acted",
                START_LIMIT / SECOND
            ));
        }
        if is_late || is_settled && missing.is_empty() {
            for process in 0..self.options.front_ends {
                self.schedule_requests(process);
            }
            return self.schedule(now + SETTLE_TIME, Event::Scale(ScaleEvent::Begin));
        }
        scale.set_up_requests += u64::from(is_settled);
        let id = FIRST_SETUP_REQUEST_ID + scale.set_up_requests;
        let next = now + SECOND / 2;
        self.schedule(next, Event::Scale(ScaleEvent::SetUpScopes));
        if is_settled {
            self.request_set_up(id, missing);
        }
    }

    fn request_set_up(&mut self, id: u64, scopes: Vec<String>) {
        let updates = scopes.into_iter().map(|scope| ScopeUpdate {
            scope,
            base: Revision(0),
            fields: Some(scope_fields("chat", None, 0)),
        });
        let transaction = ScopeTransaction {
            id,
            updates: updates.collect(),
            reason: "a beginning".into(),
        };
        if let Some((leader, _)) = self.leader() {
            let transactions = vec![transaction];
            self.request(leader, 0, LogEntry::UpdateScopes { transactions });
        }
    }

    /// A front end gets requests for a few functions, those with low numbers most often.
    pub(super) fn request_skewed(&mut self, process: usize, count: usize) {
        for _ in 0..count {
            let Some(scopes) = &mut self.scopes else {
                return;
            };
            let scope = scopes.draw_skewed();
            let name = scopes.record_request(process, scope);
            self.step_node(process, |node, now, commands| {
                node.admit(now, &name, commands);
            });
        }
    }

    /// Draws the function that a change is of, where a share of them goes to what is requested.
    pub(super) fn draw_changed_scope(&mut self, index: usize) {
        let (Some(scopes), Some(scale)) = (&mut self.scopes, &mut self.scale) else {
            return;
        };
        let scenario = &scale.scenario;
        let (requested, by_dead) = (scenario.requested_share, scenario.requested_by_dead_share);
        let all: Vec<usize> = (0..self.processes.len()).collect();
        let default_scope = index.wrapping_mul(SCOPE_STRIDE) % scopes.names.len().max(1);
        let mut drawn = default_scope;
        if requested + by_dead > 0.0 {
            let share = scopes.rng.f64();
            let front_ends = if share < by_dead {
                &scale.dead_front_ends
            } else {
                &all
            };
            if share < requested + by_dead {
                drawn = scopes.draw_requested(front_ends).unwrap_or(default_scope);
            }
        }
        let change = &mut scale.changes[index];
        change.scope = Some(drawn);
        change.waits_for_dead =
            change.is_strict && scopes.is_requested(&scale.dead_front_ends, drawn);
        scale.changes_of_requested += u64::from(scopes.is_requested(&all, drawn));
    }

    /// The change of a single function that an operator asks for.
    pub(super) fn scope_transaction(&self, index: usize) -> Option<ScopeTransaction> {
        let scopes = self.scopes.as_ref()?;
        let change: &RequestedChange = self.scale.as_ref()?.changes.get(index)?;
        let (scope, record) = scopes.record(change.scope?)?;
        let class = if change.is_strict {
            format!("class-{index}")
        } else {
            scopes.class(&scope)
        };
        Some(ScopeTransaction {
            id: index as u64 + 1,
            updates: vec![ScopeUpdate {
                scope,
                base: record.revision,
                fields: Some(scope_fields(&class, None, index as i64 + 1)),
            }],
            reason: "a change".into(),
        })
    }
}
