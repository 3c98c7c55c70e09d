//! A token bucket that allows debt, so that one item may exceed the burst.

use chestnutpick_types::{rate, size, time};

/// Token bucket for a flow of bytes. An item passes while the bucket is not in debt, and may put it into debt.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    rate: rate::BytesPerSec,
    burst: i64,
    /// Tokens in thousandths of a byte, so that the bucket refills every millisecond even at low rates.
    tokens: i64,
    updated: time::Millis,
}

/// Tokens per byte.
const SCALE: i64 = 1_000;

impl Bucket {
    /// Returns a bucket that holds at most `burst` bytes of credit and starts with `burst` minus `debt` bytes.
    ///
    /// ```
    /// use chestnutpick_types::{rate, size, time};
    /// use chestnutpick_weights::bucket;
    /// let mut bucket = bucket::Bucket::new(time::Millis(0), rate::BytesPerSec(100), size::Bytes(0), size::Bytes(50));
    /// assert_eq!(bucket.wait(time::Millis(0)), time::Millis(500));
    /// ```
    pub fn new(
        now: time::Millis,
        rate: rate::BytesPerSec,
        burst: size::Bytes,
        debt: size::Bytes,
    ) -> Self {
        Self { rate, burst: scaled(burst), tokens: scaled(burst) - scaled(debt), updated: now }
    }

    /// Changes the rate from `now` on.
    ///
    /// ```
    /// use chestnutpick_types::{rate, size, time};
    /// use chestnutpick_weights::bucket;
    /// let mut bucket = bucket::Bucket::new(time::Millis(0), rate::BytesPerSec(100), size::Bytes(0), size::Bytes(50));
    /// bucket.set_rate(time::Millis(0), rate::BytesPerSec(50));
    /// assert_eq!(bucket.wait(time::Millis(0)), time::Millis(1_000));
    /// ```
    pub fn set_rate(&mut self, now: time::Millis, rate: rate::BytesPerSec) {
        self.refill(now);
        self.rate = rate;
    }

    /// Returns the delay before the next item may pass; zero if it may pass now.
    ///
    /// ```
    /// use chestnutpick_types::{rate, size, time};
    /// use chestnutpick_weights::bucket;
    /// let mut bucket = bucket::Bucket::new(time::Millis(0), rate::BytesPerSec(100), size::Bytes(0), size::Bytes(0));
    /// assert_eq!(bucket.wait(time::Millis(0)), time::Millis(0));
    /// ```
    pub fn wait(&mut self, now: time::Millis) -> time::Millis {
        self.refill(now);
        let debt = self.tokens.min(0).unsigned_abs();
        self.rate.time_for(size::Bytes(debt.div_ceil(SCALE.unsigned_abs())))
    }

    /// Takes `size` bytes from the bucket, which may put it into debt.
    ///
    /// ```
    /// use chestnutpick_types::{rate, size, time};
    /// use chestnutpick_weights::bucket;
    /// let mut bucket = bucket::Bucket::new(time::Millis(0), rate::BytesPerSec(100), size::Bytes(0), size::Bytes(0));
    /// bucket.charge(time::Millis(0), size::Bytes(100));
    /// assert_eq!(bucket.wait(time::Millis(0)), time::Millis(1_000));
    /// ```
    pub fn charge(&mut self, now: time::Millis, size: size::Bytes) {
        self.refill(now);
        self.tokens = self.tokens.saturating_sub(scaled(size));
    }

    /// Returns the current rate.
    ///
    /// ```
    /// use chestnutpick_types::{rate, size, time};
    /// use chestnutpick_weights::bucket;
    /// let bucket = bucket::Bucket::new(time::Millis(0), rate::BytesPerSec(100), size::Bytes(0), size::Bytes(0));
    /// assert_eq!(bucket.rate(), rate::BytesPerSec(100));
    /// ```
    pub fn rate(&self) -> rate::BytesPerSec {
        self.rate
    }

    fn refill(&mut self, now: time::Millis) {
        let elapsed = now.since(self.updated);
        let gained = i64::try_from(self.rate.0.saturating_mul(elapsed.0)).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(gained).min(self.burst);
        self.updated = self.updated.max(now);
    }
}

fn scaled(size: size::Bytes) -> i64 {
    i64::try_from(size.0).unwrap_or(i64::MAX).saturating_mul(SCALE)
}
