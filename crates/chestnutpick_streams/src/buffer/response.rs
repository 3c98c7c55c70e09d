//! The buffer of one response.

use std::cmp;
use std::collections::VecDeque;

use bytes::Bytes;
use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time;

use super::Limits;
use super::Phase;
use super::Step;
use super::meter;

/// The buffer of one response.
#[derive(Debug, Clone)]
pub struct Buffer {
    frames: VecDeque<Bytes>,
    fill: size::Bytes,
    phase: Phase,
    /// Since when the phase holds.
    since: time::Millis,
    /// Since when the reader has left data untouched.
    untouched: time::Millis,
    /// Index of the next frame to be taken.
    offset: u64,
    complete: bool,
    meter: meter::Meter,
}

impl Buffer {
    /// Returns an empty buffer that flows.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let buffer = buffer::Buffer::new(time::Millis(0));
    /// assert_eq!(buffer.phase(), buffer::Phase::Flowing);
    /// ```
    pub fn new(now: time::Millis) -> Self {
        Self {
            frames: VecDeque::new(),
            fill: size::Bytes(0),
            phase: Phase::Flowing,
            since: now,
            untouched: now,
            offset: 0,
            complete: false,
            meter: meter::Meter::default(),
        }
    }

    /// Takes the frame of token `index`. Frames that arrive while parked are not taken, because the offset from which
    /// the response resumes is already fixed.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::{size, time};
    /// let limits = buffer::Limits { high_watermark: size::Bytes(4), ..buffer::Limits::default() };
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// let steps = buffer.push(time::Millis(0), &limits, 0, "data".into());
    /// assert_eq!(steps, Some(buffer::Step::Pause));
    /// ```
    pub fn push(
        &mut self,
        now: time::Millis,
        limits: &Limits,
        index: u64,
        frame: Bytes,
    ) -> Option<Step> {
        if self.phase == Phase::Parked || self.complete || index < self.offset {
            return None;
        }
        if index > self.offset {
            let message = format!("frame {index} came, expected {}", self.offset);
            return Some(Step::Fail(error::Refusal::new(error::ErrorKind::Internal, message)));
        }
        if self.fill + size::Bytes::of_len(frame.len()) > limits.response_limit {
            return self.park(now);
        }
        self.store(now, frame);
        self.offset += 1;
        if self.phase == Phase::Resumed {
            self.enter(now, Phase::Flowing);
        }
        if self.phase == Phase::Flowing && self.fill >= limits.high_watermark {
            self.enter(now, Phase::Backpressure);
            return Some(Step::Pause);
        }
        None
    }

    /// Takes the last frame, such as `[DONE]`. It is taken beyond the limit, since it is small and nothing follows.
    /// Returns false if the response is parked: the frame belongs to a cancelled attempt.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// assert!(buffer.finish(time::Millis(0), "data: [DONE]\n\n".into()));
    /// assert!(!buffer.is_drained());
    /// ```
    pub fn finish(&mut self, now: time::Millis, frame: Bytes) -> bool {
        let taken = self.phase != Phase::Parked && !self.complete;
        if taken {
            self.store(now, frame);
            self.complete = true;
            self.enter(now, Phase::Flowing);
        }
        taken
    }

    fn store(&mut self, now: time::Millis, frame: Bytes) {
        self.observe(now);
        if self.fill.0 == 0 {
            self.untouched = now;
        }
        self.fill = self.fill + size::Bytes::of_len(frame.len());
        if !frame.is_empty() {
            self.frames.push_back(frame);
        }
    }

    /// Returns up to `max` bytes for the reader; empty if there are none.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::{size, time};
    /// let limits = buffer::Limits::default();
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// buffer.push(time::Millis(0), &limits, 0, "data".into());
    /// let (data, step) = buffer.read(time::Millis(1), &limits, size::Bytes(3));
    /// assert_eq!((&data[..], step), (&b"dat"[..], None));
    /// ```
    pub fn read(
        &mut self,
        now: time::Millis,
        limits: &Limits,
        max: size::Bytes,
    ) -> (Bytes, Option<Step>) {
        self.observe(now);
        let Some(front) = self.frames.front_mut() else { return (Bytes::new(), None) };
        let len = cmp::min(front.len(), usize::try_from(max.0).unwrap_or(usize::MAX));
        let data = front.split_to(len);
        if front.is_empty() {
            self.frames.pop_front();
        }
        if len > 0 {
            self.untouched = now;
        }
        let taken = size::Bytes::of_len(len);
        self.fill = size::Bytes(self.fill.0.saturating_sub(taken.0));
        self.meter.take(taken);
        if self.phase == Phase::Backpressure && self.fill <= limits.low_watermark {
            self.enter(now, Phase::Flowing);
            return (data, Some(Step::Unpause));
        }
        (data, None)
    }

