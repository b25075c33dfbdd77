//! Bodies of the operators' HTTP interface.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Statements to carry out: one query, or changes that are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementBody {
    /// Names the command; giving the same id again is answered with the first outcome.
    pub id: Uuid,
    /// The operator.
    pub who: String,
    /// The statements.
    pub text: String,
    /// The version that the operator decided on. A later change of the same things is then a conflict.
    /// Without it that holds for changes of other operators after the version in force where this came in.
    #[serde(default)]
    pub base: Option<u64>,
    /// Only say what would change.
    #[serde(default)]
    #[serde(rename = "dry")]
    pub dry_run: bool,
    /// Answer only when every reachable instance has the change in force, or after a limit.
    #[serde(default)]
    pub wait: bool,
}

/// A table of texts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableBody {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with a cell for every column.
    pub rows: Vec<Vec<String>>,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// The version that the change made.
    pub version: u64,
    /// Whether it had been accepted before.
    pub repeated: bool,
    /// Instances on which it is known to be in force.
    #[serde(rename = "force")]
    pub in_force: u32,
    /// Instances that are known.
    pub known: u32,
}

/// Answer to statements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyBody {
    /// Answer to a query.
    Table(TableBody),
    /// Changes were accepted.
    Accepted(AcceptedBody),
    /// What the changes would do, were they not only tried: a row for each thing that would differ.
    Difference(TableBody),
}

/// Why statements were not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong, possibly over several lines.
    pub error: String,
    /// What to do next.
    pub help: Option<String>,
}
