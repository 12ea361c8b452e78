//! Settings of a node, read from an INI file and checked before the node starts.

mod error;
mod gateway_node_settings;
mod node_settings;
mod section;
mod text_types;

pub use error::SettingsError;
pub use error::SettingsErrorKind;
pub use gateway_node_settings::GatewayNodeSettings;
pub use node_settings::CallerSettings;
pub use node_settings::LogSettings;
pub use node_settings::NodeIdentity;
pub use node_settings::NodeSettings;
pub use node_settings::OperatorSettings;
pub use node_settings::PeerSettings;
pub use node_settings::ShutdownSettings;
pub use node_settings::StoreSettings;
pub use text_types::KnownPeer;
pub use text_types::LogFormat;
pub use text_types::LogLevel;
pub use text_types::SecretKey;
