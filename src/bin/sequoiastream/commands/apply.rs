//! `sequoiastream apply FILE`

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;

use crate::commands::query;
use crate::context::Context;

/// Command line of `apply`.
pub fn cli() -> Command {
    Command::new("apply")
        .about("Executes the commands of a file, either all or none of them")
        .arg(
            Arg::new("file")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The file, or `-` for standard input"),
        )
        .args(query::command_args())
}

/// Runs `apply`.
pub async fn exec(context: &Context, args: &ArgMatches) -> eyre::Result<()> {
    let file = args.get_one::<PathBuf>("file").expect("is required");
    let text = match file.as_os_str() == "-" {
        true => std::io::read_to_string(std::io::stdin()),
        false => std::fs::read_to_string(file),
    };
    let text = text.wrap_err_with(|| format!("could not read {}", file.display()))?;
    let reply = context.execute(query::request(text, args)).await?;
    context.print(&reply)
}
