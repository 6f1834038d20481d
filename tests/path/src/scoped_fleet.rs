//! A fleet that agrees on functions one by one: a voter, a front end beside it, and a worker.

use crate::{settings_of_echo, until, FleetMember, GatewayThread, ListedWorker, Workers};
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

/// Functions of the worker beside `echo`, which the settings name.
pub const SCOPED_FUNCTIONS: [&str; 8] = ["a0", "a1", "a2", "a3", "a4", "b0", "b1", "b2"];

/// A voter, a front end beside it, and a worker.
pub struct ScopedFleet {
    /// The front end that keeps the agreed log.
    pub voter: GatewayThread,
    /// The other front end.
    pub front_end: GatewayThread,
    /// The worker of both.
    pub workers: Workers,
    /// The settings of both.
    pub settings: String,
    /// The voter's file, and files of the test.
    pub folder: TestFolder,
    voter_address: ReservedAddress,
    client: Client,
    transactions: u64,
}

impl ScopedFleet {
    /// Starts a fleet of this name, and waits until both front ends take calls.
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
        let state = Some(folder.file("seat.redb"));
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
        fleet.both().into_iter().for_each(wait_until_it_takes_calls);
        fleet
    }

    /// The voter and the other front end.
    pub fn both(&self) -> [&GatewayThread; 2] {
        [&self.voter, &self.front_end]
    }

    /// Changes these functions and waits until that is in force; no fields: removes them.
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

    /// Enters a transaction, by its id the same one each time, until the voter accepts it.
    fn enter(&mut self, entry: Entry) {
        let voter = self.voter_address.address();
        until("the voter accepts it", || {
            match self.client.enter(voter, entry.clone()) {
                Ok(_) => true,
                Err(error) if is_lost_lead(&error.to_string()) => false,
                Err(error) => panic!("it is entered: {error}"),
            }
        });
    }

    /// The revision of a function that is known, or zero.
    fn revision(&mut self, name: &str) -> Revision {
        let request = pb::FunctionsRequest {
            names: vec![name.to_string()],
            ..Default::default()
        };
        let reply = self.client.functions(self.voter_address.address(), request);
        let known = reply.expect("the voter answers").functions;
        let record = known.into_iter().find_map(|function| function.record);
        record.map_or(Revision(0), |r| {
            decode_scope_record(r).expect("it reads").revision
        })
    }

    fn wait_until_in_force(&mut self, transaction: u64, functions: u32) {
        let voter = self.voter_address.address();
        until("it is in force", || {
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

/// Whether an entry is rejected because the voter, whose process was held up by a busy machine, has lost its lead or has just
/// gained it again and not heard from the other front end yet.
fn is_lost_lead(rejection: &str) -> bool {
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

/// Until it holds a lease and a session, and knows the worker.
fn wait_until_it_takes_calls(gateway: &GatewayThread) {
    until("it takes calls", || {
        gateway.with(|gateway| {
            gateway
                .driver()
                .with_dispatcher(|d| d.is_ready() && !d.conflicting().unknown_names)
        })
    });
}
