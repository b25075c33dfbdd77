//! `sequoiastream watch [QUERY]`

use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use sequoiastream_operator::wire::ReplyBody;

use crate::context::Context;

/// Command line of `watch`.
pub fn cli() -> Command {
    Command::new("watch")
        .about("Repeats a query and prints its result whenever it has changed, until interrupted")
        .arg(
            Arg::new("query")
                .num_args(1..)
                .default_value("show changes limit 10")
                .help("The query"),
        )
        .arg(
            Arg::new("every")
                .long("every")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("2")
                .help("Interval between queries, in seconds"),
        )
        .arg(
            Arg::new("times")
                .long("times")
                .value_name("COUNT")
                .value_parser(value_parser!(u64).range(1..))
                .help("Exits after this number of queries"),
        )
}

/// Runs `watch`.
pub async fn exec(context: &Context, args: &ArgMatches) -> eyre::Result<()> {
    let words = args.get_many::<String>("query").unwrap_or_default();
    let query = words.cloned().collect::<Vec<_>>().join(" ");
    let every = Duration::from_secs(*args.get_one("every").expect("has a default"));
    let times = args.get_one::<u64>("times").copied().unwrap_or(u64::MAX);
    let mut last = None;
    for index in 0..times {
        if index > 0 {
            tokio::time::sleep(every).await;
        }
        let table = context.table(&query).await?;
        if last.as_ref() != Some(&table) {
            context.print(&ReplyBody::Table(table.clone()))?;
            last = Some(table);
        }
    }
    Ok(())
}
