//! Command line of the `load` command.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;
use eyre::bail;

use crate::load::LoadSettings;
use crate::load::mix::Deadlines;
use crate::load::mix::Phase;
use crate::load::mix::Traffic;
use crate::load::report::LatencyTargets;

/// Defines the command and its arguments.
pub fn cli() -> Command {
    Command::new("load")
        .about("Sends open-loop load with a changing mix of requests; reports goodput as text or JSON")
        .arg(addresses("target", "Address of an instance").required(true))
        .arg(addresses("engine", "Engine whose role changes are counted"))
        .arg(addresses(
            "plain",
            "Plain upstream whose order executions are counted",
        ))
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("PRODUCT=KEY")
                .action(ArgAction::Append)
                .required(true)
                .help("A product and its API key; all products send the same traffic"),
        )
        .arg(
            Arg::new("phase")
                .long("phase")
                .value_name("SECONDS:CHECKS:CHATS:ORDERS")
                .action(ArgAction::Append)
                .help("A phase: its duration, and the arrivals per second of each kind over all products"),
        )
        .arg(number("factor", "Divides the durations of the phases", "1"))
        .arg(number("seed", "Seed for generating the requests", "1"))
        .arg(number("check-ms", "Deadline of a check, in milliseconds", "2000"))
        .arg(number(
            "chat-ms",
            "Deadline of a chat turn, in milliseconds",
            "3000",
        ))
        .arg(number(
            "order-ms",
            "Deadline of an order, in milliseconds",
            "2000",
        ))
        .arg(number(
            "first-ms",
            "Target for the time to the first token, in milliseconds",
            "560",
        ))
        .arg(number(
            "between-ms",
            "Target for the time between tokens, in milliseconds",
            "48",
        ))
        .arg(text("model", "Requested model", "ghiaccio-7b"))
        .arg(text("orders", "Plain service that receives the orders", "ordini"))
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Also writes the report to this file as JSON"),
        )
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    text(name, help, default).value_parser(value_parser!(u64))
}

fn text(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

/// Runs the command.
///
/// # Errors
///
/// If a phase or a key is malformed, the run fails, or the JSON file can't be written.
pub async fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let settings = settings(matches)?;
    let report = crate::load::run(settings).await?;
    println!("{report}");
    if let Some(path) = matches.get_one::<String>("json") {
        let mut file = File::create(path).wrap_err_with(|| format!("could not write {path}"))?;
        file.write_all(&serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(())
}

fn settings(matches: &ArgMatches) -> eyre::Result<LoadSettings> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let text = |name: &str| matches.get_one::<String>(name).expect("has a default").clone();
    let list =
        |name: &str| -> Vec<SocketAddr> { matches.get_many(name).into_iter().flatten().copied().collect() };
    Ok(LoadSettings {
        targets: list("target"),
        traffic: traffic(matches)?,
        model: text("model"),
        service: text("orders"),
        deadlines: Deadlines {
            check: number("check-ms"),
            chat: number("chat-ms"),
            order: number("order-ms"),
        },
        latency_targets: LatencyTargets {
            first: number("first-ms"),
            between: number("between-ms"),
        },
        seed: number("seed"),
        engines: list("engine"),
        plain: list("plain"),
    })
}

fn traffic(matches: &ArgMatches) -> eyre::Result<Vec<Traffic>> {
    let texts =
        |name: &str| -> Vec<String> { matches.get_many(name).into_iter().flatten().cloned().collect() };
    let keys = texts("key");
    let factor = *matches.get_one::<u64>("factor").expect("has a default");
    let mut phases = Vec::new();
    for text in texts("phase") {
        phases.push(phase(&text, keys.len(), factor)?);
    }
    if phases.is_empty() {
        bail!("at least one --phase is required");
    }
    let of = |text: &String| -> eyre::Result<Traffic> {
        let Some((product, key)) = text.split_once('=') else {
            bail!("--key {text:?} does not have the form PRODUCT=KEY");
        };
        Ok(Traffic {
            product: product.to_string(),
            key: key.to_string(),
            phases: phases.clone(),
        })
    };
    keys.iter().map(of).collect()
}

fn phase(text: &str, products: usize, factor: u64) -> eyre::Result<Phase> {
    let parts: Result<Vec<f64>, _> = text.split(':').map(str::parse).collect();
    let parts = parts.wrap_err_with(|| format!("--phase {text:?} contains a part that is not a number"))?;
    let [seconds, checks, chats, orders] = parts[..] else {
        bail!("--phase {text:?} does not have the form SECONDS:CHECKS:CHATS:ORDERS");
    };
    let each = products.max(1) as f64;
    Ok(Phase {
        seconds: seconds / factor.max(1) as f64,
        checks: checks / each,
        chats: chats / each,
        orders: orders / each,
    })
}
