//! Calls of functions that the settings do not name. Each call arrives with the state of the function's lookup, and waits
//! if the lookup is pending.

use super::entries::ResolvedFunction;
use super::Dispatcher;
use crate::message::{Answer, Call, CallId, Command, FunctionLookup};
use crate::pending_lookups::{LookupResult, WaitOutcome, WaitRefusal};
use tansyrouter::{FunctionId, Micros};

impl Dispatcher {
    /// Whether the settings in force name this function.
    pub fn is_configured(&self, function: &str) -> bool {
        self.function_names
            .find(function)
            .is_some_and(|id| !self.learned_functions.contains(&FunctionId(id)))
    }

    /// Functions whose calls wait for a lookup.
    pub fn awaited_functions(&self) -> impl Iterator<Item = &str> {
        self.pending_lookups.functions()
    }

    /// The number of calls that wait for a lookup. They are not counted as accepted while they wait; a call that is
    /// answered with [`Answer::UnknownFunction`] never is.
    pub fn pending_calls(&self) -> usize {
        self.pending_lookups.len()
    }

    pub(super) fn on_call_looked_up(
        &mut self,
        call: Call,
        lookup: FunctionLookup,
        commands: &mut Vec<Command>,
    ) {
        let id = call.id;
        if self.calls.contains_key(&id) || self.pending_lookups.contains(id) {
            return;
        }
        match lookup {
            FunctionLookup::Known { class, shape } => {
                let resolved = ResolvedFunction { class, shape };
                self.admit(call, Some(resolved), 0, commands);
            }
            FunctionLookup::Refused => self.refuse_conflicting_lookup(id, commands),
            FunctionLookup::Unknown => self.answer_unknown_function(id, commands),
            FunctionLookup::Pending => self.await_lookup(call, commands),
        }
    }

    fn await_lookup(&mut self, call: Call, commands: &mut Vec<Command>) {
        let open = self.calls.len() + self.pending_lookups.len();
        if self.shutting_down {
            self.refuse_without_class(call.id, 0, commands);
        } else if open >= self.config.settings.max_open_requests {
            self.refuse_without_class(call.id, self.conflict_retry_after(), commands);
        } else {
            let max_wait = self.lookup_wait_limit(&call);
            let mut outcomes = Vec::new();
            self.pending_lookups
                .add(self.now, call, max_wait, &mut outcomes);
            self.apply_wait_outcomes(outcomes, None, commands);
        }
    }

    /// Ends the wait of a function's calls with the result of its lookup. Does nothing if the lookup is still pending.
    pub(super) fn on_function_resolved(
        &mut self,
        function: &str,
        lookup: FunctionLookup,
        commands: &mut Vec<Command>,
    ) {
        let result = match lookup {
            FunctionLookup::Pending => return,
            FunctionLookup::Refused => LookupResult::Refuse,
            FunctionLookup::Known { .. } | FunctionLookup::Unknown => LookupResult::Proceed,
        };
        let mut outcomes = Vec::new();
        self.pending_lookups
            .resolve(self.now, function, result, &mut outcomes);
        self.apply_wait_outcomes(outcomes, Some(lookup), commands);
    }

    /// Refuses the calls whose longest wait is over.
    pub(super) fn expire_pending_lookups(&mut self, commands: &mut Vec<Command>) {
        let due = self.pending_lookups.next_due();
        if due.is_some_and(|at| at <= self.now) {
            let mut outcomes = Vec::new();
            self.pending_lookups.expire(self.now, &mut outcomes);
            self.apply_wait_outcomes(outcomes, None, commands);
        }
    }

    /// Refuses all waiting calls on shutdown. Clients may retry at once, at another front end.
    pub(super) fn close_pending_lookups(&mut self, commands: &mut Vec<Command>) {
        let mut outcomes = Vec::new();
        self.pending_lookups.close(&mut outcomes);
        self.apply_wait_outcomes(outcomes, None, commands);
    }

    fn apply_wait_outcomes(
        &mut self,
        outcomes: Vec<WaitOutcome>,
        lookup: Option<FunctionLookup>,
        commands: &mut Vec<Command>,
    ) {
        for outcome in outcomes {
            match outcome {
                WaitOutcome::Release { call, waited } => {
                    self.release(call, waited, lookup, commands)
                }
                WaitOutcome::Refuse { call, reason } => match reason {
                    WaitRefusal::ShuttingDown => self.refuse_without_class(call, 0, commands),
                    WaitRefusal::Full => {
                        self.refuse_without_class(call, self.conflict_retry_after(), commands)
                    }
                    WaitRefusal::TimedOut | WaitRefusal::LookupRefused => {
                        self.refuse_conflicting_lookup(call, commands)
                    }
                },
            }
        }
    }

