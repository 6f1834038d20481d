//! Parses a client's request to a call. Requests that deviate from the protocol's exact form are rejected.

use tansy_conf::{InstanceSettings, KEYED_EFFECT};
use tansy_dispatch::FunctionShape;
use tansyrouter::Micros;

/// The number of hex digits of an id.
pub const ID_DIGITS: usize = 16;
/// A request's id, as hex digits.
pub type RequestId = [u8; ID_DIGITS];

/// The part of a request that is invalid, and the form that is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The method is not POST.
    #[error("method: want POST")]
    Method,
    /// The path is not that of a call.
    #[error("path: want /ops/FUNCTION/call")]
    Path,
    /// The request id is missing, repeated or malformed.
    #[error("X-Request-Id: want 16 lower-case hex digits, once")]
    RequestId,
    /// The class is missing or repeated.
    #[error("X-Class: want one of the settings, once")]
    MissingClass,
    /// The settings do not define the class.
    #[error("X-Class: want one of the settings")]
    UnknownClass,
    /// The timeout is missing, malformed or out of range.
    #[error("X-Timeout-Ms: want milliseconds, up to the class's deadline")]
    Timeout,
    /// The extras are missing or repeated.
    #[error("X-Extras: want memory_mb and lanes")]
    MissingExtras,
    /// The extras are malformed or out of range.
    #[error("X-Extras: want memory_mb:MB;lanes:N in their ranges")]
    Extras,
    /// The idempotency key is missing or malformed, and the class requires one.
    #[error("Idempotency-Key: want up to 128 letters, digits, '-' or '_', once, with this class")]
    IdempotencyKey,
}

impl RequestError {
    /// The HTTP status of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Method => 405,
            RequestError::Path => 404,
            _ => 400,
        }
    }
}

/// A call as a client requested it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The function's id, 16 hex digits.
    pub function: String,
    /// The class, as an index into the classes of the settings.
    pub class: usize,
    /// The client's timeout, microseconds.
    pub budget: Micros,
    /// The function's memory, lanes and load time, as stated by the client.
    pub shape: FunctionShape,
    /// The idempotency key; present if the class is keyed.
    pub key: Option<String>,
}

impl CallRequest {
    /// The fields of an attempt as sent to a worker. `class` is the name of the class, `patience_ms` the rest of the client's
    /// timeout in milliseconds.
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
    deadline: Micros,
    /// Whether requests must carry an idempotency key.
    is_keyed: bool,
}

/// The classes and limits that requests are validated against.
#[derive(Clone, Debug)]
pub struct RequestSchema {
    classes: Vec<Class>,
    max_memory_mb: f64,
    max_load_ms: f64,
}

/// The most memory of an instance if the settings define no machine kind, MB.
const DEFAULT_MAX_MEMORY_MB: f64 = 1e6;
/// The most characters of an idempotency key.
const MAX_KEY_LENGTH: usize = 128;
/// The most lanes of an instance.
const MAX_LANES: f64 = 256.0;

fn parse_hex_id(text: &str) -> Option<RequestId> {
    let bytes: RequestId = text.as_bytes().try_into().ok()?;
    let is_digit = |byte: &u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(byte);
    bytes.iter().all(is_digit).then_some(bytes)
}

/// Whether a text is valid as an idempotency key, which is sent to workers as one value in a list of fields.
fn is_token(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= MAX_KEY_LENGTH && text.bytes().all(is_plain)
}

/// Parses a positive decimal number without sign or exponent.
fn parse_positive(text: &str) -> Option<f64> {
    let is_plain = text.len() <= 16
        && text.starts_with(|first: char| first.is_ascii_digit())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse()
        .ok()
        .filter(|number: &f64| is_plain && number.is_finite() && *number > 0.0)
}

