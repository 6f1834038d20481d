//! The subscriptions of a member and the leader's record of them.

use super::support::member;
use super::{apply, fields, finish, new_log, reply_to, schema, transaction, update, SESSION};
use tansy_agreement::lease::Versioned;
use tansy_agreement::log::{FleetState, Log, Revision};
use tansy_agreement::scope::{scope_number, ChangeHistory, ScopeRecord, MAX_NAME_BYTES};
use tansy_agreement::session::{SessionTable, SubscribeOutcome};
use tansy_agreement::subscription::{
    Admission, RejectReason, ScopeSubscriptions, SubscribeReply, SubscribeRequest,
    SubscriptionLimits, MAX_SCOPES_PER_REQUEST, MAX_SUBSCRIPTIONS, MAX_UNSUBSCRIBES_PER_REQUEST,
};

fn subscriber_and_table() -> (Log, SessionTable, ScopeSubscriptions) {
    let mut log = new_log();
    apply(
        &mut log,
        vec![transaction(1, vec![update("a", 0, Some(fields(1, 4)))])],
    );
    finish(&mut log, false);
    (
        log,
        SessionTable::new(SESSION, [member(1)], 0),
        ScopeSubscriptions::new(member(1), SubscriptionLimits::default(), 0),
    )
}

/// Exchanges messages until none is left to send.
fn synchronize(
    log: &Log,
    table: &mut SessionTable,
    subscriptions: &mut ScopeSubscriptions,
    now: &mut i64,
) {
    for _ in 0..200 {
        *now += 20_000;
        subscriptions.on_state(*now, log.state(), &schema());
        if let Some(request) = subscriptions.tick(*now, log.state().revision, true) {
            if let Some(reply) = reply_to(log, table, &request) {
                subscriptions.on_reply(*now, reply, Some(log.state()), &schema());
            }
        }
    }
}

/// A leader's log and table, and a member that exchanges messages with it.
struct Exchange {
    log: Log,
    table: SessionTable,
    subscriptions: ScopeSubscriptions,
    now: i64,
}

#[test]
fn invalid_and_late_messages_are_ignored() {
    let (log, table, subscriptions) = subscriber_and_table();
    let mut exchange = Exchange {
        log,
        table,
        subscriptions,
        now: 0,
    };
    check_admission(&mut exchange);
    let (request, valid) = request_another_scope(&mut exchange);
    check_invalid_replies(&mut exchange, &request, &valid);
    check_ignored_requests(&mut exchange, &request);
    check_missing_history(&mut exchange, valid);
}

/// Calls wait until the record of their scope is known.
fn check_admission(exchange: &mut Exchange) {
    let Exchange {
        log,
        table,
        subscriptions,
        now,
        ..
    } = exchange;
    let schema = &schema();
    assert_eq!(
        subscriptions.admit(*now, schema, &"x".repeat(MAX_NAME_BYTES + 1), true),
        Admission::Reject(RejectReason::NameTooLong)
    );
    assert_eq!(
        table
            .subscribers_behind(scope_number("a"), Revision(0))
            .count(),
        1,
        "a member that has not declared its scopes may subscribe to any"
    );
    assert_eq!(
        subscriptions.admit(*now, schema, "a", true),
        Admission::Wait
    );
    assert_eq!(
        subscriptions.admit(*now, schema, "none", true),
        Admission::Wait
    );
    synchronize(log, table, subscriptions, now);
    assert_eq!(
        subscriptions.admit(*now, schema, "a", true),
        Admission::Admit(fields(1, 4))
    );
    assert_eq!(
        subscriptions.admit(*now, schema, "a", false),
        Admission::Admit(fields(1, 1)),
        "without a lease at the most restrictive value"
    );
    assert_eq!(
        subscriptions.admit(*now, schema, "none", true),
        Admission::Unknown
    );
    assert_eq!(
        table
            .subscribers_behind(scope_number("b"), Revision(99))
            .count(),
        0
    );
    assert_eq!(
        table
            .subscribers_behind(scope_number("a"), Revision(99))
            .collect::<Vec<_>>(),
        [member(1)]
    );
}

