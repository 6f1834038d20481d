//! Messages between front ends of a fleet, and the requests of operators with their replies.

pub mod messages;
pub mod requests;
