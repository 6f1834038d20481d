//! Disks that lose what was not synced, tear it, are full, or hold what a later program wrote.

use redb::StorageBackend;
use std::sync::{Arc, Mutex};
use tansy_agree::log::{Entry, Version};
use tansy_agree::rule::{Fields, Value};
use tansy_state::seat::Seat;
use tansy_state::store::{Error, Store};

#[derive(Debug, Default)]
struct Inner {
    /// What a crash leaves in any case.
    synced: Vec<u8>,
    /// What reads find.
    now: Vec<u8>,
    writes: Vec<(usize, Vec<u8>)>,
    room: Option<usize>,
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
        disk.synced = disk.now.clone();
        disk.writes.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Io<()> {
        let mut disk = self.0.lock().unwrap();
        let from = offset as usize;
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
        Disk(Arc::new(Mutex::new(Inner { now: left.clone(), synced: left, ..Inner::default() })))
    }
}

fn fields(n: i64) -> Fields {
    [("worker.max_attempts".to_string(), Value::Int(n))].into()
}

/// One change of a seat's log after the other: proposals, steps, some given up.
fn next(seat: &Seat, n: u64) -> Entry {
    let state = seat.log().state();
    match &state.next {
        Some((next, _)) if n % 7 == 3 => Entry::Abandon { version: next.version },
        Some(_) => Entry::Advance { from: state.step },
        None => Entry::Propose {
            id: n + 1,
            base: state.latest(),
            fields: fields(n as i64 + 10),
            why: "more".into(),
        },
    }
}

#[test]
fn what_was_told_is_there_after_any_crash() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut disk = Disk::default();
        let mut seat = Seat::of(Store::on(disk.clone()).expect("a store"), fields(4)).expect("a seat");
        for round in 0..6 {
            for n in 0..rng.u64(0..60) {
                let entry = next(&seat, 1000 * round + n);
                let _ = seat.enter(entry);
            }
            let told = seat.log().clone();
            // In the middle of whatever the store still does: it is not closed.
            disk = disk.after_a_crash(&mut rng);
            std::mem::forget(std::mem::replace(
                &mut seat,
                Seat::of(Store::on(disk.clone()).expect("a store"), fields(9)).expect("a seat"),
            ));
            assert_eq!(seat.log(), &told, "seed {seed}, round {round}");
        }
    }
}

#[test]
fn a_full_disk_takes_nothing_more_and_loses_nothing() {
    let disk = Disk::default();
    let mut seat = Seat::of(Store::on(disk.clone()).expect("a store"), fields(4)).expect("a seat");
    let used = disk.0.lock().unwrap().now.len();
    disk.0.lock().unwrap().room = Some(used);
    let mut failed = None;
    for n in 0..400 {
        let state = seat.log().state().clone();
        let entry = match &state.next {
            Some(_) => Entry::Advance { from: state.step },
            None => {
                let text = Value::Text("x".repeat(100_000 + n));
                let fields = [("front.class_key".to_string(), text)].into();
                Entry::Propose { id: 0, base: state.latest(), fields, why: String::new() }
            }
        };
        if let Err(e) = seat.enter(entry) {
            failed = Some((e.to_string(), seat.log().clone()));
            break;
        }
    }
    let (why, told) = failed.expect("the disk is full at some time");
    assert!(why.contains("the state file"), "{why}");
    disk.0.lock().unwrap().room = None;
    let after = disk.after_a_crash(&mut fastrand::Rng::with_seed(1));
    std::mem::forget(seat);
    let seat = Seat::of(Store::on(after).expect("a store"), fields(4)).expect("a seat");
    assert_eq!(seat.log(), &told);
}

#[test]
fn entries_are_numbered_without_gaps_and_snapshots_take_their_place() {
    let disk = Disk::default();
    let (mut store, held) = Store::on(disk.clone()).expect("a store");
    assert_eq!(held, Default::default());
    store.append(1, &[vec![1], vec![2], vec![3]]).expect("three");
    assert!(matches!(store.append(3, &[vec![9]]), Err(Error::Order { wanted: 4, given: 3 })));
    assert!(matches!(store.snapshot(4, &[7]), Err(Error::Order { .. })), "it covers what there isn't");
    store.snapshot(2, &[7]).expect("a snapshot");
    let large = vec![0; tansy_state::store::LARGEST + 1];
    assert!(matches!(store.append(4, &[large]), Err(Error::Large { .. })));
    drop(store);
    let (store, held) = Store::on(disk).expect("the store");
    assert_eq!((held.snapshot, held.entries, store.next()), (Some((2, vec![7])), vec![(3, vec![3])], 4));
}

#[test]
fn many_changes_come_back_through_snapshots() {
    let disk = Disk::default();
    let mut seat = Seat::of(Store::on(disk.clone()).expect("a store"), fields(4)).expect("a seat");
    for n in 0..1000 {
        let entry = next(&seat, n);
        let _ = seat.enter(entry);
    }
    let told = seat.log().clone();
    assert!(told.state().force.version > Version(100));
    drop(seat);
    assert_eq!(Seat::of(Store::on(disk).expect("the store"), fields(4)).expect("a seat").log(), &told);
}

#[test]
fn a_file_of_a_later_program_is_refused_and_left_as_it_is() {
    let disk = Disk::default();
    drop(Store::on(disk.clone()).expect("a store"));
    let db = redb::Builder::new().create_with_backend(disk.clone()).expect("the file");
    let write = db.begin_write().expect("a transaction");
    let meta = redb::TableDefinition::<&str, u64>::new("meta");
    write.open_table(meta).expect("the table").insert("format", 7).expect("a value");
    write.commit().expect("written");
    drop(db);
    let refused = Store::on(disk.clone()).expect_err("refused");
    assert!(matches!(refused, Error::Newer { found: 7 }), "{refused}");
    assert!(refused.to_string().contains("start the later program"));
}
