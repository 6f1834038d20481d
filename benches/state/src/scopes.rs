//! What settings of functions that are agreed on one by one cost: the catalog at a seat, what a front end holds of it, and the
//! root's table of who holds what.

use crate::inputs::{self, FunctionPopularity};
use crate::letters::Seat;
use crate::measure::{ms, timed, Distribution, MemoryGrowth, OutputRecord};
use crate::{Args, BenchError};
use std::collections::BTreeSet;
use std::time::Duration;
use tansy_agreement::compatibility::{Fields, Schema};
use tansy_agreement::lease::{LeaseTiming, Member};
use tansy_agreement::log::{FleetState, Log, LogEntry, Revision, Version, VersionedSettings};
use tansy_agreement::scope::{
    scope_number, ChangeHistory, ScopeChange, ScopeRecord, ScopeTransaction, ScopeUpdate,
    MAX_TRANSACTION_BYTES,
};
use tansy_agreement::session::{SessionRequest, SessionTable, SubscribeOutcome};
use tansy_agreement::subscription::{
    Admission, ResyncEpoch, ScopeSubscriptions, SubscribeReply, SubscribeRequest,
    SubscriptionLimits,
};
use tansy_fleet_wire::MAX_MESSAGE_BYTES;
use tansy_settings::agree;
use tansy_storage::voter_log::LogStorage;

const SECOND: i64 = 1_000_000;
/// Changes that are asked for in one minute at the most.
const BURST: usize = 500;
/// Changes of one function that are timed.
const CHANGES: usize = 100;
/// Steps that a held log has: more than a function's moves.
const STEP: Revision = Revision(1 << 20);

/// What a scope holds of a function: the four fields of [`inputs::version`].
fn fields(lanes: i64) -> Fields {
    let all = inputs::changed(&inputs::version(&["one".to_string()]), "one", lanes);
    let mine = all
        .iter()
        .filter_map(|(path, v)| Some((path.strip_prefix("functions.one.")?, v)));
    mine.map(|(field, v)| (field.to_string(), v.clone()))
        .collect()
}

fn change(log: &Log, name: &str, lanes: i64) -> ScopeUpdate {
    let base = log.catalog().get(name).map_or(Revision(0), |s| s.revision);
    ScopeUpdate {
        scope: name.to_string(),
        base,
        fields: Some(fields(lanes)),
    }
}

/// A seat whose functions all stand in the catalog; the versions have their classes and one function.
struct Kept {
    seat: Seat,
    id: u64,
}

/// How long each entry of a change took, and bytes of the first one's record.
struct Took {
    all: [Duration; 3],
    entry: usize,
}

impl Kept {
    fn new(file: Option<LogStorage>) -> Result<Kept, BenchError> {
        Ok(Kept {
            seat: Seat::new(inputs::version(&["one".to_string()]), file)?,
            id: 0,
        })
    }

    fn log(&self) -> Result<&Log, BenchError> {
        self.seat.log()
    }

    /// These functions change, each request in one entry, through joint and force until they are settled.
    fn change(&mut self, names: &[&String], lanes: i64) -> Result<Took, BenchError> {
        self.id += 1;
        let log = self.log()?;
        let changes = names.iter().map(|n| change(log, n, lanes)).collect();
        let request = ScopeTransaction {
            id: self.id,
            updates: changes,
            reason: "bench".into(),
        };
        let (judged, judging) = timed(|| log.validate_transaction(&request));
        judged.map_err(|e| BenchError::failed("the change", e))?;
        let (done, took) = timed(|| {
            self.seat.enter(LogEntry::UpdateScopes {
                transactions: vec![request],
            })
        });
        done?;
        let entry = self.seat.last_record;
        let (force, second) = self.go_on(true)?;
        let (settled, third) = self.go_on(false)?;
        if (force, settled) != (names.len(), names.len()) {
            return Err(BenchError::failed(
                "the change",
                format!("{force} came in force, {settled} were settled"),
            ));
        }
        Ok(Took {
            all: [judging + took, second, third],
            entry,
        })
    }

