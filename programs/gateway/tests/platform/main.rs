//! The platform's protocol on loopback: what good and bad clients, workers and coordinators get.
//!
//! Each module tests one concern; [`harness`] is what they share.

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
mod watch;
mod worker_answers;
