//! Where somebody else's protocol meets the product: names and formats, nothing that decides.

use http::HeaderName;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::usage::Counts;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_kv::store::Item;
use thiserror::Error;

/// Why something from outside can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what}: {reason}")]
pub struct Malformed {
    /// What was read.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl Malformed {
    /// `what` can't be read because of `why`.
    pub fn new<W>(what: &'static str, reason: W) -> Malformed
    where
        W: std::fmt::Display,
    {
        let reason = reason.to_string();
        Malformed { what, reason }
    }
}

/// Names of the headers by what they say.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request: HeaderName,
    /// Milliseconds that the sender still waits.
    pub deadline: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// An engine's signature of its answer.
    pub signature: HeaderName,
    /// The engine that is meant; any other declines.
    pub target_engine: HeaderName,
    /// An engine's word that it did not execute the request.
    pub declined: HeaderName,
    /// Which part of a model's work is asked for.
    pub stage: HeaderName,
    /// The word in it that asks to read the prompt only.
    pub prefill: &'static str,
    /// Where a prompt that was read before lies.
    pub prompt_source: HeaderName,
    /// The engine from which one that reads a prompt first fetches what that one keeps of it.
    pub fetch_from: HeaderName,
    /// The model that is to answer.
    pub model: HeaderName,
    /// Prompt tokens, and most tokens of the answer.
    pub tokens: HeaderName,
    /// Parts of the prompt.
    pub parts: HeaderName,
    /// A caller's key.
    pub key: HeaderName,
    /// The workspace whose request it is.
    pub workspace: HeaderName,
    /// Which instance makes a call for all.
    pub leader: HeaderName,
    /// Its fencing number.
    pub fence: HeaderName,
    /// Headers that only this system may set, or that end here.
    pub reserved: Vec<HeaderName>,
}

/// Keys of the store.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    /// The configuration.
    pub config: String,
    /// What the keys of engines begin with.
    pub engines: String,
    /// What the keys of instances begin with.
    pub instances: String,
    /// What the keys of orders to engines begin with.
    pub orders: String,
    /// The instance that acts for all towards the platform's API.
    pub leader: String,
    /// The reports of use that are decided.
    pub usage: String,
}

/// Paths of calls that others make to an instance, and that it makes to engines.
#[derive(Debug, Clone)]
pub struct Paths {
    /// Whether it is ready.
    pub ready: String,
    /// Which addresses to use.
    pub resolve: String,
    /// An order to an engine.
    pub order: String,
    /// A report of use to the platform's API.
    pub usage: String,
    /// An order for engines to it.
    pub scale: String,
}

/// How callers ask for addresses.
#[derive(Debug, Clone)]
pub struct Directory {
    /// The field of the query that names the caller's availability zone.
    pub zone: String,
    /// Addresses of an answer that callers take.
    pub max_addresses: usize,
}

/// All names of somebody else's protocol.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Headers.
    pub names: HeaderNames,
    /// Keys of the store.
    pub keys: StoreKeys,
    /// Paths of calls.
    pub paths: Paths,
    /// How callers ask for addresses.
    pub directory: Directory,
}

/// The translation between somebody else's formats and the product's types.
pub trait Translate: Send + Sync {
    /// All names.
    fn dialect(&self) -> &Dialect;

    /// Names of headers.
    fn names(&self) -> &HeaderNames {
        &self.dialect().names
    }

    /// Keys of the store.
    fn keys(&self) -> &StoreKeys {
        &self.dialect().keys
    }

    /// Paths of calls to an instance.
    fn paths(&self) -> &Paths {
        &self.dialect().paths
    }

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if it can't be read.
    fn config(&self, value: &[u8]) -> Result<RoutingTable, Malformed>;

    /// Reads an engine's entry.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if it can't be read.
    fn engine(&self, item: &Item) -> Result<Entry, Malformed>;

    /// The id of the engine under a key, if it is one.
    fn engine_id<'k>(&self, key: &'k str) -> Option<&'k str>;

    /// Reads a prompt's shape from the words for model, tokens and parts.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if it can't be read.
    fn prompt(&self, model: &str, tokens: &str, parts: &str) -> Result<Prompt, Malformed>;

    /// Reads the name of a prompt that an engine has read and keeps.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if it can't be read.
    fn prefilled_name(&self, body: &[u8]) -> Result<String, Malformed>;

    /// The path of the call that frees a prompt that is kept.
    fn release_path(&self, name: &str) -> String;

    /// Writes an order to change stage.
    fn order(&self, stage: Stage, holder: &str, fence: u64) -> String;

    /// Writes a report of use.
    fn usage(&self, window: Window, counts: &Counts) -> String;

    /// Writes an order for engines.
    fn scale(&self, order: &ScaleOrder) -> String;

    /// Writes the answer to the question for addresses.
    fn addresses(&self, addresses: &[std::net::SocketAddr], keep: std::time::Duration) -> String;
}
