//! The state shared by all subcommands: the connection, the operator's name and the output format.

use clap::ArgMatches;
use sequoiastream::ops::client::ClientError;
use sequoiastream::ops::client::OperatorClient;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_operator::wire::TableBody;
use uuid::Uuid;

use crate::output;

/// Passed to every subcommand.
#[derive(Debug)]
pub struct Context {
    client: OperatorClient,
    who: String,
    json: bool,
}

/// Statements with the options for their execution.
#[derive(Debug, Default)]
pub struct Request {
    /// The statements.
    pub text: String,
    /// Id of the command; a new one is generated if absent.
    pub id: Option<Uuid>,
    /// Report what would change, without changing it.
    pub dry_run: bool,
    /// Wait until the change is in force on all reachable instances.
    pub wait: bool,
}

impl Context {
    /// Creates the context from the options common to all subcommands.
    pub fn new(matches: &ArgMatches) -> Context {
        let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
        Context {
            client: OperatorClient::new(&text("server"), &text("token")),
            who: text("who"),
            json: text("format") == "json",
        }
    }

    /// Executes a request.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if it was not executed, or if the outcome is unknown. A command of unknown outcome can be
    /// repeated safely with its id; if no instance could be reached, the id is printed.
    pub async fn execute(&self, request: Request) -> Result<ReplyBody, ClientError> {
        let statement = StatementBody {
            id: request.id.unwrap_or_else(Uuid::now_v7),
            who: self.who.clone(),
            text: request.text,
            base: None,
            dry_run: request.dry_run,
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

    /// Executes a query and returns its table; an empty one if the reply is not a table.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the query was not executed.
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

    /// Prints a reply in the requested format.
    ///
    /// # Errors
    ///
    /// If the reply can't be serialized as JSON.
    pub fn print(&self, reply: &ReplyBody) -> eyre::Result<()> {
        match self.json {
            true => println!("{}", serde_json::to_string_pretty(reply)?),
            false => println!("{}", output::format_reply(reply)),
        }
        Ok(())
    }

    /// Whether the output format is JSON.
    pub fn is_json(&self) -> bool {
        self.json
    }
}
