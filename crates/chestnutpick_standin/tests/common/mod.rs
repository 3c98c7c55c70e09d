//! Stand-ins that run in the process of the test.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;

use chestnutpick_client::client::{CallError, Client, Request, Response};
use chestnutpick_standin::serve;
use chestnutpick_standin::settings::DEFAULT_ADDRESS;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use tokio_util::sync::CancellationToken;

/// Time-out for events that are expected to happen.
pub const LONG_TIMEOUT: Millis = Millis::from_secs(20);

/// Time-out for events that are expected not to happen.
pub const SHORT_TIMEOUT: Millis = Millis(50);

/// Runs a test on a single-threaded runtime, like the processes.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

/// A running stand-in with a client.
pub struct Standin {
    pub address: SocketAddr,
    pub client: Client,
    pub stop: CancellationToken,
    pub running: serve::Server,
}

pub async fn start<H>(handler: H) -> Standin
where
    H: serve::Handler,
{
    let stop = CancellationToken::new();
    let running = serve::start(handler, DEFAULT_ADDRESS, LONG_TIMEOUT, stop.clone()).await.unwrap();
    Standin { address: running.address, client: Client::new(), stop, running }
}

impl Standin {
    pub async fn call(&self, method: &str, path: &str, body: &str) -> Result<Response, CallError> {
        let mut request = Request::new(method, path);
        request.body = vec![body.to_owned().into()];
        self.client.call(self.address, request, LONG_TIMEOUT).await
    }

    /// Sends a request and returns the status and body of the response.
    pub async fn text(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut response = self.call(method, path, body).await.ok().unwrap();
        let body = response.read(size::Bytes::from_mib(16)).await.unwrap();
        (response.status, String::from_utf8(body.to_vec()).unwrap())
    }

    pub async fn faults(&self, faults: &str) {
        let (status, body) = self.text("PUT", "/faults", faults).await;
        assert_eq!(status, 200, "{body}");
    }

    pub async fn stat(&self, name: &str) -> u64 {
        let (_, body) = self.text("GET", "/stats", "").await;
        let stats: serde_json::Value = serde_json::from_str(&body).unwrap();
        stats[name].as_u64().unwrap_or_else(|| panic!("no counter {name} in {body}"))
    }

    /// Waits until a counter reaches a value.
    pub async fn wait_for(&self, name: &str, value: u64) {
        let reached = async {
            while self.stat(name).await < value {
                actix_rt::time::sleep(std::time::Duration::from_millis(2)).await;
            }
        };
        let outcome = tokio::time::timeout(LONG_TIMEOUT.to_duration(), reached).await;
        outcome.unwrap_or_else(|_| panic!("{name} did not reach {value}"));
    }
}
