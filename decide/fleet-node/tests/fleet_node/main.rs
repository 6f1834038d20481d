//! Fleets of front ends in virtual time, with lost messages, blocked links, killed processes and full disks.

mod cluster;
mod scope_cluster;
mod scope_load;
mod scopes;
mod version_cluster;
mod versions;
mod voters;
