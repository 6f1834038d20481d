//! Fault injection for tests of whole programs. Loaded with `LD_PRELOAD`, this library interposes functions of the C library and makes
//! some of their calls fail. It has no dependencies, so that a test can build it with `rustc` alone.
//!
//! `FAULT_RULES` is a list of rules separated by `;`. A rule is `CALL:FAULT:KEY=VALUE:...`:
//!
//! - `CALL`: `socket`, `connect`, `accept` (accept4), `recv`, `send`, `read`, `write` (pwrite64), `sync` (fsync, fdatasync) or `clock`
//!   (clock_gettime of the wall clock).
//! - `FAULT`: a name of [`ERRORS`], `SHORT` (at most one byte is transferred; `recv`, `send`), or `STEP` (`clock`).
//! - `first=N`: the first N calls fail. `rate=X`: each call fails with probability X. Without either, all calls fail.
//! - `from=S`, `until=S`: the rule is active from and until this time, in seconds after the first intercepted call.
//! - `by=S`: seconds by which `STEP` moves the wall clock.
//!
//! `FAULT_SEED` seeds the random numbers for `rate`. An invalid rule aborts the process: if it were ignored, a test would pass without
//! its fault.

use std::ffi::{c_char, c_int, c_long, c_void, CStr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::OnceLock;

/// The errors that rules can name, with Linux's numbers.
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
/// `EFAULT`, for a null pointer.
const EFAULT: c_int = 14;
/// Pseudo-handle of `dlsym`: the next definition of the symbol after this library's.
const RTLD_NEXT: *mut c_void = -1isize as *mut c_void;
const CLOCK_REALTIME: c_int = 0;
const CLOCK_MONOTONIC: c_int = 1;
/// Most bytes that a call with the fault `SHORT` transfers.
const SHORT_LENGTH: usize = 1;

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

/// The group of functions that a rule applies to.
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

/// The fault of a call.
#[derive(Clone, Copy)]
enum Fault {
    Error(c_int),
    Short,
    Step,
}

struct Rule {
    call: Call,
    fault: Fault,
    /// Number of calls that fail; `None`: [`Rule::rate`] decides for each call.
    first: Option<usize>,
    /// Calls that were counted for `first`.
    calls: AtomicUsize,
    /// Probability with which a call fails.
    rate: f64,
    from_s: f64,
    until_s: f64,
    step_s: f64,
}

struct Rules {
    rules: Vec<Rule>,
    random_state: AtomicU64,
    /// Monotonic time at which the rules were parsed, seconds.
    started_s: f64,
}

fn abort_on_invalid(rule: &str) -> ! {
    eprintln!("FAULT_RULES: invalid rule {rule:?}");
    std::process::abort();
}

impl Rule {
    fn parse(text: &str) -> Rule {
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
            _ => abort_on_invalid(text),
        };
        let fault = match parts.next() {
            Some("SHORT") => Fault::Short,
            Some("STEP") => Fault::Step,
            Some(name) => match ERRORS.iter().find(|e| e.0 == name) {
                Some(error) => Fault::Error(error.1),
                None => abort_on_invalid(text),
            },
            None => abort_on_invalid(text),
        };
        let mut rule = Rule {
            call,
            fault,
            first: None,
            calls: AtomicUsize::new(0),
            rate: 1.0,
            from_s: 0.0,
            until_s: f64::MAX,
            step_s: 0.0,
        };
        for part in parts {
            let Some((key, value)) = part.split_once('=') else {
                abort_on_invalid(text)
            };
            let Ok(number) = value.parse::<f64>() else {
                abort_on_invalid(text)
            };
            match key {
                "first" => rule.first = Some(number as usize),
                "rate" => rule.rate = number,
                "from" => rule.from_s = number,
                "until" => rule.until_s = number,
                "by" => rule.step_s = number,
                _ => abort_on_invalid(text),
            }
        }
        rule
    }
}

