//! Reads the settings of the gateway around the dispatcher.

use crate::record::{address, RecordReader};
use crate::types::GatewaySettings;
use std::net::SocketAddr;
use tansy_syntax::Diagnostic;

/// The addresses on which a front end serves. An address is `None` if an error has been reported for it.
pub(super) struct Addresses {
    listen: Option<SocketAddr>,
    http: Option<SocketAddr>,
}

/// Reads the addresses.
pub(super) fn addresses(front: RecordReader<'_>, errors: &mut Vec<Diagnostic>) -> Addresses {
    Addresses {
        listen: address(front, "listen", "front.listen", errors),
        http: address(front, "http", "front.http", errors),
    }
}

/// Checks that the front end's index is below the number of front ends.
pub(super) fn check_index(front: RecordReader<'_>, errors: &mut Vec<Diagnostic>) -> Option<()> {
    let index = front.int("me")?;
    let siblings = front.int("siblings")?;
    if index >= siblings {
        let problem = format!("front end {index} of {siblings}");
        let help = "expected a number below siblings, from 0";
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
