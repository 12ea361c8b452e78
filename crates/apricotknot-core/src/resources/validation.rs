//! Validates the fields of one resource, independently of the others.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::sync::Arc;

use super::AccountSpec;
use super::AdmissionSpec;
use super::EndpointSpec;
use super::PlainServiceSpec;
use super::ResourceError;
use super::ResourceErrorKind;
use super::ResourceKind;
use super::ResourceRecord;
use super::ResourceSpec;
use super::ServiceMode;
use super::ServiceSpec;
use crate::types::TokenCount;

/// Maximum length of a name, in characters.
pub const MAX_NAME_CHARS: usize = 63;

/// Name of the only resource of the kind [`ResourceKind::Admission`].
pub const ADMISSION_NAME: &str = "default";

/// Path prefixes that the node serves itself and no plain service may use.
const RESERVED_PREFIXES: [&str; 5] = ["/api", "/healthz", "/metrics", "/readyz", "/v1"];

const WEIGHT_RANGE: RangeInclusive<u32> = 1..=1_000;
const CONCURRENCY_RANGE: RangeInclusive<u32> = 1..=100_000;
const TOKEN_RATE_RANGE: RangeInclusive<u64> = 0..=1_000_000_000;
const MEMORY_TOKENS_RANGE: RangeInclusive<TokenCount> = 0..=1_000_000_000;
const CONTEXT_TOKENS_RANGE: RangeInclusive<TokenCount> = 1..=100_000_000;
const OUTPUT_TOKENS_RANGE: RangeInclusive<TokenCount> = 1..=1_000_000;
/// The maximum is below the time after which other nodes reclaim the budget share of a silent node
/// (`ShareSettings::max_hold`), so that a request ends before its share is reclaimed.
const REQUEST_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=600_000;
const OBJECTIVE_RANGE_MS: RangeInclusive<u64> = 1..=86_400_000;
const QUEUE_LENGTH_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const RESERVE_RANGE_PERMILLE: RangeInclusive<u32> = 0..=900;
const ARCHIVES_PER_ENGINE_RANGE: RangeInclusive<u32> = 1..=1_000;
const GOOD_RANGE_PERMILLE: RangeInclusive<u32> = 1..=999;
const KEY_COUNT_RANGE: RangeInclusive<usize> = 0..=32;
const PATH_COUNT_RANGE: RangeInclusive<usize> = 0..=256;
const MAX_PATH_CHARS: usize = 200;
const DIGEST_CHARS: usize = 64;

impl ResourceRecord {
    /// Validates each field, but no references to other resources.
    ///
    /// # Errors
    ///
    /// Returns all faults found.
    pub fn validate(&self) -> Result<(), Vec<ResourceError>> {
        let mut faults = FaultList::default();
        faults.check_record_name(self);
        match &self.spec {
            ResourceSpec::Account(spec) => faults.check_account(spec),
            ResourceSpec::Admission(spec) => faults.check_admission(spec),
            ResourceSpec::DataCentre(spec) => {
                if !spec.region.is_empty() {
                    faults.check_name("spec.region", &spec.region);
                }
            },
            ResourceSpec::Endpoint(spec) => faults.check_endpoint(spec),
            ResourceSpec::Service(spec) => faults.check_service(spec),
        }
        if faults.0.is_empty() { Ok(()) } else { Err(faults.0) }
    }
}

/// Collects the faults of one record.
#[derive(Default)]
struct FaultList(Vec<ResourceError>);

impl FaultList {
    fn check_record_name(&mut self, record: &ResourceRecord) {
        self.check_name("name", &record.name);
        let kind = record.spec.kind();
        if kind == ResourceKind::Admission && *record.name != *ADMISSION_NAME {
            let error = ResourceError::new(ResourceErrorKind::BadName, "name");
            self.0.push(
                error
                    .given(&record.name)
                    .allowed(ADMISSION_NAME)
                    .next_step("there is one set of admission settings; give it this name"),
            );
        }
    }

