//! Suspicion of requests, and of parts of their prompts, that crash the endpoints that run them.
//!
//! Each request has traits: the request as a whole, and each part of its prompt that other requests share. When an
//! endpoint crashes, the traits of the requests that it had not begun to answer become suspects. A broken connection
//! alone is not enough, because connections break for many other reasons. A trait is cleared as soon as any endpoint
//! begins to answer a request that has it. What all sound requests share therefore stays clear, and only the trait that
//! causes crashes accumulates them. After several crashes without a success in between it is quarantined: requests
//! that have it are refused.
//!
//! Where few requests run, a harmless trait can be quarantined together with the one that causes crashes, because they
//! were in the same crashes. Refusing all requests that have it would keep it from ever being cleared. So a request is
//! refused only if one of its quarantined traits was in crashes that no trait outside the request can have caused. Another
//! request runs as a trial: its answer clears its traits, and a crash leaves them as the only cause.
//!
//! All routers share their records. Datagrams may be lost or late, so records and clearances are repeated, a record of
//! a trait that has recently succeeded here is answered with a clearance, and quarantined traits are sent again and
//! again for routers that have just started.

use std::collections;
use std::sync;

use chestnutpick_fleet::load;
use chestnutpick_routing::suspects;
use chestnutpick_types::{digest, id, time};
use rand_core::Rng;

use crate::view;

/// Crashes without a success in between after which a trait is quarantined. One attempt of a caller runs at two
/// endpoints at most, so a single unlucky attempt does not lead to a refusal.
pub const QUARANTINE_CRASHES: usize = 3;

/// Crashes without a success in between after which a lost request is not repeated at another endpoint.
const LAST_RETRY_CRASHES: usize = 2;

/// Time for which a success protects a trait from suspicion. A trait that causes crashes has none.
pub const SUCCESS_TTL: time::Millis = time::Millis(3_000);

/// Time after a loss within which the endpoint must be found unreachable or restarted for the loss to count as a crash.
const CONFIRMATION_TIMEOUT: time::Millis = time::Millis(3_000);

/// Time between two trials of a trait, at all routers together. An engine begins to answer, or crashes, within that time.
const TRIAL_INTERVAL: time::Millis = time::Millis(200);

/// Maximum number of losses that await a confirmation; the newest are kept.
const MAX_LOSSES: usize = 256;

/// Maximum number of successes in each of the two generations that are remembered.
const MAX_SUCCESSES: usize = 8_192;

/// Maximum number of new records that a router sends in each round. One crash makes a few; when many engines crash at
/// once, no single request is the cause.
const MAX_NEW: usize = 64;

/// Number of times that a record or a clearance is sent again, once per round.
const REPEATS: u32 = 2;

/// Maximum number of messages that await their repetition; the newest are kept.
const MAX_REPEATED: usize = 64;

/// Number of routers, on average, that send a record of a quarantined trait in each round.
const SENDERS: f64 = 3.0;

/// Maximum number of records of quarantined traits that a router sends in each round.
const MAX_SENT: usize = 24;

/// A property of a request that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trait {
    /// Fingerprint of the property.
    pub fingerprint: digest::Digest,
    /// Id of the part of the prompt; `None` for the request as a whole.
    pub part: Option<sync::Arc<str>>,
}

impl Trait {
    /// Returns the trait of a request as a whole, which is the same when a caller repeats the request. `head` is all
    /// that identifies the request besides its body.
    pub fn of_request(head: &str, body: &[u8]) -> Self {
        Self::of_pieces(head, &[body])
    }

    /// Returns the trait of a request as a whole, whose body is held in pieces. It does not depend on their lengths.
    ///
    /// ```
    /// use chestnutpick_router::suspicion::Trait;
    /// let whole = Trait::of_request("POST", b"gold");
    /// assert_eq!(Trait::of_pieces("POST", &[b"go", b"ld"]), whole);
    /// ```
    pub fn of_pieces<B>(head: &str, body: &[B]) -> Self
    where
        B: AsRef<[u8]>,
    {
        let mut hasher = digest::Hasher::default();
        hasher.update(head.as_bytes());
        for piece in body {
            hasher.update(piece.as_ref());
        }
        Self { fingerprint: hasher.finish(), part: None }
    }

