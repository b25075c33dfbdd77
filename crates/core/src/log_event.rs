//! Numbers of the events that the daemon logs. `docs/EVENTS.md` is their catalogue; a test keeps both equal.

use std::fmt;

macro_rules! log_events {
    ($($(#[$doc:meta])* $number:literal $name:ident = $slug:literal;)*) => {
        $($(#[$doc])* pub const $name: LogEvent = LogEvent { number: $number, slug: $slug };)*

        /// All events, by number.
        pub const ALL: &[LogEvent] = &[$($name),*];
    };
}

/// A numbered log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogEvent {
    /// The number, never used for anything else again.
    pub number: u16,
    /// A short name for people.
    pub slug: &'static str,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number, self.slug)
    }
}

// Ranges: 1xx life of the process, 2xx configuration, 3xx platform, 4xx traffic, 5xx authority and orders,
// 6xx claims, 7xx membership and peers, 8xx policy, 9xx invariants.
log_events! {
    /// The daemon listens.
    100 STARTED = "started";
    /// A termination signal arrived; the instance drains.
    101 STOPPING = "stopping";
    /// The instance has drained and exits.
    102 STOPPED = "stopped";
    /// The instance refuses new work and finishes what runs.
    103 REFUSING = "refusing";
    /// The settings were read anew.
    104 RELOADED = "reloaded";
    /// Changed settings can't be accepted; those in force stay.
    105 RELOAD_REFUSED = "reload-refused";
    /// The HTTP server ended by itself.
    106 SERVER_FAILED = "server-failed";
    /// A new version of the configuration is in force here.
    200 CONFIG_IN_FORCE = "config-in-force";
    /// A change was accepted through this instance.
    201 CHANGE_ACCEPTED = "change-accepted";
    /// A change was refused.
    202 CHANGE_REFUSED = "change-refused";
    /// A configuration older than the one in force was offered and ignored.
    203 CONFIG_STALE = "config-stale";
    /// A snapshot of the configuration was stored, or could not be.
    204 SNAPSHOT_STORED = "snapshot-stored";
    /// A configuration can't be read; the one in force stays.
    205 CONFIG_UNREADABLE = "config-unreadable";
    /// A call to the key-value service failed.
    300 KV_FAILED = "kv-failed";
    /// The key-value service answers again.
    301 KV_BACK = "kv-back";
    /// An answer of the key-value service was lost; the outcome was found by reading back.
    302 KV_RESOLVED = "kv-resolved";
    /// An entry of an engine or an instance can't be read; it names nobody.
    303 ENTRY_UNREADABLE = "entry-unreadable";
    /// The engines that are known, or that may get work, changed.
    304 ENGINES_CHANGED = "engines-changed";
    /// An attempt at an upstream failed.
    400 ATTEMPT_FAILED = "attempt-failed";
    /// A request was refused.
    401 REFUSED = "refused";
    /// An engine crashed while requests ran there; they are suspects now.
    402 ENGINE_CRASHED = "engine-crashed";
    /// A request crashed a second engine and is convicted.
    403 CONVICTED = "convicted";
    /// A conviction could not be written to the quarantine yet.
    404 CONVICTION_UNWRITTEN = "conviction-unwritten";
    /// A request was forwarded and answered.
    405 FORWARDED = "forwarded";
    /// A stream goes on at another engine.
    406 RESUMED = "resumed";
    /// An answer was broken off towards its caller.
    407 BROKEN_OFF = "broken-off";
    /// A request was turned away for its key: nobody holds it, or too little is known of keys.
    408 KEY_REFUSED = "key-refused";
    /// This instance holds the authority of a service now.
    500 AUTHORITY_TAKEN = "authority-taken";
    /// This instance no longer holds the authority of a service.
    501 AUTHORITY_LOST = "authority-lost";
    /// An order leaves for an engine.
    502 ORDER_SENT = "order-sent";
    /// An order is settled.
    503 ORDER_CLOSED = "order-closed";
    /// An engine gets no order until its last one is settled.
    504 ORDER_UNSETTLED = "order-unsettled";
    /// An engine gave no usable answer to an order.
    505 ORDER_UNANSWERED = "order-unanswered";
    /// The weight store refused what an engine is to load.
    506 WEIGHTS_REFUSED = "weights-refused";
    /// The record of an order was removed, its engine being gone.
    507 ORDER_FORGOTTEN = "order-forgotten";
    /// This instance acts for all towards the platform's API.
    508 LEAD_TAKEN = "lead-taken";
    /// It acts no more.
    509 LEAD_LOST = "lead-lost";
    /// The reports of these windows are decided; they are never made otherwise.
    510 USAGE_DECIDED = "usage-decided";
    /// The platform took a report.
    511 USAGE_SENT = "usage-sent";
    /// A number of engines was ordered.
    512 SCALE_ORDERED = "scale-ordered";
    /// A call to the platform's API failed.
    513 CLOUD_FAILED = "cloud-failed";
    /// Engines of a service may be bought, but none are ordered.
    514 SCALE_HELD = "scale-held";
    /// Claims can't be written: the key-value service fails.
    600 CLAIMS_OUT = "claims-out";
    /// Claims can be written again.
    601 CLAIMS_BACK = "claims-back";
    /// A claim was refused.
    602 CLAIM_REFUSED = "claim-refused";
    /// A claimed request was sent, and it is not known whether it ran.
    603 CLAIM_UNKNOWN = "claim-unknown";
    /// An owner of claims gave no sign of life; another was asked.
    604 OWNER_SILENT = "owner-silent";
    /// This instance's wall clock stepped; it refuses requests that may not be repeated.
    605 CLOCK_STEPPED = "clock-stepped";
    /// A bucket of claims can't be read.
    606 CLAIMS_UNREADABLE = "claims-unreadable";
    /// This instance stands differently towards the configuration in force.
    700 STANDING = "standing";
    /// A call to another instance failed.
    701 PEER_FAILED = "peer-failed";
    /// A message was refused: forged, replayed or unreadable.
    702 PEER_REFUSED = "peer-refused";
    /// The upstreams that the platform's list shows as leaving changed.
    703 UPSTREAM_LEAVING = "upstream-leaving";
    /// A peer told all that it knows of the store.
    704 PEER_TOLD = "peer-told";
    /// This instance begins or ends to watch the store for the others of its zone.
    705 WATCHER = "watcher";
    /// No peer confirmed in time what this instance knows of the store; it watches by itself.
    706 UNCONFIRMED = "unconfirmed";
    /// This instance may let requests with keys in, or may no longer: the proof of what it knows is too old.
    707 PROOF = "proof";
    /// The keys of instances that sent no heartbeat for a long time are removed.
    708 INSTANCES_FORGOTTEN = "instances-forgotten";
    /// The planner proposes a role change.
    800 ROLE_PROPOSED = "role-proposed";
    /// An invariant was broken; the action was dropped.
    900 INVARIANT_BROKEN = "invariant-broken";
}
