//! Runs each scenario file in a fleet of its own; each file says which failure it guards against.

use std::path;
use std::sync;

use chestnutpick_scenario::scenario;
use rstest::rstest;

/// Fleets at a time; more of them delay each other so much that their timeouts pass.
const FLEETS: usize = 4;

static RUNNING: (sync::Mutex<usize>, sync::Condvar) = (sync::Mutex::new(0), sync::Condvar::new());

/// One of the places for fleets; free again when it is dropped.
struct Place;

impl Place {
    fn take() -> Self {
        let mut running = RUNNING.0.lock().unwrap();
        while *running >= FLEETS {
            running = RUNNING.1.wait(running).unwrap();
        }
        *running += 1;
        Self
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap() -= 1;
        RUNNING.1.notify_one();
    }
}

#[rstest]
fn output_is_as_expected(#[files("tests/scenarios/*.txt")] file: path::PathBuf) {
    let _place = Place::take();
    scenario::run(&file);
}
