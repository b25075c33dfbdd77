//! Replicates the configuration: carries out the actions of [`Replicator`].

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

/// Pause before the next watch of the head after a failed call or an outdated answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval between two ticks of the replicator.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a submitted change may take to be accepted.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a peer may take to send a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Divisor of the time after which the configuration counts as stale: a watch lasts at most this fraction of it, so
/// that a missing answer is noticed in time.
const STALE_DIVISOR: u32 = 3;

/// What the submitter of a change receives.
type SubmitResult = Result<Outcome, SubmitError>;

/// Replicates the configuration and publishes the version in force to the traffic threads.
#[derive(Debug)]
pub struct ConfigActor {
    shared: Arc<Shared>,
    store: ConfigStore,
    call_client: CallClient,
    replicator: Replicator,
    /// The highest revision of the head that was read; the watch waits for a later one.
    head_revision: Revision,
    submission_count: u64,
    pending: BTreeMap<SubmissionId, oneshot::Sender<SubmitResult>>,
    subscribers: Vec<Recipient<InForce>>,
    leaving: BTreeSet<SocketAddr>,
    published_version: Version,
}

/// Notifies a subscriber that a version is in force here, or that the key-value service has answered.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct InForce {
    /// The version in force.
    pub version: Version,
    /// A time at which the key-value service had no later version; `None` if nothing new is known of that.
    pub kv_contact: Option<Time>,
}

/// Subscribes to [`InForce`].
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<InForce>);

/// Reports that the peer at this address has this version in force, which is later than ours.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct PeerAhead(pub SocketAddr, pub Version);

/// Asks to read the head, because this instance was paused: what it knows counts as confirmed only after that.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct RefreshHead;

/// Sets the addresses of the upstreams that are leaving.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub struct LeavingUpstreams(pub BTreeSet<SocketAddr>);

/// Requests the changes after a version.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Update")]
pub struct UpdateAfter(pub Version);

impl ConfigActor {
    /// Creates an actor that knows only the empty configuration.
    pub fn new(shared: Arc<Shared>, kv: KvClient, call_client: CallClient) -> ConfigActor {
        ConfigActor {
            shared,
            store: ConfigStore::new(kv),
            call_client,
            replicator: Replicator::new(clock::now(), SUBMIT_TIMEOUT),
            head_revision: Revision::default(),
            submission_count: 0,
            pending: BTreeMap::new(),
            subscribers: Vec::new(),
            leaving: BTreeSet::new(),
            published_version: Version::default(),
        }
    }

