//! Fleet simulation in virtual time: six entries and 60 endpoints, with reports up to one second old.

#[expect(dead_code, reason = "the test uses a part of the library")]
#[path = "../../chestnutpick_admission/src/lib.rs"]
mod admission;

#[expect(dead_code, reason = "the test uses a part of the example")]
#[path = "../examples/overload"]
mod overload {
    pub mod agent;
    pub mod entry;
    pub mod model;
    pub mod simulation;
}

use overload::model;
use overload::simulation;
use rstest::rstest;

/// Guards against entries that leave capacity unused or multiply the load under overload, that send a cold endpoint
/// more than its capacity (R2), or that fail requests for which there is capacity.
#[rstest]
#[case::overload("overload", 95, 40)]
#[case::overload_with_reports_beside_responses("overload_beside", 95, 40)]
#[case::cold("cold", 85, 0)]
fn stale_reports_keep_goodput_and_limits(
    #[case] name: &str,
    #[case] min_goodput_percent: u64,
    #[case] max_unserved_percent: u64,
) {
    let scenario = model::SCENARIOS.iter().find(|scenario| scenario.name == name).unwrap();
    let totals = simulation::Simulation::new(scenario, model::Policy::Policy, 1).run();
    assert!(
        totals.goodput * 100 >= scenario.capacity() * min_goodput_percent,
        "goodput {}",
        totals.goodput
    );
    assert!(
        totals.unserved * 100 <= totals.arrivals() * max_unserved_percent,
        "unserved {}",
        totals.unserved
    );
    assert!(totals.retries * 10 <= totals.first_attempts, "{} retries", totals.retries);
    assert_eq!(totals.excess, admission::limits::Load::default());
}
