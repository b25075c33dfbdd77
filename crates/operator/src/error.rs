//! Errors in the text of statements.

use std::fmt;

use thiserror::Error;

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
