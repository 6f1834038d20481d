//! Client requests, from arrival to final answer.

use super::estimate::SMOOTHING;
use super::instances::Function;
use super::queue::QueueKey;
use super::Router;
use crate::{Action, Arrival, FunctionId, Micros, RequestId, Time, WorkerEntry};

/// One attempt of a request at a worker.
pub(super) struct Attempt {
    /// The list entry of the worker when the attempt was sent.
    pub(super) worker: WorkerEntry,
    pub(super) sent_at: Time,
    /// Whether the ended attempt may have run; `None` while it is pending.
    pub(super) ended_may_have_run: Option<bool>,
}

impl Attempt {
    /// Whether the call may have run or may still run.
    pub(super) fn may_have_run(&self) -> bool {
        self.ended_may_have_run != Some(false)
    }
}

/// A request that is waiting for its answer or has a pending attempt.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) function: FunctionId,
    /// When its latency objective ends.
    pub(super) objective_at: Time,
    /// When its client gives up.
    pub(super) deadline: Time,
    pub(super) work_hint: Option<Micros>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) streaming: bool,
    pub(super) concluded: bool,
    /// Its key in the queue of its function, if it is queued.
    pub(super) queue_key: Option<QueueKey>,
}

impl Request {
    /// Whether an attempt has not ended yet.
    pub(super) fn has_pending_attempt(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.ended_may_have_run.is_none())
    }
}

impl Router {
    /// Queues a new request and dispatches its queue.
    pub(super) fn on_arrival(&mut self, now: Time, arrival: Arrival, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&arrival.request) {
            return;
        }
        if self.settings.load_budget.is_some() && self.settings.may_load {
            self.recent_arrivals.push_back(now);
        }
        let class = arrival.class.min(self.settings.classes.len() - 1);
        let work_hint = arrival.work_hint.filter(|hint| *hint > 0);
        let window = self.rate_window();
        if self.functions.contains_key(&arrival.function) {
            self.start_use(arrival.function);
        } else {
            self.make_room_for_function();
        }
        let function = self.functions.entry(arrival.function).or_default();
        function.open_requests += 1;
        function.on_arrival(now, &arrival, class, work_hint, window);
        let deadline = now.plus(arrival.budget.max(0));
        let request = Request {
            class,
            function: arrival.function,
            objective_at: self.objective_end(now, class, work_hint).min(deadline),
            deadline,
            work_hint,
            ..Request::default()
        };
        self.requests.insert(arrival.request, request);
        self.deadlines.insert((deadline, arrival.request));
        self.enqueue(arrival.request, now);
        self.dispatch_queue(now, arrival.function, actions);
    }

    /// Returns when the latency objective of a request that arrives now ends.
    fn objective_end(&self, now: Time, class: usize, work_hint: Option<Micros>) -> Time {
        let class = &self.settings.classes[class];
        let stretch = (class.objective_per_work * work_hint.unwrap_or(0) as f64) as Micros;
        now.plus(
            class
                .latency_objective
                .saturating_add(stretch)
                .min(class.deadline),
        )
    }

    /// Marks a request as streaming; its deadline no longer applies.
    pub(super) fn on_stream_start(&mut self, request_id: RequestId) {
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.streaming = true;
            self.deadlines.remove(&(request.deadline, request_id));
        }
    }

    /// Sends the final answer of a request that was not served: rejected if the client may safely repeat it, failed
    /// otherwise.
    pub(super) fn answer_unserved(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if request.concluded {
            return;
        }
        actions.push(if self.may_refuse(request) {
            Action::Reject {
                request: request_id,
                retry_after: 0,
            }
        } else {
            Action::Fail {
                request: request_id,
            }
        });
        self.close_request(request_id);
    }

    /// Marks a request as concluded, and removes it unless an attempt is pending.
    pub(super) fn close_request(&mut self, request_id: RequestId) {
        self.dequeue(request_id);
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.concluded = true;
            self.deadlines.remove(&(request.deadline, request_id));
            if !request.has_pending_attempt() {
                self.remove_request(request_id);
            }
        }
    }

    fn remove_request(&mut self, request_id: RequestId) {
        let Some(request) = self.requests.remove(&request_id) else {
            return;
        };
        if let Some(function) = self.functions.get_mut(&request.function) {
            function.open_requests = function.open_requests.saturating_sub(1);
        }
        self.end_use(request.function);
    }
}

impl Function {
    /// Updates the function from the arrival of one of its calls.
    fn on_arrival(
        &mut self,
        now: Time,
        arrival: &Arrival,
        class: usize,
        work_hint: Option<Micros>,
        rate_window: f64,
    ) {
        self.lanes = arrival.lanes.max(1);
        self.load_time_hint = arrival.load_time.filter(|time| *time > 0);
        self.class = class;
        self.recent_calls.add(now, 1.0, rate_window);
        if let Some(hint) = work_hint {
            let hint = hint as f64;
            self.mean_work_hint += if self.mean_work_hint == 0.0 {
                hint
            } else {
                SMOOTHING * (hint - self.mean_work_hint)
            };
        }
    }
}
