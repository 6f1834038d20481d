//! Cold starts: calls of functions that no worker has loaded.

use crate::measure::Distribution;
use std::time::Duration;
use tansyrouter::Micros;

/// A cold start whose call has been neither sent nor answered.
pub(super) struct PendingColdStart {
    arrived: Micros,
    /// When the load ended.
    pub loaded: Option<Micros>,
    pub load_requested: bool,
}

impl PendingColdStart {
    pub fn new(arrived: Micros) -> PendingColdStart {
        PendingColdStart {
            arrived,
            loaded: None,
            load_requested: false,
        }
    }
}

/// Times of the parts of cold starts.
#[derive(Default)]
pub struct ColdStartTimes {
    /// Virtual time from the call to the load request.
    pub load_request_wait: Distribution,
    /// Virtual time from the end of the load to sending the call.
    pub send_wait: Distribution,
    /// Virtual time from the arrival to sending the call.
    pub total: Distribution,
    /// Wall time of the step that requests the load.
    pub load_request_step: Distribution,
    /// Wall time of the step that sends the call.
    pub send_step: Distribution,
    /// Calls that were answered without being sent.
    pub rejected: u64,
}

impl ColdStartTimes {
    /// Records the step that requested the load.
    pub(super) fn record_load_request(
        &mut self,
        pending: &PendingColdStart,
        now: Micros,
        took: Duration,
    ) {
        self.load_request_wait.add_us(now - pending.arrived);
        self.load_request_step.add(took);
    }

    /// Records the step that sent the call. A call sent without a load, to an instance that another front end loaded, is
    /// not a cold start and is ignored.
    pub(super) fn record_send(&mut self, pending: &PendingColdStart, now: Micros, took: Duration) {
        let Some(loaded) = pending.loaded else {
            return;
        };
        self.send_wait.add_us(now - loaded);
        self.total.add_us(now - pending.arrived);
        self.send_step.add(took);
    }
}
