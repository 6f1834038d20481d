//! Disks that lose or tear unsynced writes, are full, fail temporarily, or have a file of a later format.

use redb::StorageBackend;
use std::sync::{Arc, Mutex};
use tansy_storage::store::{Error, Store};
use tansy_storage::voter_log::{LogStorage, RecoveredRecords, RetryingLogStorage};

#[derive(Debug, Default)]
struct DiskState {
    /// The content as of the last sync, which survives a crash.
    synced: Vec<u8>,
    /// The content that reads return.
    content: Vec<u8>,
    unsynced: Vec<(usize, Vec<u8>)>,
    capacity: Option<usize>,
    /// Number of writes and syncs that fail, after `calls_before_failure` successful ones.
    failures: u32,
    calls_before_failure: u32,
}

impl DiskState {
    /// Whether this write or sync fails.
    fn next_call_fails(&mut self) -> bool {
        if self.calls_before_failure > 0 {
            self.calls_before_failure -= 1;
            return false;
        }
        let fails = self.failures > 0;
        self.failures = self.failures.saturating_sub(1);
        fails
    }
}

/// A simulated disk in memory.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

type Io<T> = std::io::Result<T>;

fn full() -> std::io::Error {
    std::io::ErrorKind::StorageFull.into()
}

impl StorageBackend for Disk {
    fn len(&self) -> Io<u64> {
        Ok(self.0.lock().unwrap().content.len() as u64)
    }
    fn read(&self, offset: u64, buffer: &mut [u8]) -> Io<()> {
        let disk = self.0.lock().unwrap();
        let start = offset as usize;
        buffer.copy_from_slice(&disk.content[start..start + buffer.len()]);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Io<()> {
        let mut disk = self.0.lock().unwrap();
        if disk
            .capacity
            .is_some_and(|capacity| len as usize > capacity)
        {
            return Err(full());
        }
        disk.content.resize(len as usize, 0);
        // The length of a file is metadata, which may reach the disk before the content.
        disk.synced.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Io<()> {
        let mut disk = self.0.lock().unwrap();
        if disk.next_call_fails() {
            return Err(std::io::Error::from_raw_os_error(5));
        }
        disk.synced = disk.content.clone();
        disk.unsynced.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Io<()> {
        let mut disk = self.0.lock().unwrap();
        let start = offset as usize;
        if disk.next_call_fails() {
            return Err(full());
        }
        if disk
            .capacity
            .is_some_and(|capacity| start + data.len() > capacity)
        {
            return Err(full());
        }
        disk.content[start..start + data.len()].copy_from_slice(data);
        disk.unsynced.push((start, data.to_vec()));
        Ok(())
    }
}

impl Disk {
    /// The disk after a power failure. Any sectors of the writes since the last sync are kept, in any order.
    fn after_crash(&self, rng: &mut fastrand::Rng) -> Disk {
        let disk = self.0.lock().unwrap();
        let mut remaining = disk.synced.clone();
        let mut unsynced = disk.unsynced.clone();
        rng.shuffle(&mut unsynced);
        for (start, data) in unsynced {
            for (index, sector) in data.chunks(512).enumerate() {
                let position = start + index * 512;
                if rng.bool() && position + sector.len() <= remaining.len() {
                    remaining[position..position + sector.len()].copy_from_slice(sector);
                }
            }
        }
        Disk(Arc::new(Mutex::new(DiskState {
            content: remaining.clone(),
            synced: remaining,
            ..DiskState::default()
        })))
    }
}

fn open(disk: &Disk) -> (LogStorage, RecoveredRecords) {
    LogStorage::from_store(Store::with_backend(disk.clone()).expect("a store"))
}

/// Appends a record, periodically with a snapshot, and updates the expected content.
fn append(log: &mut LogStorage, expected: &mut RecoveredRecords, number: u64) -> Result<(), Error> {
    let record = number.to_be_bytes().repeat(1 + number as usize % 5);
    let snapshot = (number % 37 == 36).then(|| format!("whole {number}").into_bytes());
    log.append(record.clone(), snapshot.as_deref())?;
    match snapshot {
        Some(snapshot) => {
            *expected = RecoveredRecords {
                snapshot: Some(snapshot),
                records: Vec::new(),
            }
        }
        None => expected.records.push(record),
    }
    Ok(())
}

#[test]
fn acknowledged_records_survive_any_crash() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut disk = Disk::default();
        let (mut log, mut expected) = open(&disk);
        for round in 0..6 {
            for number in 0..rng.u64(0..60) {
                append(&mut log, &mut expected, 1000 * round + number).expect("stored");
            }
            // The store is not closed before the crash.
            disk = disk.after_crash(&mut rng);
            let (after, recovered) = open(&disk);
            std::mem::forget(std::mem::replace(&mut log, after));
            assert_eq!(recovered, expected, "seed {seed}, round {round}");
        }
    }
}

#[test]
fn a_full_disk_rejects_records_and_loses_none() {
    let disk = Disk::default();
    let (mut log, mut expected) = open(&disk);
    let used = disk.0.lock().unwrap().content.len();
    disk.0.lock().unwrap().capacity = Some(used);
    let mut failed = None;
    for index in 0..400 {
        let record = vec![index as u8; 100_000 + index];
        match log.append(record.clone(), None) {
            Ok(()) => expected.records.push(record),
            Err(error) => {
                failed = Some(error.to_string());
                break;
            }
        }
    }
    let message = failed.expect("the disk becomes full");
    assert!(message.contains("the state file"), "{message}");
    disk.0.lock().unwrap().capacity = None;
    let after = disk.after_crash(&mut fastrand::Rng::with_seed(1));
    std::mem::forget(log);
    assert!(open(&after).1 == expected);
}

#[test]
fn entries_are_numbered_without_gaps_and_snapshots_replace_them() {
    let disk = Disk::default();
    let (mut store, recovered) = Store::with_backend(disk.clone()).expect("a store");
    assert_eq!(recovered, Default::default());
    store
        .append(1, &[vec![1], vec![2], vec![3]])
        .expect("three");
    assert!(matches!(
        store.append(3, &[vec![9]]),
        Err(Error::OutOfOrder {
            expected: 4,
            given: 3
        })
    ));
    assert!(
        matches!(store.snapshot(4, &[7]), Err(Error::OutOfOrder { .. })),
        "the snapshot would cover an entry that does not exist"
    );
    store.snapshot(2, &[7]).expect("a snapshot");
    let large = vec![0; tansy_storage::store::MAX_ENTRY_BYTES + 1];
    assert!(matches!(
        store.append(4, &[large]),
        Err(Error::TooLarge { .. })
    ));
    drop(store);
    let (store, recovered) = Store::with_backend(disk).expect("the store");
    assert_eq!(
        (recovered.snapshot, recovered.entries, store.next_number()),
        (Some((2, vec![7])), vec![(3, vec![3])], 4)
    );
}

#[test]
fn many_records_are_recovered_with_the_last_snapshot() {
    let disk = Disk::default();
    let (mut log, mut expected) = open(&disk);
    for number in 0..1000 {
        append(&mut log, &mut expected, number).expect("stored");
    }
    assert!(expected.snapshot.is_some() && expected.records.len() == 1000 % 37);
    drop(log);
    assert_eq!(open(&disk).1, expected);
}

#[test]
fn a_file_of_a_later_format_is_rejected_and_left_unchanged() {
    let disk = Disk::default();
    drop(Store::with_backend(disk.clone()).expect("a store"));
    let db = redb::Builder::new()
        .create_with_backend(disk.clone())
        .expect("the file");
    let write = db.begin_write().expect("a transaction");
    let meta = redb::TableDefinition::<&str, u64>::new("meta");
    write
        .open_table(meta)
        .expect("the table")
        .insert("format", 7)
        .expect("a value");
    write.commit().expect("written");
    drop(db);
    let rejected = Store::with_backend(disk.clone()).expect_err("the file is rejected");
    assert!(
        matches!(rejected, Error::NewerFormat { found: 7 }),
        "{rejected}"
    );
    assert!(rejected.to_string().contains("upgrade this program"));
}

#[test]
fn a_disk_that_fails_temporarily_stores_each_record_once_and_in_order() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disk = Disk::default();
        let reopened = disk.clone();
        let open = move || Store::with_backend(reopened.clone()).map(LogStorage::from_store);
        let (mut log, _) = RetryingLogStorage::with_opener(Box::new(open)).expect("a store");
        let mut expected = RecoveredRecords::default();
        for number in 0..120u64 {
            let record = number.to_be_bytes().to_vec();
            let snapshot = (number % 37 == 36).then(|| format!("whole {number}").into_bytes());
            // Some of the next writes and syncs fail.
            if rng.u32(0..4) == 0 {
                disk.0.lock().unwrap().failures = rng.u32(1..6);
                disk.0.lock().unwrap().calls_before_failure = rng.u32(0..12);
            }
            let mut tries = 0;
            while let Err(error) = log.append(&record, snapshot.as_deref()) {
                assert!(error.is_transient(), "seed {seed}: {error}");
                tries += 1;
                assert!(tries < 100, "seed {seed}: {error}");
            }
            match snapshot {
                Some(snapshot) => {
                    expected = RecoveredRecords {
                        snapshot: Some(snapshot),
                        records: Vec::new(),
                    }
                }
                None => expected.records.push(record),
            }
        }
        drop(log);
        let (_, recovered) = open_repaired(&disk);
        assert_eq!(recovered, expected, "seed {seed}");
    }
}

/// Opens a disk whose failures have ended.
fn open_repaired(disk: &Disk) -> (LogStorage, RecoveredRecords) {
    disk.0.lock().unwrap().failures = 0;
    open(disk)
}

#[test]
fn permanent_errors_are_not_retried() {
    let large = Error::TooLarge { bytes: 1 };
    let gap = Error::Gap {
        expected: 1,
        found: 3,
    };
    assert!(!large.is_transient() && !gap.is_transient());
    assert!(Error::InUse.is_transient());
}
