//! The edge to callers and endpoints: the heads of requests and responses.

use std::sync;

use actix_http::header;
use chestnutpick_client::client;
use chestnutpick_types::{id, time};

use crate::endpoint;

/// What a caller says of its request in headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// The caller's id of this attempt.
    pub request_id: sync::Arc<str>,
    /// How long the caller waits, if it says so.
    pub deadline: Option<time::Millis>,
    /// The caller's key, if it shows one.
    pub key: Option<sync::Arc<str>>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<(u32, u32)>,
    /// The caller's estimate of output tokens, which is often far off.
    pub length_hint: Option<u32>,
    /// The last event that the caller has of a stream that broke off.
    pub last_event: Option<u64>,
}

/// The last rank of urgency.
pub const LEAST_URGENT: u8 = 9;

/// What is added to a request on its way to an endpoint.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// The endpoint that is to run it; any other must refuse.
    pub endpoint: &'a endpoint::Endpoint,
    /// Time that is left.
    pub deadline: time::Millis,
    /// The workspace whose key the caller has shown.
    pub workspace: Option<&'a str>,
    /// Version of the weights on which it is to run; any other must refuse.
    pub version: Option<u64>,
    /// Urgency in the endpoint's queue, from 0, which is first, to [`LEAST_URGENT`].
    pub urgency: u8,
    /// The event after which a stream goes on, in place of the caller's.
    pub last_event: Option<u64>,
}

/// What an endpoint says of its response in headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseHead {
    /// The id of the request that it answers.
    pub request_id: Option<sync::Arc<str>>,
    /// Whether the endpoint vouches for the response.
    pub sealed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Running and waiting requests.
    pub load: Option<(u32, u32)>,
    /// Time for which the endpoint stays cold.
    pub cold: Option<time::Millis>,
    /// Version of the weights.
    pub version: Option<u64>,
    /// Whether the body is a stream of events.
    pub is_stream: bool,
    /// Whether the body is encoded, and so is not what the endpoint made.
    pub encoded: bool,
}

/// A platform's headers.
pub trait Codec {
    /// Reads the head of a caller's request; nothing if it carries no id.
    fn request_head(&self, headers: &header::HeaderMap) -> Option<RequestHead>;

    /// Returns the headers of a request to an endpoint.
    fn request_headers(
        &self,
        headers: &header::HeaderMap,
        forward: &Forward<'_>,
    ) -> Vec<client::Header>;

    /// Reads the head of an endpoint's response.
    fn response_head(&self, headers: &[client::Header]) -> ResponseHead;

    /// Returns the headers that go back to the caller.
    fn response_headers(&self, headers: &[client::Header]) -> Vec<client::Header>;

    /// Returns whether a path asks whether the process is ready.
    fn is_readiness(&self, path: &str) -> bool;

    /// Returns an endpoint's id as its answers carry it.
    fn endpoint_id(&self, headers: &[client::Header]) -> Option<id::EndpointId>;
}
