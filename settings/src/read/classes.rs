//! Reads classes and tenants.

use crate::record::RecordReader;
use tansy_syntax::Diagnostic;
use tansyrouter as router;

/// Reads all classes.
pub(super) fn classes(
    records: &[(&str, RecordReader<'_>)],
    errors: &mut Vec<Diagnostic>,
) -> Option<Vec<router::Class>> {
    records
        .iter()
        .map(|(name, record)| class(*record, name, errors))
        .collect()
}

fn class(
    record: RecordReader<'_>,
    name: &str,
    errors: &mut Vec<Diagnostic>,
) -> Option<router::Class> {
    let effect = effect(record)?;
    check_window(record, name, effect, errors);
    check_objective(record, name, errors)?;
    Some(router::Class {
        latency_objective: record.int("aim")?,
        objective_per_work: record.number("aim_stretch")?,
        deadline: record.int("deadline")?,
        effect,
        priority_weight: record.number("worth")?,
        late_weight: record.number("late_worth")?,
        streamed: record.bool("streamed")?,
    })
}

/// The effect of a retried call.
fn effect(record: RecordReader<'_>) -> Option<router::Effect> {
    let window = record.int("window")?;
    let group = match record.text("group")? {
        "zone" => router::DedupGroup::Zone,
        "cell" => router::DedupGroup::Cell,
        _ => router::DedupGroup::All,
    };
    Some(match record.text("effect")? {
        "keyed" => router::Effect::Keyed { group, window },
        "unsafe" => router::Effect::Unsafe,
        _ => router::Effect::Safe,
    })
}

/// Checks that a keyed class has a deduplication window.
fn check_window(
    record: RecordReader<'_>,
    name: &str,
    effect: router::Effect,
    errors: &mut Vec<Diagnostic>,
) {
    if matches!(effect, router::Effect::Keyed { window, .. } if window <= 0) {
        errors.push(record.error(
            "window",
            &format!("classes.{name}.window"),
            "a keyed class needs a window".to_string(),
            "expected the time for which its workers drop duplicates, for example window: 30s",
        ));
    }
}

/// Checks that the latency objective is not after the deadline.
fn check_objective(
    record: RecordReader<'_>,
    name: &str,
    errors: &mut Vec<Diagnostic>,
) -> Option<()> {
    if record.int("aim")? > record.int("deadline")? {
        errors.push(record.error(
            "aim",
            &format!("classes.{name}.aim"),
            "the aim is after the deadline".to_string(),
            "expected an aim of at most the deadline",
        ));
    }
    Some(())
}

/// Reads all tenants.
pub(super) fn tenants(records: &[(&str, RecordReader<'_>)]) -> Option<Vec<router::Tenant>> {
    let tenant = |(_, record): &(&str, RecordReader<'_>)| {
        Some(router::Tenant {
            quota_per_s: record.number("quota_per_s")?,
            fraction: record.number("fraction")?,
        })
    };
    records.iter().map(tenant).collect()
}
