//! System calls that fail, for tests of whole programs: loaded with `LD_PRELOAD`, it stands between the program and the C
//! library. It has no dependencies, so that a test can build it with the compiler alone.
//!
//! `FAULT_RULES` names the faults, separated by `;`. A rule is `CALL:FAULT:KEY=VALUE:...`:
//!
//! - `CALL`: `socket`, `connect`, `accept`, `recv`, `send`, `read`, `write` (to files), `sync` or `clock`.
//! - `FAULT`: a name of [`ERRORS`], `SHORT` (one byte is moved; `recv`, `send`), or `STEP` (`clock`).
//! - `first=N`: the first N calls fail. `rate=X`: each call fails with this probability.
//! - `from=S`, `until=S`: seconds since the process began during which the rule holds.
//! - `by=S`: seconds by which `STEP` moves the wall clock.
//!
//! `FAULT_SEED` seeds the probabilities. A rule that can't be read ends the process, as a fault that is not injected would
//! look like one that was survived.

use std::ffi::{c_char, c_int, c_long, c_void, CStr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::OnceLock;

/// Names of errors, with Linux's numbers.
const ERRORS: [(&str, c_int); 16] = [
    ("EINTR", 4),
    ("EIO", 5),
    ("EAGAIN", 11),
    ("ENOMEM", 12),
    ("ENFILE", 23),
    ("EMFILE", 24),
    ("ENOSPC", 28),
    ("EPIPE", 32),
    ("EADDRNOTAVAIL", 99),
    ("ENETDOWN", 100),
    ("ENETUNREACH", 101),
    ("ECONNABORTED", 103),
    ("ECONNRESET", 104),
    ("ENOBUFS", 105),
    ("ETIMEDOUT", 110),
    ("EHOSTUNREACH", 113),
];
/// `RTLD_NEXT`: the library behind this one.
const NEXT: *mut c_void = -1isize as *mut c_void;
/// `CLOCK_REALTIME` and `CLOCK_MONOTONIC`.
const REALTIME: c_int = 0;
const MONOTONIC: c_int = 1;
/// Bytes of a call that is cut short.
const SHORT: usize = 1;

extern "C" {
    fn dlsym(handle: *mut c_void, symbol: *const c_char) -> *mut c_void;
    fn __errno_location() -> *mut c_int;
}

/// `struct timespec`.
#[repr(C)]
pub struct Timespec {
    seconds: c_long,
    nanoseconds: c_long,
}

/// Which system calls a rule is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    Socket,
    Connect,
    Accept,
    Receive,
    Send,
    Read,
    Write,
    Sync,
    Clock,
}

/// What happens to a call.
#[derive(Clone, Copy)]
enum Fault {
    Error(c_int),
    Short,
    Step,
}

struct Rule {
    call: Call,
    fault: Fault,
    /// Calls that fail before the rule is used up; none: it is not counted.
    first: Option<usize>,
    seen: AtomicUsize,
    rate: f64,
    from: f64,
    until: f64,
    step_by: f64,
}

struct Rules {
    rules: Vec<Rule>,
    random: AtomicU64,
    began: f64,
}

fn unreadable(rule: &str) -> ! {
    eprintln!("FAULT_RULES: {rule:?} can't be read");
    std::process::abort();
}

impl Rule {
    fn read(text: &str) -> Rule {
        let mut parts = text.split(':');
        let call = match parts.next() {
            Some("socket") => Call::Socket,
            Some("connect") => Call::Connect,
            Some("accept") => Call::Accept,
            Some("recv") => Call::Receive,
            Some("send") => Call::Send,
            Some("read") => Call::Read,
            Some("write") => Call::Write,
            Some("sync") => Call::Sync,
            Some("clock") => Call::Clock,
            _ => unreadable(text),
        };
        let fault = match parts.next() {
            Some("SHORT") => Fault::Short,
            Some("STEP") => Fault::Step,
            Some(name) => match ERRORS.iter().find(|e| e.0 == name) {
                Some(error) => Fault::Error(error.1),
                None => unreadable(text),
            },
            None => unreadable(text),
        };
        let mut rule = Rule {
            call,
            fault,
            first: None,
            seen: AtomicUsize::new(0),
            rate: 1.0,
            from: 0.0,
            until: f64::MAX,
            step_by: 0.0,
        };
        for part in parts {
            let Some((key, value)) = part.split_once('=') else {
                unreadable(text)
            };
            let Ok(number) = value.parse::<f64>() else {
                unreadable(text)
            };
            match key {
                "first" => rule.first = Some(number as usize),
                "rate" => rule.rate = number,
                "from" => rule.from = number,
                "until" => rule.until = number,
                "by" => rule.step_by = number,
                _ => unreadable(text),
            }
        }
        rule
    }
}

