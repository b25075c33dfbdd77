//! Names that operators give to products, services, engines, instances and availability zones.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A validated name: a lower-case letter, followed by lower-case letters, digits, `-`, `.` or `_`.
///
/// Cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Why a text is not a valid [`Name`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name can't be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text contains a character (first field) that is not allowed at its byte offset (second field).
    #[error(
        "{0:?} can't stand at byte {1} of a name (lower-case letter first, then also digits, `-`, `.`, `_`)"
    )]
    InvalidCharacter(char, usize),
}

impl Name {
    /// Validates `text` as a name.
    ///
    /// # Errors
    ///
    /// [`NameError`] if the text is empty, too long or contains a character that is not allowed.
    pub fn new(text: &str) -> Result<Name, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(NameError::TooLong(text.len()));
        }
        match text.char_indices().find(|&(i, c)| !is_allowed(i, c)) {
            Some((i, c)) => Err(NameError::InvalidCharacter(c, i)),
            None => Ok(Name(Arc::from(text))),
        }
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_allowed(at: usize, c: char) -> bool {
    match c {
        'a'..='z' => true,
        '0'..='9' | '-' | '.' | '_' => at > 0,
        _ => false,
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        Name::new(text)
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.to_string()
    }
}