    /// Parks the response, unless it is parked or complete.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// assert_eq!(buffer.park(time::Millis(1)), Some(buffer::Step::Park { offset: 0 }));
    /// assert_eq!(buffer.park(time::Millis(2)), None);
    /// ```
    pub fn park(&mut self, now: time::Millis) -> Option<Step> {
        if self.phase == Phase::Parked || self.complete {
            return None;
        }
        self.enter(now, Phase::Parked);
        Some(Step::Park { offset: self.offset })
    }

    /// Resumes a parked response.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// buffer.park(time::Millis(1));
    /// assert_eq!(buffer.resume(time::Millis(2)), Some(buffer::Step::Resume { offset: 0 }));
    /// ```
    pub fn resume(&mut self, now: time::Millis) -> Option<Step> {
        if self.phase != Phase::Parked {
            return None;
        }
        self.enter(now, Phase::Resumed);
        Some(Step::Resume { offset: self.offset })
    }

    /// Returns the time from which the response may resume, if it is parked and has drained enough.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let limits = buffer::Limits::default();
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// buffer.park(time::Millis(1));
    /// assert_eq!(buffer.resume_at(&limits), Some(time::Millis(1) + limits.min_parked));
    /// ```
    pub fn resume_at(&self, limits: &Limits) -> Option<time::Millis> {
        let ready = self.phase == Phase::Parked && self.fill <= limits.low_watermark;
        ready.then(|| self.since + limits.min_parked)
    }

    /// Handles [`Self::next_deadline`].
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// assert_eq!(buffer.tick(time::Millis(1), &buffer::Limits::default()), None);
    /// ```
    pub fn tick(&mut self, now: time::Millis, limits: &Limits) -> Option<Step> {
        if self.next_deadline(limits).is_none_or(|deadline| now < deadline) {
            return None;
        }
        match self.phase {
            Phase::Backpressure => self.park(now),
            _ => Some(Step::Fail(error::Refusal::new(
                error::ErrorKind::ReaderTooSlow,
                format!("nothing was read for {}", limits.idle_timeout),
            ))),
        }
    }

    /// Returns the time at which the response is parked for staying in backpressure, or fails for want of any read.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let buffer = buffer::Buffer::new(time::Millis(0));
    /// assert_eq!(buffer.next_deadline(&buffer::Limits::default()), None);
    /// ```
    pub fn next_deadline(&self, limits: &Limits) -> Option<time::Millis> {
        match self.phase {
            Phase::Backpressure => Some(self.since + limits.backpressure_timeout),
            Phase::Parked if self.fill.0 > 0 => Some(self.untouched + limits.idle_timeout),
            _ if self.complete && self.fill.0 > 0 => Some(self.untouched + limits.idle_timeout),
            _ => None,
        }
    }

    fn observe(&mut self, now: time::Millis) {
        self.meter.observe(now, self.fill.0 > 0);
    }

    fn enter(&mut self, now: time::Millis, phase: Phase) {
        self.phase = phase;
        self.since = now;
    }

    /// Returns a key that is smallest for the slowest reader, or `None` if parking would free nothing.
    pub(super) fn slowness(&mut self, now: time::Millis) -> Option<impl Ord + use<>> {
        self.observe(now);
        let open = self.phase != Phase::Parked && !self.complete && self.fill.0 > 0;
        open.then(|| self.meter.slowness(self.fill))
    }

    /// Returns the phase.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// assert_eq!(buffer::Buffer::new(time::Millis(0)).phase(), buffer::Phase::Flowing);
    /// ```
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the bytes held.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::{size, time};
    /// assert_eq!(buffer::Buffer::new(time::Millis(0)).fill(), size::Bytes(0));
    /// ```
    pub fn fill(&self) -> size::Bytes {
        self.fill
    }

    /// Returns whether the last frame was taken and everything was read.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// assert!(!buffer::Buffer::new(time::Millis(0)).is_drained());
    /// ```
    pub fn is_drained(&self) -> bool {
        self.complete && self.fill.0 == 0
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// assert_eq!(buffer::Buffer::new(time::Millis(0)).dump()["phase"], "flowing");
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "phase": self.phase.to_string(),
            "since": self.since.0,
            "fill": self.fill.0,
            "offset": self.offset,
            "complete": self.complete,
        })
    }
}
