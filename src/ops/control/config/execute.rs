//! Executes operators' statements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::ActorFutureExt;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseActFuture;
use actix::WrapFuture;
use sequoiastream_core::config::Base;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::Outcome;
use sequoiastream_core::config::Proposal;
use sequoiastream_core::config::ProposalError;
use sequoiastream_core::config::State;
use sequoiastream_core::config::SubmitError;
use sequoiastream_core::config::Version;
use sequoiastream_core::log_event;
use sequoiastream_core::membership::Roster;
use sequoiastream_operator::Statement;
use sequoiastream_operator::Table;
use sequoiastream_operator::http::OperatorError;
use sequoiastream_operator::parse_script;
use sequoiastream_operator::select;
use sequoiastream_operator::summary;
use sequoiastream_operator::wire::AcceptedBody;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_operator::wire::TableBody;
use tokio::time::timeout;

use crate::log_event;
use crate::ops::control::config::ConfigActor;
use crate::ops::shared::Shared;
use crate::ops::tables;
use crate::util::clock;

/// How long a reply waits, if the operator asked for it, until the change is in force on all reachable instances.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// How long every other reply waits, so that it normally reports the change in force on all instances.
const SHORT_WAIT: Duration = Duration::from_millis(300);

/// Executes an operator's statements, which were received from the address.
#[derive(Debug)]
pub struct Execute(pub StatementBody, pub Option<SocketAddr>);

impl Message for Execute {
    type Result = Result<ReplyBody, OperatorError>;
}

impl Handler<Execute> for ConfigActor {
    type Result = ResponseActFuture<Self, Result<ReplyBody, OperatorError>>;

    fn handle(&mut self, Execute(body, from): Execute, context: &mut Context<Self>) -> Self::Result {
        let ready = |reply| -> Self::Result { Box::pin(actix::fut::ready(reply)) };
        let state = self.replicator.state();
        let commands = match parse_statements(&body.text, state, &self.shared.roster()) {
            Ok(Script::Commands(commands)) => commands,
            Ok(Script::Table(table)) => return ready(Ok(ReplyBody::Table(table))),
            Err(error) => return ready(Err(error)),
        };
        if body.dry_run {
            return ready(difference(state, &commands).map(ReplyBody::Difference));
        }
        let proposal = new_proposal(&body, from, state.version, commands);
        let answer = self.submit(proposal.clone(), context);
        let (shared, wait) = (self.shared.clone(), body.wait);
        let reply = async move {
            let outcome = answer.await.unwrap_or(Err(SubmitError::Unknown));
            complete_reply(&shared, &proposal, outcome, wait).await
        };
        Box::pin(reply.into_actor(self).map(|reply, _, _| reply))
    }
}

/// A parsed script.
enum Script {
    /// The result of a query.
    Table(TableBody),
    /// Changes to submit.
    Commands(Vec<Command>),
}

/// Parses the text, which holds either one query or changes, and runs the query.
///
/// # Errors
///
/// [`OperatorError::Mixed`] if the text is neither; otherwise the error of parsing or of the query.
fn parse_statements(text: &str, state: &State, roster: &Roster) -> Result<Script, OperatorError> {
    let mut commands = Vec::new();
    let mut queries = Vec::new();
    for statement in parse_script(text)? {
        match statement {
            Statement::Show(query) => queries.push(query),
            Statement::Change(command) => commands.push(command),
        }
    }
    match (queries.as_slice(), commands.is_empty()) {
        ([], false) => Ok(Script::Commands(commands)),
        ([query], true) => {
            let table = tables::config_table(&state.config, query.table);
            let table = table.unwrap_or_else(|| match query.table {
                Table::Changes => tables::audit_trail(state),
                Table::Instances => tables::instances(roster),
                _ => TableBody::default(),
            });
            select(table, query).map(Script::Table)
        }
        _ => Err(OperatorError::Mixed),
    }
}

/// The table of what `commands` would change in `state`; the commands are not submitted.
///
/// # Errors
///
/// [`OperatorError::Rejected`] if a command cannot be applied.
fn difference(state: &State, commands: &[Command]) -> Result<TableBody, OperatorError> {
    let mut after = state.config.clone();
    for command in commands {
        after
            .apply(command)
            .map_err(|error| OperatorError::Rejected(error.to_string()))?;
    }
    Ok(tables::config_diff(&state.config, &after))
}

/// Creates a proposal. Without an explicit base version it is based on `version`.
fn new_proposal(
    body: &StatementBody,
    from: Option<SocketAddr>,
    version: Version,
    commands: Vec<Command>,
) -> Proposal {
    Proposal {
        id: CommandId(body.id),
        who: body.who.clone(),
        from: from.map(|address| address.to_string()).unwrap_or_default(),
        when: clock::wall_time(),
        statement: summary(&body.text),
        commands,
        base: body
            .base
            .map_or(Base::Implied(version), |base| Base::Explicit(Version(base))),
    }
}

/// Logs the outcome, and waits for the change to come into force on the reachable instances. The reply says on how many
/// it is in force.
async fn complete_reply(
    shared: &Arc<Shared>,
    proposal: &Proposal,
    outcome: Result<Outcome, SubmitError>,
    wait: bool,
) -> Result<ReplyBody, OperatorError> {
    let (who, from, id) = (&proposal.who, &proposal.from, proposal.id.0);
    let outcome = outcome.map_err(|failure| {
        let statement = &proposal.statement;
        log_event!(warn, log_event::CHANGE_REFUSED, who, from, %id, statement, reason = %failure);
        operator_error(failure)
    })?;
    let (version, repeated) = (outcome.version, outcome.repeated);
    let statement = &proposal.statement;
    log_event!(info, log_event::CHANGE_ACCEPTED, version = version.0, who, from, %id, repeated, statement);
    let limit = if wait { WAIT_LIMIT } else { SHORT_WAIT };
    // If the limit passes first, the reply still reports the number of instances on which the change is in force.
    let _ = timeout(limit, wait_in_force(shared, version)).await;
    let roster = shared.roster();
    let count = |peers: usize| u32::try_from(peers + 1).unwrap_or(u32::MAX);
    Ok(ReplyBody::Accepted(AcceptedBody {
        version: version.0,
        repeated,
        in_force: count(roster.count_with(version)),
        known: count(roster.peers.len()),
    }))
}

/// Waits until the version is in force on every reachable instance.
async fn wait_in_force(shared: &Shared, version: Version) {
    let mut rosters = shared.follow_roster();
    // This cannot fail: the sender exists as long as the process.
    let _ = rosters
        .wait_for(|roster| roster.count_without(version) == 0)
        .await;
}

/// Converts the error of a submission to the one that the operator receives.
fn operator_error(failure: SubmitError) -> OperatorError {
    let text = failure.to_string();
    match failure {
        SubmitError::Rejected(ProposalError::Apply(_)) | SubmitError::TooLarge(_) => {
            OperatorError::Rejected(text)
        }
        SubmitError::Rejected(_) => OperatorError::Conflict(text),
        SubmitError::TimedOut | SubmitError::Unknown => OperatorError::KvUnreachable(text),
    }
}
