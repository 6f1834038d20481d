//! Rules for requests to workers: one attempt of a call at a time (rule 0), retries only where they are harmless (rule 2),
//! no new requests to a draining worker after the grace period (rule 3).

use super::calls::{integer_parameter, Attempt, Call, Stream};
use super::Auditor;
use crate::record::Link;
use crate::report::{CallEnd, Violation};
use crate::rules::Effect;
use prost::Message;
use tansy_inference::inference as pb;

impl Auditor<'_> {
    /// Checks an attempt or a load request to a worker.
    pub(super) fn on_worker_request(
        &mut self,
        at: i64,
        front: usize,
        worker: usize,
        stream: &mut Stream,
        message: &[u8],
    ) {
        if stream.method == "RepositoryModelLoad" {
            self.on_load_request(at, front, worker, message);
        }
        if !stream.is_inference() {
            return;
        }
        let Ok(request) = pb::ModelInferRequest::decode(message) else {
            return;
        };
        self.report.attempts += 1;
        if self.is_past_drain_grace(at, front, worker) {
            let reason =
                format!("an attempt at worker {worker} after the grace period of its drain");
            self.violation(3, at, request.id.clone(), reason);
        }
        let attempt = Attempt {
            front,
            worker,
            sent_at: at,
            ended_at: None,
            never_ran: false,
            has_response: false,
            work: integer_parameter(request.parameters.get("work_ms")).unwrap_or(0) * 1000,
            timeout: stream.timeout,
        };
        self.on_attempt(request.id, attempt, stream);
    }

    fn on_load_request(&mut self, at: i64, front: usize, worker: usize, message: &[u8]) {
        use pb::model_repository_parameter::ParameterChoice::Int64Param;
        let request = pb::RepositoryModelLoadRequest::decode(message).unwrap_or_default();
        let instances = request
            .parameters
            .get("instances")
            .and_then(|parameter| parameter.parameter_choice.clone());
        if instances == Some(Int64Param(0)) {
            return;
        }
        self.load_requests.push((at, front));
        self.report.loads += 1;
        if self.is_past_drain_grace(at, front, worker) {
            let reason = "a load request after the grace period of its drain";
            self.violation(3, at, format!("worker {worker}"), reason);
        }
    }

    fn is_past_drain_grace(&self, at: i64, front: usize, worker: usize) -> bool {
        let grace =
            self.rules.list_read_delay + self.rules.drain_grace + self.rules.clock_tolerance;
        let since = self.draining.get(&(front, worker));
        since.is_some_and(|since| at > since + grace)
    }

    fn on_attempt(&mut self, id: String, attempt: Attempt, stream: &mut Stream) {
        let at = attempt.sent_at;
        let Some(call) = self.calls.get_mut(&id) else {
            let reason = "an attempt of an unknown call";
            return self.violation(1, at, id, reason);
        };
        let mut violations: Vec<(u8, &str)> = Vec::new();
        let ended = call.ended_at.filter(|_| call.end != CallEnd::Killed);
        if ended.is_some_and(|ended| at > ended + self.rules.clock_tolerance) {
            violations.push((1, "an attempt after the final answer"));
        }
        let effect = self.rules.effect(&call.function);
        violations.extend(harmful_retry(call, effect, at).map(|reason| (2, reason)));
        self.report.retries += usize::from(!call.attempts.is_empty());
        call.attempts.push(attempt);
        stream.call_ids = vec![id.clone()];
        for (rule, reason) in violations {
            self.violation(rule, at, id.clone(), reason);
        }
    }

    /// Ends the attempts or calls of a stream. `never_ran`: the worker guarantees that it did not run the attempt.
    pub(super) fn on_stream_end(&mut self, at: i64, link: Link, stream: &Stream, never_ran: bool) {
        for id in &stream.call_ids {
            let Some(call) = self.calls.get_mut(id) else {
                continue;
            };
            match link {
                Link::Client { .. } if !stream.answered => call.finish(CallEnd::Left, at),
                Link::Client { .. } | Link::Peer { .. } => {}
                Link::Worker { front, worker } => {
                    let open = call.attempts.iter_mut().rfind(|attempt| {
                        attempt.ended_at.is_none()
                            && attempt.front == front
                            && attempt.worker == worker
                            && attempt.sent_at >= stream.began
                    });
                    if let Some(attempt) = open {
                        attempt.ended_at = Some(at);
                        attempt.never_ran = never_ran && !attempt.has_response;
                    }
                }
            }
        }
    }

    /// Whether the worker has started a response on the stream.
    pub(super) fn has_response(&self, stream: &Stream) -> bool {
        let calls = stream.call_ids.iter().filter_map(|id| self.calls.get(id));
        calls
            .filter_map(|call| call.last_attempt_since(stream.began))
            .any(|attempt| attempt.has_response)
    }

    /// Records that the worker has started a response on the stream.
    pub(super) fn mark_response(&mut self, stream: &Stream) {
        for id in &stream.call_ids {
            let call = self.calls.get_mut(id);
            if let Some(attempt) = call.and_then(|call| call.last_attempt_since_mut(stream.began)) {
                attempt.has_response = true;
            }
        }
    }

    /// Rule 0: attempts that were sent while an earlier one was open. Checked on the complete recording, because the order of
    /// entries of different connections is not reliable.
    pub(super) fn overlapping_attempts(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, call) in &self.calls {
            for (index, next) in call.attempts.iter().enumerate() {
                let latest = next.sent_at + self.rules.clock_tolerance;
                let mut earlier = call.attempts[..index].iter();
                let Some(open) = earlier.find(|a| a.ended_at.is_none_or(|end| end > latest)) else {
                    continue;
                };
                let reason = format!(
                    "an attempt at worker {} while the one at worker {} is open",
                    next.worker, open.worker
                );
                violations.push(Violation {
                    rule: 0,
                    at: next.sent_at,
                    subject: id.clone(),
                    reason,
                });
            }
        }
        violations
    }
}

/// The reason why another attempt at this time may be harmful, or `None` if it is harmless.
fn harmful_retry(call: &Call, effect: Effect, at: i64) -> Option<&'static str> {
    let first_run = call.attempts.iter().find(|attempt| !attempt.never_ran)?;
    match effect {
        Effect::Unsafe => Some("retry of an unsafe call that may have run"),
        Effect::Keyed(window) if at > first_run.sent_at + window => {
            Some("retry of a keyed call after its deduplication window")
        }
        _ => None,
    }
}
