//! Parses resources from JSON, and reports the invalid field if they cannot be parsed.

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::ResourceError;
use super::ResourceErrorKind;
use super::ResourceKind;
use super::ResourceRecord;
use super::ResourceSpec;

/// Fields of a record at the top level.
const RECORD_FIELDS: [&str; 4] = ["generation", "kind", "name", "spec"];

/// Maximum number of records in one file.
const MAX_RECORDS: usize = 10_000;

impl ResourceRecord {
    /// Parses one record from JSON text.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn from_json(text: &[u8]) -> Result<Self, ResourceError> {
        Self::from_value(&parse_value(text)?)
    }

    /// Parses the records of a file: one record, a list of records, or an object with `items`.
    ///
    /// # Errors
    ///
    /// Returns the first fault found; in a list, its path starts with the index of the record.
    pub fn list_from_json(text: &[u8]) -> Result<Vec<Self>, ResourceError> {
        let value = parse_value(text)?;
        let items = match &value {
            Value::Array(items) => items,
            Value::Object(fields) => match fields.get("items") {
                Some(Value::Array(items)) => items,
                _ => return Self::from_value(&value).map(|record| vec![record]),
            },
            _ => return Self::from_value(&value).map(|record| vec![record]),
        };
        if items.len() > MAX_RECORDS {
            let error = ResourceError::new(ResourceErrorKind::OutOfRange, "items");
            let error = error.given(format!("{} records", items.len()));
            return Err(error
                .allowed(format!("at most {MAX_RECORDS}"))
                .next_step("split the file and apply the parts one after another"));
        }
        let indexed = items.iter().enumerate();
        indexed
            .map(|(index, item)| Self::from_value(item).map_err(|error| with_index(index, error)))
            .collect()
    }

    /// Parses one record from a JSON value.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn from_value(value: &Value) -> Result<Self, ResourceError> {
        let Value::Object(fields) = value else {
            let error = ResourceError::new(ResourceErrorKind::BadValue, "record");
            return Err(error.given(value).allowed("an object with kind, name and spec"));
        };
        check_field_names(fields, &RECORD_FIELDS, "")?;
        let kind = read_kind(fields)?;
        let name: String = read_field(fields, "name", "a text")?;
        let generation = match fields.get("generation") {
            None => 0,
            Some(_) => read_field(fields, "generation", "a whole number, 0 or more")?,
        };
        let spec = fields.get("spec").cloned().unwrap_or_else(|| json!({}));
        let spec = read_spec(kind, &spec)?;
        Ok(Self { name: name.into(), generation, spec })
    }
}

fn parse_value(text: &[u8]) -> Result<Value, ResourceError> {
    serde_json::from_slice(text).map_err(|error| {
        ResourceError::new(ResourceErrorKind::Syntax, "file")
            .given(format!("text that is not JSON: {error}"))
            .allowed("JSON: one record, a list of records, or an object with items")
    })
}

/// Prefixes the path of the field with the index of the record in its list.
fn with_index(index: usize, error: ResourceError) -> ResourceError {
    let field = format!("items[{index}].{}", error.field);
    ResourceError { field: field.into(), ..error }
}

fn read_kind(fields: &Map<String, Value>) -> Result<ResourceKind, ResourceError> {
    let given: String = read_field(fields, "kind", "a text")?;
    ResourceKind::from_name(&given).ok_or_else(|| unknown_kind_error(&given))
}

/// Creates the error for a kind that does not exist, and suggests a similar one.
pub fn unknown_kind_error(given: &str) -> ResourceError {
    let names = ResourceKind::ALL.map(ResourceKind::name);
    ResourceError::new(ResourceErrorKind::UnknownKind, "kind")
        .given(format!("{given:?}"))
        .allowed(names.join(", "))
        .next_step("use one of these kinds")
        .suggest(given, names)
}

fn read_field<T>(fields: &Map<String, Value>, name: &str, allowed: &str) -> Result<T, ResourceError>
where
    T: for<'de> Deserialize<'de>,
{
    let Some(value) = fields.get(name) else {
        let error = ResourceError::new(ResourceErrorKind::MissingField, name);
        return Err(error.allowed(allowed).next_step(format!("add the field `{name}`")));
    };
    T::deserialize(value).map_err(|_| {
        ResourceError::new(ResourceErrorKind::BadValue, name).given(value).allowed(allowed)
    })
}

fn read_spec(kind: ResourceKind, spec: &Value) -> Result<ResourceSpec, ResourceError> {
    let Value::Object(fields) = spec else {
        let error = ResourceError::new(ResourceErrorKind::BadValue, "spec");
        return Err(error.given(spec).allowed("an object"));
    };
    check_fields(spec, &full_spec(kind), "spec")?;
    let tagged = json!({"kind": kind, "spec": spec});
    ResourceSpec::deserialize(tagged).map_err(|error| locate_fault(kind, fields, &error))
}

