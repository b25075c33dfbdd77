//! `sequoiastream completions SHELL`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;
use clap_complete::generate;

/// Command line of `completions`.
pub fn cli() -> Command {
    Command::new("completions")
        .about("Prints a completion script for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Runs `completions` for `command`, the complete command line.
pub fn exec(args: &ArgMatches, mut command: Command) -> eyre::Result<()> {
    let shell = *args.get_one::<Shell>("shell").expect("is required");
    generate(shell, &mut command, "sequoiastream", &mut std::io::stdout());
    Ok(())
}
