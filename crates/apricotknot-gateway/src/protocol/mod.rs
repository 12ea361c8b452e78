//! What differs between platforms: how calls, answers and stored records are written.

mod call_protocol;
mod record_translator;

pub use call_protocol::AnswerTerms;
pub use call_protocol::AttemptOrder;
pub use call_protocol::CallProtocol;
pub use call_protocol::CallTerms;
pub use call_protocol::CallTermsError;
pub use call_protocol::HelperAddress;
pub use call_protocol::ReservationId;
pub use call_protocol::ReservationOrder;
pub use record_translator::RecordChange;
pub use record_translator::RecordTranslator;
pub use record_translator::TranslationError;
