//! Setup of, requests for and changes of the functions that a run at scale changes by scope.

use super::measurement::{RequestedChange, ScaleEvent};
use super::{SETTLE_TIME, START_LIMIT};
use crate::fault::{Time, SECOND};
use crate::fleet::{Event, Simulation};
use crate::scopes::scope_fields;
use tansy_agreement::log::{LogEntry, Revision};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};

/// Mean number of functions for which a front end receives requests.
const MEAN_REQUESTED_FUNCTIONS: usize = 4;
/// The requests of a front end come at a random time within this period.
const REQUEST_WINDOW: Time = 3 * SECOND;
/// Number of functions set up in one transaction.
const SETUP_BATCH: usize = 1500;
/// The lowest id of setup transactions, above the ids of change requests.
const FIRST_SETUP_REQUEST_ID: u64 = 1 << 32;
/// Distance between the functions of successive changes; a prime, so that they cover all functions.
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

    /// Sets up the next batch of functions that are changed by scope. After the last batch, schedules the requests at the
    /// front ends and the start of the measurement.
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
        scale.setup_transactions += u64::from(is_settled);
        let id = FIRST_SETUP_REQUEST_ID + scale.setup_transactions;
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

    /// A front end receives requests for a few functions, drawn with a skew towards low indices.
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

    /// Draws the function of a change, with the configured shares for functions that front ends receive requests for.
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

    /// The transaction for a requested scope change.
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
