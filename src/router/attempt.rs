//! Attempts of a request at a worker: sending one, and learning from how it ended.

use super::*;

impl Router {
    pub(super) fn on_done(&mut self, now: Time, d: AttemptDone, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&d.request) else {
            return;
        };
        let Some(a) = r.attempts.get_mut(d.attempt as usize) else {
            return;
        };
        if a.ran.replace(!d.outcome.never_ran()).is_some() {
            return;
        }
        let (wid, sent, fid, class) = (a.to.worker, a.sent, r.function, r.class);
        let owed = !r.concluded && !d.concluded;
        let (usual, weight) = self
            .requests
            .get(&d.request)
            .map_or((0.0, 1.0), |r| self.expected(r));
        let (aim, memory, filled) = (
            self.set.classes[class].aim as f64,
            self.memory(),
            self.filled(now),
        );
        if let Some(w) = self.workers.get_mut(&wid) {
            w.out.remove(&(sent, d.request));
            w.in_flight = w.in_flight.saturating_sub(1);
            let took = d.latency.max(0) as f64;
            let heard = !matches!(d.outcome, TimedOut | Cancelled | NotSent);
            let lost = matches!(d.outcome, ConnectFailed | ConnectionLost);
            let ran = matches!(d.outcome, Served | Error);
            let warm = matches!(d.note, Note::Warm | Note::Silent);
            if lost {
                Self::suspect(w, now, 0);
            } else if heard {
                (w.heard, w.suspect) = (now, w.suspect && !ran);
                w.vain &= d.outcome != Served;
            }
            // EXCEPTION: what a worker holds of ours is bounded by what comes back in good time, whatever
            // slows it: siblings' calls, few cores, ageing, a jam. With many siblings that is under one call:
            // the part of the time that one may be there (`rest`). Harm: it gives up some room to chance.
            // Not by what one with idle cores takes: those calls are long, or it is slow whatever it holds.
            let busy = d.report.and_then(|r| r.busy);
            busy.into_iter().for_each(|b| self.busy.add(now, b, memory));
            let idle = busy.is_some_and(|b| b < IDLE);
            let slow = ran && warm && took > aim / 2.0 && took > 2.0 * usual && !idle;
            if ran && warm {
                let ratio = took / usual.max(1.0);
                w.pace.add(now, ratio, memory);
                self.quickest = self.quickest.min(ratio);
                let mut add = |kind| self.kinds.entry(kind).or_default().add(now, ratio, memory);
                add(w.entry.kind);
                add(ALL);
            }
            let bad = slow || matches!(d.outcome, TurnedAway | TimedOut);
            if bad && now.since(w.cut_at) > usual as Span {
                let used = if w.in_flight > 0 {
                    w.limit
                } else {
                    (usual * w.sends.sum / filled).min(1.0)
                };
                let least = (LEAST_LIMIT / self.set.siblings as f64).min(1.0);
                (w.limit, w.cut_at) = ((w.limit.min(used) * CUT).max(least), now);
            } else if !bad && ran && w.in_flight as f64 + 1.5 >= w.limit {
                w.limit += (1.0 / w.limit).min(GAIN * w.limit);
            }
        }
        let takes = self.functions.get(&fid).map_or(1.0, |f| self.takes(f, now));
        let (served, most) = (self.service(class), self.ready.max(1.0));
        if let Some(f) = self.functions.get_mut(&fid) {
            if let (Some(c), Served | TurnedAway) = (d.crowd, d.outcome) {
                let step = 1.0 + 2.0 * GAIN * ((c as f64 / takes) - 1.0);
                f.width = (f.width.max(1.0) * step).clamp(1.0, most);
            }
            let p = f.places.entry(wid).or_default();
            p.in_flight = p.in_flight.saturating_sub(1);
            let boast = d.outcome == NotLoaded && p.told;
            p.told &= d.outcome != Served && !boast;
            match d.outcome {
                Served => {
                    (p.vain, p.warm, p.missed, p.touched) = (0, true, None, now);
                    p.copies = p.copies.max(1);
                    if matches!(d.note, Note::Warm | Note::Silent) {
                        let x = d.latency.max(1) as f64 / weight;
                        self.answers.add(d.latency.max(1) as f64);
                        // A low estimate: falls fast, rises slowly, so that queues weigh little.
                        let step = |old: f64| {
                            old + (x - old) * if x < old { 2.0 * GAIN } else { GAIN / 2.0 }
                        };
                        f.service = Some(f.service.map_or(x, step));
                        self.services.insert(class, step(served));
                    }
                    let work = self.services.get(&class).copied().unwrap_or(served);
                    self.work.add(
                        now,
                        if self.shares > 0.0 {
                            work / self.shares
                        } else {
                            0.0
                        },
                        memory,
                    );
                }
                NotLoaded => (p.warm, p.missed) = (false, Some(now)),
                ConnectFailed => p.warm = false,
                TurnedAway | TimedOut | Cancelled => p.barred_until = now.plus(usual as Span),
                _ => {}
            }
            if boast {
                self.in_vain(now, wid, fid, true);
            }
        }
        let request = self.requests.get(&d.request);
        let again = request.is_some_and(|r| now < r.deadline && self.repeatable(r, None, now));
        match (owed, again) {
            (false, _) => self.conclude(d.request),
            (true, true) => self.enline(d.request, now),
            (true, false) => self.finish(d.request, out),
        }
        self.pump(now, fid, out);
    }

    pub(super) fn send(&mut self, now: Time, id: RequestId, wid: WorkerId, out: &mut Vec<Action>) {
        self.unline(id);
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (weight, memory) = (self.service(r.class), self.memory());
        let credit = self
            .workers
            .get(&wid)
            .and_then(|w| self.cold_credit(w, weight, now));
        let (Some(r), Some(w)) = (self.requests.get_mut(&id), self.workers.get_mut(&wid)) else {
            return;
        };
        let to = w.entry.clone();
        r.attempts.push(Attempt {
            to,
            sent: now,
            ran: None,
        });
        (w.credit, w.credit_at) = (credit.unwrap_or(0.0) - weight, now);
        w.in_flight += 1;
        w.out.insert((now, id));
        (w.trial, w.last) = (false, Some(now));
        w.sends.add(now, 1.0, memory);
        if let Some(f) = self.functions.get_mut(&r.function) {
            let p = f.places.entry(wid).or_default();
            p.in_flight += 1;
            p.last_send = Some(now);
        }
        out.push(Action::Send {
            request: id,
            worker: wid,
            give_up: None,
        });
    }
}
