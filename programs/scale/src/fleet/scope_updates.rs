//! Changes of functions that are agreed on one by one, and when they are in force.

use super::shape::function_setting;
use super::{TestFleet, COMMAND_TIMEOUT};
use crate::hollow::protocol::HollowCommand;
use crate::scopes::function_name;
use crate::Error;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopePhase, ScopeTransaction, ScopeUpdate};
use tansy_fleet_node::name_to_id;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{decode_scope_record, encode_scope_transaction, pb};
use tansy_net_fleet::client::RequestError;
use tansy_net_sockets::clock;

/// Functions that are set with one request: far below its limits.
const MAX_PER_REQUEST: usize = 1000;
/// Time for the functions of a request to come in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for all hollow front ends to subscribe to what they call.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of whether functions are in force.
const IN_FORCE_POLL: Duration = Duration::from_millis(100);
/// Time between two checks of whether hollow front ends have subscribed.
const SUBSCRIBE_POLL: Duration = Duration::from_millis(500);

/// Updates of functions that were requested and are watched.
pub struct WatchedUpdates {
    /// The watch.
    id: u64,
    /// When they were requested, in microseconds of the machine's clock.
    pub requested_at: i64,
    /// Names of the functions, with the fields that are to be in force.
    pub targets: Vec<(String, Fields)>,
    /// When each one was first observed in force at the leader.
    in_force_at_leader: Vec<Option<i64>>,
    /// Which of them the leader abandoned.
    abandoned: Vec<bool>,
}

impl WatchedUpdates {
    /// How many the leader abandoned.
    pub fn abandoned(&self) -> usize {
        let abandoned = self.abandoned.iter();
        abandoned.filter(|is_abandoned| **is_abandoned).count()
    }

    /// Milliseconds from the request to this time.
    pub fn ms_until(&self, at: i64) -> f64 {
        (at - self.requested_at) as f64 / 1e3
    }
}

/// What processes of hollow front ends reported for a watch.
#[derive(Default)]
pub(super) struct ScopeWatch {
    /// By process: how many front ends subscribe to each function.
    pub(super) subscribers: BTreeMap<usize, Vec<usize>>,
    /// By process and function: when all of them acted on the update.
    pub(super) applied_at: BTreeMap<(usize, usize), i64>,
}

impl ScopeWatch {
    /// When the last holder of a function acted on its update.
    fn applied_by_all(&self, position: usize) -> Applied {
        let is_held =
            |subscribers: &&Vec<usize>| subscribers.get(position).is_some_and(|count| *count > 0);
        let times: Option<Vec<i64>> = self
            .subscribers
            .iter()
            .filter(|(_, subscribers)| is_held(subscribers))
            .map(|(process, _)| self.applied_at.get(&(*process, position)).copied())
            .collect();
        match times.map(|times| times.into_iter().max()) {
            None => Applied::Pending,
            Some(None) => Applied::NoSubscriber,
            Some(Some(at)) => Applied::At(at),
        }
    }
}

/// Whether all front ends that subscribe to a function act on its update.
enum Applied {
    /// Some do not.
    Pending,
    /// No front end subscribes to it.
    NoSubscriber,
    /// All do, since this time.
    At(i64),
}

/// What the leader has of a function.
pub struct ScopeStatus {
    /// The revision of its last change.
    pub revision: Revision,
    /// The fields in force; none: it is not set.
    pub fields: Option<Fields>,
    /// Whether a change is in progress.
    is_changing: bool,
}

impl TestFleet {
    /// Sets functions one by one, as an operator does, and has hollow front ends call them until all have subscribed.
    pub fn set_functions(&mut self, functions: usize, seed: u64) -> Result<(), Error> {
        let settings: String = (0..functions)
            .map(|index| function_setting(&function_name(index)))
            .collect();
        let text = format!("functions: {{\n{settings}}}\n");
        let functions_by_name = tansy_settings::agree::functions("scopes", &text)?;
        let new_functions: Vec<ScopeUpdate> = functions_by_name
            .into_iter()
            .map(|(scope, fields)| ScopeUpdate {
                scope,
                base: Revision(0),
                fields: Some(fields),
            })
            .collect();
        for updates in new_functions.chunks(MAX_PER_REQUEST) {
            self.set_in_one_request(updates)?;
        }
        self.broadcast(&HollowCommand::Call { functions, seed })?;
        self.wait_for_subscriptions()
    }

