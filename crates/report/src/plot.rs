//! Plots each pool's instances over time, as SVG.
//!
//! There is one panel per pool, from top to bottom: serving, promised and held instances as step
//! lines, and the duration of each wave that covered the pool as a shaded area with the wave's name.

use crate::{
    replay::ReplayResult,
    report::{Period, Wave},
    series::Point,
};
use plotters::{
    backend::SVGBackend,
    chart::{ChartBuilder, ChartContext},
    coord::{Shift, cartesian::Cartesian2d, types::RangedCoordf64},
    drawing::{DrawingArea, DrawingAreaErrorKind, IntoDrawingArea},
    element::{PathElement, Rectangle, Text},
    series::LineSeries,
    style::{BLACK, BLUE, Color, GREEN, RED, RGBColor, WHITE},
};
use primroseroute_domain::{id, time::Instant};

/// Width of the image.
const WIDTH_PX: u32 = 1_000;

/// Height of one panel. It leaves room for the labels and a few pixels for each instance of a pool,
/// which has about ten.
const PANEL_HEIGHT_PX: u32 = 220;

/// Size of the smallest text.
const FONT_SIZE_PX: u32 = 12;

const HOUR_MS: f64 = 3_600_000.0;

/// Error while drawing a plot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot draw the plot: {0}")]
pub struct Error(String);

type Svg<'a> = SVGBackend<'a>;
type Panel<'a, 'b> = ChartContext<'b, Svg<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Error {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self(error.to_string())
    }
}

/// A line in the panel of a pool.
struct Curve {
    label: &'static str,
    colour: RGBColor,
    value: fn(&Point) -> u32,
}

/// Drawn in this order: promised is last so that it stays visible where the lines coincide.
const CURVES: [Curve; 3] = [
    Curve {
        label: "held",
        colour: BLACK,
        value: |point| point.held,
    },
    Curve {
        label: "serving",
        colour: BLUE,
        value: |point| point.serving,
    },
    Curve {
        label: "promised",
        colour: RED,
        value: |point| point.promised,
    },
];

/// Draws the result of a replay.
///
/// # Errors
/// [`Error`] if the drawing library fails.
pub fn svg(found: &ReplayResult) -> Result<String, Error> {
    let mut text = String::new();
    render(&mut text, found)?;
    Ok(text)
}

fn render(text: &mut String, found: &ReplayResult) -> Result<(), Error> {
    let pools = &found.series.pools;
    let panels = pools.len().max(1);
    let height = PANEL_HEIGHT_PX.saturating_mul(u32::try_from(panels).unwrap_or(u32::MAX));
    let root = SVGBackend::with_string(text, (WIDTH_PX, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((panels, 1));
    for (area, (pool, points)) in areas.iter().zip(pools) {
        draw_panel(area, pool, points, found)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel(
    area: &DrawingArea<Svg<'_>, Shift>,
    pool: &id::Pool,
    points: &[Point],
    found: &ReplayResult,
) -> Result<(), Error> {
    let period = found.report.period;
    let values = points
        .iter()
        .flat_map(|point| CURVES.iter().map(|curve| (curve.value)(point)));
    let top = f64::from(values.max().unwrap_or(0)) + 1.0;
    let mut panel = ChartBuilder::on(area)
        .caption(pool.as_str(), ("sans-serif", FONT_SIZE_PX + 4))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(40)
        .build_cartesian_2d(
            0.0..hours_since_start(period, period.to).max(f64::MIN_POSITIVE),
            0.0..top,
        )?;
    panel
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("hours since the period's start")
        .y_desc("instances")
        .draw()?;
    let waves = found.report.waves.iter();
    for wave in waves.filter(|wave| wave.pools.contains(pool)) {
        shade_wave(&mut panel, wave, period, top)?;
    }
    for curve in &CURVES {
        let colour = curve.colour;
        let steps = step_line(points, period, curve.value);
        panel
            .draw_series(LineSeries::new(steps, colour.stroke_width(2)))?
            .label(curve.label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    panel
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .label_font(("sans-serif", FONT_SIZE_PX))
        .draw()?;
    Ok(())
}

fn shade_wave(
    panel: &mut Panel<'_, '_>,
    wave: &Wave,
    period: Period,
    top: f64,
) -> Result<(), Error> {
    let left = hours_since_start(period, wave.started);
    let right = hours_since_start(period, wave.ended.unwrap_or(period.to));
    let area = Rectangle::new([(left, 0.0), (right, top)], GREEN.mix(0.2).filled());
    let name = Text::new(
        wave.id.to_string(),
        (left, top),
        ("sans-serif", FONT_SIZE_PX),
    );
    panel.draw_series([area])?;
    panel.draw_series([name])?;
    Ok(())
}

/// Hours from the period's start to `at`, clamped to the period.
fn hours_since_start(period: Period, at: Instant) -> f64 {
    at.min(period.to).since(period.from).as_millis() as f64 / HOUR_MS
}

/// Vertices of a step line, which keeps each value until the next point.
fn step_line(points: &[Point], period: Period, value: fn(&Point) -> u32) -> Vec<(f64, f64)> {
    let mut vertices = Vec::new();
    for point in points {
        let (x, y) = (hours_since_start(period, point.at), f64::from(value(point)));
        if let Some(&(_x, last)) = vertices.last() {
            vertices.push((x, last));
        }
        vertices.push((x, y));
    }
    if let Some(&(_x, last)) = vertices.last() {
        vertices.push((hours_since_start(period, period.to), last));
    }
    vertices
}
