//! Which engine an attempt goes to, and what its end says of the request: carries out what
//! [`CrashRecords`](sequoiastream_core::poison::CrashRecords) decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::RngExt;
use sequoiastream_core::config::EngineState;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::poison::CrashReport;
use sequoiastream_core::poison::Evidence;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::HoldRequest;
use sequoiastream_core::poison::Suspicion;
use sequoiastream_core::route::RequestHandle;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_operator::wire::StatementBody;
use sequoiastream_peer::message::PoisonRequest;
use sequoiastream_peer::message::PoisonResponse;
use sequoiastream_peer::message::Request as PeerRequest;
use sequoiastream_peer::message::Response;
use sequoiastream_upstream::Probe;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::log_event;
use crate::ops::control::Execute;
use crate::ops::dispatch::Dispatch;
use crate::ops::dispatch::request::Request;
use crate::util::clock;

/// How long a peer may take to answer. One that takes longer is passed over: it is gone, paused or cut off.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a caller's answer waits for a conviction to be written; the write goes on after that.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the pause before a conviction is written again, in milliseconds.
const WRITE_RETRY_MS: std::ops::Range<u64> = 200..1_000;

/// Of the engines of a service, one in this many may be held for suspects at a time: the rest takes new work.
const HELD_DIVISOR: usize = 2;

/// How often an engine that breaks connections is asked again whether it runs.
const MAX_PROBES: u32 = 20;

/// Pause between these.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Who convicts, in the audit trail.
const AUDIT_USER: &str = "system";

/// An engine picked for an attempt.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Priority there; 0 is the most urgent.
    pub priority: u8,
    /// What the router knows the attempt by.
    handle: RequestHandle,
    /// The hold under which a suspect runs there alone.
    hold: Option<HoldRequest>,
}

/// What a pick came to.
#[derive(Debug)]
pub enum PickResult {
    /// This engine.
    Engine(Target),
    /// No engine can take the request.
    NoEngine,
    /// Engines are there, but the request has to wait: for a hold, or for what others of its crashes come to.
    Busy,
    /// The request is convicted and may not run.
    Quarantined,
}

impl Dispatch {
    /// Picks an engine that is none of `tried`; for a suspect one that no other suspect runs on.
    pub async fn pick(&self, request: &Request, tried: &[Name]) -> PickResult {
        let snapshot = self.shared.snapshot.load_full();
        if snapshot.quarantine.contains(&request.fingerprint.to_string()) {
            return PickResult::Quarantined;
        }
        let standing = self.shared.poison().suspicion(clock::now(), request.fingerprint);
        match standing {
            Suspicion::Unsuspected => self.route_unheld(&snapshot, request, tried),
            Suspicion::Suspect => self.hold_engine(&snapshot, request, tried).await,
            Suspicion::Pending => PickResult::Busy,
            Suspicion::Confirmed => PickResult::Quarantined,
        }
    }

    /// Picks an engine that no suspect holds.
    fn route_unheld(&self, snapshot: &Snapshot, request: &Request, tried: &[Name]) -> PickResult {
        let held = self.shared.poison().held_engines(clock::now());
        let except: Vec<Name> = tried.iter().chain(&held).cloned().collect();
        if let Some(target) = self.route(snapshot, request, &except) {
            return PickResult::Engine(target);
        }
        let waits = engines_of(snapshot, request).any(|e| held.contains(&e) && !tried.contains(&e));
        match waits {
            true => PickResult::Busy,
            false => PickResult::NoEngine,
        }
    }

    fn route(&self, snapshot: &Snapshot, request: &Request, except: &[Name]) -> Option<Target> {
        let now = clock::now();
        let mut router = self.shared.router();
        let mut except = except.to_vec();
        except.extend(self.shared.held(now));
        let choice = router.choose(now, snapshot, &request.route, &except)?;
        Some(Target {
            name: choice.name,
            address: choice.address,
            priority: choice.priority.max(request.priority),
            handle: choice.handle,
            hold: None,
        })
    }

    /// Tells the router that an attempt brought its first token.
    pub fn on_first_token(&self, target: &Target) {
        self.shared.router().started(&target.handle);
    }

    /// Tells the router that an attempt failed before its end: the engine gets no work for a moment.
    pub fn report_failure(&self, target: &Target) {
        self.shared.router().failed(clock::now(), &target.handle);
    }

