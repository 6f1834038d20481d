//! Tests of the router through its public interface.

#[path = "router/harness.rs"]
mod harness;
#[path = "router/health.rs"]
mod health;
#[path = "router/load_turns.rs"]
mod load_turns;
#[path = "router/loading.rs"]
mod loading;
#[path = "router/placement.rs"]
mod placement;
#[path = "router/queue.rs"]
mod queue;
#[path = "router/requests.rs"]
mod requests;
#[path = "router/retention.rs"]
mod retention;
#[path = "router/shedding.rs"]
mod shedding;
#[path = "router/workers.rs"]
mod workers;
