//! Messages, requests and replies of front ends and operators of a fleet.

pub mod messages;
pub mod requests;
