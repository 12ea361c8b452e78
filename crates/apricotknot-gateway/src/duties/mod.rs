//! Duties that one gateway node performs for the whole fleet.

mod duty_api;
mod duty_api_error;
mod duty_change;
mod duty_desk;
mod duty_metrics;
mod duty_permit;
mod duty_roster;
mod duty_settings;
mod duty_status;
mod duty_store;
mod duty_tools;
mod permitted_api;
mod scaling_controller;
mod scaling_inputs;
mod scaling_metrics;
mod usage_reporter;

pub use duty_api::DutyAnswer;
pub use duty_api::DutyApi;
pub use duty_api::DutyCall;
pub use duty_api_error::DutyApiError;
pub use duty_change::DutyChange;
pub use duty_metrics::DutyLabels;
pub use duty_metrics::DutyMetrics;
pub use duty_permit::DutyPermit;
pub use duty_permit::DutyTerm;
pub use duty_roster::DutyParts;
pub(crate) use duty_roster::DutyRoster;
pub(crate) use duty_roster::RosterContext;
pub use duty_settings::DutySettings;
pub use duty_status::DutyStatus;
pub use duty_tools::DutyTools;
pub use permitted_api::PermittedApi;
pub use scaling_controller::ScalingController;
pub use scaling_inputs::ScalingInputs;
pub use scaling_metrics::ScalingMetrics;
pub use usage_reporter::UsageReporter;
