//! Outstanding calls to the store.
//!
//! A call that exceeds its time-out counts as failed but stays outstanding, since its late answer still shows what the
//! store held when the call started. The number of outstanding calls is bounded.

use std::cell;
use std::future;
use std::rc;

use chestnutpick_fleet::{position, progress};
use chestnutpick_types::time;
use tokio::sync::Notify;
use tokio_util::sync;

use crate::relay;
use crate::timeout;
use crate::watch;

/// Maximum number of outstanding calls.
const MAX_CALLS: usize = 3;

/// What a call asks the store for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Ask {
    /// All items.
    List,
    /// Changes after a position, for which the store waits.
    Watch(position::Position),
    /// Changes after a position, without a wait.
    #[strum(serialize = "watch")]
    Check(position::Position),
}

impl Ask {
    /// Returns whether the call lists everything.
    pub(crate) fn is_list(self) -> bool {
        self == Self::List
    }

    /// Returns the position that precedes the content of the response.
    pub(crate) fn after(self) -> position::Position {
        match self {
            Self::List => position::Position::START,
            Self::Watch(after) | Self::Check(after) => after,
        }
    }

    /// Returns what the response contains; `ends_outage` says whether it follows an outage or a restore.
    pub(crate) fn content(self, ends_outage: bool) -> relay::Content {
        match (self, ends_outage) {
            (Self::List, false) => relay::Content::Listing,
            (Self::List, true) => relay::Content::RecoveryListing,
            (Self::Watch(_) | Self::Check(_), false) => relay::Content::Changes,
            (Self::Watch(_) | Self::Check(_), true) => relay::Content::RecoveryChanges,
        }
    }

    /// Returns the time for which the store may wait before it answers.
    pub(crate) fn wait(self) -> time::Millis {
        match self {
            Self::List => time::Millis::ZERO,
            Self::Watch(_) => watch::WATCH_WAIT,
            Self::Check(_) => watch::CHECK_WAIT,
        }
    }
}

/// A call to the store.
pub(crate) struct Call {
    /// Time at which the call started.
    pub(crate) start: time::Millis,
    /// Progress of the call, which the store's client updates.
    pub(crate) progress: progress::Progress,
    pub(crate) ask: Ask,
    /// Minimum time from the start to the next read; known once the call has ended or is overdue.
    pause: cell::Cell<Option<time::Millis>>,
    token: sync::CancellationToken,
}

impl Call {
    /// Returns whether the call has neither ended nor exceeded its time-out.
    pub(crate) fn is_pending(&self) -> bool {
        self.pause.get().is_none()
    }
}

/// Outstanding calls, and the estimate of their answer times.
#[derive(Default)]
pub(crate) struct Calls {
    estimate: cell::RefCell<timeout::Estimate>,
    /// In the order of their start.
    outstanding: cell::RefCell<Vec<rc::Rc<Call>>>,
    /// Notified when a call has ended or is overdue.
    settled: Notify,
}

impl Calls {
    /// Waits until another call may start. While a listing arrives, none may: it would slow down the listing.
    pub(crate) async fn make_room(&self) {
        while self.is_listing() || !self.replace_oldest() {
            self.settled.notified().await;
        }
    }

    fn is_listing(&self) -> bool {
        let outstanding = self.outstanding.borrow();
        outstanding.iter().any(|call| call.ask.is_list() && call.progress.is_receiving())
    }

    /// Cancels the oldest overdue call if there are too many. Returns whether another call may start.
    fn replace_oldest(&self) -> bool {
        let mut outstanding = self.outstanding.borrow_mut();
        if outstanding.len() < MAX_CALLS {
            return true;
        }
        // A call whose response arrives is the last to go.
        let is_silent = |call: &rc::Rc<Call>| !call.is_pending() && !call.progress.is_receiving();
        let silent = outstanding.iter().position(is_silent);
        let oldest = silent.or_else(|| outstanding.iter().position(|call| !call.is_pending()));
        let Some(oldest) = oldest else { return false };
        outstanding.remove(oldest).token.cancel();
        true
    }