/// Checks that every field of `given` exists in `expected`, at any depth.
fn check_fields(given: &Value, expected: &Value, path: &str) -> Result<(), ResourceError> {
    match (given, expected) {
        (Value::Object(given), Value::Object(expected)) => {
            let names: Vec<_> = expected.keys().map(String::as_str).collect();
            check_field_names(given, &names, &format!("{path}."))?;
            for (name, value) in given {
                check_fields(value, &expected[name], &format!("{path}.{name}"))?;
            }
            Ok(())
        },
        (Value::Array(given), Value::Array(expected)) => {
            let expected = expected.first().unwrap_or(&Value::Null);
            let mut indexed = given.iter().enumerate();
            indexed.try_for_each(|(index, item)| {
                check_fields(item, expected, &format!("{path}[{index}]"))
            })
        },
        _ => Ok(()),
    }
}

fn check_field_names(
    given: &Map<String, Value>,
    names: &[&str],
    path: &str,
) -> Result<(), ResourceError> {
    let Some((name, value)) = given.iter().find(|(name, _)| !names.contains(&name.as_str())) else {
        return Ok(());
    };
    let error = ResourceError::new(ResourceErrorKind::UnknownField, format!("{path}{name}"));
    Err(error
        .given(value)
        .allowed(format!("the fields {}", names.join(", ")))
        .next_step("remove the field")
        .suggest(name, names.iter().copied()))
}

/// Finds the field because of which the spec cannot be parsed.
///
/// serde does not report the path of the field. Therefore this tries each field by itself: it puts
/// the given value into an otherwise valid spec, or removes the field if it is not given, and
/// reports the first field with which parsing fails.
fn locate_fault(
    kind: ResourceKind,
    fields: &Map<String, Value>,
    error: &serde_json::Error,
) -> ResourceError {
    let valid = example_fields(kind);
    for (name, value) in &valid {
        let mut candidate = valid.clone();
        match fields.get(name) {
            None => _ = candidate.remove(name),
            Some(given) => _ = candidate.insert(name.clone(), given.clone()),
        }
        let Err(fault) = ResourceSpec::deserialize(json!({"kind": kind, "spec": candidate})) else {
            continue;
        };
        let field = format!("spec.{name}");
        if !fields.contains_key(name) {
            let missing = ResourceError::new(ResourceErrorKind::MissingField, field);
            return missing
                .allowed(format!("for example {value}"))
                .next_step(format!("add the field `{name}`"));
        }
        let bad = ResourceError::new(ResourceErrorKind::BadValue, field);
        return bad.given(&fields[name]).allowed(format!("for example {value}; {fault}"));
    }
    ResourceError::new(ResourceErrorKind::BadValue, "spec").given(error)
}

/// Returns an example spec that has every field of the kind, including both modes of a service.
fn full_spec(kind: ResourceKind) -> Value {
    let mut fields = example_fields(kind);
    if kind == ResourceKind::Service {
        let plain = json!({"prefix": "/booking", "once_paths": ["/orders"]});
        fields["mode"]["plain"] = plain;
    }
    Value::Object(fields)
}

/// Returns the fields of a valid example spec of the kind.
fn example_fields(kind: ResourceKind) -> Map<String, Value> {
    let spec = match kind {
        ResourceKind::Account => json!({
            "weight": 1, "max_concurrent": 100, "tokens_per_second": 0, "key_digests": [],
        }),
        ResourceKind::Admission => json!({
            "default_max_tokens": 1024, "queue_timeout_ms": 30_000, "request_timeout_ms": 600_000,
            "max_queued": 10_000, "short_reserve_permille": 150, "max_archives_per_engine": 1,
        }),
        ResourceKind::DataCentre => json!({"region": "north", "duty": "in"}),
        ResourceKind::Endpoint => json!({
            "service": "assistant", "data_centre": "north-1", "address": "10.0.0.1:8000",
            "memory_tokens": 1_000_000, "max_concurrent": 64, "cold_memory_tokens": 50_000,
            "cold_concurrent": 2, "duty": "in",
        }),
        ResourceKind::Service => json!({
            "mode": {"model": {"max_context_tokens": 1_000_000}},
            "objectives": [{
                "class": "short", "first_token_ms": 570, "between_tokens_ms": 42,
                "good_permille": 950,
            }],
        }),
    };
    match spec {
        Value::Object(fields) => fields,
        _ => Map::new(),
    }
}