impl Rules {
    /// Parses `FAULT_RULES` and `FAULT_SEED`.
    fn from_environment() -> Rules {
        let text = std::env::var("FAULT_RULES").unwrap_or_default();
        let seed: u64 = std::env::var("FAULT_SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(1);
        let rules = text
            .split(';')
            .filter(|r| !r.is_empty())
            .map(Rule::parse)
            .collect();
        Rules {
            rules,
            random_state: AtomicU64::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
            started_s: monotonic_s(),
        }
    }

    /// A random number in `[0, 1)` (xorshift64*).
    fn random(&self) -> f64 {
        let mut state = self.random_state.load(Ordering::Relaxed);
        state ^= state >> 12;
        state ^= state << 25;
        state ^= state >> 27;
        self.random_state.store(state, Ordering::Relaxed);
        (state.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn is_active(&self, rule: &Rule) -> bool {
        let elapsed_s = monotonic_s() - self.started_s;
        elapsed_s >= rule.from_s && elapsed_s < rule.until_s
    }

    /// The fault of a call, from the first active rule that applies to it.
    fn fault(&self, call: Call) -> Option<Fault> {
        let mut rules = self
            .rules
            .iter()
            .filter(|r| r.call == call && self.is_active(r));
        let applies = |r: &&Rule| match r.first {
            Some(first) => r.calls.fetch_add(1, Ordering::Relaxed) < first,
            None => self.random() < r.rate,
        };
        rules.find(applies).map(|r| r.fault)
    }

    /// Seconds by which the wall clock is moved at present.
    fn clock_step_s(&self) -> f64 {
        self.rules
            .iter()
            .filter(|r| r.call == Call::Clock && self.is_active(r))
            .map(|r| r.step_s)
            .sum()
    }
}

fn rules() -> &'static Rules {
    static RULES: OnceLock<Rules> = OnceLock::new();
    RULES.get_or_init(Rules::from_environment)
}

/// The C library's function of this name. Its address is cached in `slot`.
///
/// # Safety
/// `F` has to be the type of that function.
unsafe fn next_symbol<F: Copy>(slot: &'static OnceLock<usize>, name: &CStr) -> F {
    let address = *slot.get_or_init(|| dlsym(RTLD_NEXT, name.as_ptr()) as usize);
    assert!(address != 0, "the C library has no {name:?}");
    std::mem::transmute_copy::<usize, F>(&address)
}

type ClockGettime = unsafe extern "C" fn(c_int, *mut Timespec) -> c_int;

/// Calls the C library's `clock_gettime`.
fn real_clock_gettime(clock: c_int, time: &mut Timespec) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    // SAFETY: the type is that of clock_gettime, and `time` is a timespec.
    unsafe { next_symbol::<ClockGettime>(&SLOT, c"clock_gettime")(clock, time) }
}

/// The monotonic clock, seconds.
fn monotonic_s() -> f64 {
    let mut time = Timespec {
        seconds: 0,
        nanoseconds: 0,
    };
    real_clock_gettime(CLOCK_MONOTONIC, &mut time);
    time.seconds as f64 + time.nanoseconds as f64 / 1e9
}

/// Sets `errno` and returns -1.
fn fail(error: c_int) -> isize {
    // SAFETY: the returned pointer is valid for this thread.
    unsafe { *__errno_location() = error };
    -1
}

/// The length to pass to the C library, or the error with which the call fails.
fn faulted_length(call: Call, requested: usize) -> Result<usize, c_int> {
    match rules().fault(call) {
        Some(Fault::Error(error)) => Err(error),
        Some(Fault::Short) => Ok(requested.min(SHORT_LENGTH)),
        Some(Fault::Step) | None => Ok(requested),
    }
}

/// # Safety
/// As of clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let Some(time) = time.as_mut() else {
        return fail(EFAULT) as c_int;
    };
    let result = real_clock_gettime(clock, time);
    if result == 0 && clock == CLOCK_REALTIME {
        let step_s = rules().clock_step_s();
        time.seconds += step_s as c_long;
    }
    result
}

/// # Safety
/// As for socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Socket) {
        return fail(error) as c_int;
    }
    next_symbol::<unsafe extern "C" fn(c_int, c_int, c_int) -> c_int>(&SLOT, c"socket")(
        domain, kind, protocol,
    )
}

/// # Safety
/// As for connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const c_void, length: u32) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Connect) {
        return fail(error) as c_int;
    }
    next_symbol::<unsafe extern "C" fn(c_int, *const c_void, u32) -> c_int>(&SLOT, c"connect")(
        fd, address, length,
    )
}

/// # Safety
/// As for accept4(2).
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
    next_symbol::<Accept>(&SLOT, c"accept4")(fd, address, length, flags)
}

/// # Safety
/// As for recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    requested: usize,
    flags: c_int,
) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match faulted_length(Call::Receive, requested) {
        Err(error) => fail(error),
        Ok(length) => {
            type Receive = unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize;
            next_symbol::<Receive>(&SLOT, c"recv")(fd, buffer, length, flags)
        }
    }
}

/// # Safety
/// As for send(2).
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    requested: usize,
    flags: c_int,
) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match faulted_length(Call::Send, requested) {
        Err(error) => fail(error),
        Ok(length) => {
            type Send = unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> isize;
            next_symbol::<Send>(&SLOT, c"send")(fd, buffer, length, flags)
        }
    }
}

/// # Safety
/// As for read(2).
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, requested: usize) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match faulted_length(Call::Read, requested) {
        Err(error) => fail(error),
        Ok(length) => {
            type Read = unsafe extern "C" fn(c_int, *mut c_void, usize) -> isize;
            next_symbol::<Read>(&SLOT, c"read")(fd, buffer, length)
        }
    }
}

/// # Safety
/// As for pwrite(2).
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    fd: c_int,
    buffer: *const c_void,
    requested: usize,
    offset: i64,
) -> isize {
    static SLOT: OnceLock<usize> = OnceLock::new();
    match faulted_length(Call::Write, requested) {
        Err(error) => fail(error),
        Ok(length) => {
            type Write = unsafe extern "C" fn(c_int, *const c_void, usize, i64) -> isize;
            next_symbol::<Write>(&SLOT, c"pwrite64")(fd, buffer, length, offset)
        }
    }
}

/// # Safety
/// As for fdatasync(2).
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Sync) {
        return fail(error) as c_int;
    }
    next_symbol::<unsafe extern "C" fn(c_int) -> c_int>(&SLOT, c"fdatasync")(fd)
}

/// # Safety
/// As for fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    static SLOT: OnceLock<usize> = OnceLock::new();
    if let Some(Fault::Error(error)) = rules().fault(Call::Sync) {
        return fail(error) as c_int;
    }
    next_symbol::<unsafe extern "C" fn(c_int) -> c_int>(&SLOT, c"fsync")(fd)
}
