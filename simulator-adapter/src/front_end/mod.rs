//! The front ends of a session, each with a router and tables of worker and function names.

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

/// One front end.
pub struct FrontEnd {
    /// Makes the decisions.
    pub router: Router,
    /// Worker names.
    pub workers: WorkerNames,
    /// Function names.
    pub functions: FunctionNames,
    report_fields: Vec<String>,
}

impl FrontEnd {
    /// Creates a front end with an empty worker list.
    pub fn start(message: StartFrontEnd, now: Time) -> Result<FrontEnd, LineError> {
        let settings = router_settings(&message.settings)?;
        Ok(FrontEnd {
            router: Router::new(settings, message.seed, now)?,
            workers: WorkerNames::default(),
            functions: FunctionNames::default(),
            report_fields: message.settings.telemetry.fields,
        })
    }

    /// Converts the values of a load report, which are in the order of the fields in the settings.
    pub fn load_report(&self, values: Option<Vec<Option<f64>>>) -> Option<LoadReport> {
        let names = self.report_fields.iter().map(String::as_str);
        Some(load_report(names.zip(values?)))
    }
}