    /// Watches the head; the next watch starts after this one has ended.
    fn watch(&mut self, context: &mut Context<Self>) {
        let settings = &self.shared.settings;
        let wait = settings
            .watch_wait
            .min(settings.limits.stale_after / STALE_DIVISOR);
        let (store, after) = (self.store.clone(), self.head_revision);
        let sent = clock::now();
        let watch = async move { store.watch_head(after, wait).await };
        context.spawn(watch.into_actor(self).map(move |result, actor, context| {
            let pause = match result {
                Ok(Some(stored)) => actor.on_watched(sent, stored, context),
                Ok(None) => {
                    // The service found no change until it answered, which was not before `wait` had passed.
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

    /// Handles a head that was read; returns the pause before the next watch.
    fn on_watched(&mut self, sent: Time, stored: StoredHead, context: &mut Context<Self>) -> Duration {
        let (revision, version) = (stored.revision, stored.head.version);
        self.handle_event(Event::Read(stored), context);
        if revision < self.head_revision {
            // An outdated answer: without a pause, the watch would return it immediately, in a busy loop.
            return RETRY_PAUSE;
        }
        self.head_revision = revision;
        // A head whose snapshot has not been read yet is not in force, so it does not confirm the published version.
        if self.published_version >= version {
            self.notify_subscribers(Some(sent));
        }
        Duration::ZERO
    }

    /// Passes an event to the replicator and carries out the resulting actions.
    fn handle_event(&mut self, event: Event, context: &mut Context<Self>) {
        for action in self.replicator.on(clock::now(), event) {
            self.perform(action, context);
        }
    }

    /// Carries out one action.
    fn perform(&mut self, action: Action, context: &mut Context<Self>) {
        let store = self.store.clone();
        match action {
            Action::Read => self.spawn_event(context, async move { head_event(store.read_head().await) }),
            Action::ReadSnapshot(version) => self.spawn_event(context, async move {
                Event::Snapshot(store.read_snapshot(version).await.map(Box::new))
            }),
            Action::StoreSnapshot(submission, state) => self.spawn_event(context, async move {
                let stored = store.store_snapshot(&state).await;
                log_event!(
                    info,
                    log_event::SNAPSHOT_STORED,
                    version = state.version.0,
                    stored
                );
                Event::SnapshotStored(submission, state.version, stored)
            }),
            Action::SwapHead(submission, expect, head) => self.spawn_event(context, async move {
                Event::Swapped(submission, store.swap_head(expect, &head).await)
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
                let call_client = self.call_client.clone();
                self.spawn_event(context, async move {
                    Event::Fetched(fetch_update(&call_client, peer, after).await)
                });
            }
            Action::Publish => self.publish(),
            Action::Answer(submission, result) => self.answer(submission, result),
            Action::Stale(version) => {
                log_event!(warn, log_event::CONFIG_STALE, version = version.0);
            }
            Action::Inconsistent(error) => log_event!(error, log_event::INVARIANT_BROKEN, %error),
        }
    }

    /// Runs `work` and passes the resulting event to the replicator.
    fn spawn_event<F>(&self, context: &mut Context<Self>, work: F)
    where
        F: Future<Output = Event> + 'static,
    {
        let work = work.into_actor(self);
        context.spawn(work.map(|event, actor, context| actor.handle_event(event, context)));
    }

    /// Publishes the configuration to the traffic threads, where it is then in force, and notifies the subscribers if
    /// the version is new.
    fn publish(&mut self) {
        let state = self.replicator.state();
        let version = state.version;
        let checked = invariant::check(
            version >= self.published_version,
            "the version in force never decreases",
        );
        if let Err(error) = checked {
            log_event!(error, log_event::INVARIANT_BROKEN, %error);
            return;
        }
        self.shared
            .crash_records()
            .on_quarantine(&state.config.quarantine);
        let mut snapshot = Snapshot::new(version, &state.config);
        snapshot.mark_leaving(&self.leaving);
        self.shared.snapshot.store(Arc::new(snapshot));
        if version > self.published_version {
            self.published_version = version;
            log_event!(info, log_event::CONFIG_IN_FORCE, version = version.0);
            self.notify_subscribers(None);
        }
    }

    /// Notifies the subscribers of the version in force, and of a contact with the key-value service.
    fn notify_subscribers(&self, kv_contact: Option<Time>) {
        let version = self.published_version;
        for subscriber in &self.subscribers {
            subscriber.do_send(InForce { version, kv_contact });
        }
    }

    /// Submits a proposal; the receiver gets the result.
    fn submit(&mut self, proposal: Proposal, context: &mut Context<Self>) -> oneshot::Receiver<SubmitResult> {
        self.submission_count += 1;
        let submission = SubmissionId(self.submission_count);
        let (sender, receiver) = oneshot::channel();
        self.pending.insert(submission, sender);
        self.handle_event(Event::Submitted(submission, Box::new(proposal)), context);
        receiver
    }

    fn answer(&mut self, submission: SubmissionId, result: SubmitResult) {
        if let Some(sender) = self.pending.remove(&submission) {
            // This fails if the operator has disconnected. An accepted change stays in force regardless.
            let _ = sender.send(result);
        }
    }
}

/// Converts the result of reading the head.
fn head_event(result: Result<StoredHead, KvError>) -> Event {
    match result {
        Ok(stored) => Event::Read(stored),
        Err(error) => {
            log_event!(warn, log_event::KV_FAILED, %error, call = "read config/head");
            Event::ReadFailed
        }
    }
}

/// Requests the changes after a version from a peer; `None` if it did not send them.
async fn fetch_update(call_client: &CallClient, peer: SocketAddr, after: Version) -> Option<Update> {
    let response = call_client
        .call(peer, &Request::Config(after), FETCH_TIMEOUT)
        .await;
    match response {
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

    fn handle(&mut self, Subscribe(subscriber): Subscribe, _: &mut Context<Self>) {
        self.subscribers.push(subscriber);
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
