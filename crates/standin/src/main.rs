//! Command line of the stand-ins: starts one of them (`platform`, `engine` or `plain`), generates load (`load`),
//! runs experiments (`experiment`) or prints an idempotency key (`uuid`).

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use sequoiastream_core::config::Role;
use sequoiastream_standin::engine;
use sequoiastream_standin::engine::EngineSettings;
use sequoiastream_standin::engine::Rates;
use sequoiastream_standin::experiment;
use sequoiastream_standin::load;
use sequoiastream_standin::plain;
use sequoiastream_standin::platform;
use sequoiastream_standin::serve::serve;

fn cli() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr));
    Command::new("sequoiastream-standin")
        .about("Stand-ins for the systems around sequoiastream")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Platform: key-value service with leases and watches, and lists")
                .arg(listen.clone()),
        )
        .subcommand(
            Command::new("plain")
                .about("Plain service that counts the runs of each idempotency key")
                .arg(listen.clone()),
        )
        .subcommand(engine_command().arg(listen))
        .subcommand(load::cli::cli())
        .subcommand(experiment::cli::cli())
        .subcommand(Command::new("uuid").about("Prints a new idempotency key (UUIDv7)"))
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("Model engine with continuous batching")
        .arg(number_arg("prefill-rate", "Prompt tokens per second", "8000"))
        .arg(number_arg(
            "decode-rate",
            "Output tokens per second of a request that runs alone",
            "40",
        ))
        .arg(number_arg(
            "slots",
            "Maximum number of concurrent sequences in role decode",
            "32",
        ))
        .arg(number_arg(
            "cache",
            "Capacity of the prefix cache in tokens",
            "100000",
        ))
        .arg(number_arg(
            "away",
            "Milliseconds that the engine is away when an order changes its target",
            "3000",
        ))
        .arg(
            Arg::new("model")
                .long("model")
                .default_value("ghiaccio-7b")
                .help("Initially loaded model"),
        )
        .arg(
            Arg::new("role")
                .long("role")
                .value_parser(["prefill", "decode", "mixed"])
                .default_value("mixed")
                .help("Initial role"),
        )
        .arg(
            Arg::new("fencing")
                .long("fencing")
                .value_parser(["checked", "ignored"])
                .default_value("checked")
                .help("Whether orders with a stale fencing token are refused"),
        )
}

fn number_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn engine_settings(matches: &ArgMatches) -> EngineSettings {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let text = |name: &str| matches.get_one::<String>(name).expect("has a default").clone();
    EngineSettings {
        rates: Rates {
            prefill_rate: number("prefill-rate") as f64,
            decode_rate: number("decode-rate") as f64,
            sequence_overhead: 0.02,
            slots: number("slots") as usize,
        },
        capacity: number("cache"),
        role: match text("role").as_str() {
            "prefill" => Role::Prefill,
            "decode" => Role::Decode,
            _ => Role::Mixed,
        },
        model: text("model"),
        check_fence: text("fencing") == "checked",
        away_time: Duration::from_millis(number("away")),
    }
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    let matches = cli().get_matches();
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    match name {
        "load" => return load::cli::run(matches).await,
        "experiment" => return experiment::cli::execute(matches).await,
        "uuid" => {
            println!("{}", uuid::Uuid::now_v7());
            return Ok(());
        }
        _ => {}
    }
    let listen = *matches.get_one::<SocketAddr>("listen").expect("has a default");
    match name {
        "platform" => serve(listen, 1, platform::configure()).await,
        "plain" => serve(listen, 1, plain::configure()).await,
        _ => serve(listen, 1, engine::configure(engine_settings(matches))).await,
    }
}
