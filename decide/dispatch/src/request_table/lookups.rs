//! Functions whose settings are not part of a version: their calls come with what was found of them, and wait where that is
//! not known yet.

use super::*;
use crate::message::FunctionLookup;
use crate::pending_lookups::{LookupResult, WaitEnd, WaitRefusal};

impl Dispatcher {
    /// Whether the settings in use name this function.
    pub fn is_configured(&self, function: &str) -> bool {
        self.functions
            .find(function)
            .is_some_and(|id| !self.learned.contains_key(&FunctionId(id)))
    }

    /// Functions whose calls wait until something is found of them.
    pub fn awaited_functions(&self) -> impl Iterator<Item = &str> {
        self.parked.functions()
    }

    /// Calls that wait so. They are taken, or not, when that has ended.
    pub fn pending_calls(&self) -> usize {
        self.parked.len()
    }

    pub(super) fn on_looked(&mut self, call: Call, found: FunctionLookup, out: &mut Vec<Command>) {
        if self.calls.contains_key(&call.id) || self.parked.contains(call.id) {
            return;
        }
        match found {
            FunctionLookup::Known { class, shape } => {
                self.arrive(call, Some((class, shape)), 0, out)
            }
            FunctionLookup::Refused => self.untold(call.id, self.till_known(), out),
            FunctionLookup::Unknown => self.nameless(call.id, out),
            FunctionLookup::Pending if self.closing => self.turn_back(call.id, 0, out),
            FunctionLookup::Pending
                if self.calls.len() + self.parked.len() >= self.config.settings.max_held =>
            {
                self.turn_back(call.id, self.till_known(), out);
            }
            FunctionLookup::Pending => {
                let own = self.may_wait(&call);
                let mut ends = Vec::new();
                self.parked.add(self.now, call, own, &mut ends);
                self.unpark(ends, None, out);
            }
        }
    }

    pub(super) fn on_found(
        &mut self,
        function: &str,
        found: FunctionLookup,
        out: &mut Vec<Command>,
    ) {
        let learned = match found {
            FunctionLookup::Pending => return,
            FunctionLookup::Refused => LookupResult::Refuse,
            FunctionLookup::Known { .. } | FunctionLookup::Unknown => LookupResult::Proceed,
        };
        let mut ends = Vec::new();
        self.parked.resolve(self.now, function, learned, &mut ends);
        self.unpark(ends, Some(found), out);
    }

    /// Ends the waits whose limit has come.
    pub(super) fn parked_due(&mut self, out: &mut Vec<Command>) {
        if self.parked.next_due().is_some_and(|t| t <= self.now) {
            let mut ends = Vec::new();
            self.parked.expire(self.now, &mut ends);
            self.unpark(ends, None, out);
        }
    }

    /// Nothing was sent for those that wait: another front end may take them at once.
    pub(super) fn close_parked(&mut self, out: &mut Vec<Command>) {
        let mut ends = Vec::new();
        self.parked.close(&mut ends);
        self.unpark(ends, None, out);
    }

    fn unpark(
        &mut self,
        ends: Vec<WaitEnd>,
        found: Option<FunctionLookup>,
        out: &mut Vec<Command>,
    ) {
        for end in ends {
            match (end, found) {
                (
                    WaitEnd::Release { call, waited },
                    Some(FunctionLookup::Known { class, shape }),
                ) => {
                    self.awaited(Ok(()), waited);
                    self.arrive(call, Some((class, shape)), waited, out);
                }
                (WaitEnd::Release { call, waited }, _) => {
                    let refused = self.conflicting.unknown_names.then(|| Answer::Refused {
                        retry_after: self.till_known(),
                    });
                    self.awaited(
                        Err(Some(refused.unwrap_or(Answer::UnknownFunction))),
                        waited,
                    );
                    self.nameless(call.id, out);
                }
                (
                    WaitEnd::Refuse {
                        call,
                        reason: WaitRefusal::ShuttingDown,
                    },
                    _,
                ) => self.turn_back(call, 0, out),
                (
                    WaitEnd::Refuse {
                        call,
                        reason: WaitRefusal::Full,
                    },
                    _,
                ) => {
                    self.turn_back(call, self.till_known(), out);
                }
                (
                    WaitEnd::Refuse {
                        call,
                        reason: WaitRefusal::TimedOut | WaitRefusal::Lookup,
                    },
                    _,
                ) => {
                    self.untold(call, self.till_known(), out);
                }
            }
        }
    }

    /// How long a call may wait by its own time: what is kept back for the answer's way is not waited for. One that tells no
    /// time, and no class either, may be of any class.
    fn may_wait(&self, call: &Call) -> Span {
        let classes = &self.config.settings.classes;
        let of = |c: usize| classes.get(c).map(|c| c.deadline);
        let least = || self.places.iter().filter_map(|p| of(*p)).min().unwrap_or(0);
        let told = call
            .budget
            .or_else(|| call.class.and_then(of))
            .unwrap_or_else(least);
        self.budget(told)
    }

    /// What front ends can't know that they agree on is refused, with advice.
    pub(super) fn unsure(&mut self, id: CallId, out: &mut Vec<Command>) {
        self.counters.conflicting += 1;
        self.turn_away(id, self.till_known(), out);
    }

    /// Advice: what is not known now may be by then.
    pub(super) fn till_known(&self) -> Span {
        self.conflicting
            .retry_after
            .min(self.config.settings.max_stay_away)
    }

    /// A call of a function that is not there; a version that can't be known may have it.
    pub(super) fn nameless(&mut self, id: CallId, out: &mut Vec<Command>) {
        if self.conflicting.unknown_names {
            return self.unsure(id, out);
        }
        self.counters.unknown_function += 1;
        out.push(Command::Answer {
            call: id,
            answer: Answer::UnknownFunction,
        });
    }

    /// A call whose function's settings are not known here is refused: counted by itself, since its class is one of them.
    fn untold(&mut self, id: CallId, stay_away: Span, out: &mut Vec<Command>) {
        self.counters.conflicting += 1;
        self.turn_back(id, stay_away, out);
    }

    /// The same where nothing is contested.
    fn turn_back(&mut self, id: CallId, stay_away: Span, out: &mut Vec<Command>) {
        self.awaited(
            Err(Some(Answer::Refused {
                retry_after: stay_away,
            })),
            0,
        );
        self.turn_away(id, stay_away, out);
    }

    /// A call's wait for its function's settings has this end.
    pub(super) fn awaited(&mut self, end: Result<(), Option<Answer>>, took: Span) {
        if let Some(counts) = &mut self.counts {
            counts.record_lookup_wait(end, took);
        }
    }

    /// Refuses a call that never came as far as the module.
    fn turn_away(&mut self, id: CallId, stay_away: Span, out: &mut Vec<Command>) {
        self.counters.accepted += 1;
        self.counters.refused += 1;
        out.push(Command::Answer {
            call: id,
            answer: Answer::Refused {
                retry_after: stay_away,
            },
        });
    }
}
