//! The front ends of a session: a router each, with tables of the names that the wire gives to workers and functions.

mod function_names;
mod table;
mod worker_names;

pub use table::FrontEndTable;

use crate::error::LineError;
use crate::wire::StartFrontEnd;
use function_names::FunctionNames;
use tansy_conf::{load_report, router_settings};
use tansyrouter::{LoadReport, Router, Time};
use worker_names::WorkerNames;

/// A front end.
pub struct FrontEnd {
    /// Decides.
    pub router: Router,
    /// The workers by their names.
    pub workers: WorkerNames,
    /// The functions by their names.
    pub functions: FunctionNames,
    report_fields: Vec<String>,
}

impl FrontEnd {
    /// Starts a front end, with an empty list of workers.
    pub fn start(message: StartFrontEnd, now: Time) -> Result<FrontEnd, LineError> {
        let settings = router_settings(&message.settings)?;
        Ok(FrontEnd {
            router: Router::new(settings, message.seed, now)?,
            workers: WorkerNames::default(),
            functions: FunctionNames::default(),
            report_fields: message.settings.telemetry.fields,
        })
    }

    /// A worker's load report from its values, in the order of the fields that the settings name.
    pub fn load_report(&self, values: Option<Vec<Option<f64>>>) -> Option<LoadReport> {
        let names = self.report_fields.iter().map(String::as_str);
        Some(load_report(names.zip(values?)))
    }
}