    /// Takes a hold on some engine for a suspect.
    async fn hold_engine(&self, snapshot: &Snapshot, request: &Request, tried: &[Name]) -> PickResult {
        let untried = engines_of(snapshot, request).filter(|e| !tried.contains(e));
        if untried.count() == 0 {
            return PickResult::NoEngine;
        }
        let held = self.shared.poison().held_engines(clock::now());
        let all: Vec<Name> = engines_of(snapshot, request).collect();
        let taken = all.iter().filter(|engine| held.contains(engine)).count();
        if taken > 0 && (taken + 1) * HELD_DIVISOR > all.len() {
            return PickResult::Busy;
        }
        let engines = self.candidates(snapshot, request, tried);
        for engine in &engines {
            let left = request.deadline.since(clock::now());
            let ask = HoldRequest {
                fingerprint: request.fingerprint,
                engine: engine.clone(),
                from: self.shared.settings.name.clone(),
                millis: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            };
            if !self.acquire_hold(&ask).await {
                continue;
            }
            let others: Vec<Name> = engines_of(snapshot, request).filter(|e| e != engine).collect();
            match self.route(snapshot, request, &others) {
                Some(target) => {
                    return PickResult::Engine(Target {
                        hold: Some(ask),
                        ..target
                    });
                }
                None => self.release_hold(ask).await,
            }
        }
        PickResult::Busy
    }

    /// Serving engines that were not tried, those first on which least runs; among equals the place to begin
    /// depends on the request, so that suspects of one crash spread out.
    fn candidates(&self, snapshot: &Snapshot, request: &Request, tried: &[Name]) -> Vec<Name> {
        let mut engines: Vec<Name> = engines_of(snapshot, request)
            .filter(|name| !tried.contains(name))
            .collect();
        if !engines.is_empty() {
            let start = request.fingerprint.first_byte() as usize % engines.len();
            engines.rotate_left(start);
        }
        let poison = self.shared.poison();
        engines.retain(|engine| !poison.held_engines(clock::now()).contains(engine));
        engines.sort_by_key(|engine| poison.running_on(engine));
        engines
    }

    async fn acquire_hold(&self, ask: &HoldRequest) -> bool {
        if !self.shared.poison().reserve(clock::now(), ask) {
            return false;
        }
        let answers = self.broadcast(PoisonRequest::Ask(ask.clone())).await;
        let agreed = answers.iter().all(|a| a.agreed);
        if agreed && self.shared.poison().grant(ask) {
            let moving = self.shared.poison().attempts_to_move(&ask.engine);
            self.shared.stops.stop(&moving);
            self.broadcast(PoisonRequest::Vacate(ask.engine.clone())).await;
            return true;
        }
        self.release_hold(ask.clone()).await;
        false
    }

    async fn release_hold(&self, ask: HoldRequest) {
        self.shared.poison().release(&ask);
        self.broadcast(PoisonRequest::Release(ask)).await;
    }

    /// Records that an attempt is sent; returns what is notified if it must stop, `None` if it may not be sent.
    pub fn begin_attempt(&self, request: &Request, target: &Target, attempt: Uuid) -> Option<Arc<Notify>> {
        let now = clock::now();
        let begun = self
            .shared
            .poison()
            .begin(now, attempt, request.fingerprint, &target.name);
        begun.then(|| self.shared.stops.add(attempt))
    }

    /// Gives a target back that no attempt was sent to.
    pub async fn release_target(&self, target: Target) {
        self.shared.router().end(&target.handle);
        if let Some(ask) = target.hold {
            self.release_hold(ask).await;
        }
    }

    /// Records the end of an attempt.
    pub async fn end_attempt(&self, target: Target, attempt: Uuid) {
        self.shared.poison().end(attempt);
        self.shared.stops.remove(attempt);
        self.release_target(target).await;
    }

    /// A request ran to its end. If it was a suspect, it is innocent.
    pub async fn clear_suspect(&self, request: &Request, target: &Target) {
        if target.hold.is_some() {
            self.shared.poison().clear(request.fingerprint);
            self.broadcast(PoisonRequest::Clear(request.fingerprint)).await;
            self.quarantine_confirmed().await;
        }
    }

    /// Finds out whether the engine crashed under an attempt, and tells everybody before anything runs again.
    pub async fn check_for_crash(&self, request: &Request, target: &Target, attempt: Uuid) {
        let Some(evidence) = self.crash_evidence(target, attempt).await else {
            return;
        };
        let note = self.shared.poison().crash_report(attempt, evidence);
        let Some(note) = note else { return };
        self.shared.metrics.traffic.crashed.inc();
        log_event!(
            warn,
            log_event::ENGINE_CRASHED,
            engine = %target.name,
            request = %request.id,
            ?evidence
        );
        self.apply_report(&note);
        // Nothing is judged before the peers have said what they ran there: the crash may be one of theirs.
        let answers = self.broadcast(PoisonRequest::Note(note.clone())).await;
        let theirs = answers.into_iter().flat_map(|a| a.ran);
        self.apply_report(&CrashReport {
            ran: note.ran.iter().copied().chain(theirs).collect(),
            ..note
        });
        self.quarantine_confirmed().await;
    }

