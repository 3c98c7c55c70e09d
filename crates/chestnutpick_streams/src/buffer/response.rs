//! Buffer of one response.

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

/// Buffer of one response.
#[derive(Debug, Clone)]
pub struct Buffer {
    frames: VecDeque<Bytes>,
    fill: size::Bytes,
    phase: Phase,
    /// Time at which the current phase began.
    phase_since: time::Millis,
    /// Time since which the reader has left buffered data unread.
    idle_since: time::Millis,
    /// Index of the next frame to accept.
    offset: u64,
    complete: bool,
    meter: meter::Meter,
}

impl Buffer {
    /// Returns an empty buffer in [`Phase::Flowing`].
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
            phase_since: now,
            idle_since: now,
            offset: 0,
            complete: false,
            meter: meter::Meter::default(),
        }
    }

    /// Appends the frame of token `index`. Frames that arrive while the response is parked are not accepted, because
    /// the offset from which the response resumes is already fixed.
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
        self.append(now, frame);
        self.offset += 1;
        if self.phase == Phase::Resumed {
            self.set_phase(now, Phase::Flowing);
        }
        if self.phase == Phase::Flowing && self.fill >= limits.high_watermark {
            self.set_phase(now, Phase::Backpressure);
            return Some(Step::Pause);
        }
        None
    }

    /// Appends the last frame, such as `[DONE]`. It is accepted beyond the limit, because it is small and nothing
    /// follows. Returns false if the response is parked, because the frame then belongs to a cancelled attempt.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut buffer = buffer::Buffer::new(time::Millis(0));
    /// assert!(buffer.finish(time::Millis(0), "data: [DONE]\n\n".into()));
    /// assert!(!buffer.is_drained());
    /// ```
    pub fn finish(&mut self, now: time::Millis, frame: Bytes) -> bool {
        let accepted = self.phase != Phase::Parked && !self.complete;
        if accepted {
            self.append(now, frame);
            self.complete = true;
            self.set_phase(now, Phase::Flowing);
        }
        accepted
    }

    fn append(&mut self, now: time::Millis, frame: Bytes) {
        self.update_meter(now);
        if self.fill.0 == 0 {
            self.idle_since = now;
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
        self.update_meter(now);
        let Some(front) = self.frames.front_mut() else { return (Bytes::new(), None) };
        let len = cmp::min(front.len(), usize::try_from(max.0).unwrap_or(usize::MAX));
        let data = front.split_to(len);
        if front.is_empty() {
            self.frames.pop_front();
        }
        if len > 0 {
            self.idle_since = now;
        }
        let read = size::Bytes::of_len(len);
        self.fill = size::Bytes(self.fill.0.saturating_sub(read.0));
        self.meter.record_read(read);
        if self.phase == Phase::Backpressure && self.fill <= limits.low_watermark {
            self.set_phase(now, Phase::Flowing);
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
        self.set_phase(now, Phase::Parked);
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
        self.set_phase(now, Phase::Resumed);
        Some(Step::Resume { offset: self.offset })
    }

    /// Returns the time from which the response may resume, if it is parked and has drained to `low_watermark`.
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
        ready.then(|| self.phase_since + limits.min_parked)
    }

    /// Handles the deadline of [`Self::next_deadline`], if it has passed.
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

    /// Returns the time at which the response is parked because of lasting backpressure, or fails because nothing is
    /// read.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let buffer = buffer::Buffer::new(time::Millis(0));
    /// assert_eq!(buffer.next_deadline(&buffer::Limits::default()), None);
    /// ```
    pub fn next_deadline(&self, limits: &Limits) -> Option<time::Millis> {
        match self.phase {
            Phase::Backpressure => Some(self.phase_since + limits.backpressure_timeout),
            Phase::Parked if self.fill.0 > 0 => Some(self.idle_since + limits.idle_timeout),
            _ if self.complete && self.fill.0 > 0 => Some(self.idle_since + limits.idle_timeout),
            _ => None,
        }
    }

    fn update_meter(&mut self, now: time::Millis) {
        self.meter.update(now, self.fill.0 > 0);
    }

    fn set_phase(&mut self, now: time::Millis, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Returns a sort key that is smallest for the slowest reader, or `None` if parking the response would free
    /// nothing.
    pub(super) fn slowness(&mut self, now: time::Millis) -> Option<impl Ord + use<>> {
        self.update_meter(now);
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

    /// Returns the number of bytes buffered.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::{size, time};
    /// assert_eq!(buffer::Buffer::new(time::Millis(0)).fill(), size::Bytes(0));
    /// ```
    pub fn fill(&self) -> size::Bytes {
        self.fill
    }

    /// Returns whether the last frame was appended and everything was read.
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
            "since": self.phase_since.0,
            "fill": self.fill.0,
            "offset": self.offset,
            "complete": self.complete,
        })
    }
}
