//! Cold starts: calls of functions that no worker had loaded on arrival.

use crate::measure::Distribution;
use tansyrouter::Micros;

/// A cold start whose call has not been answered.
pub(super) struct PendingColdStart {
    pub call: u64,
    pub arrived: Micros,
    /// When the load request was sent.
    pub load_requested: Option<Micros>,
    /// When the front end learned that the load had finished.
    pub load_answered: Option<Micros>,
    /// When the last attempt was sent.
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

/// Times of the parts of cold starts, and counts.
#[derive(Default)]
pub struct ColdStartStatistics {
    /// From the call to the load request.
    pub load_request_wait: Distribution,
    /// From the answer to the load request to the attempt that was served.
    pub send_wait: Distribution,
    /// From the call to that attempt, minus the time from the load request to its answer.
    pub front_end_share: Distribution,
    /// From the call to the answer.
    pub total: Distribution,
    /// Calls of functions that no worker had loaded on arrival.
    pub calls: u64,
    /// Recorded cold starts that were answered without being served.
    pub unserved: u64,
}

impl ColdStartStatistics {
    /// Records an answered cold start.
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
