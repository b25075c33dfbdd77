//! What all subcommands need: the connection, the operator's name and the output format.

use clap::ArgMatches;
use sequoiastream::ops::client::ClientError;
use sequoiastream::ops::client::OperatorClient;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_operator::wire::TableBody;
use uuid::Uuid;

use crate::output;

/// Passed down to every subcommand.
#[derive(Debug)]
pub struct Context {
    client: OperatorClient,
    who: String,
    json: bool,
}

/// A command with the options that say how it is carried out.
#[derive(Debug, Default)]
pub struct Request {
    /// The statements.
    pub text: String,
    /// Names the command; drawn anew if absent.
    pub id: Option<Uuid>,
    /// Only say what would change.
    pub dry: bool,
    /// Wait until all reachable instances have the change in force.
    pub wait: bool,
}

impl Context {
    /// Reads the options that all subcommands share.
    pub fn new(matches: &ArgMatches) -> Context {
        let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
        Context {
            client: OperatorClient::new(&text("server"), &text("token")),
            who: text("who"),
            json: text("format") == "json",
        }
    }

    /// Carries a request out.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if it was not carried out, or if that is not known. A command of unknown outcome can be
    /// given again under its id, which is printed then.
    pub async fn execute(&self, request: Request) -> Result<ReplyBody, ClientError> {
        let statement = StatementBody {
            id: request.id.unwrap_or_else(Uuid::now_v7),
            who: self.who.clone(),
            text: request.text,
            base: None,
            dry_run: request.dry,
            wait: request.wait,
        };
        let result = self.client.execute(&statement).await;
        if let Err(ClientError::Unreachable { .. }) = result {
            eprintln!(
                "note: this was command {}; `--id` gives it again safely",
                statement.id
            );
        }
        result
    }

    /// The table that a query shows.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the query was not carried out.
    pub async fn table(&self, text: &str) -> Result<TableBody, ClientError> {
        let request = Request {
            text: text.to_string(),
            ..Request::default()
        };
        match self.execute(request).await? {
            ReplyBody::Table(table) => Ok(table),
            _ => Ok(TableBody::default()),
        }
    }

    /// Prints an answer in the format that was asked for.
    ///
    /// # Errors
    ///
    /// If it can't be written as JSON.
    pub fn print(&self, reply: &ReplyBody) -> eyre::Result<()> {
        match self.json {
            true => println!("{}", serde_json::to_string_pretty(reply)?),
            false => println!("{}", output::text(reply)),
        }
        Ok(())
    }

    /// Whether JSON was asked for.
    pub fn is_json(&self) -> bool {
        self.json
    }
}
