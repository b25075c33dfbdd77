//! `sequoiastream audit`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use sequoiastream_operator::wire::ReplyBody;

use crate::context::Context;

/// Command line of `audit`.
pub fn cli() -> Command {
    Command::new("audit")
        .about("Shows who changed what, newest first")
        .arg(
            Arg::new("by")
                .long("by")
                .value_name("NAME")
                .help("Show only changes by this operator"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("ROWS")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("20")
                .help("Maximum number of changes to show"),
        )
}

/// Runs `audit`.
pub async fn exec(context: &Context, args: &ArgMatches) -> eyre::Result<()> {
    let limit = args.get_one::<u32>("limit").expect("has a default");
    let by = match args.get_one::<String>("by") {
        Some(name) => format!(" where who = \"{}\"", name.replace('"', "")),
        None => String::new(),
    };
    let table = context.table(&format!("show changes{by} limit {limit}")).await?;
    context.print(&ReplyBody::Table(table))
}
