//! Disks that lose what was not synced, tear it, are full, or hold what a later program wrote.

use redb::StorageBackend;
use std::sync::{Arc, Mutex};
use tansy_storage::store::{Error, Store};
use tansy_storage::voter_log::{LogStorage, RecoveredRecords, RetryingLogStorage};

#[derive(Debug, Default)]
struct Inner {
    /// What a crash leaves in any case.
    synced: Vec<u8>,
    /// What reads find.
    now: Vec<u8>,
    writes: Vec<(usize, Vec<u8>)>,
    room: Option<usize>,
    /// So many writes and syncs fail, after so many more that do not.
    failures: u32,
    in_calls: u32,
}

impl Inner {
    /// Whether this write or sync fails.
    fn fails(&mut self) -> bool {
        if self.in_calls > 0 {
            self.in_calls -= 1;
            return false;
        }
        let fails = self.failures > 0;
        self.failures = self.failures.saturating_sub(1);
        fails
    }
}

/// A disk in memory.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

type Io<T> = std::io::Result<T>;

fn full() -> std::io::Error {
    std::io::ErrorKind::StorageFull.into()
}

impl StorageBackend for Disk {
    fn len(&self) -> Io<u64> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Io<()> {
        let disk = self.0.lock().unwrap();
        let from = offset as usize;
        out.copy_from_slice(&disk.now[from..from + out.len()]);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Io<()> {
        let mut disk = self.0.lock().unwrap();
        if disk.room.is_some_and(|r| len as usize > r) {
            return Err(full());
        }
        disk.now.resize(len as usize, 0);
        // A file's length is kept apart from its content, and may be ahead of it.
        disk.synced.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Io<()> {
        let mut disk = self.0.lock().unwrap();
        if disk.fails() {
            return Err(std::io::Error::from_raw_os_error(5));
        }
        disk.synced = disk.now.clone();
        disk.writes.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Io<()> {
        let mut disk = self.0.lock().unwrap();
        let from = offset as usize;
        if disk.fails() {
            return Err(full());
        }
        if disk.room.is_some_and(|r| from + data.len() > r) {
            return Err(full());
        }
        disk.now[from..from + data.len()].copy_from_slice(data);
        disk.writes.push((from, data.to_vec()));
        Ok(())
    }
}

impl Disk {
    /// What is left after the power went: of the writes since the last sync any part, in any order, torn by sectors.
    fn after_a_crash(&self, rng: &mut fastrand::Rng) -> Disk {
        let disk = self.0.lock().unwrap();
        let mut left = disk.synced.clone();
        let mut writes = disk.writes.clone();
        rng.shuffle(&mut writes);
        for (from, data) in writes {
            for (n, sector) in data.chunks(512).enumerate() {
                let at = from + n * 512;
                if rng.bool() && at + sector.len() <= left.len() {
                    left[at..at + sector.len()].copy_from_slice(sector);
                }
            }
        }
        Disk(Arc::new(Mutex::new(Inner {
            now: left.clone(),
            synced: left,
            ..Inner::default()
        })))
    }
}

fn open(disk: &Disk) -> (LogStorage, RecoveredRecords) {
    LogStorage::of(Store::on(disk.clone()).expect("a store"))
}

/// Holds a record, now and then with the whole that takes the place of all; `told` is what has to be there then.
fn hold(records: &mut LogStorage, told: &mut RecoveredRecords, n: u64) -> Result<(), Error> {
    let record = n.to_be_bytes().repeat(1 + n as usize % 5);
    let whole = (n % 37 == 36).then(|| format!("whole {n}").into_bytes());
    records.append(record.clone(), whole.as_deref())?;
    match whole {
        Some(whole) => {
            *told = RecoveredRecords {
                snapshot: Some(whole),
                records: Vec::new(),
            }
        }
        None => told.records.push(record),
    }
    Ok(())
}

#[test]
fn what_was_told_is_there_after_any_crash() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut disk = Disk::default();
        let (mut records, mut told) = open(&disk);
        for round in 0..6 {
            for n in 0..rng.u64(0..60) {
                hold(&mut records, &mut told, 1000 * round + n).expect("held");
            }
            // In the middle of whatever the store still does: it is not closed.
            disk = disk.after_a_crash(&mut rng);
            let (after, held) = open(&disk);
            std::mem::forget(std::mem::replace(&mut records, after));
            assert_eq!(held, told, "seed {seed}, round {round}");
        }
    }
}

#[test]
fn a_full_disk_takes_nothing_more_and_loses_nothing() {
    let disk = Disk::default();
    let (mut records, mut told) = open(&disk);
    let used = disk.0.lock().unwrap().now.len();
    disk.0.lock().unwrap().room = Some(used);
    let mut failed = None;
    for n in 0..400 {
        let record = vec![n as u8; 100_000 + n];
        match records.append(record.clone(), None) {
            Ok(()) => told.records.push(record),
            Err(e) => {
                failed = Some(e.to_string());
                break;
            }
        }
    }
    let why = failed.expect("the disk is full at some time");
    assert!(why.contains("the state file"), "{why}");
    disk.0.lock().unwrap().room = None;
    let after = disk.after_a_crash(&mut fastrand::Rng::with_seed(1));
    std::mem::forget(records);
    assert!(open(&after).1 == told);
}

#[test]
fn entries_are_numbered_without_gaps_and_snapshots_take_their_place() {
    let disk = Disk::default();
    let (mut store, held) = Store::on(disk.clone()).expect("a store");
    assert_eq!(held, Default::default());
    store
        .append(1, &[vec![1], vec![2], vec![3]])
        .expect("three");
    assert!(matches!(
        store.append(3, &[vec![9]]),
        Err(Error::Order {
            wanted: 4,
            given: 3
        })
    ));
    assert!(
        matches!(store.snapshot(4, &[7]), Err(Error::Order { .. })),
        "it covers what there isn't"
    );
    store.snapshot(2, &[7]).expect("a snapshot");
    let large = vec![0; tansy_storage::store::LARGEST + 1];
    assert!(matches!(
        store.append(4, &[large]),
        Err(Error::Large { .. })
    ));
    drop(store);
    let (store, held) = Store::on(disk).expect("the store");
    assert_eq!(
        (held.snapshot, held.entries, store.next()),
        (Some((2, vec![7])), vec![(3, vec![3])], 4)
    );
}

#[test]
fn many_records_come_back_with_the_last_whole() {
    let disk = Disk::default();
    let (mut records, mut told) = open(&disk);
    for n in 0..1000 {
        hold(&mut records, &mut told, n).expect("held");
    }
    assert!(told.snapshot.is_some() && told.records.len() == 1000 % 37);
    drop(records);
    assert_eq!(open(&disk).1, told);
}

#[test]
fn a_file_of_a_later_program_is_refused_and_left_as_it_is() {
    let disk = Disk::default();
    drop(Store::on(disk.clone()).expect("a store"));
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
    let refused = Store::on(disk.clone()).expect_err("refused");
    assert!(matches!(refused, Error::Newer { found: 7 }), "{refused}");
    assert!(refused.to_string().contains("start the later program"));
}

#[test]
fn a_disk_that_fails_for_a_while_holds_each_record_once_and_in_order() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disk = Disk::default();
        let again = disk.clone();
        let open = move || Store::on(again.clone()).map(LogStorage::of);
        let (mut records, _) = RetryingLogStorage::with(Box::new(open)).expect("a store");
        let mut told = RecoveredRecords::default();
        for n in 0..120u64 {
            let record = n.to_be_bytes().to_vec();
            let whole = (n % 37 == 36).then(|| format!("whole {n}").into_bytes());
            // Some of its next writes and syncs fail, each a few times.
            if rng.u32(0..4) == 0 {
                disk.0.lock().unwrap().failures = rng.u32(1..6);
                disk.0.lock().unwrap().in_calls = rng.u32(0..12);
            }
            let mut tries = 0;
            while let Err(e) = records.append(&record, whole.as_deref()) {
                assert!(e.may_pass(), "seed {seed}: {e}");
                tries += 1;
                assert!(tries < 100, "seed {seed}: {e}");
            }
            match whole {
                Some(whole) => {
                    told = RecoveredRecords {
                        snapshot: Some(whole),
                        records: Vec::new(),
                    }
                }
                None => told.records.push(record),
            }
        }
        drop(records);
        let (_, held) = open_after(&disk);
        assert_eq!(held, told, "seed {seed}");
    }
}

/// What a disk holds that fails no more.
fn open_after(disk: &Disk) -> (LogStorage, RecoveredRecords) {
    disk.0.lock().unwrap().failures = 0;
    open(disk)
}

#[test]
fn what_does_not_pass_is_not_tried_again() {
    let large = Error::Large { bytes: 1 };
    let gap = Error::Gap {
        wanted: 1,
        found: 3,
    };
    assert!(!large.may_pass() && !gap.may_pass());
    assert!(Error::Used.may_pass());
}
