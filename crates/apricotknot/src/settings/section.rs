//! Reads one section of an INI file into typed values.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::resources::is_valid_name;
use apricotknot_core::resources::name_syntax;
use ini::Ini;
use ini::Properties;

use super::SecretKey;
use super::SettingsError;
use super::SettingsErrorKind;

/// Text that replaces a secret in an error message.
const REDACTED_SECRET: &str = "hidden";

/// Format of a secret, as named in error messages.
const SECRET_FORMAT: &str = "at least 32 hexadecimal digits";

/// Smallest Jaro-Winkler similarity (0 to 1) at which a name counts as a misspelling of another.
const MIN_HINT_SIMILARITY: f64 = 0.7;

/// Returns the allowed name that is most similar to `given`, or `None` if none is similar enough.
pub(super) fn closest_name<'a>(
    given: &str,
    allowed: impl Iterator<Item = &'a str>,
) -> Option<Arc<str>> {
    allowed
        .map(|name| (strsim::jaro_winkler(given, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_HINT_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name.into())
}

/// Reads the file at `path` and parses its text with `parse`.
pub(super) fn read_file<T>(
    path: &Path,
    parse: impl FnOnce(&Path, &str) -> Result<T, SettingsError>,
) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        SettingsError::new(SettingsErrorKind::Unreadable, path).given(error.to_string())
    })?;
    parse(path, &text)
}

