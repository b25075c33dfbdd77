//! Seeded runs.
