//! Settlement of a claim by an entry that was suspended meanwhile.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use chestnutpick_claims::event::Verdict;
use chestnutpick_client::hosts::{HostRecord, Role, State};
use chestnutpick_entry::{claims, node};
use chestnutpick_rpc::{message, server};
use chestnutpick_types::id::AttemptId;
use chestnutpick_types::time::{self, Millis};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

/// Longer than an entry waits for an agent.
const SUSPENSION: Duration = Duration::from_secs(3);

/// Agent that says of every attempt that it has not run.
#[derive(Default)]
struct Agent {
    /// Time that passes before an answer.
    delay: Cell<Duration>,
    ages: RefCell<Vec<Millis>>,
}

impl server::Handler for Agent {
    fn heartbeat(&self, _heartbeat: message::Heartbeat) -> message::Report {
        unreachable!("the entry sends no heartbeats here")
    }

    fn put_config(&self, revision: u64, _document: Bytes) -> u64 {
        revision
    }

    fn get_config(&self, known: u64) -> (u64, Bytes) {
        (known, Bytes::new())
    }

    fn settle(&self, _attempt: AttemptId, claim_age: Millis) -> message::Verdict {
        self.ages.borrow_mut().push(claim_age);
        thread::sleep(self.delay.get());
        message::Verdict::NotRun
    }

    fn drain(&self) {}
}

fn start_entry(control: SocketAddr) -> node::Node {
    let node = common::start_entry();
    let record = HostRecord {
        host: "h2".parse().unwrap(),
        zone: "lima".parse().unwrap(),
        region: "coast".parse().unwrap(),
        role: Role::Service,
        http: control,
        control,
        state: State::Live,
    };
    node.hosts.borrow_mut().insert(record.host.clone(), record);
    node
}

/// Settles an attempt that was claimed now, while all threads are suspended for `opening` as the connection is opened
/// and for `answering` before the agent answers. Returns the verdict and the age of the claim by the entry's word.
fn settle(opening: Duration, answering: Duration) -> (Verdict, Millis) {
    actix_rt::System::new().block_on(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let node = start_entry(listener.local_addr().unwrap());
        let agent = Rc::new(Agent::default());
        agent.delay.set(answering);
        actix_rt::spawn(server::serve(listener, CancellationToken::new(), Rc::clone(&agent)));
        let (attempt, host) = (AttemptId::random(), "h2".parse().unwrap());
        let asking = claims::ask_verdict(&node, &attempt, &host, time::unix_now());
        let (verdict, ()) = futures::join!(asking, async { thread::sleep(opening) });
        let age = agent.ages.borrow()[0];
        (verdict, age)
    })
}

/// Guards against "not run" from an agent that started after the claim, because the entry was suspended between working
/// out the age of the claim and sending it.
#[rstest]
#[case::awake(Duration::ZERO, Duration::ZERO, true)]
#[case::suspended_before_the_call(SUSPENSION, Duration::ZERO, true)]
#[case::suspended_during_the_call(Duration::ZERO, SUSPENSION, false)]
fn age_of_a_claim_counts_suspensions(
    #[case] opening: Duration,
    #[case] answering: Duration,
    #[case] accepted: bool,
) {
    let (verdict, age) = settle(opening, answering);
    assert_eq!(matches!(verdict, Verdict::NotRun), accepted, "{verdict:?}");
    assert!(age.to_duration() >= opening, "{age}");
}
