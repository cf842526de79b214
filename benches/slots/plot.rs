//! Plots the wait for a slot by load and policy.

use plotters::prelude::*;

use crate::outcome::Outcome;

/// The results of one run.
pub struct Row {
    /// The load's name.
    pub load: String,
    /// The policy's name.
    pub policy: String,
    /// The results.
    pub outcome: Outcome,
}

const SIZE: (u32, u32) = (1_100, 560);
const COLOURS: [RGBColor; 7] = [
    RGBColor(60, 60, 60),
    RGBColor(200, 30, 60),
    RGBColor(70, 130, 180),
    RGBColor(120, 170, 210),
    RGBColor(90, 160, 90),
    RGBColor(210, 160, 60),
    RGBColor(150, 120, 180),
];

/// Writes an SVG file with the p99 wait of every run on a logarithmic scale.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw(rows: &[Row], path: &str) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut loads: Vec<&str> = Vec::new();
    let mut policies: Vec<&str> = Vec::new();
    for row in rows {
        if !loads.contains(&row.load.as_str()) {
            loads.push(&row.load);
        }
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
    }
    let mut chart = ChartBuilder::on(&root)
        .caption("wait for a slot at p99, ms", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(48)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..loads.len() as f64, (0.1..20_000.0).log_scale())?;
    let names = loads.clone();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(loads.len() * 2 + 1)
        .x_label_formatter(&|x| match x.fract() {
            f if (f - 0.5).abs() < 0.01 => names.get(*x as usize).unwrap_or(&"").to_string(),
            _ => String::new(),
        })
        .y_desc("ms, logarithmic")
        .draw()?;
    for (n, policy) in policies.iter().enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let width = 0.8 / policies.len() as f64;
        let bars = rows.iter().filter(|r| r.policy == *policy).map(|row| {
            let group = loads.iter().position(|l| *l == row.load).unwrap_or(0);
            let left = group as f64 + 0.1 + n as f64 * width;
            let height = row.outcome.wait[1].max(0.11);
            Rectangle::new([(left, 0.1), (left + width * 0.9, height)], colour.filled())
        });
        chart
            .draw_series(bars)?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    root.present()?;
    Ok(())
}
