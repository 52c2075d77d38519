//! Reports of the load tool: a table, JSON and plots, each with what is needed to repeat the run.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::Command,
};

use bpaf::Parser;
use hdrhistogram::Histogram;
use plotters::{
    prelude::{
        ChartBuilder,
        Color,
        DrawingArea,
        IntoDrawingArea,
        PathElement,
        Rectangle,
        SVGBackend, //
    },
    style::{
        BLACK,
        Palette,
        Palette99,
        WHITE, //
    },
};
use serde::Serialize;
use serde_json::{
    Value,
    json, //
};

use super::Error;

/// Width of the plots in pixels.
const PLOT_WIDTH: u32 = 900;

/// Height of each plot in pixels.
const PLOT_HEIGHT: u32 = 420;

/// Points of a curve of quantiles.
const CURVE_POINTS: u32 = 200;

/// Bound of seeds, so that numbers of streams can be added above them.
const MAX_SEED: u64 = 1 << 31;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;

/// Where a report goes.
#[derive(Debug, Clone)]
pub(super) struct Output {
    /// Whether JSON is printed in place of the table.
    pub(super) json: bool,
    /// File for the plots, if wanted.
    pub(super) svg: Option<PathBuf>,
}

/// Returns the parser of where a report goes.
pub(super) fn output() -> impl Parser<Output> {
    let json = bpaf::long("json")
        .help("Prints JSON in place of a table")
        .switch();
    let svg = bpaf::long("svg")
        .help("Writes plots to this file")
        .argument::<PathBuf>("FILE")
        .optional();
    bpaf::construct!(Output { json, svg })
}

/// Returns the parser of a run's seed.
pub(super) fn seed() -> impl Parser<u64> {
    bpaf::long("seed")
        .help("Seed of the run")
        .argument::<u64>("N")
        .guard(|seed| *seed < MAX_SEED, "the seed is too large")
        .fallback(1)
}

/// Returns the parser of a number from 1 to `most`.
pub(super) fn bounded(
    name: &'static str,
    help: &'static str,
    default: u32,
    most: u32,
) -> impl Parser<u32> {
    bpaf::long(name)
        .help(help)
        .argument::<u32>("N")
        .guard(move |number| (1..=most).contains(number), "out of bounds")
        .fallback(default)
}

/// A measured value.
#[derive(Debug, Serialize)]
pub(super) struct Row {
    name: String,
    value: f64,
    unit: &'static str,
}

impl Row {
    pub(super) fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
        }
    }
}

/// Times of one kind in microseconds.
#[derive(Debug, Clone)]
pub(super) struct Times(Histogram<u64>);

impl Times {
    /// Makes an empty set of times.
    pub(super) fn new() -> Result<Self, Error> {
        let histogram = Histogram::new(DIGITS);
        histogram
            .map(Self)
            .map_err(|error| Error::Call(error.to_string()))
    }

    /// Records a time.
    pub(super) fn record(&mut self, time: std::time::Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        // Fails only for a histogram that does not grow.
        let _ = self.0.record(micros);
    }

    /// Adds the times of another set.
    pub(super) fn add(&mut self, other: &Self) {
        // Fails only for a histogram that does not grow.
        let _ = self.0.add(&other.0);
    }

    /// Returns the number of times.
    pub(super) fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns a quantile in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the longest time in milliseconds.
    pub(super) fn longest_ms(&self) -> f64 {
        self.0.max() as f64 / 1e3
    }

    /// Returns the rows of the quantiles 0.5, 0.95 and 0.99.
    pub(super) fn rows(&self, name: &str) -> Vec<Row> {
        [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)]
            .into_iter()
            .map(|(label, quantile)| {
                Row::new(format!("{name}, {label}"), self.quantile_ms(quantile), "ms")
            })
            .collect()
    }

    /// Returns the points (percentile, milliseconds) of the curve of quantiles.
    pub(super) fn curve(&self) -> Vec<(f64, f64)> {
        (0..CURVE_POINTS)
            .map(|point| f64::from(point) / f64::from(CURVE_POINTS))
            .map(|quantile| (100.0 * quantile, self.quantile_ms(quantile)))
            .collect()
    }
}

