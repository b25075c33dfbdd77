//! The cases.

mod dark_poison;
mod ended_engine;
mod extra_bytes;
mod foreign_entry;

/// What a run shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// Runs a case.
pub fn run(name: &str, record: &str, trouble: bool) -> std::io::Result<Verdict> {
    match name {
        "dark-poison" => dark_poison::run(record, trouble),
        "foreign-entry" => foreign_entry::run(record, trouble),
        "ended-engine" => ended_engine::run(record, trouble),
        "extra-bytes" => extra_bytes::run(record, trouble),
        _ => Ok(Verdict::NotRun),
    }
}