    /// Returns the trait of a part of a prompt.
    ///
    /// ```
    /// use chestnutpick_router::suspicion::Trait;
    /// assert_ne!(Trait::of_part(&"a1".into()), Trait::of_part(&"a2".into()));
    /// ```
    pub fn of_part(part: &sync::Arc<str>) -> Self {
        let fingerprint = digest::Digest::of(format!("part\n{part}").as_bytes());
        Self { fingerprint, part: Some(sync::Arc::clone(part)) }
    }
}

/// A request that was lost with its endpoint before the endpoint had begun to answer it.
#[derive(Debug, Clone)]
struct Loss {
    at: time::Millis,
    traits: Vec<Trait>,
    endpoint: id::EndpointId,
    /// Start time of the endpoint, which distinguishes restarts under the same id.
    started_at: Option<u64>,
}

impl Loss {
    /// Returns whether the endpoint is known to have crashed.
    fn is_crash(&self, view: &view::View) -> bool {
        view.endpoints.get(&self.endpoint).is_none_or(|endpoint_view| {
            endpoint_view.endpoint.started_at != self.started_at
                || endpoint_view.superseded_at.is_some()
                || endpoint_view.down_at.is_some()
                || endpoint_view.connect_failures > 0
        })
    }
}

/// A trait of a request that was lost in a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspected {
    /// The trait.
    pub subject: Trait,
    /// Record of the crash.
    pub record: suspects::Record,
}

/// How a request that is not refused may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// None of its traits is quarantined.
    Clear,
    /// Its quarantined traits may be harmless, which its outcome shows.
    Trial,
}

/// Quarantined trait for which a request is refused, with the records of its crashes.
pub type Quarantined = (Trait, Vec<suspects::Record>);

/// Fingerprints that have succeeded recently, with the times of their last successes. Two generations bound the memory
/// without a search for the oldest.
#[derive(Debug, Default)]
struct Successes {
    current: collections::HashMap<digest::Digest, time::Millis>,
    previous: collections::HashMap<digest::Digest, time::Millis>,
    rotated_at: time::Millis,
}

impl Successes {
    fn insert(&mut self, now: time::Millis, fingerprint: digest::Digest) {
        let is_old = now.since(self.rotated_at) >= SUCCESS_TTL + CONFIRMATION_TIMEOUT;
        if is_old || self.current.len() >= MAX_SUCCESSES {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
        self.current.insert(fingerprint, now);
    }

    /// Returns whether there was a success less than [`SUCCESS_TTL`] before `at`, or later.
    fn protects(&self, at: time::Millis, fingerprint: &digest::Digest) -> bool {
        let generations = [&self.current, &self.previous];
        let last = generations.iter().find_map(|successes| successes.get(fingerprint));
        last.is_some_and(|last| at.since(*last) < SUCCESS_TTL)
    }
}

/// What one router knows about traits that may crash endpoints.
///
/// ```
/// use chestnutpick_router::suspicion;
/// use chestnutpick_types::time::Millis;
/// let suspicion = suspicion::Suspicion::default();
/// let part = suspicion::Trait::of_part(&"5c1e07a2".into());
/// assert_eq!(suspicion.quarantined(Millis(0), &[part]), None);
/// ```
#[derive(Debug)]
pub struct Suspicion {
    losses: collections::VecDeque<Loss>,
    list: suspects::List,
    successes: Successes,
    /// Times of the last trials of fingerprints at this router.
    trials: collections::BTreeMap<digest::Digest, time::Millis>,
    /// Fingerprints that another router suspects although they have succeeded here.
    owed: collections::BTreeSet<digest::Digest>,
    /// Messages to be repeated, and how often.
    repeated: collections::VecDeque<(load::FromRouter, u32)>,
    /// Number of new records that were to be sent since the last round.
    new: usize,
    /// Quarantined fingerprints that have been returned by [`Suspicion::take_quarantined`].
    reported: collections::BTreeSet<digest::Digest>,
}

impl Default for Suspicion {
    fn default() -> Self {
        Self {
            losses: collections::VecDeque::new(),
            list: suspects::List::with_threshold(QUARANTINE_CRASHES),
            successes: Successes::default(),
            trials: collections::BTreeMap::new(),
            owed: collections::BTreeSet::new(),
            repeated: collections::VecDeque::new(),
            new: 0,
            reported: collections::BTreeSet::new(),
        }
    }
}

impl Suspicion {
    /// Records that a request was lost with an endpoint that had not begun to answer it.
    pub fn on_lost(
        &mut self,
        now: time::Millis,
        traits: &[Trait],
        view: &view::View,
        endpoint: &id::EndpointId,
    ) {
        let Some(endpoint_view) = view.endpoints.get(endpoint) else { return };
        // An engine that is about to load weights aborts its last requests.
        if endpoint_view.loading_weights {
            return;
        }
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        let (endpoint, started_at) = (endpoint.clone(), endpoint_view.endpoint.started_at);
        self.losses.push_back(Loss { at: now, traits: traits.to_vec(), endpoint, started_at });
    }