    fn go_on(&mut self, joint: bool) -> Result<(usize, Duration), BenchError> {
        let open = self
            .log()?
            .catalog()
            .open()
            .filter(|(_, s)| s.next().is_some() == joint);
        let all: Vec<(String, Revision)> = open
            .filter_map(|(name, s)| Some((name.to_string(), s.phase.since()?)))
            .collect();
        let n = all.len();
        let (force, settled) = if joint {
            (all, Vec::new())
        } else {
            (Vec::new(), all)
        };
        let (done, took) = timed(|| {
            self.seat.enter(LogEntry::AdvanceScopes {
                in_force: force,
                settled,
            })
        });
        done.map(|()| (n, took))
    }

    /// All of them come to be.
    fn fill(&mut self, names: &[String]) -> Result<(), BenchError> {
        // Each weighs no more than this.
        let most = MAX_TRANSACTION_BYTES / 160;
        for some in names.chunks(most) {
            self.change(&some.iter().collect::<Vec<_>>(), 1)?;
        }
        Ok(())
    }
}

/// The log as a seat tells another one of it, and holds it: what `decide/consensus` makes of it, but for eleven bytes before.
fn encoded(log: &Log) -> Vec<u8> {
    log.catalog_snapshot()
        .and_then(|kept| postcard::to_stdvec(&(log, kept)).ok())
        .unwrap_or_default()
}

/// The catalog at a seat: memory, bytes as it is told and held, time of a change, of a burst, and of encoding all of it.
pub fn catalog(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let grown = MemoryGrowth::begin();
    let mut kept = Kept::new(None)?;
    kept.fill(&names)?;
    output.figure("memory_mb", grown.mb());
    output.count("scopes", kept.log()?.catalog().all().len());
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let mut steps = [
        Distribution::default(),
        Distribution::default(),
        Distribution::default(),
    ];
    let (mut whole_change, mut entry) = (Distribution::default(), 0);
    let (mut encodings, mut encoded_at) = (0, kept.seat.encoded_at());
    for n in 0..CHANGES {
        let took = kept.change(&[&names[rng.usize(..names.len())]], 2 + n as i64)?;
        steps.iter_mut().zip(took.all).for_each(|(s, t)| s.add(t));
        whole_change.add(took.all.iter().sum());
        entry = took.entry;
        encodings += usize::from(kept.seat.encoded_at() != encoded_at);
        encoded_at = kept.seat.encoded_at();
    }
    for (name, step) in ["joint_ms", "force_ms", "settled_ms"]
        .into_iter()
        .zip(&steps)
    {
        output.insert(name, step.ms());
    }
    output.insert("change_ms", whole_change.ms());
    output.count("changes", CHANGES);
    // Of three entries each.
    output.count("encodings", encodings);
    output.count("entry_bytes", entry);
    let burst: Vec<&String> = names.iter().take(BURST).collect();
    let took = kept.change(&burst, 1000)?;
    output.count("burst", burst.len());
    output.figure("burst_ms", ms(took.all.iter().sum()));
    output.count("burst_entry_bytes", took.entry);
    output.figure("peak_mb", grown.peak_mb());
    let log = kept.log()?;
    let before = MemoryGrowth::begin();
    let copy = log.clone();
    output.figure("log_mb", before.mb());
    drop(copy);
    let (bytes, took) = timed(|| encoded(log));
    output.count("log_bytes", bytes.len());
    output.figure("scope_bytes", bytes.len() as f64 / args.functions as f64);
    output.figure("encode_ms", ms(took));
    let (read, took) =
        timed(|| postcard::from_bytes::<(Log, tansy_agreement::scope::CatalogSnapshot)>(&bytes));
    let same = read.map_err(|e| BenchError::failed("the log", e))?;
    output.figure("read_ms", ms(took));
    if same.0.with_catalog(same.1) != *log {
        return Err(BenchError::failed(
            "the log",
            "it is read as another one than was written",
        ));
    }
    output.count("moves_bytes", log.state().history.memory_bytes());
    output.count("largest_bytes", MAX_MESSAGE_BYTES);
    output.count("readable", usize::from(bytes.len() <= MAX_MESSAGE_BYTES));
    if bytes.len() > MAX_MESSAGE_BYTES {
        output.add_note("the whole log is more than one letter may hold".into());
    }
    Ok(())
}

