//! Tests of a front end on the platform with correct and faulty clients, workers and coordinators on loopback.
//!
//! Each module tests one concern. [`harness`] contains the shared support code.

mod configuration;
mod departures;
mod deploy;
mod descriptors;
mod faults;
mod harness;
mod idle_clients;
mod links;
mod polls;
mod requests;
mod settings;
mod shutdown;
mod suspension;
mod together;
mod unknown_functions;
mod waiting_clients;
mod watch;
mod worker_answers;
