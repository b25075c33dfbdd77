//! Numbered events in the daemon's log. `docs/EVENTS.md` lists them; a test checks that both lists are equal.

use std::fmt;

macro_rules! log_events {
    ($($(#[$doc:meta])* $number:literal $name:ident = $slug:literal;)*) => {
        $($(#[$doc])* pub const $name: LogEvent = LogEvent { number: $number, slug: $slug };)*

        /// All events, ordered by number.
        pub const ALL: &[LogEvent] = &[$($name),*];
    };
}

/// A numbered log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogEvent {
    /// The unique number; the number of a removed event is never reused.
    pub number: u16,
    /// A short readable name.
    pub slug: &'static str,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number, self.slug)
    }
}

// Ranges: 1xx process lifecycle, 2xx configuration, 3xx platform, 4xx traffic, 5xx authority and orders,
// 6xx claims, 7xx membership and peers, 8xx policy, 9xx invariants.
log_events! {
    /// The daemon is listening.
    100 STARTED = "started";
    /// A termination signal arrived; the instance is draining.
    101 STOPPING = "stopping";
    /// The instance has drained and is exiting.
    102 STOPPED = "stopped";
    /// The instance refuses new requests and finishes the running ones.
    103 REFUSING = "refusing";
    /// The settings were reloaded.
    104 RELOADED = "reloaded";
    /// Changed settings were rejected; the current ones stay in force.
    105 RELOAD_REFUSED = "reload-refused";
    /// The HTTP server stopped unexpectedly.
    106 SERVER_FAILED = "server-failed";
    /// A shutdown ended before all answers were written to their callers.
    107 ANSWERS_UNWRITTEN = "answers-unwritten";
    /// A new version of the configuration is in force on this instance.
    200 CONFIG_IN_FORCE = "config-in-force";
    /// A configuration change was accepted through this instance.
    201 CHANGE_ACCEPTED = "change-accepted";
    /// A configuration change was rejected.
    202 CHANGE_REFUSED = "change-refused";
    /// A configuration older than the one in force was received and ignored.
    203 CONFIG_STALE = "config-stale";
    /// A snapshot of the configuration was stored, or could not be stored.
    204 SNAPSHOT_STORED = "snapshot-stored";
    /// A configuration can't be decoded; the current one stays in force.
    205 CONFIG_UNREADABLE = "config-unreadable";
    /// A call to the key-value service failed.
    300 KV_FAILED = "kv-failed";
    /// The key-value service responds again.
    301 KV_BACK = "kv-back";
    /// A response of the key-value service was lost; the outcome was determined by reading the key back.
    302 KV_RESOLVED = "kv-resolved";
    /// An entry in the store can't be decoded; what was known under its key still holds.
    303 ENTRY_UNREADABLE = "entry-unreadable";
    /// The set of known engines, or of engines that may receive requests, changed.
    304 ENGINES_CHANGED = "engines-changed";
    /// An engine reported in an answer that it is leaving.
    305 ENGINE_LEAVING = "engine-leaving";
    /// An engine answered with status 503 and asked for no further requests for a limited time.
    306 ENGINE_PAUSED = "engine-paused";
    /// A header in which an engine reports its state is invalid; it is ignored.
    307 NOTICE_UNREADABLE = "notice-unreadable";
    /// An engine reported a limit on the requests per second that it accepts from all instances together, or changed it.
    308 ENGINE_LIMITED = "engine-limited";
    /// An engine answered without reporting the limit that it had reported before.
    309 ENGINE_LIMIT_ENDED = "engine-limit-ended";
    /// This instance reaches at least half of the engines only through peers.
    310 ENGINES_LOST = "engines-lost";
    /// This instance reaches more than three quarters of the engines directly again.
    311 ENGINES_REGAINED = "engines-regained";
    /// An engine gets no more work, or is kept although its entry has disappeared.
    312 ENGINE_DEPARTED = "engine-departed";
    /// The store, or a peer, showed contents as of an earlier revision than is known; they are not applied.
    313 CONTENTS_OLDER = "contents-older";
    /// The store was restored from an older copy of its contents.
    314 STORE_RESTORED = "store-restored";
    /// An attempt at an upstream failed.
    400 ATTEMPT_FAILED = "attempt-failed";
    /// A request was refused.
    401 REFUSED = "refused";
    /// An engine crashed while requests were running on it; these are now suspects.
    402 ENGINE_CRASHED = "engine-crashed";
    /// A request crashed a second engine and is convicted.
    403 CONVICTED = "convicted";
    /// A conviction could not be written to the quarantine yet.
    404 CONVICTION_UNWRITTEN = "conviction-unwritten";
    /// A request was forwarded and answered.
    405 FORWARDED = "forwarded";
    /// A stream was resumed on another engine.
    406 RESUMED = "resumed";
    /// An answer to a caller was aborted before it was complete.
    407 BROKEN_OFF = "broken-off";
    /// A request was refused because of its API key: no product has the key, or the keys known here are too old.
    408 KEY_REFUSED = "key-refused";
    /// A request was dropped before its final answer: its caller disconnected, or this instance stopped.
    409 ABANDONED = "abandoned";
    /// No engine of the service accepts a request.
    410 NO_ENGINE = "no-engine";
    /// A long stream was sent to an engine at which a longer pause is expected than its route allows.
    411 PACE_MISSED = "pace-missed";
    /// A request was sent to a second engine as well because the first one takes unusually long.
    414 HEDGED = "hedged";
    /// A workspace is over its share of a service whose capacity is short, and is refused.
    417 WORKSPACE_OVER_SHARE = "workspace-over-share";
    /// A request was refused because the rest of the capacity is for more urgent ones.
    420 OUTRANKED = "outranked";
    /// A caller took a stream up, and the version that began it was determined or not.
    421 TAKEN_UP = "taken-up";
    /// An engine's own error was passed on to the caller.
    422 ERROR_PASSED_ON = "error-passed-on";
    /// A caller's connection was given up because memory or descriptors ran short.
    423 CALLER_EVICTED = "caller-evicted";
    /// This instance acquired the authority over a service.
    500 AUTHORITY_TAKEN = "authority-taken";
    /// This instance no longer holds the authority over a service.
    501 AUTHORITY_LOST = "authority-lost";
    /// An order is sent to an engine.
    502 ORDER_SENT = "order-sent";
    /// An order is settled.
    503 ORDER_CLOSED = "order-closed";
    /// An engine receives no further order until its last one is settled.
    504 ORDER_UNSETTLED = "order-unsettled";
    /// An engine gave no usable response to an order.
    505 ORDER_UNANSWERED = "order-unanswered";
    /// The weight store refused the weights that an engine is to load.
    506 WEIGHTS_REFUSED = "weights-refused";
    /// The record of an order was removed because its engine no longer exists.
    507 ORDER_FORGOTTEN = "order-forgotten";
    /// This instance became the leader, which calls the platform's API on behalf of all instances.
    508 LEAD_TAKEN = "lead-taken";
    /// This instance is no longer the leader.
    509 LEAD_LOST = "lead-lost";
    /// The usage reports of these windows are final and will not change.
    510 USAGE_DECIDED = "usage-decided";
    /// The platform accepted a usage report.
    511 USAGE_SENT = "usage-sent";
    /// A number of engines was requested from the platform.
    512 SCALE_ORDERED = "scale-ordered";
    /// A call to the platform's API failed.
    513 CLOUD_FAILED = "cloud-failed";
    /// Engines of a service may be purchased, but none are requested.
    514 SCALE_HELD = "scale-held";
    /// The load of many instances is unknown, so that the number of ordered engines is not lowered; or it is known again.
    515 SCALE_REPORTS = "scale-reports";
    /// A plain engine takes at least twice as long as usual for its service, or no longer does.
    516 ENGINE_SLOW = "engine-slow";
    /// A lease of the leader was granted and can't be used: the store was restored since, or its revision is no token.
    518 LEASE_UNUSABLE = "lease-unusable";
    /// The leader sends a call to the platform's API.
    519 CLOUD_SENT = "cloud-sent";
    /// The leader reset the connection of a call to the platform's API that had no complete answer.
    520 CLOUD_ABANDONED = "cloud-abandoned";
    /// Claims can't be written because the key-value service is failing.
    600 CLAIMS_OUT = "claims-out";
    /// Claims can be written again.
    601 CLAIMS_BACK = "claims-back";
    /// A claim was refused.
    602 CLAIM_REFUSED = "claim-refused";
    /// A claimed request was sent, and it is unknown whether it ran.
    603 CLAIM_UNKNOWN = "claim-unknown";
    /// An owner of claims did not respond; another one was asked.
    604 OWNER_SILENT = "owner-silent";
    /// This instance's wall clock stepped; the instance refuses requests that must not be repeated.
    605 CLOCK_STEPPED = "clock-stepped";
    /// A bucket of claims can't be decoded.
    606 CLAIMS_UNREADABLE = "claims-unreadable";
    /// This instance's standing relative to the configuration in force changed.
    700 STANDING = "standing";
    /// A call to another instance failed.
    701 PEER_FAILED = "peer-failed";
    /// A message was rejected: forged, replayed or unreadable.
    702 PEER_REFUSED = "peer-refused";
    /// The set of upstreams that the platform lists as leaving changed.
    703 UPSTREAM_LEAVING = "upstream-leaving";
    /// A peer sent everything that it knows of the store.
    704 PEER_TOLD = "peer-told";
    /// This instance starts or stops watching the store on behalf of the other instances of its zone.
    705 WATCHER = "watcher";
    /// No peer confirmed in time this instance's knowledge of the store; it watches the store itself.
    706 UNCONFIRMED = "unconfirmed";
    /// This instance may admit requests with API keys, or no longer may because the proof that its data is current
    /// has expired.
    707 PROOF = "proof";
    /// The keys of instances that sent no heartbeat for a long time are removed.
    708 INSTANCES_FORGOTTEN = "instances-forgotten";
    /// The store last confirmed this instance's data longer ago than a change may take to apply, or has confirmed it again.
    709 OUTDATED = "outdated";
    /// The control thread did not run for a time.
    710 CONTROL_DELAYED = "control-delayed";
    /// The planner proposes a role change.
    800 ROLE_PROPOSED = "role-proposed";
    /// An invariant was violated; the action was dropped.
    900 INVARIANT_BROKEN = "invariant-broken";
}
