//! Keeps each stream at the software version of the engines that began it.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::Either;
use futures_util::future::select;
use futures_util::stream::FuturesUnordered;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::streams;
use sequoiastream_core::relay::streams::SoftwareVersion;
use sequoiastream_core::relay::streams::StreamId;
use sequoiastream_core::relay::streams::StreamRecord;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;

use crate::log_event;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::reply::Refusal;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::shared::TrafficState;
use crate::util::clock;

/// Time limit for the answer of a peer that is asked for the version of a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time limit for asking the store, for a caller that stops waiting for an event after two seconds.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a record is kept beyond the deadline of the caller, whose last try may take as long to arrive.
const RECORD_MARGIN: Duration = Duration::from_secs(2);

/// The version of the engines that may deliver events of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamVersion {
    /// Any: no event has been delivered yet.
    Any,
    /// The one that began the stream.
    Only(SoftwareVersion),
    /// Events have been delivered, but it is not certain by which version.
    Unknown,
}

/// What determined the version of a stream that is taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VersionSource {
    /// A record of this instance.
    Record,
    /// A record of a peer.
    Peer,
    /// No other version has served for as long as a stream may last.
    OnlyVersion,
    /// A record in the store.
    Store,
    /// Nothing: the version is not known.
    None,
}

impl VersionSource {
    /// Label in metrics and the log.
    fn label(self) -> &'static str {
        match self {
            VersionSource::Record => "record",
            VersionSource::Peer => "peer",
            VersionSource::OnlyVersion => "only-version",
            VersionSource::Store => "store",
            VersionSource::None => "none",
        }
    }
}

impl ForwardedRequest {
    /// Determines the version of the stream that the caller takes up, if it takes up one.
    ///
    /// # Errors
    ///
    /// The final answer if the version can't be determined.
    pub(super) async fn find_version(&mut self) -> Result<(), Reply> {
        if self.route.kind != RouteKind::Resumable || !self.is_take_up() {
            return Ok(());
        }
        let (version, source) = self.determine_version().await;
        self.log_take_up(version, source);
        match version {
            Some(version) => self.version = StreamVersion::Only(version),
            None => {
                self.version = StreamVersion::Unknown;
                return Err(self.refuse());
            }
        }
        Ok(())
    }

    /// Whether the caller has received events of the stream before, even if it does not name the attempt that brought them.
    fn is_take_up(&self) -> bool {
        self.incoming.resumes.is_some() || self.incoming.last_event.is_some()
    }

    /// The version of a stream that is taken up, and what determined it.
    async fn determine_version(&mut self) -> (Option<SoftwareVersion>, VersionSource) {
        let stream = self.resumed_stream();
        if let Some(stream) = stream {
            if let Some(version) = self.recorded_version(stream) {
                return (Some(version), VersionSource::Record);
            }
            if let Some(record) = self.ask_homes(stream).await {
                self.keep_record(record);
                return (Some(record.version), VersionSource::Peer);
            }
        }
        let limit = STORE_TIMEOUT.min(self.incoming.time_left() / 3);
        let (version, source) = self.ask_store(stream, limit).await;
        // Another version may serve by the caller's next try.
        if let (Some(stream), Some(version), VersionSource::OnlyVersion) = (stream, version, source) {
            self.record_begun(stream, version);
        }
        (version, source)
    }

    /// The version that the store shows within `limit`: by a record of the stream, or because no other one has served. Asks for
    /// both at the same time, since an answer of the store may be lost.
    async fn ask_store(
        &self,
        stream: Option<StreamId>,
        limit: Duration,
    ) -> (Option<SoftwareVersion>, VersionSource) {
        let only = pin!(self.confirm_only_version(limit));
        let stored = pin!(self.read_stored_version(stream, limit));
        let (only, stored) = match select(only, stored).await {
            Either::Left((None, stored)) => (None, stored.await),
            Either::Right((None, only)) => (only.await, None),
            Either::Left((only, _)) => (only, None),
            Either::Right((stored, _)) => (None, stored),
        };
        match (only, stored) {
            (Some(version), _) => (Some(version), VersionSource::OnlyVersion),
            (None, Some(version)) => (Some(version), VersionSource::Store),
            (None, None) => (None, VersionSource::None),
        }
    }

    /// The version in the store's record of `stream`, read within `limit`.
    async fn read_stored_version(
        &self,
        stream: Option<StreamId>,
        limit: Duration,
    ) -> Option<SoftwareVersion> {
        let stream = stream?;
        self.shared.stream_store.read(stream, limit).await;
        self.recorded_version(stream)
    }

    /// The version of all streams of the service of which no record is found; `None` if it is not certain. The store must
    /// confirm within `limit` that no other version has begun to serve: one may have done so, and have begun the stream, at
    /// any moment before the caller took it up.
    async fn confirm_only_version(&self, limit: Duration) -> Option<SoftwareVersion> {
        self.only_version()?;
        if !self.shared.confirmations.request((), limit).await {
            return None;
        }
        self.only_version()
    }

    /// The only version that has served the service for as long as a stream may last, as far as is known here.
    fn only_version(&self) -> Option<SoftwareVersion> {
        let service = self.service.as_ref()?;
        self.shared.traffic().history.only_version(clock::now(), service)
    }

    /// The version in the record of this instance. The record is kept for the caller's next tries too.
    fn recorded_version(&self, stream: StreamId) -> Option<SoftwareVersion> {
        let record = self.shared.traffic().streams.record(clock::now(), stream)?;
        self.keep_record(record);
        Some(record.version)
    }

