//! Client of the control protocol.

use std::net::SocketAddr;
use std::time;

use actix_rt::net;
use actix_rt::task;
use bytes::Bytes;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use chestnutpick_types::id;
use chestnutpick_types::time as types_time;
use futures::AsyncReadExt;
use snafu::Snafu;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::message;
use crate::node_capnp;
use crate::node_capnp::node;

/// Error of a call.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display("cannot connect to {address}: {reason}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
    /// No response arrived within the deadline.
    #[snafu(display("no answer from {address} within {} ms", deadline.as_millis()))]
    Deadline {
        /// Address of the peer.
        address: SocketAddr,
        /// Deadline of the call.
        deadline: time::Duration,
    },
    /// The connection failed, or the response is malformed.
    #[snafu(display("call to {address} failed: {reason}"))]
    Failed {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the cause.
        reason: String,
    },
}

/// A connection to one process, which is closed on drop.
pub struct Connection {
    address: SocketAddr,
    deadline: time::Duration,
    node: node::Client,
    driver: task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to `address`. `deadline` applies to connecting and to each call.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] or [`CallError::Deadline`].
    pub async fn open(address: SocketAddr, deadline: time::Duration) -> Result<Self, CallError> {
        let connecting = net::TcpStream::connect(address);
        let connection = match actix_rt::time::timeout(deadline, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(reason)) => return ConnectSnafu { address, reason: reason.to_string() }.fail(),
            Err(_) => return DeadlineSnafu { address, deadline }.fail(),
        };
        let _ = connection.set_nodelay(true);
        let (reader, writer) = TokioAsyncReadCompatExt::compat(connection).split();
        let network = twoparty::VatNetwork::new(
            futures::io::BufReader::new(reader),
            futures::io::BufWriter::new(writer),
            rpc_twoparty_capnp::Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let node = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let driver = actix_rt::spawn(async move {
            // The error is ignored here, because the calls in progress report it.
            let _ = system.await;
        });
        Ok(Self { address, deadline, node, driver })
    }

    /// Sends a heartbeat and returns the peer's report.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Deadline`] or [`CallError::Failed`]; the connection must then be replaced.
    pub async fn heartbeat(
        &self,
        heartbeat: &message::Heartbeat,
    ) -> Result<message::Report, CallError> {
        let mut request = self.node.heartbeat_request();
        request.get().set_sender(heartbeat.sender.as_str());
        request.get().set_revision(heartbeat.revision);
        let suspects = request.get().init_suspects(message::index(heartbeat.suspects.len()));
        message::write_suspects(suspects, &heartbeat.suspects);
        let permits = request.get().init_permits(message::index(heartbeat.permits.len()));
        message::write_digests(permits, &heartbeat.permits);
        let response = self.with_deadline(request.send().promise).await?;
        let read = || message::read_report(response.get()?.get_report()?);
        read().map_err(|reason| self.failed(&reason))
    }

    /// Offers a configuration document. Returns the revision in force at the peer afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Deadline`] or [`CallError::Failed`]; the connection must then be replaced.
    pub async fn put_config(&self, revision: u64, document: &[u8]) -> Result<u64, CallError> {
        let mut request = self.node.put_config_request();
        request.get().set_revision(revision);
        request.get().set_document(document);
        let response = self.with_deadline(request.send().promise).await?;
        response.get().map(|results| results.get_revision()).map_err(|reason| self.failed(&reason))
    }

    /// Returns the revision in force at the peer and, if the revision is higher than `known_revision`, its document.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Deadline`] or [`CallError::Failed`]; the connection must then be replaced.
    pub async fn get_config(&self, known_revision: u64) -> Result<(u64, Bytes), CallError> {
        let mut request = self.node.get_config_request();
        request.get().set_known(known_revision);
        let response = self.with_deadline(request.send().promise).await?;
        let read = || {
            let results = response.get()?;
            Ok((results.get_revision(), Bytes::copy_from_slice(results.get_document()?)))
        };
        read().map_err(|reason: capnp::Error| self.failed(&reason))
    }

    /// Asks the peer for the outcome of an attempt whose claim is `claim_age` old.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Deadline`] or [`CallError::Failed`]; the connection must then be replaced.
    pub async fn settle(
        &self,
        attempt: &id::AttemptId,
        claim_age: types_time::Millis,
    ) -> Result<message::Verdict, CallError> {
        let mut request = self.node.settle_request();
        request.get().set_attempt(attempt.as_str());
        request.get().set_claim_age(claim_age.0);
        let response = self.with_deadline(request.send().promise).await?;
        let read = || {
            let results = response.get()?;
            Ok(match results.get_verdict()? {
                node_capnp::Verdict::NotRun => message::Verdict::NotRun,
                node_capnp::Verdict::Running => message::Verdict::Running,
                node_capnp::Verdict::Unknown => message::Verdict::Unknown,
                node_capnp::Verdict::Finished => message::Verdict::Finished {
                    status: results.get_status(),
                    body: Bytes::copy_from_slice(results.get_body()?),
                },
            })
        };
        read().map_err(|reason: capnp::Error| self.failed(&reason))
    }

    /// Instructs the peer to accept no new work.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Deadline`] or [`CallError::Failed`]; the connection must then be replaced.
    pub async fn drain(&self) -> Result<(), CallError> {
        self.with_deadline(self.node.drain_request().send().promise).await.map(|_| ())
    }

    async fn with_deadline<F, T>(&self, call: F) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        match actix_rt::time::timeout(self.deadline, call).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(self.failed(&reason)),
            Err(_) => DeadlineSnafu { address: self.address, deadline: self.deadline }.fail(),
        }
    }

    fn failed(&self, reason: &capnp::Error) -> CallError {
        FailedSnafu { address: self.address, reason: reason.to_string() }.build()
    }
}