    /// Returns whether any loss awaits a confirmation.
    ///
    /// ```
    /// assert!(!chestnutpick_router::suspicion::Suspicion::default().has_losses());
    /// ```
    pub fn has_losses(&self) -> bool {
        !self.losses.is_empty()
    }

    /// Returns the endpoints with requests that were lost at `since` or later and whose crash is not confirmed.
    pub fn unconfirmed(&self, since: time::Millis) -> collections::BTreeSet<id::EndpointId> {
        let recent = self.losses.iter().filter(|loss| loss.at >= since);
        recent.map(|loss| loss.endpoint.clone()).collect()
    }

    /// Records the crashes of endpoints that have been confirmed since, and returns what is suspected now and has to be
    /// sent to all routers. `unix` is the Unix time.
    pub fn confirm(
        &mut self,
        now: time::Millis,
        unix: time::Millis,
        view: &view::View,
    ) -> Vec<Suspected> {
        let (crashed, rest): (Vec<_>, Vec<_>) =
            self.losses.drain(..).partition(|loss| loss.is_crash(view));
        let is_recent = |loss: &Loss| now.since(loss.at) < CONFIRMATION_TIMEOUT;
        self.losses = rest.into_iter().filter(is_recent).collect();
        let mut suspected: Vec<Suspected> = Vec::new();
        for loss in crashed {
            let Ok(host) = loss.endpoint.as_str().parse::<id::HostId>() else { continue };
            // The start time of the endpoint serves as its generation.
            let generation = loss.started_at.unwrap_or_default();
            for subject in loss.traits {
                let fingerprint = subject.fingerprint;
                let record =
                    suspects::Record { at: unix, fingerprint, host: host.clone(), generation };
                if self.successes.protects(loss.at, &fingerprint)
                    || suspected.iter().any(|other| other.record == record)
                {
                    continue;
                }
                self.list.merge(unix, [record.clone()]);
                self.new += 1;
                if self.new > MAX_NEW {
                    continue;
                }
                self.repeat(load::FromRouter::Lost(record.clone()));
                suspected.push(Suspected { subject, record });
            }
        }
        suspected
    }

    /// Records that an endpoint has begun to answer a request. Returns the clearances to be sent to all routers.
    pub fn on_answered(
        &mut self,
        now: time::Millis,
        unix: time::Millis,
        traits: &[Trait],
    ) -> Vec<load::FromRouter> {
        let mut messages = Vec::new();
        for Trait { fingerprint, .. } in traits {
            self.successes.insert(now, *fingerprint);
            if self.list.crashes(unix, fingerprint) > 0 {
                self.clear(fingerprint);
                let message = load::FromRouter::Cleared(*fingerprint);
                self.repeat(message.clone());
                messages.push(message);
            }
        }
        messages
    }

    /// Applies a record of another router.
    pub fn on_record(&mut self, now: time::Millis, unix: time::Millis, record: suspects::Record) {
        if self.successes.protects(now, &record.fingerprint) {
            self.owed.insert(record.fingerprint);
        } else {
            self.list.merge(unix, [record]);
        }
    }

    /// Applies a clearance of another router.
    pub fn on_cleared(&mut self, now: time::Millis, fingerprint: &digest::Digest) {
        self.successes.insert(now, *fingerprint);
        self.owed.remove(fingerprint);
        self.clear(fingerprint);
    }

    /// Returns the messages to be sent to all routers in this round; called once per second. `routers` is the number
    /// of routers.
    pub fn next_round<R>(
        &mut self,
        unix: time::Millis,
        routers: u32,
        rng: &mut R,
    ) -> Vec<load::FromRouter>
    where
        R: Rng,
    {
        self.list.expire(unix);
        self.trials.retain(|fingerprint, _| self.list.crashes(unix, fingerprint) > 0);
        self.new = 0;
        let mut messages: Vec<_> =
            std::mem::take(&mut self.owed).into_iter().map(load::FromRouter::Cleared).collect();
        for (message, left) in &mut self.repeated {
            *left -= 1;
            messages.push(message.clone());
        }
        self.repeated.retain(|(_, left)| *left > 0);
        let share = SENDERS / f64::from(routers.max(1));
        let records = self.list.quarantined(unix).into_iter().flat_map(|fingerprint| {
            self.list.records_of(unix, &fingerprint).into_iter().rev().take(QUARANTINE_CRASHES)
        });
        let drawn = records.filter(|_| f64::from(rng.next_u32()) < share * f64::from(u32::MAX));
        messages.extend(drawn.take(MAX_SENT).map(load::FromRouter::Lost));
        messages
    }

