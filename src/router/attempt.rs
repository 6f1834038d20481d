//! Attempts of a request at a worker: sending one, and learning from how it ended.

use super::*;

impl Router {
    pub(super) fn on_attempt_result(&mut self, now: Time, d: AttemptDone, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&d.request) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(d.attempt as usize) else {
            return;
        };
        if a.may_have_run.replace(!d.outcome.never_ran()).is_some() {
            return;
        }
        let (worker_id, sent, function_id, class) =
            (a.worker.worker, a.sent_at, r.function, r.class);
        let owed = !r.concluded && !d.concluded;
        let (usual, weight) = self
            .requests
            .get(&d.request)
            .map_or((0.0, 1.0), |r| self.expected_service(r));
        let (aim, memory, filled) = (
            self.settings.classes[class].aim as f64,
            self.rate_window(),
            self.observed_window(now),
        );
        if let Some(w) = self.workers.get_mut(&worker_id) {
            w.unanswered.remove(&(sent, d.request));
            w.in_flight = w.in_flight.saturating_sub(1);
            let took = d.latency.max(0) as f64;
            let heard = !matches!(d.outcome, TimedOut | Cancelled | NotSent);
            let lost = matches!(d.outcome, ConnectFailed | ConnectionLost);
            let ran = matches!(d.outcome, Served | Error);
            let warm = matches!(d.note, Note::Warm | Note::Silent);
            if lost {
                Self::mark_suspect(w, now, 0);
            } else if heard {
                (w.last_answer, w.suspect) = (now, w.suspect && !ran);
                w.last_load_ineffective &= d.outcome != Served;
            }
            // EXCEPTION: what a worker holds of ours is bounded by what comes back in good time, whatever
            // slows it: siblings' calls, few cores, ageing, a jam. With many siblings that is under one call:
            // the part of the time that one may be there (`rest`). Harm: it gives up some room to chance.
            // Not by what one with idle cores takes: those calls are long, or it is slow whatever it holds.
            let busy = d.report.and_then(|r| r.busy);
            busy.into_iter()
                .for_each(|b| self.busy_cores.add(now, b, memory));
            let idle = busy.is_some_and(|b| b < IDLE_CORE_SHARE);
            let slow = ran && warm && took > aim / 2.0 && took > 2.0 * usual && !idle;
            if ran && warm {
                let ratio = took / usual.max(1.0);
                w.service_ratio.add(now, ratio, memory);
                self.lowest_slowness = self.lowest_slowness.min(ratio);
                let mut add = |kind| {
                    self.kind_ratios
                        .entry(kind)
                        .or_default()
                        .add(now, ratio, memory)
                };
                add(w.entry.kind);
                add(ALL_KINDS);
            }
            let bad = slow || matches!(d.outcome, TurnedAway | TimedOut);
            if bad && now.since(w.limit_cut_at) > usual as Span {
                let used = if w.in_flight > 0 {
                    w.concurrency_limit
                } else {
                    (usual * w.recent_sends.sum / filled).min(1.0)
                };
                let least = (MIN_FLEET_LIMIT / self.settings.siblings as f64).min(1.0);
                (w.concurrency_limit, w.limit_cut_at) = (
                    (w.concurrency_limit.min(used) * LIMIT_DECREASE).max(least),
                    now,
                );
            } else if !bad && ran && w.in_flight as f64 + 1.5 >= w.concurrency_limit {
                w.concurrency_limit +=
                    (1.0 / w.concurrency_limit).min(SMOOTHING * w.concurrency_limit);
            }
        }
        let takes = self
            .functions
            .get(&function_id)
            .map_or(1.0, |f| self.instance_capacity(f, now));
        let (served, most) = (self.service_time(class), self.ready_count.max(1.0));
        if let Some(f) = self.functions.get_mut(&function_id) {
            if let (Some(c), Served | TurnedAway) = (d.crowd, d.outcome) {
                let step = 1.0 + 2.0 * SMOOTHING * ((c as f64 / takes) - 1.0);
                f.estimated_instances = (f.estimated_instances.max(1.0) * step).clamp(1.0, most);
            }
            let p = f.instances.entry(worker_id).or_default();
            p.in_flight = p.in_flight.saturating_sub(1);
            let boast = d.outcome == NotLoaded && p.load_unconfirmed;
            p.load_unconfirmed &= d.outcome != Served && !boast;
            match d.outcome {
                Served => {
                    (p.ineffective_loads, p.warm, p.missed_at, p.last_evidence) =
                        (0, true, None, now);
                    p.count = p.count.max(1);
                    if matches!(d.note, Note::Warm | Note::Silent) {
                        let x = d.latency.max(1) as f64 / weight;
                        self.answer_times.add(d.latency.max(1) as f64);
                        // A low estimate: falls fast, rises slowly, so that queues weigh little.
                        let step = |old: f64| {
                            old + (x - old)
                                * if x < old {
                                    2.0 * SMOOTHING
                                } else {
                                    SMOOTHING / 2.0
                                }
                        };
                        f.service_time = Some(f.service_time.map_or(x, step));
                        self.class_service_times.insert(class, step(served));
                    }
                    let work = self
                        .class_service_times
                        .get(&class)
                        .copied()
                        .unwrap_or(served);
                    self.recent_work.add(
                        now,
                        if self.total_share > 0.0 {
                            work / self.total_share
                        } else {
                            0.0
                        },
                        memory,
                    );
                }
                NotLoaded => (p.warm, p.missed_at) = (false, Some(now)),
                ConnectFailed => p.warm = false,
                TurnedAway | TimedOut | Cancelled => p.excluded_until = now.plus(usual as Span),
                _ => {}
            }
            if boast {
                self.load_without_effect(now, worker_id, function_id, true);
            }
        }
        let request = self.requests.get(&d.request);
        let again =
            request.is_some_and(|r| now < r.deadline && self.may_attempt_again(r, None, now));
        match (owed, again) {
            (false, _) => self.close_request(d.request),
            (true, true) => self.enqueue(d.request, now),
            (true, false) => self.answer_unserved(d.request, out),
        }
        self.dispatch_queue(now, function_id, out);
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        worker_id: WorkerId,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (weight, memory) = (self.service_time(r.class), self.rate_window());
        let credit = self
            .workers
            .get(&worker_id)
            .and_then(|w| self.slow_start_credit(w, weight, now));
        let (Some(r), Some(w)) = (self.requests.get_mut(&id), self.workers.get_mut(&worker_id))
        else {
            return;
        };
        let to = w.entry.clone();
        r.attempts.push(Attempt {
            worker: to,
            sent_at: now,
            may_have_run: None,
        });
        (w.slow_start_credit, w.credit_updated_at) = (credit.unwrap_or(0.0) - weight, now);
        w.in_flight += 1;
        w.unanswered.insert((now, id));
        (w.trial_allowed, w.last_send) = (false, Some(now));
        w.recent_sends.add(now, 1.0, memory);
        if let Some(f) = self.functions.get_mut(&r.function) {
            let p = f.instances.entry(worker_id).or_default();
            p.in_flight += 1;
            p.last_send = Some(now);
        }
        out.push(Action::Send {
            request: id,
            worker: worker_id,
            give_up: None,
        });
    }
}