    fn apply_report(&self, note: &CrashReport) {
        let stop = self.shared.poison().on_crash_report(clock::now(), note);
        self.shared.stops.stop(&stop);
    }

    async fn quarantine_confirmed(&self) {
        let guilty = self.shared.poison().confirm_suspects(clock::now());
        for fingerprint in guilty {
            self.quarantine(fingerprint).await;
        }
    }

    /// What speaks for a crash, if anything does.
    async fn crash_evidence(&self, target: &Target, attempt: Uuid) -> Option<Evidence> {
        let snapshot = self.shared.snapshot.load_full();
        if !snapshot.engines.iter().any(|(_, e)| e.name == target.name) {
            // Operators withdrew it: a planned stop.
            return None;
        }
        let before = self.shared.poison().incarnation(attempt);
        let mut probe = self.engine_client.probe(target.address).await;
        for _ in 0..MAX_PROBES {
            if probe != Probe::Breaks {
                break;
            }
            // A process that dies still takes connections for a moment, and breaks them.
            tokio::time::sleep(PROBE_INTERVAL).await;
            probe = self.engine_client.probe(target.address).await;
        }
        match probe {
            Probe::Refuses => Some(Evidence::Crashed),
            Probe::Breaks | Probe::Silent => Some(Evidence::Silent),
            Probe::Runs(now) => match (before, now) {
                (Some(before), Some(now)) if before != now => Some(Evidence::Crashed),
                _ => None,
            },
        }
    }

    /// Makes a conviction known to all instances, and lasting, before its caller hears.
    async fn quarantine(&self, fingerprint: Fingerprint) {
        log_event!(warn, log_event::CONVICTED, %fingerprint);
        self.shared.metrics.traffic.convictions.inc();
        let stop = self.shared.poison().confirm(clock::now(), fingerprint);
        self.shared.stops.stop(&stop);
        let dispatch = self.clone();
        let write = actix::spawn(async move { dispatch.write_quarantine(fingerprint).await });
        let written = tokio::time::timeout(WRITE_TIMEOUT, write);
        // Whether written or not in time: the push to the peers suffices until then.
        let _ =
            futures_util::future::join(written, self.broadcast(PoisonRequest::Convict(fingerprint))).await;
    }

    /// Writes a conviction to the quarantine, for as long as it takes.
    async fn write_quarantine(&self, fingerprint: Fingerprint) {
        let statement = StatementBody {
            id: Uuid::new_v4(),
            who: AUDIT_USER.to_string(),
            text: format!("quarantine fingerprint {fingerprint}"),
            dry: false,
            wait: false,
            base: None,
        };
        loop {
            match self.control.config.send(Execute(statement.clone(), None)).await {
                Ok(Ok(_)) => return,
                Ok(Err(error)) => log_event!(warn, log_event::CONVICTION_UNWRITTEN, %fingerprint, %error),
                Err(error) => log_event!(warn, log_event::CONVICTION_UNWRITTEN, %fingerprint, %error),
            }
            let pause = rand::rng().random_range(WRITE_RETRY_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Tells all peers at once; returns the answers of those that gave one in time.
    async fn broadcast(&self, request: PoisonRequest) -> Vec<PoisonResponse> {
        let roster = self.shared.roster();
        let request = PeerRequest::Poison(request);
        let calls = roster
            .peers
            .iter()
            .map(|peer| self.peer_client.call(peer.peer_address, &request, PEER_TIMEOUT));
        let answers = join_all(calls).await.into_iter();
        answers
            .filter_map(|answer| match answer {
                Ok(Response::Poison(response)) => Some(response),
                Ok(_) | Err(_) => None,
            })
            .collect()
    }
}

fn engines_of(snapshot: &Snapshot, request: &Request) -> impl Iterator<Item = Name> {
    let keys = snapshot
        .services
        .get(request.service)
        .map(|s| s.engines.as_slice());
    let engines = keys
        .unwrap_or_default()
        .iter()
        .filter_map(|key| snapshot.engines.get(*key));
    engines
        .filter(|e| e.state == EngineState::Serving)
        .map(|e| e.name.clone())
}
