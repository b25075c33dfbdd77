//! Picks the engine of an attempt and reports crashes: the driver of
//! [`CrashRecords`](sequoiastream_core::poison::CrashRecords).

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

/// Maximum time that a peer may take to answer. One that takes longer is ignored: it has ended, is paused or cut off.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for which a caller's answer waits until a poison request is written to the quarantine. The write
/// continues after that.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Range of the random delay before a failed write to the quarantine is retried, in milliseconds.
const WRITE_RETRY_MS: std::ops::Range<u64> = 200..1_000;

/// If the engines of a service that are held for suspects would exceed one in this many, a further hold is delayed: the
/// others must take new work. A first hold is always allowed.
const HELD_DIVISOR: usize = 2;

/// Maximum number of further probes of an engine that breaks connections.
const MAX_PROBES: u32 = 20;

/// Delay before each of these probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// User shown in the audit trail for quarantine entries made by the daemon.
const AUDIT_USER: &str = "system";

/// An engine picked for an attempt.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the engine.
    pub name: Name,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Identifies the request to the router.
    handle: RequestHandle,
    /// The hold with which a suspect runs there alone; `None` if the request is no suspect.
    hold: Option<HoldRequest>,
}

/// The result of picking an engine.
#[derive(Debug)]
pub enum PickResult {
    /// The attempt may be sent to this engine.
    Engine(Target),
    /// No engine can take the request.
    NoEngine,
    /// There are engines, but the request must wait: for an engine that is held, for a hold of its own, or until the
    /// other requests of its crashes are confirmed as poison or cleared.
    Busy,
    /// The request is quarantined as poison and may not run.
    Quarantined,
}

impl Dispatch {
    /// Picks an engine that is none of `tried`; for a suspect, acquires a hold on it, so that the suspect runs there
    /// alone.
    pub async fn pick(&self, request: &Request, tried: &[Name]) -> PickResult {
        let snapshot = self.shared.snapshot.load_full();
        if snapshot.quarantine.contains(&request.fingerprint.to_string()) {
            return PickResult::Quarantined;
        }
        let suspicion = self
            .shared
            .crash_records()
            .suspicion(clock::now(), request.fingerprint);
        match suspicion {
            Suspicion::Unsuspected => self.route_unheld(&snapshot, request, tried),
            Suspicion::Suspect => self.hold_engine(&snapshot, request, tried).await,
            Suspicion::Pending => PickResult::Busy,
            Suspicion::Confirmed => PickResult::Quarantined,
        }
    }

    /// Picks an engine that is not held for a suspect.
    fn route_unheld(&self, snapshot: &Snapshot, request: &Request, tried: &[Name]) -> PickResult {
        let held = self.shared.crash_records().held_engines(clock::now());
        let except: Vec<Name> = tried.iter().chain(&held).cloned().collect();
        if let Some(target) = self.route(snapshot, request, &except) {
            return PickResult::Engine(target);
        }
        let must_wait = engines_of(snapshot, request).any(|e| held.contains(&e) && !tried.contains(&e));
        if must_wait {
            return PickResult::Busy;
        }
        self.log_no_engine(snapshot, request, tried);
        PickResult::NoEngine
    }

    /// Logs why no engine of the service accepts the request.
    fn log_no_engine(&self, snapshot: &Snapshot, request: &Request, tried: &[Name]) {
        let now = clock::now();
        let (hold, away) = {
            let router = self.shared.router();
            let is_away = |name: &Name| router.engine_load(name).is_some_and(|l| !l.is_present(now));
            let away: Vec<Name> = engines_of(snapshot, request).filter(is_away).collect();
            (self.shared.held_engines(now), away)
        };
        log_event!(info, log_event::NO_ENGINE, request = %request.id, ?tried, ?hold, ?away);
    }

    fn route(&self, snapshot: &Snapshot, request: &Request, except: &[Name]) -> Option<Target> {
        let now = clock::now();
        let mut router = self.shared.router();
        let mut except = except.to_vec();
        except.extend(self.shared.held_engines(now));
        let choice = router.choose(now, snapshot, &request.route, &except)?;
        Some(Target {
            name: choice.name,
            address: choice.address,
            priority: choice.priority.max(request.priority),
            handle: choice.handle,
            hold: None,
        })
    }

    /// Reports to the router that an attempt delivered its first token.
    pub fn on_first_token(&self, target: &Target) {
        self.shared.router().started(&target.handle);
    }