/// A seat's file with the catalog: its bytes, and how long it takes to hold a record, a whole, and to start from it.
pub fn catalog_file(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let path = std::env::temp_dir().join(format!("tansy-bench-scopes-{}.redb", std::process::id()));
    let found = kept_in(&names, &path, output);
    let _ = std::fs::remove_file(&path);
    found
}

fn kept_in(
    names: &[String],
    path: &std::path::Path,
    output: &mut OutputRecord,
) -> Result<(), BenchError> {
    let size = || std::fs::metadata(path).map_or(0, |m| m.len()) as usize;
    let (records, _) =
        LogStorage::open(path).map_err(|e| BenchError::failed("the seat's file", e))?;
    let mut kept = Kept::new(Some(records))?;
    kept.fill(names)?;
    // On until the next whole, which has all of them.
    let (before, mut n) = (kept.seat.wholes_held, 0);
    while kept.seat.wholes_held == before {
        n += 1;
        kept.change(&[&names[n % names.len()]], 1 + n as i64)?;
    }
    output.count("whole_bytes", kept.seat.wholes);
    output.count("file_bytes", size());
    output.insert("record_ms", kept.seat.records.ms());
    output.insert("whole_ms", kept.seat.whole_records.ms());
    let log = kept.log()?.clone();
    drop(kept);
    let (seat, took) = timed(|| {
        let opened = LogStorage::open(path);
        opened
            .map_err(|e| BenchError::failed("the seat's file", e))
            .and_then(|(_, held)| Seat::again(held))
    });
    let again = seat?;
    output.figure("start_ms", ms(took));
    output.count("scopes", again.log()?.catalog().all().len());
    if again.log()?.catalog().all().len() != log.catalog().all().len() {
        return Err(BenchError::failed(
            "the seat's file",
            "another catalog is in it",
        ));
    }
    Ok(())
}

fn member(n: usize, seed: u64) -> Member {
    let id =
        fastrand::Rng::with_seed(seed ^ (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)).u64(2..);
    Member { id, incarnation: 1 }
}

fn scoped(revision: Revision, lanes: i64) -> ScopeRecord {
    ScopeRecord {
        revision,
        fields: Some(fields(lanes)),
        ..ScopeRecord::default()
    }
}

/// What is acted on, with as many moves as are remembered.
fn acted_on(names: &[String]) -> FleetState {
    let force = VersionedSettings {
        version: Version(1),
        fields: inputs::version(&["one".to_string()]),
        reason: "bench".into(),
        id: 1,
    };
    let state = FleetState {
        revision: Revision(2),
        in_force: force,
        next: None,
        canary: None,
        versions_revision: Revision(2),
        scopes_since: Some(Revision(2)),
        history: ChangeHistory::after(Revision(2)),
    };
    moved(state, names, tansy_agreement::scope::MAX_HISTORY)
}

/// The same after so many moves, each in a step of its own.
fn moved(mut state: FleetState, names: &[String], moves: usize) -> FleetState {
    let from = state.revision;
    let all = (0..moves).map(|n| {
        let step = Revision(from.0 + 1 + n as u64);
        let to = scoped(step, 1 + n as i64 % 4000);
        std::sync::Arc::new(ScopeChange {
            revision: step,
            scope: names[n % names.len()].clone(),
            record: to,
        })
    });
    let all: Vec<_> = all.collect();
    let to = all.last().map_or(from, |m| m.revision);
    state.apply_delta(&tansy_agreement::scope::StateDelta {
        from,
        to,
        changes: all,
    });
    state
}

