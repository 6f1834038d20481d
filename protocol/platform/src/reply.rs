//! Parses a worker's answer, `ID WORD FIELDS BODY`, and converts it to the outcome and trailers that the dispatcher expects.
//!
//! | status word | outcome | may have run |
//! |---|---|---|
//! | `200` | OK with a response | yes |
//! | `404` | never ran: the function is not loaded | no |
//! | `503` | never ran: the worker rejected the call | no |
//! | `504` | never ran: the call's time had expired | no |
//! | `500` and any other | an error | yes |
//!
//! The word of the answer to a probe is `alive`; on an attempt it is an error like any other unknown word.

use tansy_dispatch::{AttemptOutcome, CacheStatus, LoadReport, NeverRan, ResponseStage, Trailers};

/// The number of strings of an answer: the tag, the status word, the fields and the body.
const ANSWER_STRINGS: usize = 4;
/// The status word of the answer to a probe.
const PROBE_WORD: &[u8] = b"alive";
/// The fields of an answer that has none.
const NO_FIELDS: &str = "-";

/// A worker's answer to an attempt or a control request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerAnswer<'a> {
    /// The request id of the attempt, or the tag of the control request.
    pub tag: &'a [u8],
    /// What the status word and the fields state about an attempt or an order.
    pub reply: WorkerReply,
    /// Whether it answers a probe.
    pub answers_probe: bool,
    /// The body.
    pub body: &'a [u8],
}

/// The status word and the fields of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerReply {
    /// The outcome of the attempt or control request.
    pub outcome: AttemptOutcome,
    /// The reply's fields as trailers.
    pub trailers: Trailers,
}

/// Why an array is not an answer. Nothing that it states can be relied on, and the position of the next answer on its
/// connection is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// An array that does not have the four strings of an answer.
    #[error("an answer of {length} strings; want {ANSWER_STRINGS}")]
    Length {
        /// The number of strings.
        length: usize,
    },
    /// Fields that are neither absent nor a list.
    #[error("malformed fields; want name=value,name=value or {NO_FIELDS}")]
    Fields,
    /// A field that has to be a number and is not.
    #[error("field {name}: want a number")]
    Number {
        /// The name of the field.
        name: &'static str,
    },
}

// gRPC status codes, as the dispatcher expects them.
const OK: u8 = 0;
const INTERNAL: u8 = 13;
const UNAVAILABLE: u8 = 14;

/// Parses the strings of an answer. `reports_concurrency`: the settings state that answers report the number of
/// concurrent calls.
///
/// # Errors
/// If a string is missing or the fields are malformed: no part of an answer has a default, since a worker's answer may
/// arrive damaged.
pub fn parse_answer<'a>(
    strings: &[&'a [u8]],
    reports_concurrency: bool,
) -> Result<WorkerAnswer<'a>, AnswerError> {
    let &[tag, word, fields, body] = strings else {
        return Err(AnswerError::Length {
            length: strings.len(),
        });
    };
    let reply = parse_reply(word, fields, reports_concurrency)?;
    Ok(WorkerAnswer {
        tag,
        reply,
        answers_probe: word == PROBE_WORD,
        body,
    })
}

/// Parses the status word and the fields of an answer.
fn parse_reply(
    word: &[u8],
    fields: &[u8],
    reports_concurrency: bool,
) -> Result<WorkerReply, AnswerError> {
    let (outcome, never_ran) = parse_status(word);
    let trailers = Trailers {
        never_ran,
        ..parse_fields(fields, reports_concurrency)?
    };
    Ok(WorkerReply { outcome, trailers })
}

fn parse_status(word: &[u8]) -> (AttemptOutcome, Option<NeverRan>) {
    let (code, stage, never_ran) = match word {
        b"200" => (OK, ResponseStage::Last, None),
        b"404" => (
            UNAVAILABLE,
            ResponseStage::Headers,
            Some(NeverRan::NotLoaded),
        ),
        b"503" => (
            UNAVAILABLE,
            ResponseStage::Headers,
            Some(NeverRan::TurnedAway),
        ),
        b"504" => (UNAVAILABLE, ResponseStage::Headers, Some(NeverRan::Expired)),
        _ => (INTERNAL, ResponseStage::Headers, None),
    };
    (AttemptOutcome::Status { code, stage }, never_ran)
}

/// Parses the fields, `name=value,name=value`. Unknown fields are ignored.
fn parse_fields(fields: &[u8], reports_concurrency: bool) -> Result<Trailers, AnswerError> {
    let mut trailers = Trailers {
        // An answer without the field reports that there were no others.
        concurrent_calls: reports_concurrency.then_some(0),
        ..Trailers::default()
    };
    let text = std::str::from_utf8(fields).map_err(|_| AnswerError::Fields)?;
    if text == NO_FIELDS {
        return Ok(trailers);
    }
    for field in text.split(',') {
        let (name, value) = field.split_once('=').ok_or(AnswerError::Fields)?;
        match name {
            "n" => trailers.cache_status = cache_status(value),
            "peers_in" if reports_concurrency => {
                trailers.concurrent_calls = Some(parse_number("peers_in", value)?);
            }
            "replicas" => trailers.instances = Some(parse_number("replicas", value)?),
            "l" => trailers.report = Some(load_report(value)),
            _ => {}
        }
    }
    Ok(trailers)
}

fn parse_number(name: &'static str, value: &str) -> Result<u32, AnswerError> {
    value.parse().map_err(|_| AnswerError::Number { name })
}

fn cache_status(note: &str) -> CacheStatus {
    match note {
        "ready" => CacheStatus::Warm,
        "loaded" => CacheStatus::StartedLoad,
        "queued" => CacheStatus::AwaitedLoad,
        "no_image" => CacheStatus::LoadFailed,
        _ => CacheStatus::Unreported,
    }
}

/// Parses a load report, `name:value;name:value`. Two sets of names are accepted for the same metrics.
fn load_report(text: &str) -> LoadReport {
    let fields = text.split(';').filter_map(|field| field.split_once(':'));
    let fields = fields.map(|(name, value)| {
        let name = match name {
            "queue" => "depth",
            "inflight" => "concurrent",
            "util" => "load_share",
            "latency_ms" => "mean_ms",
            "qps" => "tps",
            "eps" => "err_ps",
            other => other,
        };
        let value = value.parse::<f64>().ok();
        (name, value.filter(|value| value.is_finite()))
    });
    let report = tansy_conf::load_report(fields);
    LoadReport {
        queued: report.queued,
        in_flight: report.in_flight,
        busy: report.utilization,
        memory_pinned: report.memory_pinned,
        loads: report.loads,
        mean_ms: report.mean_ms,
        served_per_s: report.served_per_s,
        errors_per_s: report.errors_per_s,
    }
}
