//! Interface to callers and endpoints: the headers of requests and responses.

use std::sync;

use actix_http::header;
use chestnutpick_client::client;
use chestnutpick_types::{id, rate, time};

use crate::endpoint;
use crate::pace;

/// Fields of a caller's request headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// Caller's id of this attempt.
    pub request_id: sync::Arc<str>,
    /// Time that the caller waits for the response, if stated.
    pub deadline: Option<time::Millis>,
    /// API key of the caller, if sent.
    pub key: Option<sync::Arc<str>>,
    /// Prompt tokens and maximum number of output tokens.
    pub tokens: Option<(u32, u32)>,
    /// Caller's estimate of the output tokens, which is often far off.
    pub length_hint: Option<u32>,
    /// Id of the last event that the caller received of an interrupted stream.
    pub last_event: Option<u64>,
    /// Ids of the parts of the prompt that other requests share, in order.
    pub prompt_parts: Vec<sync::Arc<str>>,
}

/// Lowest urgency.
pub const LEAST_URGENT: u8 = 9;

/// Fields that the router adds to a request to an endpoint.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// Endpoint that must run the request; any other endpoint must refuse it.
    pub endpoint: &'a endpoint::Endpoint,
    /// Time left until the caller's deadline.
    pub deadline: time::Millis,
    /// Workspace to which the caller's key belongs.
    pub workspace: Option<&'a str>,
    /// Version of the weights that must serve the request; an endpoint with another version must refuse it.
    pub version: Option<u64>,
    /// Urgency in the endpoint's queue, from 0 (most urgent) to [`LEAST_URGENT`].
    pub urgency: u8,
    /// Event after which a resumed stream continues; replaces the caller's own value.
    pub last_event: Option<u64>,
}

/// Load that an endpoint states in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run at the same time, if stated.
    pub slots: Option<u32>,
    /// Pace of the endpoint's host at the time of the response, if stated.
    pub pace: Option<pace::Pace>,
}

/// Fields of an endpoint's response headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseHead {
    /// Id of the request that the response answers.
    pub request_id: Option<sync::Arc<str>>,
    /// Whether the response carries the endpoint's seal.
    pub sealed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Load of the endpoint.
    pub load: Option<Load>,
    /// Remaining time of the endpoint's cold start.
    pub cold: Option<time::Millis>,
    /// Version of the weights that served the request.
    pub version: Option<u64>,
    /// Whether the body is a stream of events.
    pub is_stream: bool,
    /// Whether the body has a content encoding, which endpoints never apply.
    pub encoded: bool,
    /// Whether the endpoint states that it is about to leave and accepts no new requests.
    pub draining: bool,
    /// Requests per second that the endpoint takes from all routers together, if it names a limit.
    pub limit: Option<rate::RequestsPerSec>,
    /// Time for which a refusing endpoint wants no further requests from this process.
    pub retry_after: Option<time::Millis>,
}

/// The platform's header format.
pub trait Codec {
    /// Parses the headers of a caller's request. Returns `None` if the request has no id.
    fn request_head(&self, headers: &header::HeaderMap) -> Option<RequestHead>;

    /// Returns the headers of a request to an endpoint.
    fn request_headers(
        &self,
        headers: &header::HeaderMap,
        forward: &Forward<'_>,
    ) -> Vec<client::Header>;

    /// Parses the headers of an endpoint's response.
    fn response_head(&self, headers: &[client::Header]) -> ResponseHead;

    /// Returns the headers of the response to the caller.
    fn response_headers(&self, headers: &[client::Header]) -> Vec<client::Header>;

    /// Returns whether `path` is the path of the readiness check.
    fn is_readiness(&self, path: &str) -> bool;

    /// Returns the endpoint's id from the headers of its response.
    fn endpoint_id(&self, headers: &[client::Header]) -> Option<id::EndpointId>;
}
