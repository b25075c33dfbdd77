//! What operators say to sequoiastream and what they are told.
//!
//! [`parse`] turns the text of a statement into a typed [`Statement`]; `docs/GRAMMAR.md` is the language's
//! page. [`http`] is the interface that the command-line tool calls. Statements are carried out by the
//! daemon, through [`http::Executor`].

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
