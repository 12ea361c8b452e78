//! HTTP client for endpoints, and the splitting of event streams.

mod event_splitter;
mod exchange;
mod exchange_error;

pub use event_splitter::EventSplitter;
pub use event_splitter::StreamEvent;
pub use exchange::EndpointExchange;
pub use exchange::EndpointRequest;
pub use exchange_error::ExchangeError;
