//! Functions that are agreed on one by one: which there are, who calls which, and changes of them.

use crate::cast::Cast;
use crate::Error;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopePhase, ScopeTransaction, ScopeUpdate};
use tansy_fleet_node::number;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{of_scoped, pb, scope_request};
use tansy_net_sockets::clock;

/// Functions that a hollow front end calls at most; of few functions a fourth.
const FEW: usize = 30;
/// Functions that are set with one request: far within its bounds.
const AT_ONCE: usize = 1000;
/// Time for a request's functions to come in force.
const SET_WITHIN: Duration = Duration::from_secs(60);
/// Time for all hollow front ends to hold what they call.
const HELD_WITHIN: Duration = Duration::from_secs(60);

/// The name of a function that is agreed on by itself.
pub fn scope(n: usize) -> String {
    format!("s{n:06}")
}

/// Those that the hollow front end at a place calls, of so many: a few, the first ones by far the more often.
pub fn few(seed: u64, place: u32, functions: usize) -> BTreeSet<usize> {
    let mut rng = fastrand::Rng::with_seed(seed ^ (u64::from(place) << 32) ^ 0xca11);
    let want = FEW.min(functions.div_ceil(4));
    let mut all = BTreeSet::new();
    while all.len() < want {
        let n = (functions as f64 * rng.f64().powi(3)) as usize;
        all.insert(n.min(functions.saturating_sub(1)));
    }
    all
}

/// Changes that were asked for.
pub struct Asked {
    /// Of the watch.
    pub id: u64,
    /// When they were asked for.
    pub began: i64,
    /// What is to be in force.
    pub wanted: Vec<(String, Fields)>,
    /// Hollow front ends that held each one then.
    pub holders: Vec<usize>,
    /// When the seat that leads was first seen to have each one in force.
    carried: Vec<Option<i64>>,
    /// And which of them it gave up.
    back: Vec<bool>,
}

impl Asked {
    /// How many were given up.
    pub fn given_up(&self) -> usize {
        self.back.iter().filter(|b| **b).count()
    }
}

/// What is known in the processes of a change that is watched for.
#[derive(Default)]
pub struct Watch {
    /// By process: how many hold each function.
    pub holders: BTreeMap<usize, Vec<usize>>,
    /// By process and function: when all of them acted on it.
    pub acted: BTreeMap<(usize, usize), i64>,
}

impl Cast {
    /// Sets functions one by one, as an operator does, and has hollow front ends call them until they hold what they call.
    pub fn set_scopes(&mut self, functions: usize, seed: u64) -> Result<(), Error> {
        let mut text = String::from("functions: {\n");
        for n in 0..functions {
            text += &format!(
                "    {}: {{class: \"c\", lanes: 8, memory: 100MB, load_time: 400ms}}\n",
                scope(n)
            );
        }
        let all = tansy_settings::agree::functions("scopes", &(text + "}\n"))?;
        let all: Vec<(String, Fields)> = all.into_iter().collect();
        for some in all.chunks(AT_ONCE) {
            let change = |(scope, fields): &(String, Fields)| ScopeUpdate {
                scope: scope.clone(),
                base: Revision(0),
                fields: Some(fields.clone()),
            };
            let mut asked = self.change(some.iter().map(change).collect())?;
            let end = Instant::now() + SET_WITHIN;
            while self
                .scopes_in_force(&mut asked)?
                .iter()
                .any(Option::is_none)
            {
                if Instant::now() >= end || asked.given_up() > 0 {
                    return Err(format!(
                        "of {} functions that were set {} were given up, others are not in force",
                        some.len(),
                        asked.given_up()
                    )
                    .into());
                }
                self.rest(Duration::from_millis(100))?;
            }
            self.unwatch(&asked)?;
        }
        self.call_scopes(functions, seed)?;
        let end = Instant::now() + HELD_WITHIN;
        loop {
            let counted = self.counted()?;
            let (holds, calls) = counted.iter().fold((0, 0), |(holds, calls), c| {
                (holds + c.holds, calls + c.calls)
            });
            if holds >= calls {
                return Ok(());
            } else if Instant::now() >= end {
                return Err(format!(
                    "hollow front ends hold {holds} of {calls} functions that they call"
                )
                .into());
            }
            self.rest(Duration::from_millis(500))?;
        }
    }

