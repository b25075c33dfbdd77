//! Helpers for HTTP requests in tests.

use std::time::Duration;

use awc::Client;
use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time-out for an answer.
const LIMIT: Duration = Duration::from_secs(30);

/// An HTTP answer with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The header `sequoiastream-outcome`.
    pub outcome: Option<String>,
    /// The header `retry-after`, in seconds.
    pub retry_after: Option<u64>,
    /// The body as text.
    pub body: String,
}

impl Reply {
    /// The body as JSON.
    ///
    /// # Panics
    ///
    /// If the body is not valid JSON for `T`.
    pub fn json<T>(&self) -> T
    where
        T: DeserializeOwned,
    {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e} in {:?}", self.body))
    }
}

/// Creates an HTTP client for tests.
pub fn client() -> Client {
    Client::builder().timeout(LIMIT).disable_redirects().finish()
}

/// Sends a request with a JSON body.
///
/// # Panics
///
/// If no answer is received.
pub async fn send<B>(method: &str, url: &str, headers: &[(&str, &str)], body: &B) -> Reply
where
    B: Serialize + ?Sized,
{
    try_send(method, url, headers, body)
        .await
        .unwrap_or_else(|e| panic!("{method} {url}: {e}"))
}

/// Sends a request with a JSON body and returns connection failures as errors.
///
/// # Errors
///
/// If no answer is received.
pub async fn try_send<B>(method: &str, url: &str, headers: &[(&str, &str)], body: &B) -> eyre::Result<Reply>
where
    B: Serialize + ?Sized,
{
    let method = method.parse().expect("a method");
    let mut request = client().request(method, url);
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let mut answer = request
        .send_json(&serde_json::to_value(body)?)
        .await
        .map_err(|e| eyre::eyre!("{e}"))?;
    reply(&mut answer).await
}

/// Reads the body of an answer.
///
/// # Errors
///
/// If the body cannot be read.
pub async fn reply<S>(answer: &mut ClientResponse<S>) -> eyre::Result<Reply>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let header = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_string)
    };
    let outcome = header("sequoiastream-outcome");
    let after = header("retry-after");
    let body = answer.body().await.map_err(|e| eyre::eyre!("{e}"))?;
    Ok(Reply {
        status: answer.status().as_u16(),
        outcome,
        retry_after: after.and_then(|a| a.parse().ok()),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Fetches `url` and parses the body as JSON.
///
/// # Panics
///
/// If no answer is received, or its body is not valid JSON for `T`.
pub async fn read<T>(url: &str) -> T
where
    T: DeserializeOwned,
{
    let mut answer = client()
        .get(url)
        .send()
        .await
        .unwrap_or_else(|e| panic!("GET {url}: {e}"));
    answer
        .json()
        .limit(16 * 1024 * 1024)
        .await
        .unwrap_or_else(|e| panic!("GET {url}: {e}"))
}

/// Fetches `url` as text.
///
/// # Panics
///
/// If no answer is received.
pub async fn text(url: &str) -> String {
    let mut answer = client()
        .get(url)
        .send()
        .await
        .unwrap_or_else(|e| panic!("GET {url}: {e}"));
    let body = answer.body().await.unwrap_or_else(|e| panic!("GET {url}: {e}"));
    String::from_utf8_lossy(&body).into_owned()
}

/// Repeats `probe` until it returns a value.
///
/// # Panics
///
/// If it returns none within 30 s.
pub async fn until<F, R, T>(what: &str, mut probe: F) -> T
where
    F: FnMut() -> R,
    R: Future<Output = Option<T>>,
{
    let tries = async {
        loop {
            if let Some(value) = probe().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    match tokio::time::timeout(LIMIT, tries).await {
        Ok(value) => value,
        Err(_) => panic!("timed out waiting until {what}"),
    }
}
