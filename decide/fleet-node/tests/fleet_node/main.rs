//! Front ends of a fleet in virtual time, each with its disk, links that can be blocked, and processes that are killed.

mod cluster;
mod scope_cluster;
mod scope_load;
mod scopes;
mod version_cluster;
mod versions;
mod voters;
