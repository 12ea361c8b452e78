//! API for duties that makes no call without permission.

use std::future::Future;

use apricotknot_core::scaling::ScalingOrder;
use apricotknot_core::usage::UsageReport;

use super::DutyAnswer;
use super::DutyApi;
use super::DutyApiError;
use super::DutyCall;
use super::DutyPermit;
use crate::clock::BootClock;

/// Makes the calls of one duty through another API, each only while its term lasts.
///
/// A term ends when the platform has seen a larger fencing number, so no later call has that one.
#[derive(Clone, Debug)]
pub struct PermittedApi<A> {
    api: A,
    permit: DutyPermit,
    clock: BootClock,
}

impl<A: DutyApi> PermittedApi<A> {
    /// Creates the API of the duty that `permit` is for.
    pub fn new(api: A, permit: DutyPermit, clock: BootClock) -> Self {
        Self { api, permit, clock }
    }

    async fn make<F>(&self, call: &DutyCall, exchange: F) -> Result<DutyAnswer, DutyApiError>
    where
        F: Future<Output = Result<DutyAnswer, DutyApiError>>,
    {
        if self.permit.call(self.clock.now()).as_ref() != Some(call) {
            return Err(DutyApiError::TermOver { fence: call.fence });
        }
        let answer = exchange.await;
        if let Ok(DutyAnswer::Fenced) = answer {
            self.permit.end_term(call.fence);
        }
        answer
    }
}

impl<A: DutyApi> DutyApi for PermittedApi<A> {
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
