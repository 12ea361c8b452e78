//! Service-level objectives: counts of good and bad requests, and the burn rate of error budgets.
//!
//! Each node counts its requests in an [`ObjectiveTracker`]. A [`BurnReport`] merges the
//! [`BurnSnapshot`]s of all nodes.

mod contributor;
mod report;
mod request;
mod snapshot;
mod tracker;
mod window;

pub use contributor::BudgetDimension;
pub use contributor::ContributorCount;
pub use report::BurnAlert;
pub use report::BurnReport;
pub use report::ContributorShare;
pub use report::NodeCoverage;
pub use report::SeriesReport;
pub use report::WindowReport;
pub use request::BudgetFault;
pub use request::FinishedRequest;
pub use snapshot::BurnSnapshot;
pub use snapshot::HistogramSnapshot;
pub use snapshot::NodeResponse;
pub use snapshot::SeriesSnapshot;
pub use tracker::ObjectiveTracker;
pub use window::BurnWindow;
pub use window::RequestCount;
pub use window::SLOTS_PER_WINDOW;
pub use window::WindowCounter;
