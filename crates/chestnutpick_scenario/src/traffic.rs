//! Background requests whose responses are verified and counted.
//!
//! The requests run on a separate thread, so that starting and stopping processes does not delay them. The thread
//! replaces the platform's load balancer: it sends to the entries that report ready, round-robin.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::sync::{self, atomic};
use std::thread;
use std::time;

use chestnutpick_client::client;
use chestnutpick_types::digest;
use futures::future;

use crate::caller;

/// Interval between readiness checks of the entries; shorter than the entries' drain delay in a fleet.
const READY_POLL: time::Duration = time::Duration::from_millis(20);

/// Time-out of a readiness check.
const READY_TIMEOUT: chestnutpick_types::time::Millis = chestnutpick_types::time::Millis(500);

/// Delay before a purchase is retried while its idempotency key is in use.
const PENDING_DELAY: time::Duration = time::Duration::from_millis(100);

/// Maximum number of failures whose text is kept.
const MAX_FAILURES: usize = 20;

/// Destinations of the requests and the versions that may answer, shared with the sending thread.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    /// Addresses of the entries.
    pub entries: Vec<net::SocketAddr>,
    /// Version digest and content digest of each version that may answer.
    pub contents: Vec<(digest::Digest, digest::Digest)>,
}

/// Kinds and amounts of requests to send.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Workspace of the requests.
    pub workspace: String,
    /// Concurrent completions.
    pub completions: usize,
    /// Tokens per completion.
    pub tokens: u64,
    /// Concurrent reads of plain services.
    pub reads: usize,
    /// Concurrent purchases; each is sent through two entries at once.
    pub purchases: usize,
    /// Plain services to call.
    pub services: Vec<String>,
    /// Pause between two requests of the same worker.
    pub pause: time::Duration,
}

/// Outcomes of the requests.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Complete completions in which every token was right.
    pub completions: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Responses to purchases, two for each purchase.
    pub answers: u64,
    /// Service and idempotency key of each purchase that was sent.
    pub purchases: Vec<(String, String)>,
    /// Refused and failed requests by kind of error.
    pub refused: BTreeMap<String, u64>,
    /// Responses that were interrupted, or whose stream ended without a correct end marker.
    pub cut: u64,
    /// Completions with a token that the weights do not generate.
    pub mixed: u64,
    /// Texts of the first failures, up to `MAX_FAILURES`.
    pub failures: Vec<String>,
}

impl Counts {
    /// Returns the number of requests that were served.
    pub fn served(&self) -> u64 {
        self.completions + self.reads + self.answers
    }

    /// Returns the number of requests that were refused or failed.
    pub fn refused(&self) -> u64 {
        self.refused.values().sum()
    }

    fn record_failure(&mut self, request: &str, error: &caller::Error) {
        match error {
            caller::Error::Refused { kind, .. } => {
                *self.refused.entry(kind.clone()).or_default() += 1;
            }
            caller::Error::Unreachable { .. } => {
                *self.refused.entry("unreachable".to_owned()).or_default() += 1;
            }
            caller::Error::Interrupted { .. } => self.cut += 1,
            caller::Error::WrongToken { .. } => self.mixed += 1,
        }
        if self.failures.len() < MAX_FAILURES {
            self.failures.push(format!("{request}: {error}"));
        }
    }
}

/// Background requests that run until they are stopped.
pub struct Traffic {
    /// Destinations, which may change while requests are sent.
    pub targets: sync::Arc<sync::Mutex<Targets>>,
    counts: sync::Arc<sync::Mutex<Counts>>,
    stop: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Traffic {
    /// Starts the sending thread.
    pub fn start(settings: Settings, targets: Targets) -> Self {
        let targets = sync::Arc::new(sync::Mutex::new(targets));
        let counts = sync::Arc::<sync::Mutex<Counts>>::default();
        let stop = sync::Arc::<atomic::AtomicBool>::default();
        let (shared, counted, stopped) = (targets.clone(), counts.clone(), stop.clone());
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(send_all(settings, shared, counted, stopped));
        });
        Self { targets, counts, stop, thread: Some(thread) }
    }

    /// Returns the outcomes so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }

    /// Stops sending, waits for the requests in flight, and returns all outcomes.
    pub fn stop(mut self) -> Counts {
        self.join();
        self.counts()
    }

    fn join(&mut self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread; the counts cover the requests until then.
            let _ = thread.join();
        }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
    }
}

