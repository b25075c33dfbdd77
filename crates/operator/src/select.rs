//! Filters of queries, applied to a whole table.

use crate::http::OperatorError;
use crate::statement::Filter;
use crate::statement::Query;
use crate::wire::TableBody;

/// Keeps the rows of `table` that `query` asks for.
///
/// # Errors
///
/// [`OperatorError::UnknownColumn`] if a condition names a column that the table doesn't have.
pub fn select(mut table: TableBody, query: &Query) -> Result<TableBody, OperatorError> {
    for filter in &query.filters {
        let index = column_index(&table, query, filter)?;
        table
            .rows
            .retain(|row| (row[index] == filter.value) == filter.equal);
    }
    table.rows.truncate(query.limit.unwrap_or(usize::MAX));
    Ok(table)
}

fn column_index(table: &TableBody, query: &Query, filter: &Filter) -> Result<usize, OperatorError> {
    let found = table.columns.iter().position(|c| *c == filter.column);
    found.ok_or_else(|| OperatorError::UnknownColumn {
        column: filter.column.clone(),
        table: query.table,
        columns: table.columns.join(", "),
    })
}
