//! Calls and their attempts: from the arrival to the one answer, the guards of the rules.

use super::*;

impl Dispatcher {
    pub(super) fn on_call(&mut self, call: Call, out: &mut Vec<Command>) {
        if !self.calls.contains_key(&call.id) {
            self.arrive(call, None, 0, out);
        }
    }

    /// A call comes, with its function's class and shape where the settings don't name that, having waited so long.
    pub(super) fn arrive(
        &mut self,
        mut call: Call,
        scope: Option<(usize, FunctionShape)>,
        waited: Span,
        out: &mut Vec<Command>,
    ) {
        let id = call.id;
        let waited = waited + call.waited.max(0);
        if let Some((_, shape)) = scope {
            call.shape = Some(shape);
        }
        let spec = self.function_of(&call).and_then(|f| self.specs.get(&f));
        let Some(spec) = spec else {
            return self.nameless(id, out);
        };
        let of_function = scope.map_or(spec.class, |(class, _)| class);
        let arrived = Time(self.now.0 - waited);
        self.counters.accepted += 1;
        // Nothing was sent for it: a refusal is right for every class. Another front end may take it at once while
        // this one closes; one that is full is full for a while.
        if self.closing || self.calls.len() >= self.config.settings.max_held {
            let full = self.config.settings.classes[of_function]
                .aim
                .min(self.config.settings.max_stay_away);
            let retry_after = if self.closing { 0 } else { full };
            self.counters.refused += 1;
            let answer = Answer::Refused { retry_after };
            self.counted(of_function, Some(answer), arrived);
            out.push(Command::Answer { call: id, answer });
            return;
        }
        let class = call
            .class
            .filter(|c| *c < self.config.settings.classes.len())
            .unwrap_or(of_function);
        if let Some(retry_after) = self.contests(&call, class) {
            (self.counters.refused, self.counters.conflicting) =
                (self.counters.refused + 1, self.counters.conflicting + 1);
            let answer = Answer::Refused { retry_after };
            self.counted(class, Some(answer), arrived);
            out.push(Command::Answer { call: id, answer });
            return;
        }
        let told = call
            .budget
            .unwrap_or(self.config.settings.classes[class].deadline);
        let budget = (self.budget(told) - waited).max(0);
        if waited > 0 && budget == 0 {
            // Nothing was sent for it.
            self.counters.refused += 1;
            let retry_after = if scope.is_some() {
                self.till_known()
            } else {
                0
            };
            let answer = Answer::Refused { retry_after };
            self.counted(class, Some(answer), arrived);
            out.push(Command::Answer { call: id, answer });
            return;
        }
        let function = FunctionId(crate::names::name_hash(&spec.name));
        let arrival = module::Arrival {
            request: RequestId(id.0),
            function,
            class,
            tenant: call.tenant,
            budget,
            work_hint: call.work_hint,
            lanes: spec.lanes,
            memory_mb: spec.memory_mb,
            load_time: spec.load_time,
            repeat: call.repeat,
        };
        let deadline = self.now.plus(budget);
        let timer = Some(self.timers.set(deadline.0, Due::Deadline(id)));
        let open = OpenCall {
            function,
            class,
            arrived,
            deadline,
            sent: 0,
            attempt: None,
            answered: false,
            last_end: None,
            ran_from: None,
            timer,
        };
        self.calls.insert(id, open);
        self.tell(Event::Arrival(arrival), out);
    }

    /// What of a call's time is there for it: its answer's way is kept back.
    pub(super) fn budget(&self, told: Span) -> Span {
        let told = told.clamp(0, self.config.max_call_time);
        (told - (told / RESERVE_PART).clamp(RESERVE_LEAST, RESERVE_MOST)).max(0)
    }

