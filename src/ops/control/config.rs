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
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How often the keeper looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long accepting a change may take.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a peer may take to tell a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches end after this part of the stale limit, so that hearing nothing shows in time.
const STALE_DIVISOR: u32 = 3;

type SubmitResult = Result<Outcome, SubmitError>;

/// Keeper of the configuration.
#[derive(Debug)]
pub struct ConfigActor {
    shared: Arc<Shared>,
    store: ConfigStore,
    call_client: CallClient,
    replicator: Replicator,
    /// The highest revision seen, which the watch waits to be passed.
    head_revision: Revision,
    submission_count: u64,
    pending: BTreeMap<SubmissionId, oneshot::Sender<SubmitResult>>,
    subscribers: Vec<Recipient<InForce>>,
    leaving: BTreeSet<SocketAddr>,
    published_version: Version,
}

/// Tells that this version is in force here, or that the key-value service was heard.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct InForce {
    /// The version.
    pub version: Version,
    /// When the key-value service was known to have no later one; `None` if that is not news.
    pub kv_contact: Option<Time>,
}

/// Asks to be told [`InForce`].
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<InForce>);

/// A peer at this address has this version in force.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct PeerAhead(pub SocketAddr, pub Version);

/// This instance did not run for a while: the head must be read anew before what is known counts.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct RefreshHead;

