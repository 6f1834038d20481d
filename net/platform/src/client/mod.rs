//! Connections of clients, in layers: [`table`] knows what each is at and which may give way, [`connection`] reads requests
//! and writes responses or a [`rejection`], [`session`] has them answered, [`listener`] accepts them.

pub mod connection;
pub mod listener;
pub mod rejection;
pub mod session;
pub mod table;
