//! The callers' interface: from an HTTP request to a driven attempt and back.
//!
//! [`FrontService`] routes requests. A prompt is parsed by [`openai`], driven by one
//! `RequestDriver` task, and its answer flows through an [`AnswerBody`].

mod answer;
mod body;
mod context;
mod driver;
mod ops;
mod plain;
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
pub use ops::OpsService;
pub use service::FrontService;
