//! HTTP interface of the host list.

use std::cell;
use std::rc;

use actix_http as http;
use chestnutpick_client::hosts::HostRecord;
use chestnutpick_http::{request, respond};
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};

use crate::hosts::Settings;
use crate::hosts::state::{Faults, State};
use crate::serve;

/// Maximum size of the body of a change.
const RECORD_LIMIT: size::Bytes = size::Bytes(64 << 10);

/// HTTP handler of the host list.
pub struct Hosts {
    state: cell::RefCell<State>,
}

impl Hosts {
    /// Returns a list with the hosts of the settings.
    ///
    /// ```
    /// use chestnutpick_standin::hosts;
    /// let _hosts = hosts::serve::Hosts::new(&hosts::Settings::default());
    /// ```
    pub fn new(settings: &Settings) -> Self {
        Self { state: cell::RefCell::new(State::new(settings)) }
    }

    async fn route(
        &self,
        mut request: http::Request,
        context: serve::Context,
    ) -> respond::Response {
        let now = context.clock.now();
        let path = request.path().to_owned();
        if path == "/v1/hosts" && request.method() == http::Method::GET {
            return respond::json(200, &self.state.borrow_mut().list(now));
        }
        let host = path.strip_prefix("/v1/hosts/").map(str::parse::<id::HostId>);
        match (host, request.method().as_str()) {
            (Some(Ok(host)), "PUT") => self.put(&mut request, &host, now).await,
            (Some(Ok(host)), "DELETE") => match self.state.borrow_mut().delete(now, &host) {
                true => respond::json(200, &serde_json::json!({})),
                false => serve::not_found(),
            },
            (Some(Err(reason)), _) => serve::invalid_request(reason.to_string()),
            _ => serve::not_found(),
        }
    }

    async fn put(
        &self,
        request: &mut http::Request,
        host: &id::HostId,
        now: Millis,
    ) -> respond::Response {
        let body = match request::read_body(request, RECORD_LIMIT).await {
            Ok(body) => body,
            Err(refusal) => return respond::refusal(&refusal),
        };
        match serde_json::from_slice::<HostRecord>(&body) {
            Ok(record) if record.host == *host => {
                self.state.borrow_mut().put(now, record);
                respond::json(200, &serde_json::json!({}))
            }
            Ok(record) => {
                serve::invalid_request(format!("the body names the host {}", record.host))
            }
            Err(reason) => serve::invalid_request(reason.to_string()),
        }
    }
}

impl serve::Handler for Hosts {
    type Faults = Faults;

    fn set_faults(&self, faults: Faults) {
        self.state.borrow_mut().set_faults(faults);
    }

    fn stats(&self) -> serde_json::Value {
        serde_json::json!(self.state.borrow().stats())
    }

    fn is_exempt(&self, method: &http::Method, path: &str) -> bool {
        path.starts_with("/v1/hosts/")
            && (method == http::Method::PUT || method == http::Method::DELETE)
    }

    fn handle(
        self: rc::Rc<Self>,
        request: http::Request,
        context: serve::Context,
    ) -> LocalBoxFuture<'static, respond::Response> {
        async move { self.route(request, context).await }.boxed_local()
    }
}
