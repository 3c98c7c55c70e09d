//! Orders of an agent that was suspended while it confirmed its fencing epoch.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use chestnutpick_agent::{fence, node, settings};
use chestnutpick_settings::file;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;

const EPOCH: u64 = 1;

fn start_agent(store: SocketAddr) -> node::Node {
    let text = format!(
        r#"
        host = "h1"
        zone = "lima"
        region = "coast"
        listen = "127.0.0.1:0"
        control = "127.0.0.1:0"
        [platform]
        store = "{store}"
        hosts = "127.0.0.1:1"
        origin = "127.0.0.1:1"
        origin_region = "coast"
        [endpoint]
        kind = "engine"
        address = "127.0.0.1:1"
        slots = 1
        memory_tokens = 1000
        cold_slots = 1
        fencing = false
        "#
    );
    let settings = file::parse::<settings::Settings>(Path::new("agent.toml"), &text).unwrap();
    node::Node::new(settings)
}

/// Starts a store that holds the epoch `EPOCH` and notifies `answered` after each response.
async fn start_store(answered: Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4096]).await;
            let response =
                format!("HTTP/1.1 200 OK\r\nx-revision: 1\r\ncontent-length: 1\r\n\r\n{EPOCH}");
            stream.write_all(response.as_bytes()).await.unwrap();
            answered.notify_one();
        }
    });
    address
}

/// Guards against an order on a confirmation that the store gave before the agent was suspended: its successor may have
/// taken the next epoch meanwhile.
#[rstest]
#[case::awake(Duration::ZERO, true)]
#[case::suspended(Duration::from_secs(3), false)]
fn old_confirmation_permits_no_order(#[case] suspension: Duration, #[case] permitted: bool) {
    actix_rt::System::new().block_on(async move {
        let answered = Rc::new(Notify::new());
        let node = start_agent(start_store(Rc::clone(&answered)).await);
        node.epoch.set(Some(EPOCH));
        let outcome = Cell::new(None);
        let ordering = async { outcome.set(Some(fence::may_order(&node).await)) };
        // A thread that sleeps polls nothing, as one that is suspended, while the response waits in its socket.
        let suspending = async {
            answered.notified().await;
            assert_eq!(outcome.get(), None);
            thread::sleep(suspension);
        };
        futures::join!(suspending, ordering);
        assert_eq!(outcome.get(), Some(permitted));
    });
}
