//! Progress of the distribution of weights, as one line on the terminal.

use std::time;

use serde_json::Value;

/// Width of the progress bar, in characters.
const BAR_WIDTH: usize = 30;

/// Progress of the distribution.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Engines that serve every declared version.
    pub ready: usize,
    /// Number of all engines.
    pub engines: usize,
    /// Chunks held by the engines that do not yet serve every declared version.
    pub chunks_held: u64,
    /// Chunks needed by the engines that do not yet serve every declared version.
    pub chunks_total: u64,
    /// Bytes fetched from the origin.
    pub origin_bytes: u64,
}

impl Progress {
    /// Computes the progress from the response to `GET /admin/v1/status`.
    ///
    /// ```
    /// use chestnutpick_cli::progress;
    /// let status = serde_json::json!({"wanted": ["d"], "hosts": [
    ///     {"role": "engine", "loaded": ["d"], "chunks_held": 0, "chunks_total": 0, "origin_bytes": 5},
    ///     {"role": "engine", "loaded": [], "chunks_held": 1, "chunks_total": 4, "origin_bytes": 7},
    ///     {"role": "entry"},
    /// ]});
    /// let progress = progress::Progress::from_status(&status);
    /// assert_eq!((progress.ready, progress.engines, progress.origin_bytes), (1, 2, 12));
    /// ```
    pub fn from_status(status: &Value) -> Self {
        let empty = Vec::new();
        let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
        let wanted = list(&status["wanted"]);
        let mut progress = Self::default();
        for host in status["hosts"].as_array().unwrap_or(&empty) {
            if host["role"] != "engine" {
                continue;
            }
            let loaded = list(&host["loaded"]);
            let number = |key: &str| host[key].as_u64().unwrap_or_default();
            progress.engines += 1;
            progress.origin_bytes += number("origin_bytes");
            if wanted.iter().all(|digest| loaded.contains(digest)) {
                progress.ready += 1;
            } else {
                progress.chunks_held += number("chunks_held");
                progress.chunks_total += number("chunks_total");
            }
        }
        progress
    }

    /// Returns whether every engine serves every declared version. Returns `false` if there are no engines.
    ///
    /// ```
    /// use chestnutpick_cli::progress;
    /// let progress = progress::Progress { ready: 2, engines: 2, ..Default::default() };
    /// assert!(progress.is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.engines > 0 && self.ready == self.engines
    }

    /// Returns the line for the terminal. The transfer rate is computed from `previous`, the progress `elapsed` ago.
    ///
    /// ```
    /// use chestnutpick_cli::progress;
    /// let progress = progress::Progress { ready: 1, engines: 2, chunks_held: 3, chunks_total: 12, origin_bytes: 1 << 20 };
    /// let line = progress.line(&progress, std::time::Duration::from_secs(1));
    /// assert!(line.contains("1/2 hosts"), "{line}");
    /// ```
    pub fn line(&self, previous: &Self, elapsed: time::Duration) -> String {
        let filled = (BAR_WIDTH * self.ready).checked_div(self.engines).unwrap_or_default();
        let bar = format!("[{}{}]", "#".repeat(filled), ".".repeat(BAR_WIDTH - filled));
        let rate = self.chunks_held.saturating_sub(previous.chunks_held) as f64
            / elapsed.as_secs_f64().max(0.001);
        let left = self.chunks_total.saturating_sub(self.chunks_held) as f64;
        let left = if rate > 0.0 { format!("{:.0} s left", left / rate) } else { "-".to_owned() };
        let mib = self.origin_bytes as f64 / f64::from(1 << 20);
        format!(
            "{bar} {}/{} hosts, chunks {}/{}, {mib:.1} MiB from the origin, {rate:.0} chunks/s, {left}",
            self.ready, self.engines, self.chunks_held, self.chunks_total
        )
    }
}
