//! Export of metrics. Counters, gauges and histograms are recorded with the `metrics` macros.

use metrics_exporter_prometheus as prometheus;
use snafu::{ResultExt, Snafu};

/// Error from installing the metrics recorder.
#[derive(Debug, Snafu)]
#[snafu(display("cannot install the metrics recorder: {source}"))]
pub struct InstallError {
    source: prometheus::BuildError,
}

/// Exporter of the metrics of this process.
#[derive(Clone)]
pub struct Exporter(prometheus::PrometheusHandle);

impl Exporter {
    /// Installs the metrics recorder of this process.
    ///
    /// # Errors
    ///
    /// Returns [`InstallError`] if a recorder is already installed.
    ///
    /// ```
    /// let exporter = chestnutpick_telemetry::metric::Exporter::install().unwrap();
    /// assert!(exporter.render().is_empty());
    /// ```
    pub fn install() -> Result<Self, InstallError> {
        prometheus::PrometheusBuilder::new().install_recorder().map(Self).context(InstallSnafu)
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// ```
    /// let exporter = chestnutpick_telemetry::metric::Exporter::install().unwrap();
    /// assert_eq!(exporter.render(), "");
    /// ```
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}