    /// Adds a call that starts now.
    pub(crate) fn add(
        &self,
        now: time::Millis,
        ask: Ask,
        stop: &sync::CancellationToken,
    ) -> rc::Rc<Call> {
        let call = rc::Rc::new(Call {
            start: now,
            progress: progress::Progress::new(),
            ask,
            pause: cell::Cell::default(),
            token: stop.child_token(),
        });
        self.outstanding.borrow_mut().push(rc::Rc::clone(&call));
        call
    }

    /// Runs a call to its end. Calls `on_overdue` if it exceeds its time-out before. Returns `None` if the call has been
    /// cancelled.
    pub(crate) async fn run<F, O>(&self, call: &Call, fetch: F, on_overdue: O) -> Option<F::Output>
    where
        F: Future,
        O: FnOnce(),
    {
        tokio::pin!(fetch);
        let mut fetch = future::poll_fn(|context| {
            let poll = fetch.as_mut().poll(context);
            let is_listing = call.ask.is_list() && call.progress.is_receiving();
            if is_listing && !call.token.is_cancelled() {
                self.cancel_listings(|other| !std::ptr::eq(other, call));
            }
            poll
        });
        // A process that was suspended finds an answer and an expired time-out: the answer takes precedence.
        tokio::select! {
            biased;
            outcome = &mut fetch => return Some(outcome),
            () = call.token.cancelled() => return None,
            () = self.overdue(call) => on_overdue(),
        }
        tokio::select! {
            biased;
            outcome = &mut fetch => Some(outcome),
            () = call.token.cancelled() => None,
        }
    }

    /// Waits until the response to a request of `call` has not begun within the time-out.
    async fn overdue(&self, call: &Call) {
        loop {
            // The time-out may change while the call is outstanding.
            let timeout = self.estimate.borrow().timeout() + call.ask.wait();
            let remaining = timeout.since(call.progress.silence());
            if remaining == time::Millis::ZERO {
                return;
            }
            actix_rt::time::sleep(remaining.to_duration()).await;
        }
    }

    /// Records the answer time of a call.
    pub(crate) fn on_answer(&self, took: time::Millis) {
        self.estimate.borrow_mut().on_answer(took);
    }

    /// Records that a call has ended or is overdue, with the minimum time from its start to the next read.
    pub(crate) fn settle(&self, call: &Call, pause: time::Millis) {
        call.pause.set(Some(call.pause.get().unwrap_or(pause)));
        self.settled.notify_waiters();
    }

    /// Returns the last call that has neither ended nor exceeded its time-out.
    pub(crate) fn pending(&self) -> Option<rc::Rc<Call>> {
        self.outstanding.borrow().iter().rfind(|call| call.is_pending()).cloned()
    }

    /// Cancels the listings that are needless because everything is known or another listing arrives.
    pub(crate) fn cancel_listings<N>(&self, is_needless: N)
    where
        N: Fn(&Call) -> bool,
    {
        let outstanding = self.outstanding.borrow();
        let listings = outstanding.iter().filter(|call| call.ask.is_list() && is_needless(call));
        listings.for_each(|call| call.token.cancel());
    }

    /// Removes a call that has ended.
    pub(crate) fn remove(&self, ended: &rc::Rc<Call>) {
        self.outstanding.borrow_mut().retain(|call| !rc::Rc::ptr_eq(call, ended));
    }

    /// Waits until a call has ended or is overdue, and returns the minimum time from its start to the next read.
    pub(crate) async fn wait(&self, call: &Call) -> time::Millis {
        loop {
            if let Some(pause) = call.pause.get() {
                return pause;
            }
            self.settled.notified().await;
        }
    }

    /// Waits until a call should start although the last one, which has just started, is still pending. Waits forever
    /// while answers are fast or arrive: another call would bring the same content again.
    pub(crate) async fn overlap(&self, usual: time::Millis) {
        let overlaps = self.estimate.borrow().overlaps(usual);
        if !overlaps {
            return future::pending().await;
        }
        actix_rt::time::sleep(self.interval(usual).to_duration()).await;
        while self.is_receiving() {
            self.settled.notified().await;
        }
    }

    /// Returns the time from the start of one call to the start of the next, where `usual` is that while the store
    /// answers fast.
    pub(crate) fn interval(&self, usual: time::Millis) -> time::Millis {
        self.estimate.borrow().call_interval(usual)
    }

    fn is_receiving(&self) -> bool {
        self.outstanding.borrow().iter().any(|call| call.progress.is_receiving())
    }
}
