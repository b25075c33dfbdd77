//! The command-line tool for operators.

mod commands;
mod context;

use std::process::ExitCode;

use clap::Arg;
use clap::Command;

use crate::context::Context;

fn cli() -> Command {
    Command::new("sequoiastream")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Asks a sequoiastream deployment what holds, and tells it what shall hold")
        .subcommand_required(true)
        .arg(
            Arg::new("server")
                .long("server")
                .global(true)
                .env("SEQUOIASTREAM_SERVER")
                .default_value("http://127.0.0.1:8080")
                .help("Any entry instance"),
        )
        .arg(
            Arg::new("token")
                .long("token")
                .global(true)
                .env("SEQUOIASTREAM_OPERATOR_TOKEN")
                .hide_env_values(true)
                .help("Operator token"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .global(true)
                .value_parser(["table", "json"])
                .default_value("table")
                .help("How answers are written"),
        )
        .subcommands(commands::cli())
}

#[actix_web::main]
async fn main() -> ExitCode {
    let matches = cli().get_matches();
    let (name, args) = matches.subcommand().expect("a subcommand is required");
    let context = Context::new(args);
    match commands::exec(name, &context, args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            for cause in error.chain().skip(1) {
                eprintln!("caused by: {cause}");
            }
            ExitCode::FAILURE
        }
    }
}
