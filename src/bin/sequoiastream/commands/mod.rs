//! The subcommands, one file each with a `cli()` and an `exec()`.

mod apply;
mod audit;
mod completions;
mod explain;
mod query;
mod status;
mod watch;

use clap::ArgMatches;
use clap::Command;

use crate::context::Context;

/// All subcommands.
pub fn cli() -> Vec<Command> {
    vec![
        apply::cli(),
        audit::cli(),
        completions::cli(),
        explain::cli(),
        query::cli(),
        status::cli(),
        watch::cli(),
    ]
}

/// Runs the subcommand `name` of `command`, the complete command line.
pub async fn exec(name: &str, context: &Context, args: &ArgMatches, command: Command) -> eyre::Result<()> {
    match name {
        "apply" => apply::exec(context, args).await,
        "audit" => audit::exec(context, args).await,
        "completions" => completions::exec(args, command),
        "explain" => explain::exec(args),
        "status" => status::exec(context).await,
        "watch" => watch::exec(context, args).await,
        _ => query::exec(context, args).await,
    }
}
