//! The entry against an agent whose connection carries a late second copy of an earlier response.

mod common;

use std::net::SocketAddr;

use chestnutpick_client::client::Request;
use chestnutpick_entry::{completions, node};
use chestnutpick_types::error::Ran;
use chestnutpick_types::id::AttemptId;
use chestnutpick_types::time::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Millis = Millis::from_secs(5);

/// Starts an agent that refuses the first request. On the connection of the first request, the second gets a copy of the
/// refusal; on any other connection, the outcome of a request is unknown.
async fn start_agent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let mut replies = vec![
            response(r#"{"error":"outcome_unknown","ran":"unknown","message":"second"}"#),
            response(r#"{"error":"endpoint_full","ran":"not_run","message":"first"}"#),
        ];
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let reply = replies.pop().expect("more than two connections");
            actix_rt::spawn(serve(stream, reply));
        }
    });
    address
}

fn response(body: &str) -> String {
    format!("HTTP/1.1 503 X\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Gives the same reply to every request of a connection.
async fn serve(mut stream: TcpStream, reply: String) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|len| len > 0) {
        stream.write_all(reply.as_bytes()).await.unwrap();
    }
}

async fn ran(node: &node::Node, agent: SocketAddr) -> Ran {
    let attempt = AttemptId::random();
    let mut request = Request::new("POST", "/v1/calls/ledger/buy");
    request.headers = vec![("x-attempt-id".into(), attempt.as_str().into())];
    let outcome = completions::call_agent(node, agent, request, TIMEOUT, &attempt).await;
    outcome.err().unwrap().kind.response().ran
}

/// Guards against reporting "not run" for a call that may have run, because the refusal of an earlier call arrived once
/// more.
#[test]
fn copy_of_a_refusal_does_not_refuse_the_next_call() {
    actix_rt::System::new().block_on(async move {
        let node = common::start_entry();
        let agent = start_agent().await;
        assert_eq!(ran(&node, agent).await, Ran::NotRun);
        assert_eq!(ran(&node, agent).await, Ran::Unknown);
    });
}
