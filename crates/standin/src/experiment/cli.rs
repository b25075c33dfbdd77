//! Command line of the `experiment` command.

use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eyre::WrapErr;
use futures_util::StreamExt;
use futures_util::stream;

use crate::experiment::cases::SETS;
use crate::experiment::cases::cases;
use crate::experiment::entry;
use crate::experiment::fleet::Plan;
use crate::experiment::plot;
use crate::experiment::run;
use crate::experiment::table::Row;
use crate::experiment::table::hindsight;
use crate::experiment::table::render;

/// Numbers of concurrent streams at which an entry instance is measured.
const ENTRY_STREAMS: [usize; 4] = [0, 100, 300, 1_000];

/// Defines the command and its arguments.
pub fn cli() -> Command {
    Command::new("experiment")
        .about("Compares policies, with daemons and stand-ins as separate processes")
        .arg(text(
            "set",
            "Run sets, separated by commas: shift, splits, dial, faults, greedy, or entry",
            "shift",
        ))
        .arg(text("seeds", "Seeds, separated by commas", "1,2,3"))
        .arg(text(
            "only",
            "Runs only the cases whose name contains this text",
            "",
        ))
        .arg(text(
            "out",
            "Output folder for results.json and results.svg, or for entry.json",
            ".",
        ))
        .arg(number("parallel", "Number of concurrent runs", "1"))
        .arg(number("daemons", "Number of entry instances in a run", "2"))
        .arg(number(
            "away",
            "How long a role change makes an engine unavailable, in milliseconds",
            "300",
        ))
}

fn text(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    text(name, help, default).value_parser(value_parser!(u64))
}

/// Runs the command: prints the table and writes `results.json` and `results.svg`; for `entry`, writes `entry.json`.
///
/// # Errors
///
/// If an argument is invalid, a run fails, or a file can't be written.
pub async fn execute(matches: &ArgMatches) -> eyre::Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).expect("has a default").clone();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let mut seeds = Vec::new();
    for seed in text("seeds").split(',') {
        seeds.push(
            seed.parse::<u64>()
                .wrap_err("--seeds contains a part that is not a number")?,
        );
    }
    let plan = Plan {
        binaries: binary_folder()?,
        policy: String::new(),
        roles: Vec::new(),
        daemons: usize::try_from(number("daemons"))?,
        products: Vec::new(),
        change_ms: number("away"),
        slots: 16,
        decode: 100,
    };
    if text("set") == "entry" {
        return entry(&plan, Path::new(&text("out"))).await;
    }
    let only = text("only");
    let mut runs = Vec::new();
    for set in text("set").split(',') {
        let set = SETS
            .iter()
            .find(|s| **s == set)
            .ok_or_else(|| eyre::eyre!("unknown run set {set:?}"))?;
        let chosen = cases(set).into_iter().filter(|c| c.name.contains(&only));
        for case in chosen {
            runs.extend(seeds.iter().map(|seed| (*set, case.clone(), *seed)));
        }
    }
    let parallel = usize::try_from(number("parallel"))?;
    let results = stream::iter(runs.into_iter().map(|(set, case, seed)| {
        let plan = &plan;
        async move { run(set, &case, seed, plan).await }
    }));
    let rows: Vec<eyre::Result<Row>> = results.buffered(parallel).collect().await;
    let rows: Vec<Row> = rows.into_iter().collect::<eyre::Result<_>>()?;
    write(&rows, Path::new(&text("out")))
}

/// Measures the latency that an entry instance adds, at several numbers of streams.
async fn entry(plan: &Plan, out: &Path) -> eyre::Result<()> {
    let mut results = Vec::new();
    println!("{}", entry::TABLE_HEADER);
    for streams in ENTRY_STREAMS {
        let result = entry::measure(streams, plan).await?;
        println!("{}", result.table_row());
        results.push(result);
    }
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("entry.json"), serde_json::to_vec_pretty(&results)?)?;
    Ok(())
}

fn binary_folder() -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.parent().unwrap_or(Path::new(".")).to_path_buf())
}

fn write(rows: &[Row], out: &Path) -> eyre::Result<()> {
    println!("{}", render(rows));
    for (seed, percent) in hindsight(rows).into_iter().flatten() {
        println!("best fixed split of each phase in hindsight, seed {seed}: {percent:.1}% good");
    }
    std::fs::create_dir_all(out)?;
    std::fs::write(out.join("results.json"), serde_json::to_vec_pretty(rows)?)?;
    plot::draw(rows, "sequoiastream: goodput by policy", &out.join("results.svg"))
}
