//! Errors in the text of statements.

use std::collections::BTreeSet;
use std::fmt;

use thiserror::Error;
use winnow::LocatingSlice;
use winnow::error::ParserError;
use winnow::stream::Location;

/// What is wrong with a statement, and where.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SyntaxError {
    /// Line of the text, from 1.
    pub line: usize,
    /// Column in the line, in characters, from 1.
    pub column: usize,
    /// The line itself.
    pub text: String,
    /// What was found there.
    pub found: String,
    /// What could have stood there.
    pub expected: String,
}

impl SyntaxError {
    /// The error that `expected` was not found at byte `at` of `text`.
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

/// What a parser expected, and where. Of two alternatives the one that got further counts; if both failed at
/// the same place, either could have stood there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Expected {
    offset: usize,
    items: BTreeSet<String>,
}

impl Expected {
    /// The error that `what` was not found at byte `at`.
    pub(crate) fn new(at: usize, what: impl Into<String>) -> Expected {
        Expected {
            offset: at,
            items: BTreeSet::from([what.into()]),
        }
    }

    /// The error with the text around it.
    pub(crate) fn in_text(&self, text: &str) -> SyntaxError {
        let what: Vec<&str> = self.items.iter().map(String::as_str).collect();
        SyntaxError::new(text, self.offset, &what.join(" or "))
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
