//! The statement language and the HTTP interface for operators.
//!
//! [`parse`] turns the text of a statement into a typed [`Statement`]; `docs/GRAMMAR.md` documents the language.
//! [`http`] is the interface that the command-line tool calls. The daemon executes the statements, by implementing
//! [`http::Executor`].

mod error;
mod grammar;
pub mod http;
mod select;
mod statement;
mod summary;
mod token;
pub mod wire;

pub use error::SyntaxError;
pub use grammar::parse;
pub use grammar::parse_script;
pub use select::select;
pub use statement::Filter;
pub use statement::Query;
pub use statement::Statement;
pub use statement::Table;
pub use summary::summary;
