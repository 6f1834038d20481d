//! Functions whose settings are not part of a version: their calls come with what was found of them, and wait where that is
//! not known yet.

use super::*;
use crate::message::Found;
use crate::parked::{End, Learned, Refusal};

impl Front {
    /// Whether the settings in use name this function.
    pub fn names(&self, function: &str) -> bool {
        self.functions
            .find(function)
            .is_some_and(|id| !self.learned.contains_key(&FunctionId(id)))
    }

    /// Functions whose calls wait until something is found of them.
    pub fn waits_for(&self) -> impl Iterator<Item = &str> {
        self.parked.functions()
    }

    /// Calls that wait so. They are taken, or not, when that has ended.
    pub fn parked(&self) -> usize {
        self.parked.len()
    }

    pub(super) fn on_looked(&mut self, call: Call, found: Found, out: &mut Vec<Command>) {
        if self.calls.contains_key(&call.call) || self.parked.holds(call.call) {
            return;
        }
        match found {
            Found::Acts { class, shape } => self.arrive(call, Some((class, shape)), 0, out),
            Found::Refused => self.untold(call.call, self.till_known(), out),
            Found::Unknown => self.nameless(call.call, out),
            Found::Wait if self.closing => self.turn_back(call.call, 0, out),
            Found::Wait
                if self.calls.len() + self.parked.len() >= self.config.settings.max_held =>
            {
                self.turn_back(call.call, self.till_known(), out);
            }
            Found::Wait => {
                let own = self.may_wait(&call);
                let mut ends = Vec::new();
                self.parked.park(self.now, call, own, &mut ends);
                self.unpark(ends, None, out);
            }
        }
    }

    pub(super) fn on_found(&mut self, function: &str, found: Found, out: &mut Vec<Command>) {
        let learned = match found {
            Found::Wait => return,
            Found::Refused => Learned::Refuse,
            Found::Acts { .. } | Found::Unknown => Learned::Go,
        };
        let mut ends = Vec::new();
        self.parked.resolved(self.now, function, learned, &mut ends);
        self.unpark(ends, Some(found), out);
    }

    /// Ends the waits whose limit has come.
    pub(super) fn parked_due(&mut self, out: &mut Vec<Command>) {
        if self.parked.next().is_some_and(|t| t <= self.now) {
            let mut ends = Vec::new();
            self.parked.tick(self.now, &mut ends);
            self.unpark(ends, None, out);
        }
    }

    /// Nothing was sent for those that wait: another front end may take them at once.
    pub(super) fn close_parked(&mut self, out: &mut Vec<Command>) {
        let mut ends = Vec::new();
        self.parked.close(&mut ends);
        self.unpark(ends, None, out);
    }

    fn unpark(&mut self, ends: Vec<End>, found: Option<Found>, out: &mut Vec<Command>) {
        for end in ends {
            match (end, found) {
                (End::Release { call, waited }, Some(Found::Acts { class, shape })) => {
                    self.awaited(Ok(()), waited);
                    self.arrive(call, Some((class, shape)), waited, out);
                }
                (End::Release { call, waited }, _) => {
                    let refused = self.contested.unlisted.then(|| Answer::Refused {
                        stay_away: self.till_known(),
                    });
                    self.awaited(Err(Some(refused.unwrap_or(Answer::Unknown))), waited);
                    self.nameless(call.call, out);
                }
                (
                    End::Refuse {
                        call,
                        why: Refusal::Closing,
                    },
                    _,
                ) => self.turn_back(call, 0, out),
                (
                    End::Refuse {
                        call,
                        why: Refusal::Full,
                    },
                    _,
                ) => {
                    self.turn_back(call, self.till_known(), out);
                }
                (
                    End::Refuse {
                        call,
                        why: Refusal::Late | Refusal::Told,
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
        self.account.contested += 1;
        self.turn_away(id, self.till_known(), out);
    }

    /// Advice: what is not known now may be by then.
    pub(super) fn till_known(&self) -> Span {
        self.contested
            .for_about
            .min(self.config.settings.max_stay_away)
    }

    /// A call of a function that is not there; a version that can't be known may have it.
    pub(super) fn nameless(&mut self, id: CallId, out: &mut Vec<Command>) {
        if self.contested.unlisted {
            return self.unsure(id, out);
        }
        self.account.unknown += 1;
        out.push(Command::Answer {
            call: id,
            answer: Answer::Unknown,
        });
    }

    /// A call whose function's settings are not known here is refused: counted by itself, since its class is one of them.
    fn untold(&mut self, id: CallId, stay_away: Span, out: &mut Vec<Command>) {
        self.account.contested += 1;
        self.turn_back(id, stay_away, out);
    }

    /// The same where nothing is contested.
    fn turn_back(&mut self, id: CallId, stay_away: Span, out: &mut Vec<Command>) {
        self.awaited(Err(Some(Answer::Refused { stay_away })), 0);
        self.turn_away(id, stay_away, out);
    }

    /// A call's wait for its function's settings has this end.
    pub(super) fn awaited(&mut self, end: Result<(), Option<Answer>>, took: Span) {
        if let Some(counts) = &mut self.counts {
            counts.awaited(end, took);
        }
    }

    /// Refuses a call that never came as far as the module.
    fn turn_away(&mut self, id: CallId, stay_away: Span, out: &mut Vec<Command>) {
        self.account.taken += 1;
        self.account.refused += 1;
        out.push(Command::Answer {
            call: id,
            answer: Answer::Refused { stay_away },
        });
    }
}
