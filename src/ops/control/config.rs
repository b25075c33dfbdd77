//! Keeper of the configuration: carries out the decisions of [`Replicator`].

mod execute;
mod store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::Recipient;
use actix::WrapFuture;
use sequoiastream_core::config::Action;
use sequoiastream_core::config::Event;
use sequoiastream_core::config::Outcome;
use sequoiastream_core::config::Proposal;
use sequoiastream_core::config::Replicator;
use sequoiastream_core::config::Revision;
use sequoiastream_core::config::StoredHead;
use sequoiastream_core::config::SubmissionId;
use sequoiastream_core::config::SubmitError;
use sequoiastream_core::config::Update;
use sequoiastream_core::config::Version;
use sequoiastream_core::invariant;
use sequoiastream_core::log_event;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_core::time::Time;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use tokio::sync::oneshot;

pub use execute::Execute;

use crate::log_event;
use crate::ops::control::config::store::ConfigStore;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Pause before the head is asked for again after a failed call.
const PAUSE: Duration = Duration::from_millis(200);

/// How often the keeper looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// How long accepting a change may take.
const SUBMIT_LIMIT: Duration = Duration::from_secs(10);

/// How long a peer may take to tell a configuration.
const FETCH_LIMIT: Duration = Duration::from_secs(2);

/// Watches end after this part of the stale limit, so that hearing nothing shows in time.
const WATCH_PART: u32 = 3;

type Answer = Result<Outcome, SubmitError>;

/// Keeper of the configuration.
#[derive(Debug)]
pub struct ConfigActor {
    shared: Arc<Shared>,
    store: ConfigStore,
    calls: CallClient,
    keeper: Replicator,
    /// The highest revision seen, which the watch waits to be passed.
    seen: Revision,
    tickets: u64,
    waiting: BTreeMap<SubmissionId, oneshot::Sender<Answer>>,
    followers: Vec<Recipient<InForce>>,
    leaving: BTreeSet<SocketAddr>,
    published: Version,
}

/// Tells that this version is in force here, or that the key-value service was heard.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct InForce {
    /// The version.
    pub version: Version,
    /// When the key-value service was known to have no later one; `None` if that is not news.
    pub contact: Option<Time>,
}

/// Asks to be told [`InForce`].
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Follow(pub Recipient<InForce>);

/// A peer at this address has this version in force.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Ahead(pub SocketAddr, pub Version);

/// This instance did not run for a while: the head must be read anew before what is known counts.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Confirm;

/// The upstreams that leave, by address.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub struct Leaving(pub BTreeSet<SocketAddr>);

/// Asks for what came after a version.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Update")]
pub struct UpdateAfter(pub Version);

impl ConfigActor {
    /// A keeper that knows only the empty configuration.
    pub fn new(shared: Arc<Shared>, kv: KvClient, calls: CallClient) -> ConfigActor {
        ConfigActor {
            shared,
            store: ConfigStore::new(kv),
            calls,
            keeper: Replicator::new(clock::now(), SUBMIT_LIMIT),
            seen: Revision::default(),
            tickets: 0,
            waiting: BTreeMap::new(),
            followers: Vec::new(),
            leaving: BTreeSet::new(),
            published: Version::default(),
        }
    }

    fn watch(&mut self, context: &mut Context<Self>) {
        let settings = &self.shared.settings;
        let wait = settings.wait.min(settings.limits.stale_after / WATCH_PART);
        let (store, after) = (self.store.clone(), self.seen);
        let sent = clock::now();
        let watch = async move { store.watch(after, wait).await };
        context.spawn(watch.into_actor(self).map(move |result, actor, context| {
            let pause = match result {
                Ok(Some(stored)) => actor.on_watched(sent, stored, context),
                Ok(None) => {
                    // The service found nothing new until it answered, so at least until `wait` was over.
                    actor.tell(Some(sent + wait));
                    Duration::ZERO
                }
                Err(error) => {
                    log_event!(warn, log_event::KV_FAILED, %error, call = "watch config/head");
                    PAUSE
                }
            };
            context.run_later(pause, |actor, context| actor.watch(context));
        }));
    }

    /// Takes a head; returns how long to pause before the next watch.
    fn on_watched(&mut self, sent: Time, stored: StoredHead, context: &mut Context<Self>) -> Duration {
        let (revision, version) = (stored.revision, stored.head.version);
        self.on(Event::Read(stored), context);
        if revision < self.seen {
            // An answer from the past: the watch would return it at once, again and again.
            return PAUSE;
        }
        self.seen = revision;
        // A head whose snapshot is still to be read is not in force yet, so nothing is confirmed.
        if self.published >= version {
            self.tell(Some(sent));
        }
        Duration::ZERO
    }

    /// Lets the keeper decide on `event` and carries out what it wants.
    fn on(&mut self, event: Event, context: &mut Context<Self>) {
        for action in self.keeper.on(clock::now(), event) {
            self.act(action, context);
        }
    }

