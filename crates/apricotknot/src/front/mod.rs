//! HTTP interfaces of a node for callers and operators.
//!
//! [`FrontService`] routes the requests of callers. The types of [`openai`] parse a prompt, one
//! `RequestDriver` task for each request sends its attempts to the engines, and an [`AnswerBody`]
//! streams the answer back. [`OpsService`] serves operators.

mod answer;
mod body;
mod context;
mod driver;
mod grant_wait;
mod guarded_body;
mod ops;
mod plain;
mod request_guard;
mod service;
mod stream;
mod timing;
mod validation;

pub mod openai;

pub use answer::AnswerBody;
pub use answer::AnswerHead;
pub use answer::AnswerSender;
pub use answer::AnswerTruncatedError;
pub use answer::answer_channel;
pub use body::ResponseBody;
pub use context::NodePhase;
pub use context::SharedContext;
pub use context::TrafficContext;
pub use guarded_body::GuardedBody;
pub use ops::OpsService;
pub use request_guard::ConnectionGuard;
pub use request_guard::RequestFraming;
pub use request_guard::RequestGuard;
pub use request_guard::RequestProgress;
pub use service::FrontService;

pub(crate) use grant_wait::GrantWait;