/// A plot with one or more curves.
#[derive(Debug)]
pub(super) struct Plot {
    /// Title.
    pub(super) title: String,
    /// What the axes show.
    pub(super) axes: (&'static str, &'static str),
    /// Curves with their names.
    pub(super) curves: Vec<(&'static str, Vec<(f64, f64)>)>,
}

/// What a run measured.
#[derive(Debug)]
pub(super) struct Report {
    command: &'static str,
    seed: u64,
    settings: Value,
    /// Measured values in the order of the table.
    pub(super) rows: Vec<Row>,
    /// Plots.
    pub(super) plots: Vec<Plot>,
}

impl Report {
    /// Makes the empty report of a run.
    pub(super) fn new(command: &'static str, seed: u64, settings: Value) -> Self {
        Self {
            command,
            seed,
            settings,
            rows: Vec::new(),
            plots: Vec::new(),
        }
    }

    /// Prints the report and writes its plots.
    pub(super) fn publish(&self, output: &Output) -> Result<(), Error> {
        let commit = commit();
        if output.json {
            println!("{}", self.json(&commit));
        } else {
            println!("{}", self.heading(&commit));
            for row in &self.rows {
                println!("{:<60} {:>12.3} {}", row.name, row.value, row.unit);
            }
        }
        match &output.svg {
            Some(path) => self.draw(path, &commit),
            None => Ok(()),
        }
    }

    fn heading(&self, commit: &str) -> String {
        format!(
            "{} seed={} commit={commit} build={} settings={}",
            self.command,
            self.seed,
            build(),
            self.settings,
        )
    }

    fn json(&self, commit: &str) -> Value {
        json!({
            "command": self.command,
            "seed": self.seed,
            "commit": commit,
            "build": build(),
            "settings": self.settings,
            "rows": self.rows,
        })
    }

    fn draw(&self, path: &Path, commit: &str) -> Result<(), Error> {
        let count = u32::try_from(self.plots.len()).unwrap_or(1).max(1);
        let root = SVGBackend::new(path, (PLOT_WIDTH, PLOT_HEIGHT * count)).into_drawing_area();
        let drawn = root.fill(&WHITE).map_err(plot_failed);
        drawn?;
        let heading = self.heading(commit);
        for (area, plot) in root
            .split_evenly((count as usize, 1))
            .iter()
            .zip(&self.plots)
        {
            let area = area.titled(&heading, ("sans-serif", 11));
            plot.draw(&area.map_err(plot_failed)?)?;
        }
        root.present().map_err(plot_failed)
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

impl Plot {
    fn draw(&self, area: &Area<'_>) -> Result<(), Error> {
        let points = || self.curves.iter().flat_map(|(_, points)| points);
        let largest = |pick: fn(&(f64, f64)) -> f64| {
            points()
                .map(pick)
                .fold(0.0, f64::max)
                .max(f64::MIN_POSITIVE)
        };
        let (right, top) = (largest(|point| point.0), 1.05 * largest(|point| point.1));
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(plot_failed)?;
        chart
            .configure_mesh()
            .x_desc(self.axes.0)
            .y_desc(self.axes.1)
            .draw()
            .map_err(plot_failed)?;
        for (index, (name, points)) in self.curves.iter().enumerate() {
            let style = Palette99::pick(index).stroke_width(2);
            let fill = Palette99::pick(index).filled();
            chart
                .draw_series([PathElement::new(points.clone(), style)])
                .map_err(plot_failed)?
                .label(*name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 3), (x + 14, y + 3)], fill));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(plot_failed)
    }
}

fn plot_failed(error: impl std::fmt::Display) -> Error {
    Error::Call(format!("plot: {error}"))
}

const fn build() -> &'static str {
    if cfg!(debug_assertions) {
        "debug"
    } else {
        "release"
    }
}

/// Returns the commit of the working directory, or `unknown`.
fn commit() -> String {
    let output = Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    match output {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        _ => "unknown".to_owned(),
    }
}
