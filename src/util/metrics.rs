//! Metrics of the daemon. `docs/METRICS.md` lists them; a test keeps both equal.
//!
//! One struct a concern, each registering its own families, so that whoever adds a concern touches one place.

use std::fmt;
use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;
use sequoiastream_core::authority::Answer;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Outcome;

/// Prefix of every name.
const PREFIX: &str = "sequoiastream";

/// All metrics of a daemon.
pub struct Metrics {
    /// Of traffic.
    pub traffic: TrafficMetrics,
    /// Of the authority over engines.
    pub authority: AuthorityMetrics,
    /// Of claims.
    pub claims: ClaimMetrics,
    /// Of membership.
    pub membership: MembershipMetrics,
    registry: Mutex<Registry>,
}

/// How requests ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The product.
    pub product: String,
    /// `whole`, `not-run`, `failed` or `unknown`.
    pub outcome: String,
}

/// Metrics of traffic.
#[derive(Debug, Clone)]
pub struct TrafficMetrics {
    /// Final answers by product and outcome.
    pub outcomes: Family<OutcomeLabels, Counter>,
    /// Answers whose caller went away, by product.
    pub abandoned: Family<ProductLabels, Counter>,
    /// Pieces of answers that were late, doubled, crossed or of a closed attempt.
    pub dropped: Counter,
    /// Answers resumed on another engine, or for a caller that came back.
    pub resumes: Counter,
    /// Attempts that an engine was asked to stop.
    pub cancels: Counter,
    /// Requests convicted here of crashing engines.
    pub convictions: Counter,
    first: Family<ProductLabels, Histogram, fn() -> Histogram>,
    between: Family<ProductLabels, Histogram, fn() -> Histogram>,
    queue: Family<ProductLabels, Histogram, fn() -> Histogram>,
}

/// A product.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProductLabels {
    /// The product.
    pub product: String,
}

impl ProductLabels {
    fn of(product: &Name) -> ProductLabels {
        ProductLabels {
            product: product.to_string(),
        }
    }
}

/// Buckets of 5 ms to 40 s, each twice the one before; 48 ms and 0.56 s, the users' goals, lie inside.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 14))
}

impl Default for TrafficMetrics {
    fn default() -> Self {
        TrafficMetrics {
            outcomes: Family::default(),
            abandoned: Family::default(),
            dropped: Counter::default(),
            resumes: Counter::default(),
            cancels: Counter::default(),
            convictions: Counter::default(),
            first: Family::new_with_constructor(seconds),
            between: Family::new_with_constructor(seconds),
            queue: Family::new_with_constructor(seconds),
        }
    }
}

impl TrafficMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "outcomes",
            "Final answers by product and outcome",
            self.outcomes.clone(),
        );
        registry.register(
            "abandoned",
            "Answers whose caller went away, by product",
            self.abandoned.clone(),
        );
        registry.register(
            "dropped_pieces",
            "Pieces of answers that were late, doubled, crossed or of a closed attempt",
            self.dropped.clone(),
        );
        registry.register(
            "resumes",
            "Answers resumed behind their first token",
            self.resumes.clone(),
        );
        registry.register(
            "cancels",
            "Attempts that an engine was asked to stop",
            self.cancels.clone(),
        );
        registry.register(
            "convictions",
            "Requests convicted here of crashing engines",
            self.convictions.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from a request's arrival to the first token, by product",
            Unit::Seconds,
            self.first.clone(),
        );
        registry.register_with_unit(
            "between_tokens",
            "Time between two tokens of an answer, by product",
            Unit::Seconds,
            self.between.clone(),
        );
        registry.register_with_unit(
            "queue",
            "Time from a request's arrival until an engine took it, by product",
            Unit::Seconds,
            self.queue.clone(),
        );
    }

    /// Counts a final answer.
    pub fn outcome(&self, product: &Name, outcome: Outcome) {
        let labels = OutcomeLabels {
            product: product.to_string(),
            outcome: outcome.to_string(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Counts an answer whose caller went away.
    pub fn gone(&self, product: &Name) {
        self.abandoned.get_or_create(&ProductLabels::of(product)).inc();
    }

    /// Observes the time to a first token.
    pub fn first_token(&self, product: &Name, time: Duration) {
        let histogram = self.first.get_or_create(&ProductLabels::of(product));
        histogram.observe(time.as_secs_f64());
    }

    /// Observes the time between two tokens.
    pub fn between_tokens(&self, product: &Name, time: Duration) {
        let histogram = self.between.get_or_create(&ProductLabels::of(product));
        histogram.observe(time.as_secs_f64());
    }

    /// Observes the time until an engine took a request.
    pub fn queued(&self, product: &Name, time: Duration) {
        let histogram = self.queue.get_or_create(&ProductLabels::of(product));
        histogram.observe(time.as_secs_f64());
    }
}

/// How a claim was answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct VerdictLabels {
    /// `granted`, `seen`, `mismatch`, `never`, `out`, `clock`, `full` or `stopping`.
    pub verdict: &'static str,
}

/// Metrics of claims, as owner.
#[derive(Debug, Clone, Default)]
pub struct ClaimMetrics {
    /// Answers to entries.
    pub verdicts: Family<VerdictLabels, Counter>,
    /// Writes of buckets begun.
    pub writes: Counter,
    /// Reads of buckets begun.
    pub reads: Counter,
    /// Writes that another owner's write came before.
    pub conflicts: Counter,
}

impl ClaimMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "claim_verdicts",
            "Answers to entries that asked for a claim or its state",
            self.verdicts.clone(),
        );
        registry.register("claim_writes", "Writes of claim buckets", self.writes.clone());
        registry.register("claim_reads", "Reads of claim buckets", self.reads.clone());
        registry.register(
            "claim_conflicts",
            "Writes of claim buckets that lost against another owner",
            self.conflicts.clone(),
        );
    }

    /// Counts an answer.
    pub fn count(&self, verdict: &Verdict) {
        let verdict = match verdict {
            Verdict::Granted => "granted",
            Verdict::Seen(_) => "seen",
            Verdict::Mismatch => "mismatch",
            Verdict::Never => "never",
            Verdict::Out(_) => "out",
            Verdict::Clock => "clock",
            Verdict::Full => "full",
            Verdict::Stopping => "stopping",
        };
        self.verdicts.get_or_create(&VerdictLabels { verdict }).inc();
    }
}

