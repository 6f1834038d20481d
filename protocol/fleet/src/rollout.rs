//! Encodes and decodes rollout entries, the state of a rollout, and the counters that the analysis of a rollout reads.

use crate::fleet_state::{decode_settings, encode_settings};
use crate::values::bounded_text;
use crate::{pb, DecodeError};
use std::collections::BTreeMap;
use tansy_agreement::compatibility::Fields;
use tansy_agreement::log::VersionedSettings;
use tansy_canary::{FrontEndReport, RequestCounters};
use tansy_rollout::{FrontEndObservation, Rollout, RolloutEntry};

/// The most distinct latencies that a class may report.
const MAX_LATENCIES: usize = 4096;

/// Encodes a rollout entry. `fields` is the version to roll out, with the entry that starts a rollout of settings.
pub fn encode_rollout_entry(
    entry: &RolloutEntry,
    fields: Option<&VersionedSettings>,
) -> pb::RolloutLogEntry {
    pb::RolloutLogEntry {
        // Plain data always has an encoding.
        entry: serde_json::to_string(entry).unwrap_or_default(),
        fields: fields.map(encode_settings),
    }
}

/// Decodes a rollout entry and the fields that it carries, if any.
pub fn decode_rollout_entry(
    rollout: pb::RolloutLogEntry,
) -> Result<(RolloutEntry, Option<Fields>), DecodeError> {
    let entry = serde_json::from_str(&rollout.entry)
        .map_err(|error| DecodeError::Malformed(format!("rollout entry: {error}")))?;
    let settings = rollout.fields.map(decode_settings).transpose()?;
    Ok((entry, settings.map(|settings| settings.fields)))
}

/// Decodes the last rollout that a voter knows; `None` if there was none.
pub fn decode_rollout(text: &str) -> Result<Option<Rollout>, DecodeError> {
    if text.is_empty() {
        return Ok(None);
    }
    serde_json::from_str(text)
        .map(Some)
        .map_err(|error| DecodeError::Malformed(format!("rollout: {error}")))
}

/// Decodes a front end's counters as an observation during a rollout. `is_canary`: the front end is in the canary group.
pub fn decode_counters(
    reply: pb::CountsReply,
    is_canary: bool,
) -> Result<FrontEndObservation, DecodeError> {
    let mut classes = BTreeMap::new();
    for mut class in reply.classes {
        let name = std::mem::take(&mut class.class);
        let counters = decode_request_counters(class)?;
        classes.insert(bounded_text(name, "class")?, counters);
    }
    let report = FrontEndReport {
        name: bounded_text(reply.name, "name")?,
        zone: bounded_text(reply.zone, "zone")?,
        is_canary,
        incarnation: reply.incarnation,
        uptime_seconds: reply.uptime as f64 / 1e6,
        classes,
        memory_mb: reply.memory_bytes as f64 / 1e6,
        guard_interventions: reply.guard_interventions,
    };
    Ok(FrontEndObservation {
        ready: reply.ready,
        report,
    })
}

fn decode_request_counters(class: pb::ClassCounters) -> Result<RequestCounters, DecodeError> {
    if class.latencies.len() != class.latency_counts.len() || class.latencies.len() > MAX_LATENCIES
    {
        return Err(DecodeError::MissingPart("list of latencies"));
    }
    if !(class.value_requested.is_finite() && class.value_served.is_finite()) {
        return Err(DecodeError::MissingPart("value of requests"));
    }
    let mut counters = RequestCounters {
        requested: class.requests,
        served: class.served,
        rejected: class.rejected,
        failed: class.failed,
        value_requested: class.value_requested,
        value_served: class.value_served,
        ..Default::default()
    };
    for (latency, calls) in class.latencies.into_iter().zip(class.latency_counts) {
        // A histogram's memory grows with the logarithm of the largest latency, so that no value can exhaust memory.
        counters
            .latency
            .record_n(latency, calls)
            .map_err(|_| DecodeError::MissingPart("latency"))?;
    }
    Ok(counters)
}
