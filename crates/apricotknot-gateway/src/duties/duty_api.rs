//! Interface that duties need of the platform.

use apricotknot_core::scaling::ScalingOrder;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::NodeId;
use apricotknot_core::usage::UsageReport;

use super::DutyApiError;

/// Identifies the holder on whose behalf a call is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyCall {
    /// Node that holds the duty.
    pub holder: NodeId,
    /// Orders the holders of the duty; the platform refuses calls with a smaller number than one
    /// that it has seen.
    pub fence: FencingNumber,
}

/// Answer of the platform to a call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DutyAnswer {
    /// The call was carried out.
    Accepted,
    /// The platform has seen a larger fencing number, and did nothing.
    Fenced,
}

/// Makes the calls of duties; each method makes one call.
///
/// A call without an answer may still be carried out later.
#[allow(async_fn_in_trait)]
pub trait DutyApi: Clone + 'static {
    /// Reports the usage of one window.
    ///
    /// # Errors
    ///
    /// Returns why the report is not known to be accepted.
    async fn report_usage(
        &self,
        call: &DutyCall,
        report: &UsageReport,
    ) -> Result<DutyAnswer, DutyApiError>;

    /// Orders the number of endpoints of a service in one data centre.
    ///
    /// # Errors
    ///
    /// Returns why the order is not known to be accepted.
    async fn order_endpoints(
        &self,
        call: &DutyCall,
        order: &ScalingOrder,
    ) -> Result<DutyAnswer, DutyApiError>;
}
