//! Handles requests on the traffic threads: picks upstreams, starts attempts and relays answers.

mod addresses;
mod admit;
mod forward;
mod generate;
mod once;
mod owners;
mod plain;
mod request;
mod suspects;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::MailboxError;
use sequoiastream_caller::AddressCall;
use sequoiastream_caller::AddressList;
use sequoiastream_caller::Answer;
use sequoiastream_caller::ForwardCall;
use sequoiastream_caller::ForwardReply;
use sequoiastream_caller::Gateway;
use sequoiastream_caller::GenerateCall;
use sequoiastream_caller::Refusal;
use sequoiastream_caller::RequestState;
use sequoiastream_caller::StatusCall;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::config::Version;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Outcome;
use sequoiastream_operator::Query;
use sequoiastream_operator::Statement;
use sequoiastream_operator::Table;
use sequoiastream_operator::http::Executor;
use sequoiastream_operator::http::OperatorError;
use sequoiastream_operator::parse_script;
use sequoiastream_operator::select;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_operator::wire::TableBody;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::seal::ClusterKey;
use sequoiastream_upstream::EngineClient;
use sequoiastream_upstream::PlainClient;

use crate::ops::control::Control;
use crate::ops::control::Execute;
use crate::ops::control::ShowAuthorities;
use crate::ops::control::claims::ShowClaims;
use crate::ops::shared::Shared;
use crate::ops::tables;
use crate::util::clock;

/// The request dispatcher of one traffic thread.
#[derive(Debug, Clone)]
pub struct Dispatch {
    shared: Arc<Shared>,
    control: Control,
    engine_client: EngineClient,
    /// Client for requests of which no output was delivered. It sends them only while the configuration is confirmed.
    permit_client: EngineClient,
    plain_client: PlainClient,
    peer_client: CallClient,
}

impl Dispatch {
    /// Creates a dispatcher with its own connection pools.
    pub fn new(shared: Arc<Shared>, control: Control) -> Dispatch {
        let peer_client = CallClient::new(ClusterKey::new(&shared.settings.cluster_key));
        let state = shared.clone();
        Dispatch {
            shared,
            control,
            engine_client: EngineClient::new(),
            permit_client: EngineClient::with_permit(Rc::new(move || state.is_confirmed())),
            plain_client: PlainClient::new(),
            peer_client,
        }
    }
}

impl Dispatch {
    fn start_generate(&self, call: GenerateCall) -> Result<Answer, Refusal> {
        let unsent = addresses::check_accepting(self, call.unsent)?;
        let call = admit::admit(self, GenerateCall { unsent, ..call })?;
        generate::start(self, call)
    }

    async fn run_forward(&self, call: ForwardCall) -> Result<ForwardReply, Refusal> {
        let unsent = addresses::check_accepting(self, call.unsent)?;
        forward::run(self, ForwardCall { unsent, ..call }).await
    }

    /// Takes retry number `retry` (counted from 1) of a request from the product's retry budget. Returns `false` if it
    /// is denied.
    fn may_retry(&self, product: &Name, retry: u32) -> bool {
        let granted = self.shared.policy.retries().take_retry(product, retry).is_some();
        if !granted {
            self.shared.metrics.policy.retries_denied.inc();
        }
        granted
    }

    fn count_outcome(&self, product: &Name, outcome: Outcome) {
        self.shared.metrics.traffic.count_outcome(product, outcome);
    }
}

impl Dispatch {
    /// Returns the table `kind` if it shows something other than the configuration.
    async fn show_table(&self, kind: Table) -> Result<Option<TableBody>, OperatorError> {
        let actor_gone = |error: MailboxError| OperatorError::KvUnreachable(error.to_string());
        match kind {
            Table::Claims => self
                .control
                .claims
                .send(ShowClaims)
                .await
                .map(Some)
                .map_err(actor_gone),
            Table::Leases | Table::Orders => {
                let table = self.control.authority.send(ShowAuthorities(kind)).await;
                table.map_err(actor_gone)?.map(Some)
            }
            Table::Limits => Ok(Some(tables::limits(&self.shared.policy.limits(), clock::now()))),
            _ => Ok(None),
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
        let closed = self.shared.is_leaving() || self.shared.refusal_reason().is_some();
        !closed && self.shared.snapshot.load().version > Version::default()
    }

    fn body_timeout(&self) -> Duration {
        self.shared.settings.timeouts.body
    }

    fn models(&self) -> Vec<String> {
        let snapshot = self.shared.snapshot.load();
        let models = snapshot
            .services
            .iter()
            .filter_map(|(_, service)| match &service.kind {
                ServiceKind::Model { model } => Some(model.clone()),
                ServiceKind::Plain { .. } => None,
            });
        models.collect::<BTreeSet<String>>().into_iter().collect()
    }

    async fn generate(&self, call: GenerateCall) -> Result<Answer, Refusal> {
        let product = call.product.clone();
        let started = self.start_generate(call);
        // The outcome of an answer that was started is counted when it ends.
        if let Err(refusal) = &started {
            self.count_outcome(&product, refusal.outcome());
        }
        started
    }

    async fn forward(&self, call: ForwardCall) -> Result<ForwardReply, Refusal> {
        let product = call.product.clone();
        let result = self.run_forward(call).await;
        let outcome = result.as_ref().map_or_else(Refusal::outcome, |_| Outcome::Whole);
        self.count_outcome(&product, outcome);
        result
    }

    async fn status(&self, call: StatusCall) -> Result<RequestState, Refusal> {
        once::status(self, call).await
    }

    fn addresses(&self, call: AddressCall) -> Result<AddressList, Refusal> {
        addresses::list(self, call)
    }

    fn metrics(&self) -> String {
        self.shared.metrics.render()
    }
}

impl Executor for Dispatch {
    fn authorize(&self, token: &str) -> bool {
        // Hashes are compared so that the time taken reveals nothing about the token.
        blake3::hash(token.as_bytes()) == blake3::hash(self.shared.settings.operator_token.as_bytes())
    }

    async fn execute(
        &self,
        statement: StatementBody,
        from: Option<SocketAddr>,
    ) -> Result<ReplyBody, OperatorError> {
        if let Some(query) = single_query(&statement)
            && let Some(table) = self.show_table(query.table).await?
        {
            return select(table, &query).map(ReplyBody::Table);
        }
        match self.control.config.send(Execute(statement, from)).await {
            Ok(result) => result,
            Err(error) => Err(OperatorError::KvUnreachable(error.to_string())),
        }
    }
}

/// Returns the query if the statement consists of a single query.
fn single_query(statement: &StatementBody) -> Option<Query> {
    match parse_script(&statement.text).ok()?.as_slice() {
        [Statement::Show(query)] => Some(query.clone()),
        _ => None,
    }
}
