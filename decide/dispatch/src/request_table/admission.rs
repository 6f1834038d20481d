//! Admission of calls: immediate refusals, and the budget of an admitted call.

use super::entries::{OpenCall, ResolvedFunction, TimerEvent};
use super::functions::CalledFunction;
use super::{Dispatcher, TIMER_TICK};
use crate::message::{Answer, Call, CallId, Command};
use tansyrouter::{Arrival, Event, FunctionId, Micros, RequestId, Time};

/// The budget of a call divided by this is reserved for delivering the answer.
const RESERVE_DIVISOR: Micros = 16;
/// Upper limit of the reserve, microseconds. The final answer has to arrive while the client still waits.
const MAX_RESERVE: Micros = 20_000;
/// Lower limit of the reserve, microseconds; includes one tick by which a timer may be late.
const MIN_RESERVE: Micros = 2 * TIMER_TICK;

/// The event that announces an admitted call to the router.
fn arrival(call: &Call, function: &CalledFunction, class: usize, budget: Micros) -> Arrival {
    Arrival {
        request: RequestId(call.id.0),
        function: function.id,
        class,
        tenant: call.tenant,
        budget,
        work_hint: call.work_hint,
        lanes: function.shape.lanes,
        memory_mb: function.shape.memory_mb,
        load_time: function.shape.load_time,
        is_client_retry: call.repeat,
    }
}

impl Dispatcher {
    pub(super) fn on_call(&mut self, call: Call, commands: &mut Vec<Command>) {
        if !self.calls.contains_key(&call.id) {
            self.admit(call, None, 0, commands);
        }
    }

    /// Admits or refuses a call that has waited for a lookup for `waited` microseconds. `resolved` is the result of the
    /// lookup if the settings do not name the function.
    pub(super) fn admit(
        &mut self,
        mut call: Call,
        resolved: Option<ResolvedFunction>,
        waited: Micros,
        commands: &mut Vec<Command>,
    ) {
        let id = call.id;
        let waited = waited + call.waited.max(0);
        if let Some(resolved) = resolved {
            call.shape = Some(resolved.shape);
        }
        let Some(function) = self.called_function(&call) else {
            return self.answer_unknown_function(id, commands);
        };
        self.make_room_for_call(function.id, commands);
        let settings = &self.config.settings;
        let function_class = resolved.map_or(function.class, |resolved| resolved.class);
        let arrived = Time(self.now.0 - waited);
        self.counters.accepted += 1;
        // Nothing was sent, so a refusal is safe for every class. During shutdown the client may retry at once at
        // another front end; a full front end stays full for some time.
        if self.shutting_down || self.is_full() {
            let retry_after = self.retry_after_full(function_class);
            return self.refuse_admission(id, function_class, retry_after, arrived, commands);
        }
        let class = call
            .class
            .filter(|class| *class < settings.classes.len())
            .unwrap_or(function_class);
        if let Some(retry_after) = self.conflict_advice(&call, class) {
            self.counters.conflicting += 1;
            return self.refuse_admission(id, class, retry_after, arrived, commands);
        }
        let stated = call.budget.unwrap_or(settings.classes[class].deadline);
        let budget = (self.usable_budget(stated) - waited).max(0);
        if waited > 0 && budget == 0 {
            // Nothing was sent, so a refusal is safe.
            let retry_after = resolved.map_or(0, |_| self.conflict_retry_after());
            return self.refuse_admission(id, class, retry_after, arrived, commands);
        }
        self.learn_function(&function, &call.function);
        let arrival = arrival(&call, &function, class, budget);
        self.open_call(id, arrival, arrived, commands);
    }

    /// At the limit of open requests, has a waiting call refused that is unlikely to be served, for a call of a function
    /// that a worker is known to have.
    fn make_room_for_call(&mut self, function: FunctionId, commands: &mut Vec<Command>) {
        if !self.shutting_down && self.is_full() && self.router.is_confirmed(function) {
            self.shed_waiting_call(true, commands);
        }
    }

    fn is_full(&self) -> bool {
        self.calls.len() >= self.config.settings.max_open_requests
    }

    /// Refuses a call on a connection that cannot be kept.
    pub(super) fn refuse_for_capacity(&mut self, call: &Call, commands: &mut Vec<Command>) {
        let settings = &self.config.settings;
        let known_class = call.class.filter(|class| *class < settings.classes.len());
        let class = known_class.unwrap_or(0);
        let arrived = Time(self.now.0 - call.waited.max(0));
        self.counters.accepted += 1;
        let retry_after = self.retry_after_full(class);
        self.refuse_admission(call.id, class, retry_after, arrived, commands);
    }

    /// When a client may retry at this front end. During shutdown it may retry at once, at another one.
    fn retry_after_full(&self, class: usize) -> Micros {
        if self.shutting_down {
            return 0;
        }
        let settings = &self.config.settings;
        let objective = settings.classes[class].latency_objective;
        objective.min(settings.max_retry_after)
    }

    /// Refuses an accepted call that the router has not received.
    fn refuse_admission(
        &mut self,
        id: CallId,
        class: usize,
        retry_after: Micros,
        arrived: Time,
        commands: &mut Vec<Command>,
    ) {
        self.counters.refused += 1;
        let answer = Answer::Refused { retry_after };
        self.count_by_class(class, Some(answer), arrived);
        commands.push(Command::Answer { call: id, answer });
    }

    fn open_call(
        &mut self,
        id: CallId,
        arrival: Arrival,
        arrived: Time,
        commands: &mut Vec<Command>,
    ) {
        let deadline = self.now.plus(arrival.budget);
        let timer = self.timers.set(deadline.0, TimerEvent::CallDeadline(id));
        let call = OpenCall {
            function: arrival.function,
            class: arrival.class,
            arrived,
            deadline,
            attempts_sent: 0,
            attempt: None,
            answered: false,
            last_outcome: None,
            may_have_run_since: None,
            timer: Some(timer),
        };
        self.calls.insert(id, call);
        self.notify_router(Event::Arrival(arrival), commands);
    }

    /// The part of a call's budget that its attempts may use, without the reserve for delivering the answer.
    pub(super) fn usable_budget(&self, stated: Micros) -> Micros {
        let stated = stated.clamp(0, self.config.max_call_time);
        (stated - (stated / RESERVE_DIVISOR).clamp(MIN_RESERVE, MAX_RESERVE)).max(0)
    }
}
