//! Subcommands: one file each, with `cli()` and `exec()`.

mod apply;
mod query;

use clap::ArgMatches;
use clap::Command;

use crate::context::Context;

/// All subcommands.
pub fn cli() -> Vec<Command> {
    vec![apply::cli(), query::cli()]
}

/// Runs the subcommand `name`.
pub async fn exec(name: &str, context: &Context, args: &ArgMatches) -> eyre::Result<()> {
    match name {
        "apply" => apply::exec(context, args).await,
        _ => query::exec(context, args).await,
    }
}
