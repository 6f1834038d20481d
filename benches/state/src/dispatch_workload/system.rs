//! Interface between the workload and the system under test.

use tansyrouter::Micros;

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SentAttempt {
    pub(super) call: u64,
    pub(super) attempt: u32,
    pub(super) worker: usize,
    pub(super) sent_at: Micros,
    /// Whether the worker has a warm instance of the function.
    pub(super) warm: bool,
}

/// A load request that was sent. A request for 0 instances queries their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadRequest {
    pub(super) id: u64,
    pub(super) worker: usize,
    pub(super) function: usize,
    pub(super) instances: u32,
    pub(super) sent_at: Micros,
}

/// A command or an answer from the system under test.
pub enum Output {
    /// An attempt is sent.
    Send(SentAttempt),
    /// A load request is sent.
    Load(LoadRequest),
    /// A call has its final answer.
    CallEnded {
        /// The call's number.
        call: u64,
        /// Whether it was served.
        served: bool,
    },
}

/// The decision module, or the dispatcher that contains it.
pub trait SystemUnderTest {
    /// A call of a function arrives.
    fn on_call(&mut self, now: Micros, call: u64, function: usize, outputs: &mut Vec<Output>);
    /// An attempt was served.
    fn on_served(&mut self, now: Micros, sent: SentAttempt, outputs: &mut Vec<Output>);
    /// A load request was answered with this number of instances.
    fn on_load_ended(
        &mut self,
        now: Micros,
        request: LoadRequest,
        instances: u32,
        outputs: &mut Vec<Output>,
    );
    /// The timer has expired.
    fn on_timer(&mut self, now: Micros, outputs: &mut Vec<Output>);
    /// When the timer expires.
    fn next_timer(&self) -> Option<Micros>;
}

/// Executes outputs and their follow-up outputs immediately: attempts are served, loads succeed.
pub(super) fn execute_immediately<S: SystemUnderTest>(
    system: &mut S,
    now: Micros,
    mut outputs: Vec<Output>,
) {
    while let Some(output) = outputs.pop() {
        match output {
            Output::Send(sent) => system.on_served(now, sent, &mut outputs),
            Output::Load(request) => {
                system.on_load_ended(now, request, request.instances, &mut outputs);
            }
            Output::CallEnded { .. } => {}
        }
    }
}
