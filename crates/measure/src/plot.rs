//! Plots of a report as SVG.

use std::ops::Range;
use std::path::Path;

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

use crate::Error;
use crate::report::Report;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (720, 400);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type Failure<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// One bar.
struct Bar {
    name: String,
    value: f64,
}

/// Writes a plot for each measure of `report` into `folder`.
///
/// # Errors
///
/// [`Error::File`] when the folder cannot be made, [`Error::Plot`] when a plot cannot be drawn.
pub fn plot(report: &Report, folder: &Path) -> Result<(), Error> {
    let file = |source| Error::File { path: folder.display().to_string(), source };
    std::fs::create_dir_all(folder).map_err(file)?;
    let title = |measure: &str| format!("{measure} ({}, seed {})", report.scenario, report.seed);
    let groups = || report.ranks.iter().chain(&report.extra).chain([&report.small, &report.large]);
    let in_time = groups().map(|group| bar(&group.name, 100.0 * group.in_time_share()));
    bars(&folder.join("in-time.svg"), &title("answered in time, percent"), in_time.collect())?;
    let latency = groups().map(|group| bar(&group.name, group.whole_p95));
    bars(&folder.join("latency.svg"), &title("p95 of whole answers, ms"), latency.collect())?;
    let control = report.control.iter().map(|(slice, rate)| bar(slice, *rate));
    bars(&folder.join("control.svg"), &title("control bytes/s a node"), control.collect())?;
    let reuse = vec![bar("context reused", 100.0 * report.reuse)];
    bars(&folder.join("reuse.svg"), &title("context reused, percent"), reuse)?;
    let added = vec![
        bar("added p50", report.added.p50() as f64),
        bar("added p99", report.added.p99() as f64),
    ];
    bars(&folder.join("added.svg"), &title("added to the first token, us"), added)?;
    skew(&folder.join("skew.svg"), &title("load max/mean"), report)
}

fn bar(name: &str, value: f64) -> Bar {
    Bar { name: name.to_string(), value }
}

fn failed<E>(path: &Path) -> impl Fn(E) -> Error
where
    E: std::fmt::Display,
{
    let path = path.display().to_string();
    move |error: E| Error::Plot { path: path.clone(), problem: error.to_string() }
}

/// An empty chart with a title and both axes; the vertical one leaves room above `highest`.
fn chart<'a>(
    area: &Area<'a>,
    title: &str,
    horizontal: Range<f64>,
    highest: f64,
) -> Result<Chart<'a>, Failure<'a>> {
    area.fill(&WHITE)?;
    ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(horizontal, 0.0..highest * 1.1)
}

fn bars(path: &Path, title: &str, bars: Vec<Bar>) -> Result<(), Error> {
    let highest = bars.iter().map(|bar| bar.value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let mut chart =
        chart(&area, title, 0.0..bars.len().max(1) as f64, highest).map_err(failed(path))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * bars.len() + 1)
        .x_label_formatter(&|place| {
            let is_middle = (place.fract() - 0.5).abs() < 0.01;
            let bar = bars.get(*place as usize).filter(|_| is_middle);
            bar.map_or(String::new(), |bar| bar.name.clone())
        })
        .draw()
        .map_err(failed(path))?;
    let shapes = bars.iter().enumerate().map(|(index, bar)| {
        let left = index as f64 + 0.2;
        Rectangle::new([(left, 0.0), (left + 0.6, bar.value)], BLUE.mix(0.6).filled())
    });
    chart.draw_series(shapes).map_err(failed(path))?;
    area.present().map_err(failed(path))
}

fn skew(path: &Path, title: &str, report: &Report) -> Result<(), Error> {
    let points: Vec<(f64, f64)> =
        report.skews.iter().filter_map(|skew| Some((skew.at, skew.ratio()?))).collect();
    let highest = points.iter().map(|(_, ratio)| *ratio).fold(2.0, f64::max);
    let end = report.warm_up + report.measured;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let mut chart = chart(&area, title, report.warm_up..end.max(report.warm_up + 1.0), highest)
        .map_err(failed(path))?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(failed(path))?;
    chart.draw_series(LineSeries::new(points, &BLUE)).map_err(failed(path))?;
    for event in &report.events {
        let line = [(event.at, 0.0), (event.at, highest)];
        chart.draw_series(LineSeries::new(line, &RED)).map_err(failed(path))?;
    }
    area.present().map_err(failed(path))
}
