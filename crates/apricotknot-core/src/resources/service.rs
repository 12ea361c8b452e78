//! Services.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::types::LengthClass;
use crate::types::TokenCount;

/// States how good the service for one length class must be.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// Length class that the objective is for.
    pub class: LengthClass,
    /// Longest good time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest good mean time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Part of requests that must be good, in per mille.
    pub good_permille: u32,
}

/// Describes how a plain service is called.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainServiceSpec {
    /// Path prefix of the service's calls, such as `/booking`.
    pub prefix: Arc<str>,
    /// Paths below the prefix whose calls may not be repeated; every other call may be.
    #[serde(default)]
    pub once_paths: Vec<Arc<str>>,
}

/// Says what a service is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceMode {
    /// A model behind engines.
    Model {
        /// Most tokens that prompt and answer may have together.
        max_context_tokens: TokenCount,
    },
    /// A plain HTTP service.
    Plain(PlainServiceSpec),
}

/// Describes a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// What the service is.
    pub mode: ServiceMode,
    /// Objectives by length class; empty where none are stated.
    #[serde(default)]
    pub objectives: Vec<ServiceObjective>,
}