    fn check_name(&mut self, field: &str, name: &str) {
        if is_valid_name(name) {
            return;
        }
        let error = ResourceError::new(ResourceErrorKind::BadName, field);
        let error = error.given(format!("{name:?}")).allowed(name_syntax());
        self.0.push(error.next_step("change the name"));
    }

    fn check_range<T: Display + PartialOrd>(
        &mut self,
        field: &str,
        given: T,
        range: RangeInclusive<T>,
    ) {
        if range.contains(&given) {
            return;
        }
        let allowed = format!("{} to {}", range.start(), range.end());
        let error = ResourceError::new(ResourceErrorKind::OutOfRange, field);
        self.0.push(
            error.given(given).allowed(allowed).next_step("choose a value within this range"),
        );
    }

    fn check_account(&mut self, spec: &AccountSpec) {
        self.check_range("spec.weight", spec.weight, WEIGHT_RANGE);
        self.check_range("spec.max_concurrent", spec.max_concurrent, CONCURRENCY_RANGE);
        self.check_range("spec.tokens_per_second", spec.tokens_per_second, TOKEN_RATE_RANGE);
        self.check_range("spec.key_digests.length", spec.key_digests.len(), KEY_COUNT_RANGE);
        for (index, digest) in spec.key_digests.iter().enumerate() {
            self.check_digest(&format!("spec.key_digests[{index}]"), digest);
        }
    }

    fn check_digest(&mut self, field: &str, digest: &str) {
        if is_key_digest(digest) {
            return;
        }
        let error = ResourceError::new(ResourceErrorKind::BadValue, field);
        self.0.push(
            error
                .given(format!("{} characters", digest.chars().count()))
                .allowed("the SHA-256 digest of a key, as 64 lower-case hexadecimal digits")
                .next_step("hash the key, for example with `printf %s KEY | sha256sum`"),
        );
    }

    fn check_admission(&mut self, spec: &AdmissionSpec) {
        self.check_range("spec.default_max_tokens", spec.default_max_tokens, OUTPUT_TOKENS_RANGE);
        self.check_range(
            "spec.request_timeout_ms",
            spec.request_timeout_ms,
            REQUEST_TIMEOUT_RANGE_MS,
        );
        let max_wait = spec.request_timeout_ms.max(1);
        self.check_range("spec.queue_timeout_ms", spec.queue_timeout_ms, 1..=max_wait);
        self.check_range("spec.max_queued", spec.max_queued, QUEUE_LENGTH_RANGE);
        let reserve = spec.short_reserve_permille;
        self.check_range("spec.short_reserve_permille", reserve, RESERVE_RANGE_PERMILLE);
        let archives = spec.max_archives_per_engine;
        self.check_range("spec.max_archives_per_engine", archives, ARCHIVES_PER_ENGINE_RANGE);
    }

    fn check_endpoint(&mut self, spec: &EndpointSpec) {
        self.check_name("spec.service", &spec.service);
        self.check_name("spec.data_centre", &spec.data_centre);
        self.check_range("spec.address.port", spec.address.port(), 1..=u16::MAX);
        self.check_range("spec.memory_tokens", spec.memory_tokens, MEMORY_TOKENS_RANGE);
        self.check_range("spec.max_concurrent", spec.max_concurrent, CONCURRENCY_RANGE);
        let cold_memory = 0..=spec.memory_tokens;
        self.check_range("spec.cold_memory_tokens", spec.cold_memory_tokens, cold_memory);
        let cold = 1..=spec.max_concurrent.max(1);
        self.check_range("spec.cold_concurrent", spec.cold_concurrent, cold);
    }

