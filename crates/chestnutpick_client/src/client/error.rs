//! Errors of calls.

use std::net;
use std::sync;

use snafu::Snafu;

/// Error of a call without a complete response.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The request did not reach the peer.
    #[snafu(display("{address}: not sent: {reason}"))]
    NotSent {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Description of the cause.
        reason: sync::Arc<str>,
    },
    /// The request was sent and its response was lost: the outcome is unknown.
    #[snafu(display("{address}: response lost: {reason}"))]
    Lost {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Description of the cause.
        reason: sync::Arc<str>,
    },
    /// The response, or the next piece of its body, did not arrive in time: the outcome is unknown.
    #[snafu(display("{address}: timeout: {reason}"))]
    Timeout {
        /// Address of the peer.
        address: net::SocketAddr,
        /// Description of what did not arrive.
        reason: sync::Arc<str>,
    },
}

impl CallError {
    /// Returns whether it is certain that the request did not reach the peer.
    ///
    /// ```
    /// use chestnutpick_client::client;
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// assert!(client::CallError::NotSent { address, reason: "refused".into() }.is_not_sent());
    /// assert!(!client::CallError::Lost { address, reason: "closed".into() }.is_not_sent());
    /// ```
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }

    /// Returns the error of a call that awc ended for `reason` before the head of the response arrived.
    pub(super) fn of_send(address: net::SocketAddr, reason: &awc::error::SendRequestError) -> Self {
        use awc::error::{ConnectError, SendRequestError};
        let text = reason.to_string().into();
        match reason {
            // awc reports a connection that the peer closed before the head of the response as a failure to connect,
            // although the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                let reason = "the connection was closed before a response arrived".into();
                Self::Lost { address, reason }
            }
            SendRequestError::Url(_) | SendRequestError::Connect(_) | SendRequestError::Http(_) => {
                Self::NotSent { address, reason: text }
            }
            _ => Self::Lost { address, reason: text },
        }
    }
}