/// Requests another scope, and returns the request and a valid reply to it.
fn request_another_scope(exchange: &mut Exchange) -> (SubscribeRequest, SubscribeReply) {
    let Exchange {
        log,
        subscriptions,
        now,
        ..
    } = exchange;
    let schema = &schema();
    assert_eq!(
        subscriptions.admit(*now, schema, "b", true),
        Admission::Wait
    );
    *now += 200_000;
    let request = subscriptions
        .tick(*now, log.state().revision, true)
        .expect("b is requested");
    assert_eq!(request.scopes, ["b"]);
    let valid = SubscribeReply {
        to: member(1),
        epoch: request.epoch,
        seq: Some(request.seq),
        revision: log.state().revision,
        scopes: vec![(
            "b".into(),
            Some(ScopeRecord {
                fields: Some(fields(9, 9)),
                ..ScopeRecord::default()
            }),
        )],
    };
    (request, valid)
}

/// Replies that don't match the request are ignored. One of a later revision counts only once that revision is acted
/// on.
fn check_invalid_replies(
    exchange: &mut Exchange,
    request: &SubscribeRequest,
    valid: &SubscribeReply,
) {
    let Exchange {
        log,
        subscriptions,
        now,
        ..
    } = exchange;
    let schema = &schema();
    // For another member, to a request that was not sent yet, to an earlier request, to none, and of another epoch.
    for invalid in [
        SubscribeReply {
            to: member(2),
            ..valid.clone()
        },
        SubscribeReply {
            seq: Some(request.seq + 1),
            ..valid.clone()
        },
        SubscribeReply {
            seq: Some(request.seq - 1),
            ..valid.clone()
        },
        SubscribeReply {
            seq: None,
            ..valid.clone()
        },
        SubscribeReply {
            epoch: Default::default(),
            ..valid.clone()
        },
    ] {
        subscriptions.on_reply(*now, invalid.clone(), Some(log.state()), schema);
        assert_eq!(
            subscriptions.admit(*now, schema, "b", true),
            Admission::Wait,
            "{invalid:?}"
        );
    }
    // The record is of a revision that the member does not act on yet.
    let ahead = SubscribeReply {
        revision: Revision(log.state().revision.0 + 2),
        ..valid.clone()
    };
    subscriptions.on_reply(*now, ahead, Some(log.state()), schema);
    assert_eq!(
        subscriptions.admit(*now, schema, "b", true),
        Admission::Wait
    );
}

/// The leader ignores requests of members that are not on the roster, earlier requests, and those of another epoch.
fn check_ignored_requests(exchange: &mut Exchange, request: &SubscribeRequest) {
    let Exchange { table, .. } = exchange;
    // An earlier request that unsubscribes from a scope, which a later one may have requested again.
    let old = SubscribeRequest {
        unsubscribed: vec![scope_number("a")],
        scopes: vec![],
        ..request.clone()
    };
    assert_eq!(
        table.on_subscribe(&SubscribeRequest {
            from: member(7),
            ..request.clone()
        }),
        SubscribeOutcome::UnknownMember
    );
    assert_eq!(table.on_subscribe(request), SubscribeOutcome::Accepted);
    assert_eq!(table.on_subscribe(&old), SubscribeOutcome::Stale);
    assert_eq!(
        table.on_subscribe(&SubscribeRequest {
            epoch: Default::default(),
            seq: 99,
            ..old
        }),
        SubscribeOutcome::ResyncRequired(request.epoch)
    );
    assert_eq!(
        table
            .subscribers_behind(scope_number("a"), Revision(99))
            .count(),
        1
    );
}

