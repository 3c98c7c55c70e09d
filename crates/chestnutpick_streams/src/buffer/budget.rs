//! Buffers of all responses of a process within one memory budget.

use std::collections::BTreeMap;

use bytes::Bytes;
use chestnutpick_types::error;
use chestnutpick_types::size;
use chestnutpick_types::time;

use super::Action;
use super::Buffer;
use super::Limits;
use super::Phase;
use super::Step;
use super::StreamId;

/// Number of responses parked while the fill level rises from `soft_limit` to `hard_limit`. Parking a response only
/// stops its growth, so its effect must show before the next response is parked.
const PARK_STAGES: u64 = 16;

/// Buffers of all responses of a process.
#[derive(Debug, Clone)]
pub struct Budget {
    limits: Limits,
    buffers: BTreeMap<StreamId, Buffer>,
    used: size::Bytes,
    /// Number of parked responses. While it is 0, a read need not look for a response to resume.
    parked: usize,
    /// Fill level at which the next response is parked.
    threshold: size::Bytes,
    peak: size::Bytes,
}

impl Budget {
    /// Returns an empty budget.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::size;
    /// let budget = buffer::Budget::new(buffer::Limits::default());
    /// assert_eq!(budget.used(), size::Bytes(0));
    /// ```
    pub fn new(limits: Limits) -> Self {
        let threshold = limits.soft_limit;
        let buffers = BTreeMap::new();
        Self { limits, buffers, used: size::Bytes(0), parked: 0, threshold, peak: size::Bytes(0) }
    }

    /// Adds a response. Returns false and adds nothing while the fill level is at `soft_limit` or above; the request
    /// must then be refused with `QueueFull`.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut budget = buffer::Budget::new(buffer::Limits::default());
    /// assert!(budget.open(time::Millis(0), buffer::StreamId(1)));
    /// ```
    pub fn open(&mut self, now: time::Millis, stream: StreamId) -> bool {
        let admitted = self.used < self.limits.soft_limit;
        if admitted {
            self.buffers.entry(stream).or_insert_with(|| Buffer::new(now));
        }
        admitted
    }

    /// Appends the frame of token `index` to a response; see [`Buffer::push`].
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut budget = buffer::Budget::new(buffer::Limits::default());
    /// budget.open(time::Millis(0), buffer::StreamId(1));
    /// assert!(budget.push(time::Millis(0), buffer::StreamId(1), 0, "data".into()).is_empty());
    /// assert_eq!(budget.used().0, 4);
    /// ```
    pub fn push(
        &mut self,
        now: time::Millis,
        stream: StreamId,
        index: u64,
        frame: Bytes,
    ) -> Vec<Action> {
        let over_budget = self.used + size::Bytes::of_len(frame.len()) > self.limits.hard_limit;
        let Some(buffer) = self.buffers.get_mut(&stream) else { return Vec::new() };
        let before = buffer.fill();
        let step = match over_budget {
            true => buffer.park(now),
            false => buffer.push(now, &self.limits, index, frame),
        };
        let after = buffer.fill();
        self.account(before, after);
        let mut out = Vec::new();
        self.push_step(stream, step, &mut out);
        self.park_slowest(now, &mut out);
        out
    }

    /// Appends the last frame of a response; see [`Buffer::finish`].
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut budget = buffer::Budget::new(buffer::Limits::default());
    /// budget.open(time::Millis(0), buffer::StreamId(1));
    /// assert!(budget.finish(time::Millis(0), buffer::StreamId(1), "data: [DONE]\n\n".into()));
    /// ```
    pub fn finish(&mut self, now: time::Millis, stream: StreamId, frame: Bytes) -> bool {
        let Some(buffer) = self.buffers.get_mut(&stream) else { return false };
        let before = buffer.fill();
        let accepted = buffer.finish(now, frame);
        let after = buffer.fill();
        self.account(before, after);
        accepted
    }

    /// Returns up to `max` bytes for the reader of a response; empty if there are none.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::{size, time};
    /// let mut budget = buffer::Budget::new(buffer::Limits::default());
    /// budget.open(time::Millis(0), buffer::StreamId(1));
    /// budget.push(time::Millis(0), buffer::StreamId(1), 0, "data".into());
    /// let (data, _) = budget.read(time::Millis(1), buffer::StreamId(1), size::Bytes(64));
    /// assert_eq!(&data[..], b"data");
    /// ```
    pub fn read(
        &mut self,
        now: time::Millis,
        stream: StreamId,
        max: size::Bytes,
    ) -> (Bytes, Vec<Action>) {
        let Some(buffer) = self.buffers.get_mut(&stream) else { return (Bytes::new(), Vec::new()) };
        let before = buffer.fill();
        let (data, step) = buffer.read(now, &self.limits, max);
        let after = buffer.fill();
        self.account(before, after);
        let mut out = Vec::new();
        self.push_step(stream, step, &mut out);
        self.resume_ready(now, &mut out);
        (data, out)
    }

    /// Removes a response and its buffered data.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut budget = buffer::Budget::new(buffer::Limits::default());
    /// budget.open(time::Millis(0), buffer::StreamId(1));
    /// assert!(budget.close(time::Millis(1), buffer::StreamId(1)).is_empty());
    /// ```
    pub fn close(&mut self, now: time::Millis, stream: StreamId) -> Vec<Action> {
        let mut out = Vec::new();
        if self.remove(stream) {
            self.resume_ready(now, &mut out);
        }
        out
    }

    fn remove(&mut self, stream: StreamId) -> bool {
        let Some(buffer) = self.buffers.remove(&stream) else { return false };
        self.account(buffer.fill(), size::Bytes(0));
        self.parked -= usize::from(buffer.phase() == Phase::Parked);
        true
    }