/// The function in a path of the form `/ops/FUNCTION/call`.
fn parse_path(target: &str) -> Option<&str> {
    let mut parts = target.split('/');
    let (lead, ops, function, tail) = (parts.next(), parts.next(), parts.next(), parts.next());
    let is_call =
        lead == Some("") && ops == Some("ops") && tail == Some("call") && parts.next().is_none();
    function.filter(|function| is_call && parse_hex_id(function).is_some())
}

impl RequestSchema {
    /// Creates the schema of the settings.
    pub fn new(settings: &InstanceSettings) -> RequestSchema {
        let largest = settings
            .specifics
            .kind_memory_mb
            .iter()
            .copied()
            .fold(0.0, f64::max);
        let load_ms = settings.specifics.load_wait_s * 1e3;
        let class = |class: &tansy_conf::Class| Class {
            name: class.name.clone(),
            deadline: tansy_conf::micros(class.deadline_s),
            is_keyed: class.effect == KEYED_EFFECT,
        };
        RequestSchema {
            classes: settings.classes.iter().map(class).collect(),
            max_memory_mb: if largest > 0.0 {
                largest
            } else {
                DEFAULT_MAX_MEMORY_MB
            },
            max_load_ms: if load_ms > 0.0 { load_ms } else { f64::MAX },
        }
    }

    /// The name of a class; empty if the index is out of range.
    pub fn class(&self, index: usize) -> &str {
        self.classes
            .get(index)
            .map_or("", |class| class.name.as_str())
    }

    /// Parses a request. `header` returns the value of a header, or `None` if it is absent or repeated.
    pub fn read<'a>(
        &self,
        method: &str,
        target: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> Result<CallRequest, RequestError> {
        if method != "POST" {
            return Err(RequestError::Method);
        }
        let function = parse_path(target).ok_or(RequestError::Path)?;
        let id = header("x-request-id").and_then(parse_hex_id);
        let id = id.ok_or(RequestError::RequestId)?;
        let name = header("x-class").ok_or(RequestError::MissingClass)?;
        let index = self.classes.iter().position(|class| class.name == name);
        let index = index.ok_or(RequestError::UnknownClass)?;
        let class = &self.classes[index];
        let budget = header("x-timeout-ms")
            .and_then(parse_positive)
            .map(|ms| (ms * 1e3) as Micros);
        // The timeout may not exceed the deadline of the class, apart from rounding.
        let max_budget = class.deadline + 1_000;
        let budget = budget.filter(|budget| (1..=max_budget).contains(budget));
        let budget = budget.ok_or(RequestError::Timeout)?;
        let extras = header("x-extras").ok_or(RequestError::MissingExtras)?;
        let shape = self.parse_shape(extras).ok_or(RequestError::Extras)?;
        let key = if class.is_keyed {
            let key = header("idempotency-key").filter(|key| is_token(key));
            Some(key.ok_or(RequestError::IdempotencyKey)?.to_string())
        } else {
            None
        };
        Ok(CallRequest {
            id,
            function: function.to_string(),
            class: index,
            budget,
            shape,
            key,
        })
    }

    fn parse_shape(&self, text: &str) -> Option<FunctionShape> {
        let (mut memory_mb, mut lanes, mut load_ms) = (None, None, None);
        for part in text.split(';') {
            let (name, value) = part.split_once(':')?;
            let slot = match name {
                "memory_mb" => &mut memory_mb,
                "lanes" => &mut lanes,
                "load_ms" => &mut load_ms,
                _ => return None,
            };
            if slot.replace(parse_positive(value)?).is_some() {
                return None;
            }
        }
        let memory_mb = memory_mb.filter(|memory| *memory <= self.max_memory_mb)?;
        let lanes = lanes.filter(|lanes| lanes.fract() == 0.0 && *lanes <= MAX_LANES)?;
        if load_ms.is_some_and(|load| load > self.max_load_ms) {
            return None;
        }
        Some(FunctionShape {
            lanes: lanes as u32,
            memory_mb,
            load_time: load_ms.map(|ms| (ms * 1e3) as Micros),
        })
    }
}
