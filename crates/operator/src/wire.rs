//! Request and response bodies of the HTTP interface for operators.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Statements to execute: one query, or changes that are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementBody {
    /// ID of the command; a command that is sent again with the same ID is answered with the first outcome.
    pub id: Uuid,
    /// Name of the operator.
    pub who: String,
    /// Text of the statements.
    pub text: String,
    /// The configuration version on which the operator based the decision. A later change to the same resources is a
    /// conflict. If absent, a change by another operator to the same resources is a conflict if it is later than the
    /// version in force on the instance that received the statements.
    #[serde(default)]
    pub base: Option<u64>,
    /// Only report what would change.
    #[serde(default)]
    #[serde(rename = "dry")]
    pub dry_run: bool,
    /// Respond only when the change is in force on every reachable instance, or after a time limit.
    #[serde(default)]
    pub wait: bool,
}

/// A table of strings.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableBody {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with a cell for every column.
    pub rows: Vec<Vec<String>>,
}

/// Result of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// The configuration version that the change created.
    pub version: u64,
    /// Whether the change had already been accepted before.
    pub repeated: bool,
    /// Number of instances on which the change is known to be in force.
    #[serde(rename = "force")]
    pub in_force: u32,
    /// Number of known instances.
    pub known: u32,
}

/// Response to statements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyBody {
    /// Result of a query.
    Table(TableBody),
    /// The changes were accepted.
    Accepted(AcceptedBody),
    /// Result of a dry run: a row for each resource that the changes would affect.
    Difference(TableBody),
}

/// Why statements were not executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error message, possibly of several lines.
    pub error: String,
    /// Advice on what to do next.
    pub help: Option<String>,
}
