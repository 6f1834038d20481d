//! Logs the node's events for operators.

use tansy_fleet_node::FleetEvent;

/// Logs an event. The operators' documentation quotes these lines.
pub(crate) fn log_event(event: &FleetEvent) {
    match event {
        FleetEvent::Membership(event) => tracing::info!(member = ?event, "membership changed"),
        FleetEvent::RevisionChanged {
            revision,
            in_force,
            next,
        } => tracing::info!(
            revision = revision.0,
            in_force,
            next = next.unwrap_or(0),
            "fleet revision changed"
        ),
        FleetEvent::Lease { is_live } => log_lease(*is_live),
        FleetEvent::Session { is_live } => log_session(*is_live),
        FleetEvent::Leadership { is_live: true } => tracing::info!("leadership acquired"),
        FleetEvent::Leadership { is_live: false } => tracing::warn!("leadership lost"),
        FleetEvent::DatagramRejected(reason) => tracing::warn!(%reason, "datagram rejected"),
        FleetEvent::ChangeAbandoned { version, behind } => tracing::error!(
            version,
            ?behind,
            "change abandoned: calls were refused for it and it made no progress"
        ),
        FleetEvent::VoterReplacementAbandoned { new } => tracing::error!(
            new = format!("{new:x}"),
            "voter replacement abandoned: the new voter did not catch up in time; was it started with --state?"
        ),
        FleetEvent::SubscriptionsEvicted { total, subscribed } => tracing::warn!(
            total,
            subscribed,
            "subscriptions evicted: more functions are called here than one front end can subscribe to"
        ),
        FleetEvent::ScopeChangesAbandoned { scopes, behind } => tracing::error!(
            ?scopes,
            ?behind,
            "function changes abandoned: they made no progress"
        ),
        FleetEvent::StorageFailed { cause } => tracing::error!(
            %cause,
            "voter storage failed: no change until it is repaired and the voter restarted"
        ),
    }
}

fn log_lease(is_live: bool) {
    if is_live {
        tracing::info!("lease acquired");
    } else {
        tracing::warn!(
            "lease expired: the stricter side of every limit applies until it is renewed"
        );
    }
}

fn log_session(is_live: bool) {
    if is_live {
        tracing::info!("session established");
    } else {
        tracing::error!(
            "session expired: calls that strict fields affect are refused until the leader is reached"
        );
    }
}