    /// Keeps a record as one of a stream that this instance continues.
    fn keep_record(&self, record: StreamRecord) {
        let Some(service) = &self.service else {
            return;
        };
        let mut traffic = self.shared.traffic();
        traffic.streams.on_record(clock::now(), record);
        traffic.streams.on_continued(service, record.stream);
        drop(traffic);
        self.store_records(service);
    }

    /// Has the records of own streams written to the store if the version of the service is not certain.
    fn store_records(&self, service: &str) {
        let only = self.shared.traffic().history.only_version(clock::now(), service);
        if only.is_none() {
            self.shared.stream_store.notify();
        }
    }

    /// Logs and counts how the version of a stream that is taken up was determined.
    fn log_take_up(&self, version: Option<SoftwareVersion>, source: VersionSource) {
        let now = clock::now();
        let source = source.label();
        self.shared.metrics.count_take_up(source);
        log_event!(
            info,
            log_event::TAKEN_UP,
            request = self.id(),
            resumes = self.resumes(),
            after = self.incoming.last_event,
            source,
            version = version.map(|v| v.to_string()),
            uptime = self.shared.uptime(now).as_millis() as u64,
            heard = self.shared.store_age(now).as_millis() as u64,
            waited = now.since(self.incoming.arrived).as_millis() as u64
        );
    }

    /// Records the version of a stream here, at the homes of the stream and, if need be, in the store.
    fn record_begun(&self, stream: StreamId, version: SoftwareVersion) {
        let Some(service) = &self.service else {
            return;
        };
        let now = clock::now();
        let record = StreamRecord::new(stream, version, self.record_time(now));
        self.shared.traffic().streams.on_begun(now, service, record);
        self.store_records(service);
    }

    /// How long a stream is recorded.
    fn record_time(&self, now: Time) -> Duration {
        self.incoming.deadline.since(now) + RECORD_MARGIN
    }

    /// The stream that the caller names.
    fn resumed_stream(&self) -> Option<StreamId> {
        let resumes = self.incoming.resumes.as_ref();
        resumes.map(|id| StreamId::of(id.as_bytes()))
    }

    /// Asks the peers that are told of a stream for its record.
    async fn ask_homes(&self, stream: StreamId) -> Option<StreamRecord> {
        let peers = self.shared.view.load().tunnel_peers.clone();
        let homes = streams::homes(peers.iter().map(|peer| peer.address), stream);
        let mut answers: FuturesUnordered<_> = homes.into_iter().map(|peer| self.ask(peer, stream)).collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn ask(&self, peer: SocketAddr, stream: StreamId) -> Option<StreamRecord> {
        match self.calls.call(peer, &Request::Stream(stream), ASK_TIMEOUT).await {
            Ok(Response::Stream(record)) => record,
            Ok(_) => None,
            Err(error) => {
                log_event!(debug, log_event::PEER_FAILED, to = %peer, %error, call = "stream");
                None
            }
        }
    }

    /// Binds a stream to the version of the engine that delivered its first event, and records it for the caller's next
    /// tries.
    pub(super) fn on_stream_begun(&mut self, engine: &Engine) {
        if self.route.kind != RouteKind::Resumable || self.version != StreamVersion::Any {
            return;
        }
        if self.is_reborn(engine) {
            self.version = StreamVersion::Unknown;
            return;
        }
        self.version = StreamVersion::Only(engine.version);
        self.record_begun(StreamId::of(self.incoming.id.as_bytes()), engine.version);
    }

    /// Whether an engine that continues a stream has started again under its id since it was chosen, perhaps with another
    /// version.
    pub(super) fn is_continued_by_reborn(&self, engine: &Engine) -> bool {
        matches!(self.version, StreamVersion::Only(_)) && self.is_reborn(engine)
    }

    /// Whether an engine has started again under its id since it was chosen: then its answer may come from either
    /// process.
    fn is_reborn(&self, engine: &Engine) -> bool {
        let view = self.shared.view.load();
        let now_there = view.keys().get(&engine.entry.id);
        now_there.is_some_and(|key| *key != engine.key)
    }

    /// Whether an engine may deliver events of this stream. An engine that is known to have ended may have started again
    /// with another version, of which the store says nothing yet.
    pub(super) fn may_deliver(&self, traffic: &TrafficState, now: Time, engine: &Engine) -> bool {
        if self.route.kind != RouteKind::Resumable || engine.entry.stage == Stage::Prefill {
            return true;
        }
        let incarnation = engine.incarnation();
        let may_be_reborn =
            incarnation.started.is_some() && traffic.suspects.has_ended(now, incarnation.hash());
        match self.version {
            StreamVersion::Any => !may_be_reborn,
            StreamVersion::Only(version) => engine.version == version && !may_be_reborn,
            StreamVersion::Unknown => false,
        }
    }

    /// Why no engine continues the stream, if that is because of its version.
    pub(super) fn version_refusal(&self) -> Option<Refusal> {
        let reason = match self.version {
            StreamVersion::Any => return None,
            StreamVersion::Only(version) => {
                let view = self.shared.view.load();
                let engines = self.service.as_ref().and_then(|s| view.engines().get(s));
                let delivers = |e: &Engine| e.version == version && e.entry.stage != Stage::Prefill;
                if engines.is_some_and(|engines| engines.iter().any(delivers)) {
                    return None;
                }
                "no engine has the version that began the stream"
            }
            StreamVersion::Unknown => "the version that began the stream is not known",
        };
        Some(Refusal {
            reason,
            expected: None,
        })
    }
}