/// If changes since a scope's record are not retained, the scope is no longer acted on and is requested again.
fn check_missing_history(exchange: &mut Exchange, valid: SubscribeReply) {
    let Exchange {
        log,
        subscriptions,
        now,
        ..
    } = exchange;
    let schema = &schema();
    let mut state = log.state().clone();
    state.replace_with_snapshot(
        FleetState {
            revision: Revision(state.revision.0 + 1),
            ..state.without_history()
        },
        None,
    );
    state.history = ChangeHistory::after(state.revision);
    subscriptions.on_state(*now, &state, schema);
    assert_eq!(subscriptions.effective_settings(schema, "a", true), None);
    assert_eq!(
        subscriptions.admit(*now, schema, "a", true),
        Admission::Wait
    );
    // A reply of a revision before the retained changes is not used.
    apply(
        log,
        vec![transaction(2, vec![update("a", 3, Some(fields(2, 2)))])],
    );
    let request = loop {
        *now += 50_000;
        if let Some(request) = subscriptions
            .tick(*now, state.revision, true)
            .filter(|request| request.scopes.contains(&"a".into()))
        {
            break request;
        }
    };
    let stale = SubscribeReply {
        seq: Some(request.seq),
        revision: Revision(2),
        scopes: vec![("a".into(), Some(ScopeRecord::default()))],
        ..valid
    };
    subscriptions.on_reply(*now, stale, Some(&state), schema);
    assert_eq!(
        subscriptions.effective_settings(schema, "a", true),
        None,
        "the scope is requested again"
    );
}

#[test]
fn subscriptions_and_their_record_are_bounded() {
    let (log, mut table, mut subscriptions) = subscriber_and_table();
    let (mut now, schema) = (0, &schema());
    subscriptions.on_state(now, log.state(), schema);
    let rejected = (0..MAX_SUBSCRIPTIONS + 10).filter(|index| {
        subscriptions.admit(now, schema, &format!("f{index}"), true)
            == Admission::Reject(RejectReason::TooManyPending)
    });
    assert_eq!(rejected.count(), 10, "pending scopes are not evicted");
    let first = subscriptions
        .tick(100_000, Revision(1), true)
        .expect("a request");
    assert!(
        first.scopes.len() <= MAX_SCOPES_PER_REQUEST
            && first.unsubscribed.len() <= MAX_UNSUBSCRIBES_PER_REQUEST
    );
    now += 100_000;
    synchronize(&log, &mut table, &mut subscriptions, &mut now);
    assert_eq!(
        (subscriptions.len(), subscriptions.pending()),
        (MAX_SUBSCRIPTIONS, 0)
    );
    assert_eq!(
        subscriptions.admit(now, schema, "f5", true),
        Admission::Unknown
    );
    // With ever new scopes, those called least recently are evicted, and the leader is informed.
    for index in 0..3 * MAX_SUBSCRIPTIONS {
        now += 1_000;
        subscriptions.admit(now, schema, &format!("g{index}"), true);
        subscriptions.admit(now, schema, "f5", true);
        if index % 100 == 0 {
            synchronize(&log, &mut table, &mut subscriptions, &mut now);
        }
        assert!(subscriptions.len() + subscriptions.pending() <= MAX_SUBSCRIPTIONS);
    }
    synchronize(&log, &mut table, &mut subscriptions, &mut now);
    assert!(subscriptions.evicted() > 2 * MAX_SUBSCRIPTIONS as u64);
    assert_eq!(
        subscriptions.admit(now, schema, "f5", true),
        Admission::Unknown,
        "a scope that is called continually is retained"
    );
    assert_eq!(
        table.subscription_count(),
        subscriptions.len(),
        "the leader knows the subscriptions"
    );
    // Without calls, all scopes are unsubscribed from.
    now += 700_000_000;
    synchronize(&log, &mut table, &mut subscriptions, &mut now);
    assert_eq!((subscriptions.len(), table.subscription_count()), (0, 0));
}
