//! Keeper of the configuration: follows `config/head` and accepts changes by compare-and-swap on it.

use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseActFuture;
use actix::WrapFuture;
use sequoiastream_core::config::Accepted;
use sequoiastream_core::config::Change;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::Config;
use sequoiastream_core::config::Head;
use sequoiastream_core::config::Version;
use sequoiastream_core::log_event;
use sequoiastream_core::snapshot::Snapshot;
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
use sequoiastream_platform::Entry;
use sequoiastream_platform::Expect;
use sequoiastream_platform::KvClient;
use sequoiastream_platform::KvError;
use sequoiastream_platform::KvVersion;
use sequoiastream_platform::Swap;

use crate::log_event;
use crate::ops::shared::Shared;
use crate::ops::tables;
use crate::util::clock;

/// Key of the head.
const HEAD: &str = "config/head";

/// Pause before the head is asked for again after a failed call.
const PAUSE: Duration = Duration::from_millis(200);

/// How often a change is tried on top of a head that another change moved on.
const TRIES: u32 = 8;

/// Keeper of the configuration.
#[derive(Debug)]
pub struct ConfigActor {
    shared: Arc<Shared>,
    kv: KvClient,
    head: Head,
    config: Config,
    seen: KvVersion,
}

/// Carries out an operator's statements.
#[derive(Debug)]
pub struct Execute(pub StatementBody);

impl Message for Execute {
    type Result = Result<ReplyBody, OperatorError>;
}

impl ConfigActor {
    /// A keeper that knows only the empty configuration.
    pub fn new(shared: Arc<Shared>, kv: KvClient) -> ConfigActor {
        ConfigActor {
            shared,
            kv,
            head: Head::default(),
            config: Config::default(),
            seen: KvVersion::default(),
        }
    }

    fn follow(&mut self, context: &mut Context<Self>) {
        let kv = self.kv.clone();
        let after = self.seen;
        let wait = self.shared.settings.wait;
        let watch = async move { kv.watch(HEAD, after, wait).await };
        context.spawn(watch.into_actor(self).map(|result, actor, context| {
            let pause = actor.on_watch(result);
            context.run_later(pause, |actor, context| actor.follow(context));
        }));
    }

    /// Takes the result of a watch; returns how long to pause before the next.
    fn on_watch(&mut self, result: Result<Option<Entry>, KvError>) -> Duration {
        match result {
            Ok(Some(entry)) => {
                self.on_entry(&entry);
                Duration::ZERO
            }
            Ok(None) => Duration::ZERO,
            Err(error) => {
                log_event!(warn, log_event::KV_FAILED, %error, call = "watch config/head");
                PAUSE
            }
        }
    }

    fn on_entry(&mut self, entry: &Entry) {
        self.seen = entry.version;
        let Some(value) = &entry.value else { return };
        match serde_json::from_slice::<Head>(value) {
            Ok(head) => self.adopt(head),
            Err(error) => log_event!(error, log_event::KV_FAILED, %error, call = "read config/head"),
        }
    }

    fn adopt(&mut self, head: Head) {
        if head.version < self.head.version {
            log_event!(warn, log_event::CONFIG_STALE, version = head.version.0);
            return;
        }
        match head.build(&Config::default()) {
            Ok(config) => {
                self.shared
                    .snapshot
                    .store(Arc::new(Snapshot::new(head.version, &config)));
                log_event!(info, log_event::CONFIG_IN_FORCE, version = head.version.0);
                self.config = config;
                self.head = head;
            }
            Err(error) => log_event!(error, log_event::INVARIANT_BROKEN, %error),
        }
    }

    fn table(&self, table: Table) -> TableBody {
        match table {
            Table::Products => products(&self.config),
            Table::Services => services(&self.config),
            Table::Engines => engines(&self.config),
            Table::Changes => changes(&self.head),
            Table::Quarantine => quarantine(&self.config),
            // Shown by the keeper of the authorities.
            Table::Leases | Table::Orders => tables::table(&[], std::iter::empty()),
        }
    }
}

impl Actor for ConfigActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.follow(context);
    }
}

impl Handler<Execute> for ConfigActor {
    type Result = ResponseActFuture<Self, Result<ReplyBody, OperatorError>>;

