//! Tables that answer operators' queries, and the difference between the tables of two configurations.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use sequoiastream_core::config::Config;
use sequoiastream_core::config::EngineState;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::config::State;
use sequoiastream_core::limit::Limits;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::Roster;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use sequoiastream_operator::Table;
use sequoiastream_operator::wire::TableBody;

/// The tables that depend on the configuration alone.
const CONFIG_TABLES: [Table; 4] = [
    Table::Products,
    Table::Services,
    Table::Engines,
    Table::Quarantine,
];

/// Builds a table from its columns and rows.
pub fn table<R>(columns: &[&str], rows: R) -> TableBody
where
    R: Iterator<Item = Vec<String>>,
{
    TableBody {
        columns: columns.iter().map(|c| c.to_string()).collect(),
        rows: rows.collect(),
    }
}

/// Returns the table `kind` of `config`; `None` if the table does not show the configuration.
pub fn config_table(config: &Config, kind: Table) -> Option<TableBody> {
    match kind {
        Table::Products => Some(products(config)),
        Table::Services => Some(services(config)),
        Table::Engines => Some(engines(config)),
        Table::Quarantine => Some(quarantine(config)),
        _ => None,
    }
}

/// Compares two configurations: returns a row for each entry that was added, removed or changed.
pub fn config_diff(before: &Config, after: &Config) -> TableBody {
    let mut rows = Vec::new();
    for kind in CONFIG_TABLES {
        let (Some(old), Some(new)) = (config_table(before, kind), config_table(after, kind)) else {
            continue;
        };
        rows.extend(changed_rows(kind, &old, &new));
    }
    table(&["change", "table", "name", "before", "after"], rows.into_iter())
}

fn changed_rows(kind: Table, old: &TableBody, new: &TableBody) -> Vec<Vec<String>> {
    let old = rows_by_name(old);
    let new = rows_by_name(new);
    let mut names: Vec<&String> = old.keys().chain(new.keys()).copied().collect();
    names.sort();
    names.dedup();
    let mut rows = Vec::new();
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        let action = match (before, after) {
            (None, _) => "add",
            (_, None) => "remove",
            (Some(a), Some(b)) if a != b => "alter",
            _ => continue,
        };
        let cells = |row: Option<&String>| row.cloned().unwrap_or_default();
        rows.push(vec![
            action.to_string(),
            kind.to_string(),
            name.clone(),
            cells(before),
            cells(after),
        ]);
    }
    rows
}

/// Returns the rows by their first cell, with the other cells written as `column=cell`.
fn rows_by_name(table: &TableBody) -> BTreeMap<&String, String> {
    let mut rows = BTreeMap::new();
    for row in &table.rows {
        let cells = table.columns.iter().zip(row).skip(1);
        let cells: Vec<String> = cells.map(|(column, cell)| format!("{column}={cell}")).collect();
        rows.insert(&row[0], cells.join(" "));
    }
    rows
}

/// Returns the audit trail, newest change first. Refused changes have no entry; they are logged as event 202.
pub fn audit_trail(state: &State) -> TableBody {
    let rows = state.past.iter().rev().map(|entry| {
        vec![
            entry.version.to_string(),
            rfc3339(entry.when),
            entry.who.clone(),
            entry.from.clone(),
            "accepted".to_string(),
            entry.statement.clone(),
        ]
    });
    table(&["version", "when", "who", "from", "outcome", "statement"], rows)
}

/// Returns the instances as seen by this one, itself first.
pub fn instances(roster: &Roster) -> TableBody {
    let standing = format!("{:?}", roster.standing).to_lowercase();
    let rows = roster.local.iter().chain(&roster.peers).map(|peer| {
        let state = match (peer.heard, peer.state) {
            (false, _) => "silent",
            (true, MemberState::Live) => "live",
            (true, MemberState::Leaving) => "leaving",
        };
        let is_local = roster.local.as_ref().is_some_and(|m| m.name == peer.name);
        vec![
            peer.name.to_string(),
            peer.zone.to_string(),
            peer.address.to_string(),
            state.to_string(),
            peer.version.to_string(),
            if is_local {
                standing.clone()
            } else {
                "-".to_string()
            },
        ]
    });
    let columns = &["instance", "zone", "address", "state", "version", "standing"];
    table(columns, rows)
}

/// Returns the products' entitlement to each service and their usage of it through this instance, in engine seconds
/// per second.
pub fn limits(limits: &Limits, now: Time) -> TableBody {
    let rows = limits.iter().flat_map(|(service, limiter)| {
        let accounts = limiter.accounts(now);
        accounts.map(move |account| {
            vec![
                service.to_string(),
                account.product.to_string(),
                format!("{:.3}", account.entitled),
                format!("{:.3}", account.used),
                format!("{:.2}", limiter.capacity_factor()),
            ]
        })
    });
    table(&["service", "product", "owed", "used", "capacity"], rows)
}

/// Formats a wall time for operators, in seconds.
fn rfc3339(time: WallTime) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(time.0);
    humantime::format_rfc3339_seconds(time).to_string()
}

fn products(config: &Config) -> TableBody {
    let rows = config.products.iter().map(|(name, product)| {
        vec![
            name.to_string(),
            product.share.to_string(),
            format!("{}ms", product.deadline),
            product.weight.to_string(),
            product.keys.len().to_string(),
        ]
    });
    table(&["product", "share", "deadline", "weight", "keys"], rows)
}

fn services(config: &Config) -> TableBody {
    let rows = config.services.iter().map(|(name, service)| {
        let engines = config.engines.values().filter(|e| e.service == *name).count();
        let kind = match &service.kind {
            ServiceKind::Model { model } => format!("model {model}"),
            ServiceKind::Plain { routes } => format!("plain, {} routes", routes.len()),
        };
        vec![name.to_string(), kind, engines.to_string()]
    });
    table(&["service", "kind", "engines"], rows)
}

fn engines(config: &Config) -> TableBody {
    let rows = config.engines.iter().map(|(name, engine)| {
        vec![
            name.to_string(),
            engine.service.to_string(),
            engine.zone.to_string(),
            engine.address.to_string(),
            state_name(engine.state).to_string(),
            engine.role.map_or("auto".to_string(), |role| role.to_string()),
            fencing_name(engine.fencing).to_string(),
        ]
    });
    table(
        &["engine", "service", "zone", "address", "state", "role", "fencing"],
        rows,
    )
}

fn quarantine(config: &Config) -> TableBody {
    let rows = config
        .quarantine
        .iter()
        .map(|fingerprint| vec![fingerprint.clone()]);
    table(&["fingerprint"], rows)
}

fn state_name(state: EngineState) -> &'static str {
    match state {
        EngineState::Serving => "serving",
        EngineState::Draining => "draining",
    }
}

fn fencing_name(fencing: Fencing) -> &'static str {
    match fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    }
}
