//! Updates functions that are scopes of their own, and determines when the updates are in force.

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

/// Maximum number of functions set in one request.
const MAX_PER_REQUEST: usize = 1000;
/// Timeout for the functions of a request to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for all hollow front ends to subscribe to the functions that they call.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of whether functions are in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks of whether hollow front ends have subscribed.
const SUBSCRIBE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Requested updates of functions for which a watch is active.
pub struct WatchedUpdates {
    /// Identifies the watch.
    id: u64,
    /// When they were requested, in microseconds of the machine's clock.
    pub requested_at: i64,
    /// Names of the functions, with their new fields.
    pub targets: Vec<(String, Fields)>,
    /// When each update was first seen in force at the leader.
    in_force_at_leader: Vec<Option<i64>>,
    /// Whether the leader abandoned each update.
    abandoned: Vec<bool>,
}

impl WatchedUpdates {
    /// Returns the number of updates that the leader abandoned.
    pub fn abandoned(&self) -> usize {
        let abandoned = self.abandoned.iter();
        abandoned.filter(|is_abandoned| **is_abandoned).count()
    }

    /// Returns the milliseconds from the request to `at`.
    pub fn ms_until(&self, at: i64) -> f64 {
        (at - self.requested_at) as f64 / 1e3
    }
}

/// Reports of processes of hollow front ends for a watch.
#[derive(Default)]
pub(super) struct ScopeWatch {
    /// By process, the number of front ends that subscribe to each function.
    pub(super) subscribers: BTreeMap<usize, Vec<usize>>,
    /// By process and position of the function, when all subscribers of that process had applied the update.
    pub(super) applied_at: BTreeMap<(usize, usize), i64>,
}

impl ScopeWatch {
    /// Determines when the last subscriber of a function applied its update.
    fn applied_by_all(&self, position: usize) -> Applied {
        let has_subscribers =
            |subscribers: &&Vec<usize>| subscribers.get(position).is_some_and(|count| *count > 0);
        let times: Option<Vec<i64>> = self
            .subscribers
            .iter()
            .filter(|(_, subscribers)| has_subscribers(subscribers))
            .map(|(process, _)| self.applied_at.get(&(*process, position)).copied())
            .collect();
        match times.map(|times| times.into_iter().max()) {
            None => Applied::Pending,
            Some(None) => Applied::NoSubscriber,
            Some(Some(at)) => Applied::At(at),
        }
    }
}

/// Whether all front ends that subscribe to a function have applied its update.
enum Applied {
    /// Some have not.
    Pending,
    /// No front end subscribes to the function.
    NoSubscriber,
    /// All have, since this time.
    At(i64),
}

/// The leader's record of a function.
pub struct ScopeStatus {
    /// The revision of its last change.
    pub revision: Revision,
    /// The fields in force; `None` if the function is not set.
    pub fields: Option<Fields>,
    /// Whether a change is in progress.
    is_changing: bool,
}

impl TestFleet {
    /// Sets functions as scopes of their own and makes hollow front ends call them. Waits until the front ends have subscribed to all
    /// functions that they call.
    pub fn set_functions(&mut self, functions: usize, seed: u64) -> Result<(), Error> {
        let settings: String = (0..functions)
            .map(|index| function_setting(&function_name(index)))
            .collect();
        let text = format!("functions: {{\n{settings}}}\n");
        let functions_by_name = tansy_settings::agreement::parse_functions("scopes", &text)?;
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

    /// Sets functions in one transaction, and waits until all are in force.
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
            self.run_for(IN_FORCE_POLL_INTERVAL)?;
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
            self.run_for(SUBSCRIBE_POLL_INTERVAL)?;
        }
    }

    /// Requests the leader's records of functions, in the order of `names`.
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

    /// Starts a watch and requests updates in one transaction.
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

    /// Starts a watch and requests updates at the same time, each in a transaction of its own. Also returns the errors of refused ones.
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

    /// Makes processes of hollow front ends watch for updates that are about to be requested.
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
        self.wait_until(
            end,
            "processes of hollow front ends to start a watch",
            |fleet| {
                let watch = fleet.watches.get(&id);
                watch.is_none_or(|watch| watch.subscribers.len() == fleet.hollow.len())
            },
        )?;
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

    /// Returns since when each update is in force at the leader and at all hollow front ends that subscribe to the function.
    ///
    /// Without such a subscriber this is the time at which a call of this method first saw the update at the leader.
    pub fn functions_in_force(
        &mut self,
        watched: &mut WatchedUpdates,
    ) -> Result<Vec<Option<i64>>, Error> {
        self.query_leader(watched)?;
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

    /// Queries the leader about updates that are not known to be in force or abandoned.
    fn query_leader(&mut self, watched: &mut WatchedUpdates) -> Result<(), Error> {
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
