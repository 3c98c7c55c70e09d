//! Early refusals based on the expected wait.

use chestnutpick_routing::queue;
use chestnutpick_types::{size, time};

/// Guards against early refusals at the start of a rollout. The first engines are cold and loading, so requests wait
/// some hundred milliseconds before the first one is served. Until then no rate has been measured, so a deadline of 30
/// s must not be refused as too short.
#[test]
fn no_early_refusal_before_the_first_request_is_served() {
    let settings = queue::Settings { max_len: 10, max_total: 10 };
    let mut queue = queue::Queue::new(settings);
    let request = |item| queue::Request {
        workspace: "bench".parse().unwrap(),
        priority: queue::Priority::Normal,
        cost: size::Tokens(52),
        deadline: Some(time::Millis(30_000)),
        item,
    };
    queue.push(time::Millis(0), request(1)).unwrap();
    queue.push(time::Millis(900), request(2)).unwrap();
    assert_eq!(queue.pop(time::Millis(1_000)), Some(1));
    // The measured rate is 52 tokens in 1,000 ms; requests have been waiting for 1,100 ms in total.
    let workspace = "bench".parse().unwrap();
    let wait = queue.expected_wait(time::Millis(1_100), &workspace, queue::Priority::Normal);
    assert_eq!(wait, time::Millis(1_100));
}
