//! Server of the control protocol.

use std::rc;

use actix_rt::net;
use bytes::Bytes;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use chestnutpick_types::id;
use chestnutpick_types::time;
use futures::AsyncReadExt;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::sync;

use crate::message;
use crate::node_capnp::node;

/// Implementation of the protocol's calls. Each call returns without waiting for I/O.
pub trait Handler {
    /// Processes a heartbeat and returns this process's report.
    fn heartbeat(&self, heartbeat: message::Heartbeat) -> message::Report;

    /// Processes a configuration document and returns the revision in force afterwards.
    fn put_config(&self, revision: u64, document: Bytes) -> u64;

    /// Returns the revision in force and its document, which may be empty unless the revision is higher than
    /// `known_revision`.
    fn get_config(&self, known_revision: u64) -> (u64, Bytes);

    /// Returns the outcome of an attempt whose claim is `claim_age` old.
    fn settle(&self, attempt: id::AttemptId, claim_age: time::Millis) -> message::Verdict;

    /// Stops taking new work.
    fn drain(&self);
}

struct Node<H>(rc::Rc<H>);

impl<H> node::Server for Node<H>
where
    H: Handler + 'static,
{
    async fn heartbeat(
        self: rc::Rc<Self>,
        params: node::HeartbeatParams,
        mut results: node::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let heartbeat = message::Heartbeat {
            sender: message::parse(params.get_sender()?)?,
            revision: params.get_revision(),
            suspects: message::read_suspects(params.get_suspects()?)?,
            permits: message::read_digests(params.get_permits()?)?,
        };
        let report = self.0.heartbeat(heartbeat);
        message::write_report(results.get().init_report(), &report);
        Ok(())
    }

    async fn put_config(
        self: rc::Rc<Self>,
        params: node::PutConfigParams,
        mut results: node::PutConfigResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let document = Bytes::copy_from_slice(params.get_document()?);
        let revision = self.0.put_config(params.get_revision(), document);
        results.get().set_revision(revision);
        Ok(())
    }

    async fn get_config(
        self: rc::Rc<Self>,
        params: node::GetConfigParams,
        mut results: node::GetConfigResults,
    ) -> Result<(), capnp::Error> {
        let (revision, document) = self.0.get_config(params.get()?.get_known());
        results.get().set_revision(revision);
        results.get().set_document(&document);
        Ok(())
    }

    async fn drain(
        self: rc::Rc<Self>,
        _: node::DrainParams,
        _: node::DrainResults,
    ) -> Result<(), capnp::Error> {
        self.0.drain();
        Ok(())
    }

    async fn settle(
        self: rc::Rc<Self>,
        params: node::SettleParams,
        mut results: node::SettleResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let attempt = message::parse(params.get_attempt()?)?;
        let verdict = self.0.settle(attempt, time::Millis(params.get_claim_age()));
        let mut results = results.get();
        match verdict {
            message::Verdict::NotRun => results.set_verdict(crate::node_capnp::Verdict::NotRun),
            message::Verdict::Running => results.set_verdict(crate::node_capnp::Verdict::Running),
            message::Verdict::Unknown => results.set_verdict(crate::node_capnp::Verdict::Unknown),
            message::Verdict::Finished { status, body } => {
                results.set_verdict(crate::node_capnp::Verdict::Finished);
                results.set_status(status);
                results.set_body(&body);
            }
        }
        Ok(())
    }
}

/// Serves connections until `stop` is cancelled, which also closes the open connections.
pub async fn serve<H>(listener: net::TcpListener, stop: sync::CancellationToken, handler: rc::Rc<H>)
where
    H: Handler + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((connection, _)) = accepted else {
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let system = system(connection, rc::Rc::clone(&handler));
        let stop = stop.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                _ = system => {}
            }
        });
    }
}

fn system<H>(connection: net::TcpStream, handler: rc::Rc<H>) -> RpcSystem<rpc_twoparty_capnp::Side>
where
    H: Handler + 'static,
{
    // Heartbeats are small and must not be delayed until more data is sent. If this fails, only the latency is higher.
    let _ = connection.set_nodelay(true);
    let (reader, writer) = TokioAsyncReadCompatExt::compat(connection).split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        rpc_twoparty_capnp::Side::Server,
        Default::default(),
    );
    let client: node::Client = capnp_rpc::new_client(Node(handler));
    RpcSystem::new(Box::new(network), Some(client.client))
}
