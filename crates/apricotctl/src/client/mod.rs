//! Client of the operators' API of the nodes.

mod api_client;
mod error;

pub(crate) use api_client::ApiClient;
pub(crate) use error::ClientError;