/// A front end that holds some functions of all: its memory, and its time of a call, of an ask with its answer, and of what moved.
pub fn holding(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let schema = agree::agreement();
    let me = member(1, args.seed);
    let mut order: Vec<usize> = (0..names.len()).collect();
    fastrand::Rng::with_seed(args.seed).shuffle(&mut order);
    let grown = MemoryGrowth::begin();
    let state = acted_on(&names);
    output.figure("state_mb", grown.mb());
    let mut holding = ScopeSubscriptions::new(me, SubscriptionLimits::default(), 0);
    holding.on_state(0, &state, &schema);
    let epoch = ResyncEpoch { term: 1, count: 1 };
    let begins = SubscribeReply {
        to: me,
        epoch,
        seq: None,
        revision: state.revision,
        scopes: Vec::new(),
    };
    holding.on_reply(0, begins, Some(&state), &schema);
    let (mut now, mut asks) = (0, Distribution::default());
    for n in order.iter().take(args.subscriptions) {
        now += SECOND / 10;
        let (done, took) = timed(|| asked(&mut holding, now, &names[*n], &state, &schema));
        done?;
        asks.add(took);
    }
    output.count("held", holding.len());
    output.count("weight_bytes", holding.memory_bytes());
    output.figure("memory_mb", grown.mb());
    output.insert("ask_us", asks.us());
    let mut calls = Distribution::default();
    for n in 0..20_000 {
        let name = &names[order[n % args.subscriptions.min(names.len())]];
        let (call, took) = timed(|| holding.admit(now, &schema, name, true));
        calls.add(took);
        if !matches!(call, Admission::Admit(_)) {
            return Err(BenchError::failed(
                "a call",
                format!("of a function that is held: {call:?}"),
            ));
        }
    }
    output.insert("call_us", calls.us());
    // One more than there is room for lets go of some.
    let mut over = Distribution::default();
    for n in order.iter().skip(args.subscriptions).take(200) {
        now += SECOND / 10;
        let (done, took) = timed(|| asked(&mut holding, now, &names[*n], &state, &schema));
        done?;
        over.add(took);
    }
    output.insert("more_us", over.us());
    output.count("squeezed", holding.evicted() as usize);
    // A burst, as its moves come: joint, force.
    let after = moved(state.clone(), &names, 2 * BURST);
    let ((), took) = timed(|| holding.on_state(now, &after, &schema));
    output.figure("burst_ms", ms(took));
    // Another root is told of all.
    holding.on_new_leader(now);
    now += SECOND;
    let (letter, took) = timed(|| holding.tick(now, after.revision, true));
    let told = letter.and_then(|l| l.full_list).map_or(0, |all| all.len());
    output.count("told", told);
    output.figure("told_ms", ms(took));
    output.figure("peak_mb", grown.peak_mb());
    Ok(())
}

/// A first call, with the ask and its answer.
fn asked(
    holding: &mut ScopeSubscriptions,
    now: i64,
    name: &str,
    state: &FleetState,
    schema: &Schema,
) -> Result<(), BenchError> {
    holding.admit(now, schema, name, true);
    for n in 0..20 {
        let at = now + n * SECOND / 1000;
        let Some(SubscribeRequest {
            from: to,
            epoch,
            seq,
            scopes,
            ..
        }) = holding.tick(at, state.revision, true)
        else {
            continue;
        };
        let all = scopes
            .into_iter()
            .map(|s| (s, Some(scoped(Revision(2), 1))))
            .collect();
        holding.on_reply(
            at,
            SubscribeReply {
                to,
                epoch,
                seq: Some(seq),
                revision: state.revision,
                scopes: all,
            },
            Some(state),
            schema,
        );
        if matches!(holding.admit(at, schema, name, true), Admission::Admit(_)) {
            return Ok(());
        }
    }
    Err(BenchError::failed("a first call", "it was not answered"))
}