    fn handle(&mut self, Execute(body): Execute, _: &mut Context<Self>) -> Self::Result {
        let mut commands = Vec::new();
        let mut queries = Vec::new();
        match parse_script(&body.text) {
            Err(error) => return Box::pin(actix::fut::ready(Err(error.into()))),
            Ok(statements) => {
                for statement in statements {
                    match statement {
                        Statement::Show(query) => queries.push(query),
                        Statement::Change(command) => commands.push(command),
                    }
                }
            }
        }
        match (queries.as_slice(), commands.is_empty()) {
            ([], false) => {}
            ([query], true) => {
                let reply = select(self.table(query.table), query).map(ReplyBody::Table);
                return Box::pin(actix::fut::ready(reply));
            }
            _ => return Box::pin(actix::fut::ready(Err(OperatorError::Mixed))),
        }
        let kv = self.kv.clone();
        let accept = async move { accept(&kv, &body, commands).await };
        Box::pin(accept.into_actor(self).map(|result, actor, _| {
            let (reply, head) = result?;
            actor.adopt(head);
            Ok(ReplyBody::Accepted(reply))
        }))
    }
}

/// Accepts a change: reads the head, works out the next one and swaps it in.
async fn accept(
    kv: &KvClient,
    body: &StatementBody,
    commands: Vec<Command>,
) -> Result<(AcceptedBody, Head), OperatorError> {
    let platform = |error: KvError| OperatorError::Platform(error.to_string());
    for _ in 0..TRIES {
        let entry = kv.get(HEAD).await.map_err(platform)?;
        let head = match &entry.value {
            Some(value) => {
                serde_json::from_slice(value).map_err(|e| OperatorError::Platform(e.to_string()))?
            }
            None => Head::default(),
        };
        let rejected = |e: sequoiastream_core::config::Rejected| OperatorError::Rejected(e.to_string());
        let config = head.build(&Config::default()).map_err(rejected)?;
        let change = Change {
            version: Version::default(),
            id: CommandId(body.id),
            who: body.who.clone(),
            when: clock::wall(),
            statement: summary(&body.text),
            commands: commands.clone(),
        };
        match head.accept(&config, change).map_err(rejected)? {
            Accepted::Before(version) => return Ok((accepted(version, true), head)),
            Accepted::Next { head, .. } => {
                let value = serde_json::to_vec(&head).map_err(|e| OperatorError::Platform(e.to_string()))?;
                match kv.swap(HEAD, Expect::from(entry.version), &value, None).await {
                    Ok(Swap::Done(_)) => {
                        log_event!(
                            info,
                            log_event::CHANGE_ACCEPTED,
                            version = head.version.0,
                            who = body.who
                        );
                        return Ok((accepted(head.version, false), head));
                    }
                    Ok(Swap::Conflict(_)) => continue,
                    Err(error) => return Err(platform(error)),
                }
            }
        }
    }
    Err(OperatorError::Conflict(
        "other changes kept coming first".to_string(),
    ))
}

fn accepted(version: Version, repeated: bool) -> AcceptedBody {
    AcceptedBody {
        version: version.0,
        repeated,
        force: 1,
        known: 1,
    }
}

fn table<R>(columns: &[&str], rows: R) -> TableBody
where
    R: Iterator<Item = Vec<String>>,
{
    TableBody {
        columns: columns.iter().map(|c| c.to_string()).collect(),
        rows: rows.collect(),
    }
}

fn products(config: &Config) -> TableBody {
    let rows = config.products.iter().map(|(name, p)| {
        vec![
            name.to_string(),
            format!("{}%", p.share),
            format!("{}ms", p.deadline),
            p.weight.to_string(),
            p.keys.len().to_string(),
        ]
    });
    table(&["product", "share", "deadline", "weight", "keys"], rows)
}

fn services(config: &Config) -> TableBody {
    let rows = config.services.iter().map(|(name, service)| {
        let engines = config.engines.values().filter(|e| e.service == *name).count();
        let kind = match &service.kind {
            sequoiastream_core::config::ServiceKind::Model { model } => format!("model {model}"),
            sequoiastream_core::config::ServiceKind::Plain { routes } => {
                format!("plain, {} routes", routes.len())
            }
        };
        vec![name.to_string(), kind, engines.to_string()]
    });
    table(&["service", "kind", "engines"], rows)
}

fn engines(config: &Config) -> TableBody {
    let rows = config.engines.iter().map(|(name, e)| {
        vec![
            name.to_string(),
            e.service.to_string(),
            e.zone.to_string(),
            e.address.to_string(),
            format!("{:?}", e.state).to_lowercase(),
            e.role.map_or("auto".to_string(), |r| r.to_string()),
            format!("{:?}", e.fencing).to_lowercase(),
        ]
    });
    table(
        &["engine", "service", "zone", "address", "state", "role", "fencing"],
        rows,
    )
}

fn quarantine(config: &Config) -> TableBody {
    let rows = config.quarantine.iter().map(|print| vec![print.clone()]);
    table(&["fingerprint"], rows)
}

fn changes(head: &Head) -> TableBody {
    let rows = head.tail.iter().rev().map(|c| {
        vec![
            c.version.to_string(),
            c.when.0.to_string(),
            c.who.clone(),
            c.statement.clone(),
        ]
    });
    table(&["version", "when", "who", "statement"], rows)
}
