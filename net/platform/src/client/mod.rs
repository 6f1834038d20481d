//! Connections of clients, in layers: [`table`] knows what each is at and which may give way, [`connection`] reads requests
//! and writes responses, [`session`] has them answered, [`listener`] accepts them.

pub mod connection;
pub mod listener;
pub mod session;
pub mod table;
