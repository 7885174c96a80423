//! SVG plots of runs.

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend,
    SeriesLabelPosition, WHITE,
};

/// The size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (640, 320);
/// The line colour of each run.
const RUN_COLOURS: [RGBColor; 2] = [RGBColor(31, 119, 180), RGBColor(214, 39, 40)];

/// An error in drawing a plot.
#[derive(Debug, thiserror::Error)]
#[error("the plot `{title}` could not be drawn: {message}")]
pub struct PlotError {
    title: String,
    message: String,
}

/// A line plot with one line per run.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinePlot {
    pub(crate) title: String,
    pub(crate) x_label: String,
    pub(crate) y_label: String,
    pub(crate) lines: Vec<PlotLine>,
}

/// The line of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlotLine {
    pub(crate) label: String,
    pub(crate) points: Vec<(f64, f64)>,
}

impl LinePlot {
    /// Returns whether no line has enough points to draw.
    pub(crate) fn is_empty(&self) -> bool {
        self.lines.iter().all(|it| it.points.len() < 2)
    }

    /// Draws the plot as an SVG element.
    pub(crate) fn draw(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        let drawn = self.draw_into(&mut svg);
        drawn.map_err(|error| PlotError {
            title: self.title.clone(),
            message: error.to_string(),
        })?;
        Ok(svg)
    }

    fn draw_into(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..self.highest(|it| it.0), 0.0..self.highest(|it| it.1))?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .light_line_style(WHITE)
            .draw()?;
        for (line, colour) in self.lines.iter().zip(RUN_COLOURS) {
            let style = colour.stroke_width(2);
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), style))?
                .label(&line.label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
        Ok(())
    }

    fn highest(&self, axis: impl Fn(&(f64, f64)) -> f64) -> f64 {
        let points = self.lines.iter().flat_map(|it| &it.points);
        let highest = points.map(axis).fold(0.0, f64::max);
        // An axis of length zero can't be drawn.
        if highest > 0.0 { highest * 1.05 } else { 1.0 }
    }
}
