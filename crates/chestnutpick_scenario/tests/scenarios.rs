//! Runs each scenario file in a separate fleet; the comment at the head of a file names the failure it guards against.

use std::path;
use std::sync;

use chestnutpick_scenario::scenario;
use rstest::rstest;

/// Maximum number of concurrent fleets; more would slow each other down so much that time-outs expire.
const FLEETS: usize = 4;

static RUNNING: (sync::Mutex<usize>, sync::Condvar) = (sync::Mutex::new(0), sync::Condvar::new());

/// Permit to run a fleet, returned when it is dropped.
struct Permit;

impl Permit {
    fn acquire() -> Self {
        let mut running = RUNNING.0.lock().unwrap();
        while *running >= FLEETS {
            running = RUNNING.1.wait(running).unwrap();
        }
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap() -= 1;
        RUNNING.1.notify_one();
    }
}

#[rstest]
fn output_is_as_expected(#[files("tests/scenarios/*.txt")] file: path::PathBuf) {
    let _permit = Permit::acquire();
    scenario::run(&file);
}
