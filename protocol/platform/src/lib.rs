//! The platform's protocol without sockets: the configuration, a client's fields to a call, a worker's answer to what
//! was seen and told, the coordinator's events to changes of the list. Nothing is decided here.

pub mod answer;
pub mod call;
pub mod config;
pub mod list;

pub use answer::{answer, Answered};
pub use call::{Asked, BadCall, Shapes};
pub use config::{BadConfig, Config};
pub use list::{Change, List, Updates};
