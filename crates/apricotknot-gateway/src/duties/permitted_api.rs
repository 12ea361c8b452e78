//! API for duties that makes no call without permission.

use std::future::Future;

use apricotknot_core::scaling::ScalingOrder;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::usage::UsageReport;

use super::DutyAnswer;
use super::DutyApi;
use super::DutyApiError;
use super::DutyCall;
use super::DutyPermit;
use crate::clock::BootClock;

/// Learns how the calls of one duty ended.
pub trait CallObserver: Clone + 'static {
    /// Records that the platform refused `fence`.
    fn record_fenced(&self, fence: FencingNumber, now: MonotonicTime);

    /// Records whether the platform answered a call.
    fn record_platform(&self, is_answered: bool, now: MonotonicTime);
}

/// Makes the calls of one duty through another API, each only while its term lasts.
///
/// A term ends when the platform has seen a larger fencing number, so no later call has that one.
#[derive(Clone, Debug)]
pub struct PermittedApi<A, O> {
    api: A,
    permit: DutyPermit,
    observer: O,
    clock: BootClock,
}

impl<A: DutyApi, O: CallObserver> PermittedApi<A, O> {
    /// Creates the API of the duty that `permit` is for.
    pub fn new(api: A, permit: DutyPermit, observer: O, clock: BootClock) -> Self {
        Self { api, permit, observer, clock }
    }

    async fn make<F>(&self, call: &DutyCall, exchange: F) -> Result<DutyAnswer, DutyApiError>
    where
        F: Future<Output = Result<DutyAnswer, DutyApiError>>,
    {
        if self.permit.call(self.clock.now()).as_ref() != Some(call) {
            return Err(DutyApiError::TermOver { fence: call.fence });
        }
        let answer = exchange.await;
        let now = self.clock.now();
        if let Ok(DutyAnswer::Fenced) = answer {
            self.permit.end_term(call.fence);
            self.observer.record_fenced(call.fence, now);
        }
        // A refusal shows that the platform can be reached.
        let is_unanswered =
            matches!(answer, Err(DutyApiError::Broken { .. } | DutyApiError::TimedOut { .. }));
        self.observer.record_platform(!is_unanswered, now);
        answer
    }
}

impl<A: DutyApi, O: CallObserver> DutyApi for PermittedApi<A, O> {
    async fn report_usage(
        &self,
        call: &DutyCall,
        report: &UsageReport,
    ) -> Result<DutyAnswer, DutyApiError> {
        self.make(call, self.api.report_usage(call, report)).await
    }

    async fn order_endpoints(
        &self,
        call: &DutyCall,
        order: &ScalingOrder,
    ) -> Result<DutyAnswer, DutyApiError> {
        self.make(call, self.api.order_endpoints(call, order)).await
    }
}
