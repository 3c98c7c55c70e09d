//! Live requests in the background, checked and counted.
//!
//! They run on a thread of their own, so that starting and ending processes does not hold them up. In the place of the
//! platform's load balancer they use the entries that report ready, in turn.

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

/// Interval at which the readiness of the entries is read; shorter than the entries' drain delay in a fleet.
const READY_POLL: time::Duration = time::Duration::from_millis(20);

/// Longest wait for an answer to the question whether an entry is ready.
const READY_TIMEOUT: chestnutpick_types::time::Millis = chestnutpick_types::time::Millis(500);

/// Wait before a request is repeated whose answer says that its key is in use.
const PENDING_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Failures that are kept with their text.
const KEPT: usize = 20;

/// Where requests go and what may answer them; shared with the thread of the requests.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    /// The entries.
    pub entries: Vec<net::SocketAddr>,
    /// The digests of the contents that may answer, by version digest.
    pub contents: Vec<(digest::Digest, digest::Digest)>,
}

/// What is sent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The workspace.
    pub workspace: String,
    /// Completions at a time.
    pub completions: usize,
    /// Tokens of a completion.
    pub tokens: u64,
    /// Reads of plain services at a time.
    pub reads: usize,
    /// Purchases at a time; each is sent through two entries at once.
    pub purchases: usize,
    /// Plain services that are called.
    pub services: Vec<String>,
    /// Pause between two requests of one sender.
    pub pause: time::Duration,
}

/// What became of the requests.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Whole completions.
    pub completions: u64,
    /// Reads answered.
    pub reads: u64,
    /// Answers to purchases; two for each.
    pub answers: u64,
    /// Services and keys of the purchases asked for.
    pub purchases: Vec<(String, String)>,
    /// Refusals and failures by kind.
    pub refused: BTreeMap<String, u64>,
    /// Connections that broke, and streams without their end marker.
    pub cut: u64,
    /// Completions with a token that the weights do not give.
    pub mixed: u64,
    /// The first failures.
    pub failures: Vec<String>,
}

impl Counts {
    /// Returns how many requests were served.
    pub fn served(&self) -> u64 {
        self.completions + self.reads + self.answers
    }

    /// Returns how many requests were refused or failed.
    pub fn refused(&self) -> u64 {
        self.refused.values().sum()
    }

    fn fail(&mut self, what: &str, error: &caller::Error) {
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
        if self.failures.len() < KEPT {
            self.failures.push(format!("{what}: {error}"));
        }
    }
}

/// Requests that run until they are stopped.
pub struct Traffic {
    /// Where they go.
    pub targets: sync::Arc<sync::Mutex<Targets>>,
    counts: sync::Arc<sync::Mutex<Counts>>,
    stop: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Traffic {
    /// Starts sending.
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

    /// Returns what became of the requests so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }

    /// Sends no more, waits for the requests in flight, and returns what became of all.
    pub fn stop(mut self) -> Counts {
        self.join();
        self.counts()
    }

    fn join(&mut self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic in the thread has been printed; the counts show what it did.
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
    turn: cell::Cell<usize>,
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
        turn: cell::Cell::new(0),
    });
    sender.read_readiness().await;
    let watching = actix_rt::spawn({
        let sender = rc::Rc::clone(&sender);
        async move {
            loop {
                actix_rt::time::sleep(READY_POLL).await;
                sender.read_readiness().await;
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
    watching.abort();
}

impl Sender {
    fn is_stopped(&self) -> bool {
        self.stop.load(atomic::Ordering::Relaxed)
    }

    async fn read_readiness(&self) {
        let entries = lock(&self.targets).entries.clone();
        let ask = async |address| {
            let request = client::Request::new("GET", "/ready");
            let answer = self.client.call(address, request, READY_TIMEOUT).await;
            answer.is_ok_and(|response| response.status == 200).then_some(address)
        };
        let ready = future::join_all(entries.into_iter().map(ask)).await;
        *self.ready.borrow_mut() = ready.into_iter().flatten().collect();
    }

    /// Returns two ready entries, different ones if there are two.
    fn entries(&self) -> Option<(net::SocketAddr, net::SocketAddr)> {
        let ready = self.ready.borrow();
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let at = |place: usize| ready.get(place % ready.len().max(1)).copied();
        Some((at(turn)?, at(turn.wrapping_add(1))?))
    }

    /// Waits for a ready entry; returns nothing once no more is to be sent.
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
            let ask = caller::Completion {
                workspace: self.settings.workspace.clone(),
                prompt: format!("condition report {worker}-{number} of the frame"),
                tokens: self.settings.tokens,
                contents: lock(&self.targets).contents.clone(),
            };
            let mut result = caller::complete(&self.client, entry, &ask).await;
            if matches!(result, Err(caller::Error::Unreachable { .. })) {
                // Nothing was sent: a balancer takes the next entry.
                entry = other;
                result = caller::complete(&self.client, entry, &ask).await;
            }
            let mut counts = lock(&self.counts);
            match result {
                Ok(_) => counts.completions += 1,
                Err(error) => counts.fail(&format!("completion at {entry}"), &error),
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
                Err(error) => counts.fail(&format!("read at {entry}"), &error),
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
            let buy = async |entries: [net::SocketAddr; 2]| {
                for turn in 0_usize.. {
                    let entry = entries[turn % 2];
                    let error = match self.call(entry, "POST", &path, Some(&key), &key).await {
                        Ok(_) => return Ok(()),
                        Err(error) => error,
                    };
                    let pending = matches!(&error, caller::Error::Refused { kind, .. } if kind == "claim_pending");
                    let unreachable = matches!(error, caller::Error::Unreachable { .. });
                    if !(pending && turn < 50 || unreachable && turn < 2) {
                        return Err((entry, error));
                    }
                    actix_rt::time::sleep(PENDING_PAUSE).await;
                }
                Ok(())
            };
            let results = future::join(buy([first, second]), buy([second, first])).await;
            let mut counts = lock(&self.counts);
            for result in [results.0, results.1] {
                match result {
                    Ok(()) => counts.answers += 1,
                    Err((entry, error)) => {
                        counts.fail(&format!("purchase {key} at {entry}"), &error)
                    }
                }
            }
        }
    }
}
