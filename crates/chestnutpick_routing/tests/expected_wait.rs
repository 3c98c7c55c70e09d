//! Early refusals by the expected wait.

use chestnutpick_routing::queue;
use chestnutpick_types::{size, time};

/// Guards against refusals at the start of a rollout: the first engines are cold and loading, requests wait for some
/// hundred milliseconds before the first is served, and no rate is known by which a deadline of 30 s is too short.
#[test]
fn nothing_is_refused_early_before_the_first_request_is_served() {
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
    // 52 tokens in 1,000 ms are known now; 1,100 ms were spent with requests waiting.
    let workspace = "bench".parse().unwrap();
    let wait = queue.expected_wait(time::Millis(1_100), &workspace, queue::Priority::Normal);
    assert_eq!(wait, time::Millis(1_100));
}
