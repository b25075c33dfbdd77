//! `sequoiastream query STATEMENT`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::context::Context;

/// Command line of `query`.
pub fn cli() -> Command {
    Command::new("query").about("Gives one statement").arg(
        Arg::new("statement")
            .required(true)
            .num_args(1..)
            .help("The statement, such as: show engines"),
    )
}

/// Runs `query`.
pub async fn exec(context: &Context, args: &ArgMatches) -> eyre::Result<()> {
    let words = args.get_many::<String>("statement").unwrap_or_default();
    let text = words.cloned().collect::<Vec<_>>().join(" ");
    context.execute(text, false).await
}
