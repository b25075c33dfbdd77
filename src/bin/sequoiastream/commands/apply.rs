//! `sequoiastream apply FILE`

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;

use crate::context::Context;

/// Command line of `apply`.
pub fn cli() -> Command {
    Command::new("apply")
        .about("Gives the statements of a file, all or none of them")
        .arg(
            Arg::new("file")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The file"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Only say what would change"),
        )
}

/// Runs `apply`.
pub async fn exec(context: &Context, args: &ArgMatches) -> eyre::Result<()> {
    let file = args.get_one::<PathBuf>("file").expect("is required");
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("could not read {}", file.display()))?;
    context.execute(text, args.get_flag("dry-run")).await
}
