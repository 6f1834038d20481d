//! The gateway around the dispatcher.

use crate::record::{address, RecordReader};
use crate::types::GatewaySettings;
use std::net::SocketAddr;
use tansy_syntax::Diagnostic;

/// The addresses that a front end serves on.
pub(super) struct Addresses {
    listen: Option<SocketAddr>,
    http: Option<SocketAddr>,
}

/// Reads the addresses; a field is empty where its error is reported.
pub(super) fn addresses(front: RecordReader<'_>, errors: &mut Vec<Diagnostic>) -> Addresses {
    Addresses {
        listen: address(front, "listen", "front.listen", errors),
        http: address(front, "http", "front.http", errors),
    }
}

/// Checks the front end's number among its siblings.
pub(super) fn check_number(front: RecordReader<'_>, errors: &mut Vec<Diagnostic>) -> Option<()> {
    let number = front.int("me")?;
    let siblings = front.int("siblings")?;
    if number >= siblings {
        let problem = format!("front end {number} of {siblings}");
        let help = "want a number below siblings, from 0";
        errors.push(front.error("me", "front.me", problem, help));
    }
    Some(())
}

/// Reads the gateway's settings.
pub(super) fn gateway(
    front: RecordReader<'_>,
    worker: RecordReader<'_>,
    addresses: &Addresses,
) -> Option<GatewaySettings> {
    Some(GatewaySettings {
        listen: addresses.listen?,
        http: addresses.http?,
        drain_timeout: front.int("drain")?,
        max_connections: usize::try_from(front.int("connections")?).ok()?,
        max_streams: u32::try_from(front.int("streams")?).ok()?,
        max_message_bytes: usize::try_from(front.int("message")?).ok()?,
        max_header_bytes: u32::try_from(front.int("headers")?).ok()?,
        stream_window: u32::try_from(front.int("stream_window")?).ok()?,
        worker_window: u32::try_from(worker.int("stream_window")?).ok()?,
        preface_timeout: front.int("preface")?,
        class_key: front.text("class_key")?.to_ascii_lowercase(),
        tenant_key: front.text("tenant_key")?.to_ascii_lowercase(),
        work_key: front.text("work_key")?.to_ascii_lowercase(),
    })
}
