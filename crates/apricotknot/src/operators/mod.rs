//! The operators' HTTP interface, from parsed request to answer; it does no network I/O itself.

mod api;
mod fleet_view;
mod node_fleet_view;
mod request;
mod route;
mod stored_record;
mod token_digests;
mod writer;

pub use api::OperatorsApi;
pub use fleet_view::FleetView;
pub use node_fleet_view::NodeFleetView;
pub use request::ApiAnswer;
pub use request::ApiRequest;
pub use stored_record::StoredRecord;
pub use token_digests::TokenDigests;
pub use writer::ResourceWriter;
pub use writer::WriteError;
pub use writer::WriteReceipt;