    fn check_service(&mut self, spec: &ServiceSpec) {
        match &spec.mode {
            ServiceMode::Model { max_context_tokens } => {
                let field = "spec.mode.model.max_context_tokens";
                self.check_range(field, *max_context_tokens, CONTEXT_TOKENS_RANGE);
            },
            ServiceMode::Plain(policy) => self.check_plain(policy),
        }
        let mut classes = BTreeSet::new();
        for (index, objective) in spec.objectives.iter().enumerate() {
            let path = format!("spec.objectives[{index}]");
            if !classes.insert(objective.class) {
                let field = format!("{path}.class");
                let error = ResourceError::new(ResourceErrorKind::Duplicate, field);
                self.0.push(
                    error
                        .given(objective.class)
                        .allowed("one objective for each class")
                        .next_step("remove one of the two"),
                );
            }
            let first = objective.first_token_ms;
            self.check_range(&format!("{path}.first_token_ms"), first, OBJECTIVE_RANGE_MS);
            let between = objective.between_tokens_ms;
            self.check_range(&format!("{path}.between_tokens_ms"), between, OBJECTIVE_RANGE_MS);
            let good = objective.good_permille;
            self.check_range(&format!("{path}.good_permille"), good, GOOD_RANGE_PERMILLE);
        }
    }

    fn check_plain(&mut self, policy: &PlainServiceSpec) {
        self.check_path("spec.mode.plain.prefix", &policy.prefix);
        let reserved =
            RESERVED_PREFIXES.iter().find(|taken| has_path_prefix(&policy.prefix, taken));
        if let Some(taken) = reserved {
            let error = ResourceError::new(ResourceErrorKind::BadValue, "spec.mode.plain.prefix");
            self.0.push(
                error
                    .given(&policy.prefix)
                    .allowed(format!("a path outside {}", RESERVED_PREFIXES.join(", ")))
                    .next_step(format!("choose another prefix; the node itself serves {taken}")),
            );
        }
        let count = policy.once_paths.len();
        self.check_range("spec.mode.plain.once_paths.length", count, PATH_COUNT_RANGE);
        for (index, path) in policy.once_paths.iter().enumerate() {
            self.check_path(&format!("spec.mode.plain.once_paths[{index}]"), path);
        }
    }

    fn check_path(&mut self, field: &str, path: &Arc<str>) {
        let is_path_char = |char: char| is_name_char(char) || char == '/';
        let is_normalized =
            !path.contains("//") && !path.contains("/.") && path.len() <= MAX_PATH_CHARS;
        let is_absolute = path.starts_with('/') && path.len() > 1 && !path.ends_with('/');
        if is_absolute && is_normalized && path.chars().all(is_path_char) {
            return;
        }
        let error = ResourceError::new(ResourceErrorKind::BadValue, field);
        self.0.push(
            error
                .given(format!("{path:?}"))
                .allowed("a path such as /booking, of letters, digits, '-', '.', '_' and '/'")
                .next_step("write the path without a trailing slash"),
        );
    }
}

/// Returns whether `name` is a valid name of a resource or a node; see [`name_syntax`].
pub fn is_valid_name(name: &str) -> bool {
    let starts_well = name.starts_with(|first: char| first.is_ascii_alphanumeric());
    starts_well && name.chars().all(is_name_char) && name.len() <= MAX_NAME_CHARS
}

/// Returns a description of the syntax of names, for error messages.
pub fn name_syntax() -> String {
    format!("1 to {MAX_NAME_CHARS} letters, digits, '-', '.' and '_', a letter or digit first")
}

/// Returns whether `text` has the format of a SHA-256 digest in lower-case hexadecimal.
pub fn is_key_digest(text: &str) -> bool {
    let is_lower_hex = |char: char| matches!(char, '0'..='9' | 'a'..='f');
    text.len() == DIGEST_CHARS && text.chars().all(is_lower_hex)
}

fn is_name_char(char: char) -> bool {
    char.is_ascii_alphanumeric() || matches!(char, '-' | '.' | '_')
}

/// Returns whether `path` equals `prefix` or lies below it; whole segments are compared.
pub fn has_path_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
