//! Decision which chunks a loader sends to peers now.

use chestnutpick_types::{rate, size, time};

/// Limits on the uploads of a host.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Percentage of the host's link that uploads may use. The engine's streams share the link, and callers notice events
    /// that are delayed there.
    pub percent: u64,
    /// Maximum time by which uploads may be ahead of the maximum rate.
    pub burst: time::Millis,
}

/// Limits of a loader. At most one chunk is being sent when a request arrives.
pub const LIMITS: Limits = Limits { percent: 85, burst: time::Millis(20) };

/// Uploads of one host.
#[derive(Debug)]
pub struct Uploads {
    limits: Limits,
    rate: rate::BytesPerSec,
    /// Time at which all granted uploads have been sent, at the maximum rate.
    free_at: time::Millis,
}

impl Uploads {
    /// Returns the uploads of a host with a link of `link_rate`.
    pub fn new(limits: Limits, link_rate: rate::BytesPerSec) -> Self {
        let rate = rate::BytesPerSec((link_rate.0 * limits.percent / 100).max(1));
        Self { limits, rate, free_at: time::Millis::ZERO }
    }

    /// Grants the upload of a chunk of `size`.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if uploads are ahead of their rate.
    ///
    /// ```
    /// use chestnutpick_loader::uploads;
    /// use chestnutpick_types::{rate, size, time};
    /// let mut uploads = uploads::Uploads::new(uploads::LIMITS, rate::BytesPerSec(1_000_000));
    /// assert_eq!(uploads.request(time::Millis(0), size::Bytes(42_500)), Ok(()));
    /// assert_eq!(uploads.request(time::Millis(0), size::Bytes(42_500)), Err(time::Millis(30)));
    /// ```
    pub fn request(&mut self, now: time::Millis, size: size::Bytes) -> Result<(), time::Millis> {
        let free_at = self.free_at.max(now);
        let wait = free_at.since(now + self.limits.burst);
        if wait > time::Millis::ZERO {
            return Err(wait);
        }
        self.free_at = free_at + time::Millis(size.0 * 1_000 / self.rate.0);
        Ok(())
    }
}
