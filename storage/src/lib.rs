//! Durable state in one file.
//!
//! A [`store::Store`] holds numbered entries after one snapshot and syncs them before it returns; opening it recovers them.
//! [`voter_log`] builds the write-ahead log of a voter on it.
//!
//! Not here: threads and retries over time (the callers'), and the meaning of what is stored.
//!
//! ```
//! use tansy_storage::voter_log::LogStorage;
//!
//! let path = std::env::temp_dir().join(format!("tansy-storage-example-{}", std::process::id()));
//! let (mut log, recovered) = LogStorage::open(&path)?;
//! assert!(recovered.records.is_empty());
//! log.append(b"first".to_vec(), None)?;
//! log.append(b"second".to_vec(), None)?;
//! drop(log);
//!
//! let (log, recovered) = LogStorage::open(&path)?;
//! assert_eq!(recovered.records, [b"first".to_vec(), b"second".to_vec()]);
//! # drop(log);
//! # std::fs::remove_file(&path).expect("the file is there");
//! # Ok::<(), tansy_storage::store::Error>(())
//! ```

pub mod store;
pub mod voter_log;