    /// Reports to the router that an attempt failed, so that the engine gets no work for a short time.
    pub fn report_failure(&self, target: &Target) {
        self.shared.router().failed(clock::now(), &target.handle);
    }

    /// Picks an engine for a suspect and acquires a hold on it.
    async fn hold_engine(&self, snapshot: &Snapshot, request: &Request, tried: &[Name]) -> PickResult {
        let untried = engines_of(snapshot, request).filter(|e| !tried.contains(e));
        if untried.count() == 0 {
            return PickResult::NoEngine;
        }
        let held = self.shared.crash_records().held_engines(clock::now());
        let all: Vec<Name> = engines_of(snapshot, request).collect();
        let held_count = all.iter().filter(|engine| held.contains(engine)).count();
        if held_count > 0 && (held_count + 1) * HELD_DIVISOR > all.len() {
            return PickResult::Busy;
        }
        let engines = self.candidates(snapshot, request, tried);
        for engine in &engines {
            let left = request.deadline.since(clock::now());
            let hold = HoldRequest {
                fingerprint: request.fingerprint,
                engine: engine.clone(),
                from: self.shared.settings.name.clone(),
                millis: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            };
            if !self.acquire_hold(&hold).await {
                continue;
            }
            let others: Vec<Name> = engines_of(snapshot, request).filter(|e| e != engine).collect();
            match self.route(snapshot, request, &others) {
                Some(target) => {
                    return PickResult::Engine(Target {
                        hold: Some(hold),
                        ..target
                    });
                }
                None => self.release_hold(hold).await,
            }
        }
        PickResult::Busy
    }

    /// Serving engines that were not tried and are not held, ordered by the number of attempts of this instance that
    /// run there. The order among equals depends on the request, so that the suspects of one crash spread over the
    /// engines.
    fn candidates(&self, snapshot: &Snapshot, request: &Request, tried: &[Name]) -> Vec<Name> {
        let mut engines: Vec<Name> = engines_of(snapshot, request)
            .filter(|name| !tried.contains(name))
            .collect();
        if !engines.is_empty() {
            let start = request.fingerprint.first_byte() as usize % engines.len();
            engines.rotate_left(start);
        }
        let poison = self.shared.crash_records();
        engines.retain(|engine| !poison.held_engines(clock::now()).contains(engine));
        engines.sort_by_key(|engine| poison.running_on(engine));
        engines
    }

    async fn acquire_hold(&self, hold: &HoldRequest) -> bool {
        if !self.shared.crash_records().reserve(clock::now(), hold) {
            return false;
        }
        let answers = self.broadcast(PoisonRequest::Ask(hold.clone())).await;
        let agreed = answers.iter().all(|a| a.agreed);
        if agreed && self.shared.crash_records().grant(hold) {
            let moving = self.shared.crash_records().attempts_to_move(&hold.engine);
            self.shared.stop_signals.stop(&moving);
            self.broadcast(PoisonRequest::Vacate(hold.engine.clone())).await;
            return true;
        }
        self.release_hold(hold.clone()).await;
        false
    }

    async fn release_hold(&self, hold: HoldRequest) {
        self.shared.crash_records().release(&hold);
        self.broadcast(PoisonRequest::Release(hold)).await;
    }

    /// Records that an attempt is sent. Returns the `Notify` that tells it to stop, or `None` if it may not be sent.
    pub fn begin_attempt(&self, request: &Request, target: &Target, attempt: Uuid) -> Option<Arc<Notify>> {
        let now = clock::now();
        let allowed = self
            .shared
            .crash_records()
            .begin(now, attempt, request.fingerprint, &target.name);
        allowed.then(|| self.shared.stop_signals.add(attempt))
    }

    /// Releases a target: its request at the router and its hold, if any.
    pub async fn release_target(&self, target: Target) {
        self.shared.router().end(&target.handle);
        if let Some(hold) = target.hold {
            self.release_hold(hold).await;
        }
    }

    /// Records the end of an attempt and releases its target.
    pub async fn end_attempt(&self, target: Target, attempt: Uuid) {
        self.shared.crash_records().end(attempt);
        self.shared.stop_signals.remove(attempt);
        self.release_target(target).await;
    }

    /// Clears a request that ran to completion, if it was a suspect with a hold.
    pub async fn clear_suspect(&self, request: &Request, target: &Target) {
        if target.hold.is_some() {
            self.shared.crash_records().clear(request.fingerprint);
            self.broadcast(PoisonRequest::Clear(request.fingerprint)).await;
            self.quarantine_confirmed().await;
        }
    }

