//! Encodes and decodes records of workers that are draining or gone.

use crate::values::bounded_text;
use crate::{pb, DecodeError};
use tansy_agreement::endpoints::{Endpoint, EndpointRecord, EndpointState, MAX_DRAINS};

pub(crate) fn encode_drains(records: Vec<EndpointRecord>, reply_requested: bool) -> pb::Drains {
    let leaving = records
        .into_iter()
        // A worker without a record counts as ready, so that ready workers are not sent.
        .filter(|record| record.state != EndpointState::Ready);
    pb::Drains {
        endpoints: leaving.map(encode_endpoint).collect(),
        reply_requested,
    }
}

pub(crate) fn decode_drains(
    drains: pb::Drains,
) -> Result<(Vec<EndpointRecord>, bool), DecodeError> {
    if drains.endpoints.len() > MAX_DRAINS {
        return Err(DecodeError::MissingPart("number of workers"));
    }
    let records = drains.endpoints.into_iter().map(decode_endpoint);
    Ok((records.collect::<Result<_, _>>()?, drains.reply_requested))
}

fn encode_endpoint(record: EndpointRecord) -> pb::EndpointRecord {
    pb::EndpointRecord {
        name: record.endpoint.name,
        address: record.endpoint.address,
        incarnation: record.incarnation,
        gone: record.state == EndpointState::Gone,
    }
}

fn decode_endpoint(record: pb::EndpointRecord) -> Result<EndpointRecord, DecodeError> {
    let endpoint = Endpoint {
        name: bounded_text(record.name, "worker's name")?,
        address: bounded_text(record.address, "worker's address")?,
    };
    let state = if record.gone {
        EndpointState::Gone
    } else {
        EndpointState::Draining
    };
    Ok(EndpointRecord {
        endpoint,
        incarnation: record.incarnation,
        state,
    })
}
