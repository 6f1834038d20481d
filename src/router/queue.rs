//! Queues of waiting calls: their order, their deadlines, and the shedding of late calls.

use super::instances::Function;
use super::loading::LoadTurn;
use super::{Router, CHECK_INTERVAL};
use crate::{Action, FunctionId, Micros, RequestId, Time};
use std::ops::Bound::Excluded;

/// Maximum number of functions whose queues are served by one check.
const FUNCTIONS_PER_CHECK: usize = 128;

/// Number of functions of each turn that one check may serve, however many of earlier turns it has served.
const MIN_FUNCTIONS_PER_TURN: usize = 32;

/// The position of a call in the queue of its function: calls that can still meet their objective first, then by the
/// end of the objective.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    late: bool,
    objective_at: Time,
    request: RequestId,
}

impl QueueKey {
    /// Sorts before or equal to every key.
    const FIRST: QueueKey = QueueKey {
        late: false,
        objective_at: Time(i64::MIN),
        request: RequestId(0),
    };

    /// Sorts before or equal to every key of a late call.
    const FIRST_LATE: QueueKey = QueueKey {
        late: true,
        ..QueueKey::FIRST
    };

    /// The queued request.
    pub(super) fn request(self) -> RequestId {
        self.request
    }

    /// Returns the smallest key after this one.
    fn next(self) -> QueueKey {
        QueueKey {
            request: RequestId(self.request.0.saturating_add(1)),
            ..self
        }
    }
}

/// The position of a function among those with the same turn.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TurnKey {
    /// Its most urgent call ends before a load can.
    too_late_to_load: bool,
    most_urgent: QueueKey,
}

/// Whether something that takes `remaining` more microseconds ends after `limit`.
fn will_miss(limit: Time, remaining: f64, now: Time) -> bool {
    now.since(limit) as f64 + remaining > 0.0
}

impl Router {
    /// Answers the requests whose deadline has passed or is about to.
    ///
    /// # Departure from the base algorithm
    ///
    /// Every call must be answered by its deadline. A call without a pending attempt is answered at once if its
    /// deadline comes before the next check, for example when it arrives with no time left after a stall of this
    /// process. A pending attempt may still be answered until the deadline.
    ///
    /// Trade-off: such a call is refused a few milliseconds early.
    pub(super) fn answer_overdue(&mut self, now: Time, actions: &mut Vec<Action>) {
        let before_next_check = now.plus(2 * self.settings.tick + CHECK_INTERVAL);
        let due = self
            .deadlines
            .range(..(before_next_check, RequestId(u64::MAX)));
        let overdue = due.filter(|(deadline, id)| {
            let request = self.requests.get(id);
            *deadline <= now || request.is_some_and(|request| !request.has_pending_attempt())
        });
        let overdue: Vec<RequestId> = overdue.map(|(_, id)| *id).collect();
        for request_id in overdue {
            self.answer_unserved(request_id, actions);
        }
    }

    /// Removes a request from the queue of its function, if it is queued.
    pub(super) fn dequeue(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(key) = request.queue_key.take() else {
            return;
        };
        let Some(function) = self.functions.get_mut(&request.function) else {
            return;
        };
        function.queue.remove(&key);
        function.queued_retries.remove(&key);
        function.unsent.remove(&key);
        let function_id = request.function;
        if function.queue.is_empty() {
            function.largest_queued_hint = 0;
            self.functions_waiting.remove(&function_id);
        }
        self.update_shed_order(function_id);
    }

    /// Queues a request at its function, behind the calls that can meet their objective if it cannot.
    pub(super) fn enqueue(&mut self, request_id: RequestId, now: Time) {
        self.dequeue(request_id);
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let expected = self.expected_service(request).time as Micros;
        let key = QueueKey {
            late: now.since(request.objective_at).saturating_add(expected) > 0,
            objective_at: request.objective_at,
            request: request_id,
        };
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(function) = self.functions.get_mut(&request.function) else {
            return;
        };
        request.queue_key = Some(key);
        function.queue.insert(key);
        let hint = request.work_hint.unwrap_or(0);
        function.largest_queued_hint = function.largest_queued_hint.max(hint);
        if request.attempts.is_empty() {
            function.unsent.insert(key);
        } else {
            function.queued_retries.insert(key);
        }
        let function_id = request.function;
        self.functions_waiting.insert(function_id);
        self.update_shed_order(function_id);
    }

    /// Sends the queued calls of a function to free instances and requests loads for the others.
    pub(super) fn dispatch_queue(
        &mut self,
        now: Time,
        function_id: FunctionId,
        actions: &mut Vec<Action>,
    ) {
        let mut from = QueueKey::FIRST;
        let mut any_sent = false;
        while let Some(key) = self.queued_from(function_id, from) {
            let Some(request) = self.requests.get(&key.request) else {
                break;
            };
            let first_attempt = request.attempts.is_empty();
            if let Some(worker_id) = self.select_worker(request, now) {
                self.send(now, key.request, worker_id, actions);
                any_sent = true;
            } else {
                self.load_more(now, Some(key.request), function_id, actions);
                // A later call may be allowed where a retry is not; if a first attempt cannot be sent, none can.
                if first_attempt {
                    return;
                }
            }
            from = key.next();
        }
        if any_sent && self.settings.may_load {
            self.load_more(now, None, function_id, actions);
        }
    }

    /// Returns the first queued call of a function at or after a key.
    fn queued_from(&self, function_id: FunctionId, from: QueueKey) -> Option<QueueKey> {
        let function = self.functions.get(&function_id)?;
        function.queue.range(from..).next().copied()
    }