    pub(super) fn open_attempt(
        &mut self,
        id: CallId,
        worker: WorkerId,
        give_up: Option<Time>,
        out: &mut Vec<Command>,
    ) {
        let name = self.workers.name(worker.0).map(str::to_string);
        let connect = self.config.settings.connect_timeout;
        // Guards behind the module's own: what it never does is not done if it errs either.
        let may = self.may_begin(id, worker);
        let Some(c) = self.calls.get_mut(&id) else {
            self.counters.guard_rejections += 1;
            return;
        };
        let number = c.sent;
        c.sent += 1;
        let Some(name) = name.filter(|_| may.is_ok()) else {
            debug_assert!(false, "the module sent {id:?} to {worker:?}: {may:?}");
            self.counters.guard_rejections += 1;
            return;
        };
        let budget = c.deadline.since(self.now);
        let due = Due::Attempt(id, number, Until::Left);
        let timer = Some(self.timers.set(self.now.plus(connect).0, due));
        c.attempt = Some(Attempt {
            number,
            worker,
            sent: self.now,
            phase: Phase::Opening,
            began: false,
            timer,
        });
        if let Some(at) = give_up {
            self.timers
                .set(at.0, Due::Attempt(id, number, Until::Ended));
        }
        self.counters.attempts += 1;
        out.push(Command::SendAttempt {
            call: id,
            attempt: number,
            worker: name,
            budget,
        });
    }

