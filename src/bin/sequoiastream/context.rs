//! What all subcommands need: the connection, the operator's name and the output format.

use clap::ArgMatches;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use sequoiastream::ops::client::OperatorClient;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_operator::wire::TableBody;
use uuid::Uuid;

/// Passed down to every subcommand.
pub struct Context {
    client: OperatorClient,
    json: bool,
}

impl Context {
    /// Reads the options that all subcommands share.
    pub fn new(matches: &ArgMatches) -> Context {
        let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
        Context {
            client: OperatorClient::new(&text("server"), &text("token")),
            json: text("format") == "json",
        }
    }

    /// Gives statements under a new command id and prints the answer.
    pub async fn execute(&self, text: String, dry: bool) -> eyre::Result<()> {
        let statement = StatementBody {
            id: Uuid::now_v7(),
            who: std::env::var("USER").unwrap_or_else(|_| "operator".to_string()),
            text,
            dry,
        };
        let reply = self.client.execute(&statement).await?;
        self.print(&reply)
    }

    fn print(&self, reply: &ReplyBody) -> eyre::Result<()> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(reply)?);
            return Ok(());
        }
        match reply {
            ReplyBody::Table(table) => println!("{}", render(table)),
            ReplyBody::Accepted(a) => println!(
                "accepted version {}, in force on {} of {} instances",
                a.version, a.force, a.known
            ),
        }
        Ok(())
    }
}

fn render(body: &TableBody) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(body.columns.iter().map(|c| c.to_uppercase()));
    table.add_rows(body.rows.clone());
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}
