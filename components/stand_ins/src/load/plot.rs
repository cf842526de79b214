//! Plots one or more runs of an experiment.

use std::time::Duration;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::experiment::{Action, Experiment};
use super::plan::Plan;
use super::report::{Sample, TimeHistogram};
use crate::history::Outcome;

const SIZE: (u32, u32) = (1_100, 1_050);
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 60, 20),
    RGBColor(20, 130, 60),
    RGBColor(130, 60, 150),
    RGBColor(180, 130, 0),
    RGBColor(90, 90, 90),
    RGBColor(0, 150, 160),
];
const FONT: &str = "sans-serif";
/// The number of bins on the time axis.
const TIME_BINS: u32 = 100;
/// The percentile curve ends at 99.99% (four nines).
const MAX_NINES: f64 = 4.0;

/// One curve of the percentile chart.
pub struct Curve<'a> {
    /// The text in the legend.
    pub label: String,
    /// The times, in any order.
    pub times: &'a TimeHistogram,
}

/// The data of one run for the charts over time.
pub struct Timeline<'a> {
    /// The experiment.
    pub experiment: &'a Experiment,
    /// The plan of the run.
    pub plan: &'a Plan,
    /// The result of each call.
    pub samples: &'a [Sample],
}

/// The reason why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("can't draw the plot: {0}")]
pub struct PlotError(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for PlotError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        PlotError(error.to_string())
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Returns an SVG image with the percentiles of all `curves` and the charts over time of one run.
///
/// # Errors
///
/// Fails if the drawing library fails.
pub fn draw(curves: &[Curve<'_>], timeline: &Timeline<'_>) -> Result<String, PlotError> {
    let mut picture = String::new();
    {
        let area = SVGBackend::with_string(&mut picture, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let area = area.titled(&timeline.experiment.name, (FONT, 24))?;
        let panels = area.split_evenly((3, 1));
        percentiles(&panels[0], curves)?;
        latencies(&panels[1], timeline)?;
        outcomes(&panels[2], timeline)?;
        area.present()?;
    }
    Ok(picture)
}

fn percentiles(area: &Area<'_>, curves: &[Curve<'_>]) -> Result<(), PlotError> {
    let fraction = |nines: f64| 1.0 - 10f64.powf(-nines);
    let top = curves
        .iter()
        .map(|c| c.times.quantile(fraction(MAX_NINES)))
        .fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Answer time by percentile", (FONT, 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..MAX_NINES, (0.1..top * 1.5).log_scale())?;
    let label = |nines: &f64| format!("{}%", format_number(100.0 * fraction(*nines)));
    chart
        .configure_mesh()
        .x_labels(5)
        .x_label_formatter(&label)
        .y_desc("ms")
        .y_label_formatter(&|ms| format_number(*ms))
        .light_line_style(WHITE)
        .draw()?;
    for (curve, colour) in curves.iter().zip(COLOURS.iter().cycle()) {
        let points = (0..=200).map(|i| {
            let nines = MAX_NINES * f64::from(i) / 200.0;
            (nines, curve.times.quantile(fraction(nines)).max(0.1))
        });
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(&curve.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .label_font((FONT, 13))
        .draw()?;
    Ok(())
}

fn latencies(area: &Area<'_>, timeline: &Timeline<'_>) -> Result<(), PlotError> {
    let mut bins: Vec<TimeHistogram> = (0..TIME_BINS).map(|_| TimeHistogram::default()).collect();
    for sample in timeline.samples {
        if sample.outcome == Outcome::Complete {
            bins[timeline.bin(sample)].add(sample.latency);
        }
    }
    let top = bins.iter().map(|p| p.quantile(1.0)).fold(10.0, f64::max);
    let seconds = timeline.experiment.seconds as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("Answer time over time: median, 99%, maximum", (FONT, 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds, (0.1..top * 1.5).log_scale())?;
    chart
        .configure_mesh()
        .y_desc("ms")
        .x_label_formatter(&|s| format!("{} s", format_number(*s)))
        .y_label_formatter(&|ms| format_number(*ms))
        .light_line_style(WHITE)
        .draw()?;
    for (fraction, colour) in [(0.5, COLOURS[0]), (0.99, COLOURS[1]), (1.0, COLOURS[5])] {
        let points = bins
            .iter()
            .enumerate()
            .map(|(i, p)| (timeline.second(i), p.quantile(fraction).max(0.1)));
        chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
    }
    for (second, text) in timeline.event_labels() {
        let line = [(second, 0.1), (second, top * 1.5)];
        chart.draw_series([PathElement::new(line, BLACK.mix(0.4))])?;
        let text = Text::new(text, (second, top), (FONT, 12).into_font());
        chart.draw_series([text])?;
    }
    Ok(())
}

fn outcomes(area: &Area<'_>, timeline: &Timeline<'_>) -> Result<(), PlotError> {
    let seconds = timeline.experiment.seconds as f64;
    let kinds = [
        ("answered", COLOURS[2], [Outcome::Complete].as_slice()),
        ("refused, not run", COLOURS[4], &[Outcome::NotRun]),
        (
            "unknown, broken or no connection",
            COLOURS[1],
            &[Outcome::Unknown, Outcome::Broken, Outcome::Unreachable],
        ),
    ];
    let rates: Vec<Vec<f64>> = kinds.iter().map(|(_, _, k)| timeline.rates(k)).collect();
    let top = rates.iter().flatten().copied().fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Calls per second by outcome", (FONT, 16))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds, 0.0..top * 1.1)?;
    chart
        .configure_mesh()
        .y_desc("calls/s")
        .x_label_formatter(&|s| format!("{} s", format_number(*s)))
        .light_line_style(WHITE)
        .draw()?;
    for ((label, colour, _), rates) in kinds.iter().zip(&rates) {
        let points = rates
            .iter()
            .enumerate()
            .map(|(i, r)| (timeline.second(i), *r));
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(*label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::MiddleRight)
        .background_style(WHITE.mix(0.8))
        .label_font((FONT, 13))
        .draw()?;
    Ok(())
}

impl Timeline<'_> {
    fn width(&self) -> Duration {
        Duration::from_secs(self.experiment.seconds.max(1)) / TIME_BINS
    }

    fn bin(&self, sample: &Sample) -> usize {
        let at = self.plan.calls[sample.call].at;
        let bin = at.as_micros() / self.width().as_micros();
        usize::try_from(bin)
            .unwrap_or(0)
            .min(TIME_BINS as usize - 1)
    }

    fn second(&self, bin: usize) -> f64 {
        (bin as f64 + 0.5) * self.width().as_secs_f64()
    }

    fn rates(&self, outcomes: &[Outcome]) -> Vec<f64> {
        let mut rates = vec![0.0; TIME_BINS as usize];
        for sample in self.samples {
            if outcomes.contains(&sample.outcome) {
                rates[self.bin(sample)] += 1.0 / self.width().as_secs_f64();
            }
        }
        rates
    }

    fn event_labels(&self) -> Vec<(f64, String)> {
        let events = self.experiment.events.iter();
        events
            .map(|event| {
                let text = match &event.action {
                    Action::Leave(name) => format!("{name} leaves"),
                    Action::Return(name) => format!("{name} returns"),
                    Action::Backend {
                        service, endpoint, ..
                    } => format!("{service} {endpoint}"),
                    Action::LogDown(ms) => format!("log down {ms} ms"),
                };
                (event.at_ms as f64 / 1_000.0, text)
            })
            .collect()
    }
}

fn format_number(number: f64) -> String {
    let text = format!("{number:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
