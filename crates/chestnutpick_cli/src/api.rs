//! Client of the administration API.

use std::net;
use std::sync;

use bytes::Bytes;
use chestnutpick_client::client;
use chestnutpick_types::{size, time};
use serde::Deserialize;
use serde_json::json;
use snafu::Snafu;

/// Maximum time to wait for a response. A change may take 5 s to write and 5 s to propagate.
const RESPONSE_TIMEOUT: time::Millis = time::Millis::from_secs(15);

/// Maximum size of a response body.
const MAX_RESPONSE: size::Bytes = size::Bytes::from_mib(16);

/// Error for a call that failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No entry could be reached, so the command was not sent.
    #[snafu(display("no entry could be reached: {reason}"))]
    Unreachable {
        /// Error of the entry that was tried last.
        reason: String,
    },
    /// The response was lost, so the command may have been executed.
    #[snafu(display("the answer was lost, the command may have been carried out: {reason}"))]
    Lost {
        /// Cause of the loss.
        reason: String,
    },
    /// The entry refused the command.
    #[snafu(display("{kind} ({ran}): {message}"))]
    Refused {
        /// Kind of error.
        kind: String,
        /// Whether the command was executed.
        ran: String,
        /// Error message.
        message: String,
    },
}

/// Successful response of the API.
#[derive(Debug, Clone)]
pub struct Response {
    /// Response body.
    pub value: serde_json::Value,
}

impl Response {
    /// Returns the human-readable text of the response, or an empty text if it has none.
    ///
    /// ```
    /// use chestnutpick_cli::api;
    /// let response = api::Response { value: serde_json::json!({"text": "accepted\n"}) };
    /// assert_eq!(response.text(), "accepted\n");
    /// ```
    pub fn text(&self) -> &str {
        self.value.get("text").and_then(serde_json::Value::as_str).unwrap_or_default()
    }
}

/// Command to send.
#[derive(Debug, Clone)]
pub struct Command {
    /// Command text.
    pub text: String,
    /// Name of the operator who sends the command.
    pub operator: String,
    /// Whether the change is only validated.
    pub dry_run: bool,
    /// Whether the response is delayed until the change is in force.
    pub wait: bool,
    /// Revision on which the command is based. Later changes may conflict with it.
    pub base: Option<u64>,
}

/// Client of the administration API of several entries.
pub struct Client {
    http_client: client::Client,
    entries: Vec<net::SocketAddr>,
    token: sync::Arc<str>,
}

#[derive(Deserialize)]
struct Refusal {
    error: String,
    ran: String,
    message: String,
}

impl Client {
    /// Returns a client that tries `entries` in order.
    pub fn new(entries: Vec<net::SocketAddr>, token: &str) -> Self {
        Self { http_client: client::Client::new(), entries, token: token.into() }
    }

    /// Sends a command. The next entry is tried only if the command was certainly not sent to the previous one, because
    /// a lost response leaves open whether the command was executed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no entry returned a successful response.
    pub async fn send(&self, command: &Command) -> Result<Response, Error> {
        let body = json!({
            "command": command.text, "operator": command.operator, "dry_run": command.dry_run,
            "wait": command.wait, "base": command.base,
        });
        let mut request = client::Request::new("POST", "/admin/v1/commands");
        request.body = vec![Bytes::from(body.to_string())];
        self.call_entries(request).await
    }

    /// Returns the last report of each host.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no entry returned a successful response.
    pub async fn status(&self) -> Result<Response, Error> {
        self.call_entries(client::Request::new("GET", "/admin/v1/status")).await
    }

    async fn call_entries(&self, mut request: client::Request) -> Result<Response, Error> {
        request.headers.push(("authorization".into(), format!("Bearer {}", self.token).into()));
        let mut last_error = "no entry is given".to_owned();
        for entry in &self.entries {
            match self.http_client.call(*entry, request.clone(), RESPONSE_TIMEOUT).await {
                Ok(response) => return read_response(response).await,
                Err(reason) if reason.is_not_sent() => last_error = reason.to_string(),
                Err(reason) => return LostSnafu { reason: reason.to_string() }.fail(),
            }
        }
        UnreachableSnafu { reason: last_error }.fail()
    }
}

async fn read_response(mut response: client::Response) -> Result<Response, Error> {
    let body = response.read(MAX_RESPONSE).await;
    let body = body.map_err(|reason| Error::Lost { reason: reason.to_string() })?;
    if response.status == 200 {
        let value = serde_json::from_slice(&body);
        return value
            .map(|value| Response { value })
            .map_err(|reason| Error::Lost { reason: reason.to_string() });
    }
    match serde_json::from_slice::<Refusal>(&body) {
        Ok(refusal) => {
            let Refusal { error, ran, message } = refusal;
            RefusedSnafu { kind: error, ran, message }.fail()
        }
        Err(_) => LostSnafu { reason: format!("status {}", response.status) }.fail(),
    }
}
