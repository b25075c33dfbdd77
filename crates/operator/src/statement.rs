//! Statements as data.

use std::fmt;

use sequoiastream_core::config::Command;

/// What a query shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// Products and what they are owed.
    Products,
    /// Services and what stands behind them.
    Services,
    /// Engines and plain upstreams.
    Engines,
    /// The audit trail.
    Changes,
    /// Fingerprints of requests that may not run.
    Quarantine,
    /// Who holds the authority of each service.
    Leases,
    /// The last order to each engine, and whether it is settled.
    Orders,
    /// Claims on requests that may not be repeated, as far as this instance holds them.
    Claims,
    /// Entry instances, as this one sees them.
    Instances,
    /// What products are owed and use of each service through the asked instance.
    Limits,
}

impl Table {
    /// All tables, with the names by which statements call them.
    pub const ALL: &[(&'static str, Table)] = &[
        ("products", Table::Products),
        ("services", Table::Services),
        ("engines", Table::Engines),
        ("changes", Table::Changes),
        ("quarantine", Table::Quarantine),
        ("leases", Table::Leases),
        ("orders", Table::Orders),
        ("claims", Table::Claims),
        ("instances", Table::Instances),
        ("limits", Table::Limits),
    ];
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Table::ALL.iter().find(|(_, table)| table == self);
        f.pad(name.map_or("?", |(name, _)| name))
    }
}

/// Keeps the rows whose cell in `column` is (or is not) `value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filter {
    /// Name of the column.
    pub column: String,
    /// Whether the cell must be equal, or must differ.
    pub equal: bool,
    /// What it is compared with.
    pub value: String,
}

/// A query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// What to show.
    pub table: Table,
    /// Conditions, all of which must hold.
    pub filters: Vec<Filter>,
    /// Most rows to show.
    pub limit: Option<usize>,
}

/// A statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Asks what holds now.
    Show(Query),
    /// Tells what shall hold next.
    Change(Command),
}
