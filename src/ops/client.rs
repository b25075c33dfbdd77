//! What the command-line tool asks of an instance.

use std::time::Duration;

use awc::Client;
use eyre::WrapErr;
use eyre::bail;
use sequoiastream_operator::wire::ErrorBody;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_operator::wire::StatementBody;

/// How long a statement may take.
const LIMIT: Duration = Duration::from_secs(60);

/// Client of the operators' interface.
pub struct OperatorClient {
    http: Client,
    base: String,
    token: String,
}

impl OperatorClient {
    /// A client of the instance at `base`.
    pub fn new(base: &str, token: &str) -> OperatorClient {
        OperatorClient {
            http: Client::builder().timeout(LIMIT).disable_redirects().finish(),
            base: base.trim_end_matches('/').to_string(),
            token: token.to_string(),
        }
    }

    /// Gives statements.
    ///
    /// # Errors
    ///
    /// If the instance can't be reached or did not carry them out.
    pub async fn execute(&self, statement: &StatementBody) -> eyre::Result<ReplyBody> {
        let url = format!("{}/operator/statement", self.base);
        let sent = self.http.post(&url).bearer_auth(&self.token).send_json(statement);
        let mut answer = sent
            .await
            .map_err(|error| eyre::eyre!("{error}"))
            .wrap_err_with(|| format!("could not reach {url}"))?;
        if answer.status().is_success() {
            return answer.json().await.wrap_err("could not read the answer");
        }
        let body: ErrorBody = answer.json().await.wrap_err("could not read the answer")?;
        match body.help {
            Some(help) => bail!("{}\nhelp: {help}", body.error),
            None => bail!("{}", body.error),
        }
    }
}
