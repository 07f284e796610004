//! Plots a report as SVG files.

use std::ops::Range;
use std::path::Path;

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

use crate::Error;
use crate::report::Report;

/// Size of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (720, 400);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// Bar of a bar chart.
struct Bar {
    name: String,
    value: f64,
}

/// Writes a plot for each metric of `report` into `folder`, which is created if it is missing.
///
/// # Errors
///
/// Returns [`Error::File`] if the folder cannot be created and [`Error::Plot`] if a plot cannot be
/// drawn.
pub fn plot(report: &Report, folder: &Path) -> Result<(), Error> {
    let file_error = |source| Error::File { path: folder.display().to_string(), source };
    std::fs::create_dir_all(folder).map_err(file_error)?;
    let title = |metric: &str| format!("{metric} ({}, seed {})", report.scenario, report.seed);
    let groups = || report.ranks.iter().chain(&report.extra).chain([&report.small, &report.large]);
    let in_time = groups().map(|group| bar(&group.name, 100.0 * group.in_time_share()));
    bar_chart(&folder.join("in-time.svg"), &title("answered in time, percent"), in_time.collect())?;
    let latency = groups().map(|group| bar(&group.name, group.whole_p95));
    bar_chart(
        &folder.join("latency.svg"),
        &title("p95 of complete responses, ms"),
        latency.collect(),
    )?;
    let control = report.control.iter().map(|(slice, rate)| bar(slice, *rate));
    bar_chart(
        &folder.join("control.svg"),
        &title("control bytes/s per instance"),
        control.collect(),
    )?;
    let reuse = vec![bar("context reused", 100.0 * report.reuse)];
    bar_chart(&folder.join("reuse.svg"), &title("context reused, percent"), reuse)?;
    let overhead = vec![
        bar("added p50", report.added.p50() as f64),
        bar("added p99", report.added.p99() as f64),
    ];
    bar_chart(&folder.join("added.svg"), &title("added to the first token, us"), overhead)?;
    skew_chart(&folder.join("skew.svg"), &title("load max/mean"), report)
}

fn bar(name: &str, value: f64) -> Bar {
    Bar { name: name.to_string(), value }
}

/// Returns a function that converts an error from drawing the plot at `path`.
fn plot_error<E>(path: &Path) -> impl Fn(E) -> Error
where
    E: std::fmt::Display,
{
    let path = path.display().to_string();
    move |error: E| Error::Plot { path: path.clone(), problem: error.to_string() }
}

/// Creates an empty chart with a title and both axes.
///
/// The vertical axis ends 10 % above `max_value`.
fn empty_chart<'a>(
    area: &Area<'a>,
    title: &str,
    x_range: Range<f64>,
    max_value: f64,
) -> Result<Chart<'a>, DrawError<'a>> {
    area.fill(&WHITE)?;
    ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(x_range, 0.0..max_value * 1.1)
}

/// Writes a bar chart.
fn bar_chart(path: &Path, title: &str, bars: Vec<Bar>) -> Result<(), Error> {
    let max_value = bars.iter().map(|bar| bar.value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    let mut chart = empty_chart(&area, title, 0.0..bars.len().max(1) as f64, max_value)
        .map_err(plot_error(path))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * bars.len() + 1)
        .x_label_formatter(&|position| {
            let is_middle = (position.fract() - 0.5).abs() < 0.01;
            let bar = bars.get(*position as usize).filter(|_| is_middle);
            bar.map_or(String::new(), |bar| bar.name.clone())
        })
        .draw()
        .map_err(plot_error(path))?;
    let shapes = bars.iter().enumerate().map(|(index, bar)| {
        let left = index as f64 + 0.2;
        Rectangle::new([(left, 0.0), (left + 0.6, bar.value)], BLUE.mix(0.6).filled())
    });
    chart.draw_series(shapes).map_err(plot_error(path))?;
    area.present().map_err(plot_error(path))
}

/// Writes the skew of the load over time, with a vertical line for each event.
fn skew_chart(path: &Path, title: &str, report: &Report) -> Result<(), Error> {
    let points: Vec<(f64, f64)> =
        report.skews.iter().filter_map(|skew| Some((skew.at, skew.ratio()?))).collect();
    let max_value = points.iter().map(|(_, ratio)| *ratio).fold(2.0, f64::max);
    let end = report.warm_up + report.measured;
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    let mut chart =
        empty_chart(&area, title, report.warm_up..end.max(report.warm_up + 1.0), max_value)
            .map_err(plot_error(path))?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(plot_error(path))?;
    chart.draw_series(LineSeries::new(points, &BLUE)).map_err(plot_error(path))?;
    for event in &report.events {
        let marker = [(event.at, 0.0), (event.at, max_value)];
        chart.draw_series(LineSeries::new(marker, &RED)).map_err(plot_error(path))?;
    }
    area.present().map_err(plot_error(path))
}