/// Metrics of membership.
#[derive(Debug, Clone, Default)]
pub struct MembershipMetrics {
    /// Heartbeats sent.
    pub sent: Counter,
    /// Bytes of heartbeats sent, without headers of UDP and IP.
    pub bytes: Counter,
    /// Heartbeats received.
    pub received: Counter,
    /// Other instances known.
    pub peers: Gauge,
}

impl MembershipMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("heartbeats_sent", "Heartbeats sent", self.sent.clone());
        registry.register(
            "heartbeat_bytes",
            "Bytes of heartbeats sent, without headers of UDP and IP",
            self.bytes.clone(),
        );
        registry.register(
            "heartbeats_received",
            "Heartbeats received",
            self.received.clone(),
        );
        registry.register("peers", "Other instances known", self.peers.clone());
    }
}

/// How an order ended that was to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// `applied`, `stale`, `unsent` or `unknown`.
    pub answer: String,
}

/// Metrics of the authority over engines.
#[derive(Debug, Clone, Default)]
pub struct AuthorityMetrics {
    /// Services whose authority this instance holds.
    pub held: Gauge,
    /// Of these, services whose lease it believes in.
    pub believed: Gauge,
    /// Orders by how they ended.
    pub orders: Family<AnswerLabels, Counter>,
    /// Times that an engine was found with an order that is not settled.
    pub unsettled: Counter,
}

impl AuthorityMetrics {
    /// Counts an order that ended so.
    pub fn count_order(&self, answer: Answer) {
        let answer = match answer {
            Answer::Applied => "applied",
            Answer::Stale(_) => "stale",
            Answer::Unsent => "unsent",
            Answer::Unknown => "unknown",
        };
        let labels = AnswerLabels {
            answer: answer.to_string(),
        };
        self.orders.get_or_create(&labels).inc();
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "authorities_held",
            "Services whose authority this instance holds",
            self.held.clone(),
        );
        registry.register(
            "authorities_believed",
            "Services whose authority this instance holds under a lease that it believes in",
            self.believed.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines by how they ended",
            self.orders.clone(),
        );
        registry.register(
            "orders_unsettled",
            "Times that an engine was found with an order that is not settled",
            self.unsettled.clone(),
        );
    }
}

impl Metrics {
    /// All metrics at zero.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let traffic = TrafficMetrics::default();
        traffic.register(&mut registry);
        let authority = AuthorityMetrics::default();
        authority.register(&mut registry);
        let claims = ClaimMetrics::default();
        claims.register(&mut registry);
        let membership = MembershipMetrics::default();
        membership.register(&mut registry);
        Metrics {
            traffic,
            authority,
            claims,
            membership,
            registry: Mutex::new(registry),
        }
    }

    /// The page that a Prometheus server reads.
    pub fn page(&self) -> String {
        let registry = self
            .registry
            .lock()
            .expect("no thread panics while it holds the registry");
        let mut page = String::new();
        match encode(&mut page, &registry) {
            Ok(()) => page,
            Err(error) => format!("# could not encode: {error}\n"),
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
