//! Formats replies as text.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use sequoiastream_operator::wire::AcceptedBody;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::TableBody;

/// Formats a reply as text.
pub fn format_reply(reply: &ReplyBody) -> String {
    match reply {
        ReplyBody::Table(body) => format_table(body),
        ReplyBody::Accepted(body) => format_accepted(body),
        ReplyBody::Difference(body) if body.rows.is_empty() => "nothing would change".to_string(),
        ReplyBody::Difference(body) => format_table(body),
    }
}

/// Formats a table without borders and with an upper-case header.
pub fn format_table(body: &TableBody) -> String {
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

fn format_accepted(body: &AcceptedBody) -> String {
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
