//! A client's request to a call: only the page's exact form is one.

use tansy_conf::Conf;
use tansy_dispatch::FunctionShape;
use tansyrouter::Span;

/// Digits of an id.
pub const ID: usize = 16;
/// A request's id as it came.
pub type RequestId = [u8; ID];

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadCall {
    /// The HTTP status.
    pub status: u16,
    /// What is wrong.
    pub what: &'static str,
}

/// A call as a client asked for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// The request's id.
    pub id: RequestId,
    /// The function, 16 hex digits.
    pub function: String,
    /// The class's place in the settings.
    pub class: usize,
    /// How long the client waits, microseconds.
    pub budget: Span,
    /// What it tells of its function.
    pub shape: FunctionShape,
    /// By which workers drop its repeats: that of a keyed class, as it came.
    pub key: Option<String>,
}

impl Asked {
    /// The fields of an attempt that a worker is sent, `class` being the class's name and `patience_ms` what is left of the
    /// client's time, milliseconds.
    pub fn fields(&self, class: &str, patience_ms: i64) -> String {
        let key = self
            .key
            .as_ref()
            .map_or(String::new(), |key| format!(",op={key}"));
        format!(
            "sort={class},asset={},patience={patience_ms}{key}",
            self.function
        )
    }
}

#[derive(Clone, Debug)]
struct Class {
    name: String,
    deadline: Span,
    /// Its requests carry a key.
    keyed: bool,
}

/// Classes and bounds that requests are held against.
#[derive(Clone, Debug)]
pub struct Shapes {
    classes: Vec<Class>,
    most_memory: f64,
    most_load_ms: f64,
}

/// Memory of one copy at most where the settings tell of no machine, MB.
const MOST_MEMORY: f64 = 1e6;
/// Characters of an idempotency key at most.
const MOST_KEY: usize = 128;
/// Lanes of one copy at most: as many as copies can be asked for at once, squared.
const MOST_LANES: f64 = 256.0;

fn bad(what: &'static str) -> BadCall {
    BadCall { status: 400, what }
}

fn hex(text: &str) -> Option<RequestId> {
    let bytes: RequestId = text.as_bytes().try_into().ok()?;
    let ok = |b: &u8| b.is_ascii_digit() || (b'a'..=b'f').contains(b);
    bytes.iter().all(ok).then_some(bytes)
}

/// What passes as one value of a list of fields.
fn token(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.len() <= MOST_KEY && text.bytes().all(plain)
}

/// A plain positive figure: digits, with a fraction perhaps.
fn figure(text: &str) -> Option<f64> {
    let plain = !text.is_empty()
        && text.len() <= 16
        && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let plain = plain && text.starts_with(|c: char| c.is_ascii_digit());
    text.parse()
        .ok()
        .filter(|x: &f64| plain && x.is_finite() && *x > 0.0)
}

impl Shapes {
    /// From the settings.
    pub fn new(conf: &Conf) -> Shapes {
        let most = conf
            .specifics
            .kind_memory_mb
            .iter()
            .copied()
            .fold(0.0, f64::max);
        let load = conf.specifics.load_wait_s * 1e3;
        let class = |c: &tansy_conf::Class| Class {
            name: c.name.clone(),
            deadline: tansy_conf::span(c.deadline_s),
            keyed: c.effect == tansy_conf::KEYED,
        };
        Shapes {
            classes: conf.classes.iter().map(class).collect(),
            most_memory: if most > 0.0 { most } else { MOST_MEMORY },
            most_load_ms: if load > 0.0 { load } else { f64::MAX },
        }
    }

    /// A class's name.
    pub fn class(&self, place: usize) -> &str {
        self.classes.get(place).map_or("", |c| c.name.as_str())
    }

    /// Reads a request by its method, target and the one value of each header.
    pub fn read<'a>(
        &self,
        method: &str,
        target: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> Result<Asked, BadCall> {
        if method != "POST" {
            return Err(BadCall {
                status: 405,
                what: "method: want POST",
            });
        }
        let mut parts = target.split('/');
        let (lead, ops, function, tail) = (parts.next(), parts.next(), parts.next(), parts.next());
        let path = lead == Some("")
            && ops == Some("ops")
            && tail == Some("call")
            && parts.next().is_none();
        let function = function.filter(|f| path && hex(f).is_some());
        let function = function.ok_or(BadCall {
            status: 404,
            what: "path: want /ops/FUNCTION/call",
        })?;
        let id = header("x-request-id").and_then(hex);
        let id = id.ok_or(bad("X-Request-Id: want 16 lower-case hex digits, once"))?;
        let named = header("x-class").ok_or(bad("X-Class: want one of the settings, once"))?;
        let class = self.classes.iter().position(|c| c.name == named);
        let class = class.ok_or(bad("X-Class: want one of the settings"))?;
        let of = &self.classes[class];
        let wait = header("x-timeout-ms")
            .and_then(figure)
            .map(|ms| (ms * 1e3) as Span);
        // A client waits no longer than its class does, but for the rounding of the figure.
        let most = of.deadline + 1_000;
        let budget = wait.filter(|w| (1..=most).contains(w));
        let budget = budget.ok_or(bad(
            "X-Timeout-Ms: want milliseconds, up to the class's deadline",
        ))?;
        let shape =
            self.shape(header("x-extras").ok_or(bad("X-Extras: want memory_mb and lanes"))?);
        let shape = shape.ok_or(bad("X-Extras: want memory_mb:MB;lanes:N in their ranges"))?;
        let key = if of.keyed {
            let key = header("idempotency-key").filter(|k| token(k));
            let why = "Idempotency-Key: want up to 128 letters, digits, '-' or '_', once, with this class";
            Some(key.ok_or(bad(why))?.to_string())
        } else {
            None
        };
        Ok(Asked {
            id,
            function: function.to_string(),
            class,
            budget,
            shape,
            key,
        })
    }

    fn shape(&self, text: &str) -> Option<FunctionShape> {
        let (mut memory, mut lanes, mut load) = (None, None, None);
        for part in text.split(';') {
            let (name, value) = part.split_once(':')?;
            let slot = match name {
                "memory_mb" => &mut memory,
                "lanes" => &mut lanes,
                "load_ms" => &mut load,
                _ => return None,
            };
            if slot.replace(figure(value)?).is_some() {
                return None;
            }
        }
        let memory_mb = memory.filter(|m| *m <= self.most_memory)?;
        let lanes = lanes.filter(|l| l.fract() == 0.0 && *l <= MOST_LANES)? as u32;
        if load.is_some_and(|l| l > self.most_load_ms) {
            return None;
        }
        Some(FunctionShape {
            lanes,
            memory_mb,
            load_time: load.map(|ms| (ms * 1e3) as Span),
        })
    }
}
