//! What time brings.

use super::*;

impl Dispatcher {
    pub(super) fn expire(&mut self, out: &mut Vec<Command>) {
        let mut due = std::mem::take(&mut self.due);
        self.timers.expire(self.now.0, |d| due.push(d));
        for d in due.drain(..) {
            match d {
                Due::Module(token) => self.tell(Event::Timer { token }, out),
                Due::Deadline(id) => self.on_deadline(id, out),
                Due::Attempt(id, number, until) => self.on_attempt_due(id, number, until, out),
                Due::Order(id) => self.on_order_due(id, out),
                Due::Close => {
                    let mut open: Vec<CallId> = self
                        .calls
                        .iter()
                        .filter(|(_, c)| !c.answered)
                        .map(|(id, _)| *id)
                        .collect();
                    open.sort();
                    for id in open {
                        self.tell(
                            Event::Departed {
                                request: RequestId(id.0),
                            },
                            out,
                        );
                        self.answer(id, Answer::Failed(FailureReason::ShuttingDown), out);
                    }
                }
            }
        }
        self.due = due;
    }

    pub(super) fn on_deadline(&mut self, id: CallId, out: &mut Vec<Command>) {
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else {
            return;
        };
        c.timer = None;
        let streaming = c.attempt.as_ref().is_some_and(|a| a.began);
        if !streaming {
            // The module answers what is due whenever it is told anything; this is the moment.
            self.tell(Event::Timer { token: u64::MAX }, out);
        }
        // An answer that began to stream is out of the module's hands; so is what it left unanswered.
        if self.calls.get(&id).is_some_and(|c| !c.answered) {
            debug_assert!(
                streaming,
                "the module left {id:?} unanswered at its deadline"
            );
            self.counters.guard_rejections += u64::from(!streaming);
            self.answer(id, Answer::Failed(FailureReason::Deadline), out);
        }
    }

    pub(super) fn on_attempt_due(
        &mut self,
        id: CallId,
        number: u32,
        until: Until,
        out: &mut Vec<Command>,
    ) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else {
            return;
        };
        if a.number != number {
            return;
        }
        match (until, a.phase) {
            // Most have left long ago, and asking for each at once would cost more than the answer is worth.
            (Until::Left, Phase::Opening) => self.confirm(id, out),
            (Until::Ended, Phase::Opening | Phase::Confirming | Phase::Open) => {
                self.withdraw(id, Outcome::TimedOut, out)
            }
            // A connection that takes nothing, not even a reset, is dropped, which ends all that is on it.
            (Until::Left, Phase::Confirming) | (Until::Closed, Phase::Closing(_)) => {
                a.timer = None;
                let worker = a.worker;
                self.counters.dropped_connections += 1;
                out.extend(
                    self.name(worker)
                        .map(|worker| Command::DropConnection { worker }),
                );
            }
            (Until::Left, Phase::Open | Phase::Closing(_)) => {}
            (Until::Ended, Phase::Closing(_)) => {}
            (Until::Closed, Phase::Opening | Phase::Confirming | Phase::Open) => {}
        }
    }

    pub(super) fn on_order_due(&mut self, id: ControlRequestId, out: &mut Vec<Command>) {
        let Some(o) = self.order_list.get_mut(&id) else {
            return;
        };
        o.timer = None;
        o.withdrawn = true;
        out.push(Command::CancelControlRequest { request: id });
    }
}