    fn act(&mut self, action: Action, context: &mut Context<Self>) {
        let store = self.store.clone();
        match action {
            Action::Read => self.spawn(context, async move { read(store.head().await) }),
            Action::ReadSnapshot(version) => self.spawn(context, async move {
                Event::Snapshot(store.snapshot(version).await.map(Box::new))
            }),
            Action::StoreSnapshot(ticket, state) => self.spawn(context, async move {
                let stored = store.store(&state).await;
                log_event!(
                    info,
                    log_event::SNAPSHOT_STORED,
                    version = state.version.0,
                    stored
                );
                Event::SnapshotStored(ticket, state.version, stored)
            }),
            Action::SwapHead(ticket, expect, head) => self.spawn(context, async move {
                Event::Swapped(ticket, store.swap(expect, &head).await)
            }),
            Action::RemoveSnapshot(version) => {
                let remove = async move { store.remove(version).await };
                context.spawn(remove.into_actor(self).map(|result, _, _| {
                    if let Err(error) = result {
                        log_event!(warn, log_event::KV_FAILED, %error, call = "remove config/snapshot");
                    }
                }));
            }
            Action::Fetch(peer, after) => {
                let calls = self.calls.clone();
                self.spawn(context, async move {
                    Event::Fetched(fetch(&calls, peer, after).await)
                });
            }
            Action::Publish => self.publish(),
            Action::Answer(ticket, answer) => self.answer(ticket, answer),
            Action::Stale(version) => {
                log_event!(warn, log_event::CONFIG_STALE, version = version.0);
            }
            Action::Inconsistent(error) => log_event!(error, log_event::INVARIANT_BROKEN, %error),
        }
    }

    /// Runs `work` and gives the keeper the event that it ends with.
    fn spawn<F>(&self, context: &mut Context<Self>, work: F)
    where
        F: Future<Output = Event> + 'static,
    {
        let work = work.into_actor(self);
        context.spawn(work.map(|event, actor, context| actor.on(event, context)));
    }

    /// Puts the configuration in force on the traffic threads.
    fn publish(&mut self) {
        let state = self.keeper.state();
        let version = state.version;
        let rises = invariant::check(version >= self.published, "the version in force never goes back");
        if let Err(error) = rises {
            log_event!(error, log_event::INVARIANT_BROKEN, %error);
            return;
        }
        self.shared.poison().on_quarantine(&state.config.quarantine);
        let mut snapshot = Snapshot::new(version, &state.config);
        snapshot.mark_leaving(&self.leaving);
        self.shared.snapshot.store(Arc::new(snapshot));
        if version > self.published {
            self.published = version;
            log_event!(info, log_event::CONFIG_IN_FORCE, version = version.0);
            self.tell(None);
        }
    }

    fn tell(&self, contact: Option<Time>) {
        let version = self.published;
        for follower in &self.followers {
            follower.do_send(InForce { version, contact });
        }
    }

    fn submit(&mut self, proposal: Proposal, context: &mut Context<Self>) -> oneshot::Receiver<Answer> {
        self.tickets += 1;
        let ticket = SubmissionId(self.tickets);
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(ticket, sender);
        self.on(Event::Submitted(ticket, Box::new(proposal)), context);
        receiver
    }

    fn answer(&mut self, ticket: SubmissionId, answer: Answer) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            // The operator may be gone; the change stands all the same.
            let _ = sender.send(answer);
        }
    }
}

fn read(result: Result<StoredHead, KvError>) -> Event {
    match result {
        Ok(stored) => Event::Read(stored),
        Err(error) => {
            log_event!(warn, log_event::KV_FAILED, %error, call = "read config/head");
            Event::ReadFailed
        }
    }
}

async fn fetch(calls: &CallClient, peer: SocketAddr, after: Version) -> Option<Update> {
    let answer = calls.call(peer, &Request::Config(after), FETCH_LIMIT).await;
    match answer {
        Ok(Response::Config(update)) => Some(update),
        Ok(_) => None,
        Err(error) => {
            log_event!(warn, log_event::PEER_FAILED, %peer, %error, call = "config");
            None
        }
    }
}

impl Actor for ConfigActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.watch(context);
        context.run_interval(TICK, |actor, context| actor.on(Event::Tick, context));
    }
}

impl Handler<Follow> for ConfigActor {
    type Result = ();

    fn handle(&mut self, Follow(follower): Follow, _: &mut Context<Self>) {
        self.followers.push(follower);
        self.tell(None);
    }
}

impl Handler<Ahead> for ConfigActor {
    type Result = ();

    fn handle(&mut self, Ahead(peer, version): Ahead, context: &mut Context<Self>) {
        self.on(Event::PeerVersion(peer, version), context);
    }
}

impl Handler<Confirm> for ConfigActor {
    type Result = ();

    fn handle(&mut self, _: Confirm, context: &mut Context<Self>) {
        let store = self.store.clone();
        let sent = clock::now();
        let read = async move { store.head().await };
        context.spawn(
            read.into_actor(self)
                .map(move |result, actor, context| match result {
                    Ok(stored) => drop(actor.on_watched(sent, stored, context)),
                    Err(error) => log_event!(warn, log_event::KV_FAILED, %error, call = "read config/head"),
                }),
        );
    }
}

impl Handler<Leaving> for ConfigActor {
    type Result = ();

    fn handle(&mut self, Leaving(leaving): Leaving, _: &mut Context<Self>) {
        if leaving != self.leaving {
            self.leaving = leaving;
            log_event!(info, log_event::UPSTREAM_LEAVING, count = self.leaving.len());
            self.publish();
        }
    }
}

impl Handler<UpdateAfter> for ConfigActor {
    type Result = actix::MessageResult<UpdateAfter>;

    fn handle(&mut self, UpdateAfter(after): UpdateAfter, _: &mut Context<Self>) -> Self::Result {
        actix::MessageResult(self.keeper.update_after(after))
    }
}
