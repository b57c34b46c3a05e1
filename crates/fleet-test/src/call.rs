//! A single call to one node's control address.

use crate::checker::Answer;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time after which a caller gives up on an answer (protocol), in milliseconds.
pub const RESPONSE_TIMEOUT_MS: u64 = 1000;
/// Number of 307 redirects that a call follows (protocol).
const MAX_REDIRECTS: usize = 2;
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The HTTP request of a call.
#[derive(Clone, Debug)]
pub enum Request {
    Get(String),
    Post {
        path: String,
        base: Option<u64>,
        body: Vec<u8>,
    },
}

impl Request {
    fn path(&self) -> &str {
        match self {
            Request::Get(path) | Request::Post { path, .. } => path,
        }
    }
}

/// Creates an HTTP client for calls to `control`.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS))
        .disable_redirects()
        .finish()
}

/// Sends a request and returns the answer. Each address has 1 s to answer, and up to two 307
/// redirects are followed.
pub async fn call(client: &awc::Client, to: SocketAddrV4, request: &Request) -> Answer {
    let mut url = format!("http://{to}{}", request.path());
    for _ in 0..=MAX_REDIRECTS {
        match send_once(client, &url, request).await {
            Err(error) => return Answer::Indeterminate(error.to_string()),
            Ok(answer) if answer.status == 307 => url = answer.location,
            Ok(answer) => return classify(answer.status, answer.body),
        }
    }
    Answer::Indeterminate("too many redirects".into())
}

fn classify(status: u16, body: Vec<u8>) -> Answer {
    let text = || String::from_utf8_lossy(&body).into_owned();
    match status {
        200..=299 => Answer::Success(body),
        408 | 429 => Answer::Indeterminate(format!("status {status}")),
        400..=499 => Answer::Refused(status, text()),
        _ => Answer::Indeterminate(format!("status {status} {}", text())),
    }
}

/// A reason why an address did not answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The request could not be sent.
    #[error(transparent)]
    Send(#[from] awc::error::SendRequestError),
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] awc::error::PayloadError),
    /// No answer came in time.
    #[error("no answer within 1 s")]
    Timeout,
}

/// The answer of one address.
struct HttpAnswer {
    status: u16,
    /// The redirect target from the `Location` header; empty if there is none.
    location: String,
    body: Vec<u8>,
}

async fn send_once(client: &awc::Client, url: &str, request: &Request) -> Result<HttpAnswer, CallError> {
    let exchange = async {
        let sent = match request {
            Request::Get(_) => client.get(url).send().await,
            Request::Post { base, body, .. } => {
                let mut post = client.post(url);
                if let Some(base) = base {
                    post = post.insert_header(("Base-Version", base.to_string()));
                }
                if body.is_empty() {
                    post.send().await
                } else {
                    post.content_type("application/json")
                        .send_body(body.clone())
                        .await
                }
            }
        };
        let mut answer = sent?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await?;
        let location = answer.headers().get("location").and_then(|l| l.to_str().ok());
        let location = location.unwrap_or_default().to_string();
        Ok(HttpAnswer {
            status: answer.status().as_u16(),
            location,
            body: body.to_vec(),
        })
    };
    tokio::time::timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), exchange)
        .await
        .unwrap_or(Err(CallError::Timeout))
}
