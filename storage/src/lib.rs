//! Durable storage in one file.
//!
//! A [`store::Store`] holds a snapshot and the numbered entries after it. Writes are synced before they return, and opening
//! the file recovers the content. [`voter_log`] is the write-ahead log of a voter on top of a store.
//!
//! Callers provide threads and timing of retries, and give the content its meaning.
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
