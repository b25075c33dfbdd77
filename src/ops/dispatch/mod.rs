//! What a traffic thread does with requests: picks upstreams, starts attempts and relays answers.

mod forward;
mod generate;

use std::sync::Arc;

use sequoiastream_caller::Answer;
use sequoiastream_caller::ForwardCall;
use sequoiastream_caller::ForwardReply;
use sequoiastream_caller::Gateway;
use sequoiastream_caller::GenerateCall;
use sequoiastream_caller::Refusal;
use sequoiastream_core::config::Version;
use sequoiastream_core::name::Name;
use sequoiastream_operator::Statement;
use sequoiastream_operator::Table;
use sequoiastream_operator::http::Executor;
use sequoiastream_operator::http::OperatorError;
use sequoiastream_operator::parse;
use sequoiastream_operator::select;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_upstream::EngineClient;
use sequoiastream_upstream::PlainClient;

use crate::ops::control::Control;
use crate::ops::control::Execute;
use crate::ops::control::ShowAuthorities;
use crate::ops::shared::Shared;

/// One traffic thread's side of the daemon.
#[derive(Debug, Clone)]
pub struct Dispatch {
    shared: Arc<Shared>,
    control: Control,
    engines: EngineClient,
    plain: PlainClient,
}

impl Dispatch {
    /// A dispatcher with connection pools of its own.
    pub fn new(shared: Arc<Shared>, control: Control) -> Dispatch {
        Dispatch {
            shared,
            control,
            engines: EngineClient::new(),
            plain: PlainClient::new(),
        }
    }
}

impl Gateway for Dispatch {
    fn product(&self, key: &str) -> Option<Name> {
        let snapshot = self.shared.snapshot.load();
        let product = snapshot.product_of(key)?;
        snapshot.products.get(product).map(|p| p.name.clone())
    }

    fn ready(&self) -> bool {
        self.shared.snapshot.load().version > Version::default()
    }

    async fn generate(&self, call: GenerateCall) -> Result<Answer, Refusal> {
        generate::start(self, call)
    }

    async fn forward(&self, call: ForwardCall) -> Result<ForwardReply, Refusal> {
        forward::run(self, call).await
    }

    fn metrics(&self) -> String {
        self.shared.metrics.page()
    }
}

impl Executor for Dispatch {
    fn authorize(&self, token: &str) -> bool {
        // Hashes are compared so that the time taken tells nothing about the token.
        blake3::hash(token.as_bytes()) == blake3::hash(self.shared.settings.token.as_bytes())
    }

    async fn execute(&self, statement: StatementBody) -> Result<ReplyBody, OperatorError> {
        if let Ok(Statement::Show(query)) = parse(&statement.text)
            && matches!(query.table, Table::Leases | Table::Orders)
        {
            let shown = self.control.authority.send(ShowAuthorities(query.table)).await;
            let table = shown.map_err(|e| OperatorError::Platform(e.to_string()))??;
            return select(table, &query).map(ReplyBody::Table);
        }
        match self.control.config.send(Execute(statement)).await {
            Ok(result) => result,
            Err(error) => Err(OperatorError::Platform(error.to_string())),
        }
    }
}