    /// Adds a step to `out` and updates the number of parked responses.
    fn push_step(&mut self, stream: StreamId, step: Option<Step>, out: &mut Vec<Action>) {
        match step {
            Some(Step::Park { .. }) => self.parked += 1,
            Some(Step::Resume { .. }) => self.parked -= 1,
            _ => {}
        }
        out.extend(step.map(|step| Action { stream, step }));
    }

    /// Handles deadlines that have passed.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::time;
    /// let mut budget = buffer::Budget::new(buffer::Limits::default());
    /// assert!(budget.tick(time::Millis(0)).is_empty());
    /// ```
    pub fn tick(&mut self, now: time::Millis) -> Vec<Action> {
        let limits = &self.limits;
        let steps: Vec<_> = self
            .buffers
            .iter_mut()
            .filter_map(|(stream, buffer)| Some((*stream, buffer.tick(now, limits)?)))
            .collect();
        let mut out = Vec::new();
        for (stream, step) in steps {
            if matches!(step, Step::Fail(_)) {
                self.remove(stream);
            }
            self.push_step(stream, Some(step), &mut out);
        }
        self.resume_ready(now, &mut out);
        out
    }

    /// Returns the time at which [`Self::tick`] must be called if no event comes before.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// let budget = buffer::Budget::new(buffer::Limits::default());
    /// assert_eq!(budget.next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<time::Millis> {
        let limits = &self.limits;
        let resumes = self
            .buffers
            .values()
            .filter(|buffer| self.has_room(buffer))
            .filter_map(|buffer| buffer.resume_at(limits));
        self.buffers.values().filter_map(|buffer| buffer.next_deadline(limits)).chain(resumes).min()
    }

    /// Parks the response with the slowest reader if the fill level has reached the threshold.
    fn park_slowest(&mut self, now: time::Millis, out: &mut Vec<Action>) {
        if self.used < self.threshold {
            return;
        }
        let slowest = self
            .buffers
            .iter_mut()
            .filter_map(|(stream, buffer)| buffer.slowness(now).map(|key| (key, *stream)))
            .min();
        let Some((_, stream)) = slowest else { return };
        let step = self.buffers.get_mut(&stream).and_then(|buffer| buffer.park(now));
        self.push_step(stream, step, out);
        let stage = (self.limits.hard_limit.0.saturating_sub(self.limits.soft_limit.0)
            / PARK_STAGES)
            .max(1);
        self.threshold = self.used + size::Bytes(stage);
    }

    /// Resumes parked responses that have drained, in the order in which they became eligible.
    fn resume_ready(&mut self, now: time::Millis, out: &mut Vec<Action>) {
        if self.parked == 0 {
            return;
        }
        let mut eligible: Vec<_> = self
            .buffers
            .iter()
            .filter(|(_, buffer)| self.has_room(buffer))
            .filter_map(|(stream, buffer)| Some((buffer.resume_at(&self.limits)?, *stream)))
            .filter(|(at, _)| *at <= now)
            .collect();
        eligible.sort_unstable();
        for (_, stream) in eligible {
            let step = self.buffers.get_mut(&stream).and_then(|buffer| buffer.resume(now));
            self.push_step(stream, step, out);
        }
    }

    /// Returns whether the budget has room for a parked response to resume. With an empty buffer the fill level must be
    /// below `soft_limit`, otherwise below three quarters of it, so that resumed responses do not fill the budget at
    /// once.
    fn has_room(&self, buffer: &Buffer) -> bool {
        let soft = self.limits.soft_limit.0;
        match buffer.fill().0 {
            0 => self.used.0 < soft,
            _ => self.used.0 < soft / 4 * 3,
        }
    }

    fn account(&mut self, before: size::Bytes, after: size::Bytes) {
        self.used = size::Bytes((self.used.0 + after.0).saturating_sub(before.0));
        self.peak = self.peak.max(self.used);
        if self.used < self.limits.soft_limit {
            self.threshold = self.limits.soft_limit;
        }
    }

    /// Returns the number of bytes buffered for all responses.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::size;
    /// assert_eq!(buffer::Budget::new(buffer::Limits::default()).used(), size::Bytes(0));
    /// ```
    pub fn used(&self) -> size::Bytes {
        self.used
    }

    /// Returns the maximum value that [`Self::used`] has had.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::size;
    /// assert_eq!(buffer::Budget::new(buffer::Limits::default()).peak(), size::Bytes(0));
    /// ```
    pub fn peak(&self) -> size::Bytes {
        self.peak
    }

    /// Returns the buffer of a response.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// let budget = buffer::Budget::new(buffer::Limits::default());
    /// assert!(budget.get(buffer::StreamId(1)).is_none());
    /// ```
    pub fn get(&self, stream: StreamId) -> Option<&Buffer> {
        self.buffers.get(&stream)
    }

    /// Returns the refusal for a response that cannot be opened.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// use chestnutpick_types::error;
    /// assert_eq!(buffer::Budget::refusal().kind, error::ErrorKind::QueueFull);
    /// ```
    pub fn refusal() -> error::Refusal {
        error::Refusal::new(error::ErrorKind::QueueFull, "the memory for responses is in use")
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use chestnutpick_streams::buffer;
    /// assert_eq!(buffer::Budget::new(buffer::Limits::default()).dump()["used"], 0);
    /// ```
    pub fn dump(&self) -> serde_json::Value {
        let streams: serde_json::Map<_, _> = self
            .buffers
            .iter()
            .map(|(stream, buffer)| (stream.0.to_string(), buffer.dump()))
            .collect();
        serde_json::json!({
            "used": self.used.0,
            "peak": self.peak.0,
            "parked": self.parked,
            "streams": streams,
        })
    }
}
