//! Services: models behind engines, and plain HTTP services.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::types::LengthClass;
use crate::types::TokenCount;

/// Configures the service-level objective of one length class.
///
/// A request is good if it meets both limits and does not fail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// Length class of the prompts to which the objective applies.
    pub class: LengthClass,
    /// Maximum time to first token of a good request, in milliseconds.
    pub first_token_ms: u64,
    /// Maximum mean time between tokens of a good request, in milliseconds.
    pub between_tokens_ms: u64,
    /// Share of the requests that must be good, in per mille.
    pub good_permille: u32,
}

/// Configures a plain HTTP service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainServiceSpec {
    /// Path prefix of the calls to the service, such as `/booking`.
    pub prefix: Arc<str>,
    /// Paths below the prefix whose calls must not be repeated; all other calls may be retried.
    #[serde(default)]
    pub once_paths: Vec<Arc<str>>,
}

/// Distinguishes models from plain HTTP services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceMode {
    /// A model behind engines.
    Model {
        /// Maximum number of tokens of a prompt and its answer together.
        max_context_tokens: TokenCount,
    },
    /// A plain HTTP service.
    Plain(PlainServiceSpec),
}

/// Configures a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Whether the service is a model or a plain HTTP service.
    pub mode: ServiceMode,
    /// Service-level objectives, at most one for each length class; may be empty.
    #[serde(default)]
    pub objectives: Vec<ServiceObjective>,
}
