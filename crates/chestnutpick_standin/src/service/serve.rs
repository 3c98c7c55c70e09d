//! HTTP interface of the plain service.

use std::cell;
use std::rc;

use actix_http as http;
use chestnutpick_http::{request, respond};
use chestnutpick_types::id;
use chestnutpick_types::size;
use chestnutpick_types::time::Millis;
use futures::future::{FutureExt, LocalBoxFuture};

use crate::fault;
use crate::serve;
use crate::service::Settings;
use crate::service::state::{Faults, State};

/// Maximum size of the body of a call.
const BODY_LIMIT: size::Bytes = size::Bytes::from_mib(16);

/// HTTP handler of the services.
pub struct Service {
    state: cell::RefCell<State>,
    delay: Millis,
}

impl Service {
    /// Returns services without records.
    ///
    /// ```
    /// use chestnutpick_standin::service;
    /// let _service = service::serve::Service::new(&service::Settings::default());
    /// ```
    pub fn new(settings: &Settings) -> Self {
        let delay = Millis(settings.service_ms);
        Self { state: cell::RefCell::new(State::default()), delay }
    }

    async fn route(&self, mut request: http::Request) -> respond::Response {
        let path = request.path().to_owned();
        let Some((service, rest)) = path.strip_prefix("/v1/").and_then(|path| path.split_once('/'))
        else {
            return serve::not_found();
        };
        let service = match service.parse::<id::ServiceId>() {
            Ok(service) => service,
            Err(reason) => return serve::invalid_request(reason.to_string()),
        };
        match (request.method().as_str(), rest) {
            ("GET", "records") => respond::json(200, &self.state.borrow_mut().records(&service)),
            ("POST", _) => self.execute(&mut request, service).await,
            _ => serve::not_found(),
        }
    }

    async fn execute(
        &self,
        request: &mut http::Request,
        service: id::ServiceId,
    ) -> respond::Response {
        let key = request::header(request, "idempotency-key").unwrap_or_default().to_owned();
        let body = match request::read_body(request, BODY_LIMIT).await {
            Ok(body) => body,
            Err(refusal) => return respond::refusal(&refusal),
        };
        let (number, lost) = self.state.borrow_mut().execute(service, &key, &body);
        // The call takes effect before the delay, so that a call whose caller gives up has nevertheless been executed.
        actix_rt::time::sleep(self.delay.to_duration()).await;
        if lost {
            return fault::closed_connection();
        }
        respond::json(201, &serde_json::json!({ "number": number }))
    }
}

impl serve::Handler for Service {
    type Faults = Faults;

    fn set_faults(&self, faults: Faults) {
        self.state.borrow_mut().set_faults(faults);
    }

    fn stats(&self) -> serde_json::Value {
        serde_json::json!(self.state.borrow().stats())
    }

    fn handle(
        self: rc::Rc<Self>,
        request: http::Request,
        _context: serve::Context,
    ) -> LocalBoxFuture<'static, respond::Response> {
        async move { self.route(request).await }.boxed_local()
    }
}