/// Parses INI text, and returns an error if it has a section that is not in `known`.
pub(super) fn load_sections(
    path: &Path,
    text: &str,
    known: &[&'static str],
) -> Result<Ini, SettingsError> {
    let ini = Ini::load_from_str(text).map_err(|error| {
        SettingsError::new(SettingsErrorKind::Syntax, path).given(error.to_string())
    })?;
    let unknown = ini.sections().flatten().find(|name| !known.contains(name));
    let Some(name) = unknown else {
        return Ok(ini);
    };
    Err(SettingsError::new(SettingsErrorKind::UnknownSection, path)
        .section(name)
        .allowed(known.join(", "))
        .hint(closest_name(name, known.iter().copied())))
}

/// Key and value of one line; both are valid names.
pub(super) type NamePair = (Arc<str>, Arc<str>);

/// Reads the keys of one section, and records each key read, so that `finish` finds unknown keys.
pub(super) struct SectionReader<'a> {
    file: &'a Path,
    name: &'static str,
    properties: Option<&'a Properties>,
    known_keys: BTreeSet<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of section `name`; a section that is absent has no keys.
    pub(super) fn new(file: &'a Path, ini: &'a Ini, name: &'static str) -> Self {
        Self { file, name, properties: ini.section(Some(name)), known_keys: BTreeSet::new() }
    }

    /// Returns whether the file has the section.
    pub(super) fn is_present(&self) -> bool {
        self.properties.is_some()
    }

    /// Reads a text that must be present and not empty.
    pub(super) fn required(
        &mut self,
        key: &'static str,
        allowed: &str,
    ) -> Result<Arc<str>, SettingsError> {
        let text = self.find(key).filter(|text| !text.is_empty());
        text.map(Into::into).ok_or_else(|| self.error(SettingsErrorKind::Missing, key, "", allowed))
    }

    /// Reads a valid resource name, which must be present.
    pub(super) fn name(&mut self, key: &'static str) -> Result<Arc<str>, SettingsError> {
        let allowed = name_syntax();
        let name = self.required(key, &allowed)?;
        if is_valid_name(&name) {
            return Ok(name);
        }
        Err(self.error(SettingsErrorKind::Invalid, key, &name, &allowed))
    }

    /// Parses a value, or returns `default` if the key is absent.
    pub(super) fn parsed<T: FromStr>(
        &mut self,
        key: &'static str,
        default: T,
        allowed: &str,
    ) -> Result<T, SettingsError> {
        let Some(text) = self.find(key) else {
            return Ok(default);
        };
        text.parse().map_err(|_| self.error(SettingsErrorKind::Invalid, key, text, allowed))
    }

    /// Parses a value that must be present.
    pub(super) fn required_parsed<T: FromStr>(
        &mut self,
        key: &'static str,
        allowed: &str,
    ) -> Result<T, SettingsError> {
        let text = self.required(key, allowed)?;
        text.parse().map_err(|_| self.error(SettingsErrorKind::Invalid, key, &text, allowed))
    }

    /// Reads a secret, or `None` if it is absent or empty; errors do not show its value.
    pub(super) fn secret(&mut self, key: &'static str) -> Result<Option<SecretKey>, SettingsError> {
        let Some(text) = self.find(key).filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        let secret = text.parse();
        secret.map(Some).map_err(|_| {
            self.error(SettingsErrorKind::Invalid, key, REDACTED_SECRET, SECRET_FORMAT)
        })
    }

    /// Reads a secret that must be present; errors do not show its value.
    pub(super) fn required_secret(
        &mut self,
        key: &'static str,
    ) -> Result<SecretKey, SettingsError> {
        let secret = self.secret(key)?;
        secret.ok_or_else(|| self.error(SettingsErrorKind::Missing, key, "", SECRET_FORMAT))
    }

    /// Reads a number within `range`, or returns `default` if the key is absent.
    pub(super) fn number<T>(
        &mut self,
        key: &'static str,
        default: T,
        range: RangeInclusive<T>,
    ) -> Result<T, SettingsError>
    where
        T: Copy + Display + FromStr + PartialOrd,
    {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.parsed(key, default, &allowed)?;
        if range.contains(&number) {
            return Ok(number);
        }
        Err(self.error(SettingsErrorKind::Invalid, key, &number.to_string(), &allowed))
    }

    /// Reads a duration in milliseconds within `range`, or returns `default` if the key is absent.
    pub(super) fn milliseconds(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<Duration, SettingsError> {
        self.number(key, default, range).map(Duration::from_millis)
    }

    /// Reads an IP address and port, which must be present.
    pub(super) fn address(&mut self, key: &'static str) -> Result<SocketAddr, SettingsError> {
        self.required_parsed(key, "an IP address and port, such as 127.0.0.1:8080")
    }

    /// Reads a list separated by commas; the list is empty if the key is absent.
    pub(super) fn list<T: FromStr>(
        &mut self,
        key: &'static str,
        allowed: &str,
    ) -> Result<Vec<T>, SettingsError> {
        let text = self.find(key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items
            .map(|item| {
                item.parse().map_err(|_| self.error(SettingsErrorKind::Invalid, key, item, allowed))
            })
            .collect()
    }

    /// Reads all keys and values of a section in which both must be valid names.
    pub(super) fn names(self) -> Result<Vec<NamePair>, SettingsError> {
        let allowed = name_syntax();
        let entries = self.properties.into_iter().flat_map(Properties::iter);
        entries
            .map(|(key, value)| {
                let value = value.trim();
                if is_valid_name(key) && is_valid_name(value) {
                    return Ok((key.into(), value.into()));
                }
                Err(self.error(SettingsErrorKind::Invalid, key, value, &allowed))
            })
            .collect()
    }

    /// Returns an error if the section has a key that no earlier call has read.
    pub(super) fn finish(self) -> Result<(), SettingsError> {
        let Some(properties) = self.properties else {
            return Ok(());
        };
        let unknown =
            properties.iter().map(|(key, _)| key).find(|key| !self.known_keys.contains(key));
        let Some(key) = unknown else {
            return Ok(());
        };
        let names: Vec<&str> = self.known_keys.iter().copied().collect();
        Err(self
            .error(SettingsErrorKind::UnknownKey, key, "", &names.join(", "))
            .hint(closest_name(key, names.into_iter())))
    }

    /// Creates an error about `key` of this section.
    pub(super) fn error(
        &self,
        kind: SettingsErrorKind,
        key: &str,
        given: &str,
        allowed: &str,
    ) -> SettingsError {
        SettingsError::new(kind, self.file)
            .section(self.name)
            .key(key)
            .given(given)
            .allowed(allowed)
    }

    /// Returns the trimmed value of `key`, and records the key as known.
    fn find(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.insert(key);
        self.properties.and_then(|properties| properties.get(key)).map(str::trim)
    }
}
