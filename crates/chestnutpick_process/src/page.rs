//! Diagnostic pages of every process: health, readiness, metrics and state dump.

use std::rc;

use actix_http as http;
use chestnutpick_http::respond;
use chestnutpick_telemetry::metric;

/// A process whose readiness and state the pages show.
pub trait Monitored {
    /// Returns the reason why the process is not ready, or `None` if it is ready.
    fn unready(&self) -> Option<&'static str>;

    /// Returns the state dump of the process.
    fn state(&self) -> serde_json::Value;
}

/// The diagnostic pages of one process; clones share the process.
pub struct Pages<S> {
    process: rc::Rc<S>,
    metrics: metric::Exporter,
}

impl<S> Clone for Pages<S> {
    fn clone(&self) -> Self {
        Self { process: rc::Rc::clone(&self.process), metrics: self.metrics.clone() }
    }
}

impl<S> Pages<S>
where
    S: Monitored,
{
    /// Returns the pages that show `process`.
    pub fn new(process: rc::Rc<S>, metrics: metric::Exporter) -> Self {
        Self { process, metrics }
    }

    /// Returns the response to a request for one of the pages, or `None` for any other request.
    pub fn handle(&self, request: &http::Request) -> Option<respond::Response> {
        if request.method() != http::Method::GET {
            return None;
        }
        match request.path() {
            "/health" => Some(respond::bytes(200, "text/plain", "ok\n")),
            "/ready" => Some(self.ready()),
            "/metrics" => {
                Some(respond::bytes(200, "text/plain; version=0.0.4", self.metrics.render()))
            }
            "/state" => Some(respond::json(200, &self.process.state())),
            _ => None,
        }
    }

    /// Returns the readiness page: status 200, or 503 with the reason why the process is not ready.
    pub fn ready(&self) -> respond::Response {
        match self.process.unready() {
            None => respond::bytes(200, "text/plain", "ready\n"),
            Some(reason) => respond::bytes(503, "text/plain", format!("{reason}\n")),
        }
    }
}