    /// Determines whether the engine crashed during an attempt, and reports a crash to all peers before any request
    /// that ran there runs again.
    pub async fn check_for_crash(&self, request: &Request, target: &Target, attempt: Uuid) {
        let Some(evidence) = self.crash_evidence(target, attempt).await else {
            return;
        };
        let report = self.shared.crash_records().crash_report(attempt, evidence);
        let Some(report) = report else { return };
        self.shared.metrics.traffic.crashed_streams.inc();
        log_event!(
            warn,
            log_event::ENGINE_CRASHED,
            engine = %target.name,
            request = %request.id,
            ?evidence
        );
        self.apply_report(&report);
        // Suspects are confirmed only after the peers have reported what they ran there: one of their requests may have
        // caused the crash.
        let answers = self.broadcast(PoisonRequest::Note(report.clone())).await;
        let peer_requests = answers.into_iter().flat_map(|a| a.ran);
        self.apply_report(&CrashReport {
            ran: report.ran.iter().copied().chain(peer_requests).collect(),
            ..report
        });
        self.quarantine_confirmed().await;
    }

    fn apply_report(&self, report: &CrashReport) {
        let stop = self.shared.crash_records().on_crash_report(clock::now(), report);
        self.shared.stop_signals.stop(&stop);
    }

    async fn quarantine_confirmed(&self) {
        let confirmed = self.shared.crash_records().confirm_suspects(clock::now());
        for fingerprint in confirmed {
            self.quarantine(fingerprint).await;
        }
    }

    /// Probes the engine after a failed attempt. Returns the evidence of a crash, if there is any.
    async fn crash_evidence(&self, target: &Target, attempt: Uuid) -> Option<Evidence> {
        let snapshot = self.shared.snapshot.load_full();
        if !snapshot.engines.iter().any(|(_, e)| e.name == target.name) {
            // Operators withdrew the engine, so it was stopped on purpose.
            return None;
        }
        let before = self.shared.crash_records().incarnation(attempt);
        let mut probe = self.engine_client.probe(target.address).await;
        for _ in 0..MAX_PROBES {
            if probe != Probe::Broken {
                break;
            }
            // A process that is ending still accepts connections for a short time, and breaks them.
            tokio::time::sleep(PROBE_INTERVAL).await;
            probe = self.engine_client.probe(target.address).await;
        }
        match probe {
            Probe::Refused => Some(Evidence::Crashed),
            Probe::Broken | Probe::Timeout => Some(Evidence::Silent),
            Probe::Running(now) => match (before, now) {
                (Some(before), Some(now)) if before != now => Some(Evidence::Crashed),
                _ => None,
            },
        }
    }

    /// Quarantines a confirmed poison request: tells all instances and writes it to the configuration before its caller
    /// is refused.
    async fn quarantine(&self, fingerprint: Fingerprint) {
        log_event!(warn, log_event::CONVICTED, %fingerprint);
        self.shared.metrics.traffic.convictions.inc();
        let stop = self.shared.crash_records().confirm(clock::now(), fingerprint);
        self.shared.stop_signals.stop(&stop);
        let dispatch = self.clone();
        let write = actix::spawn(async move { dispatch.write_quarantine(fingerprint).await });
        let written = tokio::time::timeout(WRITE_TIMEOUT, write);
        // The write may take longer than the timeout: until it is done, the broadcast to the peers suffices.
        let _ =
            futures_util::future::join(written, self.broadcast(PoisonRequest::Convict(fingerprint))).await;
    }

    /// Writes a request to the quarantine; retries until the write succeeds.
    async fn write_quarantine(&self, fingerprint: Fingerprint) {
        let statement = StatementBody {
            id: Uuid::new_v4(),
            who: AUDIT_USER.to_string(),
            text: format!("quarantine fingerprint {fingerprint}"),
            dry_run: false,
            wait: false,
            base: None,
        };
        loop {
            match self.control.config.send(Execute(statement.clone(), None)).await {
                Ok(Ok(_)) => return,
                Ok(Err(error)) => log_event!(warn, log_event::CONVICTION_UNWRITTEN, %fingerprint, %error),
                Err(error) => log_event!(warn, log_event::CONVICTION_UNWRITTEN, %fingerprint, %error),
            }
            let delay = rand::rng().random_range(WRITE_RETRY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    /// Sends a request to all peers in parallel. Returns the answers that arrive within [`PEER_TIMEOUT`].
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
