//! HTTP client for endpoints, and the splitting of event streams.

mod answer_budget;
mod connection;
mod delivery;
mod event_order;
mod event_splitter;
mod exchange;
mod exchange_error;
mod request_rest;

pub use answer_budget::AnswerBudget;
pub use answer_budget::AnswerBudgetError;
pub use answer_budget::AnswerMemory;
pub use connection::CONNECT_TIMEOUT;
pub use connection::EndpointConnection;
pub use connection::connect;
pub use event_order::EventOrder;
pub use event_order::EventPosition;
pub use event_splitter::EventSplitter;
pub use event_splitter::MAX_EVENT_BYTES;
pub use event_splitter::StreamEvent;
pub use event_splitter::lines_of;
pub use exchange::EndpointExchange;
pub use exchange::EndpointRequest;
pub use exchange_error::ExchangeError;
pub use request_rest::RequestRest;
pub use request_rest::RequestRestError;

pub(crate) use connection::set_socket_options;
pub(crate) use delivery::DELIVERY_CHECK_INTERVAL;
pub(crate) use delivery::Delivery;
pub(crate) use delivery::delivery;
