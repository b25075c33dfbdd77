//! Syntax errors in statements.

use std::collections::BTreeSet;
use std::fmt;

use thiserror::Error;
use winnow::LocatingSlice;
use winnow::error::ParserError;
use winnow::stream::Location;

/// What is wrong with a statement, and where.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SyntaxError {
    /// Line in the text, starting at 1.
    pub line: usize,
    /// Column in the line, in characters, starting at 1.
    pub column: usize,
    /// Text of the line.
    pub text: String,
    /// What was found at this position.
    pub found: String,
    /// What was expected at this position.
    pub expected: String,
}

impl SyntaxError {
    /// The error that `expected` was not found at the byte offset `at` of `text`.
    pub(crate) fn new(text: &str, at: usize, expected: &str) -> SyntaxError {
        let at = at.min(text.len());
        let before = &text[..at];
        let start = before.rfind('\n').map_or(0, |i| i + 1);
        let line = text[start..].lines().next().unwrap_or_default();
        let found = match text[at..]
            .split([' ', '\n', '\t', ';'])
            .find(|word| !word.is_empty())
        {
            Some(word) => format!("`{word}`"),
            None => "the end".to_string(),
        };
        SyntaxError {
            line: before.matches('\n').count() + 1,
            column: text[start..at].chars().count() + 1,
            text: line.to_string(),
            found,
            expected: expected.to_string(),
        }
    }
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "line {}, column {}: expected {}, found {}",
            self.line, self.column, self.expected, self.found
        )?;
        writeln!(f, "  {}", self.text)?;
        write!(f, "  {:>width$}", "^", width = self.column)
    }
}

/// What a parser expected, and where. If two alternatives fail, the error of the one that read further is kept; if both
/// failed at the same offset, the items that they expected are combined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Expected {
    offset: usize,
    items: BTreeSet<String>,
}

impl Expected {
    /// The error that `item` was not found at the byte offset `at`.
    pub(crate) fn new(at: usize, item: impl Into<String>) -> Expected {
        Expected {
            offset: at,
            items: BTreeSet::from([item.into()]),
        }
    }

    /// Converts the error to a [`SyntaxError`] that shows the line of `text` around it.
    pub(crate) fn in_text(&self, text: &str) -> SyntaxError {
        let items: Vec<&str> = self.items.iter().map(String::as_str).collect();
        SyntaxError::new(text, self.offset, &items.join(" or "))
    }
}

impl<'a> ParserError<LocatingSlice<&'a str>> for Expected {
    type Inner = Self;

    fn from_input(input: &LocatingSlice<&'a str>) -> Self {
        Expected {
            offset: input.current_token_start(),
            items: BTreeSet::new(),
        }
    }

    fn or(mut self, mut other: Self) -> Self {
        match self.offset.cmp(&other.offset) {
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Equal => {
                self.items.append(&mut other.items);
                self
            }
        }
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}