    fn set_in_one_request(&mut self, updates: &[ScopeUpdate]) -> Result<(), Error> {
        let mut watched = self.update_functions(updates.to_vec())?;
        let end = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let in_force = self.functions_in_force(&mut watched)?;
            if in_force.iter().all(Option::is_some) {
                return self.unwatch(&watched);
            }
            if Instant::now() >= end || watched.abandoned() > 0 {
                return Err(Error::FunctionsNotInForce {
                    requested: updates.len(),
                    abandoned: watched.abandoned(),
                });
            }
            self.run_for(IN_FORCE_POLL)?;
        }
    }

    fn wait_for_subscriptions(&mut self) -> Result<(), Error> {
        let end = Instant::now() + SUBSCRIBE_TIMEOUT;
        loop {
            let counters = self.hollow_counters()?;
            let subscribed = counters.iter().map(|count| count.subscriptions).sum();
            let called = counters.iter().map(|count| count.called_functions).sum();
            if subscribed >= called {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(Error::NotSubscribed { subscribed, called });
            }
            self.run_for(SUBSCRIBE_POLL)?;
        }
    }

    /// What the leader has of functions.
    pub fn function_statuses(&mut self, names: &[String]) -> Result<Vec<ScopeStatus>, Error> {
        let request = pb::FunctionsRequest {
            names: names.to_vec(),
            ..Default::default()
        };
        let reply = self.client.functions(self.leader_address(), request)?;
        let received = reply.functions.len();
        let status = |function: pb::NamedFunction| -> Result<ScopeStatus, Error> {
            let record = function.record.map(decode_scope_record).transpose()?;
            let record = record.unwrap_or_default();
            Ok(ScopeStatus {
                is_changing: matches!(record.phase, ScopePhase::Joint { .. }),
                revision: record.revision,
                fields: record.fields,
            })
        };
        let statuses = reply.functions.into_iter().map(status);
        let statuses = statuses.collect::<Result<Vec<_>, Error>>()?;
        let requested = names.len();
        if received != requested {
            return Err(Error::FunctionCountMismatch {
                received,
                requested,
            });
        }
        Ok(statuses)
    }

    /// Requests updates in one transaction.
    pub fn update_functions(&mut self, updates: Vec<ScopeUpdate>) -> Result<WatchedUpdates, Error> {
        let watched = self.watch(&updates)?;
        let transaction = ScopeTransaction {
            id: watched.id,
            updates,
            reason: "measured".into(),
        };
        self.append(Entry::ScopeTransaction(encode_scope_transaction(
            &transaction,
        )))?;
        Ok(watched)
    }

    /// Requests updates at once, each in a transaction of its own; also returns why some were refused.
    pub fn update_burst(
        &mut self,
        updates: Vec<ScopeUpdate>,
    ) -> Result<(WatchedUpdates, Vec<RequestError>), Error> {
        let watched = self.watch(&updates)?;
        let entry = |update: ScopeUpdate| {
            Entry::ScopeTransaction(encode_scope_transaction(&ScopeTransaction {
                id: name_to_id(&format!("{}/{}", watched.id, update.scope)),
                updates: vec![update],
                reason: "burst".into(),
            }))
        };
        let entries = updates.into_iter().map(entry).collect();
        let replies = self.client.enter_all(self.leader_address(), entries);
        let refused = replies.into_iter().filter_map(Result::err).collect();
        Ok((watched, refused))
    }

    /// Has processes of hollow front ends watch for updates, before they are requested.
    fn watch(&mut self, updates: &[ScopeUpdate]) -> Result<WatchedUpdates, Error> {
        let id = self.next_request_id();
        let targets: Vec<(String, Fields)> = updates
            .iter()
            .filter_map(|update| Some((update.scope.clone(), update.fields.clone()?)))
            .collect();
        self.watches.insert(id, ScopeWatch::default());
        let functions = targets.clone();
        self.broadcast(&HollowCommand::Watch { id, functions })?;
        let end = Instant::now() + COMMAND_TIMEOUT;
        self.wait_until(end, "hollow processes to watch for a change", |fleet| {
            let watch = fleet.watches.get(&id);
            watch.is_none_or(|watch| watch.subscribers.len() == fleet.hollow.len())
        })?;
        Ok(WatchedUpdates {
            id,
            requested_at: clock::now(),
            in_force_at_leader: vec![None; targets.len()],
            abandoned: vec![false; targets.len()],
            targets,
        })
    }

    /// Ends the watch for updates.
    pub fn unwatch(&mut self, watched: &WatchedUpdates) -> Result<(), Error> {
        self.watches.remove(&watched.id);
        self.broadcast(&HollowCommand::Unwatch(watched.id))
    }

    /// Since when each update is in force: at the leader, and at all front ends that subscribe to the function.
    ///
    /// Where no front end subscribes to it: since it was observed at the leader, which is asked every 10 ms or so.
    pub fn functions_in_force(
        &mut self,
        watched: &mut WatchedUpdates,
    ) -> Result<Vec<Option<i64>>, Error> {
        self.ask_leader(watched)?;
        let watch = self.watches.get(&watched.id);
        let in_force_at_leader = watched.in_force_at_leader.iter().enumerate();
        let since = |(position, at_leader): (usize, &Option<i64>)| {
            let at_leader = (*at_leader)?;
            match watch?.applied_by_all(position) {
                Applied::Pending => None,
                Applied::NoSubscriber => Some(at_leader),
                Applied::At(at) => Some(at),
            }
        };
        Ok(in_force_at_leader.map(since).collect())
    }

    /// Asks the leader for the updates that were not observed in force or abandoned before.
    fn ask_leader(&mut self, watched: &mut WatchedUpdates) -> Result<(), Error> {
        let open: Vec<usize> = (0..watched.targets.len())
            .filter(|position| watched.in_force_at_leader[*position].is_none())
            .filter(|position| !watched.abandoned[*position])
            .collect();
        if open.is_empty() {
            return Ok(());
        }
        let names: Vec<String> = open
            .iter()
            .map(|position| watched.targets[*position].0.clone())
            .collect();
        let statuses = self.function_statuses(&names)?;
        let now = clock::now();
        for (position, status) in open.into_iter().zip(statuses) {
            if status.fields.as_ref() == Some(&watched.targets[position].1) {
                watched.in_force_at_leader[position] = Some(now);
            } else if !status.is_changing {
                watched.abandoned[position] = true;
            }
        }
        Ok(())
    }
}
