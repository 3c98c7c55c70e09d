//! When callers whose request was refused for lack of room should return.

use chestnutpick_router::urgency;
use chestnutpick_router::urgency::retry;
use chestnutpick_types::time::Millis;
use rstest::rstest;

const DEADLINE: Millis = Millis(6_000);

/// Returns the earliest and the latest wait.
fn range(unserved_share: f64, excess: Millis, pause: Millis, time_left: Millis) -> (u64, u64) {
    let shortage = retry::Shortage { unserved_share, excess };
    let wait = |random| retry::wait(shortage, pause, time_left, random).0;
    (wait(0.0), wait(1.0))
}

/// Guards against waits that callers do not honour, and against callers that return all at one moment.
#[rstest]
fn waits_are_honoured_and_spread(
    #[values(0.0, 0.05, 0.3, 0.6, 1.0)] unserved_share: f64,
    #[values(0, 300, 9_000)] excess: u64,
    #[values(0, 500, 60_000)] pause: u64,
    #[values(90, 1_000, 6_000)] time_left: u64,
) {
    let (earliest, latest) =
        range(unserved_share, Millis(excess), Millis(pause), Millis(time_left));
    assert!(latest <= time_left / 3, "{latest}");
    // A least wait just below the longest one leaves little to spread.
    let least = excess.max(pause).max(40);
    if least <= time_left / 5 || least >= time_left / 3 {
        assert!(latest * 4 >= earliest * 5, "{earliest} to {latest}");
    }
}

/// Guards against callers that return before there is room: before the pause of all endpoints ends, or before the queues have
/// shrunk to the limit.
#[rstest]
#[case::pause(Millis::ZERO, Millis(900), 900)]
#[case::excess(Millis(300), Millis::ZERO, 300)]
#[case::neither(Millis::ZERO, Millis::ZERO, 40)]
fn wait_lasts_until_there_is_room(
    #[case] excess: Millis,
    #[case] pause: Millis,
    #[case] least: u64,
    #[values(0.0, 0.3, 1.0)] unserved_share: f64,
) {
    let (earliest, _) = range(unserved_share, excess, pause, DEADLINE);
    assert!(earliest >= least, "{earliest}");
}

/// Guards against long waits for callers that are likely to find room at once, and against short ones while most requests are
/// refused.
#[test]
fn wait_grows_with_the_share_of_refused_requests() {
    let latest = |share| range(share, Millis::ZERO, Millis::ZERO, DEADLINE).1;
    let waits = [0.05, 0.2, 0.3, 0.4, 0.6].map(latest);
    assert!(waits[0] < 100 && waits[4] >= 1_900, "{waits:?}");
    assert!(waits.is_sorted_by(|shorter, longer| shorter < longer), "{waits:?}");
}

/// Wait of callers that were refused because no endpoint holds the required version, before it depended on the share of refused
/// requests.
const LOADING_WAIT: Millis = Millis(800);

/// Guards against callers that return again before any engine has loaded the required version, which took 6 s.
#[test]
fn fewer_requests_return_during_a_change_of_weights() {
    const CHANGE: (u64, u64) = (2_000, 8_000);
    const INTERVAL: usize = 50;
    let (mut urgency, service) = (urgency::Urgency::default(), "llm".parse().unwrap());
    let (mut before, mut after) = (0, 0);
    for now in (0..CHANGE.1).step_by(INTERVAL) {
        let is_refused = now >= CHANGE.0;
        let decision =
            if is_refused { urgency::Decision::Unserved } else { urgency::Decision::Accepted };
        urgency.on_decision(Millis(now), &service, 1, Millis(500), decision);
        if is_refused {
            let shortage = urgency.shortage(Millis(now), &service, 1);
            let random = (now / INTERVAL as u64 % 10) as f64 / 10.0;
            let wait = retry::wait_at_least(LOADING_WAIT, shortage, DEADLINE, random);
            before += u32::from(now + LOADING_WAIT.0 < CHANGE.1);
            after += u32::from(now + wait.0 < CHANGE.1);
        }
    }
    println!("{after} of {before} return during the change");
    assert!(f64::from(after) < 0.9 * f64::from(before), "{after} of {before}");
}
