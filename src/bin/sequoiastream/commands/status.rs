//! `sequoiastream status`

use std::collections::BTreeMap;

use clap::Command;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::TableBody;

use crate::context::Context;
use crate::output;

/// Number of latest changes shown.
const MAX_CHANGES: usize = 3;

/// Command line of `status`.
pub fn cli() -> Command {
    Command::new("status").about("Shows a summary of the fleet")
}

/// Runs `status`.
pub async fn exec(context: &Context) -> eyre::Result<()> {
    let services = context.table("show services").await?;
    let engines = context.table("show engines").await?;
    let products = context.table("show products").await?;
    let changes = context
        .table(&format!("show changes limit {MAX_CHANGES}"))
        .await?;
    let summary = summary(&services, &engines);
    if context.is_json() {
        return context.print(&ReplyBody::Table(summary));
    }
    println!("{}\n", output::format_table(&summary));
    println!("{}\n", output::format_table(&products));
    println!("{}", output::format_table(&changes));
    Ok(())
}

/// One row per service, with the number of its engines in each state.
fn summary(services: &TableBody, engines: &TableBody) -> TableBody {
    let states = count_states(engines);
    let mut table = TableBody {
        columns: ["service", "kind", "serving", "draining"]
            .map(String::from)
            .to_vec(),
        rows: Vec::new(),
    };
    for row in &services.rows {
        let (Some(service), Some(kind)) = (row.first(), row.get(1)) else {
            continue;
        };
        let count = |state: &str| {
            let key = (service.as_str(), state);
            states.get(&key).copied().unwrap_or(0).to_string()
        };
        let cells = vec![service.clone(), kind.clone(), count("serving"), count("draining")];
        table.rows.push(cells);
    }
    table
}

/// Number of engines by service and state.
fn count_states(engines: &TableBody) -> BTreeMap<(&str, &str), usize> {
    let column = |name: &str| engines.columns.iter().position(|c| c == name);
    let mut states = BTreeMap::new();
    let (Some(service), Some(state)) = (column("service"), column("state")) else {
        return states;
    };
    for row in &engines.rows {
        *states
            .entry((row[service].as_str(), row[state].as_str()))
            .or_default() += 1;
    }
    states
}
