//! Duties that one gateway node performs for the whole fleet.

mod duty_api;
mod duty_api_error;
mod duty_permit;
mod duty_roster;
mod duty_settings;
mod duty_tools;
mod permitted_api;
mod scaling_controller;
mod scaling_inputs;
mod usage_handle;
mod usage_record;
mod usage_reporter;
mod usage_status;

pub use duty_api::DutyAnswer;
pub use duty_api::DutyApi;
pub use duty_api::DutyCall;
pub use duty_api_error::DutyApiError;
pub use duty_permit::DutyPermit;
pub use duty_permit::DutyTerm;
pub use duty_roster::DutyParts;
pub(crate) use duty_roster::DutyRoster;
pub(crate) use duty_roster::UsageParts;
pub use duty_settings::DutySettings;
pub use duty_tools::DutyTools;
pub use permitted_api::PermittedApi;
pub use scaling_controller::ScalingController;
pub use scaling_inputs::ScalingInputs;
pub use usage_handle::UsageHandle;
pub use usage_record::UsageRecord;
pub use usage_reporter::UsageReporter;
pub use usage_reporter::UsageTools;
pub use usage_status::UsageStatus;
pub use usage_status::WindowStatus;
