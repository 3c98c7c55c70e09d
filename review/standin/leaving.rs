//! Case about a runner that leaves just after a watch on the store was cut.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Call};
use crate::drain;
use crate::http;
use crate::process::{self, Folder, Process, Record};
use crate::store::Store;
use crate::wire;

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the removal of the runner's entry to its exit: `drain_ms` and a little longer.
const EXIT_AFTER: Duration = Duration::from_millis(2_150);

/// Time that an order takes at a runner.
const WORK: Duration = Duration::from_millis(60);

/// Clients, each with one order at a time.
const CLIENTS: usize = 10;

/// A runner of the service, and the arrival times of the requests that it has run.
#[derive(Clone, Default)]
struct Runner {
    arrivals: Arc<Mutex<Vec<Instant>>>,
    has_exited: Arc<AtomicBool>,
}

impl Runner {
    fn serve(&self, ip: std::net::IpAddr, own: &'static str) -> SocketAddr {
        let runner = self.clone();
        http::serve(ip, move |request, stream| {
            let expected = request.header(wire::name("expected_instance"));
            if runner.has_exited.load(Ordering::SeqCst) || expected.is_some_and(|id| id != own) {
                return false;
            }
            runner.arrivals.lock().unwrap().push(Instant::now());
            thread::sleep(WORK);
            if runner.has_exited.load(Ordering::SeqCst) {
                return false; // the exit has cut the request off
            }
            let id = request.header(wire::name("request_id")).unwrap_or_default().to_owned();
            let headers = [
                (wire::name("request_id"), id.clone()),
                (wire::name("seal"), format!("seal.{id}")),
            ];
            http::respond(stream, 200, &headers, b"booked")
        })
    }

    fn arrivals_after(&self, at: Instant) -> usize {
        self.arrivals.lock().unwrap().iter().filter(|arrival| **arrival > at).count()
    }
}

/// A runner leaves without reporting that it drains: its entry is removed, just after a waiting watch was cut. Returns
/// whether DRAIN holds.
pub fn cut_watch(folder: &Folder, record: &Arc<Record>, trouble: bool) -> bool {
    let (platform, router) = (process::address(1), process::address(2));
    let (store, staying, leaving) = (Store::default(), Runner::default(), Runner::default());
    store.put(wire::name("config_key"), &drain::config());
    let key = |id: &str| format!("{}{id}", wire::name("server_key"));
    let (first, second) = ("i-7f3a91c2", "i-91c27f3a");
    let addresses = [staying.serve(platform, first), leaving.serve(platform, second)];
    let has_left = Arc::new(AtomicBool::new(false));
    for (id, address) in [first, second].into_iter().zip(addresses) {
        let (store, has_left, key) = (store.clone(), Arc::clone(&has_left), key(id));
        store.put(&key, &drain::announcement(address, 1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if id == second && has_left.load(Ordering::SeqCst) {
                    return;
                }
                store.put(&key, &drain::announcement(address, sequence));
            }
        });
    }
    let settings = process::settings(router, store.serve(platform), None);
    let _program = Process::start(folder, "chestnutpick-router", "router", &settings);
    process::wait_for_readiness(router);
    let (stop, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (stop, outcomes) = (Arc::clone(&stop), Arc::clone(&outcomes));
            thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("order-{index}-{number}");
                    let (headers, rate) = (String::new(), None);
                    let call = Call {
                        id,
                        path: "/orders/new",
                        deadline_ms: 1_500,
                        body: "{}".to_owned(),
                        headers,
                        rate,
                    };
                    let seen = client::call(router, &call);
                    outcomes.lock().unwrap().push((Instant::now(), call.id, seen.status));
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5)); // longer than stable_window_ms
    if trouble {
        store.cut_next_watch();
        process::wait_for("a watch that waits", 5, || !store.is_cut_due());
        record.add("store: a waiting watch of the router is cut");
    }
    has_left.store(true, Ordering::SeqCst);
    store.delete(&key(second));
    let removed_at = Instant::now();
    record.add(format!("store: the entry of runner {second} is removed and acknowledged"));
    thread::sleep(EXIT_AFTER);
    leaving.has_exited.store(true, Ordering::SeqCst);
    record.add(format!("runner: {second} exits"));
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let late = leaving.arrivals_after(removed_at + DRAIN);
    record.add(format!(
        "runners: {} and {} requests ran",
        staying.arrivals_after(removed_at - Duration::from_secs(60)),
        leaving.arrivals_after(removed_at - Duration::from_secs(60))
    ));
    if let Some(last) = leaving.arrivals.lock().unwrap().last() {
        record.add(format!(
            "runner: last request reached {second} {:?} after the removal",
            last.duration_since(removed_at)
        ));
    }
    for (at, id, status) in
        outcomes.lock().unwrap().iter().filter(|(at, _, status)| *at > removed_at && *status != 200)
    {
        record.add(format!(
            "client: {id} ended with status {status}, {:?} after the removal",
            at.duration_since(removed_at)
        ));
    }
    record.add(format!(
        "runner: {late} requests reached {second} later than {DRAIN:?} after the removal"
    ));
    late == 0
}
