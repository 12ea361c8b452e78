//! Routing of opaque requests: the service of each request, its caller's account and its limits.

mod desired_state;
mod key_policy;
mod key_table;
mod priority_table;
mod route;
mod route_table;
mod verified_account;

pub use desired_state::DesiredState;
pub use desired_state::InputLimits;
pub use desired_state::ServiceProfile;
pub use key_policy::KeyPolicy;
pub use key_table::KeyTable;
pub use priority_table::PriorityTable;
pub use route::CallKind;
pub use route::RouteSpec;
pub use route::WeightedTarget;
pub use route_table::RouteTable;
pub use verified_account::ConfigurationTrust;
pub use verified_account::KeyFault;
pub use verified_account::VerifiedAccount;
