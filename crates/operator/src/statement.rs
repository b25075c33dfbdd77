//! Types for parsed statements.

use std::fmt;

use sequoiastream_core::config::Command;

/// A table that can be queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// Products and their settings, such as the share.
    Products,
    /// Services, with their kind and number of engines.
    Services,
    /// Engines and plain upstreams.
    Engines,
    /// The audit trail: accepted changes.
    Changes,
    /// Fingerprints of requests that must not run.
    Quarantine,
    /// Holders of the authority leases, by service.
    Leases,
    /// The last order to each engine, and whether it is settled.
    Orders,
    /// Claims on requests that must not be repeated, as far as this instance holds them.
    Claims,
    /// Entry instances, as seen by the queried one.
    Instances,
    /// Entitlement and use of each product for each service, through the queried instance.
    Limits,
}

impl Table {
    /// All tables, with their names in statements.
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

/// Condition that the cell in `column` is equal to `value`, or differs from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filter {
    /// Name of the column.
    pub column: String,
    /// Whether the cell must be equal (`true`) or must differ (`false`).
    pub equal: bool,
    /// The value with which the cell is compared.
    pub value: String,
}

/// A query for rows of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The table to show.
    pub table: Table,
    /// Conditions that must all be met by a row.
    pub filters: Vec<Filter>,
    /// Maximum number of rows to show.
    pub limit: Option<usize>,
}

/// A statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Queries the current state.
    Show(Query),
    /// Changes the configuration.
    Change(Command),
}
