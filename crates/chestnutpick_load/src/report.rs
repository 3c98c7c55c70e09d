//! Summaries of measured values as lines of text, and SVG charts.

use std::fs;
use std::io;
use std::path;

use plotters::prelude as plot;
use plotters::prelude::{IntoDrawingArea, IntoFont, Palette};

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 420);

/// Values of one quantity from several runs, in ascending order.
#[derive(Debug, Clone, Default)]
pub struct Samples(Vec<f64>);

impl Samples {
    /// Adds the value of one run.
    pub fn push(&mut self, value: f64) {
        self.0.push(value);
        self.0.sort_by(f64::total_cmp);
    }

    /// Returns the median, or 0 if there are no values.
    ///
    /// ```
    /// let samples: chestnutpick_load::report::Samples = [3.0, 1.0, 2.0].into_iter().collect();
    /// assert_eq!(samples.median(), 2.0);
    /// ```
    pub fn median(&self) -> f64 {
        let middle = self.0.len() / 2;
        match self.0.len() {
            0 => 0.0,
            len if len % 2 == 1 => self.0[middle],
            _ => self.0[middle - 1].midpoint(self.0[middle]),
        }
    }

    /// Returns name, median, unit, number of runs, minimum and maximum in one line.
    ///
    /// ```
    /// let samples: chestnutpick_load::report::Samples = [3.0, 1.0, 2.0].into_iter().collect();
    /// assert_eq!(samples.summary("choose", "ns"), "choose 2.00 ns (median of 3, 1.00 to 3.00)");
    /// ```
    pub fn summary(&self, name: &str, unit: &str) -> String {
        let min = self.0.first().copied().unwrap_or_default();
        let max = self.0.last().copied().unwrap_or_default();
        let (median, count) = (self.median(), self.0.len());
        let digits = if median.abs() >= 1_000.0 { 0 } else { 2 };
        format!(
            "{name} {median:.digits$} {unit} (median of {count}, {min:.digits$} to {max:.digits$})"
        )
    }
}

impl FromIterator<f64> for Samples {
    fn from_iter<I>(values: I) -> Self
    where
        I: IntoIterator<Item = f64>,
    {
        let mut samples = Self(values.into_iter().collect());
        samples.0.sort_by(f64::total_cmp);
        samples
    }
}

/// A named line of a chart.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Pairs of x and y values.
    pub points: Vec<(f64, f64)>,
}

/// Writes a chart of `series` to `directory/name.svg` and returns its path. `axis_labels` are those of
/// the x axis and the y axis.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_chart(
    directory: &path::Path,
    name: &str,
    axis_labels: (&str, &str),
    series: &[Series],
) -> io::Result<path::PathBuf> {
    fs::create_dir_all(directory)?;
    let path = directory.join(format!("{name}.svg"));
    draw(&path, name, axis_labels, series).map_err(io::Error::other)?;
    Ok(path)
}

fn draw(
    path: &path::Path,
    name: &str,
    axis_labels: (&str, &str),
    series: &[Series],
) -> Result<(), String> {
    let root = plot::SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    let to_message = |error: &dyn std::fmt::Display| error.to_string();
    root.fill(&plot::WHITE).map_err(|error| to_message(&error))?;
    let points = || series.iter().flat_map(|series| &series.points);
    let x_max = points().map(|point| point.0).fold(1.0, f64::max);
    // The y axis ends 10% above the highest point.
    let y_max = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let mut chart = plot::ChartBuilder::on(&root)
        .caption(name, ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .map_err(|error| to_message(&error))?;
    chart
        .configure_mesh()
        .x_desc(axis_labels.0)
        .y_desc(axis_labels.1)
        .draw()
        .map_err(|error| to_message(&error))?;
    for (index, series) in series.iter().enumerate() {
        let color = plot::Palette99::pick(index);
        let line = plot::LineSeries::new(series.points.iter().copied(), &color);
        let drawn = chart.draw_series(line).map_err(|error| to_message(&error))?;
        drawn.label(&series.name).legend(move |(x, y)| {
            plot::PathElement::new(vec![(x, y), (x + 16, y)], plot::Palette99::pick(index))
        });
    }
    chart
        .configure_series_labels()
        .border_style(plot::BLACK)
        .draw()
        .map_err(|error| to_message(&error))?;
    root.present().map_err(|error| to_message(&error))
}