/// The root's table of who holds what: its memory, the time to write one ask down, and of all that a new root is told.
pub fn holders(args: &Args, output: &mut OutputRecord) -> Result<(), BenchError> {
    let names = inputs::names(args.functions, args.seed);
    let mut rng = fastrand::Rng::with_seed(args.seed);
    let draw = FunctionPopularity::new(names.len(), args.seed);
    // What each holds: those called often by nearly all, the others by few.
    let mut drawn = || {
        let mut mine = BTreeSet::new();
        while mine.len() < args.subscriptions.min(names.len()) {
            mine.insert(if rng.bool() {
                draw.next(&mut rng)
            } else {
                rng.usize(..names.len())
            });
        }
        mine
    };
    let stays = LeaseTiming {
        span: 3600 * SECOND,
        drift_ppm: 1000,
    };
    let grown = MemoryGrowth::begin();
    let members: Vec<Member> = (0..args.front_ends).map(|n| member(n, args.seed)).collect();
    let mut register = SessionTable::new(stays, members.iter().copied(), 0);
    let before = grown.mb();
    output.figure("register_mb", before);
    let epoch = register.epoch();
    let (mut tell, mut want) = (Distribution::default(), Distribution::default());
    let mut telling = Duration::ZERO;
    let hear = |register: &mut SessionTable, letter: &SubscribeRequest| match register
        .on_subscribe(letter)
    {
        SubscribeOutcome::Taken => Ok(()),
        other => Err(BenchError::failed("a letter", format!("{other:?}"))),
    };
    for from in &members {
        register.grant(
            1,
            SessionRequest {
                from: *from,
                seq: 1,
                revision: STEP,
                supports_scopes: true,
            },
        );
        let all: Vec<u64> = drawn()
            .into_iter()
            .map(|n| scope_number(&names[n]))
            .collect();
        let letter = SubscribeRequest {
            from: *from,
            epoch,
            seq: 1,
            revision: STEP,
            scopes: Vec::new(),
            unsubscribed: Vec::new(),
            full_list: Some(all),
        };
        let (taken, took) = timed(|| hear(&mut register, &letter));
        taken?;
        tell.add(took);
        telling += took;
    }
    output.count("held", args.subscriptions);
    output.count("holdings", register.subscription_count());
    output.figure("memory_mb", grown.mb());
    output.insert("tell_us", tell.us());
    // All tell a new root what they hold, which it does while it does nothing else.
    output.figure("tell_all_ms", ms(telling));
    for from in members.iter().take(2000) {
        let scopes = vec![names[rng.usize(..names.len())].clone()];
        let letter = SubscribeRequest {
            from: *from,
            epoch,
            seq: 2,
            revision: STEP,
            scopes,
            unsubscribed: Vec::new(),
            full_list: None,
        };
        let (taken, took) = timed(|| hear(&mut register, &letter));
        taken?;
        want.add(took);
    }
    output.insert("want_us", want.us());
    // Whom a change waits for: of any function, and of the one that most hold.
    let after = STEP.next();
    let mut waits = Distribution::default();
    for name in names.iter().take(5_000) {
        let (_, took) = timed(|| {
            register
                .subscribers_behind(scope_number(name), after)
                .count()
        });
        waits.add(took);
    }
    output.insert("waits_us", waits.us());
    let most = names
        .iter()
        .map(|name| {
            (
                register
                    .subscribers_behind(scope_number(name), after)
                    .count(),
                name,
            )
        })
        .max();
    if let Some((n, name)) = most {
        output.count("most_holders", n);
        let (_, took) = timed(|| {
            register
                .subscribers_behind(scope_number(name), after)
                .count()
        });
        output.figure("most_waits_us", took.as_secs_f64() * 1e6);
    }
    let mut gone = Distribution::default();
    for from in members.iter().take(200) {
        let ((), took) = timed(|| register.remove(*from));
        gone.add(took);
    }
    output.insert("dismiss_us", gone.us());
    output.figure("peak_mb", grown.peak_mb());
    Ok(())
}
