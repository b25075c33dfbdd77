//! Answers as text.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use sequoiastream_operator::wire::AcceptedBody;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::TableBody;

/// An answer as text.
pub fn text(reply: &ReplyBody) -> String {
    match reply {
        ReplyBody::Table(body) => table(body),
        ReplyBody::Accepted(body) => accepted(body),
        ReplyBody::Difference(body) if body.rows.is_empty() => "nothing would change".to_string(),
        ReplyBody::Difference(body) => table(body),
    }
}

/// A table without lines, its header in capitals.
pub fn table(body: &TableBody) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(body.columns.iter().map(|c| c.to_uppercase()));
    table.add_rows(body.rows.clone());
    let text = table.to_string();
    let lines: Vec<&str> = text
        .lines()
        .map(|line| line.trim_end().strip_prefix(' ').unwrap_or(line))
        .collect();
    lines.join("\n")
}

fn accepted(body: &AcceptedBody) -> String {
    let verb = if body.repeated {
        "was accepted before as"
    } else {
        "accepted"
    };
    format!(
        "{verb} version {}, in force on {} of the {} instances heard of",
        body.version, body.in_force, body.known
    )
}
