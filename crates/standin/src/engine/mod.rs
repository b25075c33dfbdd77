//! Stand-in for a model engine.
//!
//! It models continuous batching: each step processes a limited number of prompt tokens of waiting requests and
//! generates one token for each running request. Output is a pure function of seed, prompt, model version and
//! offset, so that a test knows the whole expected text and can compare a resumed answer byte for byte.

mod batch;
mod cache;
mod http;
mod text;

pub use batch::Batch;
pub use batch::Rates;
pub use batch::Sequence;
pub use http::EngineFault;
pub use http::EngineSettings;
pub use http::OrderRecord;
pub use http::configure;
pub use text::expected_text;
pub use text::prompt_tokens;
pub use text::token_text;
