//! Rule 1: each call gets exactly one final answer within its timeout. Rule 2: a refused call is safe to retry.

use super::calls::{integer_parameter, Call, Stream};
use super::Auditor;
use crate::report::{CallEnd, Violation};
use crate::rules::Effect;
use prost::Message;
use tansy_inference::inference as pb;

impl Auditor<'_> {
    /// Records a call that arrived at a front end.
    pub(super) fn on_call(
        &mut self,
        at: i64,
        front: usize,
        opened: i64,
        stream: &mut Stream,
        message: &[u8],
    ) {
        if !stream.is_inference() {
            return;
        }
        let Ok(request) = pb::ModelInferRequest::decode(message) else {
            return;
        };
        let Some((_, deadline)) = self.rules.functions.get(&request.model_name).copied() else {
            return;
        };
        let own_timeout = integer_parameter(request.parameters.get("timeout"))
            .filter(|_| stream.method == "ModelStreamInfer");
        let timeout = [own_timeout, stream.timeout].into_iter().flatten().min();
        stream.call_ids.push(request.id.clone());
        self.report.started += 1;
        // The front end was killed after the connection was opened, so no process received the call.
        let killed = self
            .kills
            .iter()
            .any(|(time, killed)| *killed == front && *time >= opened);
        let call = Call {
            front,
            at,
            function: request.model_name,
            due: at + timeout.unwrap_or(deadline),
            end: match killed {
                true => CallEnd::Killed,
                false => CallEnd::Open,
            },
            ended_at: killed.then_some(at),
            final_answers: 0,
            attempts: Vec::new(),
        };
        if self.calls.insert(request.id.clone(), call).is_some() {
            let reason = "request id used by two calls: the recording can't be audited";
            self.violation(1, at, request.id, reason);
        }
    }

    /// Checks a message to a client on a streamed call.
    pub(super) fn on_stream_answer(&mut self, at: i64, message: &[u8]) {
        use pb::infer_parameter::ParameterChoice::BoolParam;
        let Ok(message) = pb::ModelStreamInferResponse::decode(message) else {
            return self.violation(1, at, "", "stream message can't be decoded");
        };
        let response = message.infer_response.unwrap_or_default();
        let is_final = response
            .parameters
            .get("triton_final_response")
            .and_then(|parameter| parameter.parameter_choice.clone());
        let end = match message.error_message.as_str() {
            "" => CallEnd::Served,
            error if error.starts_with("refused:") => CallEnd::Refused,
            _ => CallEnd::Failed,
        };
        let answered = [CallEnd::Served, CallEnd::Refused, CallEnd::Failed];
        let call = self.calls.get(&response.id);
        if call.is_some_and(|call| answered.contains(&call.end)) {
            return self.violation(
                1,
                at,
                response.id,
                "a stream message after the final answer",
            );
        }
        if is_final == Some(BoolParam(true)) {
            self.on_final_answer(at, &response.id, end);
        }
    }

    /// Checks a final answer to a client.
    pub(super) fn on_final_answer(&mut self, at: i64, id: &str, end: CallEnd) {
        let excused = self.calls.get(id).is_some_and(|call| self.was_paused(call));
        let Some(call) = self.calls.get_mut(id) else {
            let reason = "an answer to an unknown call";
            return self.violation(1, at, id, reason);
        };
        call.final_answers += 1;
        let mut violations: Vec<(u8, String)> = Vec::new();
        if call.final_answers > 1 {
            violations.push((1, "a second final answer".into()));
        }
        if at > call.due + self.rules.clock_tolerance && call.end == CallEnd::Open && !excused {
            let late = at - call.due;
            let reason = format!("final answer {late} us after the client's timeout");
            violations.push((1, reason));
        }
        if end == CallEnd::Refused
            && self.rules.effect(&call.function) == Effect::Unsafe
            && call.attempts.iter().any(|attempt| !attempt.never_ran)
        {
            let reason = "a refusal of an unsafe call that may have run";
            violations.push((2, reason.into()));
        }
        call.finish(end, at);
        for (rule, reason) in violations {
            self.violation(rule, at, id, reason);
        }
    }

    /// Calls that have no final answer although their timeout passed before the end of the recording.
    pub(super) fn unanswered(&self, end: i64) -> Vec<Violation> {
        let overdue = |call: &Call| {
            call.end == CallEnd::Open
                && end > call.due + self.rules.clock_tolerance
                && !self.was_paused(call)
        };
        let calls = self.calls.iter().filter(|(_, call)| overdue(call));
        calls
            .map(|(id, call)| Violation {
                rule: 1,
                at: call.due,
                subject: id.clone(),
                reason: "no final answer within the client's timeout".to_string(),
            })
            .collect()
    }
}
