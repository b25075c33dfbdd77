//! HTTP interface of sequoiastream for callers.
//!
//! Common OpenAI clients work unchanged with `/v1/chat/completions` and `/v1/completions`; plain services are reached
//! under `/services/NAME/...`. The daemon handles the requests, by implementing [`Gateway`]. Every final response
//! carries the outcome of the request in the header `sequoiastream-outcome` and in the body.

mod addresses;
mod gateway;
mod generate;
mod http;
mod proof;
mod refusal;
mod request;
mod sse;
mod status;
mod wire;

pub use addresses::AddressBody;
pub use gateway::AddressCall;
pub use gateway::AddressList;
pub use gateway::Answer;
pub use gateway::AnswerEvent;
pub use gateway::Finish;
pub use gateway::ForwardCall;
pub use gateway::ForwardReply;
pub use gateway::Gateway;
pub use gateway::GenerateCall;
pub use gateway::Token;
pub use http::OUTCOME_HEADER;
pub use http::configure;
pub use proof::MayHaveRun;
pub use proof::NotRun;
pub use proof::Sent;
pub use proof::Unsent;
pub use refusal::Refusal;
pub use status::RequestState;
pub use status::StatusCall;
