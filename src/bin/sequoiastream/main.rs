//! The command-line tool for operators.
//!
//! Exit codes: 0 success; 1 any other failure; 2 invalid command line; 3 the statements were refused; 4 conflict with
//! an earlier change by another operator; 5 no instance answered, or the platform gave no definite answer, so that it
//! is unknown whether the statements took effect.

mod commands;
mod context;
mod output;

use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use sequoiastream::ops::client::ClientError;

use crate::context::Context;

const FAILED: u8 = 1;
const REFUSED: u8 = 3;
const CONFLICT: u8 = 4;
const OUTCOME_UNKNOWN: u8 = 5;

/// The complete command line.
fn cli() -> Command {
    Command::new("sequoiastream")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Queries and changes the configuration of a sequoiastream deployment")
        .after_help("See docs/GRAMMAR.md for the statements.")
        .subcommand_required(true)
        .arg(
            global_arg("server", "SEQUOIASTREAM_SERVER", "Base URL of any entry instance")
                .default_value("http://127.0.0.1:8080"),
        )
        .arg(global_arg("token", "SEQUOIASTREAM_OPERATOR_TOKEN", "Operator token").hide_env_values(true))
        .arg(global_arg("who", "USER", "Your name in the audit trail").default_value("operator"))
        .arg(
            global_arg("format", "SEQUOIASTREAM_FORMAT", "Output format")
                .value_parser(["table", "json"])
                .default_value("table"),
        )
        .subcommands(commands::cli())
}

fn global_arg(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(env).help(help).global(true)
}

#[actix_web::main]
async fn main() -> ExitCode {
    let matches = cli().get_matches();
    let (name, args) = matches.subcommand().expect("a subcommand is required");
    match run(name, args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

async fn run(name: &str, args: &ArgMatches) -> eyre::Result<()> {
    let context = Context::new(args);
    commands::exec(name, &context, args, cli()).await
}

fn report(error: &eyre::Report) -> ExitCode {
    eprintln!("error: {error}");
    for cause in error.chain().skip(1) {
        eprintln!("caused by: {cause}");
    }
    let Some(client) = error.downcast_ref::<ClientError>() else {
        return ExitCode::from(FAILED);
    };
    if let Some(help) = client.help() {
        eprintln!("help: {help}");
    }
    ExitCode::from(match client {
        ClientError::Unreachable { .. } => OUTCOME_UNKNOWN,
        ClientError::Malformed { .. } => FAILED,
        ClientError::Refused { status: 409, .. } => CONFLICT,
        ClientError::Refused { status: 503, .. } => OUTCOME_UNKNOWN,
        ClientError::Refused { .. } => REFUSED,
    })
}
