//! An agent whose endpoint is a scripted peer.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chestnutpick_admission::{limits, status};
use chestnutpick_agent::{attempts, calls, node, settings};
use chestnutpick_client::client;
use chestnutpick_http::{respond, server};
use chestnutpick_settings::file;
use chestnutpick_types::digest::Digest;
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use tokio_util::sync::CancellationToken;

/// Time after which an answer that has not come counts as missing.
pub const DEADLINE: Duration = Duration::from_secs(30);

/// Limit on the body of an agent's answer.
const BODY_LIMIT: size::Bytes = size::Bytes::from_mib(2);

/// Agent with its HTTP address.
pub struct Agent {
    pub node: Rc<node::Node>,
    pub address: SocketAddr,
}

/// Complete answer of an agent.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// Returns the error of a refusal, or panics if the answer is something else.
    pub fn error(&self) -> respond::ErrorBody {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no refusal: {self:?}"))
    }
}

/// Starts an agent. `kind` and `services` are as in the settings file; `progress` is the time-out of the endpoint.
pub async fn start(
    endpoint: SocketAddr,
    kind: settings::Kind,
    services: &[&str],
    progress: Millis,
) -> Agent {
    let text = format!(
        r#"
        host = "h1"
        zone = "lima"
        region = "coast"
        listen = "127.0.0.1:0"
        control = "127.0.0.1:0"
        [platform]
        store = "127.0.0.1:1"
        hosts = "127.0.0.1:1"
        origin = "127.0.0.1:1"
        origin_region = "coast"
        [endpoint]
        kind = "{kind}"
        services = {services:?}
        address = "{endpoint}"
        slots = 4096
        memory_tokens = 1000000
        cold_slots = 4096
        progress_timeout_ms = {}
        "#,
        progress.0
    );
    let settings = file::parse::<settings::Settings>(Path::new("agent.toml"), &text).unwrap();
    let node = Rc::new(node::Node::new(settings));
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler_node = Rc::clone(&node);
    let serving = server::serve(listener, CancellationToken::new(), DEADLINE, move |request| {
        let node = Rc::clone(&handler_node);
        async move {
            match request.path() {
                "/v1/attempts" => attempts::handle(node, request).await,
                _ => calls::handle(node, request).await,
            }
        }
    });
    actix_rt::spawn(serving);
    Agent { node, address }
}

impl Agent {
    /// Opens the gate for weights, as after a status of the engine.
    pub fn set_loaded(&self, digest: Digest) {
        let status = status::Status {
            generation: 1,
            loaded: vec![digest],
            cold: false,
            load: limits::Load::default(),
        };
        self.node.table.borrow_mut().on_engine_status(self.node.now(), &status);
    }

    /// Sends a call of the service `ledger` and reads the answer.
    pub async fn call(&self, path: &str, attempt: &id::AttemptId) -> Answer {
        self.call_with("POST", path, attempt).await
    }

    /// Sends a call with this method and reads the answer.
    pub async fn call_with(&self, method: &str, path: &str, attempt: &id::AttemptId) -> Answer {
        let mut request = client::Request::new(method, format!("/v1/calls/ledger/{path}"));
        request.headers = vec![("x-attempt-id".into(), attempt.as_str().into())];
        if method == "POST" {
            request.body = vec!["5 leaves".into()];
        }
        self.send(request).await
    }

    /// Sends an attempt to generate with `digest` and reads the answer.
    pub async fn generate(&self, digest: Digest, attempt: &id::AttemptId) -> Answer {
        self.send(generate_request(digest, attempt)).await
    }

    async fn send(&self, request: client::Request) -> Answer {
        let timeout = Millis(u64::try_from(DEADLINE.as_millis()).unwrap());
        let client = client::Client::new();
        let mut response = client.call(self.address, request, timeout).await.unwrap();
        let body = response.read(BODY_LIMIT).await.unwrap();
        Answer { status: response.status, body: String::from_utf8_lossy(&body).into_owned() }
    }

    /// Waits until no attempt is in flight.
    pub async fn until_idle(&self) {
        let idle = async {
            while self.node.table.borrow().in_flight() > 0 {
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
        };
        assert!(tokio::time::timeout(DEADLINE, idle).await.is_ok(), "an attempt is in flight");
    }
}

/// Returns an attempt to generate with `digest`.
pub fn generate_request(digest: Digest, attempt: &id::AttemptId) -> client::Request {
    let mut request = client::Request::new("POST", "/v1/attempts");
    request.headers = vec![
        ("x-attempt-id".into(), attempt.as_str().into()),
        ("x-weights-digest".into(), digest.to_string().into()),
        ("x-fingerprint".into(), Digest::of(b"body").to_string().into()),
    ];
    request.body = vec![r#"{"prompt":"p","max_tokens":4}"#.into()];
    request
}
