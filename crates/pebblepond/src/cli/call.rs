//! Calls to the control interface, made with `awc`.

use super::{exit, ControlArgs, Failure};
use std::time::Duration;

/// Time to wait for one address, in milliseconds; the system itself answers within a second.
const TIMEOUT_MS: u64 = 2000;
/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Response of the control interface.
pub struct ControlResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
}

impl ControlResponse {
    /// Returns the error text of the response, or its status if it has none.
    pub fn error(&self) -> String {
        let value: Option<serde_json::Value> = serde_json::from_slice(&self.body).ok();
        let text = value.as_ref().and_then(|v| v["ErrorText"].as_str());
        text.map_or_else(|| format!("answered with status {}", self.status), str::to_string)
    }
}

/// Calls the control addresses in turn and returns the first response whose status is below 500.
pub fn call(
    control: &ControlArgs,
    method: &str,
    path: &str,
    base: Option<u64>,
    body: Vec<u8>,
) -> Result<ControlResponse, Failure> {
    actix::System::new().block_on(async {
        let client = awc::Client::builder()
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .finish();
        let mut last_error = String::from("no address given");
        for address in &control.control {
            let url = format!("http://{address}{path}");
            let mut request = match method {
                "GET" => client.get(&url),
                _ => client.post(&url),
            };
            if let Some(base) = base {
                request = request.insert_header(("Base-Version", base.to_string()));
            }
            let result = if body.is_empty() {
                request.send().await
            } else {
                request
                    .content_type("application/json")
                    .send_body(body.clone())
                    .await
            };
            match result {
                Ok(mut http_response) => match http_response.body().limit(MAX_BODY_BYTES).await {
                    Ok(bytes) => {
                        let response = ControlResponse {
                            status: http_response.status().as_u16(),
                            body: bytes.to_vec(),
                        };
                        if response.status < 500 {
                            return Ok(response);
                        }
                        last_error = format!("{address}: {}", response.error());
                    }
                    Err(e) => last_error = format!("{address}: {e}"),
                },
                Err(e) => last_error = format!("{address}: {e}"),
            }
        }
        Err(Failure(
            exit::UNREACHABLE,
            format!("no control address answered; the last: {last_error}"),
        ))
    })
}
