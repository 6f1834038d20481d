//! A front end's part in settings of functions that are agreed on one by one: what it may act on, what it asks the root for,
//! and, at the root, what it answers.

use crate::{Body, Command, Note, Peer, STAY_AWAITED};
use std::net::SocketAddr;
use tansy_agreement::hold::{Call, Reply, Want, Why};
use tansy_agreement::lease::{Member, Time};
use tansy_agreement::log::Step;
use tansy_agreement::scope::Acts;
use tansy_membership::Name;

/// Time between two notes of scopes that were let go.
const NOTE_EVERY: Time = 60_000_000;

impl Peer {
    /// What is done with a call of a function now.
    pub fn called(&mut self, now: Time, function: &str, out: &mut Vec<Command>) -> Call {
        if !self.holding.began() {
            return Call::Versions;
        }
        let acting = self.acting(now);
        let (lease, stay) = (acting.lease > 0, acting.stay > 0);
        if !stay {
            return Call::Refused(Why::NoStay);
        }
        let call = self
            .holding
            .called(now, &self.setup.schema, function, lease);
        if call == Call::Wait {
            self.hold(now, out);
        }
        call
    }

    /// Counts up whenever [`Peer::called`] might say another thing than before.
    pub fn scopes_changed(&self) -> u64 {
        self.holding.changes()
    }

    /// How many functions it holds.
    pub fn holds(&self) -> usize {
        self.holding.held()
    }

    /// Bytes that these take, about.
    pub fn holds_weight(&self) -> usize {
        let moves = self.front.known().map_or(0, |s| s.moves.weight());
        self.holding.weight() + moves
    }

    /// What it acts on of a function, without a call of it; none: it may not act on it now.
    pub fn acts(&self, now: Time, function: &str) -> Option<Acts> {
        let acting = self.acting(now);
        let live = acting.stay > 0;
        self.holding
            .acts(&self.setup.schema, function, acting.lease > 0)
            .filter(|_| live)
    }

    /// Follows what it acts on; before anything is told of it.
    pub(crate) fn follow(&mut self, now: Time) {
        if let Some(state) = self.front.known() {
            self.holding.follow(now, state, &self.setup.schema);
        }
    }

    /// Tells the root what it is owed.
    pub(crate) fn hold(&mut self, now: Time, out: &mut Vec<Command>) {
        let at = self.front.known().map_or(Step(0), |s| s.step);
        let stay = self.stay.left(now) > 0;
        // The root waits for this one before a change of strict fields that it holds goes on.
        if stay && self.holding.contested() > self.told && at >= self.holding.contested() {
            self.ask_stay(now, out);
        }
        // An answer of its own may let it ask on.
        for _ in 0..2 {
            let Some(want) = self.holding.tick(now, at, stay) else {
                break;
            };
            if !self.leads {
                out.push(Command::Send {
                    to: self.root_address(),
                    body: Body::Want(want),
                });
            } else if let Some(reply) = self.keeper.as_mut().and_then(|k| k.want(&want)) {
                self.granted(now, reply);
            }
        }
        let (after, said) = self.squeezed;
        let total = self.holding.squeezed();
        if total > said && now >= after {
            self.squeezed = (now + NOTE_EVERY, total);
            out.push(Command::Note(Note::Squeezed {
                total,
                held: self.holding.held(),
            }));
        }
    }

    /// A front end tells what it wants and holds.
    pub(crate) fn wanted(&mut self, now: Time, from: &Name, want: Want, out: &mut Vec<Command>) {
        if want.from != from.member() {
            return;
        }
        // What this one acts on goes before what it tells of it.
        self.follow(now);
        let reply = self
            .keeper
            .as_mut()
            .filter(|_| self.leads)
            .and_then(|k| k.want(&want));
        let body = reply.map_or(Body::Head, Body::Scopes);
        out.push(Command::Send {
            to: from.address,
            body,
        });
    }

    /// The root's answer.
    pub(crate) fn granted(&mut self, now: Time, reply: Reply) {
        self.holding
            .granted(now, reply, self.front.known(), &self.setup.schema);
        if self.holding.awaited(&self.setup.schema) {
            // What it told of its step may be lost.
            self.next_stay = self.next_stay.min(now + STAY_AWAITED);
        }
    }

    /// One that has not told what it holds, while there are scopes, is asked.
    pub(crate) fn untold(&self, member: Member, to: SocketAddr, out: &mut Vec<Command>) {
        let reply = self
            .keeper
            .as_ref()
            .filter(|_| self.leads)
            .and_then(|k| k.untold(member));
        out.extend(reply.map(|reply| Command::Send {
            to,
            body: Body::Scopes(reply),
        }));
    }
}