    pub(super) fn on_opened(&mut self, id: CallId, attempt: u32) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else {
            return;
        };
        if a.number == attempt && matches!(a.phase, Phase::Opening | Phase::Confirming) {
            a.phase = Phase::Open;
            if let Some(timer) = a.timer.take() {
                self.timers.clear(timer);
            }
        }
    }

    pub(super) fn on_piece(
        &mut self,
        id: CallId,
        attempt: u32,
        last: bool,
        out: &mut Vec<Command>,
    ) {
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else {
            return;
        };
        let Some(a) = c.attempt.as_mut().filter(|a| a.number == attempt) else {
            return;
        };
        if matches!(a.phase, Phase::Closing(_)) {
            return;
        }
        a.phase = Phase::Open;
        let first = !std::mem::replace(&mut a.began, true);
        self.counters.messages += 1;
        if first {
            self.tell(
                Event::StreamBegan {
                    request: RequestId(id.0),
                    attempt,
                },
                out,
            );
        }
        out.push(Command::ForwardMessage { call: id });
        if last {
            self.answer(id, Answer::Served, out);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        id: CallId,
        attempt: u32,
        seen: AttemptOutcome,
        told: Trailers,
        out: &mut Vec<Command>,
    ) {
        let Some(c) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(a) = c.attempt.take_if(|a| a.number == attempt) else {
            return;
        };
        if let Some(timer) = a.timer {
            self.timers.clear(timer);
        }
        let class = classify(seen, &told);
        let outcome = match a.phase {
            // Withdrawn: it may have run, unless its end proves otherwise.
            Phase::Closing(reason) if !class.outcome.never_ran() => reason,
            // Its client left before the connection stood: that says nothing of the worker.
            Phase::Closing(Outcome::Cancelled) if seen == AttemptOutcome::ConnectTimedOut => {
                Outcome::NotSent
            }
            _ => class.outcome,
        };
        c.last_end = Some(outcome);
        if !outcome.never_ran() {
            c.ran_from.get_or_insert(a.sent);
        }
        let (function, answered, began) = (c.function, c.answered, a.began);
        self.used(function);
        self.counters.attempt_outcomes[outcome_index(outcome)] += 1;
        if outcome == Outcome::Served {
            self.believed.entry(function).or_default().warm_at = Some(self.now);
        }
        // An answer that has begun is its client's: no other may follow it, so an end in the middle is final.
        let ends = outcome == Outcome::Served || class.final_status || began;
        if !answered && ends {
            let answer = match outcome {
                Outcome::Served => Answer::Served,
                _ if class.final_status => Answer::WorkerStatus,
                Outcome::ConnectionLost => Answer::Failed(FailureReason::ConnectionLost),
                Outcome::TimedOut | Outcome::Cancelled => Answer::Failed(FailureReason::Deadline),
                _ => Answer::Failed(FailureReason::WorkerFailed),
            };
            self.answer(id, answer, out);
        }
        let done = module::AttemptDone {
            request: RequestId(id.0),
            attempt,
            worker: a.worker,
            outcome,
            concluded: answered || ends,
            latency: self.now.since(a.sent),
            note: told.cache_status.into(),
            crowd: told.concurrent_calls,
            report: told.report.map(LoadReport::into),
        };
        self.tell(Event::AttemptDone(done), out);
        self.settle(id);
    }

    pub(super) fn on_left(&mut self, id: CallId, out: &mut Vec<Command>) {
        if self.parked.remove(id) {
            (self.counters.accepted, self.counters.abandoned) =
                (self.counters.accepted + 1, self.counters.abandoned + 1);
            self.awaited(Err(None), 0);
            return;
        }
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else {
            return;
        };
        c.answered = true;
        let (class, arrived) = (c.class, c.arrived);
        self.counters.abandoned += 1;
        self.counted(class, None, arrived);
        self.tell(
            Event::Departed {
                request: RequestId(id.0),
            },
            out,
        );
        self.withdraw(id, Outcome::Cancelled, out);
        self.settle(id);
    }

    /// The one place where a call is answered: rule 1's exactly once.
    pub(super) fn answer(&mut self, id: CallId, answer: Answer, out: &mut Vec<Command>) {
        let Some(c) = self.calls.get_mut(&id).filter(|c| !c.answered) else {
            debug_assert!(false, "a second answer to {id:?}");
            self.counters.guard_rejections += 1;
            return;
        };
        c.answered = true;
        match answer {
            Answer::Served => self.counters.served += 1,
            Answer::Refused { .. } => self.counters.refused += 1,
            Answer::WorkerStatus | Answer::Failed(_) | Answer::UnknownFunction => {
                self.counters.failed += 1
            }
        }
        let (class, arrived) = (c.class, c.arrived);
        out.push(Command::Answer { call: id, answer });
        if answer == Answer::Served {
            // Its trailers may lag, but not for ever.
            if let Some(a) = c.attempt.as_mut() {
                let due = Due::Attempt(id, a.number, Until::Ended);
                if let Some(timer) = a.timer.take() {
                    self.timers.clear(timer);
                }
                a.timer = Some(self.timers.set(self.now.plus(TRAILERS_WITHIN).0, due));
            }
        } else {
            self.withdraw(id, Outcome::TimedOut, out);
        }
        self.counted(class, Some(answer), arrived);
        self.settle(id);
    }

    pub(super) fn confirm(&mut self, id: CallId, out: &mut Vec<Command>) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else {
            return;
        };
        a.phase = Phase::Confirming;
        if let Some(timer) = a.timer.take() {
            self.timers.clear(timer);
        }
        let at = self.now.plus(self.config.settings.connect_timeout);
        a.timer = Some(
            self.timers
                .set(at.0, Due::Attempt(id, a.number, Until::Left)),
        );
        out.push(Command::ConfirmSent {
            call: id,
            attempt: a.number,
        });
    }

    pub(super) fn withdraw(&mut self, id: CallId, reason: Outcome, out: &mut Vec<Command>) {
        let Some(a) = self.calls.get_mut(&id).and_then(|c| c.attempt.as_mut()) else {
            return;
        };
        if matches!(a.phase, Phase::Closing(_)) {
            return;
        }
        a.phase = Phase::Closing(reason);
        if let Some(timer) = a.timer.take() {
            self.timers.clear(timer);
        }
        // What can't leave in time for a connection won't leave at all.
        let at = self.now.plus(self.config.settings.connect_timeout);
        a.timer = Some(
            self.timers
                .set(at.0, Due::Attempt(id, a.number, Until::Closed)),
        );
        out.push(Command::CancelAttempt {
            call: id,
            attempt: a.number,
        });
    }

    /// Forgets a call that is owed nothing and has nothing out.
    pub(super) fn settle(&mut self, id: CallId) {
        if self
            .calls
            .get(&id)
            .is_some_and(|c| c.answered && c.attempt.is_none())
        {
            if let Some(timer) = self.calls.remove(&id).and_then(|c| c.timer) {
                self.timers.clear(timer);
            }
        }
    }
}
