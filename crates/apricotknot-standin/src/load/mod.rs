//! Load tests at the users' sizes: seeded arrivals, their outcomes and tables of results.

mod arrival;
mod compare;
mod recorder;
mod run;
mod site;

pub use arrival::ArrivalStream;
pub use arrival::PromptArrival;
pub use compare::CompareReport;
pub use compare::CompareSettings;
pub use compare::compare_direct;
pub use recorder::LoadOutcome;
pub use recorder::LoadRecorder;
pub use run::LoadSettings;
pub use run::LoadTarget;
pub use run::run_load;
pub use site::SiteProfile;
