//! Construction of responses: JSON, text, streams and errors.

use actix_http as http;
use actix_http::body;
use chestnutpick_types::error;
use serde::{Deserialize, Serialize};

/// A response with a boxed body of any type.
pub type Response = http::Response<body::BoxBody>;

/// JSON form of an error, in responses and in error events of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error.
    pub error: error::ErrorKind,
    /// Whether the request ran.
    pub ran: error::Ran,
    /// Explanation for a human reader.
    pub message: String,
}

impl From<&error::Refusal> for ErrorBody {
    fn from(refusal: &error::Refusal) -> Self {
        Self {
            error: refusal.kind,
            ran: refusal.kind.response().ran,
            message: refusal.message.to_string(),
        }
    }
}

/// Returns a response with the given body.
///
/// ```
/// let response = chestnutpick_http::respond::bytes(200, "text/plain", "ok");
/// assert_eq!(response.status().as_u16(), 200);
/// ```
pub fn bytes<B>(status: u16, content_type: &'static str, content: B) -> Response
where
    B: body::MessageBody + 'static,
{
    http::Response::build(status_code(status))
        .content_type(content_type)
        .body(content)
        .map_into_boxed_body()
}

/// Returns `value` as a JSON response.
///
/// ```
/// let response = chestnutpick_http::respond::json(201, &serde_json::json!({"number": 7}));
/// assert_eq!(response.status().as_u16(), 201);
/// ```
pub fn json<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(text) => bytes(status, "application/json", text),
        Err(reason) => bytes(500, "text/plain", reason.to_string()),
    }
}

/// Returns the response to a refused request, with the status and `retry-after` header of its error kind.
///
/// ```
/// use chestnutpick_types::error;
/// let refusal = error::Refusal::new(error::ErrorKind::QueueFull, "the queue holds 100 requests");
/// let response = chestnutpick_http::respond::refusal(&refusal);
/// assert_eq!(response.headers().get("retry-after").unwrap(), "1");
/// ```
pub fn refusal(refusal: &error::Refusal) -> Response {
    let answer = refusal.kind.response();
    let mut response = json(answer.status, &ErrorBody::from(refusal));
    let seconds = match answer.retry {
        error::Retry::Never => return response,
        error::Retry::Elsewhere => 0,
        error::Retry::After(wait) => wait.0.div_ceil(1_000),
    };
    response.headers_mut().insert(http::header::RETRY_AFTER, seconds.into());
    response
}

/// Returns a response whose body is streamed.
///
/// ```
/// let (_sender, body) = chestnutpick_http::body::channel();
/// let response = chestnutpick_http::respond::stream(200, "text/event-stream", body);
/// assert_eq!(response.status().as_u16(), 200);
/// ```
pub fn stream(status: u16, content_type: &'static str, body: body::BoxBody) -> Response {
    bytes(status, content_type, body)
}

/// Sets a header, unless the value is not valid in a header.
///
/// ```
/// use chestnutpick_http::respond;
/// let mut response = respond::bytes(200, "text/plain", "ok");
/// respond::set_header(&mut response, "x-attempt-id", "a-1");
/// assert_eq!(response.headers().get("x-attempt-id").unwrap(), "a-1");
/// ```
pub fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = http::header::HeaderValue::from_str(value) {
        response.headers_mut().insert(http::header::HeaderName::from_static(name), value);
    }
}

fn status_code(status: u16) -> http::StatusCode {
    http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR)
}
