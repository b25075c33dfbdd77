//! HTTP client with which the command-line tool sends operator statements to an instance.

use std::fmt;
use std::time::Duration;

use awc::Client;
use sequoiastream_operator::wire::ErrorBody;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use thiserror::Error;

/// Timeout of the HTTP request that carries a statement.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client of the operator interface of one instance.
pub struct OperatorClient {
    http: Client,
    base: String,
    token: String,
}

/// Why a statement was not executed, or why its outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClientError {
    /// No response arrived; the statement may or may not have taken effect.
    #[error("could not reach {url}: {cause}")]
    Unreachable {
        /// URL of the request.
        url: String,
        /// Description of the underlying error.
        cause: String,
    },
    /// The response can't be read or decoded.
    #[error("could not read the response from {url}: {cause}")]
    Malformed {
        /// URL of the request.
        url: String,
        /// Description of the underlying error.
        cause: String,
    },
    /// The instance responded with an error status.
    #[error("{error}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Error message from the instance.
        error: String,
        /// What to do next, if the instance suggested something.
        help: Option<String>,
    },
}

impl ClientError {
    /// Returns a suggestion of what to do next, if there is one.
    pub fn help(&self) -> Option<&str> {
        match self {
            ClientError::Unreachable { .. } => Some("try another instance with --server"),
            ClientError::Malformed { .. } => Some("check that --server names an entry instance"),
            ClientError::Refused { help, .. } => help.as_deref(),
        }
    }
}

impl fmt::Debug for OperatorClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl OperatorClient {
    /// Creates a client of the instance at the URL `base` that authenticates with the bearer token `token`.
    pub fn new(base: &str, token: &str) -> OperatorClient {
        OperatorClient {
            http: Client::builder()
                .timeout(STATEMENT_TIMEOUT)
                .disable_redirects()
                .finish(),
            base: base.trim_end_matches('/').to_string(),
            token: token.to_string(),
        }
    }

    /// Sends `statement` to the instance and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the instance can't be reached, responds with an error, or sends a response that
    /// can't be read.
    pub async fn execute(&self, statement: &StatementBody) -> Result<ReplyBody, ClientError> {
        let url = format!("{}/operator/statement", self.base);
        let request = self.http.post(&url).bearer_auth(&self.token);
        let result = request.send_json(statement).await;
        let mut response = result.map_err(|error| ClientError::Unreachable {
            url: url.clone(),
            cause: error.to_string(),
        })?;
        let status = response.status();
        let malformed = |cause: String| ClientError::Malformed {
            url: url.clone(),
            cause,
        };
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| malformed(error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()));
        }
        let refusal: ErrorBody =
            serde_json::from_slice(&body).map_err(|_| malformed(format!("status {status}")))?;
        Err(ClientError::Refused {
            status: status.as_u16(),
            error: refusal.error,
            help: refusal.help,
        })
    }
}
