//! A fleet that agrees on functions one by one: a voter, another front end, and a worker.

use crate::{settings_of_echo, wait_until, FleetMember, GatewayThread, ListedWorker, Workers};
use std::net::SocketAddr;
use std::path::PathBuf;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::Revision;
use tansy_agreement::scope::{ScopeTransaction, ScopeUpdate};
use tansy_fleet::client::Client;
use tansy_fleet_wire::pb::enter_request::Entry;
use tansy_fleet_wire::{decode_scope_record, encode_scope_transaction, pb};
use tansy_test_support::address::ReservedAddress;
use tansy_test_support::folder::TestFolder;

/// The worker's functions that the settings don't name; `echo` is the one that they name.
pub const SCOPED_FUNCTIONS: [&str; 8] = ["a0", "a1", "a2", "a3", "a4", "b0", "b1", "b2"];

/// A voter, another front end, and a worker.
pub struct ScopedFleet {
    /// The front end that is the fleet's only voter.
    pub voter: GatewayThread,
    /// The other front end.
    pub front_end: GatewayThread,
    /// The worker of both front ends.
    pub workers: Workers,
    /// The settings of both front ends.
    pub settings: String,
    /// The folder for the voter's state and for files of the test.
    pub folder: TestFolder,
    voter_address: ReservedAddress,
    client: Client,
    transactions: u64,
}

impl ScopedFleet {
    /// Starts a fleet, and waits until both front ends take calls.
    pub fn start(name: &str) -> ScopedFleet {
        let folder = TestFolder::new(&format!("scoped-{name}")).expect("a folder");
        let voter_address = ReservedAddress::on([127, 0, 0, 1]).expect("a port");
        let address = voter_address.address();
        let functions = [&["echo"], &SCOPED_FUNCTIONS[..]].concat();
        let workers = Workers::with_functions(1, &functions);
        let settings = format!(
            "{}\nfleet: {{name: \"{name}\", seats: [{{name: \"f0\", address: \"{address}\"}}]}}",
            settings_of_echo()
        );
        let list = workers.listed();
        let state = Some(folder.file("voter.redb"));
        let fleet = ScopedFleet {
            voter: start_member(&settings, &list, "f0", address, state),
            front_end: start_member(&settings, &list, "f1", ([127, 0, 0, 1], 0).into(), None),
            workers,
            settings,
            folder,
            voter_address,
            client: Client::new().expect("a client"),
            transactions: 0,
        };
        fleet.both().into_iter().for_each(wait_until_ready);
        fleet
    }

    /// Both front ends, the voter first.
    pub fn both(&self) -> [&GatewayThread; 2] {
        [&self.voter, &self.front_end]
    }

    /// Sets these functions, or removes them if `fields` is `None`, and waits until the change is in force.
    pub fn set(&mut self, names: &[&str], fields: Option<&Fields>) {
        self.transactions += 1;
        let mut updates = Vec::new();
        for name in names {
            updates.push(ScopeUpdate {
                scope: name.to_string(),
                base: self.revision(name),
                fields: fields.cloned(),
            });
        }
        let transaction = ScopeTransaction {
            id: self.transactions,
            updates,
            reason: "a test".into(),
        };
        let entry = Entry::ScopeTransaction(encode_scope_transaction(&transaction));
        self.enter(entry);
        self.wait_until_in_force(transaction.id, names.len() as u32);
    }

    /// Sends an entry until the voter accepts it. The transaction's id makes repeats harmless.
    fn enter(&mut self, entry: Entry) {
        let voter = self.voter_address.address();
        wait_until("the voter accepts the entry", || {
            match self.client.enter(voter, entry.clone()) {
                Ok(_) => true,
                Err(error) if is_lost_leadership(&error.to_string()) => false,
                Err(error) => panic!("the entry is rejected: {error}"),
            }
        });
    }

    /// The revision of a function, or zero if the voter does not know it.
    fn revision(&mut self, name: &str) -> Revision {
        let request = pb::FunctionsRequest {
            names: vec![name.to_string()],
            ..Default::default()
        };
        let reply = self.client.functions(self.voter_address.address(), request);
        let functions = reply.expect("the voter answers").functions;
        let record = functions.into_iter().find_map(|function| function.record);
        record.map_or(Revision(0), |r| {
            decode_scope_record(r).expect("a valid record").revision
        })
    }

    fn wait_until_in_force(&mut self, transaction: u64, functions: u32) {
        let voter = self.voter_address.address();
        wait_until("the transaction is in force", || {
            let request = pb::FunctionsRequest {
                id: transaction,
                ..Default::default()
            };
            let reply = self.client.functions(voter, request).ok();
            let result = reply.and_then(|reply| reply.transaction_result);
            result.is_some_and(|r| (r.joint, r.in_force, r.reverted) == (0, functions, 0))
        });
    }
}

/// Whether an entry was rejected because the voter, delayed by a busy machine, has lost its leadership, or has just regained it and not
/// heard from the other front end yet.
fn is_lost_leadership(rejection: &str) -> bool {
    rejection.contains("does not lead the fleet") || rejection.contains("ask again in a moment")
}

fn start_member(
    settings: &str,
    workers: &[ListedWorker],
    name: &str,
    listen: SocketAddr,
    state: Option<PathBuf>,
) -> GatewayThread {
    let name = name.to_string();
    let member = FleetMember {
        name,
        listen,
        state,
    };
    GatewayThread::start_in_fleet(settings, workers, member)
}

/// Waits until a front end holds a lease and a session, and knows the worker.
fn wait_until_ready(gateway: &GatewayThread) {
    wait_until("the front end takes calls", || {
        gateway.with(|gateway| {
            gateway
                .driver()
                .with_dispatcher(|d| d.is_ready() && !d.conflicting().unknown_names)
        })
    });
}
