//! Types that the other modules share: ids, quantities, requests, attempts and length classes.

mod attempt;
mod digest;
mod ids;
mod length;
mod request;

pub use attempt::AttemptOutcome;
pub use attempt::ExecutionCertainty;
pub use digest::PromptDigest;
pub use ids::AccountId;
pub use ids::AttemptId;
pub use ids::BootId;
pub use ids::DataCentreId;
pub use ids::EndpointId;
pub use ids::EpochNumber;
pub use ids::EraNumber;
pub use ids::FencingNumber;
pub use ids::GenerationNumber;
pub use ids::IncarnationNumber;
pub use ids::MonotonicTime;
pub use ids::NodeId;
pub use ids::PoolId;
pub use ids::RegionId;
pub use ids::RequestId;
pub use ids::RevisionNumber;
pub use ids::ServiceId;
pub use ids::TokenCount;
pub use ids::UnixTime;
pub use ids::WindowNumber;
pub use length::LengthClass;
pub use request::PromptFingerprint;
pub use request::RequestProfile;