    /// Admits a call after its wait, or answers that its function does not exist.
    fn release(
        &mut self,
        call: Call,
        waited: Micros,
        lookup: Option<FunctionLookup>,
        commands: &mut Vec<Command>,
    ) {
        if let Some(FunctionLookup::Known { class, shape }) = lookup {
            self.count_lookup_wait(Ok(()), waited);
            let resolved = ResolvedFunction { class, shape };
            return self.admit(call, Some(resolved), waited, commands);
        }
        let answer = if self.conflicting.unknown_names {
            let retry_after = self.conflict_retry_after();
            Answer::Refused { retry_after }
        } else {
            Answer::UnknownFunction
        };
        self.count_lookup_wait(Err(Some(answer)), waited);
        self.answer_unknown_function(call.id, commands);
    }

    /// How long a call may wait within its own budget, without the reserve for delivering the answer. A call that states
    /// neither a budget nor a class may be of any class, so the shortest deadline applies.
    fn lookup_wait_limit(&self, call: &Call) -> Micros {
        let classes = &self.config.settings.classes;
        let deadline = |class: usize| classes.get(class).map(|class| class.deadline);
        let shortest_deadline = || {
            let all = self.class_indices.iter();
            all.filter_map(|class| deadline(*class)).min().unwrap_or(0)
        };
        let stated = call
            .budget
            .or_else(|| call.class.and_then(deadline))
            .unwrap_or_else(shortest_deadline);
        self.usable_budget(stated)
    }

    /// Refuses a call with retry advice, because versions of the settings may conflict on it.
    fn refuse_conflicting(&mut self, id: CallId, commands: &mut Vec<Command>) {
        self.counters.conflicting += 1;
        self.refuse_unadmitted(id, self.conflict_retry_after(), commands);
    }

    /// Retry advice for calls that are refused because settings conflict or were not known in time, or because too many
    /// calls are open or waiting. It is limited to the longest advice that clients follow.
    pub(super) fn conflict_retry_after(&self) -> Micros {
        self.conflicting
            .retry_after
            .min(self.config.settings.max_retry_after)
    }

    /// Answers a call of a function that does not exist. If a version of the settings that this front end does not know
    /// may define the function, the call is refused instead.
    pub(super) fn answer_unknown_function(&mut self, id: CallId, commands: &mut Vec<Command>) {
        if self.conflicting.unknown_names {
            return self.refuse_conflicting(id, commands);
        }
        self.counters.unknown_function += 1;
        commands.push(Command::Answer {
            call: id,
            answer: Answer::UnknownFunction,
        });
    }

    /// Refuses a call because this front end does not know the settings of its function. Its class is not known either,
    /// so the call is counted under [`PENDING_LOOKUP`](crate::class_counters::PENDING_LOOKUP).
    fn refuse_conflicting_lookup(&mut self, id: CallId, commands: &mut Vec<Command>) {
        self.counters.conflicting += 1;
        self.refuse_without_class(id, self.conflict_retry_after(), commands);
    }

    /// Refuses a call whose class is not known, whether or not it has waited, without counting a conflict.
    fn refuse_without_class(
        &mut self,
        id: CallId,
        retry_after: Micros,
        commands: &mut Vec<Command>,
    ) {
        self.count_lookup_wait(Err(Some(Answer::Refused { retry_after })), 0);
        self.refuse_unadmitted(id, retry_after, commands);
    }

    /// Counts the end of a call's wait for the settings of its function.
    pub(super) fn count_lookup_wait(&mut self, end: Result<(), Option<Answer>>, waited: Micros) {
        if let Some(counters) = &mut self.class_counters {
            counters.record_lookup_wait(end, waited);
        }
    }

    /// Refuses a call that is not admitted, so that the router never receives it. The call is counted as accepted and
    /// refused.
    fn refuse_unadmitted(&mut self, id: CallId, retry_after: Micros, commands: &mut Vec<Command>) {
        self.counters.accepted += 1;
        self.counters.refused += 1;
        commands.push(Command::Answer {
            call: id,
            answer: Answer::Refused { retry_after },
        });
    }
}
