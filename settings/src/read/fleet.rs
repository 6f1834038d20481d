//! Reads the fleet settings.

use crate::record::{address, RecordReader};
use crate::types::{FleetSettings, Voter};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansy_syntax::Diagnostic;

pub(super) fn fleet(
    record: RecordReader<'_>,
    errors: &mut Vec<Diagnostic>,
) -> Option<FleetSettings> {
    let mut voters = Vec::new();
    for (index, item) in record.list("seats")?.iter().enumerate() {
        let voter = RecordReader::new(item)?;
        let path = format!("fleet.seats[{index}].address");
        let address = address(voter, "address", &path, errors);
        voters.push(Voter {
            name: voter.text("name")?.to_string(),
            address: address?,
        });
    }
    check_voters(record, &voters, errors);
    let listen = address(record, "listen", "fleet.listen", errors);
    let text = |name: &str| record.text(name).map(str::to_string);
    Some(FleetSettings {
        name: text("name")?,
        node_name: text("me")?,
        listen: listen?,
        voters,
        state_file: text("state")
            .filter(|state| !state.is_empty())
            .map(Into::into),
        max_divergence: record.int("within")?,
        session: record.int("stay")?,
        clock_drift_ppm: record.int("clock_ppm")?,
    })
}

fn check_voters(record: RecordReader<'_>, voters: &[Voter], errors: &mut Vec<Diagnostic>) {
    let names: BTreeSet<&str> = voters.iter().map(|voter| voter.name.as_str()).collect();
    let addresses: BTreeSet<SocketAddr> = voters.iter().map(|voter| voter.address).collect();
    let all_distinct = names.len() == voters.len() && addresses.len() == voters.len();
    if ![1, 3, 5, 7].contains(&voters.len()) || !all_distinct {
        let problem = format!(
            "{} seats, {} names, {} addresses",
            voters.len(),
            names.len(),
            addresses.len()
        );
        let help = "expected 1, 3, 5 or 7 front ends that store the replicated log, each listed once, for example \
                    seats: [{name: \"a\", address: \"127.0.0.1:7001\"}]";
        errors.push(record.error("seats", "fleet.seats", problem, help));
    }
}
