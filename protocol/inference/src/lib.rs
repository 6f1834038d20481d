//! Messages of the Open Inference Protocol v2 and of ORCA load reports, and functions that read and change the fields that a
//! gateway needs without decoding the rest of a message.
//!
//! - [`inference`], [`orca`]: the messages, compiled from `proto/`.
//! - [`scan`]: reads a `ModelInferRequest` or a response message in place and validates its wire format.
//! - [`amend`]: changes single fields of an encoded message by appending to it.
//! - [`names`]: method paths, trailer keys and parameter names.
//!
//! ```
//! use prost::Message;
//! use tansy_inference::{inference::ModelInferRequest, scan::InferRequest};
//!
//! let request = ModelInferRequest { model_name: "resize".into(), ..Default::default() };
//! let bytes = request.encode_to_vec();
//! assert_eq!(InferRequest::parse(&bytes)?.model, "resize");
//! # Ok::<(), tansy_inference::scan::Malformed>(())
//! ```

pub mod amend;
pub mod names;
pub mod scan;

/// Package `inference`: the service's messages.
#[allow(missing_docs)]
pub mod inference {
    include!(concat!(env!("OUT_DIR"), "/inference.rs"));
}

/// Package `xds.data.orca.v3`: load reports.
#[allow(missing_docs)]
pub mod orca {
    include!(concat!(env!("OUT_DIR"), "/xds.data.orca.v3.rs"));
}