    /// Checks all queues: answers the calls that cannot be served in time, moves late ones back, and serves the
    /// others.
    pub(super) fn check_queues(&mut self, now: Time, actions: &mut Vec<Action>) {
        let contended = self.timely_calls_wait_for_lane(now);
        let waiting: Vec<FunctionId> = self.functions_waiting.iter().copied().collect();
        for function_id in waiting {
            for key in self.calls_to_check(function_id, now) {
                self.check_queued_call(now, key, contended, actions);
            }
        }
        self.dispatch_waiting(now, actions);
    }

    /// Whether any call that can meet its objective waits for a lane of a loaded instance, rather than for a load.
    fn timely_calls_wait_for_lane(&self, now: Time) -> bool {
        let mut functions = self
            .functions_waiting
            .iter()
            .filter_map(|function_id| self.functions.get(function_id));
        functions.any(|function| {
            function.queue.first().is_some_and(|key| !key.late)
                && self
                    .instances_with_workers(function)
                    .any(|(_, instance, worker)| self.is_warm(worker, instance, now))
        })
    }

    /// Answers a queued call that cannot be served any more, or moves it back if it has become late.
    ///
    /// # Departure from the base algorithm
    ///
    /// While calls that can meet their objective wait for a lane, calls that are likely to be late are refused, as
    /// they would make the next ones late too.
    ///
    /// Trade-off: the reduced value of a late answer is lost.
    fn check_queued_call(
        &mut self,
        now: Time,
        key: QueueKey,
        contended: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key.request) else {
            return;
        };
        let expected = self.expected_service(request).time;
        let late = will_miss(request.objective_at, expected, now);
        let unservable = will_miss(request.deadline, expected, now)
            || late && self.settings.classes[request.class].late_weight <= 0.0
            || !self.may_attempt_again(request, None, now);
        let usual = expected.max(self.usual_answer_time());
        let likely_late = will_miss(request.objective_at, usual, now);
        if unservable || likely_late && contended {
            self.answer_unserved(key.request, actions);
        } else if late && !key.late {
            self.enqueue(key.request, now);
        }
    }

    /// Serves the functions with queued calls, in the order of their most urgent calls. While loads of functions fail that
    /// no worker is known to have, functions that workers have come first and those whose loads failed last; of the
    /// others, those whose most urgent call ends before a load can come last.
    ///
    /// # Departure from the base algorithm
    ///
    /// One check serves a limited number of functions, and the next check continues after them. With very many
    /// functions a check would otherwise take longer than the check interval, and nothing else would be done. Callers
    /// choose the names of functions and the urgency of calls, so neither lets unknown functions take the turns of the
    /// others.
    ///
    /// Trade-off: some functions are served later.
    fn dispatch_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut by_turn: [Vec<(TurnKey, FunctionId)>; LoadTurn::COUNT] = Default::default();
        for function_id in &self.functions_waiting {
            let Some(function) = self.functions.get(function_id) else {
                continue;
            };
            let turn = self.loads.turn(function, now);
            let key = self.turn_key(now, function, turn);
            by_turn[turn as usize].extend(key.map(|key| (key, *function_id)));
        }
        self.loads.begin_turns();
        let mut left = FUNCTIONS_PER_CHECK;
        for (turn, mut functions) in by_turn.into_iter().enumerate() {
            functions.sort();
            let count = functions.len();
            let served = count.min(left.max(MIN_FUNCTIONS_PER_TURN));
            let skipped = if count > served {
                self.check_offsets[turn] % count
            } else {
                0
            };
            self.check_offsets[turn] = skipped + served;
            left = left.saturating_sub(served);
            let in_order = functions.into_iter().cycle().skip(skipped);
            for (_, function_id) in in_order.take(served) {
                self.dispatch_queue(now, function_id, actions);
            }
        }
        self.loads.end_turns();
    }

    /// The position of a function among those with the same turn; none if no call waits.
    fn turn_key(&self, now: Time, function: &Function, turn: LoadTurn) -> Option<TurnKey> {
        let most_urgent = *function.queue.first()?;
        let request = self.requests.get(&most_urgent.request)?;
        let load_time = self.expected_load_time(function);
        let is_loadable = turn != LoadTurn::Confirmed;
        Some(TurnKey {
            too_late_to_load: is_loadable && now.plus(load_time) > request.deadline,
            most_urgent,
        })
    }

    /// Returns the queued calls of a function, in their order, that may by now be late, be past their deadline or
    /// have lost their right to a retry. A first attempt whose objective ends later than any answer takes cannot be
    /// one of them.
    fn calls_to_check(&self, function_id: FunctionId, now: Time) -> Vec<QueueKey> {
        let Some(function) = self.functions.get(&function_id) else {
            return Vec::new();
        };
        let horizon = self.longest_service(function).max(self.usual_answer_time());
        let near = QueueKey {
            late: false,
            objective_at: now.plus((horizon as Micros).saturating_add(2)),
            request: RequestId(u64::MAX),
        };
        let mut keys: Vec<QueueKey> = function.queue.range(..=near).copied().collect();
        let further_off = (Excluded(near), Excluded(QueueKey::FIRST_LATE));
        keys.extend(function.queued_retries.range(further_off));
        keys.extend(function.queue.range(QueueKey::FIRST_LATE..));
        keys
    }

    /// Returns an upper bound of the expected service time of the queued calls of a function.
    fn longest_service(&self, function: &Function) -> f64 {
        let classes = 0..self.settings.classes.len();
        let slowest_class = classes
            .map(|class| self.service_time(class))
            .fold(0.0, f64::max);
        let heaviest = if function.mean_work_hint > 0.0 {
            function.largest_queued_hint as f64 / function.mean_work_hint
        } else {
            1.0
        };
        function.service_time.unwrap_or(slowest_class) * heaviest.max(1.0)
    }
}
