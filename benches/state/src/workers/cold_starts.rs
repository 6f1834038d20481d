//! Cold starts: calls of functions that no worker had when they came.

use crate::measure::Distribution;
use tansyrouter::Micros;

/// A call of a function that no worker had, until it is answered.
pub(super) struct PendingColdStart {
    pub call: u64,
    pub arrived: Micros,
    /// When the load request left.
    pub load_requested: Option<Micros>,
    /// When the front end learned that the load was done.
    pub load_answered: Option<Micros>,
    /// When the last attempt left.
    pub sent: Option<Micros>,
}

impl PendingColdStart {
    pub fn new(call: u64, arrived: Micros) -> PendingColdStart {
        PendingColdStart {
            call,
            arrived,
            load_requested: None,
            load_answered: None,
            sent: None,
        }
    }
}

/// How long cold starts took, by part.
#[derive(Default)]
pub struct ColdStartStatistics {
    /// From the call to the load request.
    pub load_request_wait: Distribution,
    /// From the answer to the load request to the attempt that was served.
    pub send_wait: Distribution,
    /// From the call to that attempt, less the time from the load request to its answer.
    pub front_end_share: Distribution,
    /// From the call to the answer.
    pub total: Distribution,
    /// Calls.
    pub calls: u64,
    /// Calls that were answered otherwise than served.
    pub unserved: u64,
}

impl ColdStartStatistics {
    /// A cold start is answered.
    pub(super) fn record(&mut self, cold_start: &PendingColdStart, now: Micros, served: bool) {
        let Some(sent) = cold_start.sent.filter(|_| served) else {
            self.unserved += 1;
            return;
        };
        let requested = cold_start.load_requested;
        if let Some(requested) = requested {
            self.load_request_wait
                .add_us(requested - cold_start.arrived);
        }
        let loaded = cold_start.load_answered.filter(|at| *at <= sent);
        if let Some(loaded) = loaded {
            self.send_wait.add_us(sent - loaded);
        }
        let load_time = requested.zip(loaded).map_or(0, |(from, to)| to - from);
        self.front_end_share
            .add_us(sent - cold_start.arrived - load_time);
        self.total.add_us(now - cold_start.arrived);
    }
}