/// The upstreams that leave, by address.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub struct LeavingUpstreams(pub BTreeSet<SocketAddr>);

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
            call_client: calls,
            replicator: Replicator::new(clock::now(), SUBMIT_TIMEOUT),
            head_revision: Revision::default(),
            submission_count: 0,
            pending: BTreeMap::new(),
            subscribers: Vec::new(),
            leaving: BTreeSet::new(),
            published_version: Version::default(),
        }
    }

    fn watch(&mut self, context: &mut Context<Self>) {
        let settings = &self.shared.settings;
        let wait = settings.wait.min(settings.limits.stale_after / STALE_DIVISOR);
        let (store, after) = (self.store.clone(), self.head_revision);
        let sent = clock::now();
        let watch = async move { store.watch_head(after, wait).await };
        context.spawn(watch.into_actor(self).map(move |result, actor, context| {
            let pause = match result {
                Ok(Some(stored)) => actor.on_watched(sent, stored, context),
                Ok(None) => {
                    // The service found nothing new until it answered, so at least until `wait` was over.
                    actor.notify_subscribers(Some(sent + wait));
                    Duration::ZERO
                }
                Err(error) => {
                    log_event!(warn, log_event::KV_FAILED, %error, call = "watch config/head");
                    RETRY_PAUSE
                }
            };
            context.run_later(pause, |actor, context| actor.watch(context));
        }));
    }

    /// Takes a head; returns how long to pause before the next watch.
    fn on_watched(&mut self, sent: Time, stored: StoredHead, context: &mut Context<Self>) -> Duration {
        let (revision, version) = (stored.revision, stored.head.version);
        self.handle_event(Event::Read(stored), context);
        if revision < self.head_revision {
            // An answer from the past: the watch would return it at once, again and again.
            return RETRY_PAUSE;
        }
        self.head_revision = revision;
        // A head whose snapshot is still to be read is not in force yet, so nothing is confirmed.
        if self.published_version >= version {
            self.notify_subscribers(Some(sent));
        }
        Duration::ZERO
    }

    /// Lets the keeper decide on `event` and carries out what it wants.
    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) {
        for action in self.replicator.on(clock::now(), event) {
            self.perform(action, context);
        }
    }

    fn perform(&mut self, action: Action, context: &mut Context<Self>) {
        let store = self.store.clone();
        match action {
            Action::Read => self.spawn_event(context, async move { head_event(store.read_head().await) }),
            Action::ReadSnapshot(version) => self.spawn_event(context, async move {
                Event::Snapshot(store.read_snapshot(version).await.map(Box::new))
            }),
            Action::StoreSnapshot(ticket, state) => self.spawn_event(context, async move {
                let stored = store.store_snapshot(&state).await;
                log_event!(
                    info,
                    log_event::SNAPSHOT_STORED,
                    version = state.version.0,
                    stored
                );
                Event::SnapshotStored(ticket, state.version, stored)
            }),
            Action::SwapHead(ticket, expect, head) => self.spawn_event(context, async move {
                Event::Swapped(ticket, store.swap_head(expect, &head).await)
            }),
            Action::RemoveSnapshot(version) => {
                let remove = async move { store.remove_snapshot(version).await };
                context.spawn(remove.into_actor(self).map(|result, _, _| {
                    if let Err(error) = result {
                        log_event!(warn, log_event::KV_FAILED, %error, call = "remove config/snapshot");
                    }
                }));
            }
            Action::Fetch(peer, after) => {
                let calls = self.call_client.clone();
                self.spawn_event(context, async move {
                    Event::Fetched(fetch_update(&calls, peer, after).await)
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
    fn spawn_event<F>(&self, context: &mut Context<Self>, work: F)
    where
        F: Future<Output = Event> + 'static,
    {
        let work = work.into_actor(self);
        context.spawn(work.map(|event, actor, context| actor.handle_event(event, context)));
    }

    /// Puts the configuration in force on the traffic threads.
    fn publish(&mut self) {
        let state = self.replicator.state();
        let version = state.version;
        let rises = invariant::check(
            version >= self.published_version,
            "the version in force never goes back",
        );
        if let Err(error) = rises {
            log_event!(error, log_event::INVARIANT_BROKEN, %error);
            return;
        }
        self.shared.poison().on_quarantine(&state.config.quarantine);
        let mut snapshot = Snapshot::new(version, &state.config);
        snapshot.mark_leaving(&self.leaving);
        self.shared.snapshot.store(Arc::new(snapshot));
        if version > self.published_version {
            self.published_version = version;
            log_event!(info, log_event::CONFIG_IN_FORCE, version = version.0);
            self.notify_subscribers(None);
        }
    }

    fn notify_subscribers(&self, contact: Option<Time>) {
        let version = self.published_version;
        for follower in &self.subscribers {
            follower.do_send(InForce {
                version,
                kv_contact: contact,
            });
        }
    }

    fn submit(&mut self, proposal: Proposal, context: &mut Context<Self>) -> oneshot::Receiver<SubmitResult> {
        self.submission_count += 1;
        let ticket = SubmissionId(self.submission_count);
        let (sender, receiver) = oneshot::channel();
        self.pending.insert(ticket, sender);
        self.handle_event(Event::Submitted(ticket, Box::new(proposal)), context);
        receiver
    }

    fn answer(&mut self, ticket: SubmissionId, answer: SubmitResult) {
        if let Some(sender) = self.pending.remove(&ticket) {
            // The operator may be gone; the change stands all the same.
            let _ = sender.send(answer);
        }
    }
}

fn head_event(result: Result<StoredHead, KvError>) -> Event {
    match result {
        Ok(stored) => Event::Read(stored),
        Err(error) => {
            log_event!(warn, log_event::KV_FAILED, %error, call = "read config/head");
            Event::ReadFailed
        }
    }
}

async fn fetch_update(calls: &CallClient, peer: SocketAddr, after: Version) -> Option<Update> {
    let answer = calls.call(peer, &Request::Config(after), FETCH_TIMEOUT).await;
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
        context.run_interval(TICK_INTERVAL, |actor, context| {
            actor.handle_event(Event::Tick, context)
        });
    }
}

impl Handler<Subscribe> for ConfigActor {
    type Result = ();

    fn handle(&mut self, Subscribe(follower): Subscribe, _: &mut Context<Self>) {
        self.subscribers.push(follower);
        self.notify_subscribers(None);
    }
}

impl Handler<PeerAhead> for ConfigActor {
    type Result = ();

    fn handle(&mut self, PeerAhead(peer, version): PeerAhead, context: &mut Context<Self>) {
        self.handle_event(Event::PeerVersion(peer, version), context);
    }
}

impl Handler<RefreshHead> for ConfigActor {
    type Result = ();

    fn handle(&mut self, _: RefreshHead, context: &mut Context<Self>) {
        let store = self.store.clone();
        let sent = clock::now();
        let read = async move { store.read_head().await };
        context.spawn(
            read.into_actor(self)
                .map(move |result, actor, context| match result {
                    Ok(stored) => drop(actor.on_watched(sent, stored, context)),
                    Err(error) => log_event!(warn, log_event::KV_FAILED, %error, call = "read config/head"),
                }),
        );
    }
}

impl Handler<LeavingUpstreams> for ConfigActor {
    type Result = ();

    fn handle(&mut self, LeavingUpstreams(leaving): LeavingUpstreams, _: &mut Context<Self>) {
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
        actix::MessageResult(self.replicator.update_after(after))
    }
}
