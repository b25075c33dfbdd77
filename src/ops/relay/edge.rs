//! The boundary between the protocol of a deployment and the product: names and formats only, no decisions.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::limit_report::RequestRate;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::usage::Counts;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_kv::store::Item;
use thiserror::Error;

/// Why external data can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what}: {reason}")]
pub struct Malformed {
    /// Kind of data.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl Malformed {
    /// Creates the error for `what`, which can't be parsed because of `reason`.
    pub fn new<W>(what: &'static str, reason: W) -> Malformed
    where
        W: std::fmt::Display,
    {
        let reason = reason.to_string();
        Malformed { what, reason }
    }
}

/// Names of the headers, by their meaning.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt by a caller.
    pub request: HeaderName,
    /// Milliseconds for which the sender will still wait.
    pub deadline: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event: HeaderName,
    /// Id of the caller's attempt that brought the first event of the stream which this attempt is to continue.
    pub resumes: HeaderName,
    /// Signature of an answer by its engine.
    pub signature: HeaderName,
    /// Id of the engine that the request is for; any other engine declines it.
    pub target_engine: HeaderName,
    /// Confirmation by an engine that it did not execute the request.
    pub declined: HeaderName,
    /// Stage of the model's work that is requested.
    pub stage: HeaderName,
    /// Value of the stage header that requests the prefill only.
    pub prefill: &'static str,
    /// Where the result of an earlier prefill can be fetched.
    pub prompt_source: HeaderName,
    /// Address of an engine from which the one that computes the prefill first fetches the shared parts that are cached
    /// there.
    pub fetch_from: HeaderName,
    /// Model that is to answer.
    pub model: HeaderName,
    /// Number of tokens in the prompt, and maximum number of tokens in the answer.
    pub tokens: HeaderName,
    /// Number of tokens that the caller expects in the answer.
    pub expected: HeaderName,
    /// Parts of the prompt.
    pub parts: HeaderName,
    /// Key of a caller.
    pub key: HeaderName,
    /// Workspace that sent the request.
    pub workspace: HeaderName,
    /// Priority by which an engine orders its queue; 0 is served first.
    pub priority: HeaderName,
    /// Instance that makes a call as the leader of all instances.
    pub leader: HeaderName,
    /// Fencing token of the leader.
    pub fence: HeaderName,
    /// Headers that only this system may set, or that are not forwarded.
    pub reserved: Vec<HeaderName>,
}

/// Keys in the store.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    /// The configuration.
    pub config: String,
    /// Prefix of the keys of engines.
    pub engines: String,
    /// Prefix of the keys of instances.
    pub instances: String,
    /// Prefix of the keys of orders to engines.
    pub orders: String,
    /// The lease of the instance that is the leader towards the platform's API.
    pub leader: String,
    /// The usage reports that have been decided.
    pub usage: String,
    /// The versions of the engines that may have begun a stream that still runs.
    pub versions: String,
    /// Prefix of the keys of the instances' records of streams.
    pub streams: String,
    /// Prefix of the keys of the instances' notes of crashes.
    pub crashes: String,
}

/// Paths of the calls that an instance accepts, and of those that it makes to engines and to the platform's API.
#[derive(Debug, Clone)]
pub struct Paths {
    /// Readiness check of an instance.
    pub ready: String,
    /// Query for the addresses that callers are to use.
    pub resolve: String,
    /// Order to an engine.
    pub order: String,
    /// Usage report to the platform's API.
    pub usage: String,
    /// Scaling order to the platform's API.
    pub scale: String,
}

/// Format of the callers' queries for addresses.
#[derive(Debug, Clone)]
pub struct Directory {
    /// Query parameter that contains the caller's availability zone.
    pub zone: String,
    /// Maximum number of addresses that callers take from an answer.
    pub max_addresses: usize,
}

/// All names of a deployment's protocol.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of the headers.
    pub names: HeaderNames,
    /// Keys in the store.
    pub keys: StoreKeys,
    /// Paths of calls.
    pub paths: Paths,
    /// Format of the queries for addresses.
    pub directory: Directory,
}

/// Translates between the formats of a deployment's protocol and the product's types.
pub trait Translate: Send + Sync {
    /// Returns all names.
    fn dialect(&self) -> &Dialect;

    /// Returns the names of the headers.
    fn names(&self) -> &HeaderNames {
        &self.dialect().names
    }

    /// Returns the keys in the store.
    fn keys(&self) -> &StoreKeys {
        &self.dialect().keys
    }

    /// Returns the paths of calls.
    fn paths(&self) -> &Paths {
        &self.dialect().paths
    }

    /// Parses the configuration.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if it is invalid.
    fn config(&self, value: &[u8]) -> Result<RoutingTable, Malformed>;

    /// Parses an engine's entry.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if it is invalid.
    fn engine(&self, item: &Item) -> Result<Entry, Malformed>;

    /// Returns the id of the engine whose entry has this key; `None` if the key is not that of an engine.
    fn engine_id<'k>(&self, key: &'k str) -> Option<&'k str>;

    /// Parses the structure of a prompt from the headers for model, tokens and parts.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a header is invalid.
    fn prompt(&self, model: &str, tokens: &str, parts: &str) -> Result<Prompt, Malformed>;

    /// Parses an engine's answer to a prefill request and returns the name under which the engine holds the result.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the answer is invalid.
    fn prefilled_name(&self, body: &[u8]) -> Result<String, Malformed>;

    /// Whether an engine reports in the headers of an answer that it is leaving.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the header is invalid.
    fn is_leaving(&self, headers: &HeaderMap) -> Result<bool, Malformed>;

    /// For how long an engine accepts no further requests from this instance, according to the status and the headers
    /// of an answer; `None` if the answer asks for no pause.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the header is invalid.
    fn requested_pause(&self, status: StatusCode, headers: &HeaderMap)
    -> Result<Option<Duration>, Malformed>;

    /// The requests per second that an engine accepts from all instances together, according to the headers of an
    /// answer; `None` if the answer reports no limit.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the header is invalid.
    fn request_limit(&self, headers: &HeaderMap) -> Result<Option<RequestRate>, Malformed>;

    /// Returns the path of the call that frees the result of the prefill called `name`.
    fn release_path(&self, name: &str) -> String;

    /// Formats an order to an engine to change its stage.
    fn order(&self, stage: Stage, holder: &str, fence: u64) -> String;

    /// Formats a usage report.
    fn usage(&self, window: Window, counts: &Counts) -> String;

    /// Formats a scaling order.
    fn scale(&self, order: &ScaleOrder) -> String;

    /// Formats the answer to a query for addresses, which callers may use for the time `keep`.
    fn addresses(&self, addresses: &[std::net::SocketAddr], keep: Duration) -> String;
}
