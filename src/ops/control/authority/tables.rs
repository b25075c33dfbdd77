//! The tables `leases` and `orders`. They are read from the key-value service, so that any instance can show them.

use sequoiastream_core::authority::OrderRecord;
use sequoiastream_core::authority::Phase;
use sequoiastream_core::authority::Record;
use sequoiastream_core::name::Name;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_operator::Table;
use sequoiastream_operator::http::OperatorError;
use sequoiastream_operator::wire::TableBody;

use crate::ops::control::authority::kv::lease_key;
use crate::ops::control::authority::kv::read_record;
use crate::ops::tables::table;

/// Reads the records of `services` and returns them as the table `kind`.
///
/// # Errors
///
/// [`OperatorError::Platform`] if the key-value service gave no usable answer.
pub async fn show(kv: &KvClient, services: Vec<Name>, kind: Table) -> Result<TableBody, OperatorError> {
    let platform = |error: KvError| OperatorError::KvUnreachable(error.to_string());
    let mut rows = Vec::new();
    for service in services {
        let (_, record) = read_record(kv, &service).await.map_err(platform)?;
        match kind {
            Table::Leases => {
                let lease = kv.get(&lease_key(&service)).await.map_err(platform)?;
                let holder = lease.value.map(|v| String::from_utf8_lossy(&v).into_owned());
                rows.push(lease_row(&service, holder, record.as_ref()));
            }
            _ => rows.extend(order_rows(&service, record.as_ref())),
        }
    }
    let columns: &[&str] = match kind {
        Table::Leases => &["service", "lease", "authority", "fence"],
        _ => &[
            "engine", "service", "sequence", "fence", "role", "model", "phase", "holder",
        ],
    };
    Ok(table(columns, rows.into_iter()))
}

fn lease_row(service: &Name, holder: Option<String>, record: Option<&Record>) -> Vec<String> {
    vec![
        service.to_string(),
        holder.unwrap_or_else(|| "vacant".to_string()),
        record.map_or("none".to_string(), |r| r.holder.to_string()),
        record.map_or("0".to_string(), |r| r.fence.to_string()),
    ]
}

fn order_rows(service: &Name, record: Option<&Record>) -> Vec<Vec<String>> {
    let engines = record.iter().flat_map(|record| &record.engines);
    engines
        .map(|(engine, order)| order_row(service, engine, order))
        .collect()
}

fn order_row(service: &Name, engine: &Name, record: &OrderRecord) -> Vec<String> {
    let phase = match record.phase {
        Phase::Open => "open".to_string(),
        Phase::Closed(closing) => closing.to_string(),
    };
    vec![
        engine.to_string(),
        service.to_string(),
        record.order.sequence.to_string(),
        record.order.fence.to_string(),
        record.order.target.role.to_string(),
        record.order.target.model.clone(),
        phase,
        record.holder.to_string(),
    ]
}
