//! A fleet of front ends in virtual time.
//!
//! The packages under `decide/` run here as they run in a front end; the network, the disks, the clocks and what goes wrong
//! with them are the model's. A run depends on its seed alone: same seed, same result, on any machine and with any number
//! of threads.

pub mod agree;
pub mod fault;
pub mod net;
pub mod plot;
