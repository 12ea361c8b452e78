//! Errors in settings files.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

/// Classifies an error in a settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingsErrorKind {
    /// The file could not be read.
    Unreadable,
    /// The file is not valid INI.
    Syntax,
    /// The file has a section that is not known.
    UnknownSection,
    /// The section has a key that is not known.
    UnknownKey,
    /// A key that has no default is absent.
    Missing,
    /// The value cannot be parsed as the type of its key, or is out of range.
    Invalid,
}

/// Describes one error in a settings file: where it is, what was given and what is allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    kind: SettingsErrorKind,
    file: PathBuf,
    section: Arc<str>,
    key: Arc<str>,
    given: Arc<str>,
    allowed: Arc<str>,
    hint: Option<Arc<str>>,
}

impl SettingsError {
    /// Creates an error of `kind` about `file`.
    pub fn new(kind: SettingsErrorKind, file: impl Into<PathBuf>) -> Self {
        Self {
            kind,
            file: file.into(),
            section: "".into(),
            key: "".into(),
            given: "".into(),
            allowed: "".into(),
            hint: None,
        }
    }

    /// Sets the section that has the error.
    pub fn section(mut self, section: impl Into<Arc<str>>) -> Self {
        self.section = section.into();
        self
    }

    /// Sets the key that has the error.
    pub fn key(mut self, key: impl Into<Arc<str>>) -> Self {
        self.key = key.into();
        self
    }

    /// Sets the value that was given.
    pub fn given(mut self, given: impl Into<Arc<str>>) -> Self {
        self.given = given.into();
        self
    }

    /// Sets the description of the allowed values.
    pub fn allowed(mut self, allowed: impl Into<Arc<str>>) -> Self {
        self.allowed = allowed.into();
        self
    }

    /// Sets the known name that was probably meant.
    pub fn hint(mut self, hint: Option<Arc<str>>) -> Self {
        self.hint = hint;
        self
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> SettingsErrorKind {
        self.kind
    }

    /// Returns the section that has the error; empty if the error concerns the whole file.
    pub fn get_section(&self) -> &str {
        &self.section
    }

    /// Returns the key that has the error; empty if the error concerns a whole section or the file.
    pub fn get_key(&self) -> &str {
        &self.key
    }

    fn write_fault(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            SettingsErrorKind::Unreadable => write!(formatter, "cannot be read: {}", self.given),
            SettingsErrorKind::Syntax => write!(formatter, "is not valid INI: {}", self.given),
            SettingsErrorKind::UnknownSection => {
                write!(formatter, "section [{}] is unknown", self.section)
            },
            SettingsErrorKind::UnknownKey => {
                write!(formatter, "[{}] key `{}` is unknown", self.section, self.key)
            },
            SettingsErrorKind::Missing => {
                write!(formatter, "[{}] key `{}` is missing", self.section, self.key)
            },
            SettingsErrorKind::Invalid => write!(
                formatter,
                "[{}] key `{}` has the value `{}`",
                self.section, self.key, self.given
            ),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.file.display())?;
        self.write_fault(formatter)?;
        if !self.allowed.is_empty() {
            write!(formatter, "; allowed: {}", self.allowed)?;
        }
        if let Some(hint) = &self.hint {
            write!(formatter, "; did you mean `{hint}`?")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