    /// What the seat that leads has of functions: the revision, the fields, and whether a change is under way.
    pub fn scopes(
        &mut self,
        names: &[String],
    ) -> Result<Vec<(Revision, Option<Fields>, bool)>, Error> {
        let asked = pb::FunctionsRequest {
            names: names.to_vec(),
            ..Default::default()
        };
        let reply = self.client.functions(self.leader_address(), asked)?;
        let one = |n: pb::NamedFunction| -> Result<_, Error> {
            let s = n.record.map(of_scoped).transpose()?.unwrap_or_default();
            let joint = matches!(s.phase, ScopePhase::Joint { .. });
            Ok((s.revision, s.fields, joint))
        };
        let all: Vec<_> = reply
            .functions
            .into_iter()
            .map(one)
            .collect::<Result<_, Error>>()?;
        if all.len() != names.len() {
            return Err(format!(
                "a seat tells of {} functions, not {}",
                all.len(),
                names.len()
            )
            .into());
        }
        Ok(all)
    }

    /// Has all changes watched for.
    fn asked(&mut self, changes: &[ScopeUpdate]) -> Result<Asked, Error> {
        let id = self.next_id();
        let wanted: Vec<(String, Fields)> = changes
            .iter()
            .filter_map(|c| Some((c.scope.clone(), c.fields.clone()?)))
            .collect();
        let holders = self.watch(id, &wanted)?;
        let (carried, back) = (vec![None; wanted.len()], vec![false; wanted.len()]);
        Ok(Asked {
            id,
            began: clock::now(),
            wanted,
            holders,
            carried,
            back,
        })
    }

    /// Asks for changes in one request.
    pub fn change(&mut self, changes: Vec<ScopeUpdate>) -> Result<Asked, Error> {
        let asked = self.asked(&changes)?;
        let request = ScopeTransaction {
            id: asked.id,
            updates: changes,
            reason: "measured".into(),
        };
        self.enter(Entry::ScopeTransaction(scope_request(&request)))?;
        Ok(asked)
    }

    /// Asks for changes at once, each in a request of its own; and which were refused, in words.
    pub fn burst(
        &mut self,
        changes: Vec<ScopeUpdate>,
    ) -> Result<(Asked, Vec<Option<String>>), Error> {
        let asked = self.asked(&changes)?;
        let entry = |c: ScopeUpdate| {
            let id = number(&format!("{}/{}", asked.id, c.scope));
            Entry::ScopeTransaction(scope_request(&ScopeTransaction {
                id,
                updates: vec![c],
                reason: "burst".into(),
            }))
        };
        let entries = changes.into_iter().map(entry).collect();
        let at = self.leader_address();
        let refused = self
            .client
            .enters(at, entries)
            .into_iter()
            .map(|r| r.err().map(|e| e.to_string()));
        Ok((asked, refused.collect()))
    }

    /// Since when each change is in force: at the seat that leads, and acted on by all that held it.
    ///
    /// Where nobody held it: since it was seen at the seat, which is looked at every 10 ms or so.
    pub fn scopes_in_force(&mut self, asked: &mut Asked) -> Result<Vec<Option<i64>>, Error> {
        let open: Vec<usize> = (0..asked.wanted.len())
            .filter(|n| asked.carried[*n].is_none() && !asked.back[*n])
            .collect();
        let names: Vec<String> = open.iter().map(|n| asked.wanted[*n].0.clone()).collect();
        if !names.is_empty() {
            let known = self.scopes(&names)?;
            let now = clock::now();
            for (n, (_, fields, joint)) in open.into_iter().zip(known) {
                if fields.as_ref() == Some(&asked.wanted[n].1) {
                    asked.carried[n] = Some(now);
                } else if !joint {
                    asked.back[n] = true;
                }
            }
        }
        let one = |n: usize| {
            let carried = asked.carried[n]?;
            self.acted(asked.id, n).map(|at| at.unwrap_or(carried))
        };
        Ok((0..asked.wanted.len()).map(one).collect())
    }
}
