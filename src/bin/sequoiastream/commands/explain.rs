//! `sequoiastream explain`

use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;
use sequoiastream::ops::explain;
use sequoiastream::ops::explain::Log;

/// Command line of `explain`.
pub fn cli() -> Command {
    Command::new("explain")
        .about("Shows the history of a request, from the logs of the instances")
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .required(true)
                .help("The request id that the caller sent"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of the instances, in JSON lines"),
        )
}

/// Runs `explain`.
pub fn exec(args: &ArgMatches) -> eyre::Result<()> {
    let request = args.get_one::<String>("request").expect("it is required");
    let files = args.get_many::<PathBuf>("file").expect("it is required");
    let logs: eyre::Result<Vec<Log>> = files.map(read).collect();
    print!("{}", explain::explain(request, &logs?)?);
    Ok(())
}

fn read(path: &PathBuf) -> eyre::Result<Log> {
    let bytes = std::fs::read(path).wrap_err_with(|| format!("could not read {}", path.display()))?;
    Ok(Log {
        name: path.display().to_string(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}