impl Rules {
    fn read() -> Rules {
        let text = std::env::var("FAULT_RULES").unwrap_or_default();
        let seed: u64 = std::env::var("FAULT_SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(1);
        let rules = text
            .split(';')
            .filter(|r| !r.is_empty())
            .map(Rule::read)
            .collect();
        Rules {
            rules,
            random: AtomicU64::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
            began: monotonic(),
        }
    }

    /// A number from 0 up to 1 (xorshift64*).
    fn draw(&self) -> f64 {
        let mut state = self.random.load(Ordering::Relaxed);
        state ^= state >> 12;
        state ^= state << 25;
        state ^= state >> 27;
        self.random.store(state, Ordering::Relaxed);
        (state.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn holds(&self, rule: &Rule) -> bool {
        let age = monotonic() - self.began;
        age >= rule.from && age < rule.until
    }

    /// What happens to this call, if a rule has it fail.
    fn fault(&self, call: Call) -> Option<Fault> {
        let mut rules = self
            .rules
            .iter()
            .filter(|r| r.call == call && self.holds(r));
        let strikes = |r: &&Rule| match r.first {
            Some(first) => r.seen.fetch_add(1, Ordering::Relaxed) < first,
            None => self.draw() < r.rate,
        };
        rules.find(strikes).map(|r| r.fault)
    }

    /// Seconds by which the wall clock is off now.
    fn clock_step(&self) -> f64 {
        self.rules
            .iter()
            .filter(|r| r.call == Call::Clock && self.holds(r))
            .map(|r| r.step_by)
            .sum()
    }
}

fn rules() -> &'static Rules {
    static RULES: OnceLock<Rules> = OnceLock::new();
    RULES.get_or_init(Rules::read)
}

/// The C library's function of this name.
///
/// # Safety
/// `F` has to be the type of that function.
unsafe fn next<F: Copy>(slot: &'static OnceLock<usize>, name: &CStr) -> F {
    let address = *slot.get_or_init(|| dlsym(NEXT, name.as_ptr()) as usize);
    assert!(address != 0, "the C library has no {name:?}");
    std::mem::transmute_copy::<usize, F>(&address)
}

type ClockGettime = unsafe extern "C" fn(c_int, *mut Timespec) -> c_int;

fn real_clock(clock: c_int, time: &mut Timespec) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    // SAFETY: the type is that of clock_gettime, and `time` is a timespec.
    unsafe { next::<ClockGettime>(&SLOT, c"clock_gettime")(clock, time) }
}

fn monotonic() -> f64 {
    let mut time = Timespec {
        seconds: 0,
        nanoseconds: 0,
    };
    real_clock(MONOTONIC, &mut time);
    time.seconds as f64 + time.nanoseconds as f64 / 1e9
}

fn fail(error: c_int) -> isize {
    // SAFETY: the C library's own place for this thread's error.
    unsafe { *__errno_location() = error };
    -1
}

/// The length that a call moves, or its error.
fn length(call: Call, wanted: usize) -> Result<usize, c_int> {
    match rules().fault(call) {
        Some(Fault::Error(error)) => Err(error),
        Some(Fault::Short) => Ok(wanted.min(SHORT)),
        Some(Fault::Step) | None => Ok(wanted),
    }
}

/// # Safety
/// As of clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let Some(time) = time.as_mut() else {
        return fail(14) as c_int;
    };
    let done = real_clock(clock, time);
    if done == 0 && clock == REALTIME {
        let step = rules().clock_step();
        time.seconds += step as c_long;
    }
    done
}

/// # Safety
/// As of socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Socket) {
        return fail(error) as c_int;
    }
    next::<unsafe extern "C" fn(c_int, c_int, c_int) -> c_int>(&SLOT, c"socket")(
        domain, kind, protocol,
    )
}

/// # Safety
/// As of connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const c_void, length: u32) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Connect) {
        return fail(error) as c_int;
    }
    next::<unsafe extern "C" fn(c_int, *const c_void, u32) -> c_int>(&SLOT, c"connect")(
        fd, address, length,
    )
}

/// # Safety
/// As of accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut c_void,
    length: *mut u32,
    flags: c_int,
) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Accept) {
        return fail(error) as c_int;
    }
    type Accept = unsafe extern "C" fn(c_int, *mut c_void, *mut u32, c_int) -> c_int;
    next::<Accept>(&SLOT, c"accept4")(fd, address, length, flags)
}

/// # Safety
/// As of recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    wanted: usize,
    flags: c_int,
) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match length(Call::Receive, wanted) {
        Err(error) => fail(error),
        Ok(length) => {
            type Receive = unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize;
            next::<Receive>(&SLOT, c"recv")(fd, buffer, length, flags)
        }
    }
}

/// # Safety
/// As of send(2).
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    wanted: usize,
    flags: c_int,
) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match length(Call::Send, wanted) {
        Err(error) => fail(error),
        Ok(length) => {
            type Send = unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> isize;
            next::<Send>(&SLOT, c"send")(fd, buffer, length, flags)
        }
    }
}

/// # Safety
/// As of read(2).
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, wanted: usize) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match length(Call::Read, wanted) {
        Err(error) => fail(error),
        Ok(length) => {
            type Read = unsafe extern "C" fn(c_int, *mut c_void, usize) -> isize;
            next::<Read>(&SLOT, c"read")(fd, buffer, length)
        }
    }
}

/// # Safety
/// As of pwrite(2).
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    fd: c_int,
    buffer: *const c_void,
    wanted: usize,
    offset: i64,
) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match length(Call::Write, wanted) {
        Err(error) => fail(error),
        Ok(length) => {
            type Write = unsafe extern "C" fn(c_int, *const c_void, usize, i64) -> isize;
            next::<Write>(&SLOT, c"pwrite64")(fd, buffer, length, offset)
        }
    }
}

/// # Safety
/// As of fdatasync(2).
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Sync) {
        return fail(error) as c_int;
    }
    next::<unsafe extern "C" fn(c_int) -> c_int>(&SLOT, c"fdatasync")(fd)
}

/// # Safety
/// As of fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Sync) {
        return fail(error) as c_int;
    }
    next::<unsafe extern "C" fn(c_int) -> c_int>(&SLOT, c"fsync")(fd)
}
