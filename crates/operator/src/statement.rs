//! Statements as data.

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
    /// Who holds the authority of each service.
    Leases,
    /// The last order to each engine, and whether it is settled.
    Orders,
}

/// A statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Asks what holds now.
    Show(Table),
    /// Tells what shall hold next.
    Change(Command),
}
