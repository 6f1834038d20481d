//! The workload on scopes: requests at front ends and changes by operators.

use super::{scope_fields, Scopes};
use crate::fault::{Time, SECOND};
use crate::fleet::{Event, Simulation};
use tansy_agreement::log::{LogEntry, Revision};
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_agreement::subscription::IDLE_TIMEOUT;

/// Requests per front end and second.
const REQUESTS_PER_SECOND: i64 = 3;
/// Changes requested in a run, repetitions not counted.
const CHANGES_PER_RUN: usize = 40;

impl Scopes {
    /// Draws a transaction that changes one to three scopes.
    fn draw_transaction(&mut self) -> ScopeTransaction {
        let id = self.transactions.len() as u64 + 1;
        let mut names = self.names.clone();
        self.rng.shuffle(&mut names);
        names.truncate(self.rng.usize(1..4));
        let first_number = (id * 4) as i64;
        let updates = names
            .into_iter()
            .enumerate()
            .map(|(index, scope)| self.draw_update(scope, first_number + index as i64));
        ScopeTransaction {
            id,
            updates: updates.collect(),
            reason: "a change".into(),
        }
    }

    /// Draws an update of a scope; one in six removes the fields, one in twenty is based on an outdated revision.
    fn draw_update(&mut self, scope: String, number: i64) -> ScopeUpdate {
        let record = self.agreed.record(&scope);
        let removes = record.fields.is_some() && self.rng.u32(0..6) == 0;
        let class = ["chat", "pay", "batch"][self.rng.usize(0..3)];
        let lanes = (self.rng.u32(0..3) > 0).then(|| self.rng.i64(2..20));
        let is_stale = self.rng.u32(0..20) == 0;
        ScopeUpdate {
            scope,
            base: if is_stale {
                Revision(1)
            } else {
                record.revision
            },
            fields: (!removes).then(|| scope_fields(class, lanes, number)),
        }
    }
}

impl Simulation<'_> {
    /// Schedules the requests and changes of a run.
    pub(crate) fn schedule_scope_workload(&mut self) {
        let Some(mut scopes) = self.scopes.take() else {
            return;
        };
        let end = self.options.faults_until + self.options.recovery_time;
        for process in 0..self.options.front_ends {
            for _ in 0..end / SECOND * REQUESTS_PER_SECOND {
                let at: Time = scopes.rng.i64(SECOND..end);
                let expire = scopes.rng.u32(0..3) == 0;
                self.schedule(at, Event::Request { process, expire });
            }
        }
        for _ in 0..CHANGES_PER_RUN {
            let at = scopes.rng.i64(2 * SECOND..self.options.faults_until);
            self.schedule(at, Event::ChangeScopes { repeat_of: None });
        }
        self.scopes = Some(scopes);
    }

    /// A front end receives a request for a random scope. With `expire` the request is backdated so that the subscription
    /// becomes idle.
    pub(crate) fn request_scope(&mut self, index: usize, expire: bool) {
        let Some(scopes) = &mut self.scopes else {
            return;
        };
        let scope = scopes.rng.usize(0..scopes.names.len().max(1));
        let name = scopes.record_request(index, scope);
        self.step_node(index, |node, now, commands| {
            if !expire {
                node.admit(now, &name, commands);
            } else if node.effective_settings(now, &name).is_some() {
                node.admit(now - IDLE_TIMEOUT, &name, commands);
            }
        });
    }

    /// An operator changes one to three scopes, or repeats the request with the id `repeat_of`.
    pub(crate) fn change_scopes(&mut self, repeat_of: Option<u64>) {
        let Some((leader, _)) = self.leader() else {
            return;
        };
        let Some(scopes) = &mut self.scopes else {
            return;
        };
        let repeated = repeat_of.and_then(|id| scopes.transactions.get(&id).cloned());
        let transaction = repeated.unwrap_or_else(|| scopes.draw_transaction());
        let id = transaction.id;
        let is_new = scopes
            .transactions
            .insert(id, transaction.clone())
            .is_none();
        if is_new && scopes.rng.u32(0..3) == 0 {
            let at = self.now + scopes.rng.i64(0..3 * SECOND);
            self.schedule(
                at,
                Event::ChangeScopes {
                    repeat_of: Some(id),
                },
            );
        }
        let transactions = vec![transaction];
        self.request(leader, id, LogEntry::UpdateScopes { transactions });
    }
}
