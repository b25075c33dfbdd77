//! What the command-line tool asks of an instance.

use std::fmt;
use std::time::Duration;

use awc::Client;
use sequoiastream_operator::wire::ErrorBody;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;
use thiserror::Error;

/// How long a statement may take.
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client of the operators' interface.
pub struct OperatorClient {
    http: Client,
    base: String,
    token: String,
}

/// Why an instance did not carry statements out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClientError {
    /// No answer came: it is not known whether the statements took effect.
    #[error("could not reach {url}: {cause}")]
    Unreachable {
        /// Where.
        url: String,
        /// Why.
        cause: String,
    },
    /// The answer can't be read.
    #[error("could not read the answer of {url}: {cause}")]
    Malformed {
        /// Where.
        url: String,
        /// Why.
        cause: String,
    },
    /// The instance refused.
    #[error("{error}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What the instance said.
        error: String,
        /// What to do next, if it said so.
        help: Option<String>,
    },
}

impl ClientError {
    /// What to do next, if there is something.
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
    /// A client of the instance at `base`.
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

    /// Gives statements.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if the instance can't be reached or did not carry them out.
    pub async fn execute(&self, statement: &StatementBody) -> Result<ReplyBody, ClientError> {
        let url = format!("{}/operator/statement", self.base);
        let request = self.http.post(&url).bearer_auth(&self.token);
        let sent = request.send_json(statement).await;
        let mut answer = sent.map_err(|error| ClientError::Unreachable {
            url: url.clone(),
            cause: error.to_string(),
        })?;
        let status = answer.status();
        let malformed = |cause: String| ClientError::Malformed {
            url: url.clone(),
            cause,
        };
        let body = answer.body().limit(MAX_RESPONSE_BYTES).await;
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
