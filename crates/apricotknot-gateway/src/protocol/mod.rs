//! Interfaces to the platform: the format of calls, answers and stored records.

mod call_protocol;
mod record_translator;

pub use call_protocol::AnswerMetadata;
pub use call_protocol::AttemptMetadata;
pub use call_protocol::CallMetadata;
pub use call_protocol::CallMetadataError;
pub use call_protocol::CallProtocol;
pub use call_protocol::HelperAddress;
pub use call_protocol::ReservationId;
pub use call_protocol::ReservationRequest;
pub use record_translator::RecordChange;
pub use record_translator::RecordTranslator;
pub use record_translator::TranslationError;
