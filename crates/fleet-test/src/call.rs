//! One call at one node's control address.

use crate::checker::Answer;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Silence after which a caller moves on (protocol), ms.
pub const SILENCE_MS: u64 = 1000;
/// A 307 is followed so many times (protocol), times.
const FOLLOWED: usize = 2;
/// Largest answer read, bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// What a call sends.
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

/// A client for calls to `control`.
pub fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_millis(SILENCE_MS))
        .disable_redirects()
        .finish()
}

/// Sends a request and waits for its answer, a second of silence at the most;
/// 307 is followed twice.
pub async fn call(client: &awc::Client, to: SocketAddrV4, request: &Request) -> Answer {
    let mut url = format!("http://{to}{}", request.path());
    for _ in 0..=FOLLOWED {
        match once(client, &url, request).await {
            Err(error) => return Answer::Unclear(error.to_string()),
            Ok(answer) if answer.status == 307 => url = answer.location,
            Ok(answer) => return judged(answer.status, answer.body),
        }
    }
    Answer::Unclear("too many redirects".into())
}

fn judged(status: u16, body: Vec<u8>) -> Answer {
    let text = || String::from_utf8_lossy(&body).into_owned();
    match status {
        200..=299 => Answer::Good(body),
        408 | 429 => Answer::Unclear(format!("status {status}")),
        400..=499 => Answer::Refused(status, text()),
        _ => Answer::Unclear(format!("status {status} {}", text())),
    }
}

/// Why one address has not answered.
#[derive(Debug, thiserror::Error)]
enum NoAnswer {
    /// The request could not be sent.
    #[error(transparent)]
    Send(#[from] awc::error::SendRequestError),
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] awc::error::PayloadError),
    /// Nothing came in time.
    #[error("a second of silence")]
    Silence,
}

/// The answer of one address.
struct HttpAnswer {
    status: u16,
    /// Where else to ask, if the answer says so.
    location: String,
    body: Vec<u8>,
}

async fn once(client: &awc::Client, url: &str, request: &Request) -> Result<HttpAnswer, NoAnswer> {
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
        let body = answer.body().limit(ANSWER_BYTES).await?;
        let location = answer.headers().get("location").and_then(|l| l.to_str().ok());
        let location = location.unwrap_or_default().to_string();
        Ok(HttpAnswer {
            status: answer.status().as_u16(),
            location,
            body: body.to_vec(),
        })
    };
    tokio::time::timeout(Duration::from_millis(SILENCE_MS), exchange)
        .await
        .unwrap_or(Err(NoAnswer::Silence))
}