fn lock<T>(shared: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

struct Sender {
    client: client::Client,
    settings: Settings,
    targets: sync::Arc<sync::Mutex<Targets>>,
    counts: sync::Arc<sync::Mutex<Counts>>,
    stop: sync::Arc<atomic::AtomicBool>,
    ready: cell::RefCell<Vec<net::SocketAddr>>,
    next_index: cell::Cell<usize>,
}

async fn send_all(
    settings: Settings,
    targets: sync::Arc<sync::Mutex<Targets>>,
    counts: sync::Arc<sync::Mutex<Counts>>,
    stop: sync::Arc<atomic::AtomicBool>,
) {
    let (completions, reads, purchases) =
        (settings.completions, settings.reads, settings.purchases);
    let sender = rc::Rc::new(Sender {
        client: client::Client::new(),
        settings,
        targets,
        counts,
        stop,
        ready: cell::RefCell::default(),
        next_index: cell::Cell::new(0),
    });
    sender.update_ready().await;
    let readiness_task = actix_rt::spawn({
        let sender = rc::Rc::clone(&sender);
        async move {
            loop {
                actix_rt::time::sleep(READY_POLL).await;
                sender.update_ready().await;
            }
        }
    });
    let mut tasks: Vec<future::LocalBoxFuture<'_, ()>> = Vec::new();
    for worker in 0..completions {
        tasks.push(Box::pin(sender.complete(worker)));
    }
    for worker in 0..reads {
        tasks.push(Box::pin(sender.read(worker)));
    }
    for worker in 0..purchases {
        tasks.push(Box::pin(sender.purchase(worker)));
    }
    future::join_all(tasks).await;
    readiness_task.abort();
}

impl Sender {
    fn is_stopped(&self) -> bool {
        self.stop.load(atomic::Ordering::Relaxed)
    }

    async fn update_ready(&self) {
        let entries = lock(&self.targets).entries.clone();
        let check = async |address| {
            let request = client::Request::new("GET", "/ready");
            let answer = self.client.call(address, request, READY_TIMEOUT).await;
            answer.is_ok_and(|response| response.status == 200).then_some(address)
        };
        let ready = future::join_all(entries.into_iter().map(check)).await;
        *self.ready.borrow_mut() = ready.into_iter().flatten().collect();
    }

    /// Returns the next two ready entries round-robin; they are the same if only one is ready.
    fn entries(&self) -> Option<(net::SocketAddr, net::SocketAddr)> {
        let ready = self.ready.borrow();
        let index = self.next_index.get();
        self.next_index.set(index.wrapping_add(1));
        let at = |place: usize| ready.get(place % ready.len().max(1)).copied();
        Some((at(index)?, at(index.wrapping_add(1))?))
    }

    /// Waits for ready entries; returns `None` after the stop.
    async fn next(&self) -> Option<(net::SocketAddr, net::SocketAddr)> {
        actix_rt::time::sleep(self.settings.pause).await;
        loop {
            if self.is_stopped() {
                return None;
            }
            if let Some(entries) = self.entries() {
                return Some(entries);
            }
            actix_rt::time::sleep(READY_POLL).await;
        }
    }

    async fn complete(&self, worker: usize) {
        for number in 0_u64.. {
            let Some((mut entry, other)) = self.next().await else { return };
            let completion = caller::Completion {
                workspace: self.settings.workspace.clone(),
                prompt: format!("condition report {worker}-{number} of the frame"),
                tokens: self.settings.tokens,
                contents: lock(&self.targets).contents.clone(),
            };
            let mut result = caller::complete(&self.client, entry, &completion).await;
            if matches!(result, Err(caller::Error::Unreachable { .. })) {
                // Nothing was sent, so the request is retried at the next entry, as a load balancer does.
                entry = other;
                result = caller::complete(&self.client, entry, &completion).await;
            }
            let mut counts = lock(&self.counts);
            match result {
                Ok(_) => counts.completions += 1,
                Err(error) => counts.record_failure(&format!("completion at {entry}"), &error),
            }
        }
    }

    async fn read(&self, worker: usize) {
        for number in worker.. {
            let Some((mut entry, other)) = self.next().await else { return };
            let service = &self.settings.services[number % self.settings.services.len()];
            let path = format!("{service}/records");
            let get = async |entry| self.call(entry, "GET", &path, None, "").await;
            let mut result = get(entry).await;
            if matches!(result, Err(caller::Error::Unreachable { .. })) {
                entry = other;
                result = get(entry).await;
            }
            let mut counts = lock(&self.counts);
            match result {
                Ok(_) => counts.reads += 1,
                Err(error) => counts.record_failure(&format!("read at {entry}"), &error),
            }
        }
    }

    async fn call(
        &self,
        entry: net::SocketAddr,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<u16, caller::Error> {
        let called = caller::call(&self.client, entry, method, path, key, body).await;
        called.map(|(status, _, _)| status)
    }

    async fn purchase(&self, worker: usize) {
        for number in worker.. {
            let Some((first, second)) = self.next().await else { return };
            let service = &self.settings.services[number % self.settings.services.len()];
            let key = format!("order-{worker}-{number}");
            lock(&self.counts).purchases.push((service.clone(), key.clone()));
            let path = format!("{service}/records");
            let send = async |entries: [net::SocketAddr; 2]| {
                for attempt in 0_usize.. {
                    let entry = entries[attempt % 2];
                    let error = match self.call(entry, "POST", &path, Some(&key), &key).await {
                        Ok(_) => return Ok(()),
                        Err(error) => error,
                    };
                    let pending = matches!(&error, caller::Error::Refused { kind, .. } if kind == "claim_pending");
                    let unreachable = matches!(error, caller::Error::Unreachable { .. });
                    if !(pending && attempt < 50 || unreachable && attempt < 2) {
                        return Err((entry, error));
                    }
                    actix_rt::time::sleep(PENDING_DELAY).await;
                }
                Ok(())
            };
            let results = future::join(send([first, second]), send([second, first])).await;
            let mut counts = lock(&self.counts);
            for result in [results.0, results.1] {
                match result {
                    Ok(()) => counts.answers += 1,
                    Err((entry, error)) => {
                        counts.record_failure(&format!("purchase {key} at {entry}"), &error)
                    }
                }
            }
        }
    }
}
