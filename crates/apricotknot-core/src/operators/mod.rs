//! Messages of the operators' interface, which nodes and the command-line client share.

mod answer;
mod error;
mod explanation;
mod status;

pub use answer::DeleteAnswer;
pub use answer::ListAnswer;
pub use answer::WriteAnswer;
pub use error::ApiErrorCode;
pub use error::ErrorAnswer;
pub use error::ErrorDetail;
pub use explanation::ExplanationStep;
pub use explanation::RequestExplanation;
pub use status::NodeStatus;
pub use status::StatusAnswer;
pub use status::StoreStatus;
