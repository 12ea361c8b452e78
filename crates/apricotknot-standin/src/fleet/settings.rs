//! Settings of a fleet.

use std::collections::BTreeMap;

use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::types::TokenCount;

/// Describes one engine process and its endpoint resource.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    pub(super) model: String,
    pub(super) data_centre: String,
    pub(super) memory_tokens: TokenCount,
    pub(super) max_concurrent: u32,
    pub(super) cold_memory_tokens: TokenCount,
    pub(super) cold_concurrent: u32,
    pub(super) arguments: Vec<String>,
}

impl Default for EnginePlan {
    fn default() -> Self {
        Self {
            model: "standin".to_owned(),
            data_centre: "dc-1".to_owned(),
            memory_tokens: 400_000,
            max_concurrent: 64,
            cold_memory_tokens: 40_000,
            cold_concurrent: 8,
            arguments: Vec::new(),
        }
    }
}

impl EnginePlan {
    /// Sets the model that the engine serves.
    #[must_use]
    pub fn model(mut self, model: impl Into<String>) -> Self {
        self.model = model.into();
        self
    }

    /// Sets the data centre of the endpoint resource.
    #[must_use]
    pub fn data_centre(mut self, data_centre: impl Into<String>) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Sets the size of the key-value cache of the engine and of its endpoint resource, in tokens.
    #[must_use]
    pub fn memory_tokens(mut self, tokens: TokenCount) -> Self {
        self.memory_tokens = tokens;
        self
    }

    /// Sets the maximum number of concurrent requests of the engine and of its endpoint resource.
    #[must_use]
    pub fn max_concurrent(mut self, count: u32) -> Self {
        self.max_concurrent = count;
        self
    }

    /// Sets the limits of tokens and concurrent requests while cold, of the engine and of its
    /// endpoint resource.
    #[must_use]
    pub fn cold_limits(mut self, tokens: TokenCount, count: u32) -> Self {
        self.cold_memory_tokens = tokens;
        self.cold_concurrent = count;
        self
    }

    /// Adds a command-line option of the engine, such as `--step-ms` with `1`.
    #[must_use]
    pub fn option(mut self, name: &str, value: impl ToString) -> Self {
        self.arguments.push(name.to_owned());
        self.arguments.push(value.to_string());
        self
    }

    pub(super) fn command_line(&self) -> Vec<String> {
        let mut arguments = vec![
            "--model".to_owned(),
            self.model.clone(),
            "--memory-tokens".to_owned(),
            self.memory_tokens.to_string(),
            "--max-running".to_owned(),
            self.max_concurrent.to_string(),
            "--cold-memory-tokens".to_owned(),
            self.cold_memory_tokens.to_string(),
            "--cold-concurrent".to_owned(),
            self.cold_concurrent.to_string(),
        ];
        arguments.extend(self.arguments.iter().cloned());
        arguments
    }
}

/// Describes a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub(super) nodes: usize,
    pub(super) engines: Vec<EnginePlan>,
    pub(super) plain_services: usize,
    pub(super) plain_concurrent: u32,
    pub(super) non_repeatable_paths: Vec<String>,
    pub(super) node_settings: BTreeMap<(String, String), String>,
    pub(super) resources: Vec<ResourceRecord>,
    pub(super) max_descriptors: Option<usize>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            nodes: 1,
            engines: Vec::new(),
            plain_services: 0,
            plain_concurrent: 64,
            non_repeatable_paths: Vec::new(),
            node_settings: BTreeMap::new(),
            resources: Vec::new(),
            max_descriptors: None,
        }
    }
}

impl FleetSettings {
    /// Sets the number of nodes.
    #[must_use]
    pub fn nodes(mut self, count: usize) -> Self {
        self.nodes = count;
        self
    }

    /// Adds an engine.
    #[must_use]
    pub fn engine(mut self, plan: impl Into<EnginePlan>) -> Self {
        self.engines.push(plan.into());
        self
    }

    /// Sets the number of processes of the plain service `booking`.
    #[must_use]
    pub fn plain_services(mut self, count: usize) -> Self {
        self.plain_services = count;
        self
    }

    /// Sets the most calls that each process of the plain service runs at a time.
    #[must_use]
    pub fn plain_concurrent(mut self, count: u32) -> Self {
        self.plain_concurrent = count;
        self
    }

    /// Adds a path of the plain service whose calls are not repeatable.
    #[must_use]
    pub fn non_repeatable_path(mut self, path: impl Into<String>) -> Self {
        self.non_repeatable_paths.push(path.into());
        self
    }

    /// Sets a key in the settings file of every node; it overrides the fleet's own value.
    #[must_use]
    pub fn node_setting(mut self, section: &str, key: &str, value: impl ToString) -> Self {
        self.node_settings.insert((section.to_owned(), key.to_owned()), value.to_string());
        self
    }

    /// Adds a resource; it replaces a resource of the fleet with the same kind and name.
    #[must_use]
    pub fn resource(mut self, record: ResourceRecord) -> Self {
        self.resources.push(record);
        self
    }

    /// Limits the descriptors that each node may have open at a time.
    #[must_use]
    pub fn max_descriptors(mut self, count: usize) -> Self {
        self.max_descriptors = Some(count);
        self
    }

    /// Returns the text of a node's settings file; settings for every node override `keys`.
    pub(super) fn node_file_text(&self, keys: &[(&str, &str, String)]) -> String {
        let mut sections: BTreeMap<&str, BTreeMap<&str, &str>> = BTreeMap::new();
        for (section, key, value) in keys {
            sections.entry(section).or_default().insert(key, value);
        }
        for ((section, key), value) in &self.node_settings {
            sections.entry(section).or_default().insert(key, value);
        }
        let mut text = String::new();
        for (section, keys) in sections {
            text.push_str(&format!("[{section}]\n"));
            for (key, value) in keys {
                text.push_str(&format!("{key} = {value}\n"));
            }
        }
        text
    }
}
