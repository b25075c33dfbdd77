//! Applies the filters and the row limit of a query to a table.

use crate::http::OperatorError;
use crate::statement::Filter;
use crate::statement::Query;
use crate::wire::TableBody;

/// Returns `table` with only the rows that `query` selects.
///
/// # Errors
///
/// [`OperatorError::UnknownColumn`] if a filter names a column that the table doesn't have.
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