    /// Returns how a request with these traits may run. `routers` is the number of routers, which share the trials of a
    /// trait.
    ///
    /// # Errors
    ///
    /// Returns the trait for which the request is refused.
    ///
    /// ```
    /// use chestnutpick_router::suspicion;
    /// use chestnutpick_types::time::Millis;
    /// let mut suspicion = suspicion::Suspicion::default();
    /// let part = suspicion::Trait::of_part(&"5c1e07a2".into());
    /// let admitted = suspicion.admit(Millis(0), Millis(0), 1, &[part]);
    /// assert_eq!(admitted, Ok(suspicion::Admission::Clear));
    /// ```
    pub fn admit(
        &mut self,
        now: time::Millis,
        unix: time::Millis,
        routers: u32,
        traits: &[Trait],
    ) -> Result<Admission, Quarantined> {
        if let Some(quarantined) = self.quarantined(unix, traits) {
            return Err(quarantined);
        }
        let Some(subject) = traits.iter().find(|subject| self.is_suspect(unix, subject)) else {
            return Ok(Admission::Clear);
        };
        let interval = time::Millis(TRIAL_INTERVAL.0 * u64::from(routers.max(1)));
        let last = self.trials.get(&subject.fingerprint);
        if last.is_some_and(|last| now.since(*last) < interval) {
            return Err((subject.clone(), self.list.records_of(unix, &subject.fingerprint)));
        }
        self.trials.insert(subject.fingerprint, now);
        Ok(Admission::Trial)
    }

    /// Returns the first of the traits that is quarantined, with the records of its crashes, unless a trait other than
    /// these was in all of its crashes.
    pub fn quarantined(&self, unix: time::Millis, traits: &[Trait]) -> Option<Quarantined> {
        let fingerprints: Vec<_> = traits.iter().map(|subject| subject.fingerprint).collect();
        let subject = traits.iter().find(|subject| {
            self.is_suspect(unix, subject)
                && !self.list.has_alternative(unix, &subject.fingerprint, &fingerprints)
        })?;
        Some((subject.clone(), self.list.records_of(unix, &subject.fingerprint)))
    }

    /// Returns whether a trait was in as many crashes as quarantine it.
    fn is_suspect(&self, unix: time::Millis, subject: &Trait) -> bool {
        self.list.status(unix, &subject.fingerprint) == suspects::Status::Quarantined
    }

    /// Returns the fingerprints that have been quarantined since the last call, with the records of their crashes.
    pub fn take_quarantined(
        &mut self,
        unix: time::Millis,
    ) -> Vec<(digest::Digest, Vec<suspects::Record>)> {
        let quarantined = self.list.quarantined(unix);
        let before = std::mem::take(&mut self.reported);
        let is_new = |fingerprint: &&digest::Digest| !before.contains(*fingerprint);
        let found = quarantined.iter().filter(is_new);
        let found =
            found.map(|fingerprint| (*fingerprint, self.list.records_of(unix, fingerprint)));
        let found = found.collect();
        self.reported.extend(quarantined);
        found
    }

    /// Returns whether a request that was lost with its endpoint may be repeated at another one.
    pub fn may_repeat(&self, unix: time::Millis, traits: &[Trait]) -> bool {
        let crashes = |subject: &Trait| self.list.crashes(unix, &subject.fingerprint);
        traits.iter().all(|subject| crashes(subject) < LAST_RETRY_CRASHES)
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        self.list.dump()
    }

    /// Returns whether nothing is suspected.
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn clear(&mut self, fingerprint: &digest::Digest) {
        self.list.clear(fingerprint);
        self.repeated.retain(|(message, _)| {
            !matches!(message, load::FromRouter::Lost(record) if record.fingerprint == *fingerprint)
        });
    }

    fn repeat(&mut self, message: load::FromRouter) {
        if self.repeated.len() >= MAX_REPEATED {
            self.repeated.pop_front();
        }
        self.repeated.push_back((message, REPEATS));
    }
}
