//! `sequoiastream query STATEMENT`

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use uuid::Uuid;

use crate::context::Context;
use crate::context::Request;

/// Command line of `query`.
pub fn cli() -> Command {
    Command::new("query")
        .about("Executes one statement: a query or a command")
        .arg(
            Arg::new("statement")
                .required(true)
                .num_args(1..)
                .help("The statement, such as: show engines where zone = lodi-a"),
        )
        .args(command_args())
}

/// Options for the execution of a command; `apply` has them too.
pub fn command_args() -> [Arg; 3] {
    [
        Arg::new("id")
            .long("id")
            .value_parser(value_parser!(Uuid))
            .help("Repeats a command with its previous id: it takes effect at most once"),
        Arg::new("dry-run")
            .long("dry-run")
            .action(ArgAction::SetTrue)
            .help("Shows what would change, without changing it"),
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Waits until the change is in force on every reachable instance"),
    ]
}

/// The request to execute `text` with the options in `args`.
pub fn request(text: String, args: &ArgMatches) -> Request {
    Request {
        text,
        id: args.get_one("id").copied(),
        dry_run: args.get_flag("dry-run"),
        wait: args.get_flag("wait"),
    }
}

/// Runs `query`.
pub async fn exec(context: &Context, args: &ArgMatches) -> eyre::Result<()> {
    let words = args.get_many::<String>("statement").unwrap_or_default();
    let text = words.cloned().collect::<Vec<_>>().join(" ");
    let reply = context.execute(request(text, args)).await?;
    context.print(&reply)
}
