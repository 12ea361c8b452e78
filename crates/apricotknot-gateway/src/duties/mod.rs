//! Duties that one gateway node performs for the whole fleet.

mod duty_api;
mod duty_api_error;
mod duty_permit;
mod duty_settings;

pub use duty_api::DutyAnswer;
pub use duty_api::DutyApi;
pub use duty_api::DutyCall;
pub use duty_api_error::DutyApiError;
pub use duty_permit::DutyPermit;
pub use duty_permit::DutyTerm;
pub use duty_settings::DutySettings;
